package routing

import (
	"math/rand/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// leastLoaded picks the endpoint with the shortest expected wait and breaks
// ties at random, so that entries do not all follow the same report.
type leastLoaded struct {
	estimator
	random *rand.Rand
}

func newLeastLoaded(seed uint64, options spool.Options) spool.Router {
	return &leastLoaded{
		estimator: estimator{staleMs: options.Get("routing.staleMs", defaultStaleMs)},
		random:    source(seed),
	}
}

// Pick returns the endpoint with the shortest expected wait.
func (r *leastLoaded) Pick(now clock.Millis, call spool.CallView, endpoints []spool.EndpointView) (spool.EndpointID, bool) {
	fit := candidates(call, endpoints)
	if len(fit) == 0 {
		return "", false
	}
	all := r.fleet(fit)
	best, bestCost, ties := spool.EndpointID(""), 0.0, 0
	for _, e := range fit {
		cost := r.wait(now, e, all)
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
