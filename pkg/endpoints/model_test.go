package endpoints_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	firstMillis    = 65.0
	eventMillis    = 55.0
	exchangeMillis = 250.0
	slowMillis     = 600.0
	slots, queue   = 6, 18
	central        = "central queue"
)

// station is an endpoint of the queueing model: slots, a queue and a factor of the time.
type station struct {
	record             spool.EndpointRecord
	factor             float64
	running            int
	waiting            []*job
	stats, known       load.Stats
	countedAt, slowEnd float64
	isSlow             bool
}

// job is a request; finished is called with its end.
type job struct {
	gateway    int
	events     int
	noise      float64
	came, sent float64
	home       spool.FailureDomain
	want       endpoints.PickRequest
	hasLeft    bool
	finish     func(endpoints.Result)
}

// agenda is the heap of the future events.
type agenda []event

type event struct {
	at  float64
	run func()
}

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any          { last := (*a)[len(*a)-1]; *a = (*a)[:len(*a)-1]; return last }

// model is a queueing model of gateways that send requests to stations.
type model struct {
	now      float64
	agenda   agenda
	random   *rand.Rand
	tables   []*endpoints.Table
	homes    []spool.FailureDomain
	stations []*station
	byID     map[spool.EndpointID]*station
	// own, reported and seen are requests in flight by gateway: now, in its last report, and
	// what it knows of others.
	own, reported, seen []map[spool.EndpointID]int
	policy              string
	waiting             []*job
	// ended is called with each request that has ended, offers counts attempts.
	ended           func(j *job, finish float64)
	offers, crossed int
	// isCut says that requests do not reach other failure domains.
	isCut bool
	// slowShare is the part of the time in which a station is 2.5 times slower.
	slowShare float64
}

// viewOf is what one gateway knows.
type viewOf struct {
	model   *model
	gateway int
}

func (v viewOf) Instance(_ clock.Millis, instance load.Instance) load.Stats {
	stats := v.model.byID[instance.ID].known
	stats.InFlight = v.model.seen[v.gateway][instance.ID]
	return stats
}

func (v viewOf) Service(clock.Millis, spool.ServiceName) load.ServiceStats {
	return load.ServiceStats{}
}

func newModel(policy string, homes []spool.FailureDomain, stations []*station, options spool.Options) *model {
	m := &model{random: rand.New(rand.NewPCG(1, 2)), homes: homes, stations: stations, policy: policy, byID: map[spool.EndpointID]*station{}, ended: func(*job, float64) {}}
	counts, totals := map[spool.FailureDomain]int{}, map[spool.FailureDomain]int{}
	for _, home := range homes {
		totals[home]++
	}
	for i, home := range homes {
		name := policy
		if policy == central || policy == "least own" {
			name = endpoints.PolicyOccupancy
		}
		chosen, err := endpoints.Policies.New(name, uint64(i), options)
		if err != nil {
			panic(err)
		}
		table := endpoints.NewTable(home, endpoints.WithPolicy(chosen), endpoints.WithView(viewOf{m, i}))
		counts[home]++
		table.SetPosition(counts[home]-1, totals[home])
		m.tables = append(m.tables, table)
		m.own, m.reported, m.seen = append(m.own, map[spool.EndpointID]int{}), append(m.reported, map[spool.EndpointID]int{}), append(m.seen, map[spool.EndpointID]int{})
		m.after(m.random.Float64()*exchangeMillis, func() { m.exchange(i) })
	}
	for _, s := range stations {
		m.add(s)
	}
	return m
}

func (m *model) add(s *station) {
	m.byID[s.record.ID] = s
	for _, table := range m.tables {
		table.Put(clock.Millis(m.now), s.record)
	}
}

func newStations(count int, domain spool.FailureDomain, factors ...float64) (stations []*station) {
	for i := range count {
		record := newRecord(fmt.Sprintf("%s-%d", domain, i), domain)
		record.Slots = slots
		stations = append(stations, &station{record: record, factor: factors[i%len(factors)]})
	}
	return stations
}

func (m *model) after(delay float64, run func()) { heap.Push(&m.agenda, event{m.now + delay, run}) }

func (m *model) runUntil(end float64) {
	for len(m.agenda) > 0 && m.agenda[0].at < end {
		next := heap.Pop(&m.agenda).(event)
		m.now = next.at
		next.run()
	}
}

// exchange lets a gateway report its requests and learn those that others have reported.
func (m *model) exchange(gateway int) {
	for id, s := range m.byID {
		m.reported[gateway][id] = m.own[gateway][id]
		total := 0
		for other := range m.reported {
			if other != gateway {
				total += m.reported[other][id]
			}
		}
		m.seen[gateway][id] = total
		if gateway == 0 {
			s.count(m.now, 0)
			s.known = s.stats
		}
	}
	m.after(exchangeMillis, func() { m.exchange(gateway) })
}

// arrivals offers requests at the rate (per second) of a time to the gateways of a domain.
func (m *model) arrivals(home spool.FailureDomain, highest float64, rate func(now float64) float64) {
	var gateways []int
	for i, domain := range m.homes {
		if domain == home {
			gateways = append(gateways, i)
		}
	}
	var next func()
	next = func() {
		m.after(m.random.ExpFloat64()/highest*1000, next)
		if m.random.Float64()*highest > rate(m.now) {
			return
		}
		j := &job{gateway: gateways[m.random.IntN(len(gateways))], events: m.drawEvents(), noise: math.Exp(0.15 * m.random.NormFloat64()), came: m.now, home: home}
		j.want = endpoints.PickRequest{Service: "models", Salt: fmt.Sprint(m.random.Uint64()), IsStream: true, Bytes: 8 << 10, Tried: map[spool.EndpointID]bool{}}
		if m.policy != "least own" {
			j.want.AffinityKey = fmt.Sprint("p", m.random.IntN(300))
		}
		m.offer(j)
	}
	m.after(0, next)
}

// drawEvents returns 1 event and some more: a Poisson process with 3 on average.
func (m *model) drawEvents() (events int) {
	for at := m.random.ExpFloat64(); at < 3; at += m.random.ExpFloat64() {
		events++
	}
	return events + 1
}

// offer sends a request to the endpoint that its gateway picks, or puts it into the central
// queue.
func (m *model) offer(j *job) {
	if m.policy == central {
		m.waiting = append(m.waiting, j)
		m.serveCentral()
		return
	}
	picked := m.tables[j.gateway].Pick(clock.Millis(m.now), j.want)
	if picked == nil {
		clear(j.want.Tried)
		m.after(30, func() { m.offer(j) })
		return
	}
	s := m.byID[picked.ID()]
	m.offers++
	if s.record.FailureDomain != j.home {
		m.crossed++
	}
	j.sent, j.hasLeft = m.now, s.record.FailureDomain != j.home
	m.own[j.gateway][picked.ID()]++
	j.finish = func(result endpoints.Result) {
		m.own[j.gateway][picked.ID()]--
		m.tables[j.gateway].Done(clock.Millis(m.now), picked, result)
	}
	failed := m.isCut && j.hasLeft
	if failed || len(s.waiting) >= queue {
		outcome := endpoints.Full
		if failed {
			outcome = endpoints.Failed
		}
		j.finish(endpoints.Result{Outcome: outcome, Sample: load.Sample{Outcome: load.Failed}})
		j.want.Tried[picked.ID()] = true
		pause := 1.0
		if len(j.want.Tried) == 5 {
			clear(j.want.Tried)
			pause = 60
		}
		m.after(pause, func() { m.offer(j) })
		return
	}
	s.waiting = append(s.waiting, j)
	m.serve(s)
}

// serve starts requests that wait at a station while it has slots.
func (m *model) serve(s *station) {
	for s.running < slots && len(s.waiting) > 0 {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		m.run(s, j)
	}
}

// serveCentral starts requests of the central queue, each at the fastest station with a slot.
func (m *model) serveCentral() {
	for len(m.waiting) > 0 {
		var best *station
		for _, s := range m.stations {
			if s.running < slots && (best == nil || s.factor*m.slowness(s) < best.factor*m.slowness(best)) {
				best = s
			}
		}
		if best == nil {
			return
		}
		j := m.waiting[0]
		m.waiting = m.waiting[1:]
		j.sent, j.finish = m.now, func(endpoints.Result) {}
		m.run(best, j)
	}
}

// slowness returns 2.5 for slowMillis at a time in slowShare of the time.
func (m *model) slowness(s *station) float64 {
	if m.slowShare > 0 && m.now > s.slowEnd {
		s.slowEnd = m.now + slowMillis*(0.5+m.random.Float64())
		s.isSlow = m.random.Float64() < m.slowShare
	}
	if s.isSlow {
		return 2.5
	}
	return 1
}

func (m *model) run(s *station, j *job) {
	s.running++
	factor := s.factor * m.slowness(s) * j.noise * (1 + 0.05*float64(s.running-1)/slots)
	first, rest := firstMillis*factor, float64(j.events-1)*eventMillis*factor
	way := 0.0
	if j.hasLeft {
		way = 2
	}
	begun := m.now
	m.after(first+rest, func() {
		s.running--
		sample := load.Sample{FirstEvent: clock.Millis(begun + first - j.sent), LastEvent: clock.Millis(m.now - j.sent), Events: j.events}
		s.count(m.now, 1)
		s.stats.FirstEventMillis = average(s.stats.FirstEventMillis, begun+first-j.sent)
		if j.events > 1 {
			s.stats.EventMillis = average(s.stats.EventMillis, rest/float64(j.events-1))
		}
		j.finish(endpoints.Result{Outcome: endpoints.Answered, Sample: sample})
		m.ended(j, m.now-j.came+way)
		if m.policy == central {
			m.serveCentral()
		} else {
			m.serve(s)
		}
	})
}

// count adds answers to the number of the last seconds.
func (s *station) count(now, good float64) {
	s.stats.Good = s.stats.Good*math.Exp((s.countedAt-now)/3000) + good
	s.countedAt = now
}

func average(known, value float64) float64 {
	if known == 0 {
		return value
	}
	return known + 0.3*(value-known)
}

func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}
