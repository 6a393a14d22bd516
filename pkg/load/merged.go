package load

import (
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// viewLifetime is the age from which on a reply of a collector is not used.
const viewLifetime = clock.Second

// Merged is the view of a gateway: what it knows itself, and what the others know by the
// last reply of a collector. It is safe for concurrent use.
type Merged struct {
	tracker *Tracker
	slots   func(spool.ServiceName) int

	mu sync.RWMutex
	// others is what the last reply says, of a report that was sent at othersAt. It is
	// replaced and never changed.
	others   others
	othersAt clock.Millis
	known    bool
	// usual holds the usual speeds of instances, by all gateways.
	usual map[key]*usualSpeeds
}

var _ View = (*Merged)(nil)

// others is what other gateways know.
type others struct {
	instances map[key]othersEntry
	services  map[key]othersService
}

// usualSpeeds are the speeds of an instance over a longer time than a reply covers.
type usualSpeeds struct {
	event, first, call average
	idle               float64
	// seenAt is when the instance was last in a reply.
	seenAt clock.Millis
}

// NewMerged returns a view without knowledge of other gateways. slots returns the number
// of requests that the endpoints of a service can run at once.
func NewMerged(tracker *Tracker, slots func(spool.ServiceName) int) *Merged {
	return &Merged{tracker: tracker, slots: slots, usual: map[key]*usualSpeeds{}}
}

// HasOthers reports whether the view contains the knowledge of other gateways.
func (m *Merged) HasOthers(now clock.Millis) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.isFresh(now)
}

func (m *Merged) isFresh(now clock.Millis) bool { return m.known && now-m.othersAt <= viewLifetime }

// speed returns the reading of the other gateways for a mean of a reply. The weight is
// derived from the number of answers, which is counted over a longer time.
func (e othersEntry) speed(code uint8) reading {
	if code == 0 {
		return reading{}
	}
	good := decodeTally(e.tallies >> (2 * tallyBits))
	return reading{mean: decodeMillis(code), weight: max(minWeight, good*float64(speedHalfLife)/float64(countHalfLife))}
}

// accept takes a reply to a report that was sent at sentAt.
func (m *Merged) accept(sentAt, now clock.Millis, next others) {
	own := m.tracker.statsByKey(now)
	byService := make(map[key]medians, len(next.services))
	for k, service := range next.services {
		byService[k] = medians{
			event: decodeMillis(service.medianEvent), first: decodeMillis(service.medianFirst), call: decodeMillis(service.medianCall),
		}
	}
	m.tracker.setMedians(now, byService)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.others, m.othersAt, m.known = next, sentAt, true
	if !m.isFresh(now) {
		return
	}
	for k, entry := range next.instances {
		m.updateUsual(now, k, entry, own[k])
	}
	for k, usual := range m.usual {
		if now-usual.seenAt > retention {
			delete(m.usual, k)
		}
	}
}

// updateUsual updates the usual speeds of an instance. The caller holds mu.
func (m *Merged) updateUsual(now clock.Millis, k key, entry othersEntry, own ownStats) {
	usual := m.usual[k]
	if usual == nil {
		usual = &usualSpeeds{}
		m.usual[k] = usual
	}
	usual.seenAt = now
	if entry.idle != 0 {
		usual.idle = decodeMillis(entry.idle)
	}
	for _, speed := range []struct {
		usual *average
		code  uint8
		own   reading
	}{{&usual.event, entry.event, own.event}, {&usual.first, entry.first, own.first}, {&usual.call, entry.call, own.call}} {
		if recent := entry.speed(speed.code).combine(speed.own); recent.weight >= minWeight {
			speed.usual.add(now, recent.mean, usualHalfLife)
		}
	}
}

// Instance returns what is known of an instance; zero if nothing is.
func (m *Merged) Instance(now clock.Millis, instance Instance) Stats {
	k, own := m.tracker.stats(now, instance)
	m.mu.RLock()
	defer m.mu.RUnlock()
	var entry othersEntry
	if m.isFresh(now) {
		entry = m.others.instances[k]
	}
	usual := usualSpeeds{event: average{mean: own.usualEvent}, first: average{mean: own.usualFirst}, call: average{mean: own.usualCall}}
	if known := m.usual[k]; known != nil {
		usual = *known
	}
	return Stats{
		InFlight:             int(entry.inFlight),
		EventMillis:          currentSpeed(entry.speed(entry.event).combine(own.event), usual.event.mean, own.usualEvent),
		FirstEventMillis:     currentSpeed(entry.speed(entry.first).combine(own.first), usual.first.mean, own.usualFirst),
		CallMillis:           currentSpeed(entry.speed(entry.call).combine(own.call), usual.call.mean, own.usualCall),
		IdleFirstEventMillis: lesser(own.idle, usual.idle),
		Good:                 own.good + decodeTally(entry.tallies>>(2*tallyBits)),
		Failed:               own.failed + decodeTally(entry.tallies>>tallyBits),
		Late:                 own.late + decodeTally(entry.tallies),
	}
}

// currentSpeed returns the recent speed. As it loses weight, it gives way to the usual
// speed, by all gateways or else by this one: a slow phase is assumed to have passed.
func currentSpeed(recent reading, usual, own float64) float64 {
	if usual == 0 {
		usual = own
	}
	if usual == 0 || recent.weight >= minWeight {
		return recent.mean
	}
	share := recent.weight / minWeight
	return usual + (recent.mean-usual)*share
}

// Service returns what is known of a service; zero if nothing is.
func (m *Merged) Service(now clock.Millis, service spool.ServiceName) ServiceStats {
	k, own := m.tracker.serviceCounts(now, service)
	m.mu.RLock()
	defer m.mu.RUnlock()
	var entry othersService
	if m.isFresh(now) {
		entry = m.others.services[k]
	}
	return ServiceStats{
		InFlight:          own.inFlight + int(entry.inFlight),
		Slots:             m.slots(service),
		EndedPerSecond:    (own.ended + decodeCount(entry.ended)) / rateLifetime,
		RejectedPerSecond: (own.rejected + decodeCount(entry.rejected)) / rateLifetime,
		StartsPerSecond:   (own.began + decodeCount(entry.began)) / rateLifetime,
		OfferedPerSecond:  (own.offered + decodeCount(entry.offered)) / rateLifetime,
	}
}
