package gatekeeper

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Ticket numbers the requests that an agent takes in. It increases with each
// Arrive and Fate message.
type Ticket uint64

// Key names an action for the at-most-once check.
type Key struct {
	Account spool.AccountID
	Program spool.ProgramID
	Call    spool.CallID
}

// Call is one dispatch by the owner of a program.
type Call struct {
	// Key names the action.
	Key Key
	// Stream, Epoch and Attempt order the dispatches of the action.
	Stream  spool.Stream
	Epoch   spool.Epoch
	Attempt uint64
	// Mark is the agent's mark in the call's intent; empty when unknown.
	Mark spool.AgentMark
	// Idempotent is false for an action that must run at most once.
	Idempotent bool
	// Alarm, Weight and Attained are passed to the queue.
	Alarm    bool
	Weight   float64
	Attained int
	// DeadlineIn is the time left; 0 for no deadline.
	DeadlineIn clock.Millis
	// Service is true for a call to a plain service; the fields below are then
	// unused.
	Service bool
	// BaseCount and BaseDigest name the cached history below Messages.
	BaseCount  int
	BaseDigest string
	// Messages follow the base.
	Messages []spool.Message
	// Digests holds the digest after each message, as spool.HistoryDigests
	// returns them for BaseDigest and Messages.
	Digests []string
	// MaxTokens bounds the answer.
	MaxTokens int
}

// Outcome is the answer to a call; one field is set.
type Outcome struct {
	Engine  *spool.EngineResult
	Service *spool.ServiceResult
}

// Message is an input of the kernel.
type Message interface{ message() }

// Command is an output of the kernel that its process carries out.
type Command interface{ command() }

// Arrive is a call that has reached the agent.
type Arrive struct {
	Ticket Ticket
	Call   Call
}

// Cancel says that the caller has gone away.
type Cancel struct{ Ticket Ticket }

// Ending tells how a run ended.
type Ending int

// The endings.
const (
	// EndDone is a full answer; Outcome is set.
	EndDone Ending = iota
	// EndNotSent is a failure that proves that the endpoint did not see the call.
	EndNotSent
	// EndStopped is a run that was stopped by the command Stop.
	EndStopped
	// EndInvalid is an engine's answer that the call is not valid; it has not run.
	EndInvalid
	// EndFailed is any other failure; the call may have run.
	EndFailed
)

// Finished says that a run that Start has begun is over.
type Finished struct {
	Ticket Ticket
	Ending Ending
	// Outcome is set with EndDone.
	Outcome Outcome
	// Chunks counts the pieces that were received; the cost of a failed run.
	Chunks int
	// Streamed is the time from the first piece to the last one.
	Streamed clock.Millis
	// Reason explains a failure to the caller.
	Reason string
}

// Fate asks what became of a call and fences older dispatches of it.
type Fate struct {
	Ticket     Ticket
	Key        Key
	Stream     spool.Stream
	Epoch      spool.Epoch
	Attempt    uint64
	Mark       spool.AgentMark
	Idempotent bool
}

// Renew extends the leases of programs and ends those of others.
type Renew struct {
	Programs []spool.ProgramID
	Ended    []spool.ProgramID
	LeaseFor clock.Millis
}

// Report is a load report of the engine.
type Report struct{ Load spool.EngineLoad }

// Unreachable says that the endpoint refused a connection.
type Unreachable struct{}

// Events are cache events in the order of their sequence numbers.
type Events struct {
	// After is the sequence number that was asked for. An answer to a question
	// from before a restart of the engine does not fit the new numbers.
	After  uint64
	Events []spool.CacheEvent
}

// Sessions is the engine's list of sessions.
type Sessions struct {
	// AskedAt is when the list was asked for; it says nothing about later uses.
	AskedAt  clock.Millis
	Programs []spool.ProgramID
	// Exports lists what the engine keeps outside its cache, if ExportsKnown.
	Exports      []spool.Export
	ExportsKnown bool
}

// Exported is the result of the command ExportPrefix.
type Exported struct {
	ID string
	// OK tells that the engine keeps the export, of Tokens. NotRun is a failure
	// that proves that it does not; without either, it may or may not.
	OK, NotRun bool
	Tokens     int
}

// ExportFreed is the result of the command FreeExport.
type ExportFreed struct {
	ID string
	OK bool
}

// Freed is the result of the command Free.
type Freed struct {
	Program spool.ProgramID
	OK      bool
}

// Drain starts or ends the refusal of new calls. Calls that still wait after
// Config.DrainQueueFor are refused, so that the endpoint gets no new work.
type Drain struct{ On bool }

// Leave starts a graceful shutdown: new calls are refused for good and every
// admitted call runs.
type Leave struct{}

// Tick lets time pass.
type Tick struct{}

func (Arrive) message()      {}
func (Cancel) message()      {}
func (Finished) message()    {}
func (Fate) message()        {}
func (Renew) message()       {}
func (Report) message()      {}
func (Unreachable) message() {}
func (Events) message()      {}
func (Sessions) message()    {}
func (Freed) message()       {}
func (Exported) message()    {}
func (ExportFreed) message() {}
func (Drain) message()       {}
func (Leave) message()       {}
func (Tick) message()        {}

// Start runs a call.
type Start struct {
	Ticket Ticket
	// Correlation is unique among all runs of all agents.
	Correlation string
	// Messages is the whole prompt of a model call.
	Messages []spool.Message
	// Import names an export of the program's prefix to bring back first; empty for
	// none. The call runs without it too.
	Import string
}

// Stop cancels a run; its Finished message still follows.
type Stop struct{ Ticket Ticket }

// Reply ends a request. It is given exactly once for each Arrive.
type Reply struct {
	Ticket Ticket
	// Refusal is nil when Outcome is set.
	Refusal *spool.Refusal
	Outcome Outcome
	// Recorded is true for the answer of an earlier run, whose chunks the caller
	// has not received.
	Recorded bool
}

// FateReply answers a Fate message.
type FateReply struct {
	Ticket Ticket
	// Refusal is set when the asker is not the owner.
	Refusal *spool.Refusal
	Standing
}

// Free releases the engine memory of a program.
type Free struct{ Program spool.ProgramID }

// ExportPrefix moves the prefix of a program out of the engine's cache.
type ExportPrefix struct {
	Program spool.ProgramID
	ID      string
}

// FreeExport releases an export.
type FreeExport struct{ ID string }

// Reconcile asks for the engine's list of sessions.
type Reconcile struct{}

// Note counts an event.
type Note struct{ Event string }

// Violation says that an invariant was found broken.
type Violation struct{ Invariant string }

func (Start) command()        {}
func (Stop) command()         {}
func (Reply) command()        {}
func (FateReply) command()    {}
func (Free) command()         {}
func (ExportPrefix) command() {}
func (FreeExport) command()   {}
func (Reconcile) command()    {}
func (Note) command()         {}
func (Violation) command()    {}
