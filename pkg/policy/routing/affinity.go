package routing

import (
	"math/rand/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// defaultSpread is the part of a call's time by which two endpoints may
	// differ and still count as equal. A call without a prefix is spread at
	// random over equals, since several entries read the same reports.
	defaultSpread = 0.1
	// staleSpread is added to the spread when reports tell nothing.
	staleSpread = 1.0
)

// affinity keeps a program where its prefix is unless the wait there costs more
// than recomputing the prefix elsewhere, to the call itself and to the calls that
// would be held up by it.
type affinity struct {
	estimator
	recomputeWeight float64
	spread          float64
	random          *rand.Rand
}

// newAffinity reads routing.staleMs, the age at which a report tells nothing;
// routing.recomputeWeight, the worth of a millisecond of recomputing in
// milliseconds of waiting; and routing.spread.
func newAffinity(seed uint64, options spool.Options) spool.Router {
	return &affinity{
		estimator:       estimator{staleMs: options.Get("routing.staleMs", defaultStaleMs)},
		recomputeWeight: options.Get("routing.recomputeWeight", 1),
		spread:          options.Get("routing.spread", defaultSpread),
		random:          source(seed),
	}
}

// Pick returns the endpoint where the call is expected to end first. Among
// equals it prefers the longest cached prefix, then chance.
func (r *affinity) Pick(now clock.Millis, call spool.CallView, endpoints []spool.EndpointView) (spool.EndpointID, bool) {
	fit := candidates(call, endpoints)
	if len(fit) == 0 {
		return "", false
	}
	all := r.fleet(fit)
	costs := make([]float64, len(fit))
	cheapest := 0
	for i, e := range fit {
		costs[i] = r.wait(now, e, all) + r.weight(now, e, all)*recompute(call, e)
		if costs[i] < costs[cheapest] {
			cheapest = i
		}
	}
	margin := all.millisPerCall * (r.spread + staleSpread*r.staleness(now, fit[cheapest]))
	best, held, ties := cheapest, -1, 0
	for i, e := range fit {
		if costs[i] > costs[cheapest]+margin {
			continue
		}
		switch {
		case e.CachedTokens > held:
			best, held, ties = i, e.CachedTokens, 1
		case e.CachedTokens == held:
			ties++
			if r.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return fit[best].ID, true
}

// weight counts the delay of the endpoint's other calls in with a millisecond of
// recomputing. It grows with the load, so programs stay where they are when every
// queue is long.
func (r *affinity) weight(now clock.Millis, e spool.EndpointView, all fleet) float64 {
	return r.recomputeWeight * (1 + heldUp*r.load(now, e, all))
}
