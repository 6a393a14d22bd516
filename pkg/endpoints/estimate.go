package endpoints

import (
	"math"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
)

const (
	// nominalMillis is the time of an answer while no time is known. Only its proportion to
	// the network latency matters.
	nominalMillis = 200.0
	// nominalEvents is the number of events of a stream while none has ended.
	nominalEvents = 4.0
	// eventsWeight is the weight of a new stream in the moving average of their events.
	eventsWeight = 0.02
	// occupationLoss is the part of its speed that an endpoint loses when all its slots are
	// in use.
	occupationLoss = 0.05
	// waitBlur is the width, in requests, over which the expected wait rises from 0. What is
	// known of others is up to 0.4 s old, so an endpoint with one free slot may be full.
	waitBlur = 0.8
	// floorTime is the time constant with which the time without a queue follows a measured
	// time that stays higher.
	floorTime = 3 * clock.Second
	// ownTime is the time constant of the average of the own requests. It is close to the
	// mean age of what is known of others, so that the two belong to the same time.
	ownTime = 300 * clock.Millis(1)
	// newFor is how long an endpoint counts as new: what others have sent to it is not known
	// before the second exchange.
	newFor = 1500 * clock.Millis(1)
	// eventTime is the time constant of the average speed. It is longer than the slow phases
	// of 600 ms that endpoints have at times.
	eventTime = 1500 * clock.Millis(1)
	// queueFactor bounds the measured time of an endpoint with free slots, as a multiple of
	// its time without a queue: the queue that was measured is gone.
	queueFactor = 3.0
)

// speeds are durations in milliseconds, without the wait for a slot; 0 if unknown.
type speeds struct {
	event, first, call float64
}

// estimate is what the policy keeps of an endpoint.
type estimate struct {
	// firstFloor and callFloor follow the lowest measured times, which contain no wait.
	firstFloor, callFloor float64
	// ownAverage is a moving average of the requests of this gateway at the endpoint.
	ownAverage float64
	// eventAverage is a moving average of the time between two events; 0 if it is unknown.
	eventAverage float64
	updatedAt    clock.Millis
	// knownSince is the time of the first update.
	knownSince clock.Millis
	isKnown    bool
}

// update follows the measured times of stats and the requests of this gateway.
func (e *estimate) update(now clock.Millis, stats load.Stats, own int) {
	if !e.isKnown {
		e.isKnown, e.knownSince = true, now
	}
	elapsed := float64(max(0, now-e.updatedAt))
	if elapsed == 0 && e.updatedAt != 0 {
		return
	}
	part := 1 - math.Exp(-elapsed/float64(floorTime))
	e.ownAverage += (float64(own) - e.ownAverage) * (1 - math.Exp(-elapsed/float64(ownTime)))
	e.updatedAt = now
	switch {
	case stats.EventMillis <= 0:
	case e.eventAverage <= 0:
		e.eventAverage = stats.EventMillis
	default:
		e.eventAverage += (stats.EventMillis - e.eventAverage) * (1 - math.Exp(-elapsed/float64(eventTime)))
	}
	e.firstFloor = followLow(e.firstFloor, stats.FirstEventMillis, part)
	e.callFloor = followLow(e.callFloor, stats.CallMillis, part)
}

// followLow returns the next value of a floor: value if it is lower, and a part of the way to
// it otherwise.
func followLow(floor, value, part float64) float64 {
	switch {
	case value <= 0:
		return floor
	case floor <= 0 || value < floor:
		return value
	default:
		return floor + (value-floor)*part
	}
}

// blend returns a measured value, closer to the usual one the less recent results there are.
// An endpoint that was slow and got no requests since is thus tried again.
func blend(value, usual, recent float64) float64 {
	if value <= 0 {
		return usual
	}
	if usual <= 0 {
		return value
	}
	weight := min(1, max(0, recent))
	return value*weight + usual*(1-weight)
}

// speedsOf returns the speeds of an endpoint, with those of the service for what is unknown.
// hasQueue says that all its slots are in use: then the measured times contain the wait, which
// is counted apart, and the floors are used.
func (s *serviceState) speedsOf(endpoint *Endpoint, stats load.Stats, hasQueue bool) speeds {
	recent := stats.Good + stats.Failed
	first, call := stats.FirstEventMillis, stats.CallMillis
	if first > 0 {
		first = withoutQueue(first, endpoint.estimate.firstFloor, hasQueue)
	}
	if call > 0 {
		call = withoutQueue(call, endpoint.estimate.callFloor, hasQueue)
	}
	return speeds{
		event: blend(stats.EventMillis, s.usual.event, recent),
		first: blend(first, s.usual.first, recent),
		call:  blend(call, s.usual.call, recent),
	}
}

func withoutQueue(measured, floor float64, hasQueue bool) float64 {
	if floor <= 0 {
		return measured
	}
	if hasQueue {
		return floor
	}
	return min(measured, queueFactor*floor)
}

// serviceMillis returns the time of the request at an endpoint of these speeds that runs
// nothing else.
func (s *serviceState) serviceMillis(want PickRequest, speed speeds) float64 {
	if !want.IsStream {
		if speed.call > 0 {
			return speed.call
		}
		return nominalMillis
	}
	events := want.Events
	if events <= 0 {
		events = s.events
	}
	if total := speed.first + max(0, events-1)*speed.event; total > 0 {
		return total
	}
	return nominalMillis
}

// inFlight returns the expected number of requests at an endpoint. What others have there is
// known late. The gateways that use the endpoint most decide as this one does, so the
// deviation of the own requests from their average counts for them, too: without that, all of
// them send to the endpoint that was empty at the last exchange.
func (e *estimate) inFlight(own int, others, followers float64) float64 {
	return max(float64(own), float64(own)+others+followers*(float64(own)-e.ownAverage))
}

// assumedOthers returns the requests of other gateways at an endpoint. Of a new one, these are
// at first as many as usual, so that not all gateways send to it at once.
func (e *estimate) assumedOthers(now clock.Millis, others int, usual float64) float64 {
	age := min(1, float64(now-e.knownSince)/float64(newFor))
	return max(float64(others), usual*(1-age))
}

// waitMillis returns the expected wait for a slot at an endpoint with the given requests in
// flight: 0 with free slots, and the excess over the slots divided by their number in service
// times without. It rises smoothly between the two.
func waitMillis(inFlight float64, slots int, service float64) float64 {
	excess := inFlight - float64(slots) + 1
	if excess > 8*waitBlur {
		return excess / float64(slots) * service
	}
	return waitBlur * math.Log1p(math.Exp(excess/waitBlur-1)) / float64(slots) * service
}

// median returns the median of the values, which it sorts; 0 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// expectedLeast returns the expected least of count values that are drawn from values, which
// it sorts.
func expectedLeast(values []float64, count int) (result float64) {
	slices.Sort(values)
	n := float64(len(values))
	above := 1.0
	for i, value := range values {
		next := math.Pow(1-float64(i+1)/n, float64(count))
		result += value * (above - next)
		above = next
	}
	return result
}
