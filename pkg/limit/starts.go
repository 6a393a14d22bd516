package limit

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Start is a program that wants to begin.
type Start struct {
	Program spool.ProgramID
	// Requests is what the program is expected to take of the account's rate.
	Requests float64
	// FinishIn is the time in which its caller wants it finished; 0 when not known.
	FinishIn clock.Millis
}

const (
	// startsAhead is the time for which the rate is saved up for programs that begin,
	// in seconds.
	startsAhead = 0.5
	// startsReserve is the part of the pool that is kept for programs under way.
	startsReserve = 0.25
	// lateAfter is the part of FinishIn after which a program that was turned away is
	// unlikely to finish in time.
	lateAfter = 0.3
	// startMemory is how long a program that asked is remembered.
	startMemory = 10 * clock.Second
	// minStartRetry spaces the tries of a program, which its caller makes a few times
	// only.
	minStartRetry = 200 * clock.Millis(1)
)

// Starts decides which programs of an account begin while the account sends more
// than its rate. Each program that begins takes what it is expected to need from a
// bucket that fills at the rate, and may leave a debt: what is admitted is then served
// whole, where tokens by the request leave each program with a part. A program that
// has waited so long that it cannot finish in time gives way to one that can.
type Starts struct {
	bucket bucket
	// seen holds the programs that asked lately.
	seen map[spool.ProgramID]*startTry
	// sweptAt is when the programs that are not remembered any more were dropped.
	sweptAt clock.Millis
}

type startTry struct {
	// at is the first try, and finishIn what it said.
	at       clock.Millis
	finishIn clock.Millis
	last     clock.Millis
	admitted bool
}

// NewStarts returns the decision for an account with a rate in requests per second.
func NewStarts(rate float64) *Starts {
	s := &Starts{seen: map[spool.ProgramID]*startTry{}}
	s.Configure(rate)
	s.bucket.level = s.bucket.limit
	return s
}

// Configure takes a new rate in.
func (s *Starts) Configure(rate float64) { s.bucket.reshape(rate, max(1, rate*startsAhead)) }

// Admit decides about a program. pool is the part of the account's pool that is
// full. A program that was admitted before is admitted again at no cost. retryAfter
// is when a program that is turned away may find room.
func (s *Starts) Admit(now clock.Millis, start Start, pool float64) (admitted bool, retryAfter clock.Millis) {
	s.bucket.refill(now)
	s.sweep(now)
	try := s.seen[start.Program]
	if try == nil {
		try = &startTry{at: now, finishIn: start.FinishIn}
		s.seen[start.Program] = try
	}
	try.last = now
	switch {
	case try.admitted:
		return true, 0
	case pool < startsReserve, s.bucket.level <= s.least(now, try):
		return false, s.untilRoom()
	}
	try.admitted = true
	s.bucket.level -= max(1, start.Requests)
	return true, 0
}

// least is the level that a program needs.
func (s *Starts) least(now clock.Millis, try *startTry) float64 {
	if try.finishIn > 0 && float64(now-try.at) > lateAfter*float64(try.finishIn) {
		return s.bucket.limit / 2
	}
	return 0
}

func (s *Starts) untilRoom() clock.Millis {
	if s.bucket.rate <= 0 || s.bucket.level > 0 {
		return minStartRetry
	}
	return max(minStartRetry, clock.Millis(-s.bucket.level/s.bucket.rate*float64(clock.Second)))
}

func (s *Starts) sweep(now clock.Millis) {
	if now-s.sweptAt < startMemory {
		return
	}
	s.sweptAt = now
	for id, try := range s.seen {
		if now-try.last >= startMemory {
			delete(s.seen, id)
		}
	}
}
