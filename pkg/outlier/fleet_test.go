package outlier_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/outlier"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const service = spool.ServiceName("models")

// step is the time between two requests to an endpoint of the simulation, from all gateways.
const step = 100 * clock.Millis(1)

// fakeView forgets results with a time constant of 2 s, and averages times with one of 0.5 s.
// It is delay old.
type fakeView struct {
	delay clock.Millis
	// pages contains the statistics by the time at which they were published.
	current map[load.Instance]load.Stats
	pages   []page
}

type page struct {
	at    clock.Millis
	stats map[load.Instance]load.Stats
}

func (v *fakeView) Instance(now clock.Millis, id load.Instance) load.Stats {
	for i := len(v.pages) - 1; i >= 0; i-- {
		if v.pages[i].at <= now-v.delay {
			return v.pages[i].stats[id]
		}
	}
	return load.Stats{}
}

func (v *fakeView) Service(clock.Millis, spool.ServiceName) load.ServiceStats {
	return load.ServiceStats{}
}

func (v *fakeView) publish(now clock.Millis) {
	copied := map[load.Instance]load.Stats{}
	for id, stats := range v.current {
		copied[id] = stats
		stats.Good, stats.Failed = stats.Good*0.95, stats.Failed*0.95
		v.current[id] = stats
	}
	v.pages = append(v.pages, page{at: now, stats: copied})
}

func (v *fakeView) record(id load.Instance, sample load.Sample) {
	stats := v.current[id]
	if sample.Outcome == load.Failed {
		stats.Failed++
	} else {
		stats.Good++
		millis := float64(sample.LastEvent-sample.FirstEvent) / float64(sample.Events-1)
		if stats.EventMillis == 0 {
			stats.EventMillis = millis
		}
		stats.EventMillis += 0.2 * (millis - stats.EventMillis)
	}
	v.current[id] = stats
}

// fleet is a service under simulation. Each endpoint gets a request per step, which belongs
// to this gateway if the detector allows it and own says so, and to another one otherwise.
type fleet struct {
	detector *outlier.Detector
	view     *fakeView
	members  []outlier.Member
	events   []outlier.Event
	now      clock.Millis
	// fails and millis give the result of a request and its time between two events.
	fails  func(n int, now clock.Millis) bool
	millis func(n int, now clock.Millis) float64
	// ownEvery is the number of requests of which one belongs to this gateway.
	ownEvery, count int
	random          *rand.Rand
	// heldNow is the number of instances that are not in use, and maxHeld the highest one.
	heldNow, maxHeld int
}

func newFleet(size int) *fleet {
	f := &fleet{
		view: &fakeView{current: map[load.Instance]load.Stats{}, delay: 500}, now: clock.Minute, ownEvery: 7,
		random: rand.New(rand.NewPCG(1, 2)),
		fails:  func(int, clock.Millis) bool { return false },
		millis: func(int, clock.Millis) float64 { return 50 },
	}
	for n := range size {
		f.members = append(f.members, outlier.Member{Instance: load.Instance{ID: spool.EndpointID(fmt.Sprintf("e%d", n)), StartedAt: 1}, Slots: 6})
	}
	f.detector = outlier.New(f.view, outlier.WithReport(func(e outlier.Event) { f.events = append(f.events, e) }))
	return f
}

func (f *fleet) sample(n int) load.Sample {
	if f.fails(n, f.now) {
		return load.Sample{Outcome: load.Failed}
	}
	return load.Sample{FirstEvent: 40, LastEvent: 40 + clock.Millis(4*f.millis(n, f.now)), Events: 5}
}

// run lets the time pass. Requests of this gateway go only where the detector allows them;
// those of other gateways go everywhere.
func (f *fleet) run(duration clock.Millis) {
	for end := f.now + duration; f.now < end; f.now += step {
		f.detector.Judge(f.now, service, f.members)
		f.heldNow = 0
		for n, member := range f.members {
			f.count++
			own := f.ownEvery != 0 && f.count%f.ownEvery == 0
			if f.state(n) != outlier.InUse {
				f.heldNow++
			}
			if own && !f.detector.Allows(f.now, service, member.Instance, true) {
				continue
			}
			sample := f.sample(n)
			if own {
				f.detector.Started(f.now, service, member.Instance)
				f.detector.Ended(f.now, service, member.Instance, sample)
			}
			f.view.record(member.Instance, sample)
		}
		f.maxHeld = max(f.maxHeld, f.heldNow)
		f.view.publish(f.now)
	}
}

func (f *fleet) state(n int) outlier.State {
	state, _ := f.detector.State(f.now, service, f.members[n].Instance)
	return state
}

// ejections returns the number of ejections of an endpoint.
func (f *fleet) ejections(n int) (count int) {
	for _, event := range f.events {
		if event.Kind == outlier.KindEjected && event.Instance == f.members[n].Instance {
			count++
		}
	}
	return count
}

// timeInUse returns the share of a duration in which an endpoint is in use.
func (f *fleet) timeInUse(n int, duration clock.Millis) float64 {
	inUse := 0
	for passed := clock.Millis(0); passed < duration; passed += step {
		f.run(step)
		if f.state(n) == outlier.InUse {
			inUse++
		}
	}
	return float64(inUse) * float64(step) / float64(duration)
}
