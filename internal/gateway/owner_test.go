package gateway_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/gateway"
	"github.com/baobabspool/baobabspool/pkg/clock"
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

	ginkgo.It("takes a handover of the owner before, and leaves a late one out", func() {
		owner.Observe(theirs, 0)
		owner.Observe(`{"node":"me","lifetime":"m","from":"a1","levels":{}}`, 1)
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
		owner.Observe(`{"node":"c","lifetime":"c1","from":"a1","levels":{}}`, 2)
		gomega.Expect(owner.Grants()).To(gomega.BeTrue())
		gomega.Expect(owner.Vacant("me")).To(gomega.BeTrue(), "the claim is written again over the late record")
	})

	ginkgo.It("waits when it is the first record that it sees of a handover", func() {
		owner.Observe(`{"node":"me","lifetime":"m","from":"a1","levels":{}}`, 1)
		gomega.Expect(owner.Grants()).To(gomega.BeFalse())
	})
})
