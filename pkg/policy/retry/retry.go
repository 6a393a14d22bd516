// Package retry implements the retry policies. always is the baseline. budgeted
// limits retries to a share of the traffic and uses exponential backoff.
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
	// defaultInitialBudget lets a process that has just started retry a few calls.
	defaultInitialBudget = 10
	// defaultMaxBudget bounds the budget that accumulates while few calls fail. It
	// covers the calls that are refused at once when a failure domain leaves.
	defaultMaxBudget    = 100
	defaultBackoffMs    = 25
	defaultMaxBackoffMs = 2000
)

func init() {
	spool.Retries.Register(Always, func(_ uint64, options spool.Options) spool.RetryPolicy {
		return always{maxAttempts: int(options.Get("retry.maxAttempts", defaultMaxAttempts))}
	})
	spool.Retries.Register(Budgeted, newBudgeted)
}

// always retries without delay. It limits the number of attempts, so that a call
// that can never succeed is not retried forever.
type always struct {
	maxAttempts int
}

// Started does nothing.
func (always) Started(clock.Millis) {}

// Retry allows an immediate retry of any call that is safe to retry.
func (p always) Retry(_ clock.Millis, attempt spool.Attempt) (clock.Millis, bool) {
	return 0, isSafeToRetry(attempt) && attempt.Number < p.maxAttempts
}

// budgeted takes one unit from a budget for each retry. Each first attempt adds
// budgetShare to the budget, up to maxBudget. Since the start of the process, there
// are therefore at most the initial budget + budgetShare * first attempts retries.
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

// Started adds the share of one first attempt to the budget.
func (p *budgeted) Started(clock.Millis) {
	p.budget = min(p.maxBudget, p.budget+p.budgetShare)
}

// Retry returns the wait that the endpoint asked for plus a random backoff below an
// exponentially growing bound. A retry that would miss the deadline is refused and
// takes nothing from the budget.
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

// jitter returns a random backoff between 0 and the bound for the given attempt.
func (p *budgeted) jitter(attempt int) clock.Millis {
	bound := p.backoffMs
	for i := 1; i < attempt && bound < p.maxBackoffMs; i++ {
		bound *= 2
	}
	return clock.Millis(p.random.Float64() * min(bound, p.maxBackoffMs))
}

// isSafeToRetry reports whether a retry cannot run a non-idempotent call twice.
func isSafeToRetry(attempt spool.Attempt) bool { return attempt.NotRun || attempt.Idempotent }
