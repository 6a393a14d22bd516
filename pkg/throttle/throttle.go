// Package throttle limits the start of programs while a service that they call is
// overloaded. A program makes many calls, so each program that starts at an
// overloaded service delays all others. The package takes the time as an argument
// and does no input or output.
package throttle

import (
	"math"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

const (
	// windowLength is the length of the windows of time over which calls are
	// counted.
	windowLength = 250 * clock.Millis(1)
	// minWindowCalls is the smallest number of calls in a window with which the
	// window can be overloaded.
	minWindowCalls = 4
	// overloadShare is the fraction of the calls in a window that must be rejected
	// for the window to be overloaded. It is high because callers retry each call
	// for a while, and most bursts pass within that time.
	overloadShare = 0.6
	// queueDelayThreshold is the delay above which a queue is too long for programs
	// to finish in time. A window is overloaded if even its shortest call takes
	// longer than the baseline by more than this. The shortest call is compared
	// because calls differ in length, but a queue delays all of them.
	queueDelayThreshold = 120 * clock.Millis(1)
	// baselineWindows is the number of windows, 60 s in total, after which the
	// measurement of the baseline starts again. The baseline is the duration of the
	// shortest recent call, an estimate of that on an idle service.
	baselineWindows = 240
	// decreaseFactor multiplies Throttle.share after an overloaded window, and
	// increaseStep is added to it after any other. The share halves in about 1 s
	// and recovers from minShare to 1 in 8 s.
	decreaseFactor = 0.85
	increaseStep   = 0.03
	// minShare is the smallest share. It is above 0 because only programs that
	// start show that an overload has ended.
	minShare = 0.05
)

// Throttle limits the program starts at one service. It is not safe for concurrent
// use.
type Throttle struct {
	// share is the fraction of the programs of rank 0 that may start, in
	// [minShare,1].
	share float64
	// credit is the sum of the fractions that Admit has added for each rank, less 1
	// for each program that it admitted. It is below 1 between calls.
	credit map[int]float64
	// windowStart is the start of the current window. calls is the number of calls
	// in it that were answered or rejected, and rejected is the number of the
	// rejected ones.
	windowStart     clock.Millis
	calls, rejected int
	// shortestCall is the duration of the shortest answered call in the window;
	// noCallDuration if there is none.
	shortestCall clock.Millis
	// baseline is the duration of the shortest answered call in the current and the
	// previous group of baselineWindows windows, and nextBaseline that in the
	// current group alone. windowCount is the number of closed windows of the
	// current group.
	baseline, nextBaseline clock.Millis
	windowCount            int
}

// noCallDuration is the value of a duration if no call was answered; it is longer
// than any call.
const noCallDuration = clock.Hour

// New returns the throttle of a service that is not overloaded; every program may
// start.
func New(now clock.Millis) *Throttle {
	return &Throttle{share: 1, credit: map[int]float64{}, windowStart: now, shortestCall: noCallDuration, baseline: noCallDuration, nextBaseline: noCallDuration}
}

// RecordRejected records a call that the service rejected at now because it was
// full.
func (t *Throttle) RecordRejected(now clock.Millis) {
	t.advance(now)
	t.calls++
	t.rejected++
}

// RecordAnswered records a call that the service answered at now, after duration.
func (t *Throttle) RecordAnswered(now, duration clock.Millis) {
	t.advance(now)
	t.calls++
	t.shortestCall = min(t.shortestCall, duration)
}

// Unlimited reports whether every program may start.
func (t *Throttle) Unlimited(now clock.Millis) bool {
	t.advance(now)
	return t.share >= 1
}

// Admit reports whether a program may start. rank is 0 for the most urgent
// programs; of the programs of a rank, the fraction share^(1+rank) may start.
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

// Share returns the fraction of the programs of rank 0 that may start, in [0.05,1].
func (t *Throttle) Share() float64 { return t.share }

// advance closes the windows that have ended.
func (t *Throttle) advance(now clock.Millis) {
	for now >= t.windowStart+windowLength {
		t.closeWindow()
		t.windowStart += windowLength
		if t.share >= 1 && now >= t.windowStart+windowLength {
			// At a share of 1, windows without calls do not change the share, so
			// they are skipped.
			t.windowStart = now
		}
	}
}

// closeWindow adjusts share and baseline to the calls of the current window and
// resets the counts.
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

// updateBaseline includes the shortest call of the window in the baseline. After
// baselineWindows windows, the calls of the group before the last one are dropped
// from it.
func (t *Throttle) updateBaseline() {
	t.baseline, t.nextBaseline = min(t.baseline, t.shortestCall), min(t.nextBaseline, t.shortestCall)
	if t.windowCount++; t.windowCount >= baselineWindows {
		t.windowCount, t.baseline, t.nextBaseline = 0, t.nextBaseline, noCallDuration
	}
}
