package endpoints

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// PickRequest describes the request for which an endpoint is picked.
type PickRequest struct {
	Service spool.ServiceName
	// AffinityKey is the same for requests that share the beginning of their prompts;
	// empty if no endpoint is to be preferred.
	AffinityKey string
	// IsObject is true if AffinityKey names an object, which several endpoints may handle. A
	// program's prompt is in the cache of one endpoint only.
	IsObject bool
	// IsRepeatable is true if the request may run at another endpoint if this one fails.
	IsRepeatable bool
	// Salt differs from request to request. It determines the pseudorandom part of the
	// choice.
	Salt string
	// Tried contains the endpoints that must not be picked, because the request has
	// already been sent to them.
	Tried map[spool.EndpointID]bool
	// ColdPerSecond is the number of requests per second that a cold endpoint of
	// the service can serve in total, from all gateways; 0 for no limit.
	ColdPerSecond float64
	// IsStream says that the answer is a stream of events. Events is the number of events
	// that are expected; 0 if unknown.
	IsStream bool
	Events   float64
	// Bytes is the size of the request, and PromptTokens the length of its prompt; 0 if
	// unknown.
	Bytes        int
	PromptTokens int64
	// Allows reports whether an endpoint may be picked; nil if each may. It is called with
	// the table locked, so it must not call the table.
	Allows func(endpoint *Endpoint) bool
}

// Pick returns the endpoint that the policy chooses for a request, or nil if no
// endpoint can get it. The request occupies a slot of the endpoint until the caller
// calls Done. Pick also removes the endpoints of the service that Drop has marked
// and whose removeAt has passed; none while the store is unavailable.
func (t *Table) Pick(now clock.Millis, want PickRequest) *Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now, want.Service)
	best := t.policy.Choose(now, want, Candidates{table: t, now: now, want: want})
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
	if t.markedCount == 0 {
		return
	}
	for _, endpoint := range t.byService[service] {
		if endpoint.removeAt != 0 && now >= endpoint.removeAt && !t.storeUnavailable {
			t.remove(endpoint)
		}
	}
}

// canServe reports whether an endpoint may get the request, and is in use or the last
// resort; see isInUse.
func (t *Table) canServe(now clock.Millis, endpoint *Endpoint, want PickRequest) bool {
	return t.mayServe(now, endpoint, want) && t.isInUse(now, endpoint, want)
}

// mayServe reports whether an endpoint may get the request, whatever its results. A cold
// endpoint may get at most this gateway's part of ColdPerSecond.
func (t *Table) mayServe(now clock.Millis, endpoint *Endpoint, want PickRequest) bool {
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
	t.policy.Ended(now, endpoint, result)
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
