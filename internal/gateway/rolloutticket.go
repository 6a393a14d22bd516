package gateway

import (
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/rollout"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// rolloutTicket is the permission of one try of a request to be sent to endpoints of some
// versions. It is nil if rollouts are off. Exactly one of giveBack and end must be called.
type rolloutTicket struct {
	table   *rolloutTable
	service *serviceRollout
	route   string
	// holder is nil if no rollout was ordered since the start of the gateway. access is then
	// not used.
	holder *rollout.Holder
	access rollout.Access
	// to and barred are the version that is rolled out, and those that get no requests.
	// focus contains the endpoints that may be picked; nil for all.
	to     string
	barred []string
	focus  map[spool.EndpointID]bool
	// version is that of the picked endpoint; isPicked is false before.
	version  string
	isPicked bool
}

// choose returns the permission for a try. mayUseGrant is as in rollout.Holder.Choose.
func (t *rolloutTable) choose(name spool.ServiceName, route string, mayUseGrant bool) *rolloutTicket {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	s := t.service(name)
	ticket := &rolloutTicket{table: t, service: s, route: route, holder: s.holder}
	focusCount := 0
	if s.holder != nil {
		ticket.to, ticket.barred = s.holder.Order().To, s.holder.Barred()
		ticket.access = s.holder.Choose(t.bootClock.Now(), route, mayUseGrant)
		focusCount = s.holder.Focus()
	} else if s.record != nil {
		ticket.barred = rollout.BarredAfter(*s.record, "")
	}
	t.mu.Unlock()
	if ticket.holder != nil && ticket.access == rollout.AccessGranted {
		ticket.focus = t.focus(name, ticket.to, focusCount)
	}
	return ticket
}

// allows reports whether an endpoint may get the request. It does not lock the table.
func (k *rolloutTicket) allows(endpoint *endpoints.Endpoint) bool {
	version := endpoint.Version()
	switch {
	case k.holder == nil:
		return !slices.Contains(k.barred, version)
	case k.access == rollout.AccessOld:
		return version != k.to && !slices.Contains(k.barred, version)
	case k.access == rollout.AccessGranted:
		return version == k.to && k.focus[endpoint.ID()]
	default:
		return k.access == rollout.AccessNew && version == k.to
	}
}

// isGranted reports whether the request uses a grant.
func (k *rolloutTicket) isGranted() bool {
	return k != nil && k.holder != nil && k.access == rollout.AccessGranted
}

// pick records that the request goes to an endpoint.
func (k *rolloutTicket) pick(endpoint *endpoints.Endpoint) {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	k.version, k.isPicked = endpoint.Version(), true
	k.service.inFlight[k.version]++
}

// release removes the request from inFlight. The caller holds the lock of the table.
func (k *rolloutTicket) release() {
	if !k.isPicked {
		return
	}
	if k.service.inFlight[k.version]--; k.service.inFlight[k.version] <= 0 {
		delete(k.service.inFlight, k.version)
	}
}

// giveBack ends a try that was not sent.
func (k *rolloutTicket) giveBack() {
	if k == nil {
		return
	}
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	k.release()
	if k.holder != nil {
		k.holder.GiveBack(k.access)
	}
}

// end ends a try that was sent. elapsed is the time since then, and isCold is true if the
// endpoint said that it is in cold start.
func (k *rolloutTicket) end(sample load.Sample, isCancelled bool, elapsed clock.Millis, isCold bool) {
	if k == nil {
		return
	}
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	k.release()
	if k.holder != nil {
		k.holder.Ended(k.access, k.route, rolloutSample(sample, isCancelled, elapsed, isCold))
	}
}

// rolloutSample returns what a try says of the version of its endpoint; nil if nothing.
func rolloutSample(sample load.Sample, isCancelled bool, elapsed clock.Millis, isCold bool) *rollout.Sample {
	result := &rollout.Sample{First: -1, Pace: -1}
	switch {
	case isCancelled && sample.Events == 0 && !isCold:
		result.Cut, result.First = true, elapsed
		return result
	case sample.Outcome == load.Failed:
		result.Failed = true
		return result
	case sample.Outcome != load.Good:
		return nil
	case isCold:
		return result
	case sample.Events == 0:
		result.First = sample.Took
		return result
	}
	result.First = sample.FirstEvent
	if sample.Events > 1 {
		result.Pace = (sample.LastEvent - sample.FirstEvent) / clock.Millis(sample.Events-1)
	}
	return result
}

// endTry reports the result of sending the request to an endpoint to the endpoint table and
// to the rollout. wasSent is false if the request provably did not reach the endpoint.
func (r *request) endTry(endpoint *endpoints.Endpoint, result endpoints.Result, wasSent bool) {
	now := r.gateway.clock.Now()
	r.gateway.endpointTable.Done(now, endpoint, result)
	if wasSent {
		r.ticket.end(result.Sample, result.Outcome == endpoints.Cancelled, now-r.sentAt, result.ColdFor > 0)
	} else {
		r.ticket.giveBack()
	}
	r.ticket = nil
}

// pick picks an endpoint that a rollout of the service permits; nil if there is none. A
// request that was tried already uses no grant.
func (r *request) pick(want endpoints.PickRequest) *endpoints.Endpoint {
	g := r.gateway
	for _, mayUseGrant := range []bool{len(r.tried) == 0, false} {
		ticket := g.rollouts.choose(r.service.Name, r.route.Name, mayUseGrant)
		if ticket == nil {
			return g.endpointTable.Pick(g.clock.Now(), want)
		}
		want.Allows = ticket.allows
		if endpoint := g.endpointTable.Pick(g.clock.Now(), want); endpoint != nil {
			ticket.pick(endpoint)
			r.ticket = ticket
			return endpoint
		}
		ticket.giveBack()
		if !ticket.isGranted() {
			return nil
		}
	}
	return nil
}
