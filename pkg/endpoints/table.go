// Package endpoints tracks a gateway's view of the endpoints and picks one for each
// request. The table takes the time as an argument and does no input or output.
package endpoints

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/outlier"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// initialBackoff is how long an endpoint is in backoff after a failure. The
	// time doubles with each further failure until the next answer, up to
	// maxBackoff.
	initialBackoff = 300 * clock.Millis(1)
	maxBackoff     = 4 * clock.Second
	// fullDuration is how long fullCost applies after an endpoint has refused a
	// request because it had no capacity.
	fullDuration = 40 * clock.Millis(1)
	// recordGrace is how long endpoints without a record are kept after the store
	// has recovered from an outage. In this time, endpoints whose record expired
	// during the outage write it again.
	recordGrace = 2200 * clock.Millis(1)
)

// Endpoint is one instance of an endpoint; an endpoint that restarts becomes a new
// instance. The lock of the table protects the fields after version.
type Endpoint struct {
	// id, address, domain, service and startedAt never change, so they may be read without
	// the lock.
	id        spool.EndpointID
	address   string
	domain    spool.FailureDomain
	service   spool.ServiceName
	startedAt clock.Millis
	// point is the hash of id by which a ring is ordered; it never changes.
	point uint64
	// version is that of the endpoint's software; like the fields above it never changes.
	version string
	// record is the newest record of this instance.
	record spool.EndpointRecord
	// inFlight is the number of requests of this gateway that Pick has assigned to
	// the endpoint and Done has not ended.
	inFlight int
	// failures is the number of requests with outcome Failed since the last one
	// with outcome Answered.
	failures int
	// backoffUntil is the end of the backoff after failures; 0 after an answer.
	backoffUntil clock.Millis
	// fullUntil is the time until which fullCost applies.
	fullUntil clock.Millis
	// coldUntil is the time until which the endpoint is cold: it has started
	// recently and can serve only a low rate of requests.
	coldUntil clock.Millis
	// isReplaced is true if another instance has answered at the address. The
	// endpoint then gets no requests.
	isReplaced bool
	// removeAt is the time from which Pick removes the endpoint because its record
	// has disappeared; 0 if the record exists. The time is postponed by an outage
	// of the store.
	removeAt     clock.Millis
	coldRequests coldWindow
	// leavingSince is when an answer of this instance first said that it leaves; 0 if none
	// did. Records of the same instance do not change it.
	leavingSince clock.Millis
	// estimate belongs to the policy expectedFinish.
	estimate estimate
}

// ID returns the ID of the endpoint, which is the same for all its instances.
func (e *Endpoint) ID() spool.EndpointID { return e.id }

// Address returns the host:port of the endpoint.
func (e *Endpoint) Address() string { return e.address }

// Instance returns the instance of the endpoint.
func (e *Endpoint) Instance() load.Instance {
	return load.Instance{ID: e.id, StartedAt: e.startedAt}
}

// FailureDomain returns the failure domain in which the endpoint runs.
func (e *Endpoint) FailureDomain() spool.FailureDomain { return e.domain }

// Table contains the endpoints of all services that one gateway knows. It is safe
// for concurrent use.
type Table struct {
	mu   sync.Mutex
	byID map[spool.EndpointID]*Endpoint
	// byService contains the endpoints of byID, by the service of their record.
	byService map[spool.ServiceName][]*Endpoint
	// rings contains the endpoints of byService in another order.
	rings map[spool.ServiceName]ring
	// markedCount is the number of endpoints whose removeAt is set.
	markedCount int
	// policy chooses the endpoints. view is what is known of them; nil if nothing is.
	policy Policy
	view   load.View
	// evacuated contains the failure domains whose endpoints get no requests.
	evacuated  map[spool.FailureDomain]bool
	homeDomain spool.FailureDomain
	// storeRecoveredAt is the end of the last outage of the store.
	storeRecoveredAt clock.Millis
	storeUnavailable bool
	// gatewayCount is the number of gateways, at least 1. Each may send an equal
	// part of the request rate of a cold endpoint.
	gatewayCount int
	// position is the position of this gateway among the domainGateways gateways of its
	// failure domain; domainGateways is 0 as long as that is unknown.
	position, domainGateways int
	// departures contains the instances that said that they leave, also those whose records
	// have disappeared: a record may come back.
	departures map[spool.EndpointID]departure
	// drainWithin is the time after which an instance that leaves must get no requests; 0
	// if it must get none from the start.
	drainWithin clock.Millis
	// observer is told of each request that Pick assigns and Done ends; nil for none.
	observer load.Observer
	// outliers takes endpoints out of use; nil for none.
	outliers *outlier.Detector
	// spreadsAffinity is set by WithSpreadAffinity.
	spreadsAffinity bool
}

// Option changes a Table during NewTable.
type Option func(*Table)

// WithDrainWithin sets the time after which an endpoint that leaves must get no requests.
// Within half of that time, it gets those for which there is no other endpoint.
func WithDrainWithin(duration clock.Millis) Option {
	return func(t *Table) { t.drainWithin = duration }
}

// WithObserver sets the observer of the requests.
func WithObserver(observer load.Observer) Option {
	return func(t *Table) { t.observer = observer }
}

// NewTable returns an empty table for a gateway that runs in the failure domain
// home.
func NewTable(home spool.FailureDomain, options ...Option) *Table {
	t := &Table{
		byID: map[spool.EndpointID]*Endpoint{}, byService: map[spool.ServiceName][]*Endpoint{},
		rings: map[spool.ServiceName]ring{}, policy: occupancy{},
		evacuated: map[spool.FailureDomain]bool{}, homeDomain: home, gatewayCount: 1,
		storeRecoveredAt: -recordGrace, departures: map[spool.EndpointID]departure{},
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// SetGatewayCount sets the number of gateways, this one included, that share the
// request rate of a cold endpoint. Values below 1 are treated as 1.
func (t *Table) SetGatewayCount(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gatewayCount = max(1, count)
}

// SetPosition sets the position of this gateway, from 0, in an order of the gateways of its
// failure domain on which they agree, and their number. Policies use it to spread them over
// the endpoints. A position that is out of range is treated as unknown.
func (t *Table) SetPosition(position, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.position, t.domainGateways = position, count
	if position < 0 || position >= count {
		t.position, t.domainGateways = 0, 0
	}
}

// SetEvacuated replaces the set of failure domains whose endpoints get no requests.
// The caller must not change the map afterwards.
func (t *Table) SetEvacuated(domains map[spool.FailureDomain]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuated = domains
}

// Put adds or updates an endpoint from its record. A record of another instance
// replaces the known one, unless it has started earlier. A record of the same instance
// is ignored if its Sequence is lower than the known one. changed is true if the endpoint or the instance is
// new, if its draining state has changed, or if it had been marked for removal.
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
		if known.removeAt != 0 {
			t.markedCount--
		}
		known.removeAt = 0
		known.extendCold(now, record.ColdFor)
		return changed
	}
	if known != nil {
		if record.StartedAt != 0 && record.StartedAt < known.record.StartedAt {
			return false
		}
		t.remove(known)
	}
	endpoint := &Endpoint{
		id: record.ID, address: record.Address, domain: record.FailureDomain, service: record.Service,
		startedAt: record.StartedAt, version: record.Version, record: record, point: xxhash.Sum64String(string(record.ID)),
	}
	endpoint.extendCold(now, record.ColdFor)
	endpoint.leavingSince = t.departureOf(record)
	t.byID[record.ID] = endpoint
	t.byService[record.Service] = append(t.byService[record.Service], endpoint)
	t.rings[record.Service] = t.rings[record.Service].insert(endpoint, record.FailureDomain == t.homeDomain)
	return true
}

// isSameInstance reports whether record, which has the same ID, belongs to the same
// instance.
func (e *Endpoint) isSameInstance(record spool.EndpointRecord) bool {
	return e.record.StartedAt == record.StartedAt && e.version == record.Version && e.record.Service == record.Service && e.address == record.Address && e.domain == record.FailureDomain
}

// Drop removes an endpoint whose record has disappeared. Records also expire during
// an outage of the store. Therefore, during an outage and until recordGrace after
// it, Drop only marks the endpoint for removal at the end of that time, before
// which Put can keep it.
func (t *Table) Drop(now clock.Millis, id spool.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoint := t.byID[id]
	if endpoint == nil || endpoint.removeAt != 0 {
		return
	}
	if graceEnd := t.storeRecoveredAt + recordGrace; t.storeUnavailable || now < graceEnd {
		endpoint.removeAt = max(graceEnd, now+1)
		t.markedCount++
		return
	}
	t.remove(endpoint)
}

// DropMissing calls Drop for every endpoint that is not in ids. ids must contain
// all endpoints that have a record.
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

// SetStoreUnavailable records whether the store is unavailable. At the end of an
// outage, it postpones the removal of marked endpoints until recordGrace later.
func (t *Table) SetStoreUnavailable(now clock.Millis, unavailable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.storeUnavailable && !unavailable {
		t.storeRecoveredAt = now
		for _, endpoint := range t.byID {
			if endpoint.removeAt != 0 {
				endpoint.removeAt = now + recordGrace
			}
		}
	}
	t.storeUnavailable = unavailable
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
	t.rings[endpoint.service] = t.rings[endpoint.service].remove(endpoint)
	if endpoint.removeAt != 0 {
		t.markedCount--
	}
}

// extendCold makes the endpoint cold for coldFor from now, unless it is already
// cold for longer.
func (e *Endpoint) extendCold(now, coldFor clock.Millis) {
	if coldFor > 0 {
		e.coldUntil = max(e.coldUntil, now+coldFor)
	}
}

// Count returns the number of endpoints of a service that are neither draining, leaving nor
// in an evacuated failure domain. It includes those that are cold, full, in backoff
// or replaced.
func (t *Table) Count(service spool.ServiceName) (count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, endpoint := range t.byService[service] {
		if !endpoint.record.Draining && endpoint.leavingSince == 0 && !t.evacuated[endpoint.record.FailureDomain] {
			count++
		}
	}
	return count
}

// Slots returns the number of requests that the endpoints which Count counts can run at
// once.
func (t *Table) Slots(service spool.ServiceName) (slots int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, endpoint := range t.byService[service] {
		if !endpoint.record.Draining && endpoint.leavingSince == 0 && !t.evacuated[endpoint.record.FailureDomain] {
			slots += endpoint.record.Slots
		}
	}
	return slots
}
