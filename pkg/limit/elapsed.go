package limit

import "github.com/baobabspool/baobabspool/pkg/clock"

// elapsed bounds the time that has passed at a process whose clock may step and
// which may be paused. least is never more than the true time and is used for
// refills and waits; most is never less and is used for leases and authority.
// A step that is smaller than the time since the last input cannot be told from
// a different length of that time; clock.System does not step.
type elapsed struct {
	last        clock.Millis
	started     bool
	maxGap      clock.Millis
	least, most clock.Millis
}

// forever is longer than any lease or authority.
const forever = 24 * clock.Hour

func (e *elapsed) advance(now clock.Millis) {
	if !e.started {
		e.last, e.started = now, true
		return
	}
	gap := now - e.last
	e.last = now
	switch {
	case gap < 0:
		e.most += forever
	case gap > e.maxGap:
		e.most += gap
	default:
		e.least += gap
		e.most += gap
	}
}

// until converts an instant of the process's clock that lies at most bound ahead
// to an instant of most.
func (e *elapsed) until(now, instant, bound clock.Millis) clock.Millis {
	return e.most + min(instant-now, bound)
}

// bucket is a token bucket on the time least.
type bucket struct {
	level, rate, limit float64
	at                 clock.Millis
}

func (b *bucket) refill(at clock.Millis) {
	b.level = min(b.limit, b.level+b.rate*float64(at-b.at)/float64(clock.Second))
	b.at = at
}

// reshape changes rate and limit; call refill before.
func (b *bucket) reshape(rate, limit float64) {
	b.rate, b.limit = rate, limit
	b.level = min(b.level, limit)
}
