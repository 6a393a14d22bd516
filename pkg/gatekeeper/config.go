package gatekeeper

import (
	"github.com/pkg/errors"
	"go.uber.org/multierr"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// Config is the configuration of a kernel. DrainGracePeriod and CacheLossIdleLimit
// may be 0; all other values must be positive.
type Config struct {
	// MaxWait is the expected wait above which a call is refused. For the first
	// call of a program, MaxFirstCallWait applies instead. A call whose deadline is
	// sooner is refused if the expected wait exceeds the time left until the
	// deadline.
	MaxWait clock.Millis
	// MaxFirstCallWait is the expected wait above which the first call of a program
	// is refused. Its default is longer than that of MaxWait, because first calls
	// wait behind the later calls of all programs.
	MaxFirstCallWait clock.Millis
	// MaxQueued is the maximum number of waiting calls.
	MaxQueued int
	// InitialServiceTime is the initial value of the moving average of the service
	// time of calls.
	InitialServiceTime clock.Millis
	// DrainGracePeriod is the time after the start of a drain during which waiting
	// calls may still start. After it, the calls that still wait are refused.
	DrainGracePeriod clock.Millis
	// OutcomeRetention is how long the at-most-once record of a call, with its
	// outcome, is kept after the call has ended.
	OutcomeRetention clock.Millis
	// MaxOutcomes is the maximum number of retained records. These are the records
	// of active and ended non-idempotent calls, and of calls fenced by an outcome
	// query. At this number, new non-idempotent calls are refused.
	MaxOutcomes int
	// MaxIdempotentOutcomes is the maximum number of stored records of ended
	// idempotent calls. Beyond it, the oldest one is dropped.
	MaxIdempotentOutcomes int
	// CallLease is the minimum lease on engine memory that a program has after one
	// of its calls has arrived or ended.
	CallLease clock.Millis
	// GraceLease is the lease of a program that the agent does not know, but of
	// which the engine reports a session or an export.
	GraceLease clock.Millis
	// MaxLease is the longest lease that an owner may request. A longer request is
	// reduced to it.
	MaxLease clock.Millis
	// FreeRetryDelay is the delay after a failed FreeMemory or FreeExport command
	// before the command is repeated.
	FreeRetryDelay clock.Millis
	// MaxHistoryBytes is the maximum size of the history cache over all programs.
	MaxHistoryBytes int
	// CacheLossIdleLimit is the longest idle time of a program after which a
	// missing prefix is still evidence of an engine restart. After a longer one,
	// the engine may have evicted the prefix.
	CacheLossIdleLimit clock.Millis
}

// defaultMaxOutcomes is enough for 218 non-idempotent calls per second at the
// default retention time of 5 minutes.
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

// Validate checks all values. It returns one error that combines all faults found,
// or nil.
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
