package entry

import (
	"context"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
	"github.com/baobabspool/baobabspool/pkg/usage"
)

// isCharged reports whether operations of this name are charged to the rate
// limit of the account. Exceptions are repeated calls and calls with
// RateLimitCharged, which are not charged.
func isCharged(operation string) bool {
	switch operation {
	case OperationStart, OperationCall, OperationSpawn, OperationService:
		return true
	}
	return false
}

// countUsage counts an operation as answered or refused in the usage of its
// account, if isCharged is true for its name. Only the entry that the caller is
// connected to calls countUsage, so that a forwarded operation is counted once.
func (e *Entry) countUsage(operation Operation, err error) {
	switch {
	case !isCharged(operation.Name):
	case err == nil:
		e.usage.Answered(operation.Account)
	default:
		e.usage.Refused(operation.Account, asRefusal(err).Code)
	}
}

// countProgramEnd records the duration of a root program in the usage of its
// account. It ignores sub-agents, and programs that were cancelled or have expired.
// It must run on the shard's goroutine.
func (e *Entry) countProgramEnd(shard *shard, id spool.ProgramID, reason program.EndReason) {
	if reason != program.EndByCaller || id.Root() != id {
		return
	}
	if view, err := shard.state.Inspect(id); err == nil {
		e.usage.ProgramEnded(view.Account, view.LastChangeAt-view.StartedAt)
	}
}

// handleUsage serves the wire method entry.usage. It returns the usage that this
// process has counted and the rate limit of each account in it.
func (e *Entry) handleUsage(context.Context, struct{}, wire.Send) (any, error) {
	sample := e.usage.Sample(e.clock.Now())
	sample.Limits = make(map[spool.AccountID]usage.Limit, len(sample.Accounts))
	for id := range sample.Accounts {
		sample.Limits[id] = e.control.Settings(id, "").RateLimit
	}
	return sample, nil
}
