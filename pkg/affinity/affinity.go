// Package affinity chooses the endpoints that requests about one object should share. It has
// no state, so all gateways that know the same endpoints choose alike without communication.
package affinity

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// MaxEndpoints bounds the endpoints that handle one object. Each of them has to read the
	// object once, so that a hot object on all endpoints would displace the others.
	MaxEndpoints = 3
	// fairFactor is the multiple of the mean load above which an endpoint is busy, and
	// minBusyLoad the least such load. A gateway that knows only its own requests sees a mean
	// of nearly 0, and would avoid an endpoint for a single request.
	fairFactor  = 1.25
	minBusyLoad = 0.5
)

// Candidate is an endpoint that may handle an object.
type Candidate struct {
	ID spool.EndpointID
	// Load is the number of requests at the endpoint, as far as it is known, divided by its
	// slots.
	Load float64
}

// Candidates are the endpoints among which the objects are distributed. Their order does not
// matter.
type Candidates []Candidate

// Preferred returns up to MaxEndpoints endpoints for an object, the best one first. They are
// those with the highest rendezvous scores, so that the loss of an endpoint moves only the
// objects for which it was preferred. The first one that is not busy is the best: a hot object
// moves on to the next endpoint while it fills more than its share of the one before. If all
// are busy, they are in the order of their loads.
func (c Candidates) Preferred(key string) []spool.EndpointID {
	type ranked struct {
		Candidate
		score uint64
	}
	var best []ranked
	for _, candidate := range c {
		score := Score(key, candidate.ID)
		if len(best) == MaxEndpoints && !isHigher(score, candidate.ID, best[MaxEndpoints-1].score, best[MaxEndpoints-1].ID) {
			continue
		}
		at := len(best)
		for at > 0 && isHigher(score, candidate.ID, best[at-1].score, best[at-1].ID) {
			at--
		}
		best = slices.Insert(best, at, ranked{candidate, score})
		best = best[:min(len(best), MaxEndpoints)]
	}
	busyLoad := c.busyLoad()
	slices.SortStableFunc(best, func(a, b ranked) int { return compareLoads(a.Load, b.Load, busyLoad) })
	ids := make([]spool.EndpointID, len(best))
	for i, endpoint := range best {
		ids[i] = endpoint.ID
	}
	return ids
}

// Score returns the rendezvous score of an endpoint for an object.
func Score(key string, id spool.EndpointID) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(id))
}

// isHigher orders endpoints by their scores, and by their identifiers if those are equal.
func isHigher(score uint64, id spool.EndpointID, otherScore uint64, otherID spool.EndpointID) bool {
	return score > otherScore || score == otherScore && id < otherID
}

// busyLoad returns the load from which an endpoint is busy.
func (c Candidates) busyLoad() float64 {
	sum := 0.0
	for _, candidate := range c {
		sum += candidate.Load
	}
	return max(minBusyLoad, fairFactor*sum/float64(max(1, len(c))))
}

// compareLoads orders two endpoints by their loads as far as they are busy.
func compareLoads(a, b, busyLoad float64) int {
	switch {
	case a < busyLoad && b < busyLoad || a == b:
		return 0
	case a < b:
		return -1
	default:
		return 1
	}
}
