// Package throttle limits the start of programs while a service that they use is
// overloaded. A program makes many calls. If the service cannot serve all of them,
// each program that starts delays every other one. The package takes the time as an
// argument and does no input or output.
package throttle

import (
	"math"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

const (
	// windowLength is the time over which the calls of the service are counted.
	windowLength = 250 * clock.Millis(1)
	// minWindowCalls is the smallest number of calls in a window from which an
	// overload is detected.
	minWindowCalls = 4
	// overloadShare is the fraction of calls in a window that must be rejected for
	// the service to count as overloaded. Each call is retried for a while, and
	// most bursts pass within that time.
	overloadShare = 0.6
	// queueDelayThreshold is the delay over the baseline that indicates a queue too
	// long for programs to finish in time, if even the shortest call of a window
	// exceeds it. Calls differ in length, but a queue delays all of them.
	queueDelayThreshold = 120 * clock.Millis(1)
	// baselineWindows is the number of windows after which the baseline, the
	// duration of a call on the idle service, is measured anew.
	baselineWindows = 240
	// decreaseFactor multiplies the share after a window with overload, and
	// increaseStep is added after a window without. The share falls within a second
	// and recovers within some seconds.
	decreaseFactor = 0.85
	increaseStep   = 0.03
	// minShare lets some programs start, so that the end of an overload is noticed.
	minShare = 0.05
)

// Throttle is the state of one service. The lock of its holder protects it.
type Throttle struct {
	// share is the fraction of the most urgent programs that may start, in
	// [minShare,1].
	share float64
	// credit holds the accumulated fraction of a program that may start, by rank;
	// below 1 between calls.
	credit map[int]float64
	// windowStart is the start of the window to which the following counts belong.
	windowStart     clock.Millis
	calls, rejected int
	// shortestCall is the duration of the shortest call in the window.
	shortestCall clock.Millis
	// baseline is the duration of the shortest call in the current and the previous
	// group of baselineWindows windows, and nextBaseline that in the current group.
	baseline, nextBaseline clock.Millis
	windowCount            int
}

// noCallDuration marks a missing duration; it is longer than any call.
const noCallDuration = clock.Hour

// New returns the throttle of a service without overload.
func New(now clock.Millis) *Throttle {
	return &Throttle{share: 1, credit: map[int]float64{}, windowStart: now, shortestCall: noCallDuration, baseline: noCallDuration, nextBaseline: noCallDuration}
}

// Full records a call that was rejected because the service was full.
func (t *Throttle) RecordRejected(now clock.Millis) {
	t.advance(now)
	t.calls++
	t.rejected++
}

// Answered records a call that was answered after duration.
func (t *Throttle) RecordAnswered(now, duration clock.Millis) {
	t.advance(now)
	t.calls++
	t.shortestCall = min(t.shortestCall, duration)
}

// Open reports whether every program may start.
func (t *Throttle) Unlimited(now clock.Millis) bool {
	t.advance(now)
	return t.share >= 1
}

// Admit reports whether a program may start. rank is 0 for the most urgent kind of
// program; higher ranks are limited first.
func (t *Throttle) Admit(now clock.Millis, rank int) bool {
	t.advance(now)
	if t.share >= 1 {
		return true
	}
	t.credit[rank] += math.Pow(t.share, float64(1+max(0, rank)))
	if t.credit[rank] < 1 {
		return false
	}
	t.credit[rank]--
	return true
}

// Share returns the fraction of the most urgent programs that may start.
func (t *Throttle) Share() float64 { return t.share }

// advance closes the windows that are over.
func (t *Throttle) advance(now clock.Millis) {
	for now >= t.windowStart+windowLength {
		t.closeWindow()
		t.windowStart += windowLength
		if t.share >= 1 && now >= t.windowStart+windowLength {
			// Further windows without calls change nothing.
			t.windowStart = now
		}
	}
}

func (t *Throttle) closeWindow() {
	if t.isOverloaded() {
		t.share = max(minShare, t.share*decreaseFactor)
	} else {
		t.share = min(1, t.share+increaseStep)
	}
	t.updateBaseline()
	t.calls, t.rejected, t.shortestCall = 0, 0, noCallDuration
}

func (t *Throttle) isOverloaded() bool {
	if t.calls < minWindowCalls {
		return false
	}
	queueing := t.shortestCall < noCallDuration && t.baseline < noCallDuration && t.shortestCall > t.baseline+queueDelayThreshold
	return queueing || float64(t.rejected) >= overloadShare*float64(t.calls)
}

// updateBaseline updates the duration of the shortest calls on the idle service.
func (t *Throttle) updateBaseline() {
	t.baseline, t.nextBaseline = min(t.baseline, t.shortestCall), min(t.nextBaseline, t.shortestCall)
	if t.windowCount++; t.windowCount >= baselineWindows {
		t.windowCount, t.baseline, t.nextBaseline = 0, t.nextBaseline, noCallDuration
	}
}
