package caller

import "time"

// Arrivals are the times at which the pieces of one answer came.
type Arrivals struct {
	startedAt time.Time
	chunks    []time.Time
}

// NewArrivals starts the clock of a call.
func NewArrivals() *Arrivals { return &Arrivals{startedAt: time.Now()} }

// Add notes a piece.
func (a *Arrivals) Add() { a.chunks = append(a.chunks, time.Now()) }

// First returns the time to the first piece; 0 when there was none.
func (a *Arrivals) First() time.Duration {
	if len(a.chunks) == 0 {
		return 0
	}
	return a.chunks[0].Sub(a.startedAt)
}

// Gaps returns the times between two pieces.
func (a *Arrivals) Gaps() (gaps []time.Duration) {
	for i := 1; i < len(a.chunks); i++ {
		gaps = append(gaps, a.chunks[i].Sub(a.chunks[i-1]))
	}
	return gaps
}
