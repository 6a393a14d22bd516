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

// event is a message to the control goroutine.
type event interface {
	handle(c *controller, now clock.Millis)
}

// submission is one Submit under way.
type submission struct {
	ticket   journal.Ticket
	stream   spool.Stream
	records  []spool.Record
	needsLog bool
	done   chan *spool.Refusal
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

// cancellation tells that the caller of Submit no longer waits.
type cancellation struct{ submission *submission }

func (e cancellation) handle(c *controller, now clock.Millis) {
	if s, ok := c.ensureStream(e.submission.stream); ok {
		c.executeJournal(s, s.journal.Cancel(now, e.submission.ticket))
	}
}

// appended is the answer to an append.
type appendDone struct {
	stream spool.Stream
	id     string
	err    error
}

func (e appendDone) handle(c *controller, now clock.Millis) {
	s, _ := c.ensureStream(e.stream)
	c.executeJournal(s, s.journal.Appended(now, e.id, e.err))
}

// readDone is the answer to a read.
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

// holdDone is the answer to a message to a holder.
type replicateDone struct {
	stream      spool.Stream
	command     journal.Hold
	incarnation string
	err         error
}

func (e replicateDone) handle(c *controller, now clock.Millis) {
	s, _ := c.ensureStream(e.stream)
	c.executeJournal(s, s.journal.HoldDone(now, e.command, e.incarnation, e.err == nil, isFenced(e.err)))
}

// sealDone is the answer to a seal.
type fenceDone struct {
	stream  spool.Stream
	command journal.Seal
	answer  *journal.Sealing
	err     error
}

func (e fenceDone) handle(c *controller, now clock.Millis) {
	s, _ := c.ensureStream(e.stream)
	c.executeJournal(s, s.journal.SealDone(now, e.command, e.answer, isFenced(e.err)))
}

// releaseDone tells that a node has dropped its copies.
type discardDone struct {
	stream  spool.Stream
	command journal.Release
}

func (e discardDone) handle(c *controller, _ clock.Millis) {
	s, _ := c.ensureStream(e.stream)
	s.journal.ReleaseDone(e.command)
}

// snapshotTaken is the user's compact state.
type snapshotReady struct {
	stream  spool.Stream
	epoch   spool.Epoch
	records []spool.Record
}

func (e snapshotReady) handle(c *controller, now clock.Millis) {
	s, _ := c.ensureStream(e.stream)
	c.executeJournal(s, s.journal.SnapshotTaken(now, e.epoch, e.records))
}

// handoverTaken is what the user leaves to the next owner.
type handoverReady struct {
	stream spool.Stream
	epoch  spool.Epoch
	data   json.RawMessage
}

func (e handoverReady) handle(c *controller, now clock.Millis) {
	s, _ := c.ensureStream(e.stream)
	c.executeJournal(s, s.journal.HandoverTaken(now, e.epoch, e.data))
}

// leaving asks to hand every stream over.
type leaveRequest struct{ done chan struct{} }

func (e leaveRequest) handle(c *controller, now clock.Millis) {
	c.leaveWaiters = append(c.leaveWaiters, e.done)
	c.tick(now)
}

// query is a request that the control goroutine answers.
type query[Request, Reply any] struct {
	request Request
	run  func(c *controller, now clock.Millis, request Request) (Reply, error)
	results   chan result[Reply]
}

type result[Reply any] struct {
	reply Reply
	err   error
}

func (e query[Request, Reply]) handle(c *controller, now clock.Millis) {
	reply, err := e.run(c, now, e.request)
	e.results <- result[Reply]{reply, err}
}

// ask runs a query and waits for its answer.
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

func queryHandler[Request, Reply any](m *Manager, run func(*controller, clock.Millis, Request) (Reply, error)) wire.HandlerFunc {
	return wire.Handle(func(ctx context.Context, request Request, _ wire.Send) (any, error) {
		reply, err := runQuery(ctx, m, request, run)
		if err != nil {
			return nil, err
		}
		return reply, nil
	})
}

// isFenced reports whether a holder refused because of a higher epoch.
func isFenced(err error) bool {
	refusal := &spool.Refusal{}
	return errors.Is(err, journal.ErrFenced) || (errors.As(err, &refusal) && refusal.Code == spool.CodeFenced)
}
