package journal

import (
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Replay reads a stream from its beginning. If retention has removed the
// beginning, Replay buffers the batches up to the end of the stream and then
// starts from the complete snapshot of the highest epoch.
type Replay struct {
	fold    *Fold
	trimmed bool
	// bufferedBatches holds the batches read so far of a trimmed stream, except
	// snapshots.
	bufferedBatches []spool.Batch
	// partialSnapshots holds the snapshots that are being read, by ID. A late
	// part of a fenced owner may appear between the parts of the valid owner.
	// bestSnapshot is the complete snapshot to start from.
	partialSnapshots map[string]*snapshotParts
	bestSnapshot     *snapshotParts
}

// snapshotParts holds the parts of one snapshot that were read.
type snapshotParts struct {
	state     State
	records   []spool.Record
	partCount int
}

// NewReplay returns a replay of a stream whose first retained batch is at
// first.
func NewReplay(first spool.Offset) *Replay {
	if first <= 1 {
		return &Replay{fold: NewFold(State{}, 0)}
	}
	return &Replay{fold: NewFold(State{}, first-1), trimmed: true, partialSnapshots: map[string]*snapshotParts{}}
}

// Offset returns the offset after which to continue reading.
func (r *Replay) Offset() spool.Offset { return r.fold.Offset() }

// Add takes the next batch and returns the units that can be applied already.
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

// addSnapshotPart adds the next part of a snapshot. The parts come in order,
// may be repeated, and other batches may appear between them.
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

// Finish must be called at the end of the stream. It returns the fold to
// continue with, the records of the snapshot that comes first, and the units
// after it. found is false if a trimmed stream has no complete snapshot;
// earlier state is then lost.
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
