package endpoints

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spill"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// refreshInterval is the time between two passes over the endpoints of a service.
	refreshInterval = 100 * clock.Millis(1)
	// maxSampled bounds the endpoints of a pass, in the own domain and in others, so that
	// its cost does not grow with the service.
	maxSampled = 128
	// bytesWeight is the weight of a request in the moving average of their sizes.
	bytesWeight = 0.02
)

// serviceState is what the policy expectedFinish knows of a service.
type serviceState struct {
	// usual contains the medians of the known speeds.
	usual speeds
	// events and bytes are moving averages over the requests of this gateway.
	events, bytes float64
	// typicalMillis is the time of an answer at the usual speeds.
	typicalMillis float64
	// followers is the number of gateways that are expected to decide as this one does.
	followers float64
	spill     *spill.Controller
	// homeLoad is the part of the slots of the own domain that is in use.
	homeLoad float64
	// receiveLoad is the part of the slots of other domains that is in use.
	receiveLoad float64
	// crossings contains the other failure domains to which requests have been sent.
	crossings   map[spool.FailureDomain]crossing
	refreshedAt clock.Millis
	isRefreshed bool
	// passes is the number of passes. It makes each pass sample other endpoints.
	passes int
}

// receives reports whether other domains may get requests of this one.
func (s *serviceState) receives(maxReceiveLoad float64) bool { return s.receiveLoad < maxReceiveLoad }

// refresh computes the medians and the spill share again after refreshInterval.
func (s *serviceState) refresh(now clock.Millis, p *expectedFinish, want PickRequest, candidates Candidates) {
	s.bytes += bytesWeight * (float64(want.Bytes) - s.bytes)
	if s.isRefreshed && now < s.refreshedAt+refreshInterval {
		return
	}
	s.refreshedAt, s.isRefreshed = now, true
	s.passes++
	home, other := s.sample(candidates.Home()), s.sample(candidates.Other())
	s.updateUsual(now, candidates, home, other)
	typical := PickRequest{Service: want.Service, IsStream: want.IsStream, Bytes: int(s.bytes)}
	seen := spill.Observation{Price: p.price(typical)}
	seen.Home, s.homeLoad, seen.HomeUsable = s.observe(now, p, typical, candidates, home)
	seen.Away, seen.ReceiveLoad, seen.AwayUsable = s.observe(now, p, typical, candidates, other)
	seen.Away -= seen.Price
	s.receiveLoad = seen.ReceiveLoad
	s.spill.Update(now, seen)
}

// sample returns at most maxSampled endpoints of list, others in each pass.
func (s *serviceState) sample(list []*Endpoint) []*Endpoint {
	if len(list) <= maxSampled {
		return list
	}
	step := len(list) / maxSampled
	sampled := make([]*Endpoint, 0, maxSampled)
	for i := range maxSampled {
		sampled = append(sampled, list[i*step+s.passes%step])
	}
	return sampled
}

// updateUsual computes the medians of the known speeds.
func (s *serviceState) updateUsual(now clock.Millis, candidates Candidates, lists ...[]*Endpoint) {
	var event, first, call []float64
	add := func(values []float64, value float64) []float64 {
		if value > 0 {
			values = append(values, value)
		}
		return values
	}
	for _, list := range lists {
		for _, endpoint := range list {
			stats := candidates.Stats(endpoint)
			endpoint.estimate.update(now, stats, endpoint.inFlight)
			event = add(event, stats.EventMillis)
			first = add(first, endpoint.estimate.firstFloor)
			call = add(call, endpoint.estimate.callFloor)
		}
	}
	s.usual = speeds{event: median(event), first: median(first), call: median(call)}
}

// observe returns the finish that a request can expect among the usable endpoints of list,
// the part of their slots in use, and whether there is any.
func (s *serviceState) observe(now clock.Millis, p *expectedFinish, want PickRequest, candidates Candidates, list []*Endpoint) (finish, busy float64, usable bool) {
	// The deviations of this gateway's requests vary too much for the spill controller.
	followers := s.followers
	s.followers = 0
	defer func() { s.followers = followers }()
	finishes := make([]float64, 0, len(list))
	inFlight, slots := 0, 0
	for _, endpoint := range list {
		if now < endpoint.backoffUntil || now < endpoint.coldUntil || endpoint.leavingSince != 0 || !s.isOpen(now, endpoint.domain) || !candidates.CanServe(endpoint) {
			continue
		}
		expected, _ := p.finish(now, endpoint, want, s, candidates)
		finishes = append(finishes, expected)
		inFlight += min(endpoint.record.Slots, endpoint.inFlight+candidates.Stats(endpoint).InFlight)
		slots += max(1, endpoint.record.Slots)
	}
	if len(finishes) == 0 {
		return 0, 0, false
	}
	return expectedLeast(finishes, p.focus), float64(inFlight) / float64(slots), true
}
