package entry

import (
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// minCandidates is the minimum size of the subset of a service's endpoints
	// that an entry routes to. A routing decision costs about 0.5 µs per
	// candidate.
	minCandidates = 64
	// candidateTTL is how long the candidates of a service are cached. It delays
	// noticing that an endpoint leaves.
	candidateTTL = 200 * clock.Millis(1)
)

// candidateSet holds the endpoints of one service that this entry routes to.
type candidateSet struct {
	// expiresAt is when the candidates are selected again.
	expiresAt clock.Millis
	// selected holds the candidates, all every endpoint of the service.
	selected []spool.VM
	all      map[spool.EndpointID]spool.VM
}

// candidateCache caches the candidates of each service.
type candidateCache struct {
	mu       sync.Mutex
	services map[spool.ServiceName]*candidateSet
}

// candidatesOf returns the candidates of a service. The result is shared and must
// not be modified.
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

// including returns the candidates and, if it is still listed, the endpoint that
// ran the program's latest turn, because its cache may hold the program's prefix.
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
