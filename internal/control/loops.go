package control

import (
	"context"
	"strconv"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// housekeepEvery is the interval of runHousekeeping.
	housekeepEvery clock.Millis = 250
	// snapshotTimeout bounds the time to load a snapshot from the log, and that to
	// append all parts of one.
	snapshotTimeout = 10 * clock.Second
	// snapshotRetryDelay is the time for which the node, after it tried to append a
	// snapshot, appends no other one unless it has read that snapshot from the log.
	snapshotRetryDelay = 15 * clock.Second
)

// readLog reads the control stream from the log until the reader is closed. It idles
// while shouldReadLog is false.
func (r *Reader) readLog() {
	var retry backoff
	for r.ctx.Err() == nil {
		if !r.shouldReadLog() {
			r.pause(idlePoll)
			continue
		}
		err := r.readLogOnce()
		if r.ctx.Err() != nil {
			return
		}
		if err == nil {
			retry.reset()
			continue
		}
		r.countEvent("control.logReadFailed")
		if retry.failures == 0 {
			r.logger.Warn("could not read the control stream from the log", zap.Error(err))
		}
		r.pause(retry.nextDelay(r.jitter()))
	}
}

// shouldReadLog returns the result of Node.ReadsLog, or true if the node cannot pull
// from peers.
func (r *Reader) shouldReadLog() bool {
	if !r.canPull() {
		return true
	}
	vms := r.peers()
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.node.ReadsLog(r.clock.Now(), vms)
}

// readLogOnce does one long poll of the log and applies the page. It loads a
// snapshot if the log no longer holds the next batch.
func (r *Reader) readLogOnce() error {
	ctx, cancel := context.WithTimeout(r.ctx, (r.config.PollWait + replyTimeoutMargin).Duration())
	defer cancel()
	after, sentAt := r.Offset(), r.clock.Now()
	page, err := r.log.Read(ctx, spool.ControlStream, after, r.config.PollWait)
	if errors.Is(err, spool.ErrTrimmed) || (err == nil && gapAfter(after, page.Batches)) {
		r.countEvent("control.gap")
		return r.reloadState(page.First)
	}
	if err != nil {
		return err
	}
	return r.updateNode(func() ([]Rejection, error) { return r.node.ApplyPage(sentAt, after, page) })
}

// reloadState replaces the state by a snapshot from the log, whose lowest offset is
// first. It fails with ErrNoSnapshot if the snapshot is not newer than the state.
func (r *Reader) reloadState(first spool.Offset) error {
	ctx, cancel := context.WithTimeout(r.ctx, snapshotTimeout.Duration())
	defer cancel()
	state, err := loadSnapshot(ctx, r.log, first)
	if err != nil {
		return err
	}
	r.countEvent("control.snapshotLoaded")
	return r.updateNode(func() ([]Rejection, error) {
		if !r.node.ReplaceState(state) {
			return nil, ErrNoSnapshot
		}
		return nil, nil
	})
}

// updateNode calls change with the lock held. If change advances the offset of the
// state, updateNode closes the channel that Changed returned and the channels of
// withdrawn keys. It counts and logs the records that change returns as rejected, and
// returns the error of change.
func (r *Reader) updateNode(change func() ([]Rejection, error)) error {
	r.mu.Lock()
	offsetBefore := r.node.state.offset
	rejected, err := change()
	if r.node.state.offset > offsetBefore {
		close(r.changed)
		r.changed = make(chan struct{})
		r.node.CloseWithdrawn(r.clock.Now())
	}
	r.mu.Unlock()
	for _, rejection := range rejected {
		eventName := "control.badRecord"
		if conflictErr := (&settings.ConflictError{}); errors.As(rejection.Err, &conflictErr) {
			eventName = "control.conflict"
		}
		r.countEvent(eventName)
		r.logger.Warn("control record was rejected", zap.Int64("offset", int64(rejection.Offset)),
			zap.Int("index", rejection.Index), zap.String("writer", string(rejection.Writer)), zap.Error(rejection.Err))
	}
	return err
}

// pullFromPeers pulls from peers until the reader is closed. It idles while the node
// has a log and NeedsPeers is false.
func (r *Reader) pullFromPeers() {
	var noPeerBackoff backoff
	for attempt := 0; r.ctx.Err() == nil; attempt++ {
		now, vms := r.clock.Now(), r.peers()
		r.mu.Lock()
		needed := r.log == nil || r.node.NeedsPeers(now, vms)
		var peer spool.VM
		found := false
		if needed {
			peer, found = r.node.SelectPeer(now, vms, attempt)
		}
		r.mu.Unlock()
		if !needed {
			r.pause(idlePoll)
			continue
		}
		if !found {
			r.pause(noPeerBackoff.nextDelay(r.jitter()))
			continue
		}
		noPeerBackoff.reset()
		err := r.pullFromPeer(peer, vms)
		if err != nil && r.ctx.Err() == nil {
			r.countEvent("control.pullFailed")
			r.logger.Debug("could not pull control records from peer", zap.String("peer", string(peer.ID)), zap.Error(err))
			r.mu.Lock()
			r.node.RecordFailure(r.clock.Now(), peer)
			r.mu.Unlock()
		}
	}
}

// pullFromPeer sends one pull request to the peer, applies the reply and records the
// age of the peer's state for SelectPeer.
func (r *Reader) pullFromPeer(peer spool.VM, vms []spool.VM) error {
	wait := r.config.PollWait
	if r.log != nil {
		wait = min(wait, degradedPollWait)
	}
	if !r.Ready() {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(r.ctx, (wait + replyTimeoutMargin).Duration())
	defer cancel()
	sentAt := r.clock.Now()
	var reply wire.PullReply
	request := wire.PullRequest{After: r.Offset(), Wait: wait, Node: r.config.Node}
	if err := r.clients.Call(ctx, peer.Address, wire.MethodPull, request, &reply, nil); err != nil {
		return err
	}
	return r.updateNode(func() ([]Rejection, error) {
		r.node.RecordReply(r.clock.Now(), peer, reply.StateAge)
		return r.node.ApplyReply(r.clock.Now(), sentAt, reply, r.node.ProvesContact(peer, vms))
	})
}

// runHousekeeping calls Node.CloseWithdrawn and, if the node was chosen with
// SetAppendsSnapshots, appends a snapshot when one is due. It does both every
// housekeepEvery until the reader is closed.
func (r *Reader) runHousekeeping() {
	var lastAttempt clock.Millis
	var attemptOffset spool.Offset
	for r.pause(housekeepEvery) {
		now := r.clock.Now()
		r.mu.Lock()
		r.node.CloseWithdrawn(now)
		due := r.appendsSnapshots && r.log != nil && r.node.SnapshotDue(now)
		// Do not append another snapshot before this node has read its last one from
		// the log, or snapshotRetryDelay has passed.
		pending := attemptOffset > r.node.state.snapshot.Covers && now-lastAttempt < snapshotRetryDelay
		offset := r.node.state.offset
		r.mu.Unlock()
		if !due || pending {
			continue
		}
		lastAttempt, attemptOffset = now, offset
		if err := r.AppendSnapshot(r.ctx); err != nil {
			r.countEvent("control.snapshotFailed")
			r.logger.Warn("could not append control snapshot", zap.Error(err))
		}
	}
}

// AppendSnapshot appends a snapshot of the state to the log, in one or more parts.
// It fails on the first part whose append fails or has an unknown outcome. Readers
// ignore an incomplete snapshot.
func (r *Reader) AppendSnapshot(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "append snapshot") }()
	if r.log == nil {
		return errors.New("node has no log")
	}
	r.mu.RLock()
	id := string(r.config.Node) + "-" + strconv.FormatInt(int64(r.node.state.offset), 10) + "-" + strconv.FormatInt(int64(r.clock.Now()), 36)
	records, err := SnapshotRecords(r.node.state, id)
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
	r.countEvent("control.snapshotAppended")
	return nil
}
