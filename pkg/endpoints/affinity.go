package endpoints

import (
	"github.com/baobabspool/baobabspool/pkg/affinity"
	"github.com/baobabspool/baobabspool/pkg/clock"
)

// WithSpreadAffinity lets requests with PickRequest.IsObject prefer one of a few endpoints, by
// their load, instead of always the same one. The view of WithView contributes the requests of
// other gateways.
func WithSpreadAffinity() Option {
	return func(t *Table) { t.spreadsAffinity = true }
}

// mayBePreferred reports whether affinity may prefer an endpoint. The caller holds mu.
func (t *Table) mayBePreferred(now clock.Millis, endpoint *Endpoint, want PickRequest) bool {
	return t.canServe(now, endpoint, want) && now >= endpoint.backoffUntil && now >= endpoint.coldUntil && endpoint.leavingSince == 0
}

// spreadPreferred returns the endpoint that affinity prefers for a request with IsObject; nil
// if there is none. Like preferred, it takes an endpoint of another failure domain only if the
// own one has none. The caller holds mu.
func (t *Table) spreadPreferred(now clock.Millis, want PickRequest) *Endpoint {
	var home, others affinity.Candidates
	for _, endpoint := range t.byService[want.Service] {
		if !t.mayBePreferred(now, endpoint, want) {
			continue
		}
		inFlight := endpoint.inFlight
		if t.view != nil {
			inFlight += max(0, t.view.Instance(now, endpoint.Instance()).InFlight)
		}
		candidate := affinity.Candidate{ID: endpoint.id, Load: float64(inFlight) / float64(max(1, endpoint.record.Slots))}
		if endpoint.domain == t.homeDomain {
			home = append(home, candidate)
		} else {
			others = append(others, candidate)
		}
	}
	if len(home) == 0 {
		home = others
	}
	for _, id := range home.Preferred(want.AffinityKey) {
		return t.byID[id]
	}
	return nil
}
