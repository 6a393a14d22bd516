package limit

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
)

// StaticSplit is a baseline that divides rate and burst evenly among the entries,
// each with its own bucket, without any exchange of tokens.
type StaticSplit struct {
	bucket bucket
}

// NewStaticSplit returns the bucket of one of the given number of entries, full at
// now.
func NewStaticSplit(now clock.Millis, config Config, entries int) *StaticSplit {
	rate, burst := config.Rate/float64(entries), config.Burst/float64(entries)
	return &StaticSplit{bucket{level: burst, rate: rate, capacity: burst, refilledAt: now}}
}

// Admit takes the tokens and reports whether there were enough.
func (b *StaticSplit) Admit(now clock.Millis, tokens float64) bool {
	b.bucket.refill(max(now, b.bucket.refilledAt))
	if wholeTokens(b.bucket.level) < tokens {
		return false
	}
	b.bucket.level -= tokens
	return true
}

// Central is a baseline with one bucket for all entries. It shows how much exact
// limits admit, and internal/bench uses it to define which requests are within the
// rate. In production it would cost a call to one node for every request.
type Central struct {
	StaticSplit
}

// NewCentral returns the bucket of an account, full at now.
func NewCentral(now clock.Millis, config Config) *Central {
	return &Central{*NewStaticSplit(now, config, 1)}
}

// Meter checks the invariant from observed admissions: it tracks the largest excess
// of admissions over rate*t in any interval and compares it with the burst.
type Meter struct {
	rate, burst, excess, maxExcess float64
	updatedAt                      clock.Millis
}

// NewMeter returns a meter that starts at now.
func NewMeter(now clock.Millis, config Config) *Meter {
	return &Meter{rate: config.Rate, burst: config.Burst, updatedAt: now}
}

// SetRate changes the rate from now on.
func (m *Meter) SetRate(now clock.Millis, rate float64) {
	m.Admitted(now, 0)
	m.rate = rate
}

// RaiseBurst raises the allowed burst; a lower value has no effect.
func (m *Meter) RaiseBurst(burst float64) { m.burst = max(m.burst, burst) }

// Admitted records admitted tokens. Calls must be in the order of time.
func (m *Meter) Admitted(now clock.Millis, tokens float64) {
	m.excess = max(0, m.excess-m.rate*float64(now-m.updatedAt)/float64(clock.Second)) + tokens
	m.updatedAt = now
	m.maxExcess = max(m.maxExcess, m.excess)
}

// Over returns the number of tokens by which the worst interval exceeds the burst;
// 0 if the invariant held.
func (m *Meter) Excess() float64 {
	const tolerance = 1e-6
	if m.maxExcess <= m.burst+tolerance {
		return 0
	}
	return m.maxExcess - m.burst
}
