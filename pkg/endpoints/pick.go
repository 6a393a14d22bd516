package endpoints

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// The cost of an endpoint is the fraction of its slots that requests of this gateway
// occupy, plus or minus the following terms. The endpoint with the lowest cost is
// picked.
const (
	// otherDomainCost is added for an endpoint in another failure domain.
	otherDomainCost = 0.10
	// affinityGain is subtracted for the endpoint that is expected to have the
	// program's prompt in its cache; see preferred.
	affinityGain = 0.20
	// fullCost is added for fullDuration after an endpoint has refused a request
	// because it had no capacity.
	fullCost = 2.0
	// leavingCost is added for an endpoint that leaves. Each other one goes before it.
	leavingCost = 100.0
	// backoffCost is added for an endpoint in backoff after a failure. It is so
	// high that such an endpoint is picked only if no other one is left.
	backoffCost = 10.0
	// coldCost is added for a cold endpoint, which can serve only a low rate of
	// requests.
	coldCost = 4.0
	// tieBreakCost is the upper bound of a pseudorandom term that spreads requests
	// over endpoints that are equal otherwise.
	tieBreakCost = 0.01
)

// PickRequest describes the request for which an endpoint is picked.
type PickRequest struct {
	Service spool.ServiceName
	// AffinityKey is the same for requests that share the beginning of their prompts;
	// empty if no endpoint is to be preferred.
	AffinityKey string
	// Salt differs from request to request. It determines the pseudorandom term of
	// the cost.
	Salt string
	// Tried contains the endpoints that must not be picked, because the request has
	// already been sent to them.
	Tried map[spool.EndpointID]bool
	// ColdPerSecond is the number of requests per second that a cold endpoint of
	// the service can serve in total, from all gateways; 0 for no limit.
	ColdPerSecond float64
	// Allows reports whether an endpoint may be picked; nil if each may. It is called with
	// the table locked, so it must not call the table.
	Allows func(endpoint *Endpoint) bool
}

// Pick returns the endpoint with the lowest cost for a request, or nil if no
// endpoint can get it. The request occupies a slot of the endpoint until the caller
// calls Done. Pick also removes the endpoints of the service that Drop has marked
// and whose removeAt has passed; none while the store is unavailable.
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
	if t.observer != nil {
		t.observer.Started(now, best.service, best.Instance())
	}
	return best
}

// removeExpired removes the endpoints of a service whose removeAt has passed; none
// while the store is unavailable.
func (t *Table) removeExpired(now clock.Millis, service spool.ServiceName) {
	for _, endpoint := range t.byService[service] {
		if endpoint.removeAt != 0 && now >= endpoint.removeAt && !t.storeUnavailable {
			t.remove(endpoint)
		}
	}
}

// canServe reports whether an endpoint may get the request. A cold endpoint may get
// at most this gateway's part of ColdPerSecond.
func (t *Table) canServe(now clock.Millis, endpoint *Endpoint, want PickRequest) bool {
	if endpoint.record.Draining || endpoint.isReplaced || t.evacuated[endpoint.record.FailureDomain] || want.Tried[endpoint.record.ID] {
		return false
	}
	if want.Allows != nil && !want.Allows(endpoint) {
		return false
	}
	if endpoint.leavingSince != 0 && !t.isLastResort(now, endpoint) {
		return false
	}
	if now >= endpoint.coldUntil || want.ColdPerSecond <= 0 {
		return true
	}
	return endpoint.coldRequests.allows(now, want.ColdPerSecond/float64(t.gatewayCount))
}

// preferred returns the endpoint that affinityGain makes cheaper for a request, or
// nil if AffinityKey is empty. It is the endpoint with the highest rendezvous score
// among those that may get the request and are not in backoff, cold or leaving, first
// among those of the gateway's own failure domain. All gateways of a failure domain
// thus choose the same endpoint without communication, as long as they agree on the
// state of the endpoints.
func (t *Table) preferred(now clock.Millis, want PickRequest) (preferred *Endpoint) {
	if want.AffinityKey == "" {
		return nil
	}
	var bestScore uint64
	preferredIsHome := false
	for _, endpoint := range t.byService[want.Service] {
		if !t.canServe(now, endpoint, want) || now < endpoint.backoffUntil || now < endpoint.coldUntil || endpoint.leavingSince != 0 {
			continue
		}
		isHome := endpoint.record.FailureDomain == t.homeDomain
		score := xxhash.Sum64String(want.AffinityKey + "\x00" + string(endpoint.record.ID))
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
	if endpoint.leavingSince != 0 {
		cost += leavingCost
	}
	hash := xxhash.Sum64String(want.Salt + "\x00" + string(endpoint.record.ID))
	return cost + tieBreakCost*float64(hash%1024)/1024
}

// Outcome is the result of a request at an endpoint.
type Outcome int

const (
	// Answered is an answer of the endpoint, whatever its status.
	Answered Outcome = iota
	// Full is a refusal because the endpoint had no capacity.
	Full
	// Failed is a missing or unusable answer.
	Failed
	// Misdirected is an answer by another instance at the same address. The picked
	// instance no longer exists and gets no more requests.
	Misdirected
	// Cancelled is a request that the gateway cancelled. It does not change the state
	// of the endpoint.
	Cancelled
)

// Result is what a request has shown of its endpoint.
type Result struct {
	Outcome Outcome
	// ColdFor is the remaining cold time that the endpoint reported; 0 if it reported none.
	ColdFor clock.Millis
	// Sample is the timing of the request for the observer.
	Sample load.Sample
}

// Done ends a request for which Pick returned endpoint, and updates the state of
// the endpoint by its result. A failure starts or extends the backoff, an answer
// ends it.
func (t *Table) Done(now clock.Millis, endpoint *Endpoint, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoint.inFlight--
	endpoint.extendCold(now, result.ColdFor)
	if t.observer != nil {
		t.observer.Ended(now, endpoint.service, endpoint.Instance(), result.Sample)
	}
	switch result.Outcome {
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

// coldWindow contains the requests that this gateway has sent to a cold endpoint in
// the last second.
type coldWindow struct {
	// sentAt contains the times at which the requests were picked, oldest first.
	sentAt []clock.Millis
}

// allows removes the requests that are older than a second and reports whether
// another one is within perSecond. One request per second is always allowed.
func (w *coldWindow) allows(now clock.Millis, perSecond float64) bool {
	for len(w.sentAt) > 0 && w.sentAt[0] <= now-clock.Second {
		w.sentAt = w.sentAt[1:]
	}
	return float64(len(w.sentAt)+1) <= max(1, perSecond)
}

func (w *coldWindow) add(now clock.Millis) { w.sentAt = append(w.sentAt, now) }
