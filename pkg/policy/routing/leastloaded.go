package routing

import (
	"math/rand/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// leastLoaded picks the endpoint with the shortest expected wait. It breaks ties at
// random, so that entry processes with the same reports do not all pick the same
// endpoint.
type leastLoaded struct {
	estimator
	random *rand.Rand
}

func newLeastLoaded(seed uint64, options spool.Options) spool.Router {
	return &leastLoaded{
		estimator: estimator{staleMs: options.Get("routing.staleMs", defaultStaleMs)},
		random:    newRandom(seed),
	}
}

// Pick returns the endpoint with the shortest expected wait, or false if there is
// no candidate.
func (r *leastLoaded) Pick(now clock.Millis, call spool.CallView, endpoints []spool.EndpointView) (spool.EndpointID, bool) {
	eligible := candidates(call, endpoints)
	if len(eligible) == 0 {
		return "", false
	}
	mean := r.averages(eligible)
	best, bestCost, ties := spool.EndpointID(""), 0.0, 0
	for _, e := range eligible {
		cost := r.expectedWaitMs(now, e, mean)
		switch {
		case ties == 0 || cost < bestCost:
			best, bestCost, ties = e.ID, cost, 1
		case cost == bestCost:
			ties++
			if r.random.IntN(ties) == 0 {
				best = e.ID
			}
		}
	}
	return best, true
}
