package bench

import (
	"fmt"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/gatekeeper"
	"github.com/baobabspool/baobabspool/pkg/limit"
	_ "github.com/baobabspool/baobabspool/pkg/policy" // registers the policies
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// system is one run.
type system struct {
	*events
	deployment Deployment
	variant    Variant
	seed       uint64
	random     *rand.Rand
	agents     map[spool.EndpointID]*agent
	order      []*agent
	entries    []*entry
	live       []*entry
	programs   map[spool.ProgramID]*program
	weights    map[string]float64
	sequence   uint64
	count      *counters

	configs  map[spool.AccountID]limit.Config
	fleet    *limit.Fleet
	split    map[spool.NodeID]map[spool.AccountID]*limit.StaticSplit
	central  map[spool.AccountID]*limit.Central
	meters   map[spool.AccountID]*limit.Meter
	admitted map[string]*call
}

func newSystem(d Deployment, v Variant, seed uint64) *system {
	s := &system{
		events: &events{}, deployment: d, variant: v, seed: seed,
		random:   rand.New(rand.NewPCG(seed, 77)),
		agents:   map[spool.EndpointID]*agent{},
		programs: map[spool.ProgramID]*program{},
		weights:  map[string]float64{},
		configs:  map[spool.AccountID]limit.Config{},
		split:    map[spool.NodeID]map[spool.AccountID]*limit.StaticSplit{},
		central:  map[spool.AccountID]*limit.Central{},
		meters:   map[spool.AccountID]*limit.Meter{},
		admitted: map[string]*call{},
	}
	s.count = newCounters(s)
	for i := range d.Endpoints {
		s.addAgent(i)
	}
	for i, domain := range d.Domains {
		s.addEntry(i, domain)
	}
	s.addLimits()
	return s
}

func (s *system) options() spool.Options {
	options := spool.Options{"gate.coldConcurrency": coldCapacity, "gate.maxConcurrency": slots}
	for name, value := range s.variant.Options {
		options[name] = value
	}
	return options
}

// must returns a policy; the names are constants of this package.
func must[P any](policy P, err error) P {
	if err != nil {
		panic(err)
	}
	return policy
}

func (s *system) newGate() spool.Gate {
	return must(spool.Gates.New(s.variant.Gate, s.seed, s.options()))
}

func (s *system) addAgent(i int) {
	a := &agent{
		system: s, id: spool.EndpointID(fmt.Sprintf("endpoint-%02d", i)),
		domain:  s.deployment.Domains[i%len(s.deployment.Domains)],
		engine:  newEngine(s.events, s.random, s.variant.ideal),
		queue:   must(spool.Queues.New(s.variant.Queue, s.seed+uint64(i), s.options())),
		gate:    s.newGate(),
		pause:   must(spool.Pauses.New(s.variant.Pause, s.seed, s.options())),
		paused:  map[spool.ProgramID]spool.PausedProgram{},
		waiting: map[string]*call{}, listed: true,
		backlog: gatekeeper.NewWaitEstimator(meanGenerated * tokenMillis),
	}
	a.engine.onEvict = func(id spool.ProgramID) {
		if p, ok := s.programs[id]; ok {
			delete(p.believed, a.id)
		}
	}
	s.agents[a.id] = a
	s.order = append(s.order, a)
	s.after(clock.Millis(i)*reportEvery/clock.Millis(s.deployment.Endpoints), a.report)
}

func (s *system) addEntry(i int, domain string) {
	e := &entry{
		system: s, id: spool.NodeID("entry-" + domain),
		router: must(spool.Routers.New(s.variant.Router, s.seed+uint64(i), s.options())),
		retry:  must(spool.Retries.New(s.variant.Retry, s.seed+uint64(i), s.options())),
		status: map[spool.EndpointID]status{},
		sent:   map[spool.EndpointID]map[*call]clock.Millis{},
	}
	for _, a := range s.order {
		e.sent[a.id] = map[*call]clock.Millis{}
	}
	s.entries = append(s.entries, e)
	s.live = append(s.live, e)
}

// staticShare and burstSeconds are the settings of every account.
const (
	staticShare  = 0.1
	burstSeconds = 5.0
	minBurst     = 10.0
)

func (s *system) addLimits() {
	capacity := capacityPerEndpoint() * float64(s.deployment.Endpoints)
	nodes := make([]spool.NodeID, len(s.entries))
	for i, e := range s.entries {
		nodes[i] = e.id
		s.split[e.id] = map[spool.AccountID]*limit.StaticSplit{}
	}
	for _, a := range s.deployment.Accounts {
		id := spool.AccountID(a.Name)
		config := limit.Config{Rate: a.Part * capacity, StaticShare: staticShare}
		config.Burst = max(minBurst, burstSeconds*config.Rate)
		s.configs[id] = config
		s.weights[a.Name] = a.Part * float64(len(s.deployment.Accounts))
		s.central[id] = limit.NewCentral(0, config)
		s.meters[id] = limit.NewMeter(0, config)
		for _, e := range s.entries {
			s.split[e.id][id] = limit.NewStaticSplit(0, config, len(s.entries))
		}
	}
	if s.variant.Leases {
		s.fleet = limit.NewFleet(0, nodes, s.configs, limit.DefaultTiming(), hop, listLag)
		s.pump()
	}
}

// pump lets the limits act at the instant of their next event.
func (s *system) pump() {
	for _, outcome := range s.fleet.Advance(s.now) {
		c := s.admitted[outcome.ID]
		delete(s.admitted, outcome.ID)
		s.decided(c, outcome.Admitted, outcome.RetryAfter)
	}
	s.at(s.fleet.Next(), func() {
		if s.fleet.Next() <= s.now {
			s.pump()
		}
	})
}

// admit asks the limits at the entry that the balancer happens to choose.
func (s *system) admit(c *call) {
	e := s.live[s.random.IntN(len(s.live))]
	c.withinOK = s.central[c.view.Account].Admit(s.now, 1)
	if s.fleet == nil {
		limiter := s.split[e.id][c.view.Account]
		s.decided(c, s.variant.ideal && c.withinOK || !s.variant.ideal && limiter.Admit(s.now, 1), 0)
		return
	}
	s.sequence++
	id := strconv.FormatUint(s.sequence, 10)
	decision, held := s.fleet.Submit(s.now, e.id, c.view.Account, id, class(c))
	if held {
		s.admitted[id] = c
	} else {
		s.decided(c, decision.Admitted, decision.RetryAfter)
	}
	if s.fleet.Next() > s.now {
		s.at(s.fleet.Next(), func() {
			if s.fleet.Next() <= s.now {
				s.pump()
			}
		})
	}
}

func class(c *call) limit.Class {
	switch {
	case c.view.Alarm:
		return limit.ClassAlarm
	case c.start():
		return limit.ClassStart
	default:
		return limit.ClassCall
	}
}

func (s *system) decided(c *call, admitted bool, retryAfter clock.Millis) {
	s.count.decided(c, admitted)
	if !admitted {
		s.after(hop, func() { c.program.refused(c, retryAfter) })
		return
	}
	s.meters[c.view.Account].Admitted(s.now, 1)
	owner := s.live[xxhash.Sum64String(string(c.view.Root))%uint64(len(s.live))]
	s.after(hop, func() { owner.dispatch(c) })
}

// leave takes the first failure domain out; entries learn of its endpoints after
// a lag.
func (s *system) leave() {
	domain := s.deployment.Domains[0]
	gone := s.live[0]
	s.live = s.live[1:]
	if s.fleet != nil {
		s.fleet.Leave(s.now, gone.id)
	}
	for _, a := range s.order {
		if a.domain == domain {
			a.drain()
			s.after(listLag, func() { a.listed = false })
		}
	}
}

// comeBack brings the domain back with cold engines.
func (s *system) comeBack() {
	s.live = append([]*entry{s.entries[0]}, s.live...)
	if s.fleet != nil {
		s.fleet.Join(s.now, s.entries[0].id)
	}
	for _, a := range s.order {
		if a.domain == s.deployment.Domains[0] {
			a.comeBack()
			s.after(listLag, func() { a.listed, a.returnedAt = true, s.now })
		}
	}
}

func correlation(n uint64) string { return strconv.FormatUint(n, 10) }

// simulate runs one workload and returns its counters.
func simulate(j *job) *counters {
	s := newSystem(j.deployment, j.variant, j.seed)
	if j.short {
		for _, a := range s.order {
			a.engine.limit = shortCache
		}
	}
	for i, script := range workload(j.deployment, j.load, j.seed, warmUp+window+drainOff) {
		if j.short {
			script.prolong()
		}
		id := spool.ProgramID("p" + strconv.Itoa(i))
		s.at(script.start, func() { s.start(id, nil, script, nil) })
	}
	if j.faults && !j.variant.ideal {
		s.at(leaveAt, s.leave)
		s.at(returnAt, s.comeBack)
		s.at(restartAt, func() { s.order[len(s.order)-1].engine.restart() })
	}
	s.until(warmUp + window + drainOff)
	s.count.close()
	return s.count
}
