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
	// callerDisconnected reports that the caller of a task has disconnected or has
	// cancelled the request.
	callerDisconnected struct{ task *task }
	// outcomeQuery asks the kernel for the state and outcome of a call. reply must
	// be buffered.
	outcomeQuery struct {
		query gatekeeper.OutcomeQuery
		reply chan<- gatekeeper.OutcomeQueryReply
	}
	// statusQuery asks for the agent's status with HeldTokens set. reply must be
	// buffered.
	statusQuery struct{ reply chan<- wire.EndpointStatus }
)

// task is one endpoint.run request.
type task struct {
	request wire.RunRequest
	call    gatekeeper.Call
	send    wire.Send
	// reply receives at most one answer; none if the agent stops first. It is
	// buffered, so that the control loop never waits for handleRun.
	reply chan taskReply
	// chunksClosed is set before the answer is sent to reply. Chunks that arrive
	// later are not forwarded to the caller.
	chunksClosed atomic.Bool

	// Only the control loop uses the fields below.

	ticket gatekeeper.Ticket
	// cancel cancels the run at the endpoint. It is nil until the run starts.
	cancel context.CancelCauseFunc
	// replied is set once the answer has been sent to reply.
	replied bool
}

// taskReply is the kernel's reply to a task together with the agent's status at the
// time of the reply.
type taskReply struct {
	gatekeeper.Reply
	status wire.EndpointStatus
}

// post sends a message to the control loop and waits while the inbox is full. It
// returns false if the agent stops before the message is accepted.
func (a *Agent) post(message any) bool {
	select {
	case a.inbox <- message:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// runControlLoop processes messages and ticks until the agent stops, and then
// cancels the remaining runs. Only its goroutine uses the kernel.
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

// controlLoop is the state that only the goroutine of runControlLoop uses.
type controlLoop struct {
	*Agent
	// tasks holds the tasks that have not been answered or whose run has not ended.
	tasks map[gatekeeper.Ticket]*task
	// outcomeQueries holds the reply channels of unanswered outcome queries.
	outcomeQueries map[gatekeeper.Ticket]chan<- gatekeeper.OutcomeQueryReply
	// lastTicket is the number of tickets assigned to tasks and outcome queries.
	lastTicket gatekeeper.Ticket
	// shuttingDown is set by gatekeeper.Shutdown.
	shuttingDown bool
	// drainedClosed reports that drained has been closed.
	drainedClosed bool
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
// stores the kernel's status for other goroutines. During a shutdown, it closes
// drained once the kernel has no work left.
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
