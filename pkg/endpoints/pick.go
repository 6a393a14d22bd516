package endpoints

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Costs by which endpoints are compared. A cost of 1 is that of an endpoint with
// all slots in use.
const (
	// otherDomainCost is added for an endpoint in another failure domain.
	otherDomainCost = 0.10
	// affinityGain is subtracted for the endpoint that is expected to hold the
	// program's prompt in its cache.
	affinityGain = 0.20
	// fullCost is added for an endpoint that has just refused a request.
	fullCost = 2.0
	// backoffCost is added for an endpoint in backoff after a failure. Such an
	// endpoint is used only if no other is left.
	backoffCost = 10.0
	// coldCost is added for a cold endpoint, which serves only a low rate of
	// requests.
	coldCost = 4.0
	// tieBreakCost bounds the random cost that spreads requests over otherwise
	// equal endpoints.
	tieBreakCost = 0.01
)

// Want describes the request for which an endpoint is picked.
type PickRequest struct {
	Service spool.ServiceName
	// Affinity is shared by requests with a common prompt; empty for none.
	Affinity string
	// Salt differs from request to request.
	Salt string
	// Tried holds endpoints that must not be picked again.
	Tried map[spool.EndpointID]bool
	// ColdPerSecond is the number of requests per second that a cold endpoint of
	// the service can serve from all gateways; 0 for no limit.
	ColdPerSecond float64
}

// Pick returns the best endpoint for a request, or nil if there is none. It counts
// the request as in flight until Done is called.
func (t *Table) Pick(now clock.Millis, want PickRequest) *Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now, want.Service)
	preferred := t.preferred(now, want)
	var best *Endpoint
	bestCost := math.Inf(1)
	for _, endpoint := range t.byService[want.Service] {
		if !t.canServe(now, endpoint, want) {
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
		best.coldRequests.add(now)
	}
	best.inFlight++
	return best
}

func (t *Table) removeExpired(now clock.Millis, service spool.ServiceName) {
	for _, endpoint := range t.byService[service] {
		if endpoint.removeAt != 0 && now >= endpoint.removeAt && !t.storeUnavailable {
			t.remove(endpoint)
		}
	}
}

func (t *Table) canServe(now clock.Millis, endpoint *Endpoint, want PickRequest) bool {
	if endpoint.record.Draining || endpoint.isReplaced || t.evacuated[endpoint.record.FailureDomain] || want.Tried[endpoint.record.ID] {
		return false
	}
	if now >= endpoint.coldUntil || want.ColdPerSecond <= 0 {
		return true
	}
	return endpoint.coldRequests.allows(now, want.ColdPerSecond/float64(t.gatewayCount))
}

// preferred returns the endpoint that gets a program's requests while it is not
// busier than the others. It is the first by rendezvous hashing, so that every
// gateway of a failure domain chooses the same endpoint without communication.
// Endpoints of the gateway's own failure domain come first.
func (t *Table) preferred(now clock.Millis, want PickRequest) (preferred *Endpoint) {
	if want.Affinity == "" {
		return nil
	}
	var bestScore uint64
	preferredIsHome := false
	for _, endpoint := range t.byService[want.Service] {
		if !t.canServe(now, endpoint, want) || now < endpoint.backoffUntil || now < endpoint.coldUntil {
			continue
		}
		isHome := endpoint.record.FailureDomain == t.homeDomain
		score := xxhash.Sum64String(want.Affinity + "\x00" + string(endpoint.record.ID))
		if preferred == nil || isHome && !preferredIsHome || isHome == preferredIsHome && score > bestScore {
			preferred, bestScore, preferredIsHome = endpoint, score, isHome
		}
	}
	return preferred
}

func (t *Table) cost(now clock.Millis, endpoint *Endpoint, want PickRequest) float64 {
	cost := float64(endpoint.inFlight) / float64(max(1, endpoint.record.Slots))
	if endpoint.record.FailureDomain != t.homeDomain {
		cost += otherDomainCost
	}
	if now < endpoint.fullUntil {
		cost += fullCost
	}
	if now < endpoint.backoffUntil {
		cost += backoffCost
	}
	if now < endpoint.coldUntil {
		cost += coldCost
	}
	hash := xxhash.Sum64String(want.Salt + "\x00" + string(endpoint.record.ID))
	return cost + tieBreakCost*float64(hash%1024)/1024
}

// Outcome is the result of a request at an endpoint.
type Outcome int

const (
	// Answered is an answer of the endpoint, whatever its status.
	Answered Outcome = iota
	// Full is a refusal because the endpoint has no capacity.
	Full
	// Failed is a missing or unusable answer.
	Failed
	// Misdirected is an answer by another instance at the same address.
	Misdirected
	// Cancelled is a request that the gateway cancelled.
	Cancelled
)

// Done ends a request at an endpoint. coldFor is the remaining cold time that the
// endpoint reported; 0 for none.
func (t *Table) Done(now clock.Millis, endpoint *Endpoint, outcome Outcome, coldFor clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoint.inFlight--
	endpoint.extendCold(now, coldFor)
	switch outcome {
	case Answered:
		endpoint.failures = 0
		endpoint.backoffUntil = 0
	case Full:
		endpoint.fullUntil = now + fullDuration
	case Failed:
		backoff := min(maxBackoff, initialBackoff<<min(endpoint.failures, 8))
		endpoint.failures++
		endpoint.backoffUntil = now + backoff
	case Misdirected:
		endpoint.isReplaced = true
	case Cancelled:
	}
}

// coldWindow counts the requests that this gateway has sent to a cold endpoint in
// the last second.
type coldWindow struct {
	// sentAt holds the times of the requests, oldest first.
	sentAt []clock.Millis
}

func (w *coldWindow) allows(now clock.Millis, perSecond float64) bool {
	for len(w.sentAt) > 0 && w.sentAt[0] <= now-clock.Second {
		w.sentAt = w.sentAt[1:]
	}
	return float64(len(w.sentAt)+1) <= max(1, perSecond)
}

func (w *coldWindow) add(now clock.Millis) { w.sentAt = append(w.sentAt, now) }
