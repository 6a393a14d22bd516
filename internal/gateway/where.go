package gateway

import (
	"context"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/admission"
	"github.com/baobabspool/baobabspool/pkg/catalog"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// MethodWhere asks a gateway where a request would go now. Nothing is sent.
const MethodWhere = "gateway.where"

// WhereRequest describes the request. It names no key of an account.
type WhereRequest struct {
	Host    string          `json:"host"`
	Path    string          `json:"path"`
	Program spool.ProgramID `json:"program,omitempty"`
	// AffinityKey is the key of the object that the request is about.
	AffinityKey string `json:"affinityKey,omitempty"`
}

// WhereReply says where the request would go, and why.
type WhereReply struct {
	Node          spool.NodeID        `json:"node"`
	FailureDomain spool.FailureDomain `json:"failureDomain"`
	// Version is that of the configuration in force.
	Version int64 `json:"version"`
	// Route and Service are empty if no route fits.
	Route   string            `json:"route,omitempty"`
	Service spool.ServiceName `json:"service,omitempty"`
	// Refusal is the reason for which the request would be refused now; empty if it would be
	// sent. The limits of the account are not looked at.
	Refusal spool.Code `json:"refusal,omitempty"`
	// StartShare is the part of the new programs that may begin now, and Load the requests at
	// the service as a part of its slots, by what all gateways know.
	StartShare  float64               `json:"startShare"`
	Load        float64               `json:"load"`
	Explanation endpoints.Explanation `json:"explanation"`
}

// whereHandlers returns the handler of MethodWhere.
func (g *Gateway) whereHandlers() wire.Mux {
	return wire.Mux{
		MethodWhere: wire.Handle(func(_ context.Context, request WhereRequest, _ wire.Send) (any, error) {
			return g.where(request), nil
		}),
	}
}

// where says where a request would go now.
func (g *Gateway) where(request WhereRequest) (reply WhereReply) {
	reply = WhereReply{Node: g.settings.Node, FailureDomain: g.settings.FailureDomain, StartShare: 1}
	current := g.catalog.Load()
	if current == nil {
		reply.Refusal = reasonNoConfiguration
		return reply
	}
	reply.Version = current.Version()
	route := current.Route(request.Host, request.Path)
	if route == nil {
		reply.Refusal = reasonNoRoute
		return reply
	}
	reply.Route = route.Name
	service := current.Service(route.Target(string(request.Program)))
	if service == nil {
		reply.Refusal = reasonNoEndpoint
		return reply
	}
	reply.Service = service.Name
	if stats := g.loadView.Service(g.clock.Now(), service.Name); stats.Slots > 0 {
		reply.Load = float64(stats.InFlight) / float64(stats.Slots)
	}
	if service.Engine && g.settings.Balancing.Enabled {
		reply.StartShare = g.engineLoads.evidenceOf(service.Name).Share
	}
	reply.Explanation = g.endpointTable.Explain(g.clock.Now(), g.wantOf(request, route, service))
	switch {
	case route.KeepsHistory && g.health.isUnavailable():
		reply.Refusal = reasonStoreAway
	case reply.Explanation.Picked == "":
		reply.Refusal = reasonNoEndpoint
	}
	return reply
}

// wantOf returns what is asked of the endpoint table.
func (g *Gateway) wantOf(request WhereRequest, route *catalog.Route, service *catalog.Service) endpoints.PickRequest {
	want := endpoints.PickRequest{
		Service: service.Name, ColdPerSecond: service.ColdPerSecond, IsStream: route.Kind == catalog.Stream,
		IsRepeatable: route.Kind == catalog.Idempotent || route.Resumable,
	}
	switch {
	case g.settings.Balancing.Enabled && route.Sticky && request.AffinityKey != "":
		want.AffinityKey, want.IsObject = request.AffinityKey, true
	case service.Engine:
		want.AffinityKey = string(request.Program)
	}
	return want
}

// evidenceOf returns what the admission at a service rests on.
func (l *engineLoads) evidenceOf(service spool.ServiceName) admission.Evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engineFor(service).Evidence(l.clock.Now())
}
