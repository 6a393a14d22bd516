package outlier_test

import (
	"math/rand/v2"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/fixedseed"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/outlier"
)

func TestMain(m *testing.M) { fixedseed.Main(m, nil) }

func TestOutlier(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "outlier")
}

var _ = ginkgo.Describe("An endpoint that fails", func() {
	// Guards against a grey endpoint that keeps its share of the traffic because most of its
	// answers are good. In some seconds fewer than three of 10 requests fail.
	ginkgo.It("a part of its requests is ejected within a second after the evidence is shared", func() {
		late := 0
		for seed := range 40 {
			f := newFleet(10)
			f.ownEvery = 0
			f.random = rand.New(rand.NewPCG(uint64(seed), 7))
			f.run(10 * clock.Second)
			gomega.Expect(f.events).To(gomega.BeEmpty())
			f.fails = func(n int, _ clock.Millis) bool { return n == 3 && f.random.Float64() < 0.43 }
			f.run(f.view.delay + clock.Second)
			if f.state(3) == outlier.InUse {
				late++
			}
			f.run(2 * clock.Second)
			gomega.Expect(f.ejections(3)).NotTo(gomega.BeZero())
			gomega.Expect(f.maxHeld).To(gomega.Equal(1))
		}
		gomega.Expect(late).To(gomega.BeNumerically("<=", 12))
	})

	ginkgo.It("a part of its requests is rarely in use later", func() {
		f := newFleet(10)
		f.fails = func(n int, _ clock.Millis) bool { return n == 3 && f.random.Float64() < 0.43 }
		f.run(10 * clock.Second)
		gomega.Expect(f.timeInUse(3, clock.Minute)).To(gomega.BeNumerically("<", 0.15))
	})

	// Guards against an endpoint that is ejected for a single failure, also if the view shows
	// that failure for seconds, vanishes and comes back.
	ginkgo.It("once stays in use", func() {
		f := newFleet(10)
		f.run(clock.Second)
		f.fails = func(n int, now clock.Millis) bool { return n == 3 && now == clock.Minute+clock.Second }
		f.run(clock.Second)
		pages := f.view.pages
		f.view.pages = nil
		f.run(clock.Second)
		f.view.pages = append(f.view.pages, pages...)
		f.run(5 * clock.Second)
		gomega.Expect(f.events).To(gomega.BeEmpty())
	})

	// Guards against a gateway that waits for others while its own requests fail, for example
	// because it has no contact to other gateways.
	ginkgo.It("is ejected by own results alone, and refusals for lack of capacity do not count", func() {
		d := outlier.New(nil)
		f := newFleet(10)
		d.Judge(0, service, f.members)
		for range 10 {
			d.Ended(10, service, f.members[0].Instance, load.Sample{Outcome: load.Rejected})
			d.Ended(10, service, f.members[0].Instance, load.Sample{Outcome: load.Ignored})
		}
		for range 3 {
			d.Ended(10, service, f.members[1].Instance, load.Sample{Outcome: load.Failed})
		}
		d.Judge(200, service, f.members)
		gomega.Expect(d.Allows(200, service, f.members[0].Instance, true)).To(gomega.BeTrue())
		gomega.Expect(d.Allows(200, service, f.members[1].Instance, true)).To(gomega.BeFalse())
	})

	// Guards against a service that loses a part of its slots to ejections just when it has too
	// few: all programs were late on a day on which some endpoints failed a part of their
	// requests during a burst.
	ginkgo.It("is ejected only while the others have room for its requests", func() {
		d := outlier.New(nil)
		f := newFleet(10)
		inUse := func(load float64, now clock.Millis) bool {
			d.SetLoad(service, load)
			d.Judge(now, service, f.members)
			return d.Allows(now, service, f.members[1].Instance, true)
		}
		gomega.Expect(inUse(0.9, 0)).To(gomega.BeTrue())
		for range 3 {
			d.Ended(10, service, f.members[1].Instance, load.Sample{Outcome: load.Failed})
		}
		gomega.Expect(inUse(0.9, 200)).To(gomega.BeTrue())
		gomega.Expect(inUse(0.5, 400)).To(gomega.BeFalse())
		gomega.Expect(inUse(0.9, 600)).To(gomega.BeTrue())
	})

	// Guards against an endpoint that is down and up by turns and comes back each time.
	ginkgo.DescribeTable("and recovers by turns is ejected for longer and longer", func(period clock.Millis) {
		f := newFleet(10)
		f.fails = func(n int, now clock.Millis) bool { return n == 3 && now/period%2 == 0 }
		f.run(20 * clock.Second)
		gomega.Expect(f.timeInUse(3, clock.Minute)).To(gomega.BeNumerically("<", 0.2))
		// Recovered, it returns, and after a while a new fault ejects it for a short time.
		f.fails = func(int, clock.Millis) bool { return false }
		f.run(2 * clock.Minute)
		gomega.Expect(f.state(3)).To(gomega.Equal(outlier.InUse))
		before := len(f.events)
		f.fails = func(n int, _ clock.Millis) bool { return n == 3 }
		f.run(3 * clock.Second)
		gomega.Expect(f.events[before].Level).To(gomega.BeZero())
	}, ginkgo.Entry("each second", clock.Second), ginkgo.Entry("each 1.5 s", 1500*clock.Millis(1)), ginkgo.Entry("each 2 s", 2*clock.Second))

	// Guards against an endpoint that stays ejected although its answers are good again.
	ginkgo.It("for a second is back within 4 s", func() {
		f := newFleet(10)
		f.fails = func(n int, now clock.Millis) bool { return n == 3 && now < clock.Minute+clock.Second }
		f.run(clock.Second + 4*clock.Second)
		gomega.Expect(f.ejections(3)).NotTo(gomega.BeZero())
		gomega.Expect(f.state(3)).To(gomega.Equal(outlier.InUse))
	})
})

var _ = ginkgo.Describe("An endpoint that is late", func() {
	// Guards against an endpoint that holds its requests several times longer than others.
	ginkgo.It("is ejected if it is several times slower than the median", func() {
		f := newFleet(10)
		f.run(2 * clock.Second)
		f.millis = func(n int, _ clock.Millis) float64 { return map[bool]float64{true: 300, false: 50}[n == 3] }
		f.run(4 * clock.Second)
		gomega.Expect(f.state(3)).NotTo(gomega.Equal(outlier.InUse))
		gomega.Expect(f.events[0].Cause).To(gomega.Equal(outlier.CauseLateness))
		gomega.Expect(f.timeInUse(3, clock.Minute)).To(gomega.BeNumerically("<", 0.2))
	})

	// Guards against ejections on a deployment whose endpoints have the factors 0.7, 0.7 and
	// 1.7 and are 2.5 times slower for 600 ms at a time, 15 % of the time.
	ginkgo.DescribeTable("stays in use if its speed is usual", func(factors []float64) {
		f := newFleet(49)
		slowUntil := make([]clock.Millis, len(f.members))
		f.millis = func(n int, now clock.Millis) float64 {
			if now >= slowUntil[n] && f.random.Float64() < 0.15/0.85*float64(step)/600 {
				slowUntil[n] = now + 600
			}
			millis := 50 * factors[n%3] * (0.8 + 0.4*f.random.Float64())
			if now < slowUntil[n] {
				millis *= 2.5
			}
			return millis
		}
		f.run(2 * clock.Minute)
		gomega.Expect(f.events).To(gomega.BeEmpty())
	}, ginkgo.Entry("on deployment 1", []float64{0.7, 0.7, 1.7}), ginkgo.Entry("on deployment 2", []float64{1, 1, 1.3}))

	// Guards against a service that loses endpoints when it is slow as a whole.
	ginkgo.It("stays in use if all or most are", func() {
		f := newFleet(10)
		f.run(2 * clock.Second)
		f.millis = func(n int, _ clock.Millis) float64 { return map[bool]float64{true: 300, false: 50}[n < 6] }
		f.run(10 * clock.Second)
		gomega.Expect(f.events).To(gomega.BeEmpty())
	})
})

var _ = ginkgo.Describe("The ejected share", func() {
	// Guards against a service that loses more endpoints than the others can replace.
	ginkgo.DescribeTable("stays within the limit", func(size, failing, held int) {
		f := newFleet(size)
		f.run(5 * clock.Second)
		f.fails = func(n int, _ clock.Millis) bool { return n < failing && f.random.Float64() < 0.8 }
		f.run(20 * clock.Second)
		gomega.Expect(f.maxHeld).To(gomega.Equal(held))
	}, ginkgo.Entry("when half fails", 10, 5, 3), ginkgo.Entry("when few fail", 10, 2, 2),
		ginkgo.Entry("in a small service", 3, 1, 0), ginkgo.Entry("in a large service", 49, 20, 14))

	ginkgo.It("stays within the limit when all fail", func() {
		f := newFleet(10)
		f.fails = func(int, clock.Millis) bool { return f.random.Float64() < 0.6 }
		f.run(20 * clock.Second)
		gomega.Expect(f.maxHeld).To(gomega.BeNumerically("<=", 3))
	})

	// Guards against ejections because of requests that fail at each endpoint.
	ginkgo.It("is small when all fail a tenth of their requests", func() {
		held, total := 0, 0
		for seed := range uint64(20) {
			f := newFleet(10)
			f.random = rand.New(rand.NewPCG(seed, 5))
			f.fails = func(int, clock.Millis) bool { return f.random.Float64() < 0.1 }
			for range 600 {
				f.run(step)
				held += f.heldNow
				total += len(f.members)
			}
		}
		share := float64(held) / float64(total)
		ginkgo.GinkgoWriter.Printf("not in use %.3f\n", share)
		gomega.Expect(share).To(gomega.BeNumerically("<", 0.1))
	})

	// Guards against slow endpoints that keep a failing one in use.
	ginkgo.It("goes to endpoints that fail before those that are late", func() {
		f := newFleet(10)
		f.run(2 * clock.Second)
		f.millis = func(n int, _ clock.Millis) float64 { return map[bool]float64{true: 300, false: 50}[n < 3] }
		f.run(4 * clock.Second)
		gomega.Expect(f.maxHeld).To(gomega.Equal(3))
		f.fails = func(n int, _ clock.Millis) bool { return n == 9 }
		f.run(2 * clock.Second)
		gomega.Expect(f.state(9)).NotTo(gomega.Equal(outlier.InUse))
		gomega.Expect(f.maxHeld).To(gomega.Equal(3))
	})
})

var _ = ginkgo.Describe("A view", func() {
	// Guards against an ejection of an instance that has just started under the identifier
	// of one that failed.
	ginkgo.It("says nothing of a later start under the same identifier", func() {
		f := newFleet(10)
		f.fails = func(n int, _ clock.Millis) bool { return n == 3 }
		f.run(3 * clock.Second)
		gomega.Expect(f.state(3)).NotTo(gomega.Equal(outlier.InUse))
		f.fails = func(int, clock.Millis) bool { return false }
		f.members[3].Instance.StartedAt = 2
		gomega.Expect(f.state(3)).To(gomega.Equal(outlier.InUse))
		f.run(2 * clock.Second)
		gomega.Expect(f.state(3)).To(gomega.Equal(outlier.InUse))
	})

	// Guards against a false view that keeps a good endpoint out of use for ever.
	ginkgo.It("that shows failures is contradicted by own results", func() {
		f := newFleet(10)
		f.ownEvery = 1
		f.run(2 * clock.Second)
		f.view.pages = nil
		lies := 0.0
		for range 100 {
			lies++
			f.view.pages = []page{{stats: map[load.Instance]load.Stats{f.members[3].Instance: {Failed: lies, Good: -5, EventMillis: 1e9}}}}
			f.run(step)
			gomega.Expect(f.state(3)).To(gomega.Equal(outlier.InUse))
		}
	})

	ginkgo.It("that shows failures keeps a good endpoint out of use only until own requests are good", func() {
		f := newFleet(10)
		f.ownEvery = 0
		lies := 0.0
		lie := func() {
			lies++
			f.view.pages = []page{{stats: map[load.Instance]load.Stats{f.members[3].Instance: {Failed: lies}}}}
			f.run(step)
		}
		for range 10 {
			lie()
		}
		gomega.Expect(f.state(3)).To(gomega.Equal(outlier.Ejected))
		f.ownEvery = 1
		for range 100 {
			lie()
		}
		gomega.Expect(f.state(3)).To(gomega.Equal(outlier.InUse))
	})

	// Guards against several requests at an endpoint that may still fail, and against callers
	// that lose a request to it although another could have been repeated elsewhere.
	ginkgo.It("or own failures lead to a probation with one request at a time", func() {
		f := newFleet(10)
		d := outlier.New(nil)
		d.SetGatewayCount(5)
		d.Judge(0, service, f.members)
		id := f.members[0].Instance
		for range 3 {
			d.Ended(0, service, id, load.Sample{Outcome: load.Failed})
		}
		d.Judge(100, service, f.members)
		_, until := d.State(100, service, id)
		gomega.Expect(until).To(gomega.BeNumerically("~", 1200, 100))
		d.Judge(until, service, f.members)
		gomega.Expect(d.Allows(until, service, id, true)).To(gomega.BeTrue())
		gomega.Expect(d.Allows(until, service, id, false)).To(gomega.BeFalse())
		gomega.Expect(d.Allows(until+1000, service, id, false)).To(gomega.BeTrue())
		d.Started(until, service, id)
		gomega.Expect(d.Allows(until+5000, service, id, true)).To(gomega.BeFalse())
		d.Ended(until+5000, service, id, load.Sample{Outcome: load.Failed})
		_, next := d.State(until+5000, service, id)
		gomega.Expect(next - until - 5000).To(gomega.BeNumerically(">=", 2000))
	})
})
