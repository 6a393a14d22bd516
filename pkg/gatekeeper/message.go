package gatekeeper

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Ticket is the sequence number of a request to one incarnation of an agent. It
// increases with each CallArrived and OutcomeQuery message.
type Ticket uint64

// Key identifies a call for the at-most-once check. All dispatches of one call have
// the same key.
type Key struct {
	Account spool.AccountID
	Program spool.ProgramID
	Call    spool.CallID
}

// Call is one dispatch of a call by the owner of its program.
type Call struct {
	Key Key
	// Stream is the stream of the program. Epoch and Attempt order the dispatches
	// of the call: by epoch, then by attempt.
	Stream  spool.Stream
	Epoch   spool.Epoch
	Attempt uint64
	// Mark is the agent's mark that the owner stored in the intent of the call,
	// before the first dispatch; empty when unknown.
	Mark spool.AgentMark
	// Idempotent is false for a call that must run at most once.
	Idempotent bool
	// Alarm, Weight and Attained determine the order in the queue; see
	// spool.CallView. A Weight of 0 or less is treated as 1.
	Alarm    bool
	Weight   float64
	Attained int
	// DeadlineIn is the time from the arrival of the call to its deadline; 0 for no
	// deadline.
	DeadlineIn clock.Millis
	// Service is true for a call to a plain service, which leaves the fields
	// below unused.
	Service bool
	// BaseCount is the number of messages of the cached history that Messages
	// extend, and BaseDigest is the digest of that part. BaseCount is 0 if Messages
	// are the whole prompt.
	BaseCount  int
	BaseDigest string
	// Messages are the messages of the prompt after the first BaseCount ones.
	Messages []spool.Message
	// Digests holds the digest after each message, as spool.HistoryDigests returns
	// them for BaseDigest and Messages. If it has another length than Messages, the
	// kernel computes it.
	Digests []string
	// MaxTokens is the maximum length of the answer in tokens.
	MaxTokens int
}

// Outcome is the answer to a call. Exactly one field is set if the endpoint answered
// in full; none is set if the call was refused or its run failed.
type Outcome struct {
	Engine  *spool.EngineResult
	Service *spool.ServiceResult
}

// Message is an input of the kernel.
type Message interface{ message() }

// Command is an output of the kernel that the agent process executes.
type Command interface{ command() }

// CallArrived passes a call that has reached the agent.
type CallArrived struct {
	Ticket Ticket
	Call   Call
}

// Cancel reports that the caller of the call with this ticket has disconnected.
type Cancel struct{ Ticket Ticket }

// Ending is how a run ended.
type Ending int

// The endings of a run.
const (
	// EndDone means that the endpoint answered in full; Outcome is set.
	EndDone Ending = iota
	// EndNotSent means that the run failed in a way that proves that the endpoint
	// did not receive the call.
	EndNotSent
	// EndStopped means that the Stop command ended the run.
	EndStopped
	// EndInvalid means that the engine rejected the call as not valid and did not
	// run it.
	EndInvalid
	// EndFailed means any other failure; the call may have run.
	EndFailed
)

// Finished reports the end of a run that a Start command began.
type Finished struct {
	Ticket Ticket
	Ending Ending
	// Outcome is set with EndDone.
	Outcome Outcome
	// Chunks counts the chunks of the answer received. If the run failed or was
	// stopped, the count is charged as its cost in tokens, at least one.
	Chunks int
	// Streamed is the time from the first chunk to the last one; 0 without two
	// chunks.
	Streamed clock.Millis
	// Reason explains a failure to the caller; unused with EndDone.
	Reason string
}

// OutcomeQuery queries the outcome of an in-doubt call. Unless the call is active
// or may have run, the query also fences the dispatches of the call up to (Epoch,
// Attempt).
type OutcomeQuery struct {
	Ticket     Ticket
	Key        Key
	Stream     spool.Stream
	Epoch      spool.Epoch
	Attempt    uint64
	Mark       spool.AgentMark
	Idempotent bool
}

// RenewLeases extends the leases of Programs to at least LeaseDuration from now, or
// Config.MaxLease if that is shorter. It also ends the programs in Ended, whose
// memory is then freed without regard to their leases. Programs that the agent does
// not know are ignored.
type RenewLeases struct {
	Programs      []spool.ProgramID
	Ended         []spool.ProgramID
	LeaseDuration clock.Millis
}

// LoadReport passes a load report of the engine to the kernel.
type LoadReport struct{ Load spool.EngineLoad }

// Unreachable reports that a request for a load report did not reach the endpoint.
type Unreachable struct{}

// CacheEvents passes cache events to the kernel in the order of their sequence
// numbers.
type CacheEvents struct {
	// After is the sequence number after which events were requested. If it is not
	// the last one that the kernel has processed, the kernel drops the events. They
	// may answer a request sent before an engine restart, and sequence numbers from
	// before and after a restart are not comparable.
	After  uint64
	Events []spool.CacheEvent
}

// SessionList passes the engine's list of sessions and exports to the kernel.
type SessionList struct {
	// RequestedAt is when the list was requested. Changes after that time may be
	// missing from the list.
	RequestedAt clock.Millis
	Programs    []spool.ProgramID
	// Exports lists the prefixes that the engine keeps outside its cache. It is
	// valid only if ExportsKnown is true.
	Exports      []spool.Export
	ExportsKnown bool
}

// Exported is the result of the command ExportPrefix.
type Exported struct {
	ID string
	// OK is true if the engine keeps the export, whose length in tokens is Tokens.
	// NotRun is true if a failure proves that the engine does not keep it. If both
	// are false, it is unknown whether the export exists.
	OK, NotRun bool
	Tokens     int
}

// ExportFreed is the result of the command FreeExport.
type ExportFreed struct {
	ID string
	OK bool
}

// MemoryFreed is the result of the command FreeMemory.
type MemoryFreed struct {
	Program spool.ProgramID
	OK      bool
}

// Drain starts or ends a drain, in which new calls are refused. Calls that still
// wait after Config.DrainGracePeriod are refused as well, so that the endpoint gets
// no new work. Running calls continue.
type Drain struct{ On bool }

// Shutdown starts a graceful shutdown: all new calls are refused and every
// admitted call runs.
type Shutdown struct{}

// Tick advances the time without any other input. The kernel then sweeps if a sweep
// is due.
type Tick struct{}

func (CallArrived) message()  {}
func (Cancel) message()       {}
func (Finished) message()     {}
func (OutcomeQuery) message() {}
func (RenewLeases) message()  {}
func (LoadReport) message()   {}
func (Unreachable) message()  {}
func (CacheEvents) message()  {}
func (SessionList) message()  {}
func (MemoryFreed) message()  {}
func (Exported) message()     {}
func (ExportFreed) message()  {}
func (Drain) message()        {}
func (Shutdown) message()     {}
func (Tick) message()         {}

// Start is the command to run a call on the endpoint.
type Start struct {
	Ticket Ticket
	// Correlation is unique among all runs of all agents.
	Correlation string
	// Messages is the whole prompt of a model call; nil for a service call.
	Messages []spool.Message
	// Import is the ID of an export of the program's prefix to import before the
	// call; empty for none. The call runs even if the import fails.
	Import string
}

// Stop cancels a run. The Finished message of the run still follows.
type Stop struct{ Ticket Ticket }

// Reply answers a call, with a refusal or an outcome. Each CallArrived message gets
// exactly one.
type Reply struct {
	Ticket Ticket
	// Refusal is nil if Outcome is set.
	Refusal *spool.Refusal
	Outcome Outcome
	// Recorded is true if Outcome is the stored answer of an earlier run. The
	// caller has not received the chunks of that run.
	Recorded bool
}

// OutcomeQueryReply answers an OutcomeQuery message.
type OutcomeQueryReply struct {
	Ticket Ticket
	// Refusal is set if the epoch of the query is below the highest one seen for
	// the stream, so that the sender of the query no longer owns the stream.
	// QueryResult is then unset.
	Refusal *spool.Refusal
	QueryResult
}

// FreeMemory frees the engine memory of a program. MemoryFreed answers it.
type FreeMemory struct{ Program spool.ProgramID }

// ExportPrefix moves the prefix of a program out of the engine's cache into an
// export with the given ID. Exported answers it.
type ExportPrefix struct {
	Program spool.ProgramID
	ID      string
}

// FreeExport frees an export. ExportFreed answers it.
type FreeExport struct{ ID string }

// ListSessions requests a SessionList message with the engine's current list.
type ListSessions struct{}

// CountEvent increments the telemetry counter of the named event.
type CountEvent struct{ Event string }

// Violation reports a bug: the named invariant of the kernel does not hold, or the
// kernel has refused a call to preserve it.
type Violation struct{ Invariant string }

func (Start) command()             {}
func (Stop) command()              {}
func (Reply) command()             {}
func (OutcomeQueryReply) command() {}
func (FreeMemory) command()        {}
func (ExportPrefix) command()      {}
func (FreeExport) command()        {}
func (ListSessions) command()      {}
func (CountEvent) command()        {}
func (Violation) command()         {}
