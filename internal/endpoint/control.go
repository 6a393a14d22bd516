package endpoint

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/gatekeeper"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Messages to the control loop in addition to those of package gatekeeper.
type (
	// runRequested submits a call for admission.
	runRequested struct{ task *task }
	// callerDisconnected reports that the caller of a task has disconnected or
	// cancelled.
	callerDisconnected struct{ task *task }
	// outcomeQuery asks for the state and outcome of a call.
	outcomeQuery struct {
		query gatekeeper.OutcomeQuery
		reply chan<- gatekeeper.OutcomeQueryReply
	}
	// statusQuery asks for the status, including the programs whose memory the
	// engine holds.
	statusQuery struct{ reply chan<- wire.EndpointStatus }
)

// task is one endpoint.run request.
type task struct {
	request wire.RunRequest
	call    gatekeeper.Call
	send    wire.Send
	// reply receives exactly one answer. It is buffered, so that the control loop
	// never waits for the handler.
	reply chan taskReply
	// chunksClosed is set before the answer is sent. No chunk is forwarded
	// afterwards.
	chunksClosed atomic.Bool

	// Only the control loop uses the fields below.

	ticket gatekeeper.Ticket
	// cancel cancels the run. It is nil until the run starts.
	cancel context.CancelCauseFunc
	// replied is set once the answer has been sent to reply.
	replied bool
}

// taskReply is the kernel's reply to a task and the agent's state at that
// moment.
type taskReply struct {
	gatekeeper.Reply
	status wire.EndpointStatus
}

// post sends a message to the control loop. It returns false when the agent has
// stopped.
func (a *Agent) post(message any) bool {
	select {
	case a.inbox <- message:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// runControlLoop processes messages until the agent stops. Its goroutine is the
// only one that uses the kernel.
func (a *Agent) runControlLoop() {
	loop := &controlLoop{Agent: a, tasks: map[gatekeeper.Ticket]*task{}, outcomeQueries: map[gatekeeper.Ticket]chan<- gatekeeper.OutcomeQueryReply{}}
	ticker := time.NewTicker(a.config.TickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-a.ctx.Done():
			loop.cancelRuns()
			return
		case <-ticker.C:
			loop.step(gatekeeper.Tick{})
		case message := <-a.inbox:
			loop.handleMessage(message)
		}
	}
}

// controlLoop is the state of the control goroutine.
type controlLoop struct {
	*Agent
	tasks          map[gatekeeper.Ticket]*task
	outcomeQueries map[gatekeeper.Ticket]chan<- gatekeeper.OutcomeQueryReply
	lastTicket     gatekeeper.Ticket
	shuttingDown   bool
	drainedClosed  bool
}

func (l *controlLoop) handleMessage(message any) {
	switch m := message.(type) {
	case runRequested:
		l.lastTicket++
		m.task.ticket = l.lastTicket
		l.tasks[l.lastTicket] = m.task
		l.step(gatekeeper.CallArrived{Ticket: l.lastTicket, Call: m.task.call})
	case callerDisconnected:
		l.step(gatekeeper.Cancel{Ticket: m.task.ticket})
	case outcomeQuery:
		l.lastTicket++
		l.outcomeQueries[l.lastTicket] = m.reply
		m.query.Ticket = l.lastTicket
		l.step(m.query)
	case statusQuery:
		status := l.wireStatus(l.kernel.Status())
		status.HeldTokens = l.kernel.Held()
		m.reply <- status
	case gatekeeper.Shutdown:
		l.shuttingDown = true
		l.step(m)
	case gatekeeper.Finished:
		l.handleFinished(m)
	case gatekeeper.Message:
		l.step(m)
	}
}

func (l *controlLoop) handleFinished(m gatekeeper.Finished) {
	l.step(m)
	if t := l.tasks[m.Ticket]; t != nil {
		t.cancel(nil)
		delete(l.tasks, m.Ticket)
	}
}

// step passes a message to the kernel, executes the resulting commands and
// publishes the kernel's status.
func (l *controlLoop) step(message gatekeeper.Message) {
	for _, command := range l.kernel.Step(l.clock.Now(), message) {
		l.executeCommand(command)
	}
	l.eventsAfter.Store(l.kernel.LastCacheEventSequence())
	status := l.kernel.Status()
	l.status.Store(&status)
	if l.shuttingDown && !l.drainedClosed && l.kernel.Idle() {
		l.drainedClosed = true
		close(l.drained)
	}
}

func (l *controlLoop) executeCommand(command gatekeeper.Command) {
	switch c := command.(type) {
	case gatekeeper.Start:
		l.startRun(c)
	case gatekeeper.Stop:
		l.tasks[c.Ticket].cancel(errStopped)
	case gatekeeper.Reply:
		l.sendReply(c)
	case gatekeeper.OutcomeQueryReply:
		l.outcomeQueries[c.Ticket] <- c
		delete(l.outcomeQueries, c.Ticket)
	case gatekeeper.FreeMemory:
		l.pool.Submit(func() { l.freeMemory(c.Program) })
	case gatekeeper.ExportPrefix:
		l.pool.Submit(func() { l.exportPrefix(c) })
	case gatekeeper.FreeExport:
		l.pool.Submit(func() { l.freeExport(c.ID) })
	case gatekeeper.ListSessions:
		l.pool.Submit(l.pollSessions)
	case gatekeeper.CountEvent:
		l.telemetry.CountEvent(c.Event)
	case gatekeeper.Violation:
		l.telemetry.CountViolation(c.Invariant)
	}
}

func (l *controlLoop) startRun(c gatekeeper.Start) {
	t := l.tasks[c.Ticket]
	ctx, cancel := context.WithCancelCause(l.ctx)
	t.cancel = cancel
	l.pool.Submit(func() {
		l.post(l.executeRun(ctx, t, c))
	})
}

func (l *controlLoop) sendReply(c gatekeeper.Reply) {
	t := l.tasks[c.Ticket]
	if t.replied {
		l.telemetry.CountViolation("repliedTwice")
		return
	}
	t.replied = true
	t.chunksClosed.Store(true)
	if c.Refusal != nil {
		l.telemetry.CountRefusal(c.Refusal.Code)
	}
	t.reply <- taskReply{Reply: c, status: l.wireStatus(l.kernel.Status())}
	if t.cancel == nil {
		delete(l.tasks, c.Ticket)
	}
}

// cancelRuns cancels the runs that remain when the agent stops.
func (l *controlLoop) cancelRuns() {
	for _, t := range l.tasks {
		if t.cancel != nil {
			t.cancel(errStopped)
		}
	}
}

func (a *Agent) wireStatus(status gatekeeper.Status) wire.EndpointStatus {
	return wire.EndpointStatus{
		Endpoint:         a.config.Endpoint,
		Window:           status.Window,
		Running:          status.Running,
		Queued:           status.Queued,
		QueuedFirstCalls: status.QueuedFirstCalls,
		FirstCallWait:    status.FirstCallWait,
		Cold:             status.Cold,
		Draining:         status.Draining,
		MillisPerCall:    status.MillisPerCall,
		Mark:             status.Mark,
		ControlOffset:    spool.Offset(a.controlOffset.Load()),
	}
}
