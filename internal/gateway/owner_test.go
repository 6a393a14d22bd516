package gateway_test

import (
	"context"
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/gateway"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// These tests guard against two owners that grant at the same time, which would admit
// twice an account's limit, and against pools that stay without an owner for longer
// than necessary.
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

	// ownWithoutStoreFor makes this gateway the owner, and the store then confirm nothing for
	// a duration.
	ownWithoutStoreFor := func(duration clock.Millis) {
		owner.Observe(ownClaim, 0)
		owner.Confirm(manualClock.Now())
		manualClock.Advance(duration)
	}

	ginkgo.It("grants at once when nobody has claimed before", func() {
		gomega.Expect(owner.ShouldClaim("me")).To(gomega.BeTrue())
		gomega.Expect(owner.NamesEarlierOwners()).To(gomega.BeFalse())
		owner.Observe(ownClaim, 0)
		gomega.Expect(owner.CanGrant()).To(gomega.BeTrue())
	})

	ginkgo.It("waits for an owner that may still grant, even if the claim is written twice", func() {
		owner.Observe(otherClaim, 0)
		owner.RecordContact(false)
		owner.Observe(ownWaitingClaim, 1)
		gomega.Expect(owner.CanGrant()).To(gomega.BeFalse())
		owner.Observe(ownWaitingClaim, 2)
		gomega.Expect(owner.CanGrant()).To(gomega.BeFalse())
		manualClock.Advance(clock.Second / 2)
		gomega.Expect(owner.CanGrant()).To(gomega.BeFalse())
		manualClock.Advance(clock.Second)
		gomega.Expect(owner.CanGrant()).To(gomega.BeTrue())
	})

	ginkgo.It("grants at once when the process of the previous owner has ended", func() {
		owner.Observe(otherClaim, 0)
		owner.MarkEnded("a1")
		gomega.Expect(owner.NamesEarlierOwners()).To(gomega.BeFalse())
		owner.Observe(ownClaim, 1)
		gomega.Expect(owner.CanGrant()).To(gomega.BeTrue())
	})

	// Guards against two owners after a cut that resets connections: a refused connection was
	// taken for the end of the owner's process, which granted on while it was cut off.
	ginkgo.It("is claimed at once from an owner that refuses connections, and granted when its authority has ended", func() {
		owner.Observe(otherClaim, 0)
		owner.RecordContact(false)
		manualClock.Advance(clock.Second)
		owner.ProbeRefused()
		gomega.Expect(owner.ShouldClaim("me")).To(gomega.BeFalse(), "the node of the owner may restart")
		manualClock.Advance(clock.Second / 4)
		gomega.Expect(owner.ShouldClaim("me")).To(gomega.BeTrue())
		gomega.Expect(owner.NamesEarlierOwners()).To(gomega.BeTrue())
		owner.Observe(ownWaitingClaim, 1)
		owner.ProbeRefused()
		gomega.Expect(owner.CanGrant()).To(gomega.BeFalse())
		manualClock.Advance(clock.Second)
		gomega.Expect(owner.CanGrant()).To(gomega.BeTrue())
	})

	ginkgo.It("waits when the previous owner has ended while it was waiting itself", func() {
		owner.Observe(otherClaim, 0)
		owner.Observe(otherWaitingClaim, 1)
		owner.MarkEnded("b1")
		gomega.Expect(owner.NamesEarlierOwners()).To(gomega.BeTrue())
		owner.Observe(ownWaitingClaim, 2)
		gomega.Expect(owner.CanGrant()).To(gomega.BeFalse())
		manualClock.Advance(7 * clock.Second)
		gomega.Expect(owner.CanGrant()).To(gomega.BeFalse(), "the first owner may not know this gateway")
		manualClock.Advance(4 * clock.Second)
		gomega.Expect(owner.CanGrant()).To(gomega.BeTrue())
		gomega.Expect(owner.ShouldClaim("me")).To(gomega.BeTrue(), "the record still says that it waits")
		gomega.Expect(owner.NamesEarlierOwners()).To(gomega.BeFalse())
	})

	ginkgo.It("waits for the stopping owner that named it, until that owner answers a probe", func() {
		owner.Observe(otherClaim, 0)
		owner.RecordContact(false)
		owner.Observe(ownWaitingClaim, 1)
		gomega.Expect(owner.CanGrant()).To(gomega.BeFalse())
		owner.ProbeAnswered("a1")
		gomega.Expect(owner.CanGrant()).To(gomega.BeTrue())
	})

	ginkgo.It("waits when the handover record is the first claim that it reads", func() {
		owner.Observe(ownWaitingClaim, 1)
		gomega.Expect(owner.CanGrant()).To(gomega.BeFalse())
	})

	// Guards against an owner that stops granting before its handover record is
	// written. The pools then have no owner until the store accepts the record, which
	// took 8 s in one outage.
	ginkgo.It("stays with an owner that stops while the store takes no record", func() {
		owner.Observe(ownClaim, 0)
		owner.FailWrites(true)
		stopped := make(chan struct{})
		ctx, cancel := context.WithCancel(background())
		go func() {
			defer close(stopped)
			owner.HandOver(ctx, "a", "a1", false)
		}()
		gomega.Eventually(owner.ClaimWrites, eventuallyTimeout).Should(gomega.BeNumerically(">=", 2))
		gomega.Expect(owner.CanGrant()).To(gomega.BeTrue())
		cancel()
		gomega.Eventually(stopped, eventuallyTimeout).Should(gomega.BeClosed())
		owner.FailWrites(false)
		owner.HandOver(background(), "a", "a1", false)
		gomega.Expect(owner.CanGrant()).To(gomega.BeTrue(), "until the record is read")
		owner.Observe(owner.LastClaim(), 1)
		gomega.Expect(owner.CanGrant()).To(gomega.BeFalse())
	})

	// Guards against two owners when the store executes a handover record long after it
	// was sent.
	ginkgo.It("passes to the gateway that a late record names, and its pools are handed over on request", func() {
		owner.Observe(otherClaim, 0)
		owner.MarkEnded("a1")
		owner.Observe(ownClaim, 1)
		gomega.Expect(owner.CanGrant()).To(gomega.BeTrue())
		owner.Observe(`{"node":"c","lifetime":"c1","after":[{"lifetime":"m"}]}`, 2)
		gomega.Expect(owner.CanGrant()).To(gomega.BeFalse())
		gomega.Expect(owner.YieldTo(3)).To(gomega.Equal(spool.Epoch(2)), "its pools are handed over when they are asked for")
	})

	// Guards against pools without an owner during an outage, when the store confirms
	// no claim, and against an owner that grants without knowing that no other gateway
	// does.
	ginkgo.It("grants on votes for a limited time while the store is unavailable", func() {
		owner.Observe(ownClaim, 0)
		owner.Confirm(manualClock.Now())
		for range 20 {
			manualClock.Advance(700)
			owner.RequestVote(true)
		}
		until := owner.GrantsUntil()
		gomega.Expect(until).To(gomega.BeNumerically(">", 1000+9*clock.Second))
		gomega.Expect(until).To(gomega.BeNumerically("<=", 1000+10*clock.Second))
	})

	ginkgo.It("grants no longer than the last unanimous vote allows", func() {
		ownWithoutStoreFor(700)
		owner.RequestVote(true)
		manualClock.Advance(700)
		owner.RequestVote(false)
		gomega.Expect(owner.GrantsUntil()).To(gomega.Equal(1700 + clock.Second))
	})

	// Guards against two owners after a cut that resets connections: the owner that is cut off
	// took the refused connections of living gateways for their votes, and granted for seconds
	// beside the owner that those gateways had claimed.
	ginkgo.DescribeTable("takes refused connections for ended processes only while fewer than half refuse", func(voting, refusing int, grants bool) {
		ownWithoutStoreFor(900)
		owner.RequestVotes(voting, refusing)
		manualClock.Advance(clock.Second / 2)
		gomega.Expect(owner.GrantsUntil() > manualClock.Now()).To(gomega.Equal(grants))
	}, ginkgo.Entry("one of four", 3, 1, true), ginkgo.Entry("three of eight", 5, 3, true), ginkgo.Entry("half", 2, 2, false),
		ginkgo.Entry("another zone's majority", 3, 9, false), ginkgo.Entry("all", 0, 4, false), ginkgo.Entry("the only one", 0, 1, false))

	// Guards against a gateway that votes for itself and thereby stops its own grants.
	// A restarted gateway queried the earlier owner at its own address and so became
	// its own contact.
	ginkgo.It("does not vote for itself", func() {
		owner.QueryItself()
		ownWithoutStoreFor(700)
		gomega.Expect(owner.VoteRequests()).To(gomega.BeZero())
	})

	// Guards against an owner that sends 2,000 vote requests a second to 300 gateways while
	// the store is away: rounds each 150 ms, although a vote holds for a second.
	ginkgo.It("requests votes again only when a part of the authority has passed", func() {
		ownWithoutStoreFor(600)
		owner.RequestVote(true)
		manualClock.Advance(150)
		gomega.Expect(owner.VoteRequests()).To(gomega.BeZero())
		manualClock.Advance(200)
		gomega.Expect(owner.VoteRequests()).To(gomega.Equal(1))
	})

	ginkgo.It("requests votes again soon after a gateway did not vote", func() {
		ownWithoutStoreFor(600)
		owner.RequestVote(false)
		manualClock.Advance(150)
		gomega.Expect(owner.VoteRequests()).To(gomega.Equal(1))
	})

	ginkgo.It("neither claims nor grants while its vote for another owner is valid", func() {
		owner.Observe(otherClaim, 0)
		owner.MarkEnded("a1")
		gomega.Expect(owner.Vote(1)).To(gomega.BeTrue())
		gomega.Expect(owner.ShouldClaim("me")).To(gomega.BeFalse())
		owner.Observe(ownClaim, 1)
		gomega.Expect(owner.CanGrant()).To(gomega.BeFalse())
		gomega.Expect(owner.Vote(1)).To(gomega.BeFalse(), "there is a newer claim")
		manualClock.Advance(1500)
		gomega.Expect(owner.CanGrant()).To(gomega.BeTrue())
	})

	ginkgo.It("waits longer if the previous owner may not have asked it for a vote", func() {
		owner.Observe(otherClaim, 0)
		owner.RecordContact(false)
		manualClock.Advance(5 * clock.Second)
		owner.Observe(ownWaitingClaim, 1)
		manualClock.Advance(9 * clock.Second)
		gomega.Expect(owner.CanGrant()).To(gomega.BeFalse())
		manualClock.Advance(clock.Second)
		gomega.Expect(owner.CanGrant()).To(gomega.BeTrue())
	})

	// Guards against granting the reserve of one generation twice, which is possible if
	// two claims of different owners name the same generation.
	ginkgo.It("grants from the reserve only once its claim names the generation", func() {
		owner.Observe(`{"node":"a","lifetime":"a1","generation":1}`, 0)
		owner.Observe(`{"node":"me","lifetime":"m","after":[{"lifetime":"a1"}],"generation":2}`, 1)
		gomega.Expect(owner.TakeReserve("p", 10, 1200)).To(gomega.BeFalse())
		owner.ProbeReserve("a1", 1, map[spool.ProgramID]int64{"p": 190})
		gomega.Expect(owner.CanGrant()).To(gomega.BeTrue())
		gomega.Expect(owner.TakeReserve("p", 10, 1200)).To(gomega.BeFalse(), "the record names another generation")
		gomega.Expect(owner.ShouldClaim("me")).To(gomega.BeTrue())
		owner.Observe(`{"node":"me","lifetime":"m","generation":1}`, 2)
		gomega.Expect(owner.TakeReserve("p", 10, 1200)).To(gomega.BeTrue())
		gomega.Expect(owner.TakeReserve("p", 1, 1200)).To(gomega.BeFalse(), "half of 400 is spent")
	})

	ginkgo.It("hands the reserve to the next owner and grants nothing from it afterwards", func() {
		owner.Observe(ownClaim, 0)
		gomega.Expect(owner.TakeReserve("p", 10, 600)).To(gomega.BeTrue())
		owner.Observe(`{"node":"b","lifetime":"b1","after":[{"lifetime":"m"}],"generation":1}`, 1)
		gomega.Expect(owner.TakeReserve("p", 10, 600)).To(gomega.BeFalse())
		generation, spent := owner.YieldReserve(2)
		gomega.Expect(generation).To(gomega.Equal(0))
		gomega.Expect(spent).To(gomega.Equal(map[spool.ProgramID]int64{"p": 10}))
	})

	// Guards against a needless wait of 10 s by a new owner whose predecessors have all
	// ended: the last one, which was itself waiting, and the one before it.
	ginkgo.It("grants at once when all owners that might still grant have ended", func() {
		owner.Observe(otherClaim, 0)
		owner.Observe(otherWaitingClaim, 1)
		owner.MarkEnded("a1")
		owner.MarkEnded("b1")
		gomega.Expect(owner.NamesEarlierOwners()).To(gomega.BeFalse())
		owner.Observe(ownClaim, 2)
		gomega.Expect(owner.CanGrant()).To(gomega.BeTrue())
	})

	ginkgo.It("probes every owner that might still grant, and stops waiting when all have answered or ended", func() {
		owner.Observe(otherClaim, 0)
		owner.Observe(otherWaitingClaim, 1)
		owner.Observe(`{"node":"me","lifetime":"m","after":[{"lifetime":"b1"},{"lifetime":"a1"}]}`, 2)
		gomega.Expect(owner.CanGrant()).To(gomega.BeFalse())
		owner.ProbeAnswered("b1")
		gomega.Expect(owner.CanGrant()).To(gomega.BeTrue(), "one has answered, another process is at the address of the other")
	})

	// Guards against gateways that shut down together and name each other as owners
	// while the store is unavailable.
	ginkgo.It("does not name a gateway that stops as well", func() {
		owner.Observe(ownClaim, 0)
		gomega.Expect(owner.CanGrant()).To(gomega.BeTrue())
		owner.HandOver(background(), "a", "a1", true)
		gomega.Expect(owner.ClaimWrites()).To(gomega.BeZero())
		gomega.Expect(owner.CanGrant()).To(gomega.BeTrue())
	})

	// Guards against an owner that is replaced half a second late: its silence counted from
	// the failure of a call, which comes 0.6 s after the call.
	ginkgo.It("is vacant once the owner has been silent since the first call that it left unanswered", func() {
		owner.Observe(otherClaim, 0)
		sentAt := manualClock.Now()
		manualClock.Advance(600)
		owner.RecordLost("a", manualClock.Now())
		owner.RecordLost("a", sentAt)
		gomega.Expect(owner.ShouldClaim("me", "a")).To(gomega.BeFalse(), "a restarted owner comes first")
		manualClock.Advance(150)
		gomega.Expect(owner.ShouldClaim("me", "a")).To(gomega.BeTrue())
	})

	ginkgo.It("is not vacant while the owner answers other calls", func() {
		owner.Observe(otherClaim, 0)
		sentAt := manualClock.Now()
		manualClock.Advance(500)
		owner.RecordAnswer("a")
		manualClock.Advance(100)
		owner.RecordLost("a", sentAt)
		owner.ShouldClaim("me", "a")
		manualClock.Advance(150)
		gomega.Expect(owner.ShouldClaim("me", "a")).To(gomega.BeFalse())
	})

	// Guards against questions to the owner that grow with the fleet: 3 a second of each of
	// 127 gateways made the owner its busiest process.
	ginkgo.It("is watched closely by the first candidates only", func() {
		const fleet = 127
		names := []spool.NodeID{"me"}
		for i := range fleet - 1 {
			names = append(names, spool.NodeID(fmt.Sprintf("g%d", i)))
		}
		probes := 0
		for _, name := range names {
			each := gateway.NewPoolOwner(name, "m", manualClock)
			each.Observe(`{"node":"o","lifetime":"o1"}`, 0)
			probes += each.ProbesWithin(manualClock, 10*clock.Second, "o1", names...)
		}
		gomega.Expect(probes).To(gomega.BeNumerically("<=", 10*fleet*11/10))
		gomega.Expect(probes).To(gomega.BeNumerically(">=", 10*fleet*8/10))
	})

	// Guards against an owner on a small VM that is the busiest process of the deployment:
	// nothing took the role away from it while it was heard and voted for itself.
	ginkgo.It("passes from a VM that cannot bear the role to one that can", func() {
		large, small := spool.VMSize{Cores: 0.8, LinkMbps: 600}, spool.VMSize{Cores: 0.144, LinkMbps: 30}
		owner.Observe(ownClaim, 0)
		owner.StepDown(large, small, "a", "a1")
		gomega.Expect(owner.ClaimWrites()).To(gomega.BeZero())
		owner.StepDown(small, large, "a", "a1")
		gomega.Expect(owner.ClaimWrites()).To(gomega.Equal(1))
		owner.Observe(owner.LastClaim(), 1)
		gomega.Expect(owner.CanGrant()).To(gomega.BeFalse())
		gomega.Expect(owner.YieldTo(2)).To(gomega.Equal(spool.Epoch(1)), "its pools are handed over")
	})

	ginkgo.It("hands the reserve over only once", func() {
		owner.Observe(ownClaim, 0)
		gomega.Expect(owner.TakeReserve("p", 10, 600)).To(gomega.BeTrue())
		_, spent := owner.YieldReserve(2)
		gomega.Expect(spent).To(gomega.HaveLen(1))
		_, spent = owner.YieldReserve(3)
		gomega.Expect(spent).To(gomega.BeNil())
	})

	ginkgo.It("grants nothing from the reserve while the store confirms the claim", func() {
		owner.Observe(ownClaim, 0)
		gomega.Expect(owner.TakeReserve("p", 10, 600)).To(gomega.BeTrue())
		owner.Confirm(manualClock.Now())
		gomega.Expect(owner.TakeConfirmed("p", 10, 600)).To(gomega.BeFalse())
	})

	// Guards against halving the reserve with each lost owner although nothing was
	// granted from it.
	ginkgo.It("keeps the reserve generation of an owner that granted nothing from its reserve", func() {
		owner.Observe(`{"node":"a","lifetime":"a1","generation":1}`, 0)
		owner.RecordContact(true)
		owner.Observe(`{"node":"me","lifetime":"m","after":[{"lifetime":"a1"}],"generation":2}`, 1)
		manualClock.Advance(2 * clock.Second)
		gomega.Expect(owner.Generation()).To(gomega.Equal(1))
	})

	ginkgo.It("starts the next reserve generation when the previous owner may have granted from its reserve", func() {
		owner.Observe(`{"node":"a","lifetime":"a1","generation":1}`, 0)
		owner.RecordContact(true)
		gomega.Expect(owner.Vote(1)).To(gomega.BeTrue())
		owner.RecordContact(true)
		owner.Observe(`{"node":"me","lifetime":"m","after":[{"lifetime":"a1"}],"generation":2}`, 1)
		manualClock.Advance(2 * clock.Second)
		gomega.Expect(owner.Generation()).To(gomega.Equal(2))
	})

	// Guards against granting tokens twice: each repeated claim must not restart the
	// pools from the inherited levels.
	ginkgo.It("keeps its pools when it writes the claim again", func() {
		owner.Observe(otherClaim, 0)
		owner.RecordContact(false)
		owner.Observe(ownWaitingClaim, 1)
		manualClock.Advance(7 * clock.Second)
		before := owner.FirstEpoch()
		owner.Observe(ownClaim, 2)
		gomega.Expect(owner.FirstEpoch()).To(gomega.Equal(before))
	})
})
