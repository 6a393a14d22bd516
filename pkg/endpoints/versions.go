package endpoints

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Version returns the version of the endpoint's software; empty if it is unknown.
func (e *Endpoint) Version() string { return e.version }

// Candidate is an endpoint that takes requests.
type Candidate struct {
	ID      spool.EndpointID
	Version string
	IsCold  bool
}

// Candidates returns the endpoints of a service that are neither draining, leaving,
// replaced nor in an evacuated failure domain.
func (t *Table) Candidates(now clock.Millis, service spool.ServiceName) (candidates []Candidate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, endpoint := range t.byService[service] {
		if endpoint.record.Draining || endpoint.leavingSince != 0 || endpoint.isReplaced || t.evacuated[endpoint.domain] {
			continue
		}
		candidates = append(candidates, Candidate{ID: endpoint.id, Version: endpoint.version, IsCold: now < endpoint.coldUntil})
	}
	return candidates
}
