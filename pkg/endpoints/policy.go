package endpoints

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// The names of the policies in this package.
const (
	// PolicyOccupancy picks the endpoint with the least fraction of its slots in use by
	// this gateway. It is the default.
	PolicyOccupancy = "occupancy"
	// PolicyExpectedFinish picks the endpoint at which the request is expected to finish
	// first, by what is known of the endpoints from all gateways.
	PolicyExpectedFinish = "expectedFinish"
	// PolicySpeedAware picks like PolicyOccupancy, but avoids endpoints that are slower than
	// others while those have room, and leaves the failure domain only when that pays.
	PolicySpeedAware = "speedAware"
)

// Policies holds the constructors of the policies. Policies register in an init function.
var Policies = &spool.Registry[Policy]{}

// Policy chooses the endpoint of a request. The table calls its methods while it holds its
// lock, so that a policy needs no lock of its own; it must belong to one table only.
type Policy interface {
	// Choose returns one of the candidates for which CanServe is true, or nil if there is
	// none.
	Choose(now clock.Millis, want PickRequest, candidates Candidates) *Endpoint
	// Ended tells the policy the result of a request at an endpoint that it chose.
	Ended(now clock.Millis, endpoint *Endpoint, result Result)
}

// Candidates gives a policy the endpoints of the service of one request. It must not be used
// after Choose has returned.
type Candidates struct {
	table *Table
	now   clock.Millis
	want  PickRequest
}

// All returns the endpoints of the service, in the order in which they became known. The
// caller must not change the slice.
func (c Candidates) All() []*Endpoint { return c.table.byService[c.want.Service] }

// Home and Other return the endpoints in the failure domain of the gateway, and in other
// ones, in the order of a hash of their IDs. The caller must not change the slices.
func (c Candidates) Home() []*Endpoint { return c.table.rings[c.want.Service].home }

// Other returns the endpoints of other failure domains; see Home.
func (c Candidates) Other() []*Endpoint { return c.table.rings[c.want.Service].other }

// CanServe reports whether the endpoint may get the request.
func (c Candidates) CanServe(endpoint *Endpoint) bool {
	return c.table.canServe(c.now, endpoint, c.want)
}

// IsHome reports whether the endpoint is in the failure domain of the gateway.
func (c Candidates) IsHome(endpoint *Endpoint) bool {
	return endpoint.domain == c.table.homeDomain
}

// spreadsObject reports whether the request is about an object that several endpoints may
// handle.
func (c Candidates) spreadsObject() bool { return c.want.IsObject && c.table.spreadsAffinity }

// InFlight returns the number of requests of this gateway at the endpoint.
func (c Candidates) InFlight(endpoint *Endpoint) int { return endpoint.inFlight }

// Position returns the position of this gateway among those of its failure domain, and their
// number. position is -1, and count that of all gateways, as long as it is unknown.
func (c Candidates) Position() (position, count int) {
	if c.table.domainGateways == 0 {
		return -1, c.table.gatewayCount
	}
	return c.table.position, c.table.domainGateways
}

// Stats returns what is known of the endpoint from all gateways; zero if nothing is.
func (c Candidates) Stats(endpoint *Endpoint) load.Stats {
	if c.table.view == nil {
		return load.Stats{}
	}
	return c.table.view.Instance(c.now, endpoint.Instance())
}

// WithPolicy sets the policy that chooses endpoints. It must not be shared with another table.
func WithPolicy(policy Policy) Option {
	return func(t *Table) { t.policy = policy }
}

// WithView sets what is known of endpoints from all gateways.
func WithView(view load.View) Option {
	return func(t *Table) { t.view = view }
}

// spiller is a policy that sends a share of the requests to other failure domains.
type spiller interface {
	// spillShares returns the shares from 0 to 1 by service.
	spillShares() map[spool.ServiceName]float64
}

// SpillShares returns for each service the share of the requests that may leave the failure
// domain of the gateway; nil if the policy does not use any.
func (t *Table) SpillShares() map[spool.ServiceName]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if policy, ok := t.policy.(spiller); ok {
		return policy.spillShares()
	}
	return nil
}
