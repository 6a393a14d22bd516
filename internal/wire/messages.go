package wire

import (
	"encoding/json"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Methods that the system's processes call on each other.
const (
	MethodForward        = "entry.forward"
	MethodHeartbeat      = "entry.heartbeat"
	MethodProbe          = "entry.probe"
	MethodHandover       = "entry.handover"
	MethodReplicate      = "journal.hold"
	MethodFence          = "journal.seal"
	MethodReplicaLease   = "journal.promise"
	MethodDiscard        = "journal.release"
	MethodLease          = "limit.lease"
	MethodStart          = "limit.start"
	MethodPull           = "control.pull"
	MethodControlStatus  = "control.status"
	MethodRosterPull     = "roster.pull"
	MethodRun            = "endpoint.run"
	MethodRenew          = "endpoint.renew"
	MethodOutcomeQuery   = "endpoint.fate"
	MethodEndpointStatus = "endpoint.status"
)

// RunKind is the kind of endpoint that a call is for.
type RunKind string

// Kinds of calls.
const (
	RunModel   RunKind = "model"
	RunService RunKind = "service"
)

// RunRequest asks an agent to run one call at its endpoint.
type RunRequest struct {
	// Kind selects the fields of a model call or Service.
	Kind RunKind `json:"kind"`
	// Correlation identifies this dispatch. The agent repeats it in each chunk and
	// in the reply.
	Correlation string `json:"correlation"`
	// Entry is the entry node that owns the program.
	Entry spool.NodeID `json:"entry"`
	// Account, Program and Call together identify the call and are the key of the
	// at-most-once check.
	Account spool.AccountID `json:"account"`
	Program spool.ProgramID `json:"program"`
	Call    spool.CallID    `json:"call"`
	// Stream and Epoch identify the owner. The agent refuses owners with a lower
	// epoch of the stream than the highest one it has seen.
	Stream spool.Stream `json:"stream"`
	Epoch  spool.Epoch  `json:"epoch"`
	// Attempt counts the dispatches of this call within the epoch. Once a
	// FateRequest for the call has been answered, only a dispatch with a higher
	// (Epoch, Attempt) is accepted.
	Attempt uint64 `json:"attempt,omitempty"`
	// Mark is the agent's mark that the owner knew when it recorded its intent to
	// dispatch the call. An agent with another Boot refuses the dispatch. An empty
	// mark disables this check.
	Mark spool.AgentMark `json:"mark,omitzero"`
	// Idempotent is false for an action that must run at most once.
	Idempotent bool `json:"idempotent"`
	// Alarm, Weight and Attained determine the call's position in the agent's
	// queue.
	Alarm    bool    `json:"alarm,omitempty"`
	Weight   float64 `json:"weight,omitempty"`
	Attained int     `json:"attained,omitempty"`
	// DeadlineIn is the time that remained for the call when the request was sent.
	// It is a duration because the clocks of two VMs differ.
	DeadlineIn clock.Millis `json:"deadlineInMs,omitempty"`

	// Model and MaxTokens are the parameters of a model call.
	Model     spool.ModelName `json:"model,omitempty"`
	MaxTokens int             `json:"maxTokens,omitempty"`
	// BaseCount and BaseDigest are the number of messages and the digest of the
	// history that the agent is expected to hold. An agent without this history
	// refuses the call with CodeNeedHistory.
	BaseCount  int    `json:"baseCount,omitempty"`
	BaseDigest string `json:"baseDigest,omitempty"`
	// Messages are the messages after that history. With BaseCount 0 they are the
	// whole prompt.
	Messages []spool.Message `json:"messages,omitempty"`

	// Service is the request of a service call. The agent sets its Correlation and
	// Call.
	Service *spool.ServiceCall `json:"service,omitempty"`
}

// RunReply is the final answer to a RunRequest, sent after all chunks.
type RunReply struct {
	// Correlation is the correlation id of the request.
	Correlation string `json:"correlation"`
	// Engine is the result of a model call, nil for a service call.
	Engine *spool.EngineResult `json:"engine,omitempty"`
	// Service is the result of a service call, nil for a model call.
	Service *spool.ServiceResult `json:"service,omitempty"`
	// Load is the agent's state when it answered.
	Load EndpointStatus `json:"load"`
}

// EndpointStatus is the state of an agent and its endpoint.
type EndpointStatus struct {
	// Endpoint identifies the agent and its endpoint.
	Endpoint spool.EndpointID `json:"endpoint"`
	// Window is the concurrency limit, Running the number of calls at the endpoint
	// and Queued the number of calls that wait in the agent's queue.
	Window  int `json:"window"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// QueuedStarts is the number of queued calls that are the first call of their
	// program, and StartWait is the expected wait of another such call.
	QueuedFirstCalls int          `json:"queuedStarts,omitempty"`
	FirstCallWait    clock.Millis `json:"startWaitMs,omitempty"`
	// Cold reports that the endpoint is in cold start, which reduces the window.
	// Draining reports that the agent refuses new calls.
	Cold     bool `json:"cold,omitempty"`
	Draining bool `json:"draining,omitempty"`
	// MillisPerCall is the moving average of the service time, without queueing.
	MillisPerCall float64 `json:"millisPerCall"`
	// ControlOffset is the offset up to which the agent's process has applied the
	// control stream.
	ControlOffset spool.Offset `json:"controlOffset"`
	// Mark is the agent's current mark. An owner includes it in the recorded intent
	// of a non-idempotent call, in the dispatch and in a FateRequest for the call.
	Mark spool.AgentMark `json:"mark"`
	// Held maps each program whose memory the engine holds to the number of tokens
	// of its prefix. It is set only in the answer to endpoint.status.
	HeldTokens map[spool.ProgramID]int `json:"held,omitempty"`
}

// RenewRequest renews the leases on the engine memory of programs.
type RenewRequest struct {
	// Entry is the node that owns the programs.
	Entry spool.NodeID `json:"entry"`
	// Programs are still running; their leases are renewed.
	Programs []spool.ProgramID `json:"programs"`
	// Ended lists programs that have ended. Their memory is freed at once.
	Ended []spool.ProgramID `json:"ended,omitempty"`
	// LeaseFor is the duration of the renewed leases.
	LeaseDuration clock.Millis `json:"leaseForMs"`
}

// FateRequest queries the state and outcome of a call. It also fences lower
// epochs of the stream and, for this call, all dispatches up to (Epoch, Attempt).
type OutcomeQuery struct {
	Account spool.AccountID `json:"account"`
	Program spool.ProgramID `json:"program"`
	Call    spool.CallID    `json:"call"`
	Stream  spool.Stream    `json:"stream"`
	Epoch   spool.Epoch     `json:"epoch"`
	// Attempt is the highest attempt that the sender has dispatched in Epoch. It is
	// 0 if the sender has taken the stream over and has not dispatched the call.
	Attempt uint64 `json:"attempt,omitempty"`
	// Mark is the mark in the recorded intent of the call. Without it the agent
	// cannot prove that it has observed every dispatch of the call, and never
	// answers FateNotSeen.
	Mark spool.AgentMark `json:"mark,omitzero"`
	// Idempotent must have the same value as in the dispatch.
	Idempotent bool `json:"idempotent,omitempty"`
}

// Fate is the state of a call as known to an agent.
type CallState string

// States of a call.
const (
	// FateNotSeen means that the agent has observed every dispatch since before
	// the call could have been sent, has not run the call, and from now on refuses
	// its dispatches up to the request's (Epoch, Attempt). A dispatch without a
	// mark is refused only while the agent keeps outcomes.
	CallStateNotSeen CallState = "notSeen"
	// FateRunning means that the call is queued or running.
	CallStateActive CallState = "running"
	// FateDone means that the call has ended and its outcome is known.
	CallStateDone CallState = "done"
	// FateUnknown means that the agent does not know whether the call has run.
	CallStateUnknown CallState = "unknown"
)

// FateReply answers a FateRequest.
type OutcomeQueryReply struct {
	State CallState `json:"fate"`
	// Reply is set only with FateDone.
	Reply *RunReply `json:"reply,omitempty"`
	// AgentSince is the time for which the agent has been running.
	AgentSince clock.Millis `json:"agentSinceMs"`
}

// PullRequest asks a node for records of the control stream.
type PullRequest struct {
	// After is the highest offset that the requesting node has applied.
	After spool.Offset `json:"after"`
	// Wait is the maximum duration of the long poll.
	Wait clock.Millis `json:"waitMs"`
	// Node is the requesting node.
	Node spool.NodeID `json:"node"`
}

// PullReply contains records of the control stream or a snapshot.
type PullReply struct {
	// Batches follow the requested offset without gaps.
	Batches []spool.Batch `json:"batches,omitempty"`
	// Snapshot replaces Batches when the answering node no longer has them. It is
	// the state at offset SnapshotAt.
	Snapshot   json.RawMessage `json:"snapshot,omitempty"`
	SnapshotAt spool.Offset    `json:"snapshotAt,omitempty"`
	// Last is the highest offset that the answering node has applied. FreshFor
	// holds for the requesting node only once that node has reached Last.
	Last spool.Offset `json:"last"`
	// FreshFor is the time since the answering node last received data from the
	// log, directly or through other nodes. It is negative if it never has.
	StateAge clock.Millis `json:"freshForMs"`
	// Held is the time for which the answering node held the request before it
	// answered. The requesting node uses it to exclude the duration of the long
	// poll from the age of the reply.
	HeldFor clock.Millis `json:"heldMs,omitempty"`
}

// HeartbeatRequest tells a peer that the sender is alive.
type HeartbeatRequest struct {
	Node          spool.NodeID                 `json:"node"`
	FailureDomain spool.FailureDomain          `json:"failureDomain"`
	ControlOffset spool.Offset                 `json:"controlOffset"`
	Owned         map[spool.Stream]spool.Epoch `json:"owned,omitempty"`
	// Leaving means that the sender is shutting down and claims no streams.
	Leaving bool `json:"leaving,omitempty"`
	// Changes are the ownership changes that the sender has recently learned.
	Changes []OwnerChange `json:"changes,omitempty"`
}

// OwnerChange reports that a node has claimed a stream.
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
	// Leaving and Changes describe the answering node, as in HeartbeatRequest.
	Leaving bool          `json:"leaving,omitempty"`
	Changes []OwnerChange `json:"changes,omitempty"`
}

// ProbeRequest asks a node to check whether a third node answers.
type ProbeRequest struct {
	Node    spool.NodeID `json:"node"`
	Address string       `json:"address"`
}

// ProbeReply answers a ProbeRequest.
type ProbeReply struct {
	Alive bool `json:"alive"`
}

// HandoverRequest asks the owner of a stream to hand it over to the sender.
type HandoverRequest struct {
	Stream spool.Stream `json:"stream"`
	To     spool.NodeID `json:"to"`
}

// HoldRequest asks a replica to store a batch that is not yet on the log.
type ReplicateRequest struct {
	Stream spool.Stream `json:"stream"`
	Epoch  spool.Epoch  `json:"epoch"`
	// Sequence numbers the owner's batches of this epoch, starting at 1.
	Sequence uint64      `json:"sequence"`
	Batch    spool.Batch `json:"batch"`
	// Committed is the highest sequence number that is on the log. The replica
	// discards batches up to it.
	Committed uint64 `json:"committed"`
}

// HoldReply answers a HoldRequest. A request of a fenced epoch is refused with
// CodeFenced.
type ReplicateReply struct {
	// Held is the highest sequence number up to which the replica has all batches.
	LastContiguous uint64 `json:"held"`
	// Incarnation differs for each start of the replica's process. A restarted
	// replica has lost its batches and the record of fenced epochs.
	Incarnation string `json:"incarnation"`
}

// SealRequest fences lower epochs of a stream at a replica and asks for the
// batches that it stores.
type FenceRequest struct {
	Stream spool.Stream `json:"stream"`
	Epoch  spool.Epoch  `json:"epoch"`
}

// SealReply contains the batches of lower epochs in order.
type FenceReply struct {
	Batches []spool.Batch `json:"batches,omitempty"`
	// Incarnation identifies the replica's process, as in HoldReply.
	Incarnation string `json:"incarnation"`
}

// PromiseRequest asks a replica for a lease: for the given time the replica must
// not answer a SealRequest with an epoch above Epoch.
type ReplicaLeaseRequest struct {
	Stream   spool.Stream `json:"stream"`
	Epoch    spool.Epoch  `json:"epoch"`
	Duration clock.Millis `json:"forMs"`
}

// PromiseReply confirms that the replica has granted the lease.
type ReplicaLeaseReply struct {
	// Incarnation identifies the replica's process, as in HoldReply.
	Incarnation string `json:"incarnation"`
}

// ReleaseRequest tells a replica that all batches of lower epochs are on the
// log.
type DiscardRequest struct {
	Stream spool.Stream `json:"stream"`
	Epoch  spool.Epoch  `json:"epoch"`
}

// LeaseRequest asks the owner of an account's token pool for a lease of tokens
// and returns unused tokens.
type LeaseRequest struct {
	Account spool.AccountID `json:"account"`
	Node    spool.NodeID    `json:"node"`
	// Sequence increases with each request of the node.
	Sequence uint64 `json:"sequence"`
	// Want is the number of requests that the sender wants to admit.
	Requested float64 `json:"want"`
	// Returned is the number of unused tokens that were granted under Epoch.
	Returned float64     `json:"returned,omitempty"`
	Epoch    spool.Epoch `json:"epoch,omitempty"`
	// Urgent means that Want counts alarm calls only. The pool reserves a token for
	// them.
	Urgent bool `json:"urgent,omitempty"`
}

// LeaseReply answers a LeaseRequest.
type LeaseReply struct {
	// Sequence is the sequence number of the request, and Epoch is the epoch of
	// the pool's owner.
	Sequence uint64      `json:"sequence"`
	Epoch    spool.Epoch `json:"epoch,omitempty"`
	// Granted is the number of tokens granted. They may be used for LeaseFor after
	// the request was sent.
	Granted       float64      `json:"granted"`
	LeaseDuration clock.Millis `json:"leaseForMs"`
	// RetryAfter is the time after which more tokens may be available.
	RetryAfter clock.Millis `json:"retryAfterMs"`
}

// StartRequest asks the owner of an account's token pool whether a program may
// start while the account is short of tokens.
type StartRequest struct {
	Account spool.AccountID `json:"account"`
	Program spool.ProgramID `json:"program"`
	// Requests is the number of requests that the program is expected to take from
	// the account's rate.
	Requests float64 `json:"requests"`
	// FinishIn is the time within which the caller wants the program to finish; 0
	// if unknown.
	FinishIn clock.Millis `json:"finishInMs,omitempty"`
}

// StartReply answers a StartRequest.
type StartReply struct {
	Admitted bool `json:"admitted"`
	// RetryAfter is the time after which a refused program may be admitted.
	RetryAfter clock.Millis `json:"retryAfterMs,omitempty"`
}

// ForwardRequest forwards a caller's operation to the owner of its program. It
// never contains the caller's API key.
type ForwardRequest struct {
	// Operation is the name of an operation of package entry.
	Operation string `json:"operation"`
	// Correlation is repeated in each chunk and in the reply.
	Correlation string          `json:"correlation"`
	Account     spool.AccountID `json:"account"`
	// KeyID identifies the caller's API key, so that the owner can end the call
	// when the key is withdrawn.
	KeyID   string          `json:"keyID"`
	Program spool.ProgramID `json:"program,omitempty"`
	// DeadlineIn is the time that remained when the request was sent.
	DeadlineIn clock.Millis `json:"deadlineInMs,omitempty"`
	// Body is the JSON encoding of the operation's request.
	Body json.RawMessage `json:"body,omitempty"`
}

// ForwardReply contains the owner's answer.
type ForwardReply struct {
	Correlation string          `json:"correlation"`
	Body        json.RawMessage `json:"body,omitempty"`
}
