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
		mine    = `{"node":"me","lifetime":"m"}`
		mineNow = `{"node":"me","lifetime":"m","waits":true}`
		theirs  = `{"node":"a","lifetime":"a1"}`
		waiting = `{"node":"b","lifetime":"b1","waits":true}`
	)
	var (
		time  *clock.Manual
		owner gateway.PoolOwner
	)
	ginkgo.BeforeEach(func() {
		time = clock.NewManual(1000)
		owner = gateway.NewPoolOwner("me", "m", time)
	})

	ginkgo.It("grants at once when nobody has claimed before", func() {
		gomega.Expect(owner.Vacant("me")).To(gomega.BeTrue())
		gomega.Expect(owner.Waits()).To(gomega.BeFalse())
		owner.Observe(mine, 0)
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
	})

	ginkgo.It("waits for an owner that may still grant, also when it was written twice", func() {
		owner.Observe(theirs, 0)
		owner.Observe(mineNow, 1)
		gomega.Expect(owner.Grants()).To(gomega.BeFalse())
		owner.Observe(mineNow, 2)
		gomega.Expect(owner.Grants()).To(gomega.BeFalse())
		time.Advance(7 * clock.Second)
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
	})

	ginkgo.It("grants at once when the process of the owner before has ended", func() {
		owner.Observe(theirs, 0)
		owner.MarkGone("a1")
		gomega.Expect(owner.Waits()).To(gomega.BeFalse())
		owner.Observe(mine, 1)
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
	})

	ginkgo.It("waits when the one that ended was itself waiting", func() {
		owner.Observe(theirs, 0)
		owner.Observe(waiting, 1)
		owner.MarkGone("b1")
		gomega.Expect(owner.Waits()).To(gomega.BeTrue())
		owner.Observe(mineNow, 2)
		gomega.Expect(owner.Grants()).To(gomega.BeFalse())
		time.Advance(7 * clock.Second)
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
		gomega.Expect(owner.Vacant("me")).To(gomega.BeTrue(), "the record still says that it waits")
		gomega.Expect(owner.Waits()).To(gomega.BeFalse())
	})

	ginkgo.It("waits for the owner that named it when it stopped, which grants until it is asked", func() {
		owner.Observe(theirs, 0)
		owner.Observe(mineNow, 1)
		gomega.Expect(owner.Grants()).To(gomega.BeFalse())
		owner.ProbeAnswered("a1")
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
	})

	ginkgo.It("waits when it is the first record that it sees of a handover", func() {
		owner.Observe(mineNow, 1)
		gomega.Expect(owner.Grants()).To(gomega.BeFalse())
	})

	// A stopping owner that released its pools before the record was written left them
	// without an owner for as long as the store did not take it: 8 s of an outage.
	ginkgo.It("stays with an owner that stops while the store takes no record", func() {
		owner.Observe(mine, 0)
		owner.FailWrites(true)
		stopped := make(chan struct{})
		ctx, cancel := context.WithCancel(background())
		go func() {
			defer close(stopped)
			owner.HandOver(ctx, "a", "a1")
		}()
		gomega.Eventually(owner.Writes, soon).Should(gomega.BeNumerically(">=", 2))
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
		cancel()
		gomega.Eventually(stopped, soon).Should(gomega.BeClosed())
		owner.FailWrites(false)
		owner.HandOver(background(), "a", "a1")
		gomega.Expect(owner.Grants()).To(gomega.BeTrue(), "until the record is read")
		owner.Observe(owner.Written(), 1)
		gomega.Expect(owner.Grants()).To(gomega.BeFalse())
	})

	// The store may execute the record of a handover long after it was sent.
	ginkgo.It("passes on when a late record names another gateway, which waits", func() {
		owner.Observe(theirs, 0)
		owner.MarkGone("a1")
		owner.Observe(mine, 1)
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
		owner.Observe(`{"node":"c","lifetime":"c1","waits":true}`, 2)
		gomega.Expect(owner.Grants()).To(gomega.BeFalse())
		gomega.Expect(owner.YieldTo(3)).To(gomega.Equal(spool.Epoch(2)), "its pools are handed over when they are asked for")
	})

	// A pool that began again from what the owner before had left, with each record of
	// its own claim, granted that twice.
	ginkgo.It("keeps its pools when it writes the claim again", func() {
		owner.Observe(theirs, 0)
		owner.Observe(mineNow, 1)
		time.Advance(7 * clock.Second)
		before := owner.Tenure()
		owner.Observe(mine, 2)
		gomega.Expect(owner.Tenure()).To(gomega.Equal(before))
	})
})
