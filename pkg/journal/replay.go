package journal

import (
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Replay reads a stream from its beginning. When retention has removed the
// beginning it keeps what it reads until the end, and then starts from the
// complete snapshot of the highest epoch.
type Replay struct {
	fold    *Fold
	trimmed bool
	// kept holds the batches read so far of a trimmed stream.
	bufferedBatches []spool.Batch
	// partial holds the snapshots that are being read, by ID: a late part of a
	// fenced owner may stand between those of the valid one. best is the complete
	// one to use.
	partialSnapshots map[string]*snapshotParts
	bestSnapshot    *snapshotParts
}

// snapshot is what has been read of a snapshot.
type snapshotParts struct {
	state   State
	records []spool.Record
	partCount   int
}

// NewReplay returns a replay of a stream whose first kept batch is at first.
func NewReplay(first spool.Offset) *Replay {
	if first <= 1 {
		return &Replay{fold: NewFold(State{}, 0)}
	}
	return &Replay{fold: NewFold(State{}, first-1), trimmed: true, partialSnapshots: map[string]*snapshotParts{}}
}

// Offset returns the offset after which to read on.
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

// snapshot collects the parts, which come in order; parts may be repeated and
// other batches may stand between them.
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

// Finish is called at the end of the stream. It returns the fold to continue
// with, the records of the snapshot that comes first, and the units after it.
// found is false when a trimmed stream holds no complete snapshot; earlier state
// is lost then.
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
