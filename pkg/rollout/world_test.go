package rollout_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/rollout"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

var settings = spool.RolloutSettings{Enabled: true, ExposeShare: 0.1, ExposeSlack: 50, RollbackWithin: 5 * clock.Second}

// version describes the answers of the endpoints under trial.
type version struct {
	// fail and slow are the shares of failed answers and of those that are slowBy times
	// slower, from a time after the order on.
	fail, slow, slowBy float64
	from               clock.Millis
	// onRoute, unless empty, is the only bad route; underLoad limits the badness to
	// endpoints that get at least half as many requests as an old one.
	onRoute   string
	underLoad bool
	// loadFrom is the load in relation to an old endpoint from which on the version is bad.
	loadFrom float64
}

// world is a service with gateways and a controller, in virtual time.
type world struct {
	random    *rand.Rand
	rate      float64
	endpoints int
	// routes are the routes of the requests, each with its share.
	routes   []string
	duration clock.Millis
	new      version
	// oldFail is the share of failed answers of old endpoints, and oldSlow their factor.
	oldFail, oldSlow float64
	// speeds are factors of the durations of endpoints, in turn.
	speeds []float64
	// hiccups makes each endpoint 2.5 times slower at times, for 600 ms, until slowUntil.
	hiccups   bool
	slowUntil map[int]clock.Millis

	now        clock.Millis
	order      rollout.Order
	holders    []*rollout.Holder
	controller *rollout.Controller
	record     *rollout.Record
	recordAt   clock.Millis
	// storeAway keeps records from being written; cut holds gateways without contact to the
	// controller and the store; paused those that do nothing until a time.
	storeAway bool
	cut       map[int]bool
	paused    map[int]clock.Millis
	lossShare float64
	// noNew is true if the new version has no endpoints.
	noNew  bool
	events map[clock.Millis][]func()
	recent map[int][]clock.Millis

	requests, exposed, refused int
	bad                        int
	fiftiethBadAt              clock.Millis
	lastNewAt                  clock.Millis
	sentToOldAfterEnd          int
	oldInFlight                int
	oldInFlightAtEnd           int
	endedAt                    clock.Millis
}

const unset = -1

func newWorld(seed uint64, rate float64, duration clock.Millis, v version) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 7)), rate: rate, duration: duration, new: v, oldSlow: 1, speeds: []float64{1}, endpoints: 10,
		slowUntil: map[int]clock.Millis{},
		routes:    []string{"a", "a", "a", "a", "b", "b", "c"},
		now:       100000, cut: map[int]bool{}, paused: map[int]clock.Millis{}, events: map[clock.Millis][]func(){}, recent: map[int][]clock.Millis{},
		endedAt: unset, fiftiethBadAt: unset, lossShare: 0.02,
	}
	w.order = rollout.Order{Service: "app", To: "v2", Duration: duration, Offset: 7}
	w.restart()
	return w
}

// restart begins the rollout of the order.
func (w *world) restart() {
	w.holders = nil
	for i := range 4 {
		w.holders = append(w.holders, rollout.NewHolder(w.now, w.order, spool.NodeID(fmt.Sprint("g", i)), fmt.Sprint("i", i), true))
	}
	w.takeOver()
}

// pause stops a gateway from a time on for a duration.
func (w *world) pause(i int, from, duration clock.Millis) {
	w.after(from, func() { w.paused[i] = w.now + duration })
}

// takeOver replaces the controller by one that knows the record only.
func (w *world) takeOver() {
	w.controller = rollout.NewController(w.now, rollout.NewConfig(settings), w.order, w.record, 0, w.now-w.recordAt)
}

func (w *world) after(delay clock.Millis, event func()) {
	w.events[w.now+delay] = append(w.events[w.now+delay], event)
}

// run advances the time by a duration.
func (w *world) run(duration clock.Millis) {
	for end := w.now + duration; w.now < end; w.now++ {
		for _, event := range w.events[w.now] {
			event()
		}
		delete(w.events, w.now)
		if w.random.Float64() < w.rate/1000 {
			w.arrive()
		}
		if w.now%50 == 0 {
			w.tick()
		}
		for i := range w.holders {
			if (w.now+clock.Millis(60*i))%rollout.AskInterval == 0 && w.now >= w.paused[i] {
				w.report(i)
			}
		}
	}
}

func (w *world) tick() {
	live := []spool.NodeID{}
	for i := range w.holders {
		if w.now < w.paused[i] {
			continue
		}
		live = append(live, spool.NodeID(fmt.Sprint("g", i)))
	}
	count := w.endpoints
	if w.noNew {
		count = 0
	}
	next := w.controller.Tick(w.now, rollout.Surroundings{Live: live, Old: w.endpoints, New: count})
	if next == nil || w.storeAway {
		return
	}
	w.controller.Written(w.now, *next)
	w.record, w.recordAt = next, w.now
	if next.Phase.IsFinal() && w.endedAt == unset {
		w.endedAt, w.oldInFlightAtEnd = w.now, w.oldInFlight
	}
	for i, h := range w.holders {
		w.after(500, func() {
			if !w.cut[i] && w.now >= w.paused[i] {
				h.Observe(w.now-500, *next)
			}
		})
	}
}

// report sends a report and its reply, each with a latency, or loses one of them.
func (w *world) report(i int) {
	h, sentAt := w.holders[i], w.now
	report := h.Report(sentAt)
	lost := w.cut[i] || w.random.Float64() < w.lossShare
	w.after(clock.Millis(2+w.random.IntN(10)), func() {
		if lost {
			h.ReportFailed(sentAt)
			return
		}
		reply := w.controller.Ask(w.now, report, !w.storeAway)
		if w.random.Float64() < w.lossShare {
			return
		}
		arrival := max(w.now+clock.Millis(2+w.random.IntN(10)), w.paused[i]+20)
		w.after(arrival-w.now, func() { h.Apply(sentAt, report.Sequence, reply) })
	})
}

func (w *world) arrive() {
	i := w.random.IntN(len(w.holders))
	if w.now < w.paused[i] {
		return
	}
	route := w.routes[w.random.IntN(len(w.routes))]
	h := w.holders[i]
	access := h.Choose(w.now, route, true)
	if access == rollout.AccessNone {
		w.refused++
		return
	}
	w.requests++
	if access == rollout.AccessOld {
		w.answerOld(h, route)
		return
	}
	w.exposed++
	w.lastNewAt = w.now
	focus := w.endpoints
	if access == rollout.AccessGranted {
		focus = max(1, h.Focus())
	}
	endpoint := w.random.IntN(focus)
	failed, duration := w.answerNew(endpoint, route)
	isBad := failed || duration > 250
	w.after(duration, func() {
		h.Ended(access, route, &rollout.Sample{Failed: failed, First: duration, Pace: -1})
		if isBad {
			w.bad++
		}
		if w.bad == 50 && w.fiftiethBadAt == unset {
			w.fiftiethBadAt = w.now
		}
	})
}

// base returns the duration of an answer at an endpoint of a service without faults.
func (w *world) base(endpoint int) float64 {
	duration := (60 + 30*w.random.Float64()) * w.speeds[endpoint%len(w.speeds)]
	if w.hiccups && w.random.Float64() < 0.15*600/4000 && w.now >= w.slowUntil[endpoint] {
		w.slowUntil[endpoint] = w.now + 600
	}
	if w.now < w.slowUntil[endpoint] {
		duration *= 2.5
	}
	return duration
}

func (w *world) answerOld(h *rollout.Holder, route string) {
	if w.endedAt != unset && w.controller.Phase() == rollout.Completed {
		w.sentToOldAfterEnd++
	}
	duration := clock.Millis(w.base(100+w.random.IntN(w.endpoints)) * w.oldSlow)
	failed := w.random.Float64() < w.oldFail
	w.oldInFlight++
	w.after(duration, func() {
		w.oldInFlight--
		h.Ended(rollout.AccessOld, route, &rollout.Sample{Failed: failed, First: duration, Pace: -1})
	})
}

func (w *world) answerNew(endpoint int, route string) (failed bool, duration clock.Millis) {
	recent := append(w.recent[endpoint], w.now)
	for recent[0] < w.now-clock.Second {
		recent = recent[1:]
	}
	w.recent[endpoint] = recent
	isBad := w.now >= w.orderedAt()+w.new.from && (w.new.onRoute == "" || w.new.onRoute == route) &&
		(!w.new.underLoad || float64(len(recent)) >= max(0.5, w.new.loadFrom)*w.rate/float64(w.endpoints))
	base := w.base(endpoint) * w.oldSlow
	if w.random.Float64() < w.oldFail {
		return true, clock.Millis(base)
	}
	if isBad && w.random.Float64() < w.new.fail {
		return true, clock.Millis(base)
	}
	if isBad && w.random.Float64() < w.new.slow {
		base *= w.new.slowBy
	}
	return false, clock.Millis(base)
}

// orderedAt is the time of the order.
func (w *world) orderedAt() clock.Millis { return 100000 }

// allowed is the bound of the requests to a bad version.
func (w *world) allowed() float64 {
	return settings.ExposeShare*float64(w.requests) + float64(settings.ExposeSlack)
}
