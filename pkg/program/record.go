// Package program holds the state of the programs of one stream: the order of
// their calls, their history, their budget and their sub-agents. The durable
// part is folded from journal records; the rest, calls under way and their
// reservations, lives only at the owner. The package is deterministic: it does
// no I/O and takes the time as an argument.
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
	// KindSpent charges a call that has left no turn; its data is a Spent.
	KindSpent spool.RecordKind = "spent"
	// KindIntent precedes the dispatch of a non-idempotent call; its data is
	// an Intent.
	KindIntent spool.RecordKind = "intent"
	// KindOutcome is a finished service call; its data is an Outcome.
	KindOutcome spool.RecordKind = "outcome"
	// KindEnded ends a program and its sub-agents; its data is an Ended.
	KindEnded spool.RecordKind = "programEnded"
	// KindSnapshot is the state of a tree of programs; its data is a Snapshot.
	KindSnapshot spool.RecordKind = "programSnapshot"
)

// Started is the start of a program.
type Started struct {
	// Account pays for the program and is the only one that may use it.
	Account spool.AccountID `json:"account"`
	// Parent is the program that spawned this one; empty for a root.
	Parent spool.ProgramID `json:"parent,omitempty"`
	// Call is the parent's call that spawned this program.
	Call spool.CallID `json:"call,omitempty"`
	// Body is the digest of that call's request.
	Body string `json:"body,omitempty"`
	// Model is used by calls that name none.
	Model spool.ModelName `json:"model,omitempty"`
	// Alarm marks a program whose calls go before all other work.
	Alarm bool `json:"alarm,omitempty"`
	// Budget bounds the whole tree; set for a root only.
	Budget Budget `json:"budget"`
	// IdleFor is the idle time after which the program counts as abandoned.
	IdleFor clock.Millis `json:"idleForMs"`
	// At is the owner's clock at the start.
	At clock.Millis `json:"atMs"`
}

// Turn is a finished model call.
type Turn struct {
	// Call and Body name the call and the digest of its request.
	Call spool.CallID `json:"call"`
	Body string       `json:"body"`
	// Base is the number of messages in the history before the turn.
	Base int `json:"base"`
	// Messages are the new messages; the last one is the answer.
	Messages []spool.Message `json:"messages"`
	// Digest is the digest of the history after the turn.
	Digest string `json:"digest"`
	// PromptTokens, CachedTokens and GeneratedTokens are the engine's counts.
	PromptTokens    int `json:"promptTokens"`
	CachedTokens    int `json:"cachedTokens"`
	GeneratedTokens int `json:"generatedTokens"`
	// Charged is what the turn costs the budget, in tokens.
	Charged int `json:"charged"`
	// Endpoint ran the turn and holds the prefix.
	Endpoint spool.EndpointID `json:"endpoint"`
	// At is the owner's clock when the turn ended.
	At clock.Millis `json:"atMs"`
}

// Spent charges a call that was dispatched but has left no turn, so that an
// endless loop of cancelled or failed calls also meets its budget.
type Spent struct {
	// Call names the call.
	Call spool.CallID `json:"call"`
	// Sequence counts the records of this kind of a program from 1; a repeat
	// is dropped.
	Sequence int `json:"sequence"`
	// Charged is the cost in tokens.
	Charged int `json:"charged"`
	// At is the owner's clock.
	At clock.Millis `json:"atMs"`
}

// Intent announces the dispatch of a non-idempotent call.
type Intent struct {
	// Call and Body name the call and the digest of its request.
	Call spool.CallID `json:"call"`
	Body string       `json:"body"`
	// Try counts the intents of the call from 1; a call that provably did not
	// run may be tried again.
	Try int `json:"try"`
	// Service and Endpoint are where the call is sent.
	Service  spool.ServiceName `json:"service"`
	Endpoint spool.EndpointID  `json:"endpoint"`
	// Epoch is the owner's claim.
	Epoch spool.Epoch `json:"epoch"`
	// Mark is the agent's mark that the owner had learned before.
	Mark spool.AgentMark `json:"mark,omitzero"`
	// At is the owner's clock.
	At clock.Millis `json:"atMs"`
}

// Fate is what is known about a service call.
type Fate string

// The fates.
const (
	// FateDone means that the call ran and its answer is known.
	FateDone Fate = "done"
	// FateNotRun means that the call provably had no effect; it may run again.
	FateNotRun Fate = "notRun"
	// FateUnknown means that the call may have run; it never runs again.
	FateUnknown Fate = "unknown"
)

// Outcome is the end of a service call.
type Outcome struct {
	// Call and Body name the call and the digest of its request.
	Call spool.CallID `json:"call"`
	Body string       `json:"body"`
	// Try is that of the intent; 0 for an idempotent call, which has none.
	Try int `json:"try,omitempty"`
	// Fate tells whether Status and Answer are set.
	Fate Fate `json:"fate"`
	// Status and Answer are the service's answer.
	Status int    `json:"status,omitempty"`
	Answer []byte `json:"answer,omitempty"`
	// Endpoint ran the call.
	Endpoint spool.EndpointID `json:"endpoint,omitempty"`
	// At is the owner's clock.
	At clock.Millis `json:"atMs"`
}

// EndReason tells why a program ended.
type EndReason string

// The reasons.
const (
	EndByCaller  EndReason = "ended"
	EndCancelled EndReason = "cancelled"
	EndExpired   EndReason = "expired"
)

// Ended is the end of a program and of its sub-agents.
type Ended struct {
	// Reason tells why.
	Reason EndReason `json:"reason"`
	// At is the owner's clock.
	At clock.Millis `json:"atMs"`
}

// record builds a journal record.
func newRecord(kind spool.RecordKind, program spool.ProgramID, data any) spool.Record {
	body, err := json.Marshal(data)
	if err != nil {
		// The types of this package hold only strings, numbers and bytes.
		panic(errors.Wrapf(err, "encode %s", kind))
	}
	return spool.Record{Kind: kind, Program: program, Data: body}
}
