// Package routing implements the routers. roundRobin is the baseline, leastLoaded
// considers only the load, and affinity weighs the cached prefix against the load.
//
// Alternatives considered: Hashing a program to a fixed endpoint preserves its
// prefix, but lets queues build up at single endpoints and moves many programs when
// the list changes. Routing by least load alone recomputes almost every prefix.
// Affinity compares the expected wait with the time to recompute the prefix in the
// same unit, so it needs no threshold for leaving a loaded endpoint.
package routing

import (
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Registered names of the routers.
const (
	RoundRobin  = "roundRobin"
	LeastLoaded = "leastLoaded"
	Affinity    = "affinity"
)

func init() {
	spool.Routers.Register(RoundRobin, func(uint64, spool.Options) spool.Router {
		return &roundRobin{}
	})
	spool.Routers.Register(LeastLoaded, newLeastLoaded)
	spool.Routers.Register(Affinity, newAffinity)
}

// roundRobin picks the endpoints in the order of their IDs. It stores the last
// picked ID, not an index, so that it keeps its position when the list of endpoints
// changes.
type roundRobin struct {
	last spool.EndpointID
}

// Pick returns the endpoint with the next higher ID after the one picked last, or
// the first one if there is none.
func (r *roundRobin) Pick(_ clock.Millis, call spool.CallView, endpoints []spool.EndpointView) (spool.EndpointID, bool) {
	eligible := candidates(call, endpoints)
	if len(eligible) == 0 {
		return "", false
	}
	next := slices.IndexFunc(eligible, func(e spool.EndpointView) bool { return e.ID > r.last })
	r.last = eligible[max(next, 0)].ID
	return r.last, true
}

// candidates returns the endpoints with a share of the load that have not yet
// refused the call. If all of them have refused it, candidates returns all
// endpoints with a share.
func candidates(call spool.CallView, endpoints []spool.EndpointView) []spool.EndpointView {
	available := make([]spool.EndpointView, 0, len(endpoints))
	untried := make([]spool.EndpointView, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if endpoint.Share <= 0 {
			continue
		}
		available = append(available, endpoint)
		if !slices.Contains(call.Tried, endpoint.ID) {
			untried = append(untried, endpoint)
		}
	}
	if len(untried) > 0 {
		return untried
	}
	return available
}
