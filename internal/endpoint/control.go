package endpoint

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/gatekeeper"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Messages to the control loop besides those of package gatekeeper.
type (
	// arrival is a call that a handler passes on.
	arrival struct{ task *task }
	// departure says that the caller of a task has gone away.
	departure struct{ task *task }
	// question is a request about a call's fate.
	question struct {
		fate   gatekeeper.Fate
		answer chan<- gatekeeper.FateReply
	}
	// statusQuery asks for the status with the programs held.
	statusQuery struct{ answer chan<- wire.EndpointStatus }
)

// task is one endpoint.run request.
type task struct {
	request wire.RunRequest
	call    gatekeeper.Call
	send    wire.Send
	// done receives the one answer.
	done chan answer
	// closed is set once the answer has been given; no chunk follows it.
	closed atomic.Bool

	// The fields below belong to the control loop.

	ticket gatekeeper.Ticket
	// stop cancels the run; nil before it starts.
	stop context.CancelCauseFunc
	// replied is set once done has got its answer.
	replied bool
}

// answer is the reply to a task with the agent's state at that moment.
type answer struct {
	gatekeeper.Reply
	status wire.EndpointStatus
}

// post passes a message to the control loop. It reports false when the agent
// has stopped.
func (a *Agent) post(message any) bool {
	select {
	case a.inbox <- message:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// control owns the kernel.
func (a *Agent) control() {
	loop := &controlLoop{Agent: a, tasks: map[gatekeeper.Ticket]*task{}, questions: map[gatekeeper.Ticket]chan<- gatekeeper.FateReply{}}
	ticker := time.NewTicker(a.config.TickEvery.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-a.ctx.Done():
			loop.cut()
			return
		case <-ticker.C:
			loop.step(gatekeeper.Tick{})
		case message := <-a.inbox:
			loop.receive(message)
		}
	}
}

// controlLoop is the state of the control goroutine.
type controlLoop struct {
	*Agent
	tasks     map[gatekeeper.Ticket]*task
	questions map[gatekeeper.Ticket]chan<- gatekeeper.FateReply
	next      gatekeeper.Ticket
	leaving   bool
	left      bool
}

func (l *controlLoop) receive(message any) {
	switch m := message.(type) {
	case arrival:
		l.next++
		m.task.ticket = l.next
		l.tasks[l.next] = m.task
		l.step(gatekeeper.Arrive{Ticket: l.next, Call: m.task.call})
	case departure:
		l.step(gatekeeper.Cancel{Ticket: m.task.ticket})
	case question:
		l.next++
		l.questions[l.next] = m.answer
		m.fate.Ticket = l.next
		l.step(m.fate)
	case statusQuery:
		status := l.wireStatus(l.kernel.Status())
		status.Held = l.kernel.Held()
		m.answer <- status
	case gatekeeper.Leave:
		l.leaving = true
		l.step(m)
	case gatekeeper.Finished:
		l.finished(m)
	case gatekeeper.Message:
		l.step(m)
	}
}

func (l *controlLoop) finished(m gatekeeper.Finished) {
	l.step(m)
	if t := l.tasks[m.Ticket]; t != nil {
		t.stop(nil)
		delete(l.tasks, m.Ticket)
	}
}

// step passes a message to the kernel and carries its commands out.
func (l *controlLoop) step(message gatekeeper.Message) {
	for _, command := range l.kernel.Step(l.clock.Now(), message) {
		l.carryOut(command)
	}
	l.eventsAfter.Store(l.kernel.EventsAfter())
	status := l.kernel.Status()
	l.status.Store(&status)
	if l.leaving && !l.left && l.kernel.Idle() {
		l.left = true
		close(l.idle)
	}
}

func (l *controlLoop) carryOut(command gatekeeper.Command) {
	switch c := command.(type) {
	case gatekeeper.Start:
		l.start(c)
	case gatekeeper.Stop:
		l.tasks[c.Ticket].stop(errStopped)
	case gatekeeper.Reply:
		l.reply(c)
	case gatekeeper.FateReply:
		l.questions[c.Ticket] <- c
		delete(l.questions, c.Ticket)
	case gatekeeper.Free:
		l.pool.Submit(func() { l.free(c.Program) })
	case gatekeeper.ExportPrefix:
		l.pool.Submit(func() { l.exportPrefix(c) })
	case gatekeeper.FreeExport:
		l.pool.Submit(func() { l.freeExport(c.ID) })
	case gatekeeper.Reconcile:
		l.pool.Submit(l.pollSessions)
	case gatekeeper.Note:
		l.telemetry.Event(c.Event)
	case gatekeeper.Violation:
		l.telemetry.Violated(c.Invariant)
	}
}

func (l *controlLoop) start(c gatekeeper.Start) {
	t := l.tasks[c.Ticket]
	ctx, stop := context.WithCancelCause(l.ctx)
	t.stop = stop
	l.pool.Submit(func() {
		l.post(l.execute(ctx, t, c))
	})
}

func (l *controlLoop) reply(c gatekeeper.Reply) {
	t := l.tasks[c.Ticket]
	if t.replied {
		l.telemetry.Violated("repliedTwice")
		return
	}
	t.replied = true
	t.closed.Store(true)
	if c.Refusal != nil {
		l.telemetry.Refused(c.Refusal.Code)
	}
	t.done <- answer{Reply: c, status: l.wireStatus(l.kernel.Status())}
	if t.stop == nil {
		delete(l.tasks, c.Ticket)
	}
}

// cut stops every run when the agent is stopped before its calls have ended.
func (l *controlLoop) cut() {
	for _, t := range l.tasks {
		if t.stop != nil {
			t.stop(errStopped)
		}
	}
}

func (a *Agent) wireStatus(status gatekeeper.Status) wire.EndpointStatus {
	return wire.EndpointStatus{
		Endpoint:      a.config.Endpoint,
		Window:        status.Window,
		Running:       status.Running,
		Queued:        status.Queued,
		QueuedStarts:  status.QueuedStarts,
		StartWait:     status.StartWait,
		Cold:          status.Cold,
		Draining:      status.Draining,
		MillisPerCall: status.MillisPerCall,
		Mark:          status.Mark,
		ControlOffset: spool.Offset(a.controlOffset.Load()),
	}
}
