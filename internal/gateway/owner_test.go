package gateway_test

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/gateway"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Two owners that grant at once admit twice an account's limit.
var _ = ginkgo.Describe("The claim of the pools", func() {
	const (
		ownClaim          = `{"node":"me","lifetime":"m"}`
		ownWaitingClaim   = `{"node":"me","lifetime":"m","after":[{"lifetime":"a1"}]}`
		otherClaim        = `{"node":"a","lifetime":"a1"}`
		otherWaitingClaim = `{"node":"b","lifetime":"b1","after":[{"lifetime":"a1"}]}`
	)
	var (
		manualClock *clock.Manual
		owner       gateway.PoolOwner
	)
	ginkgo.BeforeEach(func() {
		manualClock = clock.NewManual(1000)
		owner = gateway.NewPoolOwner("me", "m", manualClock)
	})

	ginkgo.It("grants at once when nobody has claimed before", func() {
		gomega.Expect(owner.Vacant("me")).To(gomega.BeTrue())
		gomega.Expect(owner.Waits()).To(gomega.BeFalse())
		owner.Observe(ownClaim, 0)
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
	})

	ginkgo.It("waits for an owner that may still grant, also when it was written twice", func() {
		owner.Observe(otherClaim, 0)
		owner.Touch(false)
		owner.Observe(ownWaitingClaim, 1)
		gomega.Expect(owner.Grants()).To(gomega.BeFalse())
		owner.Observe(ownWaitingClaim, 2)
		gomega.Expect(owner.Grants()).To(gomega.BeFalse())
		manualClock.Advance(clock.Second / 2)
		gomega.Expect(owner.Grants()).To(gomega.BeFalse())
		manualClock.Advance(clock.Second)
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
	})

	ginkgo.It("grants at once when the process of the owner before has ended", func() {
		owner.Observe(otherClaim, 0)
		owner.MarkGone("a1")
		gomega.Expect(owner.Waits()).To(gomega.BeFalse())
		owner.Observe(ownClaim, 1)
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
	})

	ginkgo.It("waits when the one that ended was itself waiting", func() {
		owner.Observe(otherClaim, 0)
		owner.Observe(otherWaitingClaim, 1)
		owner.MarkGone("b1")
		gomega.Expect(owner.Waits()).To(gomega.BeTrue())
		owner.Observe(ownWaitingClaim, 2)
		gomega.Expect(owner.Grants()).To(gomega.BeFalse())
		manualClock.Advance(7 * clock.Second)
		gomega.Expect(owner.Grants()).To(gomega.BeFalse(), "the first owner may not know this gateway")
		manualClock.Advance(4 * clock.Second)
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
		gomega.Expect(owner.Vacant("me")).To(gomega.BeTrue(), "the record still says that it waits")
		gomega.Expect(owner.Waits()).To(gomega.BeFalse())
	})

	ginkgo.It("waits for the owner that named it when it stopped, which grants until it is asked", func() {
		owner.Observe(otherClaim, 0)
		owner.Touch(false)
		owner.Observe(ownWaitingClaim, 1)
		gomega.Expect(owner.Grants()).To(gomega.BeFalse())
		owner.ProbeAnswered("a1")
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
	})

	ginkgo.It("waits when it is the first record that it sees of a handover", func() {
		owner.Observe(ownWaitingClaim, 1)
		gomega.Expect(owner.Grants()).To(gomega.BeFalse())
	})

	// A stopping owner that released its pools before the record was written left them
	// without an owner for as long as the store did not take it: 8 s of an outage.
	ginkgo.It("stays with an owner that stops while the store takes no record", func() {
		owner.Observe(ownClaim, 0)
		owner.FailWrites(true)
		stopped := make(chan struct{})
		ctx, cancel := context.WithCancel(background())
		go func() {
			defer close(stopped)
			owner.HandOver(ctx, "a", "a1", false)
		}()
		gomega.Eventually(owner.Writes, eventuallyTimeout).Should(gomega.BeNumerically(">=", 2))
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
		cancel()
		gomega.Eventually(stopped, eventuallyTimeout).Should(gomega.BeClosed())
		owner.FailWrites(false)
		owner.HandOver(background(), "a", "a1", false)
		gomega.Expect(owner.Grants()).To(gomega.BeTrue(), "until the record is read")
		owner.Observe(owner.Written(), 1)
		gomega.Expect(owner.Grants()).To(gomega.BeFalse())
	})

	// The store may execute the record of a handover long after it was sent.
	ginkgo.It("passes on when a late record names another gateway, which waits", func() {
		owner.Observe(otherClaim, 0)
		owner.MarkGone("a1")
		owner.Observe(ownClaim, 1)
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
		owner.Observe(`{"node":"c","lifetime":"c1","after":[{"lifetime":"m"}]}`, 2)
		gomega.Expect(owner.Grants()).To(gomega.BeFalse())
		gomega.Expect(owner.YieldTo(3)).To(gomega.Equal(spool.Epoch(2)), "its pools are handed over when they are asked for")
	})

	// While the store is away nothing confirms an owner; one that grants on needs to know
	// that nobody else does.
	ginkgo.It("grants by promises while the store is away, for a time", func() {
		owner.Observe(ownClaim, 0)
		owner.Confirm(manualClock.Now())
		for range 20 {
			manualClock.Advance(700)
			owner.Extend(true)
		}
		until := owner.GrantsUntil()
		gomega.Expect(until).To(gomega.BeNumerically(">", 1000+9*clock.Second))
		gomega.Expect(until).To(gomega.BeNumerically("<=", 1000+10*clock.Second))
	})

	ginkgo.It("grants no longer than the last round in which everybody promised", func() {
		owner.Observe(ownClaim, 0)
		owner.Confirm(manualClock.Now())
		manualClock.Advance(700)
		owner.Extend(true)
		manualClock.Advance(700)
		owner.Extend(false)
		gomega.Expect(owner.GrantsUntil()).To(gomega.Equal(1700 + clock.Second))
	})

	// A gateway that was restarted asked its own address for the owner before, and then
	// promised itself not to grant.
	ginkgo.It("does not promise anything to itself", func() {
		owner.AskItself()
		owner.Observe(ownClaim, 0)
		owner.Confirm(manualClock.Now())
		manualClock.Advance(700)
		gomega.Expect(owner.Asked()).To(gomega.BeZero())
	})

	ginkgo.It("does not claim or grant while a promise lasts", func() {
		owner.Observe(otherClaim, 0)
		owner.MarkGone("a1")
		gomega.Expect(owner.Promise(1)).To(gomega.BeTrue())
		gomega.Expect(owner.Vacant("me")).To(gomega.BeFalse())
		owner.Observe(ownClaim, 1)
		gomega.Expect(owner.Grants()).To(gomega.BeFalse())
		gomega.Expect(owner.Promise(1)).To(gomega.BeFalse(), "there is a newer claim")
		manualClock.Advance(1500)
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
	})

	ginkgo.It("waits longer where the owner before may not have asked for a promise", func() {
		owner.Observe(otherClaim, 0)
		owner.Touch(false)
		manualClock.Advance(5 * clock.Second)
		owner.Observe(ownWaitingClaim, 1)
		manualClock.Advance(9 * clock.Second)
		gomega.Expect(owner.Grants()).To(gomega.BeFalse())
		manualClock.Advance(clock.Second)
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
	})

	// A reserve of a generation that another claim may have named would be granted twice.
	ginkgo.It("grants of the reserve once its claim names the generation", func() {
		owner.Observe(`{"node":"a","lifetime":"a1","generation":2}`, 0)
		owner.Observe(`{"node":"me","lifetime":"m","after":[{"lifetime":"a1"}],"generation":3}`, 1)
		gomega.Expect(owner.TakeReserve("p", 10, 4800)).To(gomega.BeFalse())
		owner.ProbeReserve("a1", 2, map[spool.ProgramID]int64{"p": 190})
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
		gomega.Expect(owner.TakeReserve("p", 10, 4800)).To(gomega.BeFalse(), "the record names another generation")
		gomega.Expect(owner.Vacant("me")).To(gomega.BeTrue())
		owner.Observe(`{"node":"me","lifetime":"m","generation":2}`, 2)
		gomega.Expect(owner.TakeReserve("p", 10, 4800)).To(gomega.BeTrue())
		gomega.Expect(owner.TakeReserve("p", 1, 4800)).To(gomega.BeFalse(), "an eighth of 1600 is spent")
	})

	ginkgo.It("hands the reserve to the next owner and grants none of it after that", func() {
		owner.Observe(ownClaim, 0)
		gomega.Expect(owner.TakeReserve("p", 10, 600)).To(gomega.BeTrue())
		owner.Observe(`{"node":"b","lifetime":"b1","after":[{"lifetime":"m"}],"generation":1}`, 1)
		gomega.Expect(owner.TakeReserve("p", 10, 600)).To(gomega.BeFalse())
		generation, spent := owner.YieldReserve(2)
		gomega.Expect(generation).To(gomega.Equal(0))
		gomega.Expect(spent).To(gomega.Equal(map[spool.ProgramID]int64{"p": 10}))
	})

	// A waiting owner that was restarted waited for 10 s more, though the owner before it
	// had ended long ago.
	ginkgo.It("grants at once when all owners that might still grant have ended", func() {
		owner.Observe(otherClaim, 0)
		owner.Observe(otherWaitingClaim, 1)
		owner.MarkGone("a1")
		owner.MarkGone("b1")
		gomega.Expect(owner.Waits()).To(gomega.BeFalse())
		owner.Observe(ownClaim, 2)
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
	})

	ginkgo.It("asks every owner that might still grant, and stops waiting when all have ended", func() {
		owner.Observe(otherClaim, 0)
		owner.Observe(otherWaitingClaim, 1)
		owner.Observe(`{"node":"me","lifetime":"m","after":[{"lifetime":"b1"},{"lifetime":"a1"}]}`, 2)
		gomega.Expect(owner.Grants()).To(gomega.BeFalse())
		owner.ProbeAnswered("b1")
		gomega.Expect(owner.Grants()).To(gomega.BeTrue(), "one has answered, another process is at the address of the other")
	})

	// Gateways that are stopped together named each other while the store was away.
	ginkgo.It("does not name a gateway that stops as well", func() {
		owner.Observe(ownClaim, 0)
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
		owner.HandOver(background(), "a", "a1", true)
		gomega.Expect(owner.Writes()).To(gomega.BeZero())
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
	})

	ginkgo.It("hands over what it holds once", func() {
		owner.Observe(ownClaim, 0)
		gomega.Expect(owner.TakeReserve("p", 10, 600)).To(gomega.BeTrue())
		_, spent := owner.YieldReserve(2)
		gomega.Expect(spent).To(gomega.HaveLen(1))
		_, spent = owner.YieldReserve(3)
		gomega.Expect(spent).To(gomega.BeNil())
	})

	ginkgo.It("grants nothing of the reserve while the store confirms it", func() {
		owner.Observe(ownClaim, 0)
		gomega.Expect(owner.TakeReserve("p", 10, 600)).To(gomega.BeTrue())
		owner.Confirm(manualClock.Now())
		gomega.Expect(owner.TakeConfirmed("p", 10, 600)).To(gomega.BeFalse())
	})

	// Each lost owner left its successor with half of the reserve, though the store had
	// been there all the time and nothing was granted of it.
	ginkgo.It("goes on with the generation of an owner that used nothing of its reserve", func() {
		owner.Observe(`{"node":"a","lifetime":"a1","generation":1}`, 0)
		owner.Touch(true)
		owner.Observe(`{"node":"me","lifetime":"m","after":[{"lifetime":"a1"}],"generation":2}`, 1)
		manualClock.Advance(2 * clock.Second)
		gomega.Expect(owner.Generation()).To(gomega.Equal(1))
	})

	ginkgo.It("begins the next generation when the owner may have used its reserve", func() {
		owner.Observe(`{"node":"a","lifetime":"a1","generation":1}`, 0)
		owner.Touch(true)
		gomega.Expect(owner.Promise(1)).To(gomega.BeTrue())
		owner.Touch(true)
		owner.Observe(`{"node":"me","lifetime":"m","after":[{"lifetime":"a1"}],"generation":2}`, 1)
		manualClock.Advance(2 * clock.Second)
		gomega.Expect(owner.Generation()).To(gomega.Equal(2))
	})

	// A pool that began again from what the owner before had left, with each record of
	// its own claim, granted that twice.
	ginkgo.It("keeps its pools when it writes the claim again", func() {
		owner.Observe(otherClaim, 0)
		owner.Touch(false)
		owner.Observe(ownWaitingClaim, 1)
		manualClock.Advance(7 * clock.Second)
		before := owner.Tenure()
		owner.Observe(ownClaim, 2)
		gomega.Expect(owner.Tenure()).To(gomega.Equal(before))
	})
})
