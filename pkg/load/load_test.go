package load_test

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/fixedseed"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestMain(m *testing.M) { fixedseed.Main(m, nil) }

func TestLoad(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "load")
}

const (
	models   = spool.ServiceName("models")
	interval = 250 * clock.Millis(1)
)

// member is a gateway of a simulated deployment.
type member struct {
	tracker *load.Tracker
	view    *load.Merged
	client  *load.Client
	// hasNews is set by a late answer until the next report.
	hasNews bool
	// pending holds the requests of BenchmarkExchange in flight.
	pending []pendingRequest
}

func newMember(sender uint32) *member {
	m := &member{}
	m.tracker = load.NewTracker(load.WithNotify(func() { m.hasNews = true }))
	m.view = load.NewMerged(m.tracker, func(spool.ServiceName) int { return 6 })
	m.client = load.NewClient(sender, m.tracker, m.view)
	return m
}

func newMembers(count int) (members []*member) {
	for i := range count {
		members = append(members, newMember(uint32(i+1)))
	}
	return members
}

// exchange reports to a collector, again if the collector asks for it.
func (m *member) exchange(now clock.Millis, collector *load.Collector) {
	m.hasNews = false
	for range 2 {
		reply, err := collector.Exchange(now, m.client.Report(now))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		again, err := m.client.Accept(now, now, reply)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		if !again {
			return
		}
	}
	ginkgo.Fail("the collector asked for a full report twice")
}

// answer records a stream of four events that starts and ends at now.
func (m *member) answer(now clock.Millis, instance load.Instance, eventMillis clock.Millis) {
	m.tracker.Started(now, models, instance)
	m.tracker.Ended(now, models, instance, load.Sample{FirstEvent: 50, LastEvent: 50 + 3*eventMillis, Events: 4})
}

func engine(i int) load.Instance {
	return load.Instance{ID: spool.EndpointID(fmt.Sprintf("engine-%d", i)), StartedAt: 7}
}

// fleet is a deployment in which each gateway reports every interval, at its own phase, and
// after a late answer;
// each engine answers eight requests per second, each at another gateway.
type fleet struct {
	members   []*member
	collector *load.Collector
	engines   int
	// eventMillis returns the time per event of an engine.
	eventMillis func(now clock.Millis, engine int) clock.Millis
}

// run advances the deployment from one time to another, and calls each after every step.
func (f *fleet) run(from, to clock.Millis, each func(now clock.Millis)) {
	for now := from; now < to; now += 5 {
		for i := range f.engines {
			if phase := clock.Millis(i*35) % 125; now%125 == phase-phase%5 {
				f.members[(int(now/125)*7+i)%len(f.members)].answer(now, engine(i), f.eventMillis(now, i))
			}
		}
		for i, m := range f.members {
			if phase := clock.Millis(i*15) % interval; now%interval == phase || m.hasNews {
				m.exchange(now, f.collector)
			}
		}
		each(now)
	}
}

// all reports whether a condition holds for the statistics of an engine at each gateway.
func (f *fleet) all(now clock.Millis, instance load.Instance, holds func(load.Stats) bool) bool {
	for _, m := range f.members {
		if !holds(m.view.Instance(now, instance)) {
			return false
		}
	}
	return true
}

var _ = ginkgo.Describe("The exchange", func() {
	var (
		collector *load.Collector
		a, b      *member
	)
	ginkgo.BeforeEach(func() {
		collector = load.NewCollector(1)
		a, b = newMember(1), newMember(2)
	})

	// Guards against requests that are counted twice, or not at all.
	ginkgo.It("tells a gateway what the others have in flight and how fast the endpoints are", func() {
		a.tracker.Started(0, models, engine(1))
		a.answer(0, engine(1), 20)
		a.tracker.ProgramOffered(0, models, 6)
		a.tracker.ProgramBegan(0, models, 6)
		b.tracker.Started(0, models, engine(1))
		for range 2 {
			a.exchange(0, collector)
			b.exchange(0, collector)
		}
		stats := b.view.Instance(0, engine(1))
		gomega.Expect(stats.InFlight).To(gomega.Equal(1))
		gomega.Expect(stats.EventMillis).To(gomega.BeNumerically("~", 20, 1))
		gomega.Expect(stats.FirstEventMillis).To(gomega.BeNumerically("~", 50, 2))
		gomega.Expect(stats.IdleFirstEventMillis).To(gomega.BeNumerically("~", 50, 2))
		gomega.Expect(stats.Good).To(gomega.BeNumerically("~", 1, 0.15))
		gomega.Expect(a.view.Instance(0, engine(1)).InFlight).To(gomega.Equal(1))
		for _, m := range []*member{a, b} {
			service := m.view.Service(0, models)
			gomega.Expect(service.InFlight).To(gomega.Equal(2))
			gomega.Expect(service.Slots).To(gomega.Equal(6))
			gomega.Expect(service.StartsPerSecond).To(gomega.BeNumerically("~", 6, 0.5))
			gomega.Expect(service.OfferedPerSecond).To(gomega.BeNumerically("~", 6, 0.5))
			gomega.Expect(service.EndedPerSecond).To(gomega.BeNumerically("~", 1, 0.1))
		}
	})

	// Guards against a restarted endpoint that inherits the failures of the instance before.
	ginkgo.It("knows nothing of a later start of an endpoint", func() {
		a.answer(0, engine(1), 20)
		a.exchange(0, collector)
		b.exchange(0, collector)
		restarted := engine(1)
		restarted.StartedAt++
		gomega.Expect(b.view.Instance(0, engine(1))).NotTo(gomega.Equal(load.Stats{}))
		gomega.Expect(b.view.Instance(0, restarted)).To(gomega.Equal(load.Stats{}))
	})

	// Guards against guesses where nothing is known: every endpoint looks alike, and no
	// answer is late.
	ginkgo.It("states nothing before there are answers", func() {
		a.exchange(0, collector)
		gomega.Expect(a.view.Instance(0, engine(1))).To(gomega.Equal(load.Stats{}))
		a.answer(0, engine(1), 500)
		gomega.Expect(a.view.Instance(0, engine(1)).Late).To(gomega.BeZero())
	})

	// Guards against load of a gateway that has died or is suspended: its requests are gone,
	// or nobody knows.
	ginkgo.It("drops a gateway 1 s after its last report, and takes it back when it resumes", func() {
		a.tracker.Started(0, models, engine(1))
		a.exchange(0, collector)
		b.exchange(1000, collector)
		gomega.Expect(b.view.Instance(1000, engine(1)).InFlight).To(gomega.Equal(1))
		b.exchange(1150, collector)
		gomega.Expect(b.view.Instance(1150, engine(1)).InFlight).To(gomega.BeZero())
		a.exchange(5000, collector)
		b.exchange(5000, collector)
		gomega.Expect(b.view.Instance(5000, engine(1)).InFlight).To(gomega.Equal(1))
	})

	// Guards against a reply that was on its way while the gateway was suspended, and would
	// count as new afterwards.
	ginkgo.It("counts the age of a reply from when its report was sent", func() {
		a.tracker.Started(0, models, engine(1))
		a.exchange(0, collector)
		reply, err := collector.Exchange(0, b.client.Report(0))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = b.client.Accept(0, 3000, reply)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(b.view.Instance(3000, engine(1)).InFlight).To(gomega.BeZero())
	})

	ginkgo.It("forgets a gateway at once when it leaves", func() {
		a.tracker.Started(0, models, engine(1))
		a.exchange(0, collector)
		_, err := collector.Exchange(0, a.client.LeaveReport())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		b.exchange(0, collector)
		gomega.Expect(b.view.Instance(0, engine(1)).InFlight).To(gomega.BeZero())
	})

	// Guards against decisions by old load when the collector has died, and against a new
	// collector that needs more than one report of each gateway.
	ginkgo.It("falls back to own knowledge after 1 s, and needs one round with another collector", func() {
		a.tracker.Started(0, models, engine(1))
		b.answer(0, engine(1), 20)
		b.tracker.Started(0, models, engine(1))
		a.exchange(0, collector)
		b.exchange(0, collector)
		gomega.Expect(b.view.Instance(1000, engine(1)).InFlight).To(gomega.Equal(1))
		alone := b.view.Instance(1001, engine(1))
		gomega.Expect(b.view.HasOthers(1001)).To(gomega.BeFalse())
		gomega.Expect(alone.InFlight).To(gomega.BeZero())
		gomega.Expect(alone.EventMillis).To(gomega.BeNumerically("~", 20, 1))
		gomega.Expect(b.view.Service(1001, models).InFlight).To(gomega.Equal(1))
		second := load.NewCollector(2)
		a.exchange(1100, second)
		b.exchange(1100, second)
		gomega.Expect(b.view.Instance(1100, engine(1)).InFlight).To(gomega.Equal(1))
	})

	// Guards against two collectors that disturb each other: each gateway knows those that
	// use the same collector, and all again once there is one.
	ginkgo.It("loses only the other part of the gateways with two collectors", func() {
		second, c := load.NewCollector(2), newMember(3)
		for _, m := range []*member{a, b, c} {
			m.tracker.Started(0, models, engine(1))
		}
		for now := clock.Millis(0); now < 3000; now += interval {
			a.exchange(now, collector)
			b.exchange(now, collector)
			c.exchange(now, second)
		}
		gomega.Expect(a.view.Instance(2750, engine(1)).InFlight).To(gomega.Equal(1))
		gomega.Expect(c.view.Instance(2750, engine(1)).InFlight).To(gomega.BeZero())
		for range 2 {
			for _, m := range []*member{a, b, c} {
				m.exchange(3000, collector)
			}
		}
		for _, m := range []*member{a, b, c} {
			gomega.Expect(m.view.Instance(3000, engine(1)).InFlight).To(gomega.Equal(2))
		}
	})

	// Guards against a false report that fills a service, or hides its speed, for all
	// gateways and for longer than 1 s.
	ginkgo.It("bounds what a false report claims", func() {
		for i := range 40 {
			newMember(uint32(10 + i)).with(func(m *member) {
				m.answer(0, engine(1), 20)
				m.exchange(0, collector)
			})
		}
		_, err := collector.Exchange(0, load.FalseReport(99, engine(1), models))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		a.exchange(0, collector)
		stats := a.view.Instance(0, engine(1))
		gomega.Expect(stats.InFlight).To(gomega.BeNumerically("<=", 255))
		gomega.Expect(stats.Good).To(gomega.BeNumerically("<=", 1300))
		gomega.Expect(stats.Late).To(gomega.BeNumerically("<=", stats.Good))
		gomega.Expect(a.view.Service(0, models).InFlight).To(gomega.BeNumerically("<=", 1<<16))
		a.exchange(1200, collector)
		gomega.Expect(a.view.Instance(1200, engine(1)).InFlight).To(gomega.BeZero())
		gomega.Expect(a.view.Service(1200, models).InFlight).To(gomega.BeZero())
	})
})

// with calls f with the gateway.
func (m *member) with(f func(m *member)) { f(m) }

var _ = ginkgo.Describe("The speed of an endpoint", func() {
	var f *fleet
	ginkgo.BeforeEach(func() {
		f = &fleet{members: newMembers(33), collector: load.NewCollector(1), engines: 12}
	})

	const changeAt = 10 * clock.Second

	// Guards against a fleet that goes on sending to an endpoint that has become slow, or
	// avoids one that has recovered.
	ginkgo.It("is known everywhere 0.5 s after the first late answer, and 2 s after a recovery", func() {
		const recoveryAt = 20 * clock.Second
		f.eventMillis = func(now clock.Millis, i int) clock.Millis {
			if i == 3 && now >= changeAt && now < recoveryAt {
				return 100
			}
			return 20
		}
		// Engine 3 answers 100 ms after each change for the first time.
		const firstAnswer = 100
		slowAt, recoveredAt := clock.Millis(0), clock.Millis(0)
		f.run(0, 25*clock.Second, func(now clock.Millis) {
			isSlow := func(s load.Stats) bool { return s.EventMillis > 50 && s.Late > 0.5 }
			if slowAt == 0 && now > changeAt && f.all(now, engine(3), isSlow) {
				slowAt = now
			}
			isFast := func(s load.Stats) bool { return s.EventMillis < 30 }
			if recoveredAt == 0 && now > recoveryAt && f.all(now, engine(3), isFast) {
				recoveredAt = now
			}
			if now < changeAt && now > clock.Second {
				gomega.Expect(f.all(now, engine(3), func(s load.Stats) bool { return s.Late == 0 })).To(gomega.BeTrue())
			}
		})
		fmt.Fprintf(ginkgo.GinkgoWriter, "slow known after %s, recovery after %s\n", slowAt-changeAt-firstAnswer, recoveredAt-recoveryAt)
		gomega.Expect(slowAt).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", changeAt+firstAnswer+500)))
		gomega.Expect(recoveredAt).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", recoveryAt+2*clock.Second)))
	})

	// Guards against endpoints that are all taken out when all become slow at once, for
	// example because of their prompts.
	ginkgo.It("is not late when all endpoints are as slow", func() {
		f.eventMillis = func(now clock.Millis, _ int) clock.Millis {
			if now >= changeAt {
				return 100
			}
			return 20
		}
		f.run(0, 20*clock.Second, func(clock.Millis) {})
		gomega.Expect(f.all(20*clock.Second-5, engine(3), func(s load.Stats) bool { return s.Late < 0.3 && s.Good > 10 })).To(gomega.BeTrue())
	})

	// Guards against an endpoint that gets no requests because its last answer came in a
	// slow phase, and against a slow one that is tried as often as a fast one.
	ginkgo.It("returns to the usual one when there are no answers", func() {
		f.eventMillis = func(_ clock.Millis, i int) clock.Millis {
			if i == 3 {
				return 34
			}
			return 14
		}
		f.run(0, changeAt, func(clock.Millis) {})
		f.members[0].answer(changeAt, engine(3), 200)
		f.engines = 3
		f.run(changeAt, changeAt+300, func(clock.Millis) {})
		gomega.Expect(f.all(changeAt+300, engine(3), func(s load.Stats) bool { return s.EventMillis > 50 })).To(gomega.BeTrue())
		f.run(changeAt+300, changeAt+3*clock.Second, func(clock.Millis) {})
		gomega.Expect(f.all(changeAt+3*clock.Second, engine(3), func(s load.Stats) bool { return s.EventMillis > 30 && s.EventMillis < 45 })).To(gomega.BeTrue())
	})
})
