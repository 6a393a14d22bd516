package wire

import (
	"encoding/json"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Methods between the system's processes.
const (
	MethodForward        = "entry.forward"
	MethodHeartbeat      = "entry.heartbeat"
	MethodProbe          = "entry.probe"
	MethodHandover       = "entry.handover"
	MethodHold           = "journal.hold"
	MethodSeal           = "journal.seal"
	MethodPromise        = "journal.promise"
	MethodRelease        = "journal.release"
	MethodLease          = "limit.lease"
	MethodStart          = "limit.start"
	MethodPull           = "control.pull"
	MethodControlStatus  = "control.status"
	MethodRosterPull     = "roster.pull"
	MethodRun            = "endpoint.run"
	MethodRenew          = "endpoint.renew"
	MethodFate           = "endpoint.fate"
	MethodEndpointStatus = "endpoint.status"
)

// RunKind tells what kind of call an agent is to make.
type RunKind string

// The kinds of calls.
const (
	RunModel   RunKind = "model"
	RunService RunKind = "service"
)

// RunRequest asks an agent to make one call to its endpoint.
type RunRequest struct {
	// Kind tells whether Messages or Service is used.
	Kind RunKind `json:"kind"`
	// Correlation identifies this dispatch and is echoed in each chunk and in
	// the reply.
	Correlation string `json:"correlation"`
	// Entry is the node that owns the program.
	Entry spool.NodeID `json:"entry"`
	// Account, Program and Call name the action; together they are the key of
	// the at-most-once check.
	Account spool.AccountID `json:"account"`
	Program spool.ProgramID `json:"program"`
	Call    spool.CallID    `json:"call"`
	// Stream and Epoch fence the owner.
	Stream spool.Stream `json:"stream"`
	Epoch  spool.Epoch  `json:"epoch"`
	// Attempt counts the dispatches of this call within the epoch. After a fate
	// answer, only a dispatch with a higher (Epoch, Attempt) is accepted.
	Attempt uint64 `json:"attempt,omitempty"`
	// Mark is the agent's mark that the owner held when it wrote the intent. An
	// agent with another Boot refuses the dispatch. Empty skips the check.
	Mark spool.AgentMark `json:"mark,omitzero"`
	// Idempotent is false for an action that must run at most once.
	Idempotent bool `json:"idempotent"`
	// Alarm, Weight and Attained order the call in the agent's queue.
	Alarm    bool    `json:"alarm,omitempty"`
	Weight   float64 `json:"weight,omitempty"`
	Attained int     `json:"attained,omitempty"`
	// DeadlineIn is the time left for the call when the request was sent; a
	// duration, since the clocks of two VMs differ.
	DeadlineIn clock.Millis `json:"deadlineInMs,omitempty"`

	// Model and MaxTokens are those of the model call.
	Model     spool.ModelName `json:"model,omitempty"`
	MaxTokens int             `json:"maxTokens,omitempty"`
	// BaseCount and BaseDigest name the history that the agent is expected to
	// hold: the number of messages and their digest. The agent answers with
	// CodeNeedHistory when it does not hold it.
	BaseCount  int    `json:"baseCount,omitempty"`
	BaseDigest string `json:"baseDigest,omitempty"`
	// Messages follow the base; with BaseCount 0 they are the whole prompt.
	Messages []spool.Message `json:"messages,omitempty"`

	// Service is the request of a service call; Correlation and Call of it are
	// set by the agent.
	Service *spool.ServiceCall `json:"service,omitempty"`
}

// RunReply is the end of a call.
type RunReply struct {
	// Correlation is that of the request.
	Correlation string `json:"correlation"`
	// Engine is the result of a model call.
	Engine *spool.EngineResult `json:"engine,omitempty"`
	// Service is the result of a service call.
	Service *spool.ServiceResult `json:"service,omitempty"`
	// Load is the agent's state at the end of the call.
	Load EndpointStatus `json:"load"`
}

// EndpointStatus is the state of an agent and its endpoint.
type EndpointStatus struct {
	// Endpoint names the agent.
	Endpoint spool.EndpointID `json:"endpoint"`
	// Window, Running and Queued are those of the gate.
	Window  int `json:"window"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// QueuedStarts counts those of the queued calls that begin a program, and
	// StartWait is how long one more would wait.
	QueuedStarts int          `json:"queuedStarts,omitempty"`
	StartWait    clock.Millis `json:"startWaitMs,omitempty"`
	// Cold and Draining tell why the window is small.
	Cold     bool `json:"cold,omitempty"`
	Draining bool `json:"draining,omitempty"`
	// MillisPerCall is the moving average of service time without queueing.
	MillisPerCall float64 `json:"millisPerCall"`
	// ControlOffset is the offset of the control stream that is in force.
	ControlOffset spool.Offset `json:"controlOffset"`
	// Mark is the agent's current mark. An owner puts it into the intent of a
	// non-idempotent call, the dispatch, and a question about its fate.
	Mark spool.AgentMark `json:"mark"`
	// Held lists programs whose memory the engine holds, with the tokens of
	// the prefix; only in the answer to endpoint.status.
	Held map[spool.ProgramID]int `json:"held,omitempty"`
}

// RenewRequest renews the engine memory of programs.
type RenewRequest struct {
	// Entry is the owner.
	Entry spool.NodeID `json:"entry"`
	// Programs are still under way.
	Programs []spool.ProgramID `json:"programs"`
	// Ended are gone; their memory is to be freed at once.
	Ended []spool.ProgramID `json:"ended,omitempty"`
	// LeaseFor is the time for which the memory may be kept.
	LeaseFor clock.Millis `json:"leaseForMs"`
}

// FateRequest asks what became of a call. It fences lower epochs of the stream
// and, for this call, dispatches up to (Epoch, Attempt).
type FateRequest struct {
	Account spool.AccountID `json:"account"`
	Program spool.ProgramID `json:"program"`
	Call    spool.CallID    `json:"call"`
	Stream  spool.Stream    `json:"stream"`
	Epoch   spool.Epoch     `json:"epoch"`
	// Attempt is the highest attempt that the asker has dispatched in Epoch; 0
	// for an owner that has taken over and not dispatched the call.
	Attempt uint64 `json:"attempt,omitempty"`
	// Mark is the one in the intent of the call. Without it the agent cannot
	// prove that it has kept watch and never answers FateNotSeen.
	Mark spool.AgentMark `json:"mark,omitzero"`
	// Idempotent must equal that of the dispatch.
	Idempotent bool `json:"idempotent,omitempty"`
}

// Fate is what an agent knows of a call.
type Fate string

// The fates.
const (
	// FateNotSeen means that the agent has kept watch since before the call
	// could have been sent, has not run it, and refuses its dispatches up to the
	// request's (Epoch, Attempt) from now on. A dispatch without a mark is
	// refused only while the agent keeps outcomes.
	FateNotSeen Fate = "notSeen"
	// FateRunning means that the call is under way.
	FateRunning Fate = "running"
	// FateDone means that the call ended; Reply is set.
	FateDone Fate = "done"
	// FateUnknown means that the agent cannot tell.
	FateUnknown Fate = "unknown"
)

// FateReply answers a FateRequest.
type FateReply struct {
	Fate Fate `json:"fate"`
	// Reply is set with FateDone.
	Reply *RunReply `json:"reply,omitempty"`
	// AgentSince is how long the agent has been running.
	AgentSince clock.Millis `json:"agentSinceMs"`
}

// PullRequest asks a node for control records.
type PullRequest struct {
	// After is the highest offset that the asking node has applied.
	After spool.Offset `json:"after"`
	// Wait bounds the long poll.
	Wait clock.Millis `json:"waitMs"`
	// Node is the asking node.
	Node spool.NodeID `json:"node"`
}

// PullReply holds control records or a snapshot.
type PullReply struct {
	// Batches follow After without gaps.
	Batches []spool.Batch `json:"batches,omitempty"`
	// Snapshot is set instead when the answering node no longer has the batches;
	// it holds the state at offset SnapshotAt.
	Snapshot   json.RawMessage `json:"snapshot,omitempty"`
	SnapshotAt spool.Offset    `json:"snapshotAt,omitempty"`
	// Last is the offset that the answering node has applied. The asking node is
	// as fresh as the answering one only once it has reached Last.
	Last spool.Offset `json:"last"`
	// FreshFor is how long ago the answering node last heard, directly or
	// through others, from the log; negative when it never has.
	FreshFor clock.Millis `json:"freshForMs"`
	// Held is how long the answering node kept the request before it answered,
	// so that the asking node need not take a long poll for old news.
	Held clock.Millis `json:"heldMs,omitempty"`
}

// HeartbeatRequest tells a peer that the sender lives.
type HeartbeatRequest struct {
	Node          spool.NodeID                 `json:"node"`
	FailureDomain spool.FailureDomain          `json:"failureDomain"`
	ControlOffset spool.Offset                 `json:"controlOffset"`
	Owned         map[spool.Stream]spool.Epoch `json:"owned,omitempty"`
	// Leaving means that the sender is about to stop and takes no streams.
	Leaving bool `json:"leaving,omitempty"`
	// Changes are the ownership changes that the sender has learnt of lately.
	Changes []OwnerChange `json:"changes,omitempty"`
}

// OwnerChange says that a node has claimed a stream.
type OwnerChange struct {
	Stream spool.Stream `json:"stream"`
	Node   spool.NodeID `json:"node"`
	Epoch  spool.Epoch  `json:"epoch"`
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	Node          spool.NodeID                 `json:"node"`
	ControlOffset spool.Offset                 `json:"controlOffset"`
	Owned         map[spool.Stream]spool.Epoch `json:"owned,omitempty"`
	// Leaving and Changes are those of the answering node.
	Leaving bool          `json:"leaving,omitempty"`
	Changes []OwnerChange `json:"changes,omitempty"`
}

// ProbeRequest asks a member to check whether a third one answers.
type ProbeRequest struct {
	Node    spool.NodeID `json:"node"`
	Address string       `json:"address"`
}

// ProbeReply answers a ProbeRequest.
type ProbeReply struct {
	Alive bool `json:"alive"`
}

// HandoverRequest asks an owner to release a stream to the sender.
type HandoverRequest struct {
	Stream spool.Stream `json:"stream"`
	To     spool.NodeID `json:"to"`
}

// HoldRequest asks a holder to keep a batch that is not yet on the log.
type HoldRequest struct {
	Stream spool.Stream `json:"stream"`
	Epoch  spool.Epoch  `json:"epoch"`
	// Sequence counts the owner's batches of this epoch from 1.
	Sequence uint64      `json:"sequence"`
	Batch    spool.Batch `json:"batch"`
	// Committed is the highest sequence that is on the log; the holder drops
	// batches up to it.
	Committed uint64 `json:"committed"`
}

// HoldReply answers a HoldRequest. A fenced request fails with CodeFenced.
type HoldReply struct {
	// Held is the highest sequence held without a gap.
	Held uint64 `json:"held"`
	// Incarnation differs for each start of the holder's process. A restarted
	// holder has forgotten what it held and which epochs it had sealed.
	Incarnation string `json:"incarnation"`
}

// SealRequest fences lower epochs of a stream and asks for what is held.
type SealRequest struct {
	Stream spool.Stream `json:"stream"`
	Epoch  spool.Epoch  `json:"epoch"`
}

// SealReply holds the batches of lower epochs in order.
type SealReply struct {
	Batches []spool.Batch `json:"batches,omitempty"`
	// Incarnation is that of the holder's process, as in HoldReply.
	Incarnation string `json:"incarnation"`
}

// PromiseRequest asks a holder to answer no seal above Epoch for a time.
type PromiseRequest struct {
	Stream spool.Stream `json:"stream"`
	Epoch  spool.Epoch  `json:"epoch"`
	For    clock.Millis `json:"forMs"`
}

// PromiseReply says that the holder has promised.
type PromiseReply struct {
	// Incarnation changes when the holder restarts.
	Incarnation string `json:"incarnation"`
}

// ReleaseRequest tells a holder that everything of lower epochs is on the log.
type ReleaseRequest struct {
	Stream spool.Stream `json:"stream"`
	Epoch  spool.Epoch  `json:"epoch"`
}

// LeaseRequest asks a pool's owner for tokens of an account and gives back
// tokens that are not needed.
type LeaseRequest struct {
	Account spool.AccountID `json:"account"`
	Node    spool.NodeID    `json:"node"`
	// Sequence increases with each request of a node.
	Sequence uint64 `json:"sequence"`
	// Want is the number of requests that the sender would like to admit.
	Want float64 `json:"want"`
	// Returned tokens were granted under Epoch and are not used any more.
	Returned float64     `json:"returned,omitempty"`
	Epoch    spool.Epoch `json:"epoch,omitempty"`
	// Urgent says that Want counts alarms only; the pool keeps a token for them.
	Urgent bool `json:"urgent,omitempty"`
}

// LeaseReply grants tokens.
type LeaseReply struct {
	// Sequence is that of the request, Epoch the owner's claim.
	Sequence uint64      `json:"sequence"`
	Epoch    spool.Epoch `json:"epoch,omitempty"`
	// Granted may be used until the lease ends, counted from the moment when
	// the request was sent.
	Granted  float64      `json:"granted"`
	LeaseFor clock.Millis `json:"leaseForMs"`
	// RetryAfter is the wait until more may be granted.
	RetryAfter clock.Millis `json:"retryAfterMs"`
}

// StartRequest asks the owner of an account's pool whether a program may begin while
// the account is short of tokens.
type StartRequest struct {
	Account spool.AccountID `json:"account"`
	Program spool.ProgramID `json:"program"`
	// Requests is what the program is expected to take of the account's rate.
	Requests float64 `json:"requests"`
	// FinishIn is the time in which its caller wants it finished; 0 when not known.
	FinishIn clock.Millis `json:"finishInMs,omitempty"`
}

// StartReply answers a StartRequest.
type StartReply struct {
	Admitted bool `json:"admitted"`
	// RetryAfter is when a program that is turned away may find room.
	RetryAfter clock.Millis `json:"retryAfterMs,omitempty"`
}

// ForwardRequest carries a caller's operation to the owner of its program. It
// never contains a key.
type ForwardRequest struct {
	// Operation is one of the operations of package entry.
	Operation string `json:"operation"`
	// Correlation is echoed in each chunk and in the reply.
	Correlation string          `json:"correlation"`
	Account     spool.AccountID `json:"account"`
	// KeyID lets the owner end the call when the key is withdrawn.
	KeyID   string          `json:"keyID"`
	Program spool.ProgramID `json:"program,omitempty"`
	// DeadlineIn is the time left when the request was sent.
	DeadlineIn clock.Millis `json:"deadlineInMs,omitempty"`
	// Body is the operation's own message.
	Body json.RawMessage `json:"body,omitempty"`
}

// ForwardReply carries the owner's answer.
type ForwardReply struct {
	Correlation string          `json:"correlation"`
	Body        json.RawMessage `json:"body,omitempty"`
}
