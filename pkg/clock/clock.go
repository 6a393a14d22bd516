// Package clock provides the project's time type, in milliseconds, and the clocks
// that return it. Code that makes decisions takes the time as an argument, so that
// tests and simulations can run it in virtual time.
package clock

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// Millis is a point in time or a duration in milliseconds, depending on its use. The
// origin of a point in time depends on the clock: System counts from the Unix epoch,
// Boot from the boot of the VM.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration converts m, which must be a duration, for use with the standard library.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// String formats m as a number of milliseconds with its unit.
func (m Millis) String() string { return fmt.Sprintf("%dms", int64(m)) }

// FromDuration converts d and rounds toward zero to whole milliseconds.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock provides the current time.
type Clock interface {
	// Now returns the current time. It never decreases.
	Now() Millis
}

type systemClock struct {
	start time.Time
	base  Millis
}

// System returns a clock that starts at the current wall-clock time and then follows
// the monotonic clock. A later adjustment of the wall clock has no effect, so it cannot
// make a lease expire early. Two calls of System may return clocks that differ.
func System() Clock {
	start := time.Now()
	return systemClock{start: start, base: Millis(start.UnixMilli())}
}

func (c systemClock) Now() Millis { return c.base + FromDuration(time.Since(c.start)) }

// Boot returns a clock that, unlike System, also counts the time for which the VM was
// suspended. The holder of a lease needs this clock when other processes rely on the
// expiry of the lease, because a VM that resumes must notice that its lease has
// expired. Boot returns System where the operating system has no such clock.
func Boot() Clock {
	if _, err := bootTime(); err != nil {
		return System()
	}
	return bootClock{}
}

type bootClock struct{}

func (bootClock) Now() Millis {
	// The error can be ignored, because Boot has checked that bootTime works.
	now, _ := bootTime()
	return now
}

// Manual is a clock that moves only when Advance is called. Tests and
// internal/bench use it. It is safe for concurrent use.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a manual clock whose time is start.
func NewManual(start Millis) *Manual {
	clock := &Manual{}
	clock.now.Store(int64(start))
	return clock
}

// Now returns the current time of the clock.
func (c *Manual) Now() Millis { return Millis(c.now.Load()) }

// Advance moves the clock forward by d and returns the new time. It ignores a
// negative d.
func (c *Manual) Advance(d Millis) Millis {
	if d < 0 {
		return c.Now()
	}
	return Millis(c.now.Add(int64(d)))
}

// Pause waits for the duration wait and returns true. It returns false as soon as ctx
// ends before that. It always uses real time.
func Pause(ctx context.Context, wait Millis) bool {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
