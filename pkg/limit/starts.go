package limit

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// StartRequest is the request of a program to start.
type StartRequest struct {
	Program spool.ProgramID
	// Requests is the number of requests that the program is expected to make
	// against the account's rate. Values below 1 are treated as 1.
	Requests float64
	// FinishIn is the time within which the caller wants the program to finish; 0
	// if unknown.
	FinishIn clock.Millis
}

const (
	// startBurstSeconds is the capacity of the bucket for program starts, in
	// seconds of the account's rate. The capacity is at least 1 request.
	startBurstSeconds = 0.5
	// minPoolFill is the fraction of the pool that is kept for running programs.
	// While the pool is emptier, no program may start.
	minPoolFill = 0.25
	// lateFraction is the fraction of FinishIn after which a waiting program is
	// unlikely to finish in time.
	lateFraction = 0.3
	// startRetention is how long a program is remembered after its last attempt. It
	// is also the time between two searches for attempts to remove.
	startRetention = 10 * clock.Second
	// minStartRetryDelay is the shortest delay between attempts to start a program.
	// It is long because callers make only a few attempts.
	minStartRetryDelay = 200 * clock.Millis(1)
)

// StartLimiter decides which programs of an account may start while the account
// sends above its rate. Each program that starts takes its expected number of
// requests from a bucket that refills at the rate; the level may become negative.
// The rate thus suffices for all requests of the programs that have started.
// Admitting request by request would give every program only a part of what it
// needs. A program that has waited for more than lateFraction of its FinishIn may
// start only while the bucket is more than half full, so that programs that can
// still finish in time start first. A StartLimiter is not safe for concurrent use.
type StartLimiter struct {
	bucket bucket
	// attempts contains the programs that have tried to start within about
	// startRetention.
	attempts map[spool.ProgramID]*startAttempt
	// sweptAt is the last time at which old attempts were removed.
	sweptAt clock.Millis
}

type startAttempt struct {
	// firstAt is the time of the first attempt, and finishIn the FinishIn of that
	// attempt. lastAt is the time of the last attempt.
	firstAt  clock.Millis
	finishIn clock.Millis
	lastAt   clock.Millis
	admitted bool
}

// NewStartLimiter returns the limiter of an account with a full bucket. rate is the
// account's rate in requests per second.
func NewStartLimiter(rate float64) *StartLimiter {
	s := &StartLimiter{attempts: map[spool.ProgramID]*startAttempt{}}
	s.SetRate(rate)
	s.bucket.level = s.bucket.capacity
	return s
}

// SetRate applies a new rate, in requests per second. The next call of Admit uses
// it for the whole time since the previous one.
func (s *StartLimiter) SetRate(rate float64) { s.bucket.resize(rate, max(1, rate*startBurstSeconds)) }

// Admit decides whether a program may start. poolFill is the level of the account's
// pool as a fraction of its capacity, in [0,1]. A program that has been admitted
// before is admitted again at no cost. retryAfter is the delay after which a
// refused program should try again; 0 if it is admitted.
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

// requiredLevel returns the level, in requests, that the bucket must exceed for the
// program to start: half of the capacity if the program is late, otherwise 0.
func (s *StartLimiter) requiredLevel(now clock.Millis, attempt *startAttempt) float64 {
	if attempt.finishIn > 0 && float64(now-attempt.firstAt) > lateFraction*float64(attempt.finishIn) {
		return s.bucket.capacity / 2
	}
	return 0
}

// retryDelay returns the time until the level of the bucket is 0, but at least
// minStartRetryDelay.
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
