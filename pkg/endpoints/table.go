// Package endpoints keeps what a gateway believes of each endpoint and picks one
// for a request. The table takes the time as an argument and does no input or
// output.
package endpoints

import (
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// firstPenalty is the time without requests after a failure; it doubles with
	// each further one up to maxPenalty.
	firstPenalty = 300 * clock.Millis(1)
	maxPenalty   = 4 * clock.Second
	// shedPenalty is the time for which an endpoint that was full is chosen last.
	shedPenalty = 40 * clock.Millis(1)
	// leaseGrace is the time after the store's return in which endpoints whose
	// record lapsed meanwhile write it again.
	leaseGrace = 2200 * clock.Millis(1)
)

// Endpoint is one start of an endpoint.
type Endpoint struct {
	// id, address and domain do not change, so that they are read without the
	// table's lock.
	id      spool.EndpointID
	address string
	domain  spool.FailureDomain
	// record is the newest one.
	record spool.EndpointRecord
	// inFlight counts the requests of this gateway.
	inFlight int
	// failures counts failed requests since the last answer.
	failures int
	// avoidUntil is the end of the penalty after failures.
	avoidUntil clock.Millis
	// fullUntil is the time until which the endpoint is taken for full.
	fullUntil clock.Millis
	// coldUntil is the time until which the endpoint bears little.
	coldUntil clock.Millis
	// misdirected says that another start answers at the address.
	misdirected bool
	// goneAt is the time at which the endpoint leaves the table; 0 while its record
	// stands.
	goneAt clock.Millis
	cold   coldWindow
}

// ID returns the identifier of the start.
func (e *Endpoint) ID() spool.EndpointID { return e.id }

// Address returns the host:port of the endpoint.
func (e *Endpoint) Address() string { return e.address }

// FailureDomain returns where the endpoint runs.
func (e *Endpoint) FailureDomain() spool.FailureDomain { return e.domain }

// Table holds the endpoints of all services. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	byID map[spool.EndpointID]*Endpoint
	// byService holds the same endpoints.
	byService map[spool.ServiceName][]*Endpoint
	// evacuated failure domains get no requests.
	evacuated map[spool.FailureDomain]bool
	home      spool.FailureDomain
	// storeBackAt is when the store answered again after an outage.
	storeBackAt clock.Millis
	storeAway   bool
	// gateways is the number of gateways that share what a cold endpoint bears.
	gateways int
}

// NewTable returns an empty table of a gateway in a failure domain.
func NewTable(home spool.FailureDomain) *Table {
	return &Table{
		byID: map[spool.EndpointID]*Endpoint{}, byService: map[spool.ServiceName][]*Endpoint{},
		evacuated: map[spool.FailureDomain]bool{}, home: home, gateways: 1,
		storeBackAt: -leaseGrace,
	}
}

// SetGateways tells how many gateways send requests.
func (t *Table) SetGateways(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gateways = max(1, count)
}

// SetEvacuated replaces the failure domains that get no requests.
func (t *Table) SetEvacuated(domains map[spool.FailureDomain]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuated = domains
}

// Put takes the record of an endpoint in. It returns true when it changes what
// the table says.
func (t *Table) Put(now clock.Millis, record spool.EndpointRecord) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.byID[record.ID]
	if known != nil && known.isSame(record) {
		if record.Sequence < known.record.Sequence {
			return false
		}
		changed = known.record.Draining != record.Draining || known.goneAt != 0
		known.record = record
		known.goneAt = 0
		known.cool(now, record.ColdFor)
		return changed
	}
	if known != nil {
		t.remove(known)
	}
	endpoint := &Endpoint{id: record.ID, address: record.Address, domain: record.FailureDomain, record: record}
	endpoint.cool(now, record.ColdFor)
	t.byID[record.ID] = endpoint
	t.byService[record.Service] = append(t.byService[record.Service], endpoint)
	return true
}

// isSame reports whether record is of the same start.
func (e *Endpoint) isSame(record spool.EndpointRecord) bool {
	return e.record.StartedAt == record.StartedAt && e.record.Service == record.Service && e.address == record.Address && e.domain == record.FailureDomain
}

// Drop takes in that the record of an endpoint is gone. Records also lapse while
// the store is away; such an endpoint is kept until it had time to write again.
func (t *Table) Drop(now clock.Millis, id spool.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoint := t.byID[id]
	if endpoint == nil || endpoint.goneAt != 0 {
		return
	}
	if until := t.storeBackAt + leaseGrace; t.storeAway || now < until {
		endpoint.goneAt = max(until, now+1)
		return
	}
	t.remove(endpoint)
}

// Keep drops every endpoint that is not in ids, which are all of a fresh list.
func (t *Table) Keep(now clock.Millis, ids map[spool.EndpointID]bool) {
	for _, id := range t.missing(ids) {
		t.Drop(now, id)
	}
}

func (t *Table) missing(ids map[spool.EndpointID]bool) (missing []spool.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.byID {
		if !ids[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// StoreAway takes in whether the store answers.
func (t *Table) StoreAway(now clock.Millis, away bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.storeAway && !away {
		t.storeBackAt = now
		for _, endpoint := range t.byID {
			if endpoint.goneAt != 0 {
				endpoint.goneAt = now + leaseGrace
			}
		}
	}
	t.storeAway = away
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

func (e *Endpoint) cool(now, left clock.Millis) {
	if left > 0 {
		e.coldUntil = max(e.coldUntil, now+left)
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
