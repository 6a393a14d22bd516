package endpoints

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/outlier"
)

// WithOutliers sets the detector that takes endpoints out of use because of their results.
// It must also be an observer of the table; see WithObserver.
func WithOutliers(detector *outlier.Detector) Option {
	return func(t *Table) { t.outliers = detector }
}

// isInUse reports whether the detector allows a request to an endpoint that may get it
// otherwise. If it allows none of those that may get the request, each of them is in use:
// an ejected endpoint is better than none. The caller holds mu.
func (t *Table) isInUse(now clock.Millis, endpoint *Endpoint, want PickRequest) bool {
	if t.outliers == nil {
		return true
	}
	t.judgeOutliers(now, endpoint)
	if t.outliers.Allows(now, endpoint.service, endpoint.Instance(), want.IsRepeatable) {
		return true
	}
	for _, other := range t.byService[want.Service] {
		if t.mayServe(now, other, want) && t.outliers.Allows(now, other.service, other.Instance(), want.IsRepeatable) {
			return false
		}
	}
	return true
}

// judgeOutliers lets the detector judge the service of an endpoint if that is due. Its
// members are the endpoints that get requests, whichever a request has tried. The caller
// holds mu.
func (t *Table) judgeOutliers(now clock.Millis, endpoint *Endpoint) {
	if !t.outliers.Due(now, endpoint.service) {
		return
	}
	t.outliers.SetGatewayCount(t.gatewayCount)
	var members []outlier.Member
	inFlight, slots := 0, 0
	for _, other := range t.byService[endpoint.service] {
		if other.leavingSince == 0 && t.mayServe(now, other, PickRequest{Service: endpoint.service}) {
			members = append(members, outlier.Member{Instance: other.Instance(), Slots: other.record.Slots, Domain: other.domain})
			inFlight += other.inFlight
			if t.view != nil {
				inFlight += t.view.Instance(now, other.Instance()).InFlight
			}
			slots += max(1, other.record.Slots)
		}
	}
	t.outliers.SetLoad(endpoint.service, float64(inFlight)/float64(max(1, slots)))
	t.outliers.Judge(now, endpoint.service, members)
}
