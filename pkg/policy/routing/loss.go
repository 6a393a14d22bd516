package routing

import (
	"math"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// usualMemory is the time constant with which a capacity that is gone for good
	// is forgotten.
	usualMemory = 30 * clock.Minute
	// lossMemory is that with which the bound for starts returns to its usual
	// value once the capacity is back. Dropping it at once refuses the starts that
	// arrive while those from before still wait.
	lossMemory = 3 * clock.Minute
	// fullLoss is the lost share of the capacity at which the bound for starts is
	// lossStartWaitMs: a failure domain in a deployment of up to five.
	fullLoss = 0.2
)

// loss follows how much of the usual capacity is missing.
type loss struct {
	// usual is the highest capacity seen, in calls at a time.
	usual float64
	share float64
	at    clock.Millis
}

// observe takes in the endpoints that may get work and returns the loss as a part
// of fullLoss, at most 1.
func (l *loss) observe(now clock.Millis, endpoints []spool.EndpointView) float64 {
	capacity := 0.0
	for _, e := range endpoints {
		capacity += effectiveWindow(e)
	}
	passed := float64(max(0, now-l.at))
	l.at = max(l.at, now)
	l.usual = max(capacity, l.usual*math.Exp(-passed/float64(usualMemory)))
	l.share = max(1-capacity/l.usual, l.share*math.Exp(-passed/float64(lossMemory)))
	return min(1, l.share/fullLoss)
}
