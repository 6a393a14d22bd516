package endpoints

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Costs by which endpoints are compared, in shares of a full endpoint.
const (
	// domainCost is for an endpoint in another failure domain.
	domainCost = 0.10
	// affinityGain is for the endpoint that holds the program's prompt in memory.
	affinityGain = 0.20
	// fullCost is for an endpoint that has just refused a request.
	fullCost = 2.0
	// avoidCost is for an endpoint that failed, which is used when no other is left.
	avoidCost = 10.0
	// coldCost is for an endpoint that bears little.
	coldCost = 4.0
	// tieCost spreads requests over endpoints that are otherwise equal.
	tieCost = 0.01
)

// Want describes the request that an endpoint is picked for.
type Want struct {
	Service spool.ServiceName
	// Affinity is shared by requests with a common prompt; empty for none.
	Affinity string
	// Salt differs from request to request.
	Salt string
	// Tried endpoints are not picked again.
	Tried map[spool.EndpointID]bool
	// ColdPerSecond is what a cold endpoint of the service bears from all gateways;
	// 0 for no limit.
	ColdPerSecond float64
}

// Pick returns the best endpoint for a request and counts the request as in
// flight there until Done; nil when there is none.
func (t *Table) Pick(now clock.Millis, want Want) *Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now, want.Service)
	preferred := t.preferred(now, want)
	var best *Endpoint
	bestCost := math.Inf(1)
	for _, endpoint := range t.byService[want.Service] {
		if !t.usable(now, endpoint, want) {
			continue
		}
		cost := t.cost(now, endpoint, want)
		if endpoint == preferred {
			cost -= affinityGain
		}
		if cost < bestCost {
			best, bestCost = endpoint, cost
		}
	}
	if best == nil {
		return nil
	}
	if now < best.coldUntil {
		best.cold.take(now)
	}
	best.inFlight++
	return best
}

func (t *Table) expire(now clock.Millis, service spool.ServiceName) {
	for _, endpoint := range t.byService[service] {
		if endpoint.goneAt != 0 && now >= endpoint.goneAt && !t.storeAway {
			t.remove(endpoint)
		}
	}
}

func (t *Table) usable(now clock.Millis, endpoint *Endpoint, want Want) bool {
	if endpoint.record.Draining || endpoint.misdirected || t.evacuated[endpoint.record.FailureDomain] || want.Tried[endpoint.record.ID] {
		return false
	}
	if now >= endpoint.coldUntil || want.ColdPerSecond <= 0 {
		return true
	}
	return endpoint.cold.allows(now, want.ColdPerSecond/float64(t.gateways))
}

// preferred returns the endpoint that a program's requests go to while it is not
// busier than the others: the first by rendezvous hashing, so that every gateway
// of a failure domain agrees without a message.
func (t *Table) preferred(now clock.Millis, want Want) (preferred *Endpoint) {
	if want.Affinity == "" {
		return nil
	}
	var best uint64
	home := false
	for _, endpoint := range t.byService[want.Service] {
		if !t.usable(now, endpoint, want) || now < endpoint.avoidUntil || now < endpoint.coldUntil {
			continue
		}
		near := endpoint.record.FailureDomain == t.home
		score := xxhash.Sum64String(want.Affinity + "\x00" + string(endpoint.record.ID))
		if preferred == nil || near && !home || near == home && score > best {
			preferred, best, home = endpoint, score, near
		}
	}
	return preferred
}

func (t *Table) cost(now clock.Millis, endpoint *Endpoint, want Want) float64 {
	cost := float64(endpoint.inFlight) / float64(max(1, endpoint.record.Slots))
	if endpoint.record.FailureDomain != t.home {
		cost += domainCost
	}
	if now < endpoint.fullUntil {
		cost += fullCost
	}
	if now < endpoint.avoidUntil {
		cost += avoidCost
	}
	if now < endpoint.coldUntil {
		cost += coldCost
	}
	tie := xxhash.Sum64String(want.Salt + "\x00" + string(endpoint.record.ID))
	return cost + tieCost*float64(tie%1024)/1024
}

// Outcome is what became of a request at an endpoint.
type Outcome int

const (
	// Answered is for an answer of the endpoint, whatever its status.
	Answered Outcome = iota
	// Full is for a refusal because the endpoint has no room.
	Full
	// Failed is for no answer, or one that cannot be used.
	Failed
	// Misdirected is for an answer by another start.
	Misdirected
	// Cancelled is for a request that the gateway took back.
	Cancelled
)

// Done ends a request at an endpoint.
func (t *Table) Done(now clock.Millis, endpoint *Endpoint, outcome Outcome, coldFor clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoint.inFlight--
	endpoint.cool(now, coldFor)
	switch outcome {
	case Answered:
		endpoint.failures = 0
		endpoint.avoidUntil = 0
	case Full:
		endpoint.fullUntil = now + shedPenalty
	case Failed:
		penalty := min(maxPenalty, firstPenalty<<min(endpoint.failures, 8))
		endpoint.failures++
		endpoint.avoidUntil = now + penalty
	case Misdirected:
		endpoint.misdirected = true
	case Cancelled:
	}
}

// coldWindow counts the requests to a cold endpoint in the last second.
type coldWindow struct {
	// sent holds the times of the requests, oldest first.
	sent []clock.Millis
}

func (w *coldWindow) allows(now clock.Millis, perSecond float64) bool {
	for len(w.sent) > 0 && w.sent[0] <= now-clock.Second {
		w.sent = w.sent[1:]
	}
	return float64(len(w.sent)+1) <= max(1, perSecond)
}

func (w *coldWindow) take(now clock.Millis) { w.sent = append(w.sent, now) }
