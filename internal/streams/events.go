package streams

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/journal"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// event is a message to the controller goroutine, which calls handle.
type event interface {
	handle(c *controller, now clock.Millis)
}

// submission is a pending call of Submit. done gets exactly one value, nil if the
// records are durable, unless the manager is closed before.
type submission struct {
	ticket   journal.Ticket
	stream   spool.Stream
	records  []spool.Record
	needsLog bool
	done     chan *spool.Refusal
}

func (e *submission) handle(c *controller, now clock.Millis) {
	s, ok := c.ensureStream(e.stream)
	if !ok {
		e.done <- spool.Refuse(spool.CodeBadRequest, "stream %q does not exist", e.stream)
		return
	}
	c.submissions[e.ticket] = e
	c.executeJournal(s, s.journal.Submit(now, e.ticket, e.records, e.needsLog))
}

// cancellation reports that the context of a Submit call ended before the submission
// was answered.
type cancellation struct{ submission *submission }

func (e cancellation) handle(c *controller, now clock.Millis) {
	if s, ok := c.ensureStream(e.submission.stream); ok {
		c.executeJournal(s, s.journal.Cancel(now, e.submission.ticket))
	}
}

// appendDone is the result of an append to the log. id is the ID of the batch.
type appendDone struct {
	stream spool.Stream
	id     string
	err    error
}

func (e appendDone) handle(c *controller, now clock.Millis) {
	s, _ := c.ensureStream(e.stream)
	c.executeJournal(s, s.journal.Appended(now, e.id, e.err))
}

// readDone is the result of a read of the log. serial is that of the journal.Read
// command.
type readDone struct {
	stream spool.Stream
	serial uint64
	page   spool.Page
	err    error
}

func (e readDone) handle(c *controller, now clock.Millis) {
	s, _ := c.ensureStream(e.stream)
	c.executeJournal(s, s.journal.ReadDone(now, e.serial, e.page, e.err))
}

// replicateDone is the result of sending units to a replica. incarnation is that of the
// replica, empty if the request failed.
type replicateDone struct {
	stream      spool.Stream
	command     journal.Replicate
	incarnation string
	err         error
}

func (e replicateDone) handle(c *controller, now clock.Millis) {
	s, _ := c.ensureStream(e.stream)
	c.executeJournal(s, s.journal.ReplicateDone(now, e.command, e.incarnation, e.err == nil, isFenced(e.err)))
}

// fenceDone is the result of a fence request. reply is nil if the request failed or its
// reply could not be decoded.
type fenceDone struct {
	stream  spool.Stream
	command journal.Fence
	reply   *journal.FenceReply
	err     error
}

func (e fenceDone) handle(c *controller, now clock.Millis) {
	s, _ := c.ensureStream(e.stream)
	c.executeJournal(s, s.journal.FenceDone(now, e.command, e.reply, isFenced(e.err)))
}

// discardDone reports that a node has discarded its copies of units with lower epochs
// than that of command. There is no such event if the request failed.
type discardDone struct {
	stream  spool.Stream
	command journal.Discard
}

func (e discardDone) handle(c *controller, _ clock.Millis) {
	s, _ := c.ensureStream(e.stream)
	s.journal.DiscardDone(e.command)
}

// snapshotReady holds the records that Applier.Snapshot returned.
type snapshotReady struct {
	stream  spool.Stream
	epoch   spool.Epoch
	records []spool.Record
}

func (e snapshotReady) handle(c *controller, now clock.Millis) {
	s, _ := c.ensureStream(e.stream)
	c.executeJournal(s, s.journal.SnapshotTaken(now, e.epoch, e.records))
}

// handoverReady holds the data that the function of WithHandover returned for the next
// owner of a stream.
type handoverReady struct {
	stream spool.Stream
	epoch  spool.Epoch
	data   json.RawMessage
}

func (e handoverReady) handle(c *controller, now clock.Millis) {
	s, _ := c.ensureStream(e.stream)
	c.executeJournal(s, s.journal.HandoverReady(now, e.epoch, e.data))
}

// leaveRequest asks the controller to release all streams. done is closed once they are
// released.
type leaveRequest struct{ done chan struct{} }

func (e leaveRequest) handle(c *controller, now clock.Millis) {
	c.leaveWaiters = append(c.leaveWaiters, e.done)
	c.tick(now)
}

// query is a request that the controller goroutine answers by calling run. The result
// is sent to results, which must be buffered.
type query[Request, Reply any] struct {
	request Request
	run     func(c *controller, now clock.Millis, request Request) (Reply, error)
	results chan result[Reply]
}

type result[Reply any] struct {
	reply Reply
	err   error
}

func (e query[Request, Reply]) handle(c *controller, now clock.Millis) {
	reply, err := e.run(c, now, e.request)
	e.results <- result[Reply]{reply, err}
}

// runQuery calls run on the controller goroutine and returns its result. It returns an
// error early if ctx ends or the manager is closed; run may then still be called.
func runQuery[Request, Reply any](ctx context.Context, m *Manager, request Request, run func(*controller, clock.Millis, Request) (Reply, error)) (reply Reply, err error) {
	q := query[Request, Reply]{request: request, run: run, results: make(chan result[Reply], 1)}
	if !m.send(q) {
		return reply, spool.Refuse(spool.CodeShuttingDown, "entry %s is shutting down", m.config.Node)
	}
	select {
	case r := <-q.results:
		return r.reply, r.err
	case <-ctx.Done():
		return reply, ctx.Err()
	case <-m.ctx.Done():
		return reply, spool.Refuse(spool.CodeShuttingDown, "entry %s is shutting down", m.config.Node).
			WithNotRun(spool.NotRunUnknown)
	}
}

// queryHandler returns a handler that answers requests by calling run on the controller
// goroutine.
func queryHandler[Request, Reply any](m *Manager, run func(*controller, clock.Millis, Request) (Reply, error)) wire.HandlerFunc {
	return wire.Handle(func(ctx context.Context, request Request, _ wire.Send) (any, error) {
		reply, err := runQuery(ctx, m, request, run)
		if err != nil {
			return nil, err
		}
		return reply, nil
	})
}

// isFenced reports whether err, from the replica store or from another node, means that
// a request was refused because a higher epoch of the stream is known there.
func isFenced(err error) bool {
	refusal := &spool.Refusal{}
	return errors.Is(err, journal.ErrFenced) || (errors.As(err, &refusal) && refusal.Code == spool.CodeFenced)
}
