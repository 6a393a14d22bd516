package gatekeeper

import (
	"github.com/pkg/errors"
	"go.uber.org/multierr"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// Config holds the bounds of a kernel.
type Config struct {
	// MaxWait bounds the expected wait of a call in the queue.
	MaxWait clock.Millis
	// StartMaxWait bounds that of a call that begins a program, which goes after
	// those of programs that have begun.
	StartMaxWait clock.Millis
	// MaxQueued bounds the number of waiting calls.
	MaxQueued int
	// ExpectedCall is the service time that is assumed before the first call has
	// ended.
	ExpectedCall clock.Millis
	// DrainQueueFor is how long waiting calls may still start after a drain.
	DrainQueueFor clock.Millis
	// OutcomeFor is how long outcomes of calls are kept.
	OutcomeFor clock.Millis
	// MaxOutcomes bounds the non-idempotent calls under way and the kept outcomes
	// of such calls. When it is reached, such calls are refused.
	MaxOutcomes int
	// MaxReplays bounds the kept outcomes of idempotent calls; the oldest is
	// dropped.
	MaxReplays int
	// CallLease is the lease that a call gives to its program.
	CallLease clock.Millis
	// GraceLease is the lease of a session that the engine holds and the agent
	// does not know.
	GraceLease clock.Millis
	// MaxLease bounds the lease that an owner may ask for.
	MaxLease clock.Millis
	// FreeRetry is the wait after a failed release of engine memory.
	FreeRetry clock.Millis
	// MaxHistoryBytes bounds the history cache of all programs.
	MaxHistoryBytes int
	// EmptiedWithin is the longest pause of a program after which a missing
	// prefix counts as a sign of a restart.
	EmptiedWithin clock.Millis
}

// defaultMaxOutcomes allows 218 non-idempotent calls a second over the default
// retention of 5 minutes.
const defaultMaxOutcomes = 65536

// DefaultConfig returns the values that are used when nothing else is set.
func DefaultConfig() Config {
	return Config{
		MaxWait:         20 * clock.Second,
		StartMaxWait:    110 * clock.Second,
		MaxQueued:       2048,
		ExpectedCall:    1 * clock.Second,
		DrainQueueFor:   1 * clock.Second,
		OutcomeFor:      5 * clock.Minute,
		MaxOutcomes:     defaultMaxOutcomes,
		MaxReplays:      1024,
		CallLease:       30 * clock.Second,
		GraceLease:      20 * clock.Second,
		MaxLease:        10 * clock.Minute,
		FreeRetry:       1 * clock.Second,
		MaxHistoryBytes: 64 << 20,
		EmptiedWithin:   20 * clock.Second,
	}
}

// Validate returns every error of the configuration at once.
func (c Config) Validate() (err error) {
	for _, value := range []struct {
		name  string
		value int64
	}{
		{"maxWaitMs", int64(c.MaxWait)},
		{"startMaxWaitMs", int64(c.StartMaxWait)},
		{"maxQueued", int64(c.MaxQueued)},
		{"expectedCallMs", int64(c.ExpectedCall)},
		{"outcomeForMs", int64(c.OutcomeFor)},
		{"maxOutcomes", int64(c.MaxOutcomes)},
		{"maxReplays", int64(c.MaxReplays)},
		{"callLeaseMs", int64(c.CallLease)},
		{"graceLeaseMs", int64(c.GraceLease)},
		{"maxLeaseMs", int64(c.MaxLease)},
		{"freeRetryMs", int64(c.FreeRetry)},
		{"maxHistoryBytes", int64(c.MaxHistoryBytes)},
	} {
		if value.value <= 0 {
			err = multierr.Append(err, errors.Errorf("%s is %d, must be above 0", value.name, value.value))
		}
	}
	if c.DrainQueueFor < 0 || c.EmptiedWithin < 0 {
		err = multierr.Append(err, errors.New("drainQueueForMs and emptiedWithinMs must not be negative"))
	}
	return err
}
