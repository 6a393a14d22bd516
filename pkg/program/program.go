package program

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/history"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// CallKind is the kind of work that a call runs.
type CallKind string

// The kinds of calls.
const (
	CallModel   CallKind = "model"
	CallService CallKind = "service"
	// callSpawn marks a ticket that reserves the budget of a sub-agent.
	callSpawn CallKind = "spawn"
)

// recordedCall is the recorded state of a finished call, or of a call whose intent is
// durable.
type recordedCall struct {
	kind CallKind
	// bodyDigest is the digest of the request. A repeat must have the same digest.
	bodyDigest string
	// answerIndex is, for a model call, the index of its answer in the history. It is
	// -1 for a service call and after the history has been dropped.
	answerIndex int
	// answerText is the answer of a model call whose history has been dropped.
	answerText                                  string
	promptTokens, cachedTokens, generatedTokens int
	// outcome is empty while the intent has no outcome.
	outcome    CallOutcome
	status     int
	answerBody []byte
	endpoint   spool.EndpointID
	service    spool.ServiceName
	epoch      spool.Epoch
	agentMark  spool.AgentMark
	// attempts is the number of intents of the call.
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
	// pendingSpawns holds the tickets of sub-agents whose start record is not durable
	// yet.
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
	// messageCount is the number of messages of the history. It remains after the
	// program has ended and its history has been dropped.
	messageCount int
	// historyTokens is the length of the history in tokens, as counted by the engine.
	historyTokens int
	calls         map[spool.CallID]*recordedCall
	// unresolvedCalls is the number of calls whose intent has no outcome.
	unresolvedCalls int
	// lastModelCall is the latest finished model call.
	lastModelCall spool.CallID
	// children maps a spawning call to the sub-agent that it has spawned.
	children map[spool.CallID]subAgent
	// endpoint is the endpoint that ran the latest turn.
	endpoint      spool.EndpointID
	turns         int
	spentSequence int
	lastChangeAt  clock.Millis
	endReason     EndReason
	endedAt       clock.Millis
	// lastRequestAt is the time of the latest request of the caller. It is not
	// recorded on the log.
	lastRequestAt clock.Millis

	// running is the ticket of the running call; nil when there is none. waiting holds
	// the tickets of the waiting calls in order.
	running *Ticket
	waiting []*Ticket
}

// subAgent identifies a spawned sub-agent and the request that spawned it.
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
	// Turns, Messages and Tokens are the lengths of the history. Digest is its digest.
	Turns    int    `json:"turns"`
	Messages int    `json:"messages"`
	Tokens   int    `json:"tokens"`
	Digest   string `json:"digest,omitempty"`
	// Endpoint is the endpoint that ran the latest turn.
	Endpoint spool.EndpointID `json:"endpoint,omitempty"`
	// Running is the running call. Waiting is the number of calls that wait for it.
	Running spool.CallID `json:"running,omitempty"`
	Waiting int          `json:"waiting,omitempty"`
	// Budget, Used and Reserved apply to the whole program tree.
	Budget   Budget `json:"budget"`
	Used     Usage  `json:"used"`
	Reserved Usage  `json:"reserved"`
	// StartedAt is the time of the start of the tree. LastAt is the time of the latest
	// change of the program or its sub-agents.
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
	// Text and the token counts are set for a model call.
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
