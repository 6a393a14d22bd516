// Package spill decides which share of the requests of a gateway may leave its failure
// domain. It takes the time as an argument and does no input or output.
package spill

import (
	"math"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// The defaults of the settings.
const (
	// DefaultMillisPerKB is the price of traffic between failure domains.
	DefaultMillisPerKB = 0.1
	// DefaultMaxReceiveLoad lets requests leave while a receiving domain has free slots, so
	// that they do not make its own callers wait. The share falls before, from 0.85 on.
	DefaultMaxReceiveLoad = 1.0
)

const (
	// fullGain is the gain at which all requests may leave, as a part of the finish at home.
	fullGain = 1.0
	// minGain is the gain below which no request leaves, as a part of the finish at home.
	// Differences of this size are noise.
	minGain = 0.1
	// shareTime is the time constant of the share. It is longer than the time after which a
	// gateway sees the effect of a change, some 0.6 s. Shorter ones flapped in the test with a
	// period of 60 s.
	shareTime = 1500 * clock.Millis(1)
	// gainTime is the time constant of the moving average of the gain. A single observation
	// varies by several tens of percent.
	gainTime = 600 * clock.Millis(1)
	// receiveMargin is the part of the slots below the bound over which the share decreases.
	receiveMargin = 0.15
	// maxStep bounds the time that one update accounts for.
	maxStep = 500 * clock.Millis(1)
)

// Observation is what a gateway sees of the endpoints of one service.
type Observation struct {
	// Home and Away are the milliseconds after which a request is expected to finish in the
	// own domain and in others, network latency included.
	Home, Away float64
	// Price is the price of a request that leaves, in milliseconds.
	Price float64
	// HomeUsable and AwayUsable say whether there is an endpoint that can be used at once.
	HomeUsable, AwayUsable bool
	// ReceiveLoad is the part of the slots in use in the other domains.
	ReceiveLoad float64
}

// Controller sets the share for one service. It is not safe for concurrent use.
type Controller struct {
	// share is between 0 and 1.
	share          float64
	maxReceiveLoad float64
	// gain is the moving average of the part of the finish at home that leaving saves.
	gain      float64
	updatedAt clock.Millis
	isStarted bool
}

// New returns a controller with the share 0. Requests leave as long as the load of the
// other domains is below maxReceiveLoad.
func New(maxReceiveLoad float64) *Controller {
	return &Controller{maxReceiveLoad: maxReceiveLoad}
}

// Share returns the share of the requests that may leave, from 0 to 1.
func (c *Controller) Share() float64 { return c.share }

// Update changes the share by an observation and returns it. The share moves smoothly,
// except that it is 0 at once without a usable endpoint elsewhere and 1 at once without one
// at home.
func (c *Controller) Update(now clock.Millis, seen Observation) float64 {
	elapsed := min(maxStep, max(0, now-c.updatedAt))
	if !c.isStarted {
		elapsed, c.isStarted = 0, true
	}
	c.updatedAt = now
	switch {
	case !seen.AwayUsable:
		c.share, c.gain = 0, 0
	case !seen.HomeUsable:
		c.share = 1
	default:
		c.share += (c.target(seen, elapsed) - c.share) * approach(elapsed, shareTime)
	}
	return c.share
}

// target returns the share towards which an observation moves the controller.
func (c *Controller) target(seen Observation, elapsed clock.Millis) float64 {
	if seen.Home <= 0 {
		return 0
	}
	gain := max(-1, (seen.Home-seen.Away-seen.Price)/seen.Home)
	c.gain += (gain - c.gain) * approach(elapsed, gainTime)
	room := clamp((c.maxReceiveLoad - seen.ReceiveLoad) / receiveMargin)
	return clamp((c.gain-minGain)/(fullGain-minGain)) * room
}

// approach returns the part of the way to a new value that a moving average goes.
func approach(elapsed, constant clock.Millis) float64 {
	return 1 - math.Exp(-float64(elapsed)/float64(constant))
}

func clamp(value float64) float64 { return max(0, min(1, value)) }
