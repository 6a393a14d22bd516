package endpoints

import (
	"github.com/cespare/xxhash/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/spill"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// The options of the policy expectedFinish.
const (
	// OptionFocus is the number of endpoints of the focus of a gateway that are candidates of a
	// request, and OptionCandidates the number of those that are drawn at random among all of
	// the own failure domain, and of others.
	OptionFocus      = "focus"
	OptionCandidates = "candidates"
	// OptionMillisPerKB and OptionMaxReceiveLoad are the settings of the same names in
	// spool.BalancingSettings.
	OptionMillisPerKB    = "crossingMillisPerKB"
	OptionMaxReceiveLoad = "maxReceiveLoad"
	// OptionWayMillis is the time that a request and its answer need between two failure
	// domains together.
	OptionWayMillis = "wayMillis"
)

const (
	// defaultFocus, defaultCandidates and strangerShare are chosen by the comparison in
	// docs/design/endpoint-selection.md. strangerShare is the part of the time of an answer
	// by which an endpoint outside of the focus must be better, since its requests are known
	// late.
	defaultFocus      = 8
	defaultCandidates = 1
	strangerShare     = 0.5
	// gatewaysPerEndpoint is the least number of gateways in whose focus an endpoint is.
	gatewaysPerEndpoint = 4
	// followersPerGateway and maxFollowers set for how many gateways the deviation of the own
	// requests counts; see estimate.inFlight.
	followersPerGateway = 2.5
	maxFollowers        = 16.0
	// defaultWayMillis is twice the latency of 1 ms between failure domains.
	defaultWayMillis = 2.0
	// drawsPerCandidate bounds the draws for a candidate, since a draw may return an endpoint
	// that cannot be used.
	drawsPerCandidate = 2
	// promptTokensPerMilli is the speed at which engines process prompts, and
	// maxPrefillShare bounds the gain of a cached prompt as a part of the finish, so that it
	// outweighs neither a queue nor an endpoint of twice the speed.
	promptTokensPerMilli = 120.0
	defaultPromptTokens  = 2000
	maxPrefillShare      = 0.25
	bytesPerKB           = 1024.0
)

func init() {
	Policies.Register(PolicyExpectedFinish, newExpectedFinish)
}

// expectedFinish picks the endpoint with the least expected finish among a few candidates:
// some of the focus of the gateway, one drawn at random in the own failure domain, the one that
// affinity prefers, and, for the share of the requests that the spill controller allows, one
// drawn in other domains. The focus is a part of the endpoints at home that few other gateways
// use, so that the own requests, which are known at once, are a large part of those there.
type expectedFinish struct {
	seed           uint64
	focus          int
	candidates     int
	millisPerKB    float64
	maxReceiveLoad float64
	wayMillis      float64
	home           spool.FailureDomain
	services       map[spool.ServiceName]*serviceState
}

func newExpectedFinish(seed uint64, options spool.Options) Policy {
	return &expectedFinish{
		seed: seed, focus: max(1, int(options.Get(OptionFocus, defaultFocus))), candidates: max(1, int(options.Get(OptionCandidates, defaultCandidates))),
		millisPerKB:    options.Get(OptionMillisPerKB, spill.DefaultMillisPerKB),
		maxReceiveLoad: options.Get(OptionMaxReceiveLoad, spill.DefaultMaxReceiveLoad),
		wayMillis:      options.Get(OptionWayMillis, defaultWayMillis),
		services:       map[spool.ServiceName]*serviceState{},
	}
}

// choice is the best endpoint that a Choose has found so far.
type choice struct {
	endpoint *Endpoint
	finish   float64
}

// offer takes the endpoint if it finishes earlier.
func (c *choice) offer(endpoint *Endpoint, finish float64) {
	if c.endpoint == nil || finish < c.finish {
		c.endpoint, c.finish = endpoint, finish
	}
}

// Choose implements Policy.
func (p *expectedFinish) Choose(now clock.Millis, want PickRequest, candidates Candidates) *Endpoint {
	state := p.stateFor(now, want, candidates)
	random := xxhash.Sum64String(want.Salt) ^ p.seed
	var best choice
	home := candidates.Home()
	focus := p.focusOf(home, candidates, state)
	random = p.draw(now, random, focus, p.focus, 0, want, state, candidates, &best)
	random = p.draw(now, random, whole(home), p.candidates, strangerShare, want, state, candidates, &best)
	if preferred := p.preferred(now, want, home, candidates); preferred != nil {
		finish, waits := p.finish(now, preferred, want, state, candidates)
		if !waits {
			finish -= prefillGain(want, finish)
		}
		if !focus.contains(preferred) {
			finish += strangerShare * state.typicalMillis
		}
		best.offer(preferred, finish)
	}
	random = nextRandom(random)
	leaves := float64(random>>11)/(1<<53) < state.spill.Share()
	if (best.endpoint == nil || leaves) && state.receives(p.maxReceiveLoad) {
		p.draw(now, random, whole(candidates.Other()), p.candidates+1, strangerShare, want, state, candidates, &best)
	}
	if best.endpoint == nil {
		best.endpoint = p.scan(now, want, state, candidates)
	}
	if best.endpoint != nil && best.endpoint.domain != p.home {
		state.begin(best.endpoint.domain)
	}
	return best.endpoint
}

// stateFor returns the state of the service of a request, up to date.
func (p *expectedFinish) stateFor(now clock.Millis, want PickRequest, candidates Candidates) *serviceState {
	p.home = candidates.table.homeDomain
	state := p.services[want.Service]
	if state == nil {
		state = &serviceState{spill: spill.New(p.maxReceiveLoad), events: nominalEvents, crossings: map[spool.FailureDomain]crossing{}}
		p.services[want.Service] = state
	}
	state.refresh(now, p, want, candidates)
	state.typicalMillis = state.serviceMillis(want, state.usual)
	return state
}

// focusWindow is the part of the endpoints at home that a gateway uses most: size of them from
// start on, in the order of the ring.
type focusWindow struct {
	list        []*Endpoint
	start, size int
}

// at returns the endpoint at an index below size.
func (f focusWindow) at(index int) *Endpoint { return f.list[(f.start+index)%len(f.list)] }

// contains reports whether an endpoint is in the window.
func (f focusWindow) contains(endpoint *Endpoint) bool {
	index, found := search(f.list, endpoint.point)
	return found && (index-f.start+len(f.list))%len(f.list) < f.size
}

// whole returns a window that contains a list.
func whole(list []*Endpoint) focusWindow { return focusWindow{list: list, size: len(list)} }

// focusOf returns the focus of the gateway. Those of all gateways of a domain together cover
// its endpoints evenly if each knows its position. It also sets how many gateways share it.
func (p *expectedFinish) focusOf(home []*Endpoint, candidates Candidates, state *serviceState) focusWindow {
	if len(home) == 0 {
		return focusWindow{}
	}
	position, count := candidates.Position()
	start := float64(nextRandom(p.seed)>>11) / (1 << 53)
	if position >= 0 {
		start = float64(position) / float64(count)
	}
	size := min(len(home), max(p.focus, (gatewaysPerEndpoint*len(home)+count-1)/count))
	state.followers = min(maxFollowers, followersPerGateway*float64(count*size)/float64(len(home)))
	if count == 1 {
		state.followers = 0
	}
	return focusWindow{list: home, start: int(start * float64(len(home))), size: size}
}

// draw offers count endpoints of a window that are drawn at random, or all if there are not
// more. A stranger must be better by the given part of the time of an answer. It returns the
// state of the random numbers.
func (p *expectedFinish) draw(now clock.Millis, random uint64, window focusWindow, count int, stranger float64, want PickRequest, state *serviceState, candidates Candidates, best *choice) uint64 {
	found, draws := 0, min(window.size, drawsPerCandidate*count)
	for i := 0; i < draws && found < count; i++ {
		index := i
		if window.size > count {
			random = nextRandom(random)
			index = int(random % uint64(window.size))
		}
		endpoint := window.at(index)
		if endpoint.penalty(now) > 0 || !state.isOpen(now, endpoint.domain) || !candidates.CanServe(endpoint) {
			continue
		}
		found++
		finish, _ := p.finish(now, endpoint, want, state, candidates)
		best.offer(endpoint, finish+stranger*state.typicalMillis)
	}
	return random
}

// scan returns the best of all endpoints, those in a worse state after all others. A request
// does not leave for a domain that is filled up to its bound while an endpoint at home answers.
func (p *expectedFinish) scan(now clock.Millis, want PickRequest, state *serviceState, candidates Candidates) *Endpoint {
	var best choice
	for _, endpoint := range candidates.All() {
		if !candidates.CanServe(endpoint) {
			continue
		}
		finish, _ := p.finish(now, endpoint, want, state, candidates)
		rank := endpoint.penalty(now)
		if !candidates.IsHome(endpoint) && !state.receives(p.maxReceiveLoad) {
			rank += 1.5 * fullCost
		}
		if !state.isOpen(now, endpoint.domain) {
			rank += backoffCost
		}
		// Expected finishes are far below an hour, so that the rank goes first.
		best.offer(endpoint, finish+rank*float64(clock.Hour))
	}
	return best.endpoint
}

// preferred returns the endpoint of the own domain that is expected to have the prompt in its
// cache; nil if there is none that can be used at once.
func (p *expectedFinish) preferred(now clock.Millis, want PickRequest, home []*Endpoint, candidates Candidates) *Endpoint {
	if want.AffinityKey == "" {
		return nil
	}
	if candidates.spreadsObject() {
		return candidates.table.spreadPreferred(now, want)
	}
	endpoint := owner(home, want.AffinityKey)
	if endpoint == nil || endpoint.penalty(now) > 0 || !candidates.CanServe(endpoint) {
		return nil
	}
	return endpoint
}

// prefillGain returns the milliseconds that a cached prompt saves.
func prefillGain(want PickRequest, finish float64) float64 {
	tokens := want.PromptTokens
	if tokens <= 0 {
		tokens = defaultPromptTokens
	}
	return min(float64(tokens)/promptTokensPerMilli, maxPrefillShare*finish)
}

// finish returns the milliseconds after which an endpoint is expected to have answered, and
// whether the request is expected to wait there.
func (p *expectedFinish) finish(now clock.Millis, endpoint *Endpoint, want PickRequest, state *serviceState, candidates Candidates) (finish float64, waits bool) {
	stats := candidates.Stats(endpoint)
	finish, waits = state.finish(now, endpoint, want, stats)
	if !candidates.IsHome(endpoint) {
		finish += p.wayMillis + p.price(want)
	}
	return finish, waits
}

// price returns the price of a request that leaves the failure domain.
func (p *expectedFinish) price(want PickRequest) float64 {
	return p.millisPerKB * float64(want.Bytes) / bytesPerKB
}

// finish returns the expected finish of a request at an endpoint, without the network.
func (s *serviceState) finish(now clock.Millis, endpoint *Endpoint, want PickRequest, stats load.Stats) (finish float64, waits bool) {
	endpoint.estimate.update(now, stats, endpoint.inFlight)
	slots := max(1, endpoint.record.Slots)
	others := endpoint.estimate.assumedOthers(now, stats.InFlight, s.homeLoad*float64(slots))
	inFlight := endpoint.estimate.inFlight(endpoint.inFlight, others, s.followers)
	waits = inFlight >= float64(slots)
	service := s.serviceMillis(want, s.speedsOf(endpoint, stats, waits))
	busy := min(1, inFlight/float64(slots))
	return waitMillis(inFlight, slots, service) + service*(1+occupationLoss*busy), waits
}

// Ended implements Policy.
func (p *expectedFinish) Ended(now clock.Millis, endpoint *Endpoint, result Result) {
	state := p.services[endpoint.service]
	if state == nil {
		return
	}
	if result.Sample.Outcome == load.Good && result.Sample.Events > 0 {
		state.events += eventsWeight * (float64(result.Sample.Events) - state.events)
	}
	if endpoint.domain != p.home {
		state.end(now, endpoint.domain, result.Outcome)
	}
}

// spillShares implements spiller.
func (p *expectedFinish) spillShares() map[spool.ServiceName]float64 {
	shares := map[spool.ServiceName]float64{}
	for service, state := range p.services {
		shares[service] = state.spill.Share()
	}
	return shares
}
