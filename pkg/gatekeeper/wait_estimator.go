package gatekeeper

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// serviceTimeSampleWeight is the weight of the latest call in the moving average
	// of the service time.
	serviceTimeSampleWeight = 0.1
	// firstCallIntervalSampleWeight is the weight of the latest interval in the
	// moving average of the time between the starts of two first calls.
	firstCallIntervalSampleWeight = 0.2
)

// WaitEstimator estimates how long calls wait for an endpoint, from the rates at
// which the endpoint has served earlier calls. The first call of a program waits
// behind later calls of all programs, some of which have not arrived yet. Its wait
// is therefore estimated from the rate at which first calls are served, not from
// the rate of all calls. The caller must report every call to Pushed and Popped,
// and every completed call to Ended.
type WaitEstimator struct {
	// meanServiceTime is the moving average of the service time in milliseconds.
	meanServiceTime float64
	// meanFirstCallInterval is the moving average, in milliseconds, of the
	// intervals between the starts of two first calls. Time in which no first call
	// waits is not part of an interval. It is 0 before the first start.
	meanFirstCallInterval float64
	// firstCalls counts the waiting first calls.
	firstCalls int
	// intervalStartedAt is the start of the current interval. An interval begins
	// when a first call starts to run, and begins anew when a first call arrives
	// while no other waits.
	intervalStartedAt clock.Millis
}

// NewWaitEstimator returns an estimator whose mean service time starts at
// initialServiceTime milliseconds.
func NewWaitEstimator(initialServiceTime float64) WaitEstimator {
	return WaitEstimator{meanServiceTime: initialServiceTime}
}

// Pushed records that a call has entered the queue. Only first calls change the
// estimate.
func (e *WaitEstimator) Pushed(now clock.Millis, call spool.CallView) {
	if !call.IsFirst() {
		return
	}
	if e.firstCalls == 0 {
		e.intervalStartedAt = now
	}
	e.firstCalls++
}

// Popped records that a call has left the queue. served is true if the call starts
// to run, and false if it was refused or cancelled. Only first calls change the
// estimate.
func (e *WaitEstimator) Popped(now clock.Millis, call spool.CallView, served bool) {
	if !call.IsFirst() {
		return
	}
	e.firstCalls--
	if served {
		e.meanFirstCallInterval += firstCallIntervalSampleWeight * (float64(now-e.intervalStartedAt) - e.meanFirstCallInterval)
		e.intervalStartedAt = now
	}
}

// Ended adds the service time of a completed call, in milliseconds, to the average.
func (e *WaitEstimator) Ended(serviceTime float64) {
	e.meanServiceTime += serviceTimeSampleWeight * (serviceTime - e.meanServiceTime)
}

// MillisPerCall returns the moving average of the service time in milliseconds.
func (e *WaitEstimator) MillisPerCall() float64 { return e.meanServiceTime }

// FirstCalls returns the number of waiting first calls.
func (e *WaitEstimator) FirstCalls() int { return e.firstCalls }

// DrainTime estimates how long an endpoint needs to complete the given number of
// calls if it runs window calls at a time. It returns 0 for no calls, otherwise at
// least 1 ms.
func (e *WaitEstimator) DrainTime(calls, window int) clock.Millis {
	if calls <= 0 {
		return 0
	}
	return max(clock.Millis(e.meanServiceTime*float64(calls)/float64(max(window, 1))), 1)
}

// Wait estimates how long a call that arrives now would wait. ahead counts the
// waiting calls that are served before it, running the running calls, and window
// the calls that may run at the same time.
func (e *WaitEstimator) Wait(now clock.Millis, call spool.CallView, ahead, running, window int) clock.Millis {
	wait := e.DrainTime(running+ahead+1-window, window)
	if !call.IsFirst() || e.firstCalls == 0 {
		return wait
	}
	interval := max(e.meanFirstCallInterval, float64(now-e.intervalStartedAt))
	return max(wait, clock.Millis(interval*float64(e.firstCalls+1)))
}
