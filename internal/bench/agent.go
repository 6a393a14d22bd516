package bench

import (
	"cmp"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/gatekeeper"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// call is one call in progress.
type call struct {
	program *program
	turn    *turn
	view    spool.CallView
	// computedTokens is the length of the prompt's prefix that an engine has computed
	// before.
	computedTokens  int
	issuedAt        clock.Millis
	order           uint64
	attempt         int
	startedAt       clock.Millis
	decode          clock.Millis
	entry           *entry
	agent           *agent
	onEngineFailure func()
	withinRate      bool
}

// isProgramStart reports whether the call is the first one of a root program.
func (c *call) isProgramStart() bool { return c.program.parent == nil && c.program.answeredTurns == 0 }

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
	// paused holds the programs whose tools are running and whose latest call ran
	// on this engine.
	paused   map[spool.ProgramID]spool.PausedProgram
	waiting  map[string]*call
	running  int
	backlog  gatekeeper.WaitEstimator
	draining bool
	// listed and returnedAt are the state of the endpoint on the VM list: whether
	// it is listed, and when it was listed again.
	listed     bool
	returnedAt clock.Millis
}

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

// submit queues a call, or refuses it when the agent drains or the expected wait is
// above the bound.
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

func (a *agent) fail(c *call, failure spool.Failure, retryAfter clock.Millis) {
	a.after(networkDelay, func() { c.entry.callFailed(c, failure, retryAfter) })
}

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

// drain refuses all queued calls. Running calls complete.
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

// report sends the engine's load report to the gate and the agent's status to the
// entries, and schedules the next report.
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

// markPaused records that the program's tool runs from now on.
func (a *agent) markPaused(c *call) {
	a.paused[c.view.Program] = spool.PausedProgram{
		Program: c.view.Program, Account: c.view.Account,
		Tokens: c.view.PromptTokens + c.turn.generatedTokens, Since: a.now,
	}
}

func (a *agent) markResumed(c *call) {
	if view, ok := a.paused[c.view.Program]; ok {
		a.pause.Resumed(view.Program, view.Account, a.now-view.Since)
		delete(a.paused, c.view.Program)
	}
}

// applyPausePolicy executes the decisions of the pause policy.
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
