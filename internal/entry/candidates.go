package entry

import (
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// leastCandidates is the smallest part of a service's endpoints that an entry
	// routes to. One choice costs about 0.5 µs per candidate.
	leastCandidates = 64
	// candidatesFor is how long the candidates of a service are kept. It delays
	// the news that an endpoint leaves.
	candidatesFor = 200 * clock.Millis(1)
)

// candidates are the endpoints of one service that this entry routes to.
type candidates struct {
	// until is when they are chosen again.
	until clock.Millis
	// chosen are the candidates; all has every endpoint of the service.
	chosen []spool.VM
	all    map[spool.EndpointID]spool.VM
}

// candidateCache keeps the candidates of each service.
type candidateCache struct {
	mu       sync.Mutex
	services map[spool.ServiceName]*candidates
}

// candidatesOf returns the candidates of a service. They must not be changed.
func (e *Entry) candidatesOf(service spool.ServiceName) *candidates {
	e.candidates.mu.Lock()
	defer e.candidates.mu.Unlock()
	now := e.clock.Now()
	if kept := e.candidates.services[service]; kept != nil && now < kept.until {
		return kept
	}
	fresh := &candidates{until: now + candidatesFor, all: map[spool.EndpointID]spool.VM{}}
	var ids []spool.NodeID
	for _, vm := range e.streams.Endpoints(service) {
		fresh.all[spool.EndpointID(vm.ID)] = vm
		ids = append(ids, vm.ID)
	}
	for _, id := range membership.Subset(e.config.Node, len(e.streams.Members()), ids, leastCandidates) {
		fresh.chosen = append(fresh.chosen, fresh.all[spool.EndpointID(id)])
	}
	if e.candidates.services == nil {
		e.candidates.services = map[spool.ServiceName]*candidates{}
	}
	e.candidates.services[service] = fresh
	return fresh
}

// with returns the candidates and the endpoint that ran a program's latest turn,
// whose cache may hold the program's prefix.
func (c *candidates) with(latest spool.EndpointID) []spool.VM {
	vm, listed := c.all[latest]
	if !listed {
		return c.chosen
	}
	for _, chosen := range c.chosen {
		if chosen.ID == vm.ID {
			return c.chosen
		}
	}
	return append(append([]spool.VM(nil), c.chosen...), vm)
}
