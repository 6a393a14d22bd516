package control

import (
	"context"
	"strconv"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	housekeepEvery  clock.Millis = 250
	snapshotTimeout              = 10 * clock.Second
	// snapshotRetry is the wait after a snapshot was appended before another
	// one is tried: the node first has to read the one that it appended.
	snapshotRetry = 15 * clock.Second
)

// readLog follows the log for as long as the reader is open.
func (r *Reader) readLog() {
	var failures backoff
	for r.ctx.Err() == nil {
		if !r.readsLog() {
			if !r.pause(idlePoll) {
				return
			}
			continue
		}
		if err := r.readOnce(); err != nil {
			if r.ctx.Err() != nil {
				return
			}
			r.event("control.logReadFailed")
			if failures.failures == 0 {
				r.logger.Warn("control stream cannot be read from the log", zap.Error(err))
			}
			r.pause(failures.next(r.jitter()))
			continue
		}
		failures.reset()
	}
}

func (r *Reader) readOnce() error {
	ctx, cancel := context.WithTimeout(r.ctx, (r.config.Wait + replyGrace).Duration())
	defer cancel()
	after, sent := r.Offset(), r.clock.Now()
	page, err := r.log.Read(ctx, spool.ControlStream, after, r.config.Wait)
	if errors.Is(err, spool.ErrTrimmed) || (err == nil && gapAfter(after, page.Batches)) {
		r.event("control.gap")
		return r.reload(page.First)
	}
	if err != nil {
		return err
	}
	if page.Last < after {
		r.event("control.logBehind")
		return errors.Errorf("log ends at offset %d, before offset %d that is in force", page.Last, after)
	}
	if err := r.apply(page.Batches); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.first = page.First
	if r.state.offset >= page.Last {
		r.fresh.heardLog(sent)
	}
	return nil
}

// reload replaces the state by a snapshot from the log.
func (r *Reader) reload(first spool.Offset) error {
	ctx, cancel := context.WithTimeout(r.ctx, snapshotTimeout.Duration())
	defer cancel()
	state, err := loadSnapshot(ctx, r.log, first)
	if err != nil {
		return err
	}
	if !r.restore(state) {
		return ErrNoSnapshot
	}
	return nil
}

// housekeep closes the channels of keys that expire and appends snapshots.
func (r *Reader) housekeep() {
	started := r.clock.Now()
	var tried clock.Millis
	var covered spool.Offset
	for r.pause(housekeepEvery) {
		now := r.clock.Now()
		r.mu.Lock()
		r.closeWatched()
		due := r.snapshotDue(started)
		// The node has not read the snapshot that it appended.
		pending := covered > r.state.snapshot.Covers && now-tried < snapshotRetry
		at := r.state.offset
		r.mu.Unlock()
		if !due || pending {
			continue
		}
		tried, covered = now, at
		if err := r.AppendSnapshot(r.ctx); err != nil {
			r.event("control.snapshotFailed")
			r.logger.Warn("snapshot was not appended", zap.Error(err))
		}
	}
}

// snapshotDue reports whether this node has to append a snapshot: when half of
// the retention has passed since the last one, or when the log removes records
// and the last one covers less than half of those it still holds.
func (r *Reader) snapshotDue(started clock.Millis) bool {
	if !r.responsible || r.log == nil || !r.fresh.loaded || r.state.offset == 0 {
		return false
	}
	mark := r.state.snapshot
	if r.first > 1 && mark.Covers-r.first < (r.state.offset-r.first)/2 {
		return true
	}
	if mark.Covers == 0 {
		return r.clock.Now()-started >= r.config.Retention/8
	}
	return r.clock.Now()-mark.At >= r.config.Retention/2
}

// AppendSnapshot appends a snapshot of the state to the log. A part whose fate
// is unknown makes the snapshot incomplete at worst, and readers ignore it then.
func (r *Reader) AppendSnapshot(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "append snapshot") }()
	if r.log == nil {
		return errors.New("node has no log")
	}
	r.mu.RLock()
	id := string(r.config.Node) + "-" + strconv.FormatInt(int64(r.state.offset), 10) + "-" + strconv.FormatInt(int64(r.clock.Now()), 36)
	records, err := SnapshotRecords(r.state, id)
	r.mu.RUnlock()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout.Duration())
	defer cancel()
	for part, record := range records {
		batch := spool.Batch{
			ID: id + "-" + strconv.Itoa(part), Writer: r.config.Node, At: r.clock.Now(),
			Records: []spool.Record{record},
		}
		if _, err := r.log.Append(ctx, spool.ControlStream, batch); err != nil {
			return err
		}
	}
	r.event("control.snapshotAppended")
	return nil
}
