package routing

import (
	"math"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// capacityTimeConstant is the time constant with which the usual capacity
	// decays towards the present one after a permanent loss.
	capacityTimeConstant = 30 * clock.Minute
	// lossTimeConstant is the time constant with which the lost share, and with it
	// the bound on the wait of first calls, returns to normal after the capacity
	// has recovered. If the bound returned at once, first calls that arrive while
	// earlier ones still wait would be refused.
	lossTimeConstant = 3 * clock.Minute
	// fullLossShare is the lost share of the capacity at which the bound on the wait
	// of first calls reaches routing.lossStartWaitMs. It covers the loss of one
	// failure domain in a deployment of up to five.
	fullLossShare = 0.2
)

// capacityLoss tracks the missing share of the usual capacity.
type capacityLoss struct {
	// usualCapacity is the highest capacity seen, in concurrent calls. It decays
	// with capacityTimeConstant.
	usualCapacity float64
	// lostShare is the missing share of usualCapacity, from 0 to 1. It rises at
	// once and falls with lossTimeConstant.
	lostShare  float64
	observedAt clock.Millis
}

// observe updates the loss from all endpoints that are given to the router. It
// returns lostShare divided by fullLossShare, at most 1.
func (l *capacityLoss) observe(now clock.Millis, endpoints []spool.EndpointView) float64 {
	capacity := 0.0
	for _, e := range endpoints {
		capacity += effectiveWindow(e)
	}
	elapsed := float64(max(0, now-l.observedAt))
	l.observedAt = max(l.observedAt, now)
	l.usualCapacity = max(capacity, l.usualCapacity*math.Exp(-elapsed/float64(capacityTimeConstant)))
	l.lostShare = max(1-capacity/l.usualCapacity, l.lostShare*math.Exp(-elapsed/float64(lossTimeConstant)))
	return min(1, l.lostShare/fullLossShare)
}
