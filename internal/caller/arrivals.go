package caller

import "time"

// Arrivals are the times at which the pieces of one answer came.
type Arrivals struct {
	since  time.Time
	pieces []time.Time
}

// NewArrivals starts the clock of a call.
func NewArrivals() *Arrivals { return &Arrivals{since: time.Now()} }

// Add notes a piece.
func (a *Arrivals) Add() { a.pieces = append(a.pieces, time.Now()) }

// First returns the time to the first piece; 0 when there was none.
func (a *Arrivals) First() time.Duration {
	if len(a.pieces) == 0 {
		return 0
	}
	return a.pieces[0].Sub(a.since)
}

// Gaps returns the times between two pieces.
func (a *Arrivals) Gaps() (gaps []time.Duration) {
	for i := 1; i < len(a.pieces); i++ {
		gaps = append(gaps, a.pieces[i].Sub(a.pieces[i-1]))
	}
	return gaps
}
