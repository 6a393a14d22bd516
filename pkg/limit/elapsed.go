package limit

import "github.com/baobabspool/baobabspool/pkg/clock"

// elapsedBounds bounds the time that has passed in a process whose clock may step
// and which may be paused. Both bounds start at 0. lower is at most the true
// elapsed time and is used for refills and waits. upper is at least the true
// elapsed time and is used for the ends of leases and of authority. A step of the
// clock is detected only if it is backward and longer than the time since the
// previous call of advance, or if it makes the gap longer than maxGap. clock.System
// does not step.
type elapsedBounds struct {
	// lastInputAt is the time of the previous call of advance, by the clock of the
	// process.
	lastInputAt clock.Millis
	// started is false until the first call of advance.
	started bool
	// maxGap is the longest gap between two calls of advance that is added to
	// lower.
	maxGap       clock.Millis
	lower, upper clock.Millis
}

// forever is added to upper after a backward step of the clock. It is longer than
// any lease or authority, so that all of them end.
const forever = 24 * clock.Hour

// advance updates both bounds. now is the time by the clock of the process.
func (e *elapsedBounds) advance(now clock.Millis) {
	if !e.started {
		e.lastInputAt, e.started = now, true
		return
	}
	gap := now - e.lastInputAt
	e.lastInputAt = now
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

// deadline converts instant, a time by the clock of the process, to a time on
// upper. The result is at most bound after the current value of upper. now must be
// the time of the last call of advance.
func (e *elapsedBounds) deadline(now, instant, bound clock.Millis) clock.Millis {
	return e.upper + min(instant-now, bound)
}

// bucket is a token bucket. Its times are values of elapsedBounds.lower, or of the
// plain clock in the baselines and in StartLimiter. rate is in tokens per second;
// level and capacity are in tokens.
type bucket struct {
	level, rate, capacity float64
	refilledAt            clock.Millis
}

func (b *bucket) refill(at clock.Millis) {
	b.level = min(b.capacity, b.level+b.rate*float64(at-b.refilledAt)/float64(clock.Second))
	b.refilledAt = at
}

// resize sets the rate and the capacity, and lowers the level to the capacity if it
// is higher. The caller must first refill the bucket at the old rate.
func (b *bucket) resize(rate, capacity float64) {
	b.rate, b.capacity = rate, capacity
	b.level = min(b.level, capacity)
}
