package entry

import (
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// minCandidates is the minimum number of candidates of a service, the subset of
	// its endpoints that this entry routes to; a smaller service uses all its
	// endpoints. The number is small because a routing decision costs about
	// 0.5 µs per candidate.
	minCandidates = 64
	// candidateTTL is the time for which the candidates of a service are cached. It
	// adds to the delay after which calls are no longer routed to an endpoint that
	// has left.
	candidateTTL = 200 * clock.Millis(1)
)

// candidateSet holds the endpoints of one service and the subset of them that this
// entry routes to.
type candidateSet struct {
	// expiresAt is the time from which the set is no longer used and a new one is
	// built.
	expiresAt clock.Millis
	// selected lists the candidates; all maps the identifiers of all endpoints of
	// the service, candidates or not.
	selected []spool.VM
	all      map[spool.EndpointID]spool.VM
}

// candidateCache caches the candidates of each service.
type candidateCache struct {
	mu       sync.Mutex
	services map[spool.ServiceName]*candidateSet
}

// candidatesOf returns the candidates of a service, cached for candidateTTL. The
// result is shared and must not be modified.
func (e *Entry) candidatesOf(service spool.ServiceName) *candidateSet {
	e.candidateCache.mu.Lock()
	defer e.candidateCache.mu.Unlock()
	now := e.clock.Now()
	if cached := e.candidateCache.services[service]; cached != nil && now < cached.expiresAt {
		return cached
	}
	fresh := &candidateSet{expiresAt: now + candidateTTL, all: map[spool.EndpointID]spool.VM{}}
	var ids []spool.NodeID
	for _, vm := range e.streams.Endpoints(service) {
		fresh.all[spool.EndpointID(vm.ID)] = vm
		ids = append(ids, vm.ID)
	}
	for _, id := range membership.Subset(e.config.Node, len(e.streams.LiveMembers()), ids, minCandidates) {
		fresh.selected = append(fresh.selected, fresh.all[spool.EndpointID(id)])
	}
	if e.candidateCache.services == nil {
		e.candidateCache.services = map[spool.ServiceName]*candidateSet{}
	}
	e.candidateCache.services[service] = fresh
	return fresh
}

// including returns the candidates plus latest, the endpoint that ran the program's
// latest turn, because the cache of this endpoint may hold the program's prefix.
// It leaves latest out if the service no longer lists it. The result may be
// c.selected itself and must not be modified.
func (c *candidateSet) including(latest spool.EndpointID) []spool.VM {
	vm, listed := c.all[latest]
	if !listed {
		return c.selected
	}
	for _, chosen := range c.selected {
		if chosen.ID == vm.ID {
			return c.selected
		}
	}
	return append(append([]spool.VM(nil), c.selected...), vm)
}
