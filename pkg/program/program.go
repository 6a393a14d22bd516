package program

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/history"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// CallKind tells what a call runs.
type CallKind string

// The kinds of calls.
const (
	CallModel   CallKind = "model"
	CallService CallKind = "service"
	// callSpawn marks tickets that hold the budget of a sub-agent.
	callSpawn CallKind = "spawn"
)

// call is what is kept of a finished call, or of one whose intent is durable.
type recordedCall struct {
	kind CallKind
	// body is the digest of the request; a repeat must carry the same.
	bodyDigest string
	// answer is the index of the answer in the history, for a model call; -1
	// when the history has been dropped.
	answerIndex int
	// text is the answer of a model call whose history has been dropped.
	answerText                                  string
	promptTokens, cachedTokens, generatedTokens int
	// fate is empty while the intent has no outcome.
	outcome    Fate
	status     int
	answerBody []byte
	endpoint   spool.EndpointID
	service    spool.ServiceName
	epoch      spool.Epoch
	agentMark  spool.AgentMark
	// tries counts the intents of the call.
	attempts int
}

// tree is a root program with its sub-agents; they share one budget.
type programTree struct {
	root spool.ProgramID
	// programs holds the root and all its sub-agents.
	programs  map[spool.ProgramID]*Program
	budget    Budget
	startedAt clock.Millis
	used      Usage
	// reserved is held by calls under way: used + reserved never exceeds the
	// budget.
	reserved Usage
	// spawning holds the tickets of sub-agents whose start is not durable yet.
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
	// count is the number of messages, which stays when the end drops them.
	messageCount int
	// tokens is the length of the history by the engine's count.
	historyTokens int
	calls         map[spool.CallID]*recordedCall
	// open counts the calls whose intent has no outcome.
	unresolvedCalls int
	// last is the latest model call.
	lastModelCall spool.CallID
	// children maps the spawning call to the sub-agent.
	children map[spool.CallID]subAgent
	// endpoint ran the latest turn.
	endpoint      spool.EndpointID
	turns         int
	spentSequence int
	lastChangeAt  clock.Millis
	endReason     EndReason
	endedAt       clock.Millis
	// seenAt is the latest request of the caller; it is not recorded.
	lastRequestAt clock.Millis

	// running is the call under way, waiting those behind it in order.
	running *Ticket
	waiting []*Ticket
}

// child is a spawned sub-agent.
type subAgent struct {
	id         spool.ProgramID
	bodyDigest string
}

// View is a copy of what others may know about a program.
type View struct {
	// ID, Parent and Account name the program.
	ID      spool.ProgramID `json:"id"`
	Parent  spool.ProgramID `json:"parent,omitempty"`
	Account spool.AccountID `json:"account"`
	// Model is the default model.
	Model spool.ModelName `json:"model,omitempty"`
	// Alarm marks alarm programs.
	Alarm bool `json:"alarm,omitempty"`
	// Turns, Messages and Tokens describe the history, Digest names it.
	Turns    int    `json:"turns"`
	Messages int    `json:"messages"`
	Tokens   int    `json:"tokens"`
	Digest   string `json:"digest,omitempty"`
	// Endpoint ran the latest turn.
	Endpoint spool.EndpointID `json:"endpoint,omitempty"`
	// Running is the call under way, Waiting counts those behind it.
	Running spool.CallID `json:"running,omitempty"`
	Waiting int          `json:"waiting,omitempty"`
	// Budget, Used and Reserved are those of the whole tree.
	Budget   Budget `json:"budget"`
	Used     Usage  `json:"used"`
	Reserved Usage  `json:"reserved"`
	// StartedAt is the start of the tree, LastAt the latest change.
	StartedAt clock.Millis `json:"startedAtMs"`
	LastAt    clock.Millis `json:"lastAtMs"`
	// Ended is why the program ended; empty while it is live.
	Ended EndReason `json:"ended,omitempty"`
}

func (p *Program) view() View {
	view := View{
		ID: p.id, Parent: p.parent, Account: p.account, Model: p.model, Alarm: p.alarm,
		Turns: p.turns, Messages: p.messageCount, Tokens: p.historyTokens, Digest: p.digest,
		Endpoint: p.endpoint, Waiting: len(p.waiting),
		Budget: p.tree.budget, Used: p.tree.used, Reserved: p.tree.reserved,
		StartedAt: p.tree.startedAt, LastAt: p.lastChangeAt, Ended: p.endReason,
	}
	if p.running != nil {
		view.Running = p.running.Call
	}
	return view
}

// Answer is the recorded answer to a call.
type Answer struct {
	// Kind tells which of the other fields are set.
	Kind CallKind `json:"kind"`
	// Text and the token counts are those of a model call.
	Text            string `json:"text,omitempty"`
	PromptTokens    int    `json:"promptTokens,omitempty"`
	CachedTokens    int    `json:"cachedTokens,omitempty"`
	GeneratedTokens int    `json:"generatedTokens,omitempty"`
	// Status and Data are those of a service call.
	Status int    `json:"status,omitempty"`
	Data   []byte `json:"data,omitempty"`
	// Endpoint ran the call.
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
