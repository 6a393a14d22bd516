package limit

import "github.com/baobabspool/baobabspool/pkg/clock"

// elapsedBounds bounds the time that has passed at a process whose clock may step
// and which may be paused. lower never exceeds the true time and is used for
// refills and waits. upper is never below the true time and is used for leases and
// authority. A clock step that is smaller than the time since the last input is not
// detected; clock.System does not step.
type elapsedBounds struct {
	lastInput    clock.Millis
	started      bool
	maxGap       clock.Millis
	lower, upper clock.Millis
}

// forever is longer than any lease or authority.
const forever = 24 * clock.Hour

func (e *elapsedBounds) advance(now clock.Millis) {
	if !e.started {
		e.lastInput, e.started = now, true
		return
	}
	gap := now - e.lastInput
	e.lastInput = now
	switch {
	case gap < 0:
		e.upper += forever
	case gap > e.maxGap:
		e.upper += gap
	default:
		e.lower += gap
		e.upper += gap
	}
}

// deadline converts an instant of the process's clock to an instant on upper, which
// is at most bound after the current one.
func (e *elapsedBounds) deadline(now, instant, bound clock.Millis) clock.Millis {
	return e.upper + min(instant-now, bound)
}

// bucket is a token bucket that runs on elapsedBounds.lower, or on the plain clock
// in the baselines. rate is in tokens per second; level and capacity are in tokens.
type bucket struct {
	level, rate, capacity float64
	refilledAt            clock.Millis
}

func (b *bucket) refill(at clock.Millis) {
	b.level = min(b.capacity, b.level+b.rate*float64(at-b.refilledAt)/float64(clock.Second))
	b.refilledAt = at
}

// resize changes the rate and the capacity. The caller must refill the bucket
// first.
func (b *bucket) resize(rate, capacity float64) {
	b.rate, b.capacity = rate, capacity
	b.level = min(b.level, capacity)
}
