package routing

import (
	"math/rand/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// defaultSpread is the cost difference, as a share of the mean service time,
	// within which two endpoints are treated as equally good. A call without a
	// cached prefix goes to a random one of them. Otherwise all entry processes,
	// which see the same reports, would send their calls to the same endpoint.
	defaultSpread = 0.1
	// staleSpread is the amount by which the spread grows, in proportion to the
	// staleness of the report of the cheapest endpoint (see estimator.staleness).
	staleSpread = 1.0
	// defaultStartWaitMs and defaultLossStartWaitMs are the expected waits above
	// which first calls of programs are rejected, in normal operation and with
	// capacity lost. In the benchmark with a load of twice the capacity, as many
	// calls are answered with a bound of 10 s as with 110 s: with the longer bound,
	// fewer programs are refused at first, but then all of them wait longer. The
	// short bound in normal operation leaves room for the programs that arrive
	// while capacity is lost. The long bound is below the maximum time of a call
	// (call.timeoutMs).
	defaultStartWaitMs     = 30_000
	defaultLossStartWaitMs = 110_000
)

// affinity routes a call to the endpoint that has cached the prefix of its program,
// unless the wait there costs more than recomputing the prefix elsewhere. The cost
// of recomputing includes the delay of the other calls at the endpoint.
type affinity struct {
	estimator
	recomputeWeight float64
	spread          float64
	// firstCallBoundMs and lossFirstCallBoundMs are the expected waits above which
	// the first call of a program is rejected, in normal operation and with capacity
	// lost. No first call is rejected if firstCallBoundMs is 0.
	firstCallBoundMs, lossFirstCallBoundMs float64
	loss                                   capacityLoss
	random                                 *rand.Rand
}

// newAffinity returns an affinity router. It reads these options: routing.staleMs,
// the age from which a report is ignored; routing.recomputeWeight, the cost of a
// millisecond of recomputing in milliseconds of waiting; routing.spread, the cost
// difference, as a share of the mean service time, within which endpoints are
// treated as equally good; routing.startWaitMs, the expected wait above which first
// calls are rejected, 0 for no bound; and routing.lossStartWaitMs, the same with
// capacity lost.
func newAffinity(seed uint64, options spool.Options) spool.Router {
	return &affinity{
		estimator:            estimator{staleMs: options.Get("routing.staleMs", defaultStaleMs)},
		recomputeWeight:      options.Get("routing.recomputeWeight", 1),
		lossFirstCallBoundMs: options.Get("routing.lossStartWaitMs", defaultLossStartWaitMs),
		firstCallBoundMs:     options.Get("routing.startWaitMs", defaultStartWaitMs),
		spread:               options.Get("routing.spread", defaultSpread),
		random:               newRandom(seed),
	}
}

// Pick returns the endpoint with the lowest expected cost. Among endpoints that are
// treated as equally good it picks the one with the longest cached prefix, and a
// random one if several have it. It returns false if there is no candidate, and for
// the first call of a program if the expected wait is above the bound at every
// endpoint.
func (r *affinity) Pick(now clock.Millis, call spool.CallView, endpoints []spool.EndpointView) (spool.EndpointID, bool) {
	eligible := candidates(call, endpoints)
	if len(eligible) == 0 {
		return "", false
	}
	mean := r.averages(eligible)
	lossShare := r.loss.observe(now, endpoints)
	if r.rejectsFirstCall(now, call, eligible, mean, lossShare) {
		return "", false
	}
	costs := make([]float64, len(eligible))
	cheapest := 0
	for i, e := range eligible {
		wait := r.expectedWaitMs(now, e, mean)
		if call.IsFirst() {
			wait = r.firstCallWaitMs(now, e, mean)
		}
		costs[i] = wait + r.recomputeCost(now, e, mean)*recomputeMs(call, e)
		if costs[i] < costs[cheapest] {
			cheapest = i
		}
	}
	margin := mean.millisPerCall * (r.spread + staleSpread*r.staleness(now, eligible[cheapest]))
	best, cached, ties := cheapest, -1, 0
	for i, e := range eligible {
		if costs[i] > costs[cheapest]+margin {
			continue
		}
		switch {
		case e.CachedTokens > cached:
			best, cached, ties = i, e.CachedTokens, 1
		case e.CachedTokens == cached:
			ties++
			if r.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return eligible[best].ID, true
}

// rejectsFirstCall reports whether a call is the first of its program and would
// wait longer than the bound at every endpoint. Under such load, another program
// would slow down the programs in progress and evict their prefixes from the
// caches. An endpoint that has not reported yet is treated as having no wait.
func (r *affinity) rejectsFirstCall(now clock.Millis, call spool.CallView, eligible []spool.EndpointView, mean averages, lossShare float64) bool {
	if r.firstCallBoundMs <= 0 || !call.IsFirst() {
		return false
	}
	bound := r.firstCallBoundMs + lossShare*(r.lossFirstCallBoundMs-r.firstCallBoundMs)
	for _, e := range eligible {
		if e.Window <= 0 || r.firstCallWaitMs(now, e, mean) <= bound {
			return false
		}
	}
	return true
}

// recomputeCost returns the cost of a millisecond of recomputing in milliseconds of
// waiting, including the delay of the other calls at the endpoint. It grows with
// the load, so that programs stay at their endpoints when every queue is long.
func (r *affinity) recomputeCost(now clock.Millis, e spool.EndpointView, mean averages) float64 {
	return r.recomputeWeight * (1 + delayedShare*r.expectedLoad(now, e, mean))
}
