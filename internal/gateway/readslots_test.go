package gateway_test

import (
	"context"
	"math/rand/v2"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/gateway"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

var _ = ginkgo.Describe("The reads at the same time", func() {
	const lowest, highest = 3, 12
	ctx := context.Background()
	// read takes a slot and returns it after a read of a duration.
	read := func(slots gateway.ReadSlots, took clock.Millis, err error) {
		gomega.Expect(slots.Acquire(ctx)).To(gomega.Succeed())
		slots.Release(took, err)
	}

	// Guards against a gateway that uses a third of what the store can send while kept turns
	// wait for their histories.
	ginkgo.It("become more while reads are fast, up to a bound", func() {
		slots := gateway.NewReadSlots(lowest, highest)
		gomega.Expect(slots.Free()).To(gomega.Equal(lowest))
		for range lowest {
			read(slots, gateway.FastRead, nil)
		}
		gomega.Expect(slots.Free()).To(gomega.Equal(lowest + 1))
		for range highest * highest {
			read(slots, gateway.FastRead, nil)
		}
		gomega.Expect(slots.Free()).To(gomega.Equal(highest))
	})

	// Guards against gateways that together ask for more than the store can send, so that
	// their reads and those of the configuration are late.
	ginkgo.DescribeTable("become fewer when reads", func(took clock.Millis, err error, expected int) {
		slots := gateway.NewReadSlots(lowest, highest)
		for range highest * highest {
			read(slots, gateway.FastRead, nil)
		}
		for range highest {
			read(slots, took, err)
		}
		gomega.Expect(slots.Free()).To(gomega.Equal(expected))
	}, ginkgo.Entry("are slow", gateway.SlowRead, nil, lowest), ginkgo.Entry("fail", clock.Millis(1), spool.ErrLogUnavailable, lowest),
		ginkgo.Entry("are neither fast nor slow: not", gateway.FastRead+1, nil, highest),
		ginkgo.Entry("are given up by their caller: not", gateway.SlowRead, context.Canceled, highest),
		ginkgo.Entry("find that a record has been removed: not", clock.Millis(1), spool.ErrTrimmed, highest))

	ginkgo.It("stay between the bounds, and no slot is lost", func() {
		random := rand.New(rand.NewPCG(1, 2))
		slots := gateway.NewReadSlots(lowest, highest)
		taken := 0
		for range 10_000 {
			if taken > 0 && random.IntN(2) == 0 {
				slots.Release(clock.Millis(random.Int64N(int64(2*gateway.SlowRead))), nil)
				taken--
			} else if slots.Free() > 0 {
				gomega.Expect(slots.Acquire(ctx)).To(gomega.Succeed())
				taken++
			}
			gomega.Expect(taken + slots.Free()).To(gomega.And(gomega.BeNumerically(">=", lowest), gomega.BeNumerically("<=", highest)))
		}
	})
})
