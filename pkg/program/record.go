// Package program holds the state of the programs of one stream: the order of
// their calls, their history, their budget and their sub-agents. The durable part of
// the state results from applying journal records. Running calls and their
// reservations are not durable; only the owner holds them, which is the entry that
// owns the stream. The package is deterministic: it does no I/O and takes the time
// as an argument.
package program

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// The kinds of records on a program stream that this package reads.
const (
	// KindStarted starts a root program; its data is a Started.
	KindStarted spool.RecordKind = "programStarted"
	// KindSpawned starts a sub-agent; its data is a Started with a parent.
	KindSpawned spool.RecordKind = "childSpawned"
	// KindTurn is a finished model call; its data is a Turn.
	KindTurn spool.RecordKind = "turn"
	// KindSpent charges a call that produced no turn; its data is a Spent.
	KindSpent spool.RecordKind = "spent"
	// KindIntent precedes the dispatch of a non-idempotent call; its data is
	// an Intent.
	KindIntent spool.RecordKind = "intent"
	// KindOutcome is a finished service call; its data is an Outcome.
	KindOutcome spool.RecordKind = "outcome"
	// KindEnded ends a program and its sub-agents; its data is an Ended.
	KindEnded spool.RecordKind = "programEnded"
	// KindSnapshot is the state of a program tree; its data is a Snapshot.
	KindSnapshot spool.RecordKind = "programSnapshot"
)

// Started is the data of a record that starts a program.
type Started struct {
	// Account is the client account that is charged for the program. No other account
	// may use the program.
	Account spool.AccountID `json:"account"`
	// Parent is the program that spawned this one; empty for a root.
	Parent spool.ProgramID `json:"parent,omitempty"`
	// Call is the parent's call that spawned this program.
	Call spool.CallID `json:"call,omitempty"`
	// Body is the digest of that call's request.
	Body string `json:"body,omitempty"`
	// Model is the model of calls that do not specify one.
	Model spool.ModelName `json:"model,omitempty"`
	// Alarm marks a program whose calls take precedence over all other work.
	Alarm bool `json:"alarm,omitempty"`
	// Budget bounds the whole program tree. It is set for a root program only.
	Budget Budget `json:"budget"`
	// IdleFor is the idle time after which the program is ended as abandoned.
	IdleTimeout clock.Millis `json:"idleForMs"`
	// At is the time of the start on the owner's clock.
	At clock.Millis `json:"atMs"`
}

// Turn is the data of the record of a finished model call.
type Turn struct {
	// Call identifies the call. Body is the digest of its request.
	Call spool.CallID `json:"call"`
	Body string       `json:"body"`
	// Base is the number of messages in the history before the turn.
	BaseCount int `json:"base"`
	// Messages are the new messages; the last one is the answer.
	Messages []spool.Message `json:"messages"`
	// Digest is the digest of the history after the turn.
	Digest string `json:"digest"`
	// PromptTokens, CachedTokens and GeneratedTokens are the engine's counts.
	PromptTokens    int `json:"promptTokens"`
	CachedTokens    int `json:"cachedTokens"`
	GeneratedTokens int `json:"generatedTokens"`
	// Charged is the cost that is charged to the budget, in tokens.
	Charged int `json:"charged"`
	// Endpoint is the endpoint that ran the turn and holds the prefix.
	Endpoint spool.EndpointID `json:"endpoint"`
	// At is the time of the end of the turn on the owner's clock.
	At clock.Millis `json:"atMs"`
}

// Spent is the data of the record that charges a call that was dispatched but
// produced no turn. Without it, an endless loop of cancelled or failed calls would
// never exhaust its budget.
type Spent struct {
	// Call identifies the call.
	Call spool.CallID `json:"call"`
	// Sequence numbers the Spent records of a program from 1. It identifies a repeated
	// record, which is skipped.
	Sequence int `json:"sequence"`
	// Charged is the cost in tokens.
	Charged int `json:"charged"`
	// At is the time of the charge on the owner's clock.
	At clock.Millis `json:"atMs"`
}

// Intent is the data of the record that precedes the dispatch of a non-idempotent
// call.
type Intent struct {
	// Call identifies the call. Body is the digest of its request.
	Call spool.CallID `json:"call"`
	Body string       `json:"body"`
	// Try numbers the attempts of the call from 1. A call that provably did not run may
	// be attempted again.
	Attempt int `json:"try"`
	// Service and Endpoint are the destination of the call.
	Service  spool.ServiceName `json:"service"`
	Endpoint spool.EndpointID  `json:"endpoint"`
	// Epoch numbers the owner's claim on the stream.
	Epoch spool.Epoch `json:"epoch"`
	// Mark is the mark of the agent that the owner knew before the dispatch.
	Mark spool.AgentMark `json:"mark,omitzero"`
	// At is the time of the intent on the owner's clock.
	At clock.Millis `json:"atMs"`
}

// Fate is the known outcome of a service call.
type CallOutcome string

// The outcomes.
const (
	// FateDone means that the call ran and its answer is known.
	OutcomeDone CallOutcome = "done"
	// FateNotRun means that the call provably had no effect. It may be attempted again.
	OutcomeNotRun CallOutcome = "notRun"
	// FateUnknown means that the call may have run. It must never be attempted again.
	OutcomeUnknown CallOutcome = "unknown"
)

// Outcome is the data of the record of the outcome of a service call.
type Outcome struct {
	// Call identifies the call. Body is the digest of its request.
	Call spool.CallID `json:"call"`
	Body string       `json:"body"`
	// Try is the attempt number of the intent; 0 for an idempotent call, which has no
	// intent.
	Attempt int `json:"try,omitempty"`
	// Fate is the outcome. Status and Answer are set only with FateDone.
	Outcome CallOutcome `json:"fate"`
	// Status and Answer are the HTTP status and body of the service's answer.
	Status int    `json:"status,omitempty"`
	Answer []byte `json:"answer,omitempty"`
	// Endpoint is the endpoint that ran the call.
	Endpoint spool.EndpointID `json:"endpoint,omitempty"`
	// At is the time of the record on the owner's clock.
	At clock.Millis `json:"atMs"`
}

// EndReason is the reason why a program ended.
type EndReason string

// The reasons.
const (
	EndByCaller  EndReason = "ended"
	EndCancelled EndReason = "cancelled"
	EndExpired   EndReason = "expired"
)

// Ended is the data of the record that ends a program and its sub-agents.
type Ended struct {
	// Reason is the reason of the end.
	Reason EndReason `json:"reason"`
	// At is the time of the end on the owner's clock.
	At clock.Millis `json:"atMs"`
}

// newRecord returns a journal record with the JSON encoding of data.
func newRecord(kind spool.RecordKind, program spool.ProgramID, data any) spool.Record {
	body, err := json.Marshal(data)
	if err != nil {
		// Encoding cannot fail, because the record types hold only strings, numbers and
		// bytes.
		panic(errors.Wrapf(err, "encode %s", kind))
	}
	return spool.Record{Kind: kind, Program: program, Data: body}
}
