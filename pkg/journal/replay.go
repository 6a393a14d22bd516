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
	kept []spool.Batch
	// partial holds the snapshots that are being read, by ID: a late part of a
	// fenced owner may stand between those of the valid one. best is the complete
	// one to use.
	partial map[string]*snapshot
	best    *snapshot
}

// snapshot is what has been read of a snapshot.
type snapshot struct {
	state   State
	records []spool.Record
	parts   int
}

// NewReplay returns a replay of a stream whose first kept batch is at first.
func NewReplay(first spool.Offset) *Replay {
	if first <= 1 {
		return &Replay{fold: NewFold(State{}, 0)}
	}
	return &Replay{fold: NewFold(State{}, first-1), trimmed: true, partial: map[string]*snapshot{}}
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
		r.kept = append(r.kept, batch)
		return nil
	}
	r.snapshot(header, batch)
	return nil
}

// snapshot collects the parts, which come in order; parts may be repeated and
// other batches may stand between them.
func (r *Replay) snapshot(header snapshotHeader, batch spool.Batch) {
	s := r.partial[header.ID]
	if s == nil {
		s = &snapshot{state: header.State}
		r.partial[header.ID] = s
	}
	if header.Part != s.parts+1 {
		return
	}
	s.parts++
	s.records = append(s.records, batch.Records[1:]...)
	if s.parts < header.Parts {
		return
	}
	s.state.Since = batch.At
	if r.best == nil || s.state.Epoch >= r.best.state.Epoch {
		r.best = s
		r.partial = map[string]*snapshot{header.ID: s}
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
	found = r.best != nil
	if found {
		fold, start = NewFold(r.best.state, 0), r.best.records
	} else {
		fold = NewFold(State{}, 0)
	}
	for _, batch := range r.kept {
		units = append(units, fold.Add(batch)...)
	}
	fold.offset = offset
	return fold, start, units, found
}
