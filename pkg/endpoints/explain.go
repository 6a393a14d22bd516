package endpoints

import (
	"cmp"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/outlier"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Reasons for which an endpoint gets no request.
const (
	ReasonDraining  = "draining"
	ReasonReplaced  = "replaced"
	ReasonEvacuated = "evacuated"
	ReasonLeaving   = "leaving"
	ReasonColdRate  = "coldRate"
	ReasonEjected   = "ejected"
	ReasonProbation = "probation"
)

// Explanation says where a request would go now, and why.
type Explanation struct {
	// Picked is the endpoint that would get the request; empty if there is none.
	Picked spool.EndpointID `json:"picked,omitempty"`
	// SpillShare is the part of the requests that may leave the failure domain of the gateway.
	SpillShare float64 `json:"spillShare"`
	// Candidates are the endpoints of the service: those that may get the request by their
	// cost, lowest first, then the excluded ones.
	Candidates []CandidateExplanation `json:"candidates"`
}

// CandidateExplanation is one endpoint of an Explanation.
type CandidateExplanation struct {
	Endpoint      spool.EndpointID    `json:"endpoint"`
	FailureDomain spool.FailureDomain `json:"failureDomain"`
	// Excluded is the reason for which the endpoint gets no request; empty if it may get one.
	Excluded string `json:"excluded,omitempty"`
	// Own and Others are the requests of this gateway and of all others at the endpoint.
	Own    int `json:"own"`
	Others int `json:"others"`
	Slots  int `json:"slots"`
	// Cost is the sum of the following terms, in parts of the slots.
	Cost float64 `json:"cost"`
	// Occupancy is the part of the slots that requests of this gateway occupy, Domain the cost
	// of another failure domain, State that of a full, failing, cold or leaving endpoint, and
	// Speed that of a slow one. Affinity is negative for the endpoint that is expected to have
	// the prompt in its cache.
	Occupancy float64 `json:"occupancy"`
	Domain    float64 `json:"domain"`
	State     float64 `json:"state"`
	Speed     float64 `json:"speed"`
	Affinity  float64 `json:"affinity"`
	// SpeedRatio is the time between events as a multiple of that of fast endpoints; 0 if it is
	// not known.
	SpeedRatio float64 `json:"speedRatio,omitempty"`
}

// Explain says where a request would go now. It changes nothing. The costs are those of the
// policies occupancy and speedAware.
func (t *Table) Explain(now clock.Millis, want PickRequest) (explanation Explanation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := Candidates{table: t, now: now, want: want}
	classes, preferred := &speedClasses{}, preferredOf(now, want, candidates)
	if policy, ok := t.policy.(*speedAware); ok {
		if known := policy.classes[want.Service]; known != nil {
			classes = known
		}
		preferred = preferredFast(now, candidates.Home(), want, candidates, classes)
		explanation.SpillShare = policy.spillShares()[want.Service]
	}
	for _, endpoint := range candidates.All() {
		explained := t.explainCandidate(now, endpoint, want, classes)
		if endpoint == preferred {
			explained.Affinity = -affinityGain
		}
		explained.Cost = explained.Occupancy + explained.Domain + explained.State + explained.Speed + explained.Affinity
		explanation.Candidates = append(explanation.Candidates, explained)
	}
	slices.SortStableFunc(explanation.Candidates, func(a, b CandidateExplanation) int {
		if excluded := cmp.Compare(boolRank(a.Excluded != ""), boolRank(b.Excluded != "")); excluded != 0 {
			return excluded
		}
		return cmp.Compare(a.Cost, b.Cost)
	})
	if len(explanation.Candidates) > 0 && explanation.Candidates[0].Excluded == "" {
		explanation.Picked = explanation.Candidates[0].Endpoint
	}
	return explanation
}

func boolRank(value bool) int {
	if value {
		return 1
	}
	return 0
}

// explainCandidate returns the terms of the cost of an endpoint without affinity. The caller
// holds mu.
func (t *Table) explainCandidate(now clock.Millis, endpoint *Endpoint, want PickRequest, classes *speedClasses) CandidateExplanation {
	candidates := Candidates{table: t, now: now, want: want}
	explained := CandidateExplanation{
		Endpoint: endpoint.id, FailureDomain: endpoint.domain, Excluded: t.exclusionOf(now, endpoint, want),
		Own: endpoint.inFlight, Others: candidates.Stats(endpoint).InFlight, Slots: endpoint.record.Slots,
		Occupancy: float64(endpoint.inFlight) / float64(max(1, endpoint.record.Slots)),
		State:     endpoint.penalty(now), Speed: classes.cost(endpoint),
	}
	if !candidates.IsHome(endpoint) {
		explained.Domain = otherDomainCost
	}
	if classes.fastEvent > 0 && endpoint.estimate.eventAverage > 0 {
		explained.SpeedRatio = classes.ratio(endpoint)
	}
	return explained
}

// exclusionOf returns the reason for which an endpoint gets no request; empty if it may get
// one. The caller holds mu.
func (t *Table) exclusionOf(now clock.Millis, endpoint *Endpoint, want PickRequest) string {
	switch {
	case endpoint.record.Draining:
		return ReasonDraining
	case endpoint.isReplaced:
		return ReasonReplaced
	case t.evacuated[endpoint.domain]:
		return ReasonEvacuated
	case endpoint.leavingSince != 0 && !t.isLastResort(now, endpoint):
		return ReasonLeaving
	case !t.mayServe(now, endpoint, want):
		return ReasonColdRate
	case t.outliers == nil || t.outliers.Allows(now, endpoint.service, endpoint.Instance(), want.IsRepeatable):
		return ""
	}
	if state, _ := t.outliers.State(now, endpoint.service, endpoint.Instance()); state == outlier.Probation {
		return ReasonProbation
	}
	return ReasonEjected
}
