package limit

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
)

// StaticSplit is a baseline for comparison: it divides rate and burst evenly among
// the entries. Each entry has its own bucket, and no tokens move between entries.
type StaticSplit struct {
	bucket bucket
}

// NewStaticSplit returns the bucket of one entry, where entries is the number of
// entries among which config is divided. The bucket is full at now.
func NewStaticSplit(now clock.Millis, config Config, entries int) *StaticSplit {
	rate, burst := config.Rate/float64(entries), config.Burst/float64(entries)
	return &StaticSplit{bucket{level: burst, rate: rate, capacity: burst, refilledAt: now}}
}

// Admit takes the tokens and returns true if the bucket has enough; otherwise it
// takes none.
func (b *StaticSplit) Admit(now clock.Millis, tokens float64) bool {
	b.bucket.refill(max(now, b.bucket.refilledAt))
	if wholeTokens(b.bucket.level) < tokens {
		return false
	}
	b.bucket.level -= tokens
	return true
}

// Central is a baseline with one bucket for all entries. It shows how many requests
// an exact enforcement of the limits admits. internal/bench counts a request as
// within the rate if Central admits it. In production, such a bucket would cost a
// call to one node for every request.
type Central struct {
	StaticSplit
}

// NewCentral returns the bucket for the whole limits of an account, full at now.
func NewCentral(now clock.Millis, config Config) *Central {
	return &Central{*NewStaticSplit(now, config, 1)}
}

// Meter checks the bound of the package: in every interval of length t, at most
// burst + rate*t tokens are admitted. It is told of each admission and tracks the
// largest value of admissions - rate*t over all intervals.
type Meter struct {
	// rate is in tokens per second, burst in tokens. excess is the largest value of
	// admissions - rate*t, in tokens, over the intervals that end at updatedAt;
	// maxExcess is the largest excess so far.
	rate, burst, excess, maxExcess float64
	updatedAt                      clock.Millis
}

// NewMeter returns a meter that checks the intervals that begin at now or later.
func NewMeter(now clock.Millis, config Config) *Meter {
	return &Meter{rate: config.Rate, burst: config.Burst, updatedAt: now}
}

// SetRate sets the rate, in tokens per second, for the time after now.
func (m *Meter) SetRate(now clock.Millis, rate float64) {
	m.Admitted(now, 0)
	m.rate = rate
}

// RaiseBurst sets the burst, in tokens, for all intervals; a value below the
// current burst has no effect.
func (m *Meter) RaiseBurst(burst float64) { m.burst = max(m.burst, burst) }

// Admitted records that tokens were admitted at now. now must not decrease from
// call to call.
func (m *Meter) Admitted(now clock.Millis, tokens float64) {
	m.excess = max(0, m.excess-m.rate*float64(now-m.updatedAt)/float64(clock.Second)) + tokens
	m.updatedAt = now
	m.maxExcess = max(m.maxExcess, m.excess)
}

// Excess returns by how many tokens the admissions exceeded burst + rate*t in the
// worst interval; 0 if they never did. A difference of at most 1e-6 tokens is
// treated as a rounding error.
func (m *Meter) Excess() float64 {
	const tolerance = 1e-6
	if m.maxExcess <= m.burst+tolerance {
		return 0
	}
	return m.maxExcess - m.burst
}
