package rollout_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/rollout"
)

// rates are the requests per second of the randomised specs, with the duration of the order.
var rates = map[float64]clock.Millis{5: 30 * clock.Second, 50: 20 * clock.Second, 500: 10 * clock.Second}

// expectHeld checks the bounds of a version that is bad.
func expectHeld(w *world, name string) {
	gomega.Expect(w.controller.Phase()).To(gomega.Equal(rollout.RolledBack), name+": "+w.controller.Evidence())
	gomega.Expect(float64(w.exposed)).To(gomega.BeNumerically("<=", w.allowed()), name)
	if w.fiftiethBadAt != unset {
		gomega.Expect(w.lastNewAt).To(gomega.BeNumerically("<=", w.fiftiethBadAt+settings.RollbackWithin), name)
	}
}

var _ = ginkgo.Describe("A good version", func() {
	// Guards against rollouts that end in doubt although the traffic suffices, and against
	// requests that are lost when the old endpoints stop.
	for name, change := range map[string]func(w *world){
		"with one route at 5 requests a second":         func(w *world) { w.rate, w.duration, w.routes = 5, 30*clock.Second, []string{"a"} },
		"with three routes at 20 requests a second":     func(w *world) { w.rate, w.duration = 20, 30*clock.Second },
		"with three routes at 50 requests a second":     func(w *world) { w.rate = 50 },
		"with three routes at 500 requests in 10 s":     func(w *world) { w.rate, w.duration = 500, 10*clock.Second },
		"after its controller is replaced in the trial": func(w *world) { w.after(8*clock.Second, w.takeOver) },
		"after its controller is replaced in the shift": func(w *world) { w.after(15700, w.takeOver) },
		"after a pause of the store": func(w *world) {
			w.after(4000, func() { w.storeAway = true })
			w.after(7000, func() { w.storeAway = false })
		},
		"with a third of the messages lost": func(w *world) { w.lossShare = 0.18 },
	} {
		ginkgo.It("is completed within the duration "+name, func() {
			completed := 0
			const runs = 20
			for seed := range uint64(runs) {
				w := newWorld(seed, 100, 20*clock.Second, version{})
				change(w)
				w.order.Duration = w.duration
				w.restart()
				w.run(w.duration + 5*clock.Second)
				if w.controller.Phase() == rollout.Completed && w.endedAt <= w.orderedAt()+w.duration {
					completed++
				} else {
					ginkgo.GinkgoWriter.Println(seed, w.controller.Phase(), w.controller.Reason(), w.controller.Evidence())
				}
				gomega.Expect(w.sentToOldAfterEnd).To(gomega.BeZero())
				gomega.Expect(w.oldInFlightAtEnd).To(gomega.BeZero())
				gomega.Expect(w.refused).To(gomega.BeNumerically("<=", 2))
			}
			gomega.Expect(completed).To(gomega.BeNumerically(">=", runs*9/10))
		})
	}

	// Guards against taking faults of the whole service, and the unequal speed of its
	// endpoints, for faults of the new version.
	for name, change := range map[string]func(w *world){
		"a service that fails a tenth of its requests": func(w *world) { w.oldFail = 0.1 },
		"a service that becomes slower":                func(w *world) { w.after(8*clock.Second, func() { w.oldSlow = 4 }) },
		"endpoints of unequal speed":                   func(w *world) { w.speeds = []float64{0.7, 1.7, 0.7} },
		"endpoints that are slow at times":             func(w *world) { w.speeds, w.hiccups = []float64{0.7, 1.7, 0.7}, true },
	} {
		ginkgo.It("is mostly completed with "+name, func() {
			completed := 0
			for seed := range uint64(10) {
				w := newWorld(seed, 100, 20*clock.Second, version{})
				change(w)
				w.run(25 * clock.Second)
				if w.controller.Phase() == rollout.Completed {
					completed++
				} else {
					ginkgo.GinkgoWriter.Println(seed, w.controller.Reason(), w.controller.Evidence())
				}
			}
			gomega.Expect(completed).To(gomega.BeNumerically(">=", 8))
		})
	}
})

var _ = ginkgo.Describe("A bad version", func() {
	// Guards against each kind of badness that goes unnoticed, and against exposure beyond
	// the bound.
	for name, v := range map[string]version{
		"fails a third":                   {fail: 0.33},
		"fails a sixth":                   {fail: 0.17},
		"fails under full load only":      {fail: 0.4, underLoad: true, loadFrom: 0.8},
		"is four times slower":            {slow: 1, slowBy: 4},
		"is four times slower at times":   {slow: 0.4, slowBy: 4},
		"fails later":                     {fail: 0.33, from: 4 * clock.Second},
		"fails on one rare route":         {fail: 0.5, onRoute: "c"},
		"is slow on one rare route":       {slow: 1, slowBy: 4, onRoute: "c"},
		"fails under load":                {fail: 0.4, underLoad: true},
		"is slow under load":              {slow: 0.6, slowBy: 5, underLoad: true},
		"fails all requests from a point": {fail: 1, from: 5 * clock.Second},
	} {
		ginkgo.It("that "+name+" is rolled back within the bounds", func() {
			for _, rate := range []float64{5, 50, 500} {
				for seed := range uint64(20) {
					w := newWorld(seed, rate, rates[rate], v)
					w.run(w.duration + 5*clock.Second)
					expectHeld(w, fmt.Sprintf("%g requests a second, seed %d", rate, seed))
				}
			}
		})
	}
})

var _ = ginkgo.Describe("A version that is slow at times", func() {
	// Guards against slowness that is taken for that of unequal endpoints.
	ginkgo.It("is rolled back although the endpoints are slow at times too", func() {
		for seed := range uint64(10) {
			w := newWorld(seed, 100, 20*clock.Second, version{slow: 0.3, slowBy: 4})
			w.speeds, w.hiccups, w.endpoints = []float64{0.7, 1.7, 0.7}, true, 30
			w.run(25 * clock.Second)
			expectHeld(w, fmt.Sprint("seed ", seed))
		}
	})
})

var _ = ginkgo.Describe("The bounds of a bad version", func() {
	// Guards against requests beyond the grants, and after a rollback, when the controller is
	// replaced repeatedly, the store is away, a gateway is paused or cut off, or messages are
	// lost.
	for name, change := range map[string]func(w *world){
		"with a controller replaced every 2 s": func(w *world) {
			for at := 2 * clock.Second; at < w.duration; at += 2 * clock.Second {
				w.after(at, w.takeOver)
			}
		},
		"while the store is away":     func(w *world) { w.after(5*clock.Second, func() { w.storeAway = true }) },
		"with a gateway cut off":      func(w *world) { w.after(5*clock.Second, func() { w.cut[1] = true }) },
		"with a gateway paused":       func(w *world) { w.pause(1, 5*clock.Second, 4*clock.Second) },
		"with half the messages lost": func(w *world) { w.lossShare = 0.3 },
	} {
		ginkgo.It("hold "+name, func() {
			for _, v := range []version{{fail: 0.3}, {fail: 0.5, from: 6 * clock.Second}, {slow: 0.5, slowBy: 5, underLoad: true}} {
				for seed := range uint64(15) {
					w := newWorld(seed, 60, 20*clock.Second, v)
					change(w)
					w.run(25 * clock.Second)
					gomega.Expect(w.controller.Phase()).NotTo(gomega.Equal(rollout.Completed))
					gomega.Expect(float64(w.exposed)).To(gomega.BeNumerically("<=", w.allowed()))
					if w.fiftiethBadAt != unset {
						gomega.Expect(w.lastNewAt).To(gomega.BeNumerically("<=", w.fiftiethBadAt+settings.RollbackWithin))
					}
				}
			}
		})
	}
})

var _ = ginkgo.Describe("A gateway", func() {
	// Guards against a completion while a gateway that was not told may send to old
	// endpoints: it is cut off, but runs.
	ginkgo.It("that is cut off delays the completion", func() {
		w := newWorld(1, 100, 20*clock.Second, version{})
		w.after(12*clock.Second, func() { w.cut[1] = true })
		w.run(25 * clock.Second)
		gomega.Expect(w.controller.Phase()).To(gomega.Equal(rollout.Shifting))
		w.cut = map[int]bool{}
		w.run(3 * clock.Second)
		gomega.Expect(w.controller.Phase()).To(gomega.Equal(rollout.Completed))
		gomega.Expect(w.sentToOldAfterEnd).To(gomega.BeZero())
	})

	// Guards against a paused gateway that wakes up after the completion and sends to old
	// endpoints, which have stopped.
	ginkgo.It("that was paused sends nothing until it has asked", func() {
		w := newWorld(1, 100, 20*clock.Second, version{})
		w.pause(1, 12*clock.Second, 11*clock.Second)
		w.run(22 * clock.Second)
		gomega.Expect(w.controller.Phase()).To(gomega.Equal(rollout.Completed))
		w.run(3 * clock.Second)
		gomega.Expect(w.sentToOldAfterEnd).To(gomega.BeZero())
		gomega.Expect(w.holders[1].Phase()).To(gomega.Equal(rollout.Completed))
	})

	// Guards against a gateway that has started during a rollout and sends to endpoints that
	// it must not use, before it knows the phase.
	ginkgo.It("that has just started sends nothing until its first report has ended", func() {
		h := rollout.NewHolder(0, rollout.Order{To: "v2"}, "g", "i", false)
		gomega.Expect(h.Choose(10, "a", true)).To(gomega.Equal(rollout.AccessNone))
		h.Report(20)
		h.ReportFailed(20)
		gomega.Expect(h.Choose(30, "a", true)).To(gomega.Equal(rollout.AccessOld))
	})

	// Guards against a gateway without contact that sends to a version which may have been
	// rolled back during the shift.
	ginkgo.It("without contact stops sending to the new version during the shift", func() {
		h := rollout.NewHolder(0, rollout.Order{To: "v2"}, "g", "i", true)
		h.Observe(100, rollout.Record{Phase: rollout.Shifting})
		gomega.Expect(h.Choose(3000, "a", true)).To(gomega.Equal(rollout.AccessNew))
		gomega.Expect(h.Choose(3700, "a", true)).To(gomega.Equal(rollout.AccessNone))
	})

	// Guards against a delayed reply that restores an earlier grant.
	ginkgo.It("ignores a reply to an earlier report", func() {
		h := rollout.NewHolder(0, rollout.Order{To: "v2"}, "g", "i", true)
		first, _ := h.Report(0), h.Report(250)
		h.Apply(0, first.Sequence, rollout.Reply{Phase: rollout.Trial, Ceiling: 9})
		gomega.Expect(h.Choose(300, "a", true)).To(gomega.Equal(rollout.AccessOld))
	})
})
