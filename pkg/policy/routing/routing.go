// Package routing holds the routers: roundRobin is the baseline, leastLoaded
// looks at load only, affinity weighs the cached prefix against load.
//
// Ways weighed. Hashing a program to a fixed endpoint keeps its prefix but lets
// queues grow behind one endpoint and moves many programs when the list
// changes. Least load alone recomputes almost every prefix. Affinity compares
// the expected wait with the time of recomputing, in the same unit, so it needs
// no threshold for when to leave a loaded endpoint.
package routing

import (
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Names of the routers.
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

// roundRobin takes the endpoints in the order of their IDs. It remembers the
// last ID and not an index, so it keeps its place when the list changes.
type roundRobin struct {
	last spool.EndpointID
}

// Pick returns the endpoint after the one that was picked last.
func (r *roundRobin) Pick(_ clock.Millis, call spool.CallView, endpoints []spool.EndpointView) (spool.EndpointID, bool) {
	fit := candidates(call, endpoints)
	if len(fit) == 0 {
		return "", false
	}
	next := slices.IndexFunc(fit, func(e spool.EndpointView) bool { return e.ID > r.last })
	r.last = fit[max(next, 0)].ID
	return r.last, true
}

// candidates leaves out endpoints without a share of the load and, as long as
// others remain, those that have refused the call.
func candidates(call spool.CallView, endpoints []spool.EndpointView) []spool.EndpointView {
	open := make([]spool.EndpointView, 0, len(endpoints))
	untried := make([]spool.EndpointView, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if endpoint.Share <= 0 {
			continue
		}
		open = append(open, endpoint)
		if !slices.Contains(call.Tried, endpoint.ID) {
			untried = append(untried, endpoint)
		}
	}
	if len(untried) > 0 {
		return untried
	}
	return open
}
