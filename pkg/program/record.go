// Package program holds the state of the programs of one stream: the order of
// their calls, their history, their budget and their sub-agents. The durable part of
// the state results from applying the records of the stream. Running and waiting calls
// and their reservations are not durable: only the owner, the entry that owns the
// stream, has them in memory. The package is deterministic: it does no I/O and takes
// the time as an argument.
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
	// KindTurn records a finished model call; its data is a Turn.
	KindTurn spool.RecordKind = "turn"
	// KindSpent charges a call that produced no turn; its data is a Spent.
	KindSpent spool.RecordKind = "spent"
	// KindIntent precedes the dispatch of a non-idempotent call; its data is
	// an Intent.
	KindIntent spool.RecordKind = "intent"
	// KindOutcome records the outcome of a service call; its data is an Outcome.
	KindOutcome spool.RecordKind = "outcome"
	// KindEnded ends a program and its sub-agents; its data is an Ended.
	KindEnded spool.RecordKind = "programEnded"
	// KindSnapshot records the state of a whole program tree; its data is a Snapshot.
	KindSnapshot spool.RecordKind = "programSnapshot"
)

// Started is the data of a record that starts a program.
type Started struct {
	// Account is the client account that is charged for the program. No other account
	// may use the program.
	Account spool.AccountID `json:"account"`
	// Parent is the program that spawned this one; empty for a root program.
	Parent spool.ProgramID `json:"parent,omitempty"`
	// Call is the parent's call that spawned this program; empty for a root program.
	Call spool.CallID `json:"call,omitempty"`
	// Body is the digest of the request that spawned this program; empty for a root
	// program.
	Body string `json:"body,omitempty"`
	// Model is the model of calls that do not specify one.
	Model spool.ModelName `json:"model,omitempty"`
	// Alarm marks a program whose calls take precedence over all other work.
	Alarm bool `json:"alarm,omitempty"`
	// Budget bounds the whole program tree. It is set for a root program only.
	Budget Budget `json:"budget"`
	// IdleTimeout is the idle time after which the owner ends the program; 0 means
	// never. ExpiryRecords defines when a program is idle.
	IdleTimeout clock.Millis `json:"idleForMs"`
	// At is the time of the start on the owner's clock.
	At clock.Millis `json:"atMs"`
}

// Turn is the data of the record of a finished model call.
type Turn struct {
	// Call identifies the call. Body is the digest of its request.
	Call spool.CallID `json:"call"`
	Body string       `json:"body"`
	// BaseCount is the number of messages in the history before the turn.
	BaseCount int `json:"base"`
	// Messages are the new messages; the last one is the answer.
	Messages []spool.Message `json:"messages"`
	// Digest is the digest of the history after the turn.
	Digest string `json:"digest"`
	// PromptTokens, CachedTokens and GeneratedTokens are the engine's counts. The cached
	// tokens are part of the prompt tokens.
	PromptTokens    int `json:"promptTokens"`
	CachedTokens    int `json:"cachedTokens"`
	GeneratedTokens int `json:"generatedTokens"`
	// Charged is the cost that is charged to the budget, in tokens.
	Charged int `json:"charged"`
	// Endpoint is the endpoint that ran the turn and has the program's prefix in memory.
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
	// Sequence numbers the Spent records of a program from 1. A record whose number is
	// not higher than the latest applied one is a repeat and is skipped.
	Sequence int `json:"sequence"`
	// Charged is the cost that is charged to the budget, in tokens.
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
	// Attempt numbers the intents of the call from 1. A call gets another intent only if
	// the outcome of the previous one is OutcomeNotRun.
	Attempt int `json:"try"`
	// Service and Endpoint are the destination of the call.
	Service  spool.ServiceName `json:"service"`
	Endpoint spool.EndpointID  `json:"endpoint"`
	// Epoch is the epoch of the owner that writes the intent.
	Epoch spool.Epoch `json:"epoch"`
	// Mark is the latest mark that the owner had received from the agent of Endpoint when
	// it wrote the intent.
	Mark spool.AgentMark `json:"mark,omitzero"`
	// At is the time of the intent on the owner's clock.
	At clock.Millis `json:"atMs"`
}

// CallOutcome is the recorded outcome of a service call. It is empty while there is an
// intent but no outcome.
type CallOutcome string

// The outcomes.
const (
	// OutcomeDone means that the call ran and its answer is known.
	OutcomeDone CallOutcome = "done"
	// OutcomeNotRun means that the call provably had no effect. It may be attempted
	// again.
	OutcomeNotRun CallOutcome = "notRun"
	// OutcomeUnknown means that the call may have run. It must never be attempted
	// again.
	OutcomeUnknown CallOutcome = "unknown"
)

// Outcome is the data of the record of the outcome of a service call.
type Outcome struct {
	// Call identifies the call. Body is the digest of its request.
	Call spool.CallID `json:"call"`
	Body string       `json:"body"`
	// Attempt is the attempt number of the intent; 0 for an idempotent call, which has
	// no intent.
	Attempt int `json:"try,omitempty"`
	// Outcome is what is known about the execution of the call.
	Outcome CallOutcome `json:"fate"`
	// Status and Answer are the HTTP status and body of the service's answer. They are
	// set only with OutcomeDone.
	Status int    `json:"status,omitempty"`
	Answer []byte `json:"answer,omitempty"`
	// Endpoint is the endpoint that ran the call; empty when no endpoint is known to have
	// run it.
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
