// Package admission decides which programs may begin while the slots of a service are too
// few, how urgent a request is, and how often a request is offered to endpoints without
// room. The package takes the time as an argument and does no input or output.
package admission

import (
	"math/rand/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/throttle"
)

const (
	// limitedLoad is the load above which starts may be limited. Below it there are free
	// slots.
	limitedLoad = 1.0
	// targetLoad is the load at which programs begin at the rate at which the capacity
	// lets others end. A short queue keeps all slots in use although the requests are not
	// spread evenly over the endpoints.
	targetLoad = 1.2
	// loadGain is by which part of that rate fewer programs begin for a load that is 1
	// higher. The load follows the starts within the turn time times the need, some 1.5 s,
	// divided by loadGain. The load is known with a delay of 0.5 s, so a gain of 1 and more
	// lets it overshoot.
	loadGain = 0.6
	// minFactor bounds that correction. While the queues are full, few programs should
	// begin until those that will be late have gone.
	minFactor = 0.1
	// fillTime is the time within which the programs that begin may fill the free slots,
	// after starts were limited. It is the delay with which a rising load is seen.
	fillTime = 500 * clock.Millis(1)
	// shareMemory is the time within which the share follows the measurements.
	shareMemory = 200 * clock.Millis(1)
	// observeInterval is the shortest time between two queries of the load.
	observeInterval = 20 * clock.Millis(1)
	// wholeShare is the share above which all programs begin. Chance peaks of the arrivals
	// lower the share to 0.95 also at 0.9 of the slots, and the moving average of the
	// share reaches 1 only after seconds.
	wholeShare = 0.95
	// Delays after which a refused program may retry: retryBase plus retryPerExcess for
	// each refused program per admitted one, up to maxRetry. Callers wait for a third of
	// their time at most, which is typically 1 s.
	retryBase      = 200 * clock.Millis(1)
	retryPerExcess = 250 * clock.Millis(1)
	maxRetry       = clock.Second
)

// Controller limits the program starts of one gateway at one service. It is not safe for
// concurrent use.
//
// While the load of the service is known from all gateways, the share of the programs that
// may begin is computed from the offered rate, the capacity and the need of a program.
// Otherwise the refusals and answers that this gateway sees decide.
type Controller struct {
	// view returns the load of the service as all gateways observe it; zero if that is not
	// known.
	view func(now clock.Millis) load.ServiceStats
	// random returns numbers in [0,1).
	random   func() float64
	estimate estimate
	// fallback limits the starts while the load is not known. It is told of all requests
	// of this gateway, so that it knows the state when the load becomes unknown.
	fallback *throttle.Throttle
	mix      *mix
	// share is the part of the programs that may begin, in (0,1].
	share float64
	// viewKnown tells whether the newest query of the load had a result.
	viewKnown bool
	// queriedAt is the time of that query.
	queriedAt clock.Millis
	// usesSlack tells whether Urgency takes account of the slack.
	usesSlack bool
}

// Option changes a Controller during New.
type Option func(*Controller)

// WithRandom sets the source of random numbers in [0,1).
func WithRandom(random func() float64) Option {
	return func(c *Controller) { c.random = random }
}

// WithSlackUrgency sets whether the urgency of a request depends on the slack of its
// program. Without, it is the priority, as when balancing is off.
func WithSlackUrgency(enabled bool) Option {
	return func(c *Controller) { c.usesSlack = enabled }
}

// New returns the controller of a service. view returns the load of the service as all
// gateways observe it, and the zero value if that is not known.
func New(now clock.Millis, view func(now clock.Millis) load.ServiceStats, options ...Option) *Controller {
	c := &Controller{
		view: view, random: rand.Float64, estimate: newEstimate(), fallback: throttle.New(now),
		mix: newMix(), share: 1, usesSlack: true,
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// RecordAnswered records that an endpoint answered a request of this gateway.
func (c *Controller) RecordAnswered(now clock.Millis) {
	// The duration is not used: it depends on the length of the stream.
	c.fallback.RecordAnswered(now, 0)
}

// RecordRejected records that an endpoint had no room for a request of this gateway.
func (c *Controller) RecordRejected(now clock.Millis) { c.fallback.RecordRejected(now) }

// Admit reports whether a program may begin. It must be called once for each program that
// asks to begin, since it counts them.
func (c *Controller) Admit(now clock.Millis, offer Offer) bool {
	share := c.Share(now)
	value := c.mix.add(now, offer)
	if share >= 1 {
		return true
	}
	return c.random() < c.mix.shareOf(value, share)
}

// Share returns the part of the programs that may begin at present, in (0,1].
func (c *Controller) Share(now clock.Millis) float64 {
	c.advance(now)
	if !c.viewKnown {
		c.fallback.Unlimited(now)
		return c.fallback.Share()
	}
	if c.share >= wholeShare {
		return 1
	}
	return c.share
}

// advance queries the load, unless it was queried within observeInterval, and adapts the
// share to it.
func (c *Controller) advance(now clock.Millis) {
	if c.queriedAt != 0 && now < c.queriedAt+observeInterval {
		return
	}
	step := min(maxStep, now-c.queriedAt)
	c.queriedAt = now
	stats := c.view(now)
	wasKnown := c.viewKnown
	if c.viewKnown = stats.Slots > 0; !c.viewKnown {
		return
	}
	if !wasKnown {
		c.share = c.fallback.Share()
	}
	c.estimate.observe(now, stats, c.share < wholeShare)
	c.share += weight(step, shareMemory) * (c.targetShare() - c.share)
}

// targetShare returns the share at which the programs under way and the new ones together
// need the capacity.
func (c *Controller) targetShare() float64 {
	e := &c.estimate
	if e.offered <= 0 || c.share >= wholeShare && e.load() <= limitedLoad {
		return 1
	}
	factor := max(minFactor, 1+loadGain*(targetLoad-e.load()))
	if free := limitedLoad - e.load(); free > 0 {
		// Programs that fill the free slots within fillTime, by their first turns.
		factor += free * c.mix.meanRequests() / e.slotRate / fillTime.Duration().Seconds()
	}
	return min(1, factor*e.capacity()/e.ratio()/e.offered)
}

// RetryAfter returns the time after which a program that was refused may ask again. It
// grows with the excess of the programs offered and is random, so that programs that were
// refused together don't return together.
func (c *Controller) RetryAfter(now clock.Millis) clock.Millis {
	excess := 1/max(1e-3, c.Share(now)) - 1
	mean := min(float64(maxRetry), float64(retryBase)+excess*float64(retryPerExcess))
	return clock.Millis(mean * (0.5 + c.random()))
}

// Evidence is what a decision rests on, for the log.
type Evidence struct {
	Share, Capacity, Need, Offered, Load float64
	Slots                                int
	// ByView tells whether the load is known from all gateways.
	ByView bool
}

// Evidence returns what the decisions rest on at present.
func (c *Controller) Evidence(now clock.Millis) Evidence {
	share, e := c.Share(now), &c.estimate
	return Evidence{
		Share: share, Capacity: e.capacity(), Need: c.mix.meanRequests() * e.ratio(), Offered: e.offered, Load: e.load(),
		Slots: e.stats.Slots, ByView: c.viewKnown,
	}
}
