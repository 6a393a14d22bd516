package gateway_test

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/gateway"
)

var _ = ginkgo.Describe("The memory of all histories", func() {
	const capacity = 10 << 20
	ctx := context.Background()

	ginkgo.It("goes to requests in the order in which they ask", func() {
		memory := gateway.NewHistoryMemory(capacity)
		first, large, small := memory.NewReservation(), memory.NewReservation(), memory.NewReservation()
		gomega.Expect(first.Raise(ctx, 6<<20)).To(gomega.Succeed())
		granted := make(chan string, 2)
		reserve := func(name string, r gateway.HistoryReservation, bytes int64) {
			defer ginkgo.GinkgoRecover()
			gomega.Expect(r.Raise(ctx, bytes)).To(gomega.Succeed())
			granted <- name
		}
		go reserve("large", large, 8<<20)
		time.Sleep(50 * time.Millisecond)
		go reserve("small", small, 3<<20)
		gomega.Consistently(granted, "100ms").ShouldNot(gomega.Receive())
		first.Release()
		gomega.Eventually(granted).Should(gomega.Receive(gomega.Equal("large")))
		large.Release()
		gomega.Eventually(granted).Should(gomega.Receive(gomega.Equal("small")))
	})

	// Guards against ordinary turns that wait for those with long histories.
	ginkgo.It("is not needed for a small history", func() {
		memory := gateway.NewHistoryMemory(capacity)
		gomega.Expect(memory.NewReservation().Raise(ctx, 8<<20)).To(gomega.Succeed())
		gomega.Expect(memory.NewReservation().Raise(ctx, 64<<10)).To(gomega.Succeed())
	})

	// Guards against two requests that block each other, each with a part of its memory.
	ginkgo.It("is given up by a request that needs more and waits", func() {
		memory := gateway.NewHistoryMemory(capacity)
		a, b := memory.NewReservation(), memory.NewReservation()
		gomega.Expect(a.Raise(ctx, 4<<20)).To(gomega.Succeed())
		gomega.Expect(b.Raise(ctx, 4<<20)).To(gomega.Succeed())
		done := make(chan error, 2)
		for _, r := range []gateway.HistoryReservation{a, b} {
			go func() {
				done <- r.Raise(ctx, 7<<20)
				r.Release()
			}()
		}
		for range 2 {
			gomega.Eventually(done).Should(gomega.Receive(gomega.Succeed()))
		}
	})

	ginkgo.It("is refused when it is in use until the time is over, and returned whole", func() {
		memory := gateway.NewHistoryMemory(capacity)
		a, b := memory.NewReservation(), memory.NewReservation()
		gomega.Expect(a.Raise(ctx, 8<<20)).To(gomega.Succeed())
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		gomega.Expect(b.Raise(short, 8<<20)).To(gomega.MatchError(gateway.ErrHistoriesBusy))
		b.Release()
		a.Release()
		a.Release()
		gomega.Expect(b.Raise(ctx, capacity)).To(gomega.Succeed())
	})

	ginkgo.It("is granted whole to a history that is larger", func() {
		memory := gateway.NewHistoryMemory(capacity)
		a, b := memory.NewReservation(), memory.NewReservation()
		gomega.Expect(a.Raise(ctx, 2*capacity)).To(gomega.Succeed())
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		gomega.Expect(b.Raise(short, 1<<20)).To(gomega.MatchError(gateway.ErrHistoriesBusy))
		a.Release()
		gomega.Expect(b.Raise(ctx, 1<<20)).To(gomega.Succeed())
	})
})
