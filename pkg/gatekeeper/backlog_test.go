package gatekeeper_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/gatekeeper"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// TestFirstCallWaitEstimate guards against estimating the wait of first calls from
// the rate of all calls, most of which are later calls of programs. It also guards
// against an estimate that stays low while no first call is served at all.
func TestFirstCallWaitEstimate(t *testing.T) {
	g := gomega.NewWithT(t)
	b, firstCall, laterCall := gatekeeper.NewWaitEstimator(1000), spool.CallView{}, spool.CallView{Attained: 1}
	now := clock.Millis(1000)
	for range 5 {
		b.Pushed(now, firstCall)
	}
	for range 20 {
		now += 4000
		b.Popped(now, firstCall, true)
		b.Pushed(now, firstCall)
	}
	g.Expect(b.FirstCalls()).To(gomega.Equal(5))
	g.Expect(b.Wait(now, firstCall, 5, 4, 4)).To(gomega.BeNumerically("~", 6*4000, 500))
	g.Expect(b.Wait(now, laterCall, 0, 4, 4)).To(gomega.Equal(clock.Millis(250)))
	g.Expect(b.Wait(now+20_000, firstCall, 5, 4, 4)).To(gomega.Equal(clock.Millis(6 * 20_000)))
	for range 5 {
		b.Popped(now, firstCall, false)
	}
	g.Expect(b.Wait(now, firstCall, 0, 0, 4)).To(gomega.BeZero())
}

// TestFirstCallAdmission guards against refusing later calls because first calls
// are waiting, against refusing a first call without a RetryAfter, and against a
// FirstCallWait that is not estimated from the rate at which first calls are
// served.
func TestFirstCallAdmission(t *testing.T) {
	g := gomega.NewWithT(t)
	k := newKernel(1, func(c *gatekeeper.Config) { c.MaxWait, c.MaxFirstCallWait = 1500, 3500 })
	call := func(program spool.ProgramID, attained int) gatekeeper.Call {
		c := modelCall(program, spool.Message{Role: "user", Content: string(program)})
		c.Attained = attained
		return c
	}
	for _, id := range []spool.ProgramID{"a", "b", "c", "d"} {
		g.Expect(k.refusalCode(call(id, 0))).To(gomega.BeEmpty())
	}
	reply := stepCommands[gatekeeper.Reply](k, k.arrive(call("e", 0)))[0]
	g.Expect(reply.Refusal).To(gomega.HaveValue(gomega.And(
		gomega.HaveField("Code", spool.CodeOverloaded), gomega.HaveField("NotRun", spool.NotRunTrue),
		gomega.HaveField("RetryAfter", clock.Millis(1000)))))
	g.Expect(k.refusalCode(call("f", 100))).To(gomega.BeEmpty())
	g.Expect(k.Status().QueuedFirstCalls).To(gomega.Equal(3))
	k.now += 2000
	k.Step(k.now, gatekeeper.Tick{})
	g.Expect(k.Status().FirstCallWait).To(gomega.Equal(clock.Millis(4 * 2000)))
}
