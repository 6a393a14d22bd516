package endpoints

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func init() {
	Policies.Register(PolicyOccupancy, func(uint64, spool.Options) Policy { return occupancy{} })
}

// The cost of an endpoint is the fraction of its slots that requests of this gateway
// occupy, plus or minus the following terms. The endpoint with the lowest cost is
// picked.
const (
	// otherDomainCost is added for an endpoint in another failure domain.
	otherDomainCost = 0.10
	// affinityGain is subtracted for the endpoint that is expected to have the
	// program's prompt in its cache; see preferred.
	affinityGain = 0.20
	// fullCost is added for fullDuration after an endpoint has refused a request
	// because it had no capacity.
	fullCost = 2.0
	// leavingCost is added for an endpoint that leaves. Each other one goes before it.
	leavingCost = 100.0
	// backoffCost is added for an endpoint in backoff after a failure. It is so
	// high that such an endpoint is picked only if no other one is left.
	backoffCost = 10.0
	// coldCost is added for a cold endpoint, which can serve only a low rate of
	// requests.
	coldCost = 4.0
	// tieBreakCost is the upper bound of a pseudorandom term that spreads requests
	// over endpoints that are equal otherwise.
	tieBreakCost = 0.01
)

// occupancy picks the endpoint with the lowest cost. It knows only the requests of this
// gateway.
type occupancy struct{}

// Choose implements Policy.
func (occupancy) Choose(now clock.Millis, want PickRequest, candidates Candidates) *Endpoint {
	preferred := preferredOf(now, want, candidates)
	var best *Endpoint
	bestCost := math.Inf(1)
	for _, endpoint := range candidates.All() {
		if !candidates.CanServe(endpoint) {
			continue
		}
		cost := occupancyCost(now, endpoint, want, candidates)
		if endpoint == preferred {
			cost -= affinityGain
		}
		if cost < bestCost {
			best, bestCost = endpoint, cost
		}
	}
	return best
}

// Ended implements Policy.
func (occupancy) Ended(clock.Millis, *Endpoint, Result) {}

// preferredOf returns the endpoint that affinityGain makes cheaper for a request, or
// nil if AffinityKey is empty. It is the endpoint with the highest rendezvous score
// among those that may get the request and are not in backoff, cold or leaving, first
// among those of the gateway's own failure domain. All gateways of a failure domain
// thus choose the same endpoint without communication, as long as they agree on the
// state of the endpoints.
func preferredOf(now clock.Millis, want PickRequest, candidates Candidates) (preferred *Endpoint) {
	if want.AffinityKey == "" {
		return nil
	}
	if candidates.spreadsObject() {
		return candidates.table.spreadPreferred(now, want)
	}
	var bestScore uint64
	preferredIsHome := false
	for _, endpoint := range candidates.All() {
		if !candidates.table.mayBePreferred(now, endpoint, want) {
			continue
		}
		isHome := candidates.IsHome(endpoint)
		score := affinityScore(want.AffinityKey, endpoint)
		if preferred == nil || isHome && !preferredIsHome || isHome == preferredIsHome && score > bestScore {
			preferred, bestScore, preferredIsHome = endpoint, score, isHome
		}
	}
	return preferred
}

// affinityScore returns the rendezvous score of an endpoint for a key.
func affinityScore(key string, endpoint *Endpoint) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(endpoint.record.ID))
}

func occupancyCost(now clock.Millis, endpoint *Endpoint, want PickRequest, candidates Candidates) float64 {
	cost := float64(endpoint.inFlight) / float64(max(1, endpoint.record.Slots))
	if !candidates.IsHome(endpoint) {
		cost += otherDomainCost
	}
	cost += endpoint.penalty(now)
	hash := xxhash.Sum64String(want.Salt + "\x00" + string(endpoint.record.ID))
	return cost + tieBreakCost*float64(hash%1024)/1024
}

// penalty returns the sum of the costs of the states of the endpoint; 0 for an endpoint that
// is neither full, in backoff, cold nor leaving.
func (e *Endpoint) penalty(now clock.Millis) (cost float64) {
	if now < e.fullUntil {
		cost += fullCost
	}
	if now < e.backoffUntil {
		cost += backoffCost
	}
	if now < e.coldUntil {
		cost += coldCost
	}
	if e.leavingSince != 0 {
		cost += leavingCost
	}
	return cost
}
