package rollout_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/rollout"
)

var order = rollout.Order{Service: "app", To: "v2", Duration: 20 * clock.Second, Offset: 7}

func controllerOf(o rollout.Order, previous *rollout.Record, age clock.Millis) *rollout.Controller {
	return rollout.NewController(50000, rollout.NewConfig(settings), o, previous, age, 0)
}

// Each spec guards against the wrong answer to an odd order; the table is in
// docs/design/rollout.md.
var _ = ginkgo.Describe("An order", func() {
	ginkgo.It("that is read again after its end does not start again", func() {
		c := controllerOf(order, &rollout.Record{Order: 7, To: "v2", Phase: rollout.RolledBack}, 0)
		gomega.Expect(c.Phase()).To(gomega.Equal(rollout.RolledBack))
		gomega.Expect(c.Tick(50100, rollout.Surroundings{New: 1, Old: 1})).To(gomega.BeNil())
	})

	ginkgo.It("that is written anew after a rollback starts again with a budget of its own", func() {
		again := order
		again.Offset = 9
		c := controllerOf(again, &rollout.Record{Order: 7, To: "v2", Phase: rollout.RolledBack, Charged: 40}, 0)
		next := c.Tick(50100, rollout.Surroundings{New: 1, Old: 1})
		gomega.Expect(next.Phase).To(gomega.Equal(rollout.Trial))
		gomega.Expect(next.Barred).To(gomega.BeEmpty())
		gomega.Expect(next.Charged).To(gomega.BeNumerically("<", 40))
	})

	ginkgo.It("that is written anew after its completion stays completed", func() {
		again := order
		again.Offset = 9
		c := controllerOf(again, &rollout.Record{Order: 7, To: "v2", Phase: rollout.Completed}, 0)
		gomega.Expect(c.Tick(50100, rollout.Surroundings{New: 3}).Phase).To(gomega.Equal(rollout.Completed))
	})

	ginkgo.It("to another version keeps the traffic from the version that was not completed", func() {
		other := rollout.Order{Service: "app", To: "v3", Duration: 20 * clock.Second, Offset: 9}
		c := controllerOf(other, &rollout.Record{Order: 7, To: "v2", Phase: rollout.Trial, Barred: []string{"v0"}}, 0)
		gomega.Expect(c.Tick(50100, rollout.Surroundings{New: 1, Old: 1}).Barred).To(gomega.ConsistOf("v0", "v2"))
	})

	ginkgo.It("that is withdrawn is rolled back, unless it was completed", func() {
		c := controllerOf(order, &rollout.Record{Order: 7, To: "v2", Phase: rollout.Shifting}, 0)
		c.Withdraw()
		gomega.Expect(c.Tick(50100, rollout.Surroundings{New: 1, Old: 1}).Phase).To(gomega.Equal(rollout.RolledBack))
		done := controllerOf(order, &rollout.Record{Order: 7, To: "v2", Phase: rollout.Completed}, 0)
		done.Withdraw()
		gomega.Expect(done.Phase()).To(gomega.Equal(rollout.Completed))
	})

	ginkgo.It("without endpoints of its version is rolled back at its end and grants nothing", func() {
		w := newWorld(1, 50, 20*clock.Second, version{})
		w.noNew = true
		w.run(20 * clock.Second)
		gomega.Expect(w.controller.Phase()).To(gomega.Equal(rollout.RolledBack))
		gomega.Expect(w.exposed).To(gomega.BeZero())
		gomega.Expect(w.refused).To(gomega.BeZero())
	})

	ginkgo.It("whose endpoints disappear during the shift is rolled back", func() {
		c := controllerOf(order, &rollout.Record{Order: 7, To: "v2", Phase: rollout.Shifting}, 0)
		gomega.Expect(c.Tick(50100, rollout.Surroundings{Old: 1}).Phase).To(gomega.Equal(rollout.RolledBack))
	})

	ginkgo.It("whose duration is nearly over when the controller is replaced is rolled back without evidence", func() {
		c := controllerOf(order, &rollout.Record{Order: 7, To: "v2", Phase: rollout.Trial, Elapsed: 19 * clock.Second}, 0)
		gomega.Expect(c.Tick(50100, rollout.Surroundings{New: 1, Old: 1}).Phase).To(gomega.Equal(rollout.Trial))
		gomega.Expect(c.Tick(51100, rollout.Surroundings{New: 1, Old: 1}).Phase).To(gomega.Equal(rollout.RolledBack))
	})
})
