package program

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/history"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// CallKind tells whether a call goes to a model engine or to a plain service.
type CallKind string

// The kinds of calls.
const (
	CallModel   CallKind = "model"
	CallService CallKind = "service"
	// callSpawn marks a ticket that reserves the budget of a sub-agent.
	callSpawn CallKind = "spawn"
)

// recordedCall is the state of a call that results from applied records: a finished
// call, or a call that has only an intent so far.
type recordedCall struct {
	kind CallKind
	// bodyDigest is the digest of the request. A repeat must have the same digest.
	bodyDigest string
	// answerIndex is, for a model call, the index of its answer in the history. It is
	// -1 for a service call and after the history has been dropped.
	answerIndex int
	// answerText is the answer of a model call after the history has been dropped.
	answerText                                  string
	promptTokens, cachedTokens, generatedTokens int
	// outcome is empty while the call has only an intent. status and answerBody are the
	// HTTP status and body of a service's answer.
	outcome    CallOutcome
	status     int
	answerBody []byte
	endpoint   spool.EndpointID
	service    spool.ServiceName
	epoch      spool.Epoch
	agentMark  spool.AgentMark
	// attempts is the attempt number of the latest intent; 0 for a call without intent.
	attempts int
}

// programTree is a root program with all its sub-agents. They share one budget.
type programTree struct {
	root spool.ProgramID
	// programs holds the root program and all its sub-agents.
	programs  map[spool.ProgramID]*Program
	budget    Budget
	startedAt clock.Millis
	used      Usage
	// reserved is the sum of the reservations of running calls and pending spawns.
	// used + reserved never exceeds the budget.
	reserved Usage
	// pendingSpawns holds, by sub-agent, the tickets of the spawns whose start record has
	// not been applied yet.
	pendingSpawns map[spool.ProgramID]*Ticket
}

// Program is the state of one program.
type Program struct {
	id          spool.ProgramID
	account     spool.AccountID
	parent      spool.ProgramID
	model       spool.ModelName
	alarm       bool
	idleTimeout clock.Millis
	tree        *programTree

	history history.History
	digest  string
	// messageCount is the number of messages of all turns. Unlike history.Len it keeps
	// its value when the program ends and its history is dropped.
	messageCount int
	// historyTokens is the length of the history in tokens, as counted by the engine.
	historyTokens int
	calls         map[spool.CallID]*recordedCall
	// unresolvedCalls is the number of calls that have an intent but no outcome,
	// including a running one.
	unresolvedCalls int
	// lastModelCall is the latest finished model call; empty when there is none.
	lastModelCall spool.CallID
	// children maps a spawning call to the sub-agent that it has spawned.
	children map[spool.CallID]subAgent
	// endpoint is the endpoint that ran the latest turn; empty when there is none.
	endpoint spool.EndpointID
	turns    int
	// spentSequence is the highest Spent.Sequence that has been applied.
	spentSequence int
	lastChangeAt  clock.Millis
	endReason     EndReason
	endedAt       clock.Millis
	// lastRequestAt is the time of the latest request for the program or a descendant.
	// It is not recorded on the log, so it is 0 after a change of the owner.
	lastRequestAt clock.Millis

	// running is the ticket of the running call; nil when there is none. waiting holds
	// the tickets of the waiting calls in the order of their arrival.
	running *Ticket
	waiting []*Ticket
}

// subAgent identifies a spawned sub-agent. bodyDigest is the digest of the request that
// spawned it.
type subAgent struct {
	id         spool.ProgramID
	bodyDigest string
}

// View is a copy of the state of a program for other packages and for callers.
type View struct {
	// ID, Parent and Account identify the program, its parent and its client account.
	ID      spool.ProgramID `json:"id"`
	Parent  spool.ProgramID `json:"parent,omitempty"`
	Account spool.AccountID `json:"account"`
	// Model is the model of calls that do not specify one.
	Model spool.ModelName `json:"model,omitempty"`
	// Alarm reports whether the calls of the program take precedence over all other
	// work.
	Alarm bool `json:"alarm,omitempty"`
	// Turns is the number of finished model calls. Messages and Tokens are the length of
	// the history, and Digest is the digest of the history. They keep their values after
	// the program has ended.
	Turns    int    `json:"turns"`
	Messages int    `json:"messages"`
	Tokens   int    `json:"tokens"`
	Digest   string `json:"digest,omitempty"`
	// Endpoint is the endpoint that ran the latest turn; empty when there is none.
	Endpoint spool.EndpointID `json:"endpoint,omitempty"`
	// Running is the running call; empty when there is none. Waiting is the number of
	// calls that wait until earlier calls of the program have ended.
	Running spool.CallID `json:"running,omitempty"`
	Waiting int          `json:"waiting,omitempty"`
	// Budget, Used and Reserved apply to the whole program tree.
	Budget   Budget `json:"budget"`
	Used     Usage  `json:"used"`
	Reserved Usage  `json:"reserved"`
	// StartedAt is the time at which the root program started. LastChangeAt is the time
	// of the latest record that changed the program or one of its descendants.
	StartedAt    clock.Millis `json:"startedAtMs"`
	LastChangeAt clock.Millis `json:"lastAtMs"`
	// Ended is the reason why the program ended; empty while it has not ended.
	Ended EndReason `json:"ended,omitempty"`
}

func (p *Program) view() View {
	view := View{
		ID: p.id, Parent: p.parent, Account: p.account, Model: p.model, Alarm: p.alarm,
		Turns: p.turns, Messages: p.messageCount, Tokens: p.historyTokens, Digest: p.digest,
		Endpoint: p.endpoint, Waiting: len(p.waiting),
		Budget: p.tree.budget, Used: p.tree.used, Reserved: p.tree.reserved,
		StartedAt: p.tree.startedAt, LastChangeAt: p.lastChangeAt, Ended: p.endReason,
	}
	if p.running != nil {
		view.Running = p.running.Call
	}
	return view
}

// Answer is the recorded answer to a call.
type Answer struct {
	// Kind determines which of the other fields are set.
	Kind CallKind `json:"kind"`
	// Text and the token counts of the engine are set for a model call.
	Text            string `json:"text,omitempty"`
	PromptTokens    int    `json:"promptTokens,omitempty"`
	CachedTokens    int    `json:"cachedTokens,omitempty"`
	GeneratedTokens int    `json:"generatedTokens,omitempty"`
	// Status and Data are the HTTP status and body of the answer to a service call.
	Status int    `json:"status,omitempty"`
	Data   []byte `json:"data,omitempty"`
	// Endpoint is the endpoint that ran the call.
	Endpoint spool.EndpointID `json:"endpoint,omitempty"`
}

func (p *Program) answerOf(recorded *recordedCall) Answer {
	answer := Answer{Kind: recorded.kind, Endpoint: recorded.endpoint}
	if recorded.kind == CallService {
		answer.Status, answer.Data = recorded.status, recorded.answerBody
		return answer
	}
	answer.PromptTokens, answer.CachedTokens, answer.GeneratedTokens = recorded.promptTokens, recorded.cachedTokens, recorded.generatedTokens
	answer.Text = recorded.answerText
	if recorded.answerIndex >= 0 {
		answer.Text = p.history.At(recorded.answerIndex).Content
	}
	return answer
}
