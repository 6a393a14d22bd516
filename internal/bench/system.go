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

// system is the state of one simulation run: one variant of the policies in one
// deployment with one seed.
type system struct {
	*eventQueue
	deployment Deployment
	variant    Variant
	seed       uint64
	random     *rand.Rand
	agents     map[spool.EndpointID]*agent
	agentList  []*agent
	// entries holds the entries of all failure domains, liveEntries those whose
	// domain is not drained.
	entries     []*entry
	liveEntries []*entry
	programs    map[spool.ProgramID]*program
	// weights holds the fair-queueing weight of each account by its name; the mean
	// is 1.
	weights map[string]float64
	// sequence is the last number given to a call at the limits or to an attempt.
	sequence uint64
	counters *counters

	configs        map[spool.AccountID]limit.Config
	fleet          *limit.Fleet
	staticSplits   map[spool.NodeID]map[spool.AccountID]*limit.StaticSplit
	centralBuckets map[spool.AccountID]*limit.Central
	meters         map[spool.AccountID]*limit.Meter
	// queuedCalls holds the calls that wait for a decision of fleet, by request
	// identifier.
	queuedCalls map[string]*call
}

func newSystem(d Deployment, v Variant, seed uint64) *system {
	s := &system{
		eventQueue: &eventQueue{}, deployment: d, variant: v, seed: seed,
		random:         rand.New(rand.NewPCG(seed, 77)),
		agents:         map[spool.EndpointID]*agent{},
		programs:       map[spool.ProgramID]*program{},
		weights:        map[string]float64{},
		configs:        map[spool.AccountID]limit.Config{},
		staticSplits:   map[spool.NodeID]map[spool.AccountID]*limit.StaticSplit{},
		centralBuckets: map[spool.AccountID]*limit.Central{},
		meters:         map[spool.AccountID]*limit.Meter{},
		queuedCalls:    map[string]*call{},
	}
	s.counters = newCounters(s)
	for i := range d.Endpoints {
		s.addAgent(i)
	}
	for i, domain := range d.Domains {
		s.addEntry(i, domain)
	}
	s.addLimits()
	return s
}

// options returns the options of all policies of the run.
func (s *system) options() spool.Options {
	options := spool.Options{"gate.coldConcurrency": coldCapacity, "gate.maxConcurrency": slots}
	for name, value := range s.variant.Options {
		options[name] = value
	}
	return options
}

// must returns policy and panics on an error. An error is a fault of the program,
// because Run has validated the names of the policies.
func must[P any](policy P, err error) P {
	if err != nil {
		panic(err)
	}
	return policy
}

func (s *system) newGate() spool.Gate {
	return must(spool.Gates.New(s.variant.Gate, s.seed, s.options()))
}

// addAgent adds endpoint i with its agent and engine. Endpoints are assigned to the
// failure domains in turn.
func (s *system) addAgent(i int) {
	a := &agent{
		system: s, id: spool.EndpointID(fmt.Sprintf("endpoint-%02d", i)),
		domain:  s.deployment.Domains[i%len(s.deployment.Domains)],
		engine:  newEngine(s.eventQueue, s.random, s.variant.unlimited),
		queue:   must(spool.Queues.New(s.variant.Queue, s.seed+uint64(i), s.options())),
		gate:    s.newGate(),
		pause:   must(spool.Pauses.New(s.variant.Pause, s.seed, s.options())),
		paused:  map[spool.ProgramID]spool.PausedProgram{},
		waiting: map[string]*call{}, listed: true,
		backlog: gatekeeper.NewWaitEstimator(meanGenerated * tokenMillis),
	}
	a.engine.onEvict = func(id spool.ProgramID) {
		if p, ok := s.programs[id]; ok {
			delete(p.expectedCached, a.id)
		}
	}
	s.agents[a.id] = a
	s.agentList = append(s.agentList, a)
	s.after(clock.Millis(i)*reportInterval/clock.Millis(s.deployment.Endpoints), a.report)
}

// addEntry adds the entry of failure domain i.
func (s *system) addEntry(i int, domain string) {
	e := &entry{
		system: s, id: spool.NodeID("entry-" + domain),
		router:   must(spool.Routers.New(s.variant.Router, s.seed+uint64(i), s.options())),
		retry:    must(spool.Retries.New(s.variant.Retry, s.seed+uint64(i), s.options())),
		status:   map[spool.EndpointID]status{},
		inFlight: map[spool.EndpointID]map[*call]clock.Millis{},
	}
	for _, a := range s.agentList {
		e.inFlight[a.id] = map[*call]clock.Millis{}
	}
	s.entries = append(s.entries, e)
	s.liveEntries = append(s.liveEntries, e)
}

// Limits of every account: staticShare is the share of the rate that is split evenly
// over the entries and needs no lease. The burst is the number of requests at the
// account's rate in burstSeconds, but at least minBurst requests.
const (
	staticShare  = 0.1
	burstSeconds = 5.0
	minBurst     = 10.0
)

// addLimits sets up the limits of all accounts at all entries: leases or static parts, and
// the central bucket and meter with which the limits are judged.
func (s *system) addLimits() {
	capacity := capacityPerEndpoint() * float64(s.deployment.Endpoints)
	nodes := make([]spool.NodeID, len(s.entries))
	for i, e := range s.entries {
		nodes[i] = e.id
		s.staticSplits[e.id] = map[spool.AccountID]*limit.StaticSplit{}
	}
	for _, a := range s.deployment.Accounts {
		id := spool.AccountID(a.Name)
		config := limit.Config{Rate: a.CapacityShare * capacity, StaticShare: staticShare}
		config.Burst = max(minBurst, burstSeconds*config.Rate)
		s.configs[id] = config
		s.weights[a.Name] = a.CapacityShare * float64(len(s.deployment.Accounts))
		s.centralBuckets[id] = limit.NewCentral(0, config)
		s.meters[id] = limit.NewMeter(0, config)
		for _, e := range s.entries {
			s.staticSplits[e.id][id] = limit.NewStaticSplit(0, config, len(s.entries))
		}
	}
	if s.variant.UseLeases {
		s.fleet = limit.NewFleet(0, nodes, s.configs, limit.DefaultTiming(), networkDelay, listLag)
		s.advanceLimits()
	}
}

// advanceLimits processes the events of the limits that are due, continues the calls
// that they decide, and schedules itself for the time of the next event.
func (s *system) advanceLimits() {
	for _, outcome := range s.fleet.Advance(s.now) {
		c := s.queuedCalls[outcome.ID]
		delete(s.queuedCalls, outcome.ID)
		s.admissionDecided(c, outcome.Admitted, outcome.RetryAfter)
	}
	s.at(s.fleet.Next(), func() {
		if s.fleet.Next() <= s.now {
			s.advanceLimits()
		}
	})
}

// admit applies the account's limit at a random live entry, as behind a load balancer.
// It also records in the call whether one central token bucket would have admitted it.
// If the limit queues the call, advanceLimits continues it later.
func (s *system) admit(c *call) {
	e := s.liveEntries[s.random.IntN(len(s.liveEntries))]
	c.withinRate = s.centralBuckets[c.view.Account].Admit(s.now, 1)
	if s.fleet == nil {
		limiter := s.staticSplits[e.id][c.view.Account]
		s.admissionDecided(c, s.variant.unlimited && c.withinRate || !s.variant.unlimited && limiter.Admit(s.now, 1), 0)
		return
	}
	s.sequence++
	id := strconv.FormatUint(s.sequence, 10)
	decision, queued := s.fleet.Submit(s.now, e.id, c.view.Account, id, limitClass(c))
	if queued {
		s.queuedCalls[id] = c
	} else {
		s.admissionDecided(c, decision.Admitted, decision.RetryAfter)
	}
	if s.fleet.Next() > s.now {
		s.at(s.fleet.Next(), func() {
			if s.fleet.Next() <= s.now {
				s.advanceLimits()
			}
		})
	}
}

// limitClass returns the class of a call at the limits: alarm, first call of a root
// program, or other call.
func limitClass(c *call) limit.Class {
	switch {
	case c.view.Alarm:
		return limit.ClassAlarm
	case c.isProgramStart():
		return limit.ClassStart
	default:
		return limit.ClassCall
	}
}

// admissionDecided counts the decision of the limits on a call. It reports a refusal
// to the caller, or passes the call to the live entry that owns its root program.
func (s *system) admissionDecided(c *call, admitted bool, retryAfter clock.Millis) {
	s.counters.recordDecision(c, admitted)
	if !admitted {
		s.after(networkDelay, func() { c.program.handleRefusal(c, retryAfter) })
		return
	}
	s.meters[c.view.Account].Admitted(s.now, 1)
	owner := s.liveEntries[xxhash.Sum64String(string(c.view.Root))%uint64(len(s.liveEntries))]
	s.after(networkDelay, func() { owner.dispatch(c) })
}

// drainDomain drains the first failure domain. Its entry gets no more calls and its
// agents refuse calls at once. The routers still see its endpoints until listLag, the
// delay of the VM list, has passed.
func (s *system) drainDomain() {
	drainedDomain := s.deployment.Domains[0]
	drained := s.liveEntries[0]
	s.liveEntries = s.liveEntries[1:]
	if s.fleet != nil {
		s.fleet.Leave(s.now, drained.id)
	}
	for _, a := range s.agentList {
		if a.domain == drainedDomain {
			a.drain()
			s.after(listLag, func() { a.listed = false })
		}
	}
}

// restoreDomain returns the first failure domain to service with cold engines. The
// routers see its endpoints again after listLag.
func (s *system) restoreDomain() {
	s.liveEntries = append([]*entry{s.entries[0]}, s.liveEntries...)
	if s.fleet != nil {
		s.fleet.Join(s.now, s.entries[0].id)
	}
	for _, a := range s.agentList {
		if a.domain == s.deployment.Domains[0] {
			a.restore()
			s.after(listLag, func() { a.listed, a.returnedAt = true, s.now })
		}
	}
}

func correlationID(n uint64) string { return strconv.FormatUint(n, 10) }

// simulate runs the workload of a job and returns its counters. With job.faults, the
// first failure domain is drained and restored, and one engine restarts; the
// reference variant has no faults.
func simulate(j *job) *counters {
	s := newSystem(j.deployment, j.variant, j.seed)
	if j.short {
		for _, a := range s.agentList {
			a.engine.cacheLimit = shortCacheTokens
		}
	}
	for i, script := range workload(j.deployment, j.load, j.seed, warmUp+windowLength+coolDown) {
		if j.short {
			script.lengthenPauses()
		}
		id := spool.ProgramID("p" + strconv.Itoa(i))
		s.at(script.start, func() { s.startProgram(id, nil, script, nil) })
	}
	if j.faults && !j.variant.unlimited {
		s.at(drainAt, s.drainDomain)
		s.at(returnAt, s.restoreDomain)
		s.at(restartAt, func() { s.agentList[len(s.agentList)-1].engine.restart() })
	}
	s.runUntil(warmUp + windowLength + coolDown)
	s.counters.finish()
	return s.counters
}
