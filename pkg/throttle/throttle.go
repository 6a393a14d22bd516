// Package throttle limits how many programs begin while a service that they use has no
// room. A program takes many calls; when the service cannot serve all of them, programs
// that begin make every other one late. It takes the time as an argument and does no
// input or output.
package throttle

import (
	"math"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

const (
	// window is the time over which the calls of the service are counted.
	window = 250 * clock.Millis(1)
	// minCalls is the least number of calls in a window that says something of it.
	minCalls = 4
	// fullShare is the part of the calls of a window that find no room while the service
	// is overloaded. Each call is offered again for a while, and most bursts pass so.
	fullShare = 0.6
	// standing is the time by which even the shortest call of a window takes longer than
	// on the idle service, while the line is too long for programs to finish in time.
	// Calls differ in length; a line delays all of them.
	standing = 120 * clock.Millis(1)
	// idleWindows is the number of windows after which the time that calls take on the
	// idle service is found anew.
	idleWindows = 240
	// decrease is the factor of the share for a window with overload, increase the step
	// for one without: the share falls within a second and returns within some seconds.
	decrease = 0.85
	increase = 0.03
	// minShare lets some programs begin, so that the end of an overload is noticed.
	minShare = 0.05
)

// Throttle is the state of one service. It is used under its holder's lock.
type Throttle struct {
	// share is the part of the most urgent programs that may begin, in [minShare,1].
	share float64
	// credit holds, by rank, the part of a program that may begin; below 1.
	credit map[int]float64
	// began is the start of the window that the counts below are for.
	began       clock.Millis
	calls, full int
	// shortest is the time of the shortest call in the window.
	shortest clock.Millis
	// idle is the time of the shortest call of the last idleWindows, and next that of
	// the windows that will replace them.
	idle, next clock.Millis
	windows    int
}

// never is longer than any call.
const never = clock.Hour

// New returns the throttle of a service that has room.
func New(now clock.Millis) *Throttle {
	return &Throttle{share: 1, credit: map[int]float64{}, began: now, shortest: never, idle: never, next: never}
}

// Full counts a call that found no room.
func (t *Throttle) Full(now clock.Millis) {
	t.advance(now)
	t.calls++
	t.full++
}

// Answered counts a call that was answered after a time.
func (t *Throttle) Answered(now, took clock.Millis) {
	t.advance(now)
	t.calls++
	t.shortest = min(t.shortest, took)
}

// Open reports whether every program may begin.
func (t *Throttle) Open(now clock.Millis) bool {
	t.advance(now)
	return t.share >= 1
}

// Admit reports whether a program may begin. rank is 0 for the most urgent kind of
// program; those of a higher rank give way first.
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

// Share returns the part of the most urgent programs that may begin.
func (t *Throttle) Share() float64 { return t.share }

// advance ends the windows that are over.
func (t *Throttle) advance(now clock.Millis) {
	for now >= t.began+window {
		t.close()
		t.began += window
		if t.share >= 1 && now >= t.began+window {
			// Nothing changes in further windows without calls.
			t.began = now
		}
	}
}

func (t *Throttle) close() {
	if t.overloaded() {
		t.share = max(minShare, t.share*decrease)
	} else {
		t.share = min(1, t.share+increase)
	}
	t.learn()
	t.calls, t.full, t.shortest = 0, 0, never
}

func (t *Throttle) overloaded() bool {
	if t.calls < minCalls {
		return false
	}
	inLine := t.shortest < never && t.idle < never && t.shortest > t.idle+standing
	return inLine || float64(t.full) >= fullShare*float64(t.calls)
}

// learn finds what the shortest calls take on the idle service.
func (t *Throttle) learn() {
	t.idle, t.next = min(t.idle, t.shortest), min(t.next, t.shortest)
	if t.windows++; t.windows >= idleWindows {
		t.windows, t.idle, t.next = 0, t.next, never
	}
}
