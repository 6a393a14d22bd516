package endpoints

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// departureRetention is how long a departure is remembered after the endpoint's record has
// disappeared.
const departureRetention = 10 * clock.Minute

// departure is an instance of an endpoint that said in an answer that it leaves.
type departure struct {
	startedAt clock.Millis
	address   string
	since     clock.Millis
}

// MarkLeaving records that an answer of an endpoint said that it leaves. It gets no more
// requests until it starts again, whatever its records say; see WithDrainWithin for the
// exception. first is true for the first such answer of the instance.
func (t *Table) MarkLeaving(now clock.Millis, endpoint *Endpoint) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if endpoint.leavingSince != 0 {
		return false
	}
	endpoint.leavingSince = max(1, now)
	t.departures[endpoint.id] = departure{startedAt: endpoint.record.StartedAt, address: endpoint.address, since: endpoint.leavingSince}
	for id, old := range t.departures {
		if t.byID[id] == nil && now-old.since > departureRetention {
			delete(t.departures, id)
		}
	}
	return true
}

// departureOf returns since when the instance of a record leaves; 0 if it does not, or is a
// later start. An instance of unknown start is recognised by its address. The caller holds
// mu.
func (t *Table) departureOf(record spool.EndpointRecord) clock.Millis {
	known, ok := t.departures[record.ID]
	if !ok || known.startedAt != record.StartedAt || record.StartedAt == 0 && known.address != record.Address {
		return 0
	}
	return known.since
}

// isLastResort reports whether a leaving endpoint may still get a request for which there
// is no other endpoint.
func (t *Table) isLastResort(now clock.Millis, endpoint *Endpoint) bool {
	return now < endpoint.leavingSince+t.drainWithin/2
}
