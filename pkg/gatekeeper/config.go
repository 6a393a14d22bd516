package gatekeeper

import (
	"github.com/pkg/errors"
	"go.uber.org/multierr"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// Config holds the limits and times of a kernel.
type Config struct {
	// MaxWait is the expected wait above which a call is refused.
	MaxWait clock.Millis
	// StartMaxWait is the expected wait above which the first call of a program is
	// refused. First calls wait behind the later calls of all programs.
	MaxFirstCallWait clock.Millis
	// MaxQueued is the maximum number of waiting calls.
	MaxQueued int
	// ExpectedCall is the mean service time assumed until calls have ended.
	InitialServiceTime clock.Millis
	// DrainQueueFor is how long waiting calls may still start after a drain began.
	DrainGracePeriod clock.Millis
	// OutcomeFor is the retention time of the outcomes of calls.
	OutcomeRetention clock.Millis
	// MaxOutcomes is the maximum number of active non-idempotent calls and stored
	// outcomes of such calls. Once it is reached, non-idempotent calls are refused.
	MaxOutcomes int
	// MaxReplays is the maximum number of stored outcomes of idempotent calls.
	// Beyond it, the oldest outcome is dropped.
	MaxIdempotentOutcomes int
	// CallLease is the lease that each call gives to its program.
	CallLease clock.Millis
	// GraceLease is the lease of a session or export that the engine holds and the
	// agent does not know.
	GraceLease clock.Millis
	// MaxLease is the longest lease that an owner may request.
	MaxLease clock.Millis
	// FreeRetry is the delay before a failed free of engine memory is retried.
	FreeRetryDelay clock.Millis
	// MaxHistoryBytes is the maximum size of the history cache over all programs.
	MaxHistoryBytes int
	// EmptiedWithin is the longest idle time of a program after which a missing
	// prefix counts as evidence of an engine restart.
	CacheLossIdleLimit clock.Millis
}

// defaultMaxOutcomes allows 218 non-idempotent calls per second at the default
// retention time of 5 minutes.
const defaultMaxOutcomes = 65536

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		MaxWait:               20 * clock.Second,
		MaxFirstCallWait:      110 * clock.Second,
		MaxQueued:             2048,
		InitialServiceTime:    1 * clock.Second,
		DrainGracePeriod:      1 * clock.Second,
		OutcomeRetention:      5 * clock.Minute,
		MaxOutcomes:           defaultMaxOutcomes,
		MaxIdempotentOutcomes: 1024,
		CallLease:             30 * clock.Second,
		GraceLease:            20 * clock.Second,
		MaxLease:              10 * clock.Minute,
		FreeRetryDelay:        1 * clock.Second,
		MaxHistoryBytes:       64 << 20,
		CacheLossIdleLimit:    20 * clock.Second,
	}
}

// Validate checks all values and returns every error found.
func (c Config) Validate() (err error) {
	for _, value := range []struct {
		name  string
		value int64
	}{
		{"maxWaitMs", int64(c.MaxWait)},
		{"startMaxWaitMs", int64(c.MaxFirstCallWait)},
		{"maxQueued", int64(c.MaxQueued)},
		{"expectedCallMs", int64(c.InitialServiceTime)},
		{"outcomeForMs", int64(c.OutcomeRetention)},
		{"maxOutcomes", int64(c.MaxOutcomes)},
		{"maxReplays", int64(c.MaxIdempotentOutcomes)},
		{"callLeaseMs", int64(c.CallLease)},
		{"graceLeaseMs", int64(c.GraceLease)},
		{"maxLeaseMs", int64(c.MaxLease)},
		{"freeRetryMs", int64(c.FreeRetryDelay)},
		{"maxHistoryBytes", int64(c.MaxHistoryBytes)},
	} {
		if value.value <= 0 {
			err = multierr.Append(err, errors.Errorf("%s is %d, must be above 0", value.name, value.value))
		}
	}
	if c.DrainGracePeriod < 0 || c.CacheLossIdleLimit < 0 {
		err = multierr.Append(err, errors.New("drainQueueForMs and emptiedWithinMs must not be negative"))
	}
	return err
}
