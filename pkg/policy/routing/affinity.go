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
	// defaultStartWaitMs and defaultLossStartWaitMs bound the wait of first calls
	// of programs. The bench at load 2 answers as many calls with 10 s as with
	// 110 s; a longer bound refuses fewer programs for a while and then only makes
	// all of them wait. A short bound in usual times leaves room for the programs
	// that arrive while capacity is lost; the long one is below the time that a
	// call may take (call.timeoutMs).
	defaultStartWaitMs     = 30_000
	defaultLossStartWaitMs = 110_000
)

// affinity keeps a program where its prefix is unless the wait there costs more
// than recomputing the prefix elsewhere, to the call itself and to the calls that
// would be held up by it.
type affinity struct {
	estimator
	recomputeWeight float64
	spread          float64
	// bound and lossBound are the waits above which no program begins, in usual
	// times and with capacity lost.
	bound, lossBound float64
	loss             loss
	random           *rand.Rand
}

// newAffinity reads routing.staleMs, the age at which a report tells nothing;
// routing.recomputeWeight, the worth of a millisecond of recomputing in
// milliseconds of waiting; routing.spread; routing.startWaitMs, the expected wait
// above which no program begins, 0 for none; and routing.lossStartWaitMs, the same
// with capacity lost.
func newAffinity(seed uint64, options spool.Options) spool.Router {
	return &affinity{
		estimator:       estimator{staleMs: options.Get("routing.staleMs", defaultStaleMs)},
		recomputeWeight: options.Get("routing.recomputeWeight", 1),
		lossBound:       options.Get("routing.lossStartWaitMs", defaultLossStartWaitMs),
		bound:           options.Get("routing.startWaitMs", defaultStartWaitMs),
		spread:          options.Get("routing.spread", defaultSpread),
		random:          source(seed),
	}
}

// Pick returns the endpoint where the call is expected to end first. Among
// equals it prefers the longest cached prefix, then chance. It returns false for
// the first call of a program when the wait is too long everywhere.
func (r *affinity) Pick(now clock.Millis, call spool.CallView, endpoints []spool.EndpointView) (spool.EndpointID, bool) {
	fit := candidates(call, endpoints)
	if len(fit) == 0 {
		return "", false
	}
	all := r.fleet(fit)
	lost := r.loss.observe(now, endpoints)
	if r.sheds(now, call, fit, all, lost) {
		return "", false
	}
	costs := make([]float64, len(fit))
	cheapest := 0
	for i, e := range fit {
		wait := r.wait(now, e, all)
		if call.Start() {
			wait = r.startWait(now, e, all)
		}
		costs[i] = wait + r.weight(now, e, all)*recompute(call, e)
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

// sheds tells that a program should not begin now: wherever its first call went,
// it would wait for longer than the bound. Each further program would slow down
// those that have begun and push their prefixes out of the caches.
func (r *affinity) sheds(now clock.Millis, call spool.CallView, fit []spool.EndpointView, all fleet, lost float64) bool {
	if r.bound <= 0 || !call.Start() {
		return false
	}
	bound := r.bound + lost*(r.lossBound-r.bound)
	for _, e := range fit {
		if e.Window <= 0 || r.startWait(now, e, all) <= bound {
			return false
		}
	}
	return true
}

// weight counts the delay of the endpoint's other calls in with a millisecond of
// recomputing. It grows with the load, so programs stay where they are when every
// queue is long.
func (r *affinity) weight(now clock.Millis, e spool.EndpointView, all fleet) float64 {
	return r.recomputeWeight * (1 + heldUp*r.load(now, e, all))
}
