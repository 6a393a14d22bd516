package limit_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestLimit(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "limit")
}

var acme = limit.Config{Rate: 10, Burst: 40, StaticShare: 0.1}

// serving returns an owner of epoch 1 and the instant from which it serves.
func serving(config limit.Config) (*limit.Owner, clock.Millis) {
	owner := limit.NewOwner(timing, config)
	owner.TakeReleased(0, 1, 0)
	return owner, pass(owner, 0, 20*clock.Second)
}

// pass renews the owner's authority for a while and returns the end.
func pass(owner *limit.Owner, now, d clock.Millis) clock.Millis {
	for end := now + d; now < end; now += 100 {
		owner.Authority(now, now+timing.Authority)
		owner.Fresh(now, now+timing.View)
	}
	return now
}

var _ = ginkgo.Describe("Owner", func() {
	ginkgo.It("counts a return once and only in the epoch of its grant", func() {
		owner, now := serving(acme)
		drained := 0.0
		for sequence := uint64(1); sequence < 40; sequence++ {
			drained += owner.Lease(now, limit.Request{Node: "a", Sequence: sequence, Want: 100}).Granted
		}
		gomega.Expect(drained).To(gomega.BeNumerically("~", limit.PoolOf(acme, timing).Cap, 1))
		back := limit.Request{Node: "a", Sequence: 50, Returned: 8, Epoch: 1}
		owner.Lease(now, back)
		owner.Lease(now, back)
		owner.Lease(now, limit.Request{Node: "a", Sequence: 51, Returned: 8, Epoch: 7})
		got := owner.Lease(now, limit.Request{Node: "a", Sequence: 52, Want: 100}).Granted
		gomega.Expect(got).To(gomega.Equal(4.0), "half of 8 returned tokens")
	})

	ginkgo.It("waits out the authority of its predecessor and then refills an empty pool", func() {
		owner := limit.NewOwner(timing, acme)
		owner.Take(0, 2)
		now := pass(owner, 0, timing.Authority-100)
		gomega.Expect(owner.Serves(now)).To(gomega.BeFalse())
		now = pass(owner, now, 200)
		gomega.Expect(owner.Serves(now)).To(gomega.BeTrue())
		first := owner.Lease(now, limit.Request{Node: "a", Sequence: 1, Want: 100}).Granted
		gomega.Expect(first).To(gomega.BeNumerically("<=", 1), "refilled since it began to serve")
	})

	// Guards against a planned handover that costs the account its burst, and
	// against one that hands over tokens twice or beyond the new limits.
	ginkgo.It("hands its level over with a release, and none without authority", func() {
		owner, now := serving(acme)
		level, ok := owner.Release(now)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(level).To(gomega.BeNumerically("~", limit.PoolOf(acme, timing).Cap, 1))
		_, ok = owner.Release(now)
		gomega.Expect(ok).To(gomega.BeFalse(), "a second release")
		low := acme
		low.Burst = 10
		for config, expected := range map[limit.Config]float64{acme: level, low: limit.PoolOf(low, timing).Cap} {
			next := limit.NewOwner(timing, config)
			next.TakeReleased(now, 2, level)
			next.Authority(now, now+timing.Authority)
			next.Fresh(now, now+timing.View)
			taken, _ := next.Release(now)
			gomega.Expect(taken).To(gomega.BeNumerically("~", expected, 1e-6))
		}
		lapsed, now := serving(acme)
		_, ok = lapsed.Release(now + timing.Authority)
		gomega.Expect(ok).To(gomega.BeFalse(), "a release without authority")
	})

	ginkgo.It("stops granting when its settings or its claim may be outdated or its clock stepped back", func() {
		for _, stale := range []func(*limit.Owner, clock.Millis) clock.Millis{
			func(o *limit.Owner, now clock.Millis) clock.Millis {
				for range 60 {
					now += 100
					o.Authority(now, now+timing.Authority)
				}
				return now
			},
			func(_ *limit.Owner, now clock.Millis) clock.Millis { return now + timing.Authority },
			func(_ *limit.Owner, now clock.Millis) clock.Millis { return now - clock.Second },
		} {
			owner, now := serving(acme)
			gomega.Expect(owner.Serves(now)).To(gomega.BeTrue())
			gomega.Expect(owner.Serves(stale(owner, now))).To(gomega.BeFalse())
		}
	})

	ginkgo.It("keeps a token for alarms of an account that takes all it gets", func() {
		owner, now := serving(acme)
		owner.Lease(now, limit.Request{Node: "a", Sequence: 1, Want: 1, Urgent: true})
		for sequence := uint64(2); sequence < 80; sequence++ {
			owner.Lease(now, limit.Request{Node: "a", Sequence: sequence, Want: 100})
		}
		gomega.Expect(owner.Lease(now, limit.Request{Node: "a", Sequence: 90, Want: 1}).Granted).To(gomega.BeZero())
		gomega.Expect(owner.Lease(now, limit.Request{Node: "b", Sequence: 1, Want: 1, Urgent: true}).Granted).To(gomega.Equal(1.0))
	})

	ginkgo.It("grows only after every entry has had time to shrink", func() {
		low := acme
		low.StaticShare = 0.9
		owner, now := serving(low)
		owner.Configure(now, acme)
		now = pass(owner, now, timing.View)
		small := owner.Lease(now, limit.Request{Node: "a", Sequence: 1, Want: 100}).Granted
		gomega.Expect(small).To(gomega.BeNumerically("<=", limit.PoolOf(low, timing).Cap))
		now = pass(owner, now, 10*clock.Second)
		grown := owner.Lease(now, limit.Request{Node: "a", Sequence: 2, Want: 100}).Granted
		gomega.Expect(grown).To(gomega.BeNumerically(">", 10))
	})
})

var _ = ginkgo.Describe("the parts", func() {
	ginkgo.It("add up to the limits, also when the static burst is less than a token for each entry", func() {
		for _, burst := range []float64{1, 3, 12, 80, 700} {
			for _, static := range []float64{0, 0.1, 0.5, 1} {
				config := limit.Config{Rate: 50, Burst: burst, StaticShare: static}
				view := names(9)
				pool := limit.PoolOf(config, timing)
				rate, sum := pool.Rate, pool.Cap+pool.Rate*float64(pool.Lease)/1000
				for _, node := range view {
					part := limit.PartOf("acme", node, view, config)
					rate += part.Rate
					sum += part.Burst
					gomega.Expect(part.Burst == 0 || part.Burst >= 1).To(gomega.BeTrue())
				}
				gomega.Expect(rate).To(gomega.BeNumerically("<=", config.Rate+1e-9))
				gomega.Expect(sum).To(gomega.BeNumerically("<=", config.Burst+1e-9))
				gomega.Expect(sum).To(gomega.BeNumerically(">=", min(config.Burst, 12)*0.9-1), "%v", config)
			}
		}
	})
})

var _ = ginkgo.Describe("Line", func() {
	ginkgo.It("holds a request until its lease arrives and refuses what the rate cannot admit", func() {
		owner, now := serving(acme)
		share := limit.NewShare(now, "acme", "a", timing, acme)
		line := limit.NewLine(share)
		decision, held := line.Enter(now, "first")
		gomega.Expect(held).To(gomega.BeTrue())
		share.Granted(now+2, owner.Lease(now+1, *decision.Ask))
		outcomes, _ := line.Advance(now + 2)
		gomega.Expect(outcomes).To(gomega.Equal([]limit.Outcome{{ID: "first", Admitted: true}}))
		for range 100 {
			decision, held = line.Enter(now+2, "more")
		}
		gomega.Expect(held).To(gomega.BeFalse())
		gomega.Expect(decision.RetryAfter).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("lets alarms go first and programs begin last", func() {
		share := limit.NewShare(0, "acme", "a", timing, limit.Config{Rate: 2, Burst: 10, StaticShare: 1})
		share.View(0, []spool.NodeID{"a"})
		line := limit.NewLine(share)
		now := clock.Millis(0)
		for ; now < 5*clock.Second; now += 100 {
			share.Fresh(now, now+timing.View)
			line.Advance(now)
		}
		for id, class := range map[string]limit.Class{"start": limit.ClassStart, "call": limit.ClassCall, "alarm": limit.ClassAlarm} {
			_, held := line.EnterAs(now, id, class)
			gomega.Expect(held).To(gomega.BeTrue(), id)
		}
		var order []string
		for ; now < 8*clock.Second; now += 100 {
			share.Fresh(now, now+timing.View)
			outcomes, _ := line.Advance(now)
			for _, outcome := range outcomes {
				gomega.Expect(outcome.Admitted).To(gomega.BeTrue())
				order = append(order, outcome.ID)
			}
		}
		gomega.Expect(order).To(gomega.Equal([]string{"alarm", "call", "start"}))
	})

	ginkgo.It("refuses to begin programs of an account that keeps sending over its rate", func() {
		share := limit.NewShare(0, "acme", "a", timing, acme)
		line := limit.NewLine(share)
		held := true
		for now := clock.Millis(0); now < 20*clock.Second; now += 500 {
			line.EnterAs(now, "call", limit.ClassCall)
			_, held = line.EnterAs(now, "start", limit.ClassStart)
			line.Advance(now)
		}
		gomega.Expect(held).To(gomega.BeFalse())
	})

	ginkgo.It("admits by the static part while the owner is gone", func() {
		share := limit.NewShare(0, "acme", "a", timing, limit.Config{Rate: 10, Burst: 40, StaticShare: 0.2})
		share.View(0, []spool.NodeID{"a", "b"})
		line, admitted := limit.NewLine(share), 0
		for now := clock.Millis(0); now < 20*clock.Second; now += 100 {
			share.Fresh(now, now+timing.View)
			decision, _ := line.Enter(now, "call")
			outcomes, _ := line.Advance(now)
			for _, outcome := range append(outcomes, limit.Outcome{Admitted: decision.Admitted}) {
				if outcome.Admitted {
					admitted++
				}
			}
		}
		// One token a second once the part is in force, after 5.25 s.
		gomega.Expect(admitted).To(gomega.BeNumerically("~", 14, 2))
	})
})
