package control

import (
	"context"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// ErrNoSnapshot means that the log's retention has removed records that the state
// lacks, and that no snapshot on the log contains them. The node then has to get the
// state from a peer.
var ErrNoSnapshot = errors.New("log holds no snapshot of the records that were removed")

// loadSnapshot restores the state from the last complete snapshot on the log whose
// offset is at least that of the batch before the first one on the log. Snapshots that
// cannot be decoded are skipped. first is the lowest offset on the log, from which
// loadSnapshot reads. It fails with ErrNoSnapshot if there is no such snapshot.
func loadSnapshot(ctx context.Context, log spool.Log, first spool.Offset) (state *State, err error) {
	defer func() { err = errors.Wrap(err, "load snapshot from the log") }()
	assembler := snapshotAssembler{parts: map[string][]SnapshotPart{}}
	for after := first - 1; ; {
		page, err := log.Read(ctx, spool.ControlStream, after, 0)
		if errors.Is(err, spool.ErrTrimmed) && page.First > after+1 {
			after = page.First - 1
			continue
		}
		if err != nil {
			return nil, err
		}
		for _, batch := range page.Batches {
			after = batch.Offset
			data := assembler.add(batch)
			if data == nil {
				continue
			}
			candidate, err := RestoreCompressed(data)
			if err != nil || candidate.offset < page.First-1 {
				continue
			}
			candidate.snapshot = SnapshotInfo{Covers: candidate.offset, At: batch.At}
			state = candidate
		}
		if len(page.Batches) > 0 && after < page.Last {
			continue
		}
		if state == nil {
			return nil, ErrNoSnapshot
		}
		return state, nil
	}
}

// followHooks holds the callbacks of follow. Each of them may be nil.
type followHooks struct {
	// onBatch is called after each batch that follow has read, with those of its
	// records that were not applied.
	onBatch func(batch spool.Batch, rejected []Rejection)
	// onSnapshot is called after the state has been replaced by a snapshot.
	onSnapshot func(state *State)
}

// follow applies the batches after the state's offset up to the end of the log. It
// changes state in place and returns it, unless the log no longer has the next batch:
// it then loads a snapshot and returns the state restored from it. With an error it
// returns the state as far as it was read.
func follow(ctx context.Context, log spool.Log, state *State, hooks followHooks) (_ *State, err error) {
	defer func() { err = errors.Wrap(err, "read the control stream") }()
	for {
		page, err := log.Read(ctx, spool.ControlStream, state.offset, 0)
		if errors.Is(err, spool.ErrTrimmed) || (err == nil && gapAfter(state.offset, page.Batches)) {
			loaded, err := loadSnapshot(ctx, log, page.First)
			if err != nil {
				return state, err
			}
			if loaded.offset <= state.offset {
				return state, ErrNoSnapshot
			}
			state = loaded
			if hooks.onSnapshot != nil {
				hooks.onSnapshot(state)
			}
			continue
		}
		if err != nil {
			return state, err
		}
		for _, batch := range page.Batches {
			rejected, err := state.Apply(batch)
			if err != nil {
				return state, err
			}
			if hooks.onBatch != nil {
				hooks.onBatch(batch, rejected)
			}
		}
		if len(page.Batches) == 0 || state.offset >= page.Last {
			return state, nil
		}
	}
}

// gapAfter reports whether the first of batches has an offset above offset+1. It is
// false without batches.
func gapAfter(offset spool.Offset, batches []spool.Batch) bool {
	return len(batches) > 0 && batches[0].Offset > offset+1
}

// backoff computes the delays between retries. The zero value is ready to use.
type backoff struct {
	// failures is the number of calls of nextDelay since the last reset.
	failures int
}

// Bounds of the delay between retries, before jitter shortens it by up to a half.
const (
	minBackoff clock.Millis = 50
	maxBackoff clock.Millis = 1000
)

// nextDelay counts a failure and returns the delay before the next attempt. The
// delay doubles with each failure up to maxBackoff; half of it is scaled by jitter,
// which is in [0,1).
func (b *backoff) nextDelay(jitter float64) clock.Millis {
	wait := min(maxBackoff, minBackoff<<min(b.failures, 10))
	b.failures++
	return wait/2 + clock.Millis(float64(wait)/2*jitter)
}

// reset starts again with the shortest delay.
func (b *backoff) reset() { b.failures = 0 }
