// Package endpoints tracks a gateway's view of the endpoints and picks one for each
// request. The table takes the time as an argument and does no input or output.
package endpoints

import (
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// initialBackoff is the time without requests after a failure. It doubles with
	// each further failure, up to maxBackoff.
	initialBackoff = 300 * clock.Millis(1)
	maxBackoff     = 4 * clock.Second
	// fullDuration is how long an endpoint counts as full after it has refused a
	// request.
	fullDuration = 40 * clock.Millis(1)
	// recordGrace is the time after the recovery of the store in which endpoints
	// whose record expired during the outage write it again.
	recordGrace = 2200 * clock.Millis(1)
)

// Endpoint is one instance of an endpoint; a restart is a new instance.
type Endpoint struct {
	// id, address and domain do not change, so they are read without the lock of
	// the table.
	id      spool.EndpointID
	address string
	domain  spool.FailureDomain
	// record is the newest record of the instance.
	record spool.EndpointRecord
	// inFlight is the number of requests in flight from this gateway.
	inFlight int
	// failures is the number of failed requests since the last answer.
	failures int
	// backoffUntil is the end of the backoff after failures.
	backoffUntil clock.Millis
	// fullUntil is the time until which the endpoint counts as full.
	fullUntil clock.Millis
	// coldUntil is the time until which the endpoint is cold and serves only a low
	// rate of requests.
	coldUntil clock.Millis
	// isReplaced is true if another instance answers at the address.
	isReplaced bool
	// removeAt is the time at which the endpoint is removed from the table; 0 while
	// its record exists.
	removeAt     clock.Millis
	coldRequests coldWindow
}

// ID returns the ID of the endpoint.
func (e *Endpoint) ID() spool.EndpointID { return e.id }

// Address returns the host:port of the endpoint.
func (e *Endpoint) Address() string { return e.address }

// FailureDomain returns the failure domain in which the endpoint runs.
func (e *Endpoint) FailureDomain() spool.FailureDomain { return e.domain }

// Table holds the endpoints of all services. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	byID map[spool.EndpointID]*Endpoint
	// byService holds the same endpoints.
	byService map[spool.ServiceName][]*Endpoint
	// evacuated holds the failure domains that get no requests.
	evacuated  map[spool.FailureDomain]bool
	homeDomain spool.FailureDomain
	// storeRecoveredAt is the time at which the store answered again after an
	// outage.
	storeRecoveredAt clock.Millis
	storeUnavailable bool
	// gatewayCount is the number of gateways that share the request rate of a cold
	// endpoint.
	gatewayCount int
}

// NewTable returns an empty table for a gateway in the failure domain home.
func NewTable(home spool.FailureDomain) *Table {
	return &Table{
		byID: map[spool.EndpointID]*Endpoint{}, byService: map[spool.ServiceName][]*Endpoint{},
		evacuated: map[spool.FailureDomain]bool{}, homeDomain: home, gatewayCount: 1,
		storeRecoveredAt: -recordGrace,
	}
}

// SetGateways sets the number of gateways that send requests.
func (t *Table) SetGatewayCount(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gatewayCount = max(1, count)
}

// SetEvacuated replaces the set of failure domains that get no requests.
func (t *Table) SetEvacuated(domains map[spool.FailureDomain]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuated = domains
}

// Put adds or updates an endpoint from its record; a record older than the known
// one is ignored. changed is true if the endpoint is new, if its draining state has
// changed, or if it had been marked for removal.
func (t *Table) Put(now clock.Millis, record spool.EndpointRecord) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.byID[record.ID]
	if known != nil && known.isSameInstance(record) {
		if record.Sequence < known.record.Sequence {
			return false
		}
		changed = known.record.Draining != record.Draining || known.removeAt != 0
		known.record = record
		known.removeAt = 0
		known.extendCold(now, record.ColdFor)
		return changed
	}
	if known != nil {
		t.remove(known)
	}
	endpoint := &Endpoint{id: record.ID, address: record.Address, domain: record.FailureDomain, record: record}
	endpoint.extendCold(now, record.ColdFor)
	t.byID[record.ID] = endpoint
	t.byService[record.Service] = append(t.byService[record.Service], endpoint)
	return true
}

// isSameInstance reports whether record belongs to the same instance.
func (e *Endpoint) isSameInstance(record spool.EndpointRecord) bool {
	return e.record.StartedAt == record.StartedAt && e.record.Service == record.Service && e.address == record.Address && e.domain == record.FailureDomain
}

// Drop handles the disappearance of an endpoint's record. Records also expire
// during an outage of the store, so an endpoint is kept until recordGrace after the
// recovery, when it has had time to write its record again.
func (t *Table) Drop(now clock.Millis, id spool.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoint := t.byID[id]
	if endpoint == nil || endpoint.removeAt != 0 {
		return
	}
	if graceEnd := t.storeRecoveredAt + recordGrace; t.storeUnavailable || now < graceEnd {
		endpoint.removeAt = max(graceEnd, now+1)
		return
	}
	t.remove(endpoint)
}

// Keep drops every endpoint that is not in ids, the endpoints of a complete and
// current list.
func (t *Table) DropMissing(now clock.Millis, ids map[spool.EndpointID]bool) {
	for _, id := range t.missingFrom(ids) {
		t.Drop(now, id)
	}
}

func (t *Table) missingFrom(ids map[spool.EndpointID]bool) (missing []spool.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.byID {
		if !ids[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// StoreAway records whether the store is unavailable.
func (t *Table) SetStoreUnavailable(now clock.Millis, away bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.storeUnavailable && !away {
		t.storeRecoveredAt = now
		for _, endpoint := range t.byID {
			if endpoint.removeAt != 0 {
				endpoint.removeAt = now + recordGrace
			}
		}
	}
	t.storeUnavailable = away
}

func (t *Table) remove(endpoint *Endpoint) {
	delete(t.byID, endpoint.record.ID)
	list := t.byService[endpoint.record.Service]
	kept := list[:0:0]
	for _, other := range list {
		if other != endpoint {
			kept = append(kept, other)
		}
	}
	t.byService[endpoint.record.Service] = kept
}

func (e *Endpoint) extendCold(now, coldFor clock.Millis) {
	if coldFor > 0 {
		e.coldUntil = max(e.coldUntil, now+coldFor)
	}
}

// Count returns the number of endpoints of a service that may get requests.
func (t *Table) Count(service spool.ServiceName) (count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, endpoint := range t.byService[service] {
		if !endpoint.record.Draining && !t.evacuated[endpoint.record.FailureDomain] {
			count++
		}
	}
	return count
}
