package load

import (
	"math"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

const (
	// speedHalfLife is the time in which the weight of a sample in a recent speed halves.
	// Slow phases of endpoints last 600 ms, and a speed that changed must show within
	// 500 ms of the first late answer.
	speedHalfLife = 300 * clock.Millis(1)
	// usualHalfLife is the same for the usual speed of an instance, which tells fast
	// instances from slow ones while there are no recent samples.
	usualHalfLife = 10 * clock.Second
	// countHalfLife is the time in which a counted event counts half. Its mean lifetime is
	// 2 s.
	countHalfLife = 1386 * clock.Millis(1)
	// rateHalfLife is the same for the rates of a service. It is shorter, since a burst must
	// show before the programs that begin in it fill the queues. rateLifetime is the mean
	// lifetime in seconds: a steady rate is the count divided by it.
	rateHalfLife = 693 * clock.Millis(1)
	rateLifetime = 1.0
	// minWeight is the weight below which a recent speed is treated as unknown. A single
	// sample reaches it after 600 ms.
	minWeight = 0.25
	// minPeers is the number of instances from which on a median is meaningful.
	minPeers = 3
)

// decay returns the factor by which elapsed time reduces a weight. Time that runs backwards
// has no effect.
func decay(elapsed, halfLife clock.Millis) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

// average is a mean whose samples lose weight with time. The weighted mean of the averages
// of several gateways is the average of all their samples.
type average struct {
	mean, weight float64
	at           clock.Millis
}

func (a *average) add(now clock.Millis, value float64, halfLife clock.Millis) {
	weight := a.weight*decay(now-a.at, halfLife) + 1
	a.mean += (value - a.mean) / weight
	a.weight, a.at = weight, max(now, a.at)
}

// reading returns the average at now.
func (a *average) reading(now, halfLife clock.Millis) reading {
	return reading{mean: a.mean, weight: a.weight * decay(now-a.at, halfLife)}
}

// reading is an average at one time.
type reading struct{ mean, weight float64 }

// recent returns the mean, or 0 if it has too little weight.
func (r reading) recent() float64 {
	if r.weight < minWeight {
		return 0
	}
	return r.mean
}

// combine returns the average of the samples of both readings.
func (r reading) combine(other reading) reading {
	weight := r.weight + other.weight
	if weight <= 0 {
		return reading{}
	}
	return reading{mean: (r.mean*r.weight + other.mean*other.weight) / weight, weight: weight}
}

// count is a number of events that count less with time.
type count struct {
	value float64
	at    clock.Millis
}

func (c *count) add(now clock.Millis) {
	c.value = c.valueAt(now) + 1
	c.at = max(now, c.at)
}

func (c *count) valueAt(now clock.Millis) float64 { return c.value * decay(now-c.at, countHalfLife) }

// rate is a count from which the rate of events is computed.
type rate struct {
	value float64
	at    clock.Millis
}

func (r *rate) add(now clock.Millis, amount float64) {
	r.value = r.valueAt(now) + amount
	r.at = max(now, r.at)
}

func (r *rate) valueAt(now clock.Millis) float64 { return r.value * decay(now-r.at, rateHalfLife) }

// minimum is the least value of the last 5 to 10 s.
type minimum struct {
	current, previous float64
	since             clock.Millis
}

// minimumPeriod is the time after which the current least value becomes the previous one.
const minimumPeriod = 5 * clock.Second

func (m *minimum) add(now clock.Millis, value float64) {
	if now-m.since >= minimumPeriod {
		if now-m.since >= 2*minimumPeriod {
			m.current = 0
		}
		m.previous, m.current, m.since = m.current, 0, now
	}
	m.current = lesser(m.current, value)
}

func (m *minimum) value() float64 { return lesser(m.current, m.previous) }

// lesser returns the lesser of two values of which 0 means unknown.
func lesser(a, b float64) float64 {
	if a == 0 || b == 0 {
		return a + b
	}
	return min(a, b)
}

// median returns the median of values, or 0 if they are fewer than minPeers. It sorts them.
func median(values []float64) float64 {
	if len(values) < minPeers {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
