package limit

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Start is the request of a program to start.
type StartRequest struct {
	Program spool.ProgramID
	// Requests is the number of requests that the program is expected to make
	// against the account's rate.
	Requests float64
	// FinishIn is the time within which the caller wants the program to finish; 0
	// if unknown.
	FinishIn clock.Millis
}

const (
	// startBurstSeconds is the capacity of the bucket for program starts, in
	// seconds of the rate.
	startBurstSeconds = 0.5
	// minPoolFill is the fraction of the pool that is kept for running programs.
	minPoolFill = 0.25
	// lateFraction is the fraction of FinishIn after which a waiting program is
	// unlikely to finish in time.
	lateFraction = 0.3
	// startRetention is how long a program is remembered after its last attempt.
	startRetention = 10 * clock.Second
	// minStartRetryDelay is the shortest delay between attempts to start a program.
	// Callers make only a few attempts.
	minStartRetryDelay = 200 * clock.Millis(1)
)

// Starts decides which programs of an account may start while the account sends
// above its rate. Each started program takes its expected number of requests from a
// bucket that refills at the rate; the level may become negative. Programs that
// were started are then served completely, whereas per-request admission gives
// every program only a part of what it needs. A program that has waited too long to
// finish in time yields to one that can still do so.
type StartLimiter struct {
	bucket bucket
	// attempts holds the programs that have recently tried to start.
	attempts map[spool.ProgramID]*startAttempt
	// sweptAt is the last time at which expired attempts were removed.
	sweptAt clock.Millis
}

type startAttempt struct {
	// firstAt is the time of the first attempt, and finishIn the FinishIn that it
	// gave.
	firstAt  clock.Millis
	finishIn clock.Millis
	lastAt   clock.Millis
	admitted bool
}

// NewStarts returns the limiter of an account with a rate in requests per second.
func NewStartLimiter(rate float64) *StartLimiter {
	s := &StartLimiter{attempts: map[spool.ProgramID]*startAttempt{}}
	s.Configure(rate)
	s.bucket.level = s.bucket.capacity
	return s
}

// Configure applies a new rate.
func (s *StartLimiter) Configure(rate float64) { s.bucket.resize(rate, max(1, rate*startBurstSeconds)) }

// Admit decides whether a program may start. poolFill is the fill level of the
// account's pool, in [0,1]. A program that has been admitted before is admitted
// again at no cost. retryAfter is the delay after which a refused program may be
// admitted.
func (s *StartLimiter) Admit(now clock.Millis, start StartRequest, poolFill float64) (admitted bool, retryAfter clock.Millis) {
	s.bucket.refill(now)
	s.sweep(now)
	attempt := s.attempts[start.Program]
	if attempt == nil {
		attempt = &startAttempt{firstAt: now, finishIn: start.FinishIn}
		s.attempts[start.Program] = attempt
	}
	attempt.lastAt = now
	switch {
	case attempt.admitted:
		return true, 0
	case poolFill < minPoolFill, s.bucket.level <= s.requiredLevel(now, attempt):
		return false, s.retryDelay()
	}
	attempt.admitted = true
	s.bucket.level -= max(1, start.Requests)
	return true, 0
}

// requiredLevel returns the level that the bucket must exceed for the program to
// start.
func (s *StartLimiter) requiredLevel(now clock.Millis, attempt *startAttempt) float64 {
	if attempt.finishIn > 0 && float64(now-attempt.firstAt) > lateFraction*float64(attempt.finishIn) {
		return s.bucket.capacity / 2
	}
	return 0
}

func (s *StartLimiter) retryDelay() clock.Millis {
	if s.bucket.rate <= 0 || s.bucket.level > 0 {
		return minStartRetryDelay
	}
	return max(minStartRetryDelay, clock.Millis(-s.bucket.level/s.bucket.rate*float64(clock.Second)))
}

func (s *StartLimiter) sweep(now clock.Millis) {
	if now-s.sweptAt < startRetention {
		return
	}
	s.sweptAt = now
	for id, attempt := range s.attempts {
		if now-attempt.lastAt >= startRetention {
			delete(s.attempts, id)
		}
	}
}
