package entry

import (
	"context"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
	"github.com/baobabspool/baobabspool/pkg/usage"
)

// charged tells whether an operation takes part of its account's rate.
func isCharged(operation string) bool {
	switch operation {
	case OperationStart, OperationCall, OperationSpawn, OperationService:
		return true
	}
	return false
}

// countUsage counts the end of an operation at the entry that its caller has
// reached, so that it is counted once however often it was forwarded.
func (e *Entry) countUsage(operation Operation, err error) {
	switch {
	case !isCharged(operation.Name):
	case err == nil:
		e.usage.Answered(operation.Account)
	default:
		e.usage.Refused(operation.Account, asRefusal(err).Code)
	}
}

// countEnd records the time of a root program that its caller has ended. It runs
// on the shard's goroutine.
func (e *Entry) countProgramEnd(shard *shard, id spool.ProgramID, reason program.EndReason) {
	if reason != program.EndByCaller || id.Root() != id {
		return
	}
	if view, err := shard.state.Inspect(id); err == nil {
		e.usage.ProgramEnded(view.Account, view.LastAt-view.StartedAt)
	}
}

// sampleUsage answers entry.usage.
func (e *Entry) handleUsage(context.Context, struct{}, wire.Send) (any, error) {
	sample := e.usage.Sample(e.clock.Now())
	sample.Limits = make(map[spool.AccountID]usage.Limit, len(sample.Accounts))
	for id := range sample.Accounts {
		sample.Limits[id] = e.control.Settings(id, "").Limit
	}
	return sample, nil
}
