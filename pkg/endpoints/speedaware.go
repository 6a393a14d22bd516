package endpoints

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func init() {
	Policies.Register(PolicySpeedAware, newSpeedAware)
}

const (
	// slowRatio is the time between events, as a multiple of that of fast endpoints, up to
	// which an endpoint is not slow. Smaller differences do not outweigh a cached prompt.
	slowRatio = 1.35
	// slowCost is added for an endpoint that is slow by 1 beyond slowRatio, as a part of the
	// slots that requests of this gateway occupy.
	slowCost = 1.0
	// The cost of slow endpoints falls from the load of the fast ones at which they still
	// have free slots to the load at which a queue there takes longer than a slow endpoint.
	fastLoadLow, fastLoadHigh = 0.75, 1.35
	// fastLoadTime is the time constant of the load of the fast endpoints. It is longer than
	// the age of what is known of others, so that gateways do not all change at once.
	fastLoadTime = clock.Second
	// fastQuantile is the part of the endpoints that is surely fast.
	fastQuantile = 0.25
)

// speedAware picks the endpoint with the lowest cost, which is that of occupancy and a cost
// for slow endpoints. What is known of the requests of other gateways is older than a request
// takes, so it is used for averages only: which endpoints are slow, how loaded the fast ones
// are together, and which share of the requests leaves the failure domain. Calls that are not
// streams are short and small, and a plain service may have one or two endpoints in a domain,
// so that they go to all domains as with occupancy.
type speedAware struct {
	*expectedFinish
	classes map[spool.ServiceName]*speedClasses
}

// speedClasses is what speedAware knows of the fast endpoints of a service.
type speedClasses struct {
	// fastEvent is the time between events of a fast endpoint; 0 if it is unknown.
	fastEvent float64
	// fastLoad is the part of the slots of the fast endpoints that is in use.
	fastLoad  float64
	updatedAt clock.Millis
}

func newSpeedAware(seed uint64, options spool.Options) Policy {
	return &speedAware{expectedFinish: newExpectedFinish(seed, options).(*expectedFinish), classes: map[spool.ServiceName]*speedClasses{}}
}

// Choose implements Policy.
func (p *speedAware) Choose(now clock.Millis, want PickRequest, candidates Candidates) *Endpoint {
	state := p.stateFor(now, want, candidates)
	classes := p.classes[want.Service]
	if classes == nil {
		classes = &speedClasses{}
		p.classes[want.Service] = classes
	}
	classes.update(now, candidates)
	var best choice
	home := candidates.Home()
	p.offerAll(now, home, want, candidates, classes, &best)
	random := nextRandom(xxhash.Sum64String(want.Salt) ^ p.seed)
	leaves := float64(random>>11)/(1<<53) < state.spill.Share() && state.receives(p.maxReceiveLoad)
	if best.endpoint == nil || best.finish >= fullCost || leaves || !want.IsStream {
		p.offerAll(now, candidates.Other(), want, candidates, classes, &best)
	}
	if best.endpoint != nil && best.endpoint.domain != p.home {
		state.begin(best.endpoint.domain)
	}
	return best.endpoint
}

// offerAll offers the endpoints of a list, of which the one that is expected to have the
// prompt in its cache costs less.
func (p *speedAware) offerAll(now clock.Millis, list []*Endpoint, want PickRequest, candidates Candidates, classes *speedClasses, best *choice) {
	preferred := preferredFast(now, list, want, candidates, classes)
	for _, endpoint := range list {
		if !candidates.CanServe(endpoint) {
			continue
		}
		cost := occupancyCost(now, endpoint, want, candidates) + classes.cost(endpoint)
		if endpoint == preferred {
			cost -= affinityGain
		}
		best.offer(endpoint, cost)
	}
}

// preferredFast returns the endpoint of a list that is expected to have the prompt of a
// request in its cache; nil if there is none. It is the one with the highest rendezvous score
// of those that are not slow. Rendezvous hashing divides the programs evenly; the owners on a
// ring had up to 1.45 times the mean load.
func preferredFast(now clock.Millis, list []*Endpoint, want PickRequest, candidates Candidates, classes *speedClasses) (preferred *Endpoint) {
	if want.AffinityKey == "" {
		return nil
	}
	if candidates.spreadsObject() {
		return candidates.table.spreadPreferred(now, want)
	}
	var bestScore uint64
	for _, endpoint := range list {
		if classes.cost(endpoint) > 0 || !candidates.table.mayBePreferred(now, endpoint, want) {
			continue
		}
		if score := affinityScore(want.AffinityKey, endpoint); preferred == nil || score > bestScore {
			preferred, bestScore = endpoint, score
		}
	}
	return preferred
}

// update computes the speed and the load of the fast endpoints, at most every
// refreshInterval.
func (c *speedClasses) update(now clock.Millis, candidates Candidates) {
	elapsed := now - c.updatedAt
	if c.updatedAt != 0 && elapsed < refreshInterval {
		return
	}
	var events []float64
	for _, endpoint := range candidates.All() {
		endpoint.estimate.update(now, candidates.Stats(endpoint), endpoint.inFlight)
		if endpoint.estimate.eventAverage > 0 {
			events = append(events, endpoint.estimate.eventAverage)
		}
	}
	c.fastEvent = quantile(events, fastQuantile)
	inFlight, slots := 0, 0
	for _, endpoint := range candidates.All() {
		if c.ratio(endpoint) <= slowRatio && endpoint.penalty(now) < backoffCost && candidates.CanServe(endpoint) {
			inFlight += endpoint.inFlight + candidates.Stats(endpoint).InFlight
			slots += max(1, endpoint.record.Slots)
		}
	}
	load := 1.0
	if slots > 0 {
		load = float64(inFlight) / float64(slots)
	}
	if c.updatedAt == 0 {
		c.fastLoad = load
	}
	c.fastLoad += (load - c.fastLoad) * (1 - math.Exp(-float64(elapsed)/float64(fastLoadTime)))
	c.updatedAt = now
}

// ratio returns the time between events of an endpoint as a multiple of that of a fast one; 1
// if either is unknown.
func (c *speedClasses) ratio(endpoint *Endpoint) float64 {
	if c.fastEvent <= 0 || endpoint.estimate.eventAverage <= 0 {
		return 1
	}
	return endpoint.estimate.eventAverage / c.fastEvent
}

// cost returns the cost of a slow endpoint; 0 for one that is not slow.
func (c *speedClasses) cost(endpoint *Endpoint) float64 {
	excess := c.ratio(endpoint) - slowRatio
	if excess <= 0 {
		return 0
	}
	room := min(1, max(0, (fastLoadHigh-c.fastLoad)/(fastLoadHigh-fastLoadLow)))
	return slowCost * excess * room
}

// quantile returns the value below which a part of the values lies; 0 if there are none.
func quantile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(part*float64(len(values)))]
}
