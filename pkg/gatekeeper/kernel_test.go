package gatekeeper_test

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/gatekeeper"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestGatekeeper(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "gatekeeper")
}

// fifo is a queue that serves calls in the order in which they were pushed.
type fifo struct{ calls []spool.CallView }

func (q *fifo) Push(_ clock.Millis, call spool.CallView) { q.calls = append(q.calls, call) }

func (q *fifo) Pop(clock.Millis) (call spool.CallView, ok bool) {
	if len(q.calls) == 0 {
		return call, false
	}
	call, q.calls = q.calls[0], q.calls[1:]
	return call, true
}

func (q *fifo) Remove(correlation string) bool {
	for i, call := range q.calls {
		if call.Correlation == correlation {
			q.calls = append(q.calls[:i:i], q.calls[i+1:]...)
			return true
		}
	}
	return false
}

// Ahead counts the calls that a queue would serve before call if it served alarms
// first and first calls of programs last. Pop ignores this order.
func (q *fifo) Ahead(call spool.CallView) (ahead int) {
	for _, other := range q.calls {
		if other.Alarm || !call.Alarm && (call.IsFirst() || !other.IsFirst()) {
			ahead++
		}
	}
	return ahead
}

func (q *fifo) Served(clock.Millis, spool.CallView, int) {}
func (q *fifo) Len() int                                 { return len(q.calls) }

// fakeGate is a gate with a settable window that records its events.
type fakeGate struct {
	size   int
	events []spool.GateEventKind
}

func (w *fakeGate) Window(clock.Millis) int { return w.size }
func (w *fakeGate) Observe(_ clock.Millis, event spool.GateEvent) {
	w.events = append(w.events, event.Kind)
}
func (w *fakeGate) Cold(clock.Millis) bool { return false }

// exportAll is a pause policy that exports every prefix, except the prefix of
// program 1, which it drops.
type exportAll struct{}

func (exportAll) Resumed(spool.ProgramID, spool.AccountID, clock.Millis) {}
func (exportAll) Forget(spool.ProgramID)                                 {}

func (exportAll) Choose(_ clock.Millis, _ spool.MemoryView, paused []spool.PausedProgram) (decisions []spool.PauseDecision) {
	for _, view := range paused {
		action := spool.PauseExport
		if view.Program == "1" {
			action = spool.PauseDrop
		}
		decisions = append(decisions, spool.PauseDecision{Program: view.Program, Action: action})
	}
	return decisions
}

// kernel is a kernel under test with its gate, the present time and the ticket of
// the last call sent to it.
type kernel struct {
	*gatekeeper.Kernel
	gate   *fakeGate
	now    clock.Millis
	ticket gatekeeper.Ticket
}

func newKernel(size int, change func(*gatekeeper.Config)) *kernel {
	config := gatekeeper.DefaultConfig()
	config.InitialServiceTime = 1000
	if change != nil {
		change(&config)
	}
	gate := &fakeGate{size: size}
	return &kernel{Kernel: gatekeeper.New(config, "boot", &fifo{}, gate, exportAll{}), gate: gate, now: 1}
}

// stepCommands passes a message to the kernel and returns the resulting commands of
// type C.
func stepCommands[C gatekeeper.Command](k *kernel, message gatekeeper.Message) (found []C) {
	for _, command := range k.Step(k.now, message) {
		if c, ok := command.(C); ok {
			found = append(found, c)
		}
	}
	return found
}

// arrive returns the arrival of a call under the next ticket, without passing it to
// the kernel.
func (k *kernel) arrive(call gatekeeper.Call) gatekeeper.CallArrived {
	k.ticket++
	return gatekeeper.CallArrived{Ticket: k.ticket, Call: call}
}

// refusalCode sends a call to the kernel and returns the code of its refusal, or ""
// if it was not refused in the same step.
func (k *kernel) refusalCode(call gatekeeper.Call) spool.Code {
	for _, reply := range stepCommands[gatekeeper.Reply](k, k.arrive(call)) {
		if reply.Ticket == k.ticket && reply.Refusal != nil {
			return reply.Refusal.Code
		}
	}
	return ""
}

func serviceCall(id int) gatekeeper.Call {
	return gatekeeper.Call{
		Key:    gatekeeper.Key{Account: "kuiseb", Program: "p", Call: spool.CallID(fmt.Sprint(id))},
		Stream: "programs-0", Epoch: 1, Attempt: 1, Service: true,
	}
}

func modelCall(program spool.ProgramID, messages ...spool.Message) gatekeeper.Call {
	return gatekeeper.Call{
		Key:    gatekeeper.Key{Account: "kuiseb", Program: program, Call: "1"},
		Stream: "programs-0", Epoch: 1, Idempotent: true, Messages: messages,
	}
}

func modelDone(ticket gatekeeper.Ticket, cached int) gatekeeper.Finished {
	result := &spool.EngineResult{Text: "fog", PromptTokens: 100, CachedTokens: cached, GeneratedTokens: 10}
	return gatekeeper.Finished{Ticket: ticket, Outcome: gatekeeper.Outcome{Engine: result}}
}

var _ = ginkgo.Describe("Kernel", func() {
	serviceDone := func(ticket gatekeeper.Ticket) gatekeeper.Finished {
		return gatekeeper.Finished{Ticket: ticket, Outcome: gatekeeper.Outcome{Service: &spool.ServiceResult{}}}
	}

	ginkgo.It("refuses calls above the maximum expected wait with a retry time from the drain rate, but still admits alarms", func() {
		k := newKernel(2, func(c *gatekeeper.Config) { c.MaxWait = 1000 })
		for i := range 4 {
			gomega.Expect(k.refusalCode(serviceCall(i))).To(gomega.BeEmpty())
		}
		reply := stepCommands[gatekeeper.Reply](k, k.arrive(serviceCall(4)))[0]
		gomega.Expect(reply.Refusal).To(gomega.HaveValue(gomega.And(
			gomega.HaveField("Code", spool.CodeOverloaded), gomega.HaveField("NotRun", spool.NotRunTrue),
			gomega.HaveField("RetryAfter", clock.Millis(500)))))
		alarm := serviceCall(5)
		alarm.Alarm = true
		gomega.Expect(k.refusalCode(alarm)).To(gomega.BeEmpty())
	})

	ginkgo.It("refuses waiting calls some time after a drain so that the endpoint gets no new work", func() {
		k := newKernel(1, nil)
		stepCommands[gatekeeper.Start](k, k.arrive(serviceCall(1)))
		stepCommands[gatekeeper.Start](k, k.arrive(serviceCall(2)))
		k.Step(k.now, gatekeeper.Drain{On: true})
		gomega.Expect(k.refusalCode(serviceCall(3))).To(gomega.Equal(spool.CodeDraining))
		k.now += 1000
		gomega.Expect(stepCommands[gatekeeper.Reply](k, gatekeeper.Tick{})).To(gomega.ConsistOf(gomega.HaveField("Refusal.Code", spool.CodeDraining)))
		gomega.Expect(stepCommands[gatekeeper.Reply](k, serviceDone(1))).To(gomega.ConsistOf(gomega.HaveField("Refusal", gomega.BeNil())))
		gomega.Expect(k.Idle()).To(gomega.BeTrue())
	})

	ginkgo.It("lets a non-idempotent call run to its end after its caller has left, and stops an idempotent one", func() {
		k := newKernel(2, nil)
		call := serviceCall(1)
		call.DeadlineIn = 100
		stepCommands[gatekeeper.Start](k, k.arrive(call))
		k.now += 100
		reply := stepCommands[gatekeeper.Reply](k, gatekeeper.Tick{})[0]
		gomega.Expect(reply.Refusal.NotRun).To(gomega.Equal(spool.NotRunUnknown))
		gomega.Expect(stepCommands[gatekeeper.Reply](k, serviceDone(1))).To(gomega.BeEmpty())
		gomega.Expect(stepCommands[gatekeeper.Reply](k, k.arrive(serviceCall(1)))).To(gomega.ConsistOf(gomega.HaveField("Recorded", true)))
		stepCommands[gatekeeper.Start](k, k.arrive(modelCall("q", spool.Message{Role: "user"})))
		gomega.Expect(stepCommands[gatekeeper.Stop](k, gatekeeper.Cancel{Ticket: k.ticket})).To(gomega.HaveLen(1))
	})

	ginkgo.It("refuses non-idempotent calls instead of dropping an outcome before the end of its retention time", func() {
		k := newKernel(2, func(c *gatekeeper.Config) { c.MaxOutcomes = 1 })
		gomega.Expect(k.refusalCode(serviceCall(1))).To(gomega.BeEmpty())
		k.Step(k.now, serviceDone(1))
		gomega.Expect(k.refusalCode(serviceCall(2))).To(gomega.Equal(spool.CodeOverloaded))
		k.now += gatekeeper.DefaultConfig().OutcomeRetention
		gomega.Expect(k.refusalCode(serviceCall(2))).To(gomega.BeEmpty())
	})

	ginkgo.It("asks for the history only when the cached history does not match the base of the call", func() {
		k := newKernel(2, nil)
		question, answered := spool.Message{Role: "user", Content: "fog?"}, spool.AnswerMessage("fog")
		k.Step(k.now, k.arrive(modelCall("p", question)))
		k.Step(k.now, modelDone(k.ticket, 0))
		next := modelCall("p", spool.Message{Role: "user", Content: "where?"})
		next.BaseCount, next.BaseDigest = 2, spool.HistoryDigest("", question, answered)
		start := stepCommands[gatekeeper.Start](k, k.arrive(next))[0]
		gomega.Expect(start.Messages).To(gomega.Equal([]spool.Message{question, answered, next.Messages[0]}))
		otherBase := next
		otherBase.BaseDigest = spool.HistoryDigest("", answered, question)
		gomega.Expect(k.refusalCode(otherBase)).To(gomega.Equal(spool.CodeNeedHistory))
		otherAccount := next
		otherAccount.Key.Account = "sahel"
		gomega.Expect(k.refusalCode(otherAccount)).To(gomega.Equal(spool.CodeNeedHistory))
	})

	ginkgo.It("frees memory when the lease lapses and gives found sessions a grace lease", func() {
		k := newKernel(2, nil)
		k.Step(k.now, gatekeeper.SessionList{RequestedAt: k.now, Programs: []spool.ProgramID{"lost", "owned"}})
		k.Step(k.now, gatekeeper.RenewLeases{Programs: []spool.ProgramID{"owned"}, LeaseDuration: clock.Minute})
		gomega.Expect(stepCommands[gatekeeper.FreeMemory](k, gatekeeper.Tick{})).To(gomega.BeEmpty())
		k.now += gatekeeper.DefaultConfig().GraceLease
		gomega.Expect(stepCommands[gatekeeper.FreeMemory](k, gatekeeper.Tick{})).To(gomega.Equal([]gatekeeper.FreeMemory{{Program: "lost"}}))
		gomega.Expect(stepCommands[gatekeeper.FreeMemory](k, gatekeeper.RenewLeases{Ended: []spool.ProgramID{"owned"}})).To(gomega.HaveLen(1))
	})

	ginkgo.It("repeats a release that failed, and not while a call is active", func() {
		k := newKernel(2, nil)
		k.Step(k.now, gatekeeper.SessionList{RequestedAt: k.now, Programs: []spool.ProgramID{"p"}})
		gomega.Expect(stepCommands[gatekeeper.FreeMemory](k, gatekeeper.RenewLeases{Ended: []spool.ProgramID{"p"}})).To(gomega.HaveLen(1))
		k.Step(k.now, gatekeeper.MemoryFreed{Program: "p"})
		gomega.Expect(k.Held()).To(gomega.HaveKey(spool.ProgramID("p")))
		k.now += gatekeeper.DefaultConfig().FreeRetryDelay
		gomega.Expect(stepCommands[gatekeeper.FreeMemory](k, gatekeeper.Tick{})).To(gomega.HaveLen(1))
		k.Step(k.now, gatekeeper.MemoryFreed{Program: "p", OK: true})
		gomega.Expect(k.Held()).To(gomega.BeEmpty())
		k.Step(k.now, k.arrive(modelCall("p", spool.Message{Role: "user"})))
		gomega.Expect(stepCommands[gatekeeper.FreeMemory](k, gatekeeper.RenewLeases{Ended: []spool.ProgramID{"p"}})).To(gomega.BeEmpty())
		gomega.Expect(stepCommands[gatekeeper.FreeMemory](k, modelDone(k.ticket, 0))).To(gomega.HaveLen(1))
	})

	ginkgo.It("requests the list of sessions after a gap in the cache events", func() {
		k := newKernel(2, nil)
		events := []spool.CacheEvent{{Sequence: 4, Program: "p", Tokens: 7}, {Sequence: 5, Program: "p", Tokens: 8}}
		gomega.Expect(stepCommands[gatekeeper.ListSessions](k, gatekeeper.CacheEvents{Events: events})).To(gomega.BeEmpty())
		gomega.Expect(k.Held()).To(gomega.Equal(map[spool.ProgramID]int{"p": 8}))
		events = []spool.CacheEvent{{Sequence: 7, Program: "p"}}
		gomega.Expect(stepCommands[gatekeeper.ListSessions](k, gatekeeper.CacheEvents{After: 5, Events: events})).To(gomega.HaveLen(1))
		gomega.Expect(k.Held()).To(gomega.BeEmpty())
		k.Step(k.now, gatekeeper.CacheEvents{After: 5, Events: []spool.CacheEvent{{Sequence: 8, Program: "stale", Tokens: 7}}})
		gomega.Expect(k.Held()).To(gomega.BeEmpty())
	})

	ginkgo.It("reports a lost cache, a failed call and an unreachable engine to the gate", func() {
		k := newKernel(2, nil)
		message := spool.Message{Role: "user", Content: "fog?"}
		k.Step(k.now, k.arrive(modelCall("p", message)))
		k.Step(k.now, modelDone(k.ticket, 0))
		next := modelCall("p", message)
		next.BaseCount, next.BaseDigest = 2, spool.HistoryDigest("", message, spool.AnswerMessage("fog"))
		k.Step(k.now, k.arrive(next))
		k.Step(k.now, modelDone(k.ticket, 0))
		k.Step(k.now, k.arrive(serviceCall(2)))
		k.Step(k.now, gatekeeper.Finished{Ticket: k.ticket, Ending: gatekeeper.EndFailed})
		k.Step(k.now, gatekeeper.Unreachable{})
		k.Step(k.now, k.arrive(modelCall("q", message)))
		k.Step(k.now, gatekeeper.Finished{Ticket: k.ticket, Ending: gatekeeper.EndStopped})
		gomega.Expect(k.gate.events).To(gomega.Equal([]spool.GateEventKind{
			spool.GateStarted, spool.GateCompleted, spool.GateStarted, spool.GateCompleted, spool.GateCacheEmptied,
			spool.GateStarted, spool.GateFailed, spool.GateStarted, spool.GateFailed, spool.GateStarted, spool.GateEnded,
		}))
	})

	ginkgo.It("forgets the engine memory when the generation or the uptime shows a restart", func() {
		for _, load := range []spool.EngineLoad{{Generation: 2, Uptime: 90}, {Generation: 1, Uptime: 5}} {
			k := newKernel(2, nil)
			k.Step(k.now, gatekeeper.LoadReport{Load: spool.EngineLoad{Generation: 1, Uptime: 50}})
			k.Step(k.now, gatekeeper.CacheEvents{Events: []spool.CacheEvent{{Sequence: 9, Program: "p", Tokens: 7}}})
			gomega.Expect(stepCommands[gatekeeper.CountEvent](k, gatekeeper.LoadReport{Load: load})).To(gomega.ConsistOf(gatekeeper.CountEvent{Event: "engineRestarted"}))
			gomega.Expect(k.Held()).To(gomega.BeEmpty())
			gomega.Expect(k.LastCacheEventSequence()).To(gomega.BeZero())
		}
	})
})

// BenchmarkCall measures the time and the allocations of the kernel for one model
// call, from arrival to end, that extends a cached history.
func BenchmarkCall(b *testing.B) {
	k := newKernel(64, nil)
	question := spool.Message{Role: "user", Content: "fog?"}
	k.Step(k.now, k.arrive(modelCall("p", question)))
	k.Step(k.now, modelDone(k.ticket, 0))
	call := modelCall("p", question)
	call.BaseCount, call.BaseDigest = 2, spool.HistoryDigest("", question, spool.AnswerMessage("fog"))
	call.Digests = spool.HistoryDigests(call.BaseDigest, call.Messages)
	call.DeadlineIn = 100
	b.ReportAllocs()
	for b.Loop() {
		k.now++
		k.Step(k.now, k.arrive(call))
		k.Step(k.now, modelDone(k.ticket, 90))
	}
}
