package spill_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/fixedseed"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spill"
)

func TestMain(m *testing.M) { fixedseed.Main(m, nil) }

func TestSpill(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "spill")
}

var _ = ginkgo.Describe("Controller", func() {
	busy := spill.Observation{Home: 600, Away: 200, HomeUsable: true, AwayUsable: true}
	// run updates a controller for 10 s.
	run := func(c *spill.Controller, seen spill.Observation) (largestStep float64) {
		for now := clock.Millis(0); now < 10*clock.Second; now += 100 {
			before := c.Share()
			largestStep = max(largestStep, c.Update(now, seen)-before)
		}
		return largestStep
	}

	// Guards against a share that jumps.
	ginkgo.It("moves smoothly while leaving pays", func() {
		c := spill.New(0.85)
		gomega.Expect(run(c, busy)).To(gomega.BeNumerically("<", 0.07))
		gomega.Expect(c.Share()).To(gomega.BeNumerically("~", 0.63, 0.05))
	})

	// Guards against requests that leave although the price is higher than the gain, or for a
	// domain that is filled up to its bound.
	ginkgo.It("keeps requests at home that do not pay or find no room", func() {
		dear, full := busy, busy
		dear.Price, full.ReceiveLoad = 390, 0.85
		for _, seen := range []spill.Observation{dear, full} {
			c := spill.New(0.85)
			run(c, seen)
			gomega.Expect(c.Share()).To(gomega.BeZero())
		}
	})

	// Guards against requests that wait for a domain without endpoints, at home or elsewhere.
	ginkgo.It("moves at once when one side has no usable endpoint", func() {
		c := spill.New(0.85)
		run(c, busy)
		cut, lost := busy, busy
		cut.AwayUsable, lost.HomeUsable = false, false
		gomega.Expect(c.Update(10*clock.Second, cut)).To(gomega.BeZero())
		gomega.Expect(c.Update(10*clock.Second+100, lost)).To(gomega.Equal(1.0))
	})
})
