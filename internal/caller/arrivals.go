package caller

import "time"

// Arrivals records the times at which the chunks of one answer arrived.
type Arrivals struct {
	startedAt time.Time
	chunks    []time.Time
}

// NewArrivals returns an Arrivals for a call that starts now.
func NewArrivals() *Arrivals { return &Arrivals{startedAt: time.Now()} }

// Record records the arrival of a chunk.
func (a *Arrivals) Record() { a.chunks = append(a.chunks, time.Now()) }

// First returns the time to the first chunk, or 0 when there was none.
func (a *Arrivals) First() time.Duration {
	if len(a.chunks) == 0 {
		return 0
	}
	return a.chunks[0].Sub(a.startedAt)
}

// Gaps returns the times between consecutive chunks.
func (a *Arrivals) Gaps() (gaps []time.Duration) {
	for i := 1; i < len(a.chunks); i++ {
		gaps = append(gaps, a.chunks[i].Sub(a.chunks[i-1]))
	}
	return gaps
}
