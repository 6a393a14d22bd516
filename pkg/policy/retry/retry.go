// Package retry holds the retry policies: always is the baseline, budgeted
// retries a share of the traffic with exponential back-off.
//
// Ways weighed. A limit on the attempts of each call still multiplies the load
// when every call fails. A circuit breaker per endpoint needs state that the
// router already keeps. A budget bounds the added load whatever the failure.
package retry

import (
	"math/rand/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Names of the retry policies.
const (
	Always   = "always"
	Budgeted = "budgeted"
)

const (
	defaultMaxAttempts = 10
	defaultRatio       = 0.1
	// defaultReserve lets a process that has just started retry a few calls.
	defaultReserve = 10
	// defaultSavings bounds the budget that quiet times add up to. It covers the
	// calls that a failure domain refuses at once when it leaves.
	defaultSavings   = 100
	defaultBackoffMs = 25
	defaultCapMs     = 2000
)

func init() {
	spool.Retries.Register(Always, func(_ uint64, options spool.Options) spool.RetryPolicy {
		return always{attempts: int(options.Get("retry.maxAttempts", defaultMaxAttempts))}
	})
	spool.Retries.Register(Budgeted, newBudgeted)
}

// always retries at once. It stops after a number of attempts, so that a call
// that can never succeed does not spin for ever.
type always struct {
	attempts int
}

// Started does nothing.
func (always) Started(clock.Millis) {}

// Retry allows an immediate retry of any call that may run again.
func (p always) Retry(_ clock.Millis, attempt spool.Attempt) (clock.Millis, bool) {
	return 0, mayRepeat(attempt) && attempt.Number < p.attempts
}

// budgeted takes one unit of a budget for each retry. Each first attempt adds
// the ratio to the budget, so over any time retries are at most
// reserve + ratio * first attempts.
type budgeted struct {
	ratio    float64
	savings  float64
	budget   float64
	base     float64
	limit    float64
	attempts int
	random   *rand.Rand
}

func newBudgeted(seed uint64, options spool.Options) spool.RetryPolicy {
	return &budgeted{
		ratio:    options.Get("retry.budgetShare", defaultRatio),
		savings:  options.Get("retry.savings", defaultSavings),
		budget:   options.Get("retry.reserve", defaultReserve),
		base:     options.Get("retry.backoffMs", defaultBackoffMs),
		limit:    options.Get("retry.capMs", defaultCapMs),
		attempts: int(options.Get("retry.maxAttempts", defaultMaxAttempts)),
		random:   rand.New(rand.NewPCG(seed, 0xd1342543de82ef95)),
	}
}

// Started adds a first attempt's part to the budget.
func (p *budgeted) Started(clock.Millis) {
	p.budget = min(p.savings, p.budget+p.ratio)
}

// Retry returns a wait between 0 and an exponentially growing bound, after the
// wait that the endpoint asked for. A retry that would miss the deadline is
// refused and costs nothing.
func (p *budgeted) Retry(now clock.Millis, attempt spool.Attempt) (clock.Millis, bool) {
	if !mayRepeat(attempt) || attempt.Number >= p.attempts || p.budget < 1 {
		return 0, false
	}
	wait := attempt.RetryAfter + p.jitter(attempt.Number)
	if attempt.Deadline > 0 && now+wait >= attempt.Deadline {
		return 0, false
	}
	p.budget--
	return wait, true
}

func (p *budgeted) jitter(attempt int) clock.Millis {
	bound := p.base
	for i := 1; i < attempt && bound < p.limit; i++ {
		bound *= 2
	}
	return clock.Millis(p.random.Float64() * min(bound, p.limit))
}

func mayRepeat(attempt spool.Attempt) bool { return attempt.NotRun || attempt.Idempotent }
