package gatekeeper

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Ticket is the sequence number of a request to an agent. It increases with each
// CallArrived and OutcomeQuery message.
type Ticket uint64

// Key identifies a call for the at-most-once check. All dispatches of the call
// share it.
type Key struct {
	Account spool.AccountID
	Program spool.ProgramID
	Call    spool.CallID
}

// Call is one dispatch of a call by the owner of its program.
type Call struct {
	Key Key
	// Stream, Epoch and Attempt order the dispatches of the call.
	Stream  spool.Stream
	Epoch   spool.Epoch
	Attempt uint64
	// Mark is the agent's mark that the owner stored in the intent of the call;
	// empty when unknown.
	Mark spool.AgentMark
	// Idempotent is false for a call that must run at most once.
	Idempotent bool
	// Alarm, Weight and Attained are passed on to the queue.
	Alarm    bool
	Weight   float64
	Attained int
	// DeadlineIn is the time left; 0 for no deadline.
	DeadlineIn clock.Millis
	// Service is true for a call to a plain service, which leaves the fields
	// below unused.
	Service bool
	// BaseCount and BaseDigest identify the cached history that Messages extend.
	BaseCount  int
	BaseDigest string
	// Messages follow the cached history.
	Messages []spool.Message
	// Digests holds the digest after each message, as spool.HistoryDigests
	// returns them for BaseDigest and Messages.
	Digests []string
	// MaxTokens limits the length of the answer.
	MaxTokens int
}

// Outcome is the answer to a call; exactly one field is set.
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

// Cancel reports that the caller has disconnected.
type Cancel struct{ Ticket Ticket }

// Ending is how a run ended.
type Ending int

// The endings of a run.
const (
	// EndDone means that the endpoint answered in full; Outcome is set.
	EndDone Ending = iota
	// EndNotSent means a failure that proves that the endpoint did not receive the
	// call.
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
	// Chunks counts the chunks received. It is the cost of a run that failed.
	Chunks int
	// Streamed is the time from the first chunk to the last one.
	Streamed clock.Millis
	// Reason explains a failure to the caller.
	Reason string
}

// OutcomeQuery queries the outcome of an in-doubt call. It also fences the
// dispatches of the call up to (Epoch, Attempt).
type OutcomeQuery struct {
	Ticket     Ticket
	Key        Key
	Stream     spool.Stream
	Epoch      spool.Epoch
	Attempt    uint64
	Mark       spool.AgentMark
	Idempotent bool
}

// RenewLeases extends the leases of Programs by LeaseDuration and ends the
// leases of Ended.
type RenewLeases struct {
	Programs      []spool.ProgramID
	Ended         []spool.ProgramID
	LeaseDuration clock.Millis
}

// LoadReport passes a load report of the engine.
type LoadReport struct{ Load spool.EngineLoad }

// Unreachable reports that the endpoint refused a connection.
type Unreachable struct{}

// CacheEvents passes cache events in the order of their sequence numbers.
type CacheEvents struct {
	// After is the sequence number in the request for events. It reveals a
	// response to a request from before an engine restart, whose sequence numbers
	// are not comparable with the current ones.
	After  uint64
	Events []spool.CacheEvent
}

// SessionList passes the engine's list of sessions and exports.
type SessionList struct {
	// RequestedAt is when the list was requested. The list does not cover later
	// changes.
	RequestedAt clock.Millis
	Programs    []spool.ProgramID
	// Exports lists the prefixes that the engine keeps outside its cache. It is
	// valid only if ExportsKnown is set.
	Exports      []spool.Export
	ExportsKnown bool
}

// Exported is the result of the command ExportPrefix.
type Exported struct {
	ID string
	// OK is true when the engine keeps the export, with a length of Tokens. NotRun
	// is true for a failure that proves that the engine does not keep it. If both
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
// wait after Config.DrainGracePeriod are refused as well, so that the endpoint
// gets no new work.
type Drain struct{ On bool }

// Shutdown starts a graceful shutdown: all new calls are refused and every
// admitted call runs.
type Shutdown struct{}

// Tick advances the time without any other input.
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

// Start runs a call on the endpoint.
type Start struct {
	Ticket Ticket
	// Correlation is unique among all runs of all agents.
	Correlation string
	// Messages is the whole prompt of a model call.
	Messages []spool.Message
	// Import is the ID of an export of the program's prefix to import before the
	// call; empty for none. The call runs even if the import fails.
	Import string
}

// Stop cancels a run. The Finished message of the run still follows.
type Stop struct{ Ticket Ticket }

// Reply answers a call. Each CallArrived message gets exactly one.
type Reply struct {
	Ticket Ticket
	// Refusal is nil when Outcome is set.
	Refusal *spool.Refusal
	Outcome Outcome
	// Recorded is true for the stored answer of an earlier run, whose chunks the
	// caller has not received.
	Recorded bool
}

// OutcomeQueryReply answers an OutcomeQuery message.
type OutcomeQueryReply struct {
	Ticket Ticket
	// Refusal is set when the sender of the query is no longer the owner of the
	// stream.
	Refusal *spool.Refusal
	QueryResult
}

// FreeMemory frees the engine memory of a program.
type FreeMemory struct{ Program spool.ProgramID }

// ExportPrefix moves the prefix of a program out of the engine's cache.
type ExportPrefix struct {
	Program spool.ProgramID
	ID      string
}

// FreeExport frees an export.
type FreeExport struct{ ID string }

// ListSessions requests a SessionList message with the engine's current list.
type ListSessions struct{}

// CountEvent increments the counter of an event.
type CountEvent struct{ Event string }

// Violation reports that an invariant of the kernel is violated.
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
