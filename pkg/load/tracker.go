package load

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// lateFactor and lateMargin say from when on an answer is late: if it took lateFactor
	// times the median of the service's instances, and lateMargin milliseconds more than
	// that median. The slowest instances usually take 2.4 times the median.
	lateFactor = 3.0
	lateMargin = 5.0
	// retention is how long an instance without requests is remembered.
	retention = clock.Minute
	// medianAge is the age from which on medians of other gateways are not used.
	medianAge = 3 * clock.Second
)

// key identifies an instance or a service in messages: the hash of its identifier and its
// start time, or of its name.
type key uint64

func instanceKey(instance Instance) key {
	var buffer [128]byte
	text := append(buffer[:0], 'i')
	text = binary.BigEndian.AppendUint64(text, uint64(instance.StartedAt))
	return key(xxhash.Sum64(append(text, instance.ID...)))
}

func serviceKey(service spool.ServiceName) key {
	var buffer [128]byte
	return key(xxhash.Sum64(append(append(buffer[:0], 's'), service...)))
}

// Tracker records the requests of one gateway. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	instances map[Instance]*instanceState
	services  map[spool.ServiceName]*serviceState
	// version increases with each change. Each state holds the version of its last change.
	version uint64
	// notify is called when an answer was late or failed; nil for none.
	notify func()
}

var _ Observer = (*Tracker)(nil)

// instanceState is what the gateway knows of an instance from its own requests.
type instanceState struct {
	key     key
	service *serviceState
	// inFlight is never negative.
	inFlight int
	// event, first and call are recent speeds, and usual* the same over a longer time.
	event, first, call                average
	usualEvent, usualFirst, usualCall average
	idle                              minimum
	good, failed, late                count
	changedAt                         clock.Millis
	// version is that of the last change, and endedVersion that of the last request that
	// ended.
	version, endedVersion uint64
}

// serviceState is what the gateway knows of a service from its own requests.
type serviceState struct {
	key                             key
	inFlight                        int
	ended, rejected, began, offered rate
	medians                         medians
	mediansAt                       clock.Millis
	changedAt                       clock.Millis
	version                         uint64
}

// medians are the medians of the speeds of a service's instances; 0 if they are unknown.
type medians struct{ event, first, call float64 }

// TrackerOption changes a Tracker during NewTracker.
type TrackerOption func(*Tracker)

// WithNotify sets a function that is called when an answer was late or failed, so that the
// other gateways can be told before the next regular report. It must neither block nor use
// the tracker.
func WithNotify(notify func()) TrackerOption { return func(t *Tracker) { t.notify = notify } }

// NewTracker returns a tracker without requests.
func NewTracker(options ...TrackerOption) *Tracker {
	t := &Tracker{instances: map[Instance]*instanceState{}, services: map[spool.ServiceName]*serviceState{}}
	for _, option := range options {
		option(t)
	}
	return t
}

// Started records that a request has been assigned to an instance.
func (t *Tracker) Started(now clock.Millis, service spool.ServiceName, instance Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.instance(now, service, instance)
	state.inFlight++
	state.service.inFlight++
}

// Ended records the end of a request for which Started was called.
func (t *Tracker) Ended(now clock.Millis, service spool.ServiceName, instance Instance, sample Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.instance(now, service, instance)
	state.endedVersion = state.version
	state.inFlight = max(0, state.inFlight-1)
	state.service.inFlight = max(0, state.service.inFlight-1)
	switch sample.Outcome {
	case Good:
		state.service.ended.add(now, 1)
		state.good.add(now)
		if t.isLate(now, state, sample) {
			state.late.add(now)
			t.notifyOthers()
		}
		state.addSpeeds(now, sample)
	case Rejected:
		state.service.rejected.add(now, 1)
	case Failed:
		state.failed.add(now)
		t.notifyOthers()
	case Ignored:
	}
}

func (t *Tracker) notifyOthers() {
	if t.notify != nil {
		t.notify()
	}
}

// ProgramOffered records that a program asked to begin with a request to a service.
// requests is how many requests it is expected to send to it.
func (t *Tracker) ProgramOffered(now clock.Millis, service spool.ServiceName, requests float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(now, service).offered.add(now, requests)
}

// ProgramBegan records that such a program was admitted.
func (t *Tracker) ProgramBegan(now clock.Millis, service spool.ServiceName, requests float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(now, service).began.add(now, requests)
}

// instance returns the state of an instance, which is about to change. The caller holds mu.
func (t *Tracker) instance(now clock.Millis, service spool.ServiceName, instance Instance) *instanceState {
	state := t.instances[instance]
	if state == nil {
		state = &instanceState{key: instanceKey(instance)}
		t.instances[instance] = state
	}
	state.service = t.service(now, service)
	state.changedAt, state.version = now, t.version
	return state
}

// service returns the state of a service, which is about to change. The caller holds mu.
func (t *Tracker) service(now clock.Millis, service spool.ServiceName) *serviceState {
	state := t.services[service]
	if state == nil {
		state = &serviceState{key: serviceKey(service)}
		t.services[service] = state
	}
	t.version++
	state.changedAt, state.version = now, t.version
	return state
}

// eventMillis returns the time between two events of a stream; 0 if it has fewer than two.
func (s Sample) eventMillis() float64 {
	if s.Events < 2 {
		return 0
	}
	return max(minMillis, float64(s.LastEvent-s.FirstEvent)/float64(s.Events-1))
}

func (s *instanceState) addSpeeds(now clock.Millis, sample Sample) {
	if event := sample.eventMillis(); event > 0 {
		s.event.add(now, event, speedHalfLife)
		s.usualEvent.add(now, event, usualHalfLife)
	}
	if sample.Events > 0 {
		first := max(minMillis, float64(sample.FirstEvent))
		s.first.add(now, first, speedHalfLife)
		s.usualFirst.add(now, first, usualHalfLife)
		s.idle.add(now, first)
		return
	}
	if sample.Took > 0 {
		s.call.add(now, float64(sample.Took), speedHalfLife)
		s.usualCall.add(now, float64(sample.Took), usualHalfLife)
	}
}

// isLate reports whether an answer took much longer than at the other instances of the
// service. For streams, the time between events counts rather than the time to the first
// one, which depends on the wait for a slot. The caller holds mu.
func (t *Tracker) isLate(now clock.Millis, state *instanceState, sample Sample) bool {
	peers := state.service.medians
	if state.service.mediansAt == 0 || now-state.service.mediansAt > medianAge {
		peers = t.ownMedians(state)
	}
	value, typical := float64(sample.Took), peers.call
	if event := sample.eventMillis(); event > 0 {
		value, typical = event, peers.event
	} else if sample.Events > 0 {
		value, typical = float64(sample.FirstEvent), peers.first
	}
	return typical > 0 && value > lateFactor*typical && value > typical+lateMargin
}

// ownMedians returns the medians of the usual speeds that this gateway has seen at the
// other instances of the service. The caller holds mu.
func (t *Tracker) ownMedians(state *instanceState) medians {
	var event, first, call []float64
	for _, other := range t.instances {
		if other == state || other.service != state.service {
			continue
		}
		event = appendKnown(event, other.usualEvent.mean)
		first = appendKnown(first, other.usualFirst.mean)
		call = appendKnown(call, other.usualCall.mean)
	}
	return medians{event: median(event), first: median(first), call: median(call)}
}

func appendKnown(values []float64, value float64) []float64 {
	if value == 0 {
		return values
	}
	return append(values, value)
}

// setMedians records the medians that a collector has computed.
func (t *Tracker) setMedians(now clock.Millis, of map[key]medians) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, state := range t.services {
		if known, ok := of[state.key]; ok {
			state.medians, state.mediansAt = known, max(1, now)
		}
	}
}

// ownStats is what the gateway knows of an instance at one time.
type ownStats struct {
	inFlight                          int
	event, first, call                reading
	usualEvent, usualFirst, usualCall float64
	idle                              float64
	good, failed, late                float64
}

func (s *instanceState) stats(now clock.Millis) ownStats {
	return ownStats{
		inFlight: s.inFlight,
		event:    s.event.reading(now, speedHalfLife), first: s.first.reading(now, speedHalfLife), call: s.call.reading(now, speedHalfLife),
		usualEvent: s.usualEvent.mean, usualFirst: s.usualFirst.mean, usualCall: s.usualCall.mean,
		idle: s.idle.value(), good: s.good.valueAt(now), failed: s.failed.valueAt(now), late: s.late.valueAt(now),
	}
}

// stats returns what the gateway knows of an instance, and the key of the instance.
func (t *Tracker) stats(now clock.Millis, instance Instance) (key, ownStats) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.instances[instance]
	if state == nil {
		return instanceKey(instance), ownStats{}
	}
	return state.key, state.stats(now)
}

// statsByKey returns what the gateway knows of all instances.
func (t *Tracker) statsByKey(now clock.Millis) map[key]ownStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := make(map[key]ownStats, len(t.instances))
	for _, state := range t.instances {
		stats[state.key] = state.stats(now)
	}
	return stats
}

// serviceCounts is what one or more gateways know of a service.
type serviceCounts struct {
	inFlight                        int
	ended, rejected, began, offered float64
}

func (s *serviceState) counts(now clock.Millis) serviceCounts {
	return serviceCounts{
		inFlight: s.inFlight, ended: s.ended.valueAt(now), rejected: s.rejected.valueAt(now),
		began: s.began.valueAt(now), offered: s.offered.valueAt(now),
	}
}

// serviceCounts returns what the gateway knows of a service, and the key of the service.
func (t *Tracker) serviceCounts(now clock.Millis, service spool.ServiceName) (key, serviceCounts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.services[service]
	if state == nil {
		return serviceKey(service), serviceCounts{}
	}
	return state.key, state.counts(now)
}

// changes returns the instances and services that have changed after a version, and the
// version that the result reflects. It forgets those without requests for retention.
func (t *Tracker) changes(now clock.Millis, after uint64) (instances []instanceReport, services []serviceReport, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, state := range t.instances {
		if state.inFlight == 0 && now-state.changedAt > retention {
			delete(t.instances, id)
			continue
		}
		if state.version > after {
			instances = append(instances, state.report(now, after))
		}
	}
	for name, state := range t.services {
		if state.inFlight == 0 && now-state.changedAt > 2*retention {
			delete(t.services, name)
			continue
		}
		if state.version > after {
			services = append(services, serviceReport{key: state.key, serviceCounts: state.counts(now)})
		}
	}
	return instances, services, t.version
}

// report returns what has changed after a version.
func (s *instanceState) report(now clock.Millis, after uint64) instanceReport {
	r := instanceReport{key: s.key, service: s.service.key, inFlight: s.inFlight, keepsRest: s.endedVersion <= after}
	if r.keepsRest {
		return r
	}
	stats := s.stats(now)
	r.event, r.first, r.call, r.idle = stats.event, stats.first, stats.call, stats.idle
	r.good, r.failed, r.late = stats.good, stats.failed, stats.late
	return r
}

// isIdleSince reports whether nothing has changed after a version and no request is in
// flight.
func (t *Tracker) isIdleSince(version uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.version != version {
		return false
	}
	for _, state := range t.services {
		if state.inFlight > 0 {
			return false
		}
	}
	return true
}
