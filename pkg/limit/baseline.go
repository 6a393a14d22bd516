package limit

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
)

// StaticSplit is a baseline: a bucket with an equal part of rate and burst at
// each entry, without any exchange.
type StaticSplit struct {
	bucket bucket
}

// NewStaticSplit returns the bucket of one of entries entries, full at now.
func NewStaticSplit(now clock.Millis, config Config, entries int) *StaticSplit {
	rate, burst := config.Rate/float64(entries), config.Burst/float64(entries)
	return &StaticSplit{bucket{level: burst, rate: rate, limit: burst, at: now}}
}

// Admit takes tokens or refuses.
func (b *StaticSplit) Admit(now clock.Millis, tokens float64) bool {
	b.bucket.refill(max(now, b.bucket.at))
	if wholeTokens(b.bucket.level) < tokens {
		return false
	}
	b.bucket.level -= tokens
	return true
}

// Central is a baseline: one bucket for all entries. It shows what exact limits
// admit; a process that used it would ask one node for every request. The bench
// takes it as the definition of "within rate".
type Central struct {
	StaticSplit
}

// NewCentral returns the bucket of an account, full at now.
func NewCentral(now clock.Millis, config Config) *Central {
	return &Central{*NewStaticSplit(now, config, 1)}
}

// Meter checks the invariant from outside: it finds the interval with the
// largest excess of admissions over rate*t and compares it with the burst.
type Meter struct {
	rate, burst, excess, worst float64
	at                         clock.Millis
}

// NewMeter starts to watch at now.
func NewMeter(now clock.Millis, config Config) *Meter {
	return &Meter{rate: config.Rate, burst: config.Burst, at: now}
}

// SetRate changes the rate from now on.
func (m *Meter) SetRate(now clock.Millis, rate float64) {
	m.Admitted(now, 0)
	m.rate = rate
}

// RaiseBurst allows intervals up to a larger burst.
func (m *Meter) RaiseBurst(burst float64) { m.burst = max(m.burst, burst) }

// Admitted counts admitted tokens in the order of time.
func (m *Meter) Admitted(now clock.Millis, tokens float64) {
	m.excess = max(0, m.excess-m.rate*float64(now-m.at)/float64(clock.Second)) + tokens
	m.at = now
	m.worst = max(m.worst, m.excess)
}

// Over returns by how many tokens the worst interval exceeds the burst; 0 when
// the invariant held.
func (m *Meter) Over() float64 {
	const tolerance = 1e-6
	if m.worst <= m.burst+tolerance {
		return 0
	}
	return m.worst - m.burst
}
