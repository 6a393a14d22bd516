// Package retry implements the retry policies. always is the baseline, which
// retries without delay. budgeted limits retries to a share of the traffic and uses
// exponential backoff.
//
// Alternatives considered: A limit on the attempts of each call still multiplies
// the load when every call fails. A circuit breaker per endpoint needs state that
// the router already keeps. A budget bounds the additional load for every kind of
// failure.
package retry

import (
	"math/rand/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Registered names of the retry policies.
const (
	Always   = "always"
	Budgeted = "budgeted"
)

const (
	defaultMaxAttempts = 10
	defaultBudgetShare = 0.1
	// defaultInitialBudget is the number of retries that a process may make before
	// its first calls have added to the budget.
	defaultInitialBudget = 10
	// defaultMaxBudget is the maximum budget, in retries, that accumulates while
	// few calls fail. It covers the calls that are refused at once when a failure
	// domain leaves.
	defaultMaxBudget = 100
	// defaultBackoffMs and defaultMaxBackoffMs are the bounds of the random
	// backoff, in milliseconds, after the first attempt and after many.
	defaultBackoffMs    = 25
	defaultMaxBackoffMs = 2000
)

func init() {
	spool.Retries.Register(Always, func(_ uint64, options spool.Options) spool.RetryPolicy {
		return always{maxAttempts: int(options.Get("retry.maxAttempts", defaultMaxAttempts))}
	})
	spool.Retries.Register(Budgeted, newBudgeted)
}

// always retries without delay. It limits the number of attempts of a call, so that
// a call that can never succeed is not retried forever.
type always struct {
	maxAttempts int
}

// Started does nothing.
func (always) Started(clock.Millis) {}

// Retry allows an immediate retry if the call is safe to retry and has had fewer
// than maxAttempts attempts.
func (p always) Retry(_ clock.Millis, attempt spool.Attempt) (clock.Millis, bool) {
	return 0, isSafeToRetry(attempt) && attempt.Number < p.maxAttempts
}

// budgeted has a budget and takes one unit of it for each retry. Each first attempt
// adds budgetShare to the budget, up to maxBudget. The number of retries since the
// start of the process is therefore at most the initial budget plus budgetShare
// times the number of first attempts.
type budgeted struct {
	budgetShare  float64
	maxBudget    float64
	budget       float64
	backoffMs    float64
	maxBackoffMs float64
	maxAttempts  int
	random       *rand.Rand
}

// newBudgeted returns a budgeted policy. It reads the options retry.budgetShare,
// retry.savings (the maximum budget), retry.reserve (the initial budget),
// retry.backoffMs, retry.capMs (the maximum backoff) and retry.maxAttempts.
func newBudgeted(seed uint64, options spool.Options) spool.RetryPolicy {
	return &budgeted{
		budgetShare:  options.Get("retry.budgetShare", defaultBudgetShare),
		maxBudget:    options.Get("retry.savings", defaultMaxBudget),
		budget:       options.Get("retry.reserve", defaultInitialBudget),
		backoffMs:    options.Get("retry.backoffMs", defaultBackoffMs),
		maxBackoffMs: options.Get("retry.capMs", defaultMaxBackoffMs),
		maxAttempts:  int(options.Get("retry.maxAttempts", defaultMaxAttempts)),
		random:       rand.New(rand.NewPCG(seed, 0xd1342543de82ef95)),
	}
}

// Started adds budgetShare to the budget for the first attempt of a call.
func (p *budgeted) Started(clock.Millis) {
	p.budget = min(p.maxBudget, p.budget+p.budgetShare)
}

// Retry returns the wait that the endpoint asked for plus a random backoff below an
// exponentially growing bound, and takes one unit from the budget. It returns
// false, and takes nothing, if the call is not safe to retry, has had maxAttempts
// attempts, or would miss its deadline, or if less than one unit is left.
func (p *budgeted) Retry(now clock.Millis, attempt spool.Attempt) (clock.Millis, bool) {
	if !isSafeToRetry(attempt) || attempt.Number >= p.maxAttempts || p.budget < 1 {
		return 0, false
	}
	wait := attempt.RetryAfter + p.jitter(attempt.Number)
	if attempt.Deadline > 0 && now+wait >= attempt.Deadline {
		return 0, false
	}
	p.budget--
	return wait, true
}

// jitter returns a random backoff between 0 and a bound. The bound is backoffMs
// after the first attempt, doubles with each further attempt and is at most
// maxBackoffMs.
func (p *budgeted) jitter(attempt int) clock.Millis {
	bound := p.backoffMs
	for i := 1; i < attempt && bound < p.maxBackoffMs; i++ {
		bound *= 2
	}
	return clock.Millis(p.random.Float64() * min(bound, p.maxBackoffMs))
}

// isSafeToRetry reports whether a retry cannot run a non-idempotent call twice: the
// attempt did not run, or the call is idempotent.
func isSafeToRetry(attempt spool.Attempt) bool { return attempt.NotRun || attempt.Idempotent }
