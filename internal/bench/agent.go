package bench

import (
	"cmp"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/gatekeeper"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// call is one call of a program, from its first admission request to its answer.
type call struct {
	program *program
	turn    *turn
	view    spool.CallView
	// computedTokens is the length of the prompt's prefix that some engine has already
	// computed for earlier calls.
	computedTokens int
	issuedAt       clock.Millis
	// order is the sequence number of the latest attempt, attempt its number from 1.
	order   uint64
	attempt int
	// startedAt is when the engine started the latest attempt, decode the time to
	// generate its answer.
	startedAt clock.Millis
	decode    clock.Millis
	// entry dispatched the call; agent received the latest attempt.
	entry *entry
	agent *agent
	// onEngineFailure is called when the engine crashes, restarts or is down.
	onEngineFailure func()
	// withinRate is set when one central token bucket would have admitted the latest
	// admission request of the call.
	withinRate bool
}

// isProgramStart reports whether the call is the first one of a root program.
func (c *call) isProgramStart() bool { return c.program.parent == nil && c.program.answeredTurns == 0 }

// sortedCalls returns the calls in the order of their latest attempts, so that runs are
// deterministic.
func sortedCalls(calls map[*call]struct{}) []*call {
	list := make([]*call, 0, len(calls))
	for c := range calls {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *call) int { return cmp.Compare(a.order, b.order) })
	return list
}

// agent manages one engine: it applies the queue, gate and pause policies.
type agent struct {
	*system
	id     spool.EndpointID
	domain string
	engine *engine
	queue  spool.Queue
	gate   spool.Gate
	pause  spool.PausePolicy
	// paused holds the programs whose latest call on this engine was answered and that
	// have neither sent it another call nor ended since.
	paused map[spool.ProgramID]spool.PausedProgram
	// waiting holds the queued calls by correlation identifier.
	waiting  map[string]*call
	running  int
	backlog  gatekeeper.WaitEstimator
	draining bool
	// listed reports whether the VM list contains the endpoint. returnedAt is when it
	// was listed again after a drain, or 0.
	listed     bool
	returnedAt clock.Millis
}

// window returns the number of calls that may run concurrently.
func (a *agent) window() int {
	if a.variant.unlimited {
		return 1 << 30
	}
	return a.gate.Window(a.now)
}

// estimateWait estimates the queueing time of a call that arrives now.
func (a *agent) estimateWait(call spool.CallView) clock.Millis {
	if a.variant.MaxFirstCallWait == 0 {
		return a.backlog.DrainTime(a.running+a.queue.Len()+1-a.window(), a.window())
	}
	return a.backlog.Wait(a.now, call, a.queue.Ahead(call), a.running, a.window())
}

// submit queues a call. It refuses the call when the agent drains, or when the
// expected wait is above queueMaxWait or, for first calls of programs,
// Variant.MaxFirstCallWait. Alarms are not refused for their wait.
func (a *agent) submit(c *call) {
	wait, bound := a.estimateWait(c.view), queueMaxWait
	if c.view.IsFirst() && a.variant.MaxFirstCallWait > 0 {
		bound = a.variant.MaxFirstCallWait
	}
	switch {
	case a.draining:
		a.fail(c, spool.FailureRefused, 0)
		return
	case wait > bound && !c.view.Alarm:
		a.fail(c, spool.FailureOverloaded, wait-bound)
		return
	}
	a.markResumed(c)
	a.waiting[c.view.Correlation] = c
	a.queue.Push(a.now, c.view)
	a.backlog.Pushed(a.now, c.view)
	a.startQueued()
}

// fail reports the failure of an attempt to the entry that sent it.
func (a *agent) fail(c *call, failure spool.Failure, retryAfter clock.Millis) {
	a.after(networkDelay, func() { c.entry.callFailed(c, failure, retryAfter) })
}

// startQueued starts queued calls while the window allows more.
func (a *agent) startQueued() {
	for !a.draining && a.running < a.window() {
		view, ok := a.queue.Pop(a.now)
		if !ok {
			return
		}
		c := a.waiting[view.Correlation]
		delete(a.waiting, view.Correlation)
		a.backlog.Popped(a.now, view, true)
		a.startCall(c)
	}
}

// startCall runs a call on the engine. It sets onEngineFailure of the call, so that the
// call fails if the engine does.
func (a *agent) startCall(c *call) {
	a.running++
	a.gate.Observe(a.now, spool.GateEvent{Kind: spool.GateStarted})
	c.startedAt = a.now
	c.onEngineFailure = func() {
		a.running--
		a.gate.Observe(a.now, spool.GateEvent{Kind: spool.GateFailed})
		a.queue.Served(a.now, c.view, 0)
		a.fail(c, spool.FailureEndpoint, 0)
		a.startQueued()
	}
	a.engine.run(c, func(cached int) { a.callEnded(c, cached) })
}

// callEnded handles a completed call: it informs the gate, the queue and the entry, marks
// the program as paused, and starts further calls.
func (a *agent) callEnded(c *call, cached int) {
	a.running--
	latency := float64(a.now - c.startedAt)
	a.backlog.Ended(latency)
	a.gate.Observe(a.now, spool.GateEvent{Kind: spool.GateCompleted, Latency: latency / float64(c.turn.generatedTokens)})
	a.queue.Served(a.now, c.view, c.view.PromptTokens-cached+c.turn.generatedTokens)
	a.counters.recordServed(a.now, c, cached)
	a.markPaused(c)
	a.after(networkDelay, func() { c.entry.callAnswered(c) })
	a.startQueued()
}

// drain refuses all queued calls and makes submit refuse new ones. Running calls
// complete.
func (a *agent) drain() {
	a.draining = true
	for {
		view, ok := a.queue.Pop(a.now)
		if !ok {
			return
		}
		a.fail(a.waiting[view.Correlation], spool.FailureRefused, 0)
		a.queue.Served(a.now, view, 0)
		delete(a.waiting, view.Correlation)
		a.backlog.Popped(a.now, view, false)
	}
}

// restore puts the agent back into service with a cold engine and a new gate.
func (a *agent) restore() {
	a.engine.restart()
	a.engine.downUntil = a.now
	a.gate = a.newGate()
	a.draining = false
}

// report sends the engine's load report to the gate and the pause policy after
// reportLag, and the agent's status to the entries after networkDelay. It schedules
// the next report after reportInterval.
func (a *agent) report() {
	load := a.engine.load()
	a.after(reportLag, func() {
		a.gate.Observe(a.now, spool.GateEvent{Kind: spool.GateReport, Load: load})
		a.applyPausePolicy(load)
		a.startQueued()
	})
	status := status{
		at: a.now, window: a.window(), running: a.running, queued: len(a.waiting), perCall: a.backlog.MillisPerCall(),
		starts: a.backlog.FirstCalls(), firstCallWait: a.estimateWait(spool.CallView{}),
	}
	a.after(networkDelay, func() {
		for _, e := range a.entries {
			e.status[a.id] = status
		}
	})
	a.after(reportInterval, a.report)
}

// markPaused records that the program of an answered call is paused while its tool
// runs.
func (a *agent) markPaused(c *call) {
	a.paused[c.view.Program] = spool.PausedProgram{
		Program: c.view.Program, Account: c.view.Account,
		Tokens: c.view.PromptTokens + c.turn.generatedTokens, Since: a.now,
	}
}

// markResumed tells the pause policy how long the program of a new call was paused.
func (a *agent) markResumed(c *call) {
	if view, ok := a.paused[c.view.Program]; ok {
		a.pause.Resumed(view.Program, view.Account, a.now-view.Since)
		delete(a.paused, c.view.Program)
	}
}

// applyPausePolicy asks the pause policy about the paused programs that have a cached
// prefix, and exports the prefixes that it chooses for export. It ignores other
// decisions.
func (a *agent) applyPausePolicy(load spool.EngineLoad) {
	var paused []spool.PausedProgram
	for id, view := range a.paused {
		if _, ok := a.engine.prefixes[id]; ok {
			paused = append(paused, view)
		}
	}
	slices.SortFunc(paused, func(x, y spool.PausedProgram) int { return cmp.Compare(x.Program, y.Program) })
	memory := spool.MemoryView{Tokens: load.CacheTokens, Limit: load.CacheLimit, Queued: len(a.waiting)}
	for _, decision := range a.pause.Choose(a.now, memory, paused) {
		if decision.Action == spool.PauseExport {
			a.engine.export(decision.Program)
		}
	}
}

// forgetProgram frees the exported prefix and the state of a program that has ended.
func (a *agent) forgetProgram(id spool.ProgramID) {
	a.engine.freeExport(id)
	a.pause.Forget(id)
	delete(a.paused, id)
}
