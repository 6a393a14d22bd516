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

var acmeConfig = limit.Config{Rate: 10, Burst: 40, StaticShare: 0.1}

// newServingOwner returns an owner of epoch 1 with a full pool, and a time at which
// it may grant.
func newServingOwner(config limit.Config) (*limit.Owner, clock.Millis) {
	owner := limit.NewOwner(timing, config)
	owner.TakeOverReleased(0, 1, 0)
	return owner, renewFor(owner, 0, 20*clock.Second)
}

// renewFor renews the authority and the freshness of the owner for the duration d
// and returns the time at its end.
func renewFor(owner *limit.Owner, now, d clock.Millis) clock.Millis {
	for end := now + d; now < end; now += 100 {
		owner.SetAuthorityUntil(now, now+timing.Authority)
		owner.SetFreshUntil(now, now+timing.View)
	}
	return now
}

var _ = ginkgo.Describe("Owner", func() {
	ginkgo.It("counts returned tokens once and only in the epoch that granted them", func() {
		owner, now := newServingOwner(acmeConfig)
		granted := 0.0
		for sequence := uint64(1); sequence < 40; sequence++ {
			granted += owner.Lease(now, limit.Request{Node: "a", Sequence: sequence, Requested: 100}).Granted
		}
		gomega.Expect(granted).To(gomega.BeNumerically("~", limit.PoolOf(acmeConfig, timing).Cap, 1))
		returning := limit.Request{Node: "a", Sequence: 50, Returned: 8, Epoch: 1}
		owner.Lease(now, returning)
		owner.Lease(now, returning)
		owner.Lease(now, limit.Request{Node: "a", Sequence: 51, Returned: 8, Epoch: 7})
		got := owner.Lease(now, limit.Request{Node: "a", Sequence: 52, Requested: 100}).Granted
		gomega.Expect(got).To(gomega.Equal(4.0), "half of the 8 returned tokens")
	})

	ginkgo.It("grants only after the authority of its predecessor has ended, from an empty pool", func() {
		owner := limit.NewOwner(timing, acmeConfig)
		owner.TakeOver(0, 2)
		now := renewFor(owner, 0, timing.Authority-100)
		gomega.Expect(owner.CanGrant(now)).To(gomega.BeFalse())
		now = renewFor(owner, now, 200)
		gomega.Expect(owner.CanGrant(now)).To(gomega.BeTrue())
		first := owner.Lease(now, limit.Request{Node: "a", Sequence: 1, Requested: 100}).Granted
		gomega.Expect(first).To(gomega.BeNumerically("<=", 1), "refilled since it began to grant")
	})

	// Guards against a planned handover that loses the tokens of the pool, that
	// passes them on twice, or that gives the new owner more than its limits allow.
	ginkgo.It("returns its level on release, but not without authority", func() {
		owner, now := newServingOwner(acmeConfig)
		level, ok := owner.Release(now)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(level).To(gomega.BeNumerically("~", limit.PoolOf(acmeConfig, timing).Cap, 1))
		_, ok = owner.Release(now)
		gomega.Expect(ok).To(gomega.BeFalse(), "a second release")
		low := acmeConfig
		low.Burst = 10
		for config, expected := range map[limit.Config]float64{acmeConfig: level, low: limit.PoolOf(low, timing).Cap} {
			next := limit.NewOwner(timing, config)
			next.TakeOverReleased(now, 2, level)
			next.SetAuthorityUntil(now, now+timing.Authority)
			next.SetFreshUntil(now, now+timing.View)
			taken, _ := next.Release(now)
			gomega.Expect(taken).To(gomega.BeNumerically("~", expected, 1e-6))
		}
		lapsed, now := newServingOwner(acmeConfig)
		_, ok = lapsed.Release(now + timing.Authority)
		gomega.Expect(ok).To(gomega.BeFalse(), "a release without authority")
	})

	ginkgo.It("stops granting if its settings or its claim may be outdated or if its clock steps back", func() {
		for _, stale := range []func(*limit.Owner, clock.Millis) clock.Millis{
			func(o *limit.Owner, now clock.Millis) clock.Millis {
				for range 60 {
					now += 100
					o.SetAuthorityUntil(now, now+timing.Authority)
				}
				return now
			},
			func(_ *limit.Owner, now clock.Millis) clock.Millis { return now + timing.Authority },
			func(_ *limit.Owner, now clock.Millis) clock.Millis { return now - clock.Second },
		} {
			owner, now := newServingOwner(acmeConfig)
			gomega.Expect(owner.CanGrant(now)).To(gomega.BeTrue())
			gomega.Expect(owner.CanGrant(stale(owner, now))).To(gomega.BeFalse())
		}
	})

	ginkgo.It("reserves a token for alarms of an account that uses all available tokens", func() {
		owner, now := newServingOwner(acmeConfig)
		owner.Lease(now, limit.Request{Node: "a", Sequence: 1, Requested: 1, Urgent: true})
		for sequence := uint64(2); sequence < 80; sequence++ {
			owner.Lease(now, limit.Request{Node: "a", Sequence: sequence, Requested: 100})
		}
		gomega.Expect(owner.Lease(now, limit.Request{Node: "a", Sequence: 90, Requested: 1}).Granted).To(gomega.BeZero())
		gomega.Expect(owner.Lease(now, limit.Request{Node: "b", Sequence: 1, Requested: 1, Urgent: true}).Granted).To(gomega.Equal(1.0))
	})

	ginkgo.It("grows only after every entry has had time to shrink its allocation", func() {
		low := acmeConfig
		low.StaticShare = 0.9
		owner, now := newServingOwner(low)
		owner.Configure(now, acmeConfig)
		now = renewFor(owner, now, timing.View)
		small := owner.Lease(now, limit.Request{Node: "a", Sequence: 1, Requested: 100}).Granted
		gomega.Expect(small).To(gomega.BeNumerically("<=", limit.PoolOf(low, timing).Cap))
		now = renewFor(owner, now, 10*clock.Second)
		grown := owner.Lease(now, limit.Request{Node: "a", Sequence: 2, Requested: 100}).Granted
		gomega.Expect(grown).To(gomega.BeNumerically(">", 10))
	})
})

var _ = ginkgo.Describe("Pool and static allocations", func() {
	ginkgo.It("add up to the limits, even if the static burst is less than one token per entry", func() {
		for _, burst := range []float64{1, 3, 12, 80, 700} {
			for _, static := range []float64{0, 0.1, 0.5, 1} {
				config := limit.Config{Rate: 50, Burst: burst, StaticShare: static}
				view := entryIDs(9)
				pool := limit.PoolOf(config, timing)
				rate, sum := pool.Rate, pool.Cap+pool.Rate*float64(pool.Lease)/1000
				for _, node := range view {
					allocation := limit.StaticAllocationOf("acme", node, view, config)
					rate += allocation.Rate
					sum += allocation.Burst
					gomega.Expect(allocation.Burst == 0 || allocation.Burst >= 1).To(gomega.BeTrue())
				}
				gomega.Expect(rate).To(gomega.BeNumerically("<=", config.Rate+1e-9))
				gomega.Expect(sum).To(gomega.BeNumerically("<=", config.Burst+1e-9))
				gomega.Expect(sum).To(gomega.BeNumerically(">=", min(config.Burst, 12)*0.9-1), "%v", config)
			}
		}
	})
})

var _ = ginkgo.Describe("Line", func() {
	ginkgo.It("queues a request until its lease arrives and refuses requests that the rate cannot admit", func() {
		owner, now := newServingOwner(acmeConfig)
		share := limit.NewShare(now, "acme", "a", timing, acmeConfig)
		queue := limit.NewQueue(share)
		decision, queued := queue.Submit(now, "first")
		gomega.Expect(queued).To(gomega.BeTrue())
		share.HandleGrant(now+2, owner.Lease(now+1, *decision.Request))
		outcomes, _ := queue.Advance(now + 2)
		gomega.Expect(outcomes).To(gomega.Equal([]limit.Outcome{{ID: "first", Admitted: true}}))
		for range 100 {
			decision, queued = queue.Submit(now+2, "more")
		}
		gomega.Expect(queued).To(gomega.BeFalse())
		gomega.Expect(decision.RetryAfter).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("admits alarms first and first calls of programs last", func() {
		share := limit.NewShare(0, "acme", "a", timing, limit.Config{Rate: 2, Burst: 10, StaticShare: 1})
		share.SetView(0, []spool.NodeID{"a"})
		queue := limit.NewQueue(share)
		now := clock.Millis(0)
		for ; now < 5*clock.Second; now += 100 {
			share.SetFreshUntil(now, now+timing.View)
			queue.Advance(now)
		}
		for id, class := range map[string]limit.Class{"start": limit.ClassStart, "call": limit.ClassCall, "alarm": limit.ClassAlarm} {
			_, queued := queue.SubmitAs(now, id, class)
			gomega.Expect(queued).To(gomega.BeTrue(), id)
		}
		var order []string
		for ; now < 8*clock.Second; now += 100 {
			share.SetFreshUntil(now, now+timing.View)
			outcomes, _ := queue.Advance(now)
			for _, outcome := range outcomes {
				gomega.Expect(outcome.Admitted).To(gomega.BeTrue())
				order = append(order, outcome.ID)
			}
		}
		gomega.Expect(order).To(gomega.Equal([]string{"alarm", "call", "start"}))
	})

	ginkgo.It("refuses first calls of programs while the account keeps sending above its rate", func() {
		share := limit.NewShare(0, "acme", "a", timing, acmeConfig)
		queue := limit.NewQueue(share)
		queued := true
		for now := clock.Millis(0); now < 20*clock.Second; now += 500 {
			queue.SubmitAs(now, "call", limit.ClassCall)
			_, queued = queue.SubmitAs(now, "start", limit.ClassStart)
			queue.Advance(now)
		}
		gomega.Expect(queued).To(gomega.BeFalse())
	})

	// Guards against refusing each request in the 0.3 s after the return of all entries, in
	// which the pools have no owner yet, so that programs lose a try and half a second.
	ginkgo.Describe("of an account whose owner is about to grant", func() {
		impatient := timing
		impatient.MinQueueWait, impatient.MaxQueueWait, impatient.OwnerWait = 45, 45, 300
		config := limit.Config{Rate: 50, Burst: 50}

		// waitOf submits a call at the time start and returns how long it is queued. answer
		// returns the answer to a request of the share; nil for none.
		waitOf := func(start clock.Millis, answer func(now clock.Millis, request limit.Request) *limit.Grant) (admitted bool, waited clock.Millis) {
			share := limit.NewShare(0, "acme", "a", impatient, config)
			queue := limit.NewQueue(share)
			for now := clock.Millis(0); now < start+clock.Second; now += 5 {
				var decision limit.Decision
				if now == start {
					decision, _ = queue.Submit(now, "call")
				}
				outcomes, request := queue.Advance(now)
				if decision.Request != nil {
					request = decision.Request
				}
				if len(outcomes) > 0 {
					return outcomes[0].Admitted, now - start
				}
				if request == nil {
					continue
				}
				if grant := answer(now, *request); grant != nil {
					grant.Sequence = request.Sequence
					share.HandleGrant(now, *grant)
				} else {
					share.HandleLoss(now, request.Sequence)
				}
			}
			return false, clock.Second
		}

		ginkgo.It("keeps a request that comes before the first owner", func() {
			admitted, waited := waitOf(10, func(now clock.Millis, request limit.Request) *limit.Grant {
				if now < 250 {
					return nil
				}
				return &limit.Grant{Granted: request.Requested, LeaseDuration: 250}
			})
			gomega.Expect(admitted).To(gomega.BeTrue())
			gomega.Expect(waited).To(gomega.BeNumerically("<", 300))
		})

		ginkgo.It("keeps a request while the owner says that it will grant within the wait", func() {
			grantsFrom := 2*clock.Second + 200
			admitted, waited := waitOf(2*clock.Second, func(now clock.Millis, request limit.Request) *limit.Grant {
				if now < grantsFrom {
					return &limit.Grant{Withheld: true, RetryAfter: grantsFrom - now, LeaseDuration: 250}
				}
				return &limit.Grant{Granted: request.Requested, LeaseDuration: 250}
			})
			gomega.Expect(admitted).To(gomega.BeTrue())
			gomega.Expect(waited).To(gomega.BeNumerically("<", 250))
		})

		ginkgo.It("refuses a request at once when an owner is lost", func() {
			admitted, waited := waitOf(2*clock.Second, func(clock.Millis, limit.Request) *limit.Grant { return nil })
			gomega.Expect(admitted).To(gomega.BeFalse())
			gomega.Expect(waited).To(gomega.BeNumerically("<=", 50))
		})

		ginkgo.It("refuses a request at once when the owner will grant only after the wait", func() {
			admitted, waited := waitOf(2*clock.Second, func(clock.Millis, limit.Request) *limit.Grant {
				return &limit.Grant{Withheld: true, RetryAfter: 900, LeaseDuration: 250}
			})
			gomega.Expect(admitted).To(gomega.BeFalse())
			gomega.Expect(waited).To(gomega.BeNumerically("<=", 50))
		})
	})

	ginkgo.It("admits from the static allocation while the pool has no owner", func() {
		share := limit.NewShare(0, "acme", "a", timing, limit.Config{Rate: 10, Burst: 40, StaticShare: 0.2})
		share.SetView(0, []spool.NodeID{"a", "b"})
		queue, admitted := limit.NewQueue(share), 0
		for now := clock.Millis(0); now < 20*clock.Second; now += 100 {
			share.SetFreshUntil(now, now+timing.View)
			decision, _ := queue.Submit(now, "call")
			outcomes, _ := queue.Advance(now)
			for _, outcome := range append(outcomes, limit.Outcome{Admitted: decision.Admitted}) {
				if outcome.Admitted {
					admitted++
				}
			}
		}
		// The allocation admits one request per second from 5.25 s on, when it comes
		// into force.
		gomega.Expect(admitted).To(gomega.BeNumerically("~", 14, 2))
	})
})
