package journal

import (
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Replay reads a stream from its first retained batch. If retention has removed
// earlier batches, Replay buffers all batches up to the end of the stream.
// Finish then starts from the latest complete snapshot of the highest epoch.
type Replay struct {
	// fold folds the batches of a stream that is not trimmed. On a trimmed stream,
	// only its offset is used.
	fold *Fold
	// trimmed means that retention has removed the beginning of the stream.
	trimmed bool
	// bufferedBatches holds the batches of a trimmed stream that were read, except
	// snapshots.
	bufferedBatches []spool.Batch
	// partialSnapshots maps the ID of each snapshot of which parts were read to
	// these parts. There can be several, because a late part of a fenced owner may
	// appear between the parts of the present owner. bestSnapshot is the complete
	// snapshot to start from; nil if there is none.
	partialSnapshots map[string]*snapshotParts
	bestSnapshot     *snapshotParts
}

// snapshotParts holds the parts of one snapshot that were read.
type snapshotParts struct {
	state   State
	records []spool.Record
	// partCount is the number of parts read; they are the first ones.
	partCount int
}

// NewReplay returns a replay of a stream whose first retained batch is at the
// offset first. The stream counts as trimmed if first is above 1.
func NewReplay(first spool.Offset) *Replay {
	if first <= 1 {
		return &Replay{fold: NewFold(State{}, 0)}
	}
	return &Replay{fold: NewFold(State{}, first-1), trimmed: true, partialSnapshots: map[string]*snapshotParts{}}
}

// Offset returns the offset after which to continue reading.
func (r *Replay) Offset() spool.Offset { return r.fold.Offset() }

// Add adds the next batch. It returns the units of the batch that are to be
// applied, or none if the stream is trimmed; Finish then returns all units.
func (r *Replay) Add(batch spool.Batch) []Unit {
	if !r.trimmed {
		return r.fold.Add(batch)
	}
	r.fold.offset = batch.Offset
	header, ok := decodeSnapshot(batch)
	if !ok {
		r.bufferedBatches = append(r.bufferedBatches, batch)
		return nil
	}
	r.addSnapshotPart(header, batch)
	return nil
}

// addSnapshotPart adds a part of a snapshot and sets bestSnapshot if this
// completes the snapshot, unless bestSnapshot has a higher epoch. It ignores a
// part that is not the next one of its snapshot, such as a repeated one.
func (r *Replay) addSnapshotPart(header snapshotHeader, batch spool.Batch) {
	s := r.partialSnapshots[header.ID]
	if s == nil {
		s = &snapshotParts{state: header.State}
		r.partialSnapshots[header.ID] = s
	}
	if header.Part != s.partCount+1 {
		return
	}
	s.partCount++
	s.records = append(s.records, batch.Records[1:]...)
	if s.partCount < header.Parts {
		return
	}
	s.state.Since = batch.At
	if r.bestSnapshot == nil || s.state.Epoch >= r.bestSnapshot.state.Epoch {
		r.bestSnapshot = s
		r.partialSnapshots = map[string]*snapshotParts{header.ID: s}
	}
}

// Finish must be called once, at the end of the stream. It returns the fold for
// the batches that follow. For a trimmed stream it also returns what to apply:
// first the records of the snapshot (start), then the units that the snapshot
// does not reflect. found is false if a trimmed stream has no complete
// snapshot; the state from the removed batches is then lost.
func (r *Replay) Finish() (fold *Fold, start []spool.Record, units []Unit, found bool) {
	if !r.trimmed {
		return r.fold, nil, nil, true
	}
	offset := r.fold.offset
	found = r.bestSnapshot != nil
	if found {
		fold, start = NewFold(r.bestSnapshot.state, 0), r.bestSnapshot.records
	} else {
		fold = NewFold(State{}, 0)
	}
	for _, batch := range r.bufferedBatches {
		units = append(units, fold.Add(batch)...)
	}
	fold.offset = offset
	return fold, start, units, found
}
