package gateway

import (
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/catalog"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// newBalancingPolicy returns the policy of the endpoint table while balancing is on.
func newBalancingPolicy(settings spool.GatewaySettings) endpoints.Policy {
	name := settings.Balancing.Policy
	if name == "" {
		name = endpoints.PolicyOccupancy
	}
	policy, err := endpoints.Policies.New(name, xxhash.Sum64String(string(settings.Node)), spool.Options{
		endpoints.OptionMillisPerKB:    settings.Balancing.CrossingMillisPerKB,
		endpoints.OptionMaxReceiveLoad: settings.Balancing.MaxReceiveLoad,
	})
	if err != nil {
		// The name is checked before the start, and package endpoints registers the policies.
		panic(err)
	}
	return policy
}

// describe adds what a policy needs to know of the request to want.
func (r *request) describe(want *endpoints.PickRequest) {
	want.IsStream = r.route.Kind == catalog.Stream
	want.Bytes = r.body.Bytes()
	want.PromptTokens = r.call.PromptTokens
}

// countCrossing counts a request that is sent to another failure domain.
func (r *request) countCrossing(endpoint *endpoints.Endpoint) {
	if endpoint.FailureDomain() != r.gateway.settings.FailureDomain {
		r.gateway.telemetry.CountEvent("requestLeftDomain")
	}
}

// logSpillShares logs for each service the share of the requests that may leave the failure
// domain, if there is any.
func (g *Gateway) logSpillShares() {
	for service, share := range g.endpointTable.SpillShares() {
		if share > 0 {
			g.log.Info("requests may leave the failure domain", zap.String("service", string(service)), zap.Float64("share", share))
		}
	}
}
