package wire

import (
	"encoding/json"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Names of the RPC methods that the system's processes call on each other. The part
// before the dot is the component that answers.
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

// RunKind tells whether a call is for a model engine or for a plain service.
type RunKind string

// Kinds of calls: RunModel is a call to a model engine, RunService a call to a plain
// service.
const (
	RunModel   RunKind = "model"
	RunService RunKind = "service"
)

// RunRequest asks an agent to run one call at its endpoint.
type RunRequest struct {
	// Kind determines which fields are used: Model to Messages for RunModel, Service
	// for RunService.
	Kind RunKind `json:"kind"`
	// Correlation identifies this dispatch of the call. The agent repeats it in each
	// chunk and in the reply.
	Correlation string `json:"correlation"`
	// Entry is the entry node that owns the program and sends this request.
	Entry spool.NodeID `json:"entry"`
	// Account, Program and Call together identify the call and are the key of the
	// at-most-once check.
	Account spool.AccountID `json:"account"`
	Program spool.ProgramID `json:"program"`
	Call    spool.CallID    `json:"call"`
	// Stream is the stream that contains the program, and Epoch is the epoch in which
	// the sender owns the stream. The agent refuses a request whose epoch is lower
	// than the highest one that it has seen for the stream.
	Stream spool.Stream `json:"stream"`
	Epoch  spool.Epoch  `json:"epoch"`
	// Attempt is the number of this dispatch of the call within the epoch. The agent
	// refuses a dispatch that an OutcomeQuery for the call has fenced.
	Attempt uint64 `json:"attempt,omitempty"`
	// Mark is the latest mark that the owner had received from the agent when it
	// recorded its intent to dispatch the call. An agent whose own mark has another
	// Boot refuses the dispatch. An empty Boot disables this check.
	Mark spool.AgentMark `json:"mark,omitzero"`
	// Idempotent is false for an action that must run at most once.
	Idempotent bool `json:"idempotent"`
	// Alarm, Weight and Attained determine the call's position in the agent's
	// queue; see spool.CallView. Attained is in tokens.
	Alarm    bool    `json:"alarm,omitempty"`
	Weight   float64 `json:"weight,omitempty"`
	Attained int     `json:"attained,omitempty"`
	// DeadlineIn is the time from the sending of the request to the call's deadline;
	// 0 for no deadline. It is a duration because the clocks of two VMs differ.
	DeadlineIn clock.Millis `json:"deadlineInMs,omitempty"`

	// Model is the model that a model call uses, and MaxTokens is the maximum length
	// of its answer in tokens.
	Model     spool.ModelName `json:"model,omitempty"`
	MaxTokens int             `json:"maxTokens,omitempty"`
	// BaseCount is the number of messages at the start of the prompt that the agent
	// is expected to have stored, and BaseDigest is the digest of these messages. An
	// agent that does not have them refuses the call with CodeNeedHistory.
	BaseCount  int    `json:"baseCount,omitempty"`
	BaseDigest string `json:"baseDigest,omitempty"`
	// Messages are the messages of the prompt after the first BaseCount ones.
	Messages []spool.Message `json:"messages,omitempty"`

	// Service is the request that a service call sends. The agent overwrites its
	// Correlation and Call.
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
	// Load is the agent's status at the time of the answer.
	Load EndpointStatus `json:"load"`
}

// EndpointStatus is the state of an agent and its endpoint.
type EndpointStatus struct {
	// Endpoint identifies the agent and its endpoint.
	Endpoint spool.EndpointID `json:"endpoint"`
	// Window is the number of calls that the agent currently allows to run at the same
	// time, Running is the number of calls that run at the endpoint, and Queued is
	// the number of calls that wait in the agent's queue.
	Window  int `json:"window"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// QueuedFirstCalls is the number of queued calls that are the first call of
	// their program, and FirstCallWait is the expected wait of another such call.
	QueuedFirstCalls int          `json:"queuedStarts,omitempty"`
	FirstCallWait    clock.Millis `json:"startWaitMs,omitempty"`
	// Cold reports that the gate treats the endpoint as being in cold start. Draining
	// reports that the agent refuses new calls.
	Cold     bool `json:"cold,omitempty"`
	Draining bool `json:"draining,omitempty"`
	// MillisPerCall is the moving average of the time in milliseconds for which a call
	// runs at the endpoint. It does not include the time in the queue.
	MillisPerCall float64 `json:"millisPerCall"`
	// ControlOffset is the offset in the control stream up to which the agent's
	// process has applied the records.
	ControlOffset spool.Offset `json:"controlOffset"`
	// Mark is the agent's current mark. The owner of a non-idempotent call records the
	// mark together with its intent to dispatch the call, and sends it in the RunRequest
	// and in each OutcomeQuery for the call.
	Mark spool.AgentMark `json:"mark"`
	// HeldTokens maps each program of which the engine has, or may have, memory or
	// an export to the number of tokens of its prefix; 0 if the number is unknown. It
	// is set only in the reply to MethodEndpointStatus.
	HeldTokens map[spool.ProgramID]int `json:"held,omitempty"`
}

// RenewRequest renews the leases of programs. Without a lease, the agent frees the
// engine memory of a program that has no active call. The reply is an EndpointStatus.
type RenewRequest struct {
	// Entry is the node that owns the programs.
	Entry spool.NodeID `json:"entry"`
	// Programs lists the programs whose leases are renewed because they are still
	// running. The agent ignores programs that it does not know.
	Programs []spool.ProgramID `json:"programs"`
	// Ended lists programs that have ended. The agent frees their memory as soon as
	// they have no active call.
	Ended []spool.ProgramID `json:"ended,omitempty"`
	// LeaseDuration is the duration of the renewed leases from the arrival of the
	// request. The agent bounds it, and never shortens a lease.
	LeaseDuration clock.Millis `json:"leaseForMs"`
}

// OutcomeQuery asks an agent for the state and outcome of a call. It also has side
// effects: The agent refuses later requests of the stream with a lower epoch. Unless
// its record shows that the call is active or may have run, it also tries to fence
// the call: it then refuses dispatches of the call up to (Epoch, Attempt) that arrive
// later. Such a dispatch may still be in transit.
type OutcomeQuery struct {
	Account spool.AccountID `json:"account"`
	Program spool.ProgramID `json:"program"`
	Call    spool.CallID    `json:"call"`
	Stream  spool.Stream    `json:"stream"`
	Epoch   spool.Epoch     `json:"epoch"`
	// Attempt is the highest RunRequest.Attempt that the sender has dispatched in
	// Epoch. It is 0 if the sender has taken the stream over from another owner and
	// has not dispatched the call itself.
	Attempt uint64 `json:"attempt,omitempty"`
	// Mark is the mark that was recorded with the intent to dispatch the call.
	// Without it, the agent never answers CallStateNotSeen, because it cannot prove
	// that it would have a record of every dispatch of the call.
	Mark spool.AgentMark `json:"mark,omitzero"`
	// Idempotent must have the same value as in the dispatch.
	Idempotent bool `json:"idempotent,omitempty"`
}

// CallState is the state of a call as known to an agent.
type CallState string

// States of a call.
const (
	// CallStateNotSeen means that the agent has not run the call and that it refuses
	// dispatches of the call up to (Epoch, Attempt) of the query that arrive later.
	// It refuses a dispatch without a mark only for the time for which it keeps
	// outcomes.
	CallStateNotSeen CallState = "notSeen"
	// CallStateActive means that the call is queued or running.
	CallStateActive CallState = "running"
	// CallStateDone means that the call has run and the agent has its outcome.
	CallStateDone CallState = "done"
	// CallStateUnknown means that the agent does not know whether the call has run.
	CallStateUnknown CallState = "unknown"
)

// OutcomeQueryReply answers an OutcomeQuery.
type OutcomeQueryReply struct {
	State CallState `json:"fate"`
	// Reply is set only with CallStateDone.
	Reply *RunReply `json:"reply,omitempty"`
	// AgentSince is the duration for which the agent's process has been running.
	AgentSince clock.Millis `json:"agentSinceMs"`
}

// PullRequest asks a node for the records of the control stream that the requesting
// node does not have yet.
type PullRequest struct {
	// After is the highest offset that the requesting node has applied.
	After spool.Offset `json:"after"`
	// Wait is the time for which the answering node may wait for new records. The
	// answering node may use a lower limit.
	Wait clock.Millis `json:"waitMs"`
	// Node is the requesting node.
	Node spool.NodeID `json:"node"`
}

// PullReply contains records of the control stream or a snapshot of the state that
// the records produce. It contains neither if the requesting node is up to date.
type PullReply struct {
	// Batches are the batches that follow PullRequest.After without gaps.
	Batches []spool.Batch `json:"batches,omitempty"`
	// Snapshot is the state at offset SnapshotAt. It is set instead of Batches when
	// the answering node no longer has the batch after PullRequest.After.
	Snapshot   json.RawMessage `json:"snapshot,omitempty"`
	SnapshotAt spool.Offset    `json:"snapshotAt,omitempty"`
	// Last is the highest offset that the answering node has applied. The requesting
	// node must not use StateAge before it has itself applied the records up to Last.
	Last spool.Offset `json:"last"`
	// StateAge is the time since the answering node's state last matched the log, as
	// far as that node knows. It is negative if that state has never been complete.
	StateAge clock.Millis `json:"freshForMs"`
	// HeldFor is the time between the arrival of the request and the answer. The
	// requesting node adds it to the time at which it sent the request, to get the
	// earliest time at which the reply can have been created.
	HeldFor clock.Millis `json:"heldMs,omitempty"`
}

// HeartbeatRequest tells another entry node that the sender is alive. ControlOffset
// is the offset up to which the sender has applied the control stream. Owned maps
// each stream that the sender owns to the epoch of its claim.
type HeartbeatRequest struct {
	Node          spool.NodeID                 `json:"node"`
	FailureDomain spool.FailureDomain          `json:"failureDomain"`
	ControlOffset spool.Offset                 `json:"controlOffset"`
	Owned         map[spool.Stream]spool.Epoch `json:"owned,omitempty"`
	// Leaving means that the sender is shutting down and claims no more streams.
	Leaving bool `json:"leaving,omitempty"`
	// Changes are the claims of streams that the sender has recently learned of.
	Changes []OwnerChange `json:"changes,omitempty"`
}

// OwnerChange reports that Node has claimed Stream with Epoch.
type OwnerChange struct {
	Stream spool.Stream `json:"stream"`
	Node   spool.NodeID `json:"node"`
	Epoch  spool.Epoch  `json:"epoch"`
}

// HeartbeatReply answers a HeartbeatRequest. Its fields describe the answering node,
// in the same way as those of the request describe the sender.
type HeartbeatReply struct {
	Node          spool.NodeID                 `json:"node"`
	ControlOffset spool.Offset                 `json:"controlOffset"`
	Owned         map[spool.Stream]spool.Epoch `json:"owned,omitempty"`
	Leaving       bool                         `json:"leaving,omitempty"`
	Changes       []OwnerChange                `json:"changes,omitempty"`
}

// ProbeRequest asks a node to check whether a third node answers a heartbeat. Node is
// the third node, and Address is its host:port.
type ProbeRequest struct {
	Node    spool.NodeID `json:"node"`
	Address string       `json:"address"`
}

// ProbeReply answers a ProbeRequest. Alive reports whether the third node has answered
// a heartbeat under the requested NodeID.
type ProbeReply struct {
	Alive bool `json:"alive"`
}

// HandoverRequest asks the owner of a stream to release it, so that the sender can
// claim it. To is the sender.
type HandoverRequest struct {
	Stream spool.Stream `json:"stream"`
	To     spool.NodeID `json:"to"`
}

// ReplicateRequest asks a replica to store units of a stream that may not be on the
// log yet. A unit is a journal.Unit: a batch and its sequence number.
type ReplicateRequest struct {
	Stream spool.Stream `json:"stream"`
	Epoch  spool.Epoch  `json:"epoch"`
	// Sequence is the sequence number of the first unit in Batch. The owner numbers
	// its units from 1 in each epoch. Sequence is 0 if the request has no units.
	Sequence uint64 `json:"sequence"`
	// Batch contains the units as records, encoded by journal.EncodeUnits.
	Batch spool.Batch `json:"batch"`
	// Committed is the sequence number up to which all units of the epoch are on the
	// log. The replica discards these units.
	Committed uint64 `json:"committed"`
}

// ReplicateReply answers a ReplicateRequest. The replica refuses a request with
// CodeFenced if it has seen a higher epoch of the stream.
type ReplicateReply struct {
	// LastContiguous is the sequence number of the last unit in the request, which
	// the replica has stored; 0 if the request has no units.
	LastContiguous uint64 `json:"held"`
	// Incarnation is different after each start of the replica's process. A restarted
	// replica has lost its units and no longer knows which epochs it had fenced.
	Incarnation string `json:"incarnation"`
}

// FenceRequest makes a replica refuse requests with an epoch of the stream below Epoch,
// and asks for the units of lower epochs that the replica stores. The replica refuses
// it with CodeFenced if it has seen a higher epoch, and with CodeConflict while a lease
// of a lower epoch may be in force, also shortly after the replica's start.
type FenceRequest struct {
	Stream spool.Stream `json:"stream"`
	Epoch  spool.Epoch  `json:"epoch"`
}

// FenceReply answers a FenceRequest.
type FenceReply struct {
	// Batches contain the units of lower epochs, ordered by epoch and sequence number
	// and encoded by journal.EncodeUnits.
	Batches []spool.Batch `json:"batches,omitempty"`
	// Incarnation identifies the replica's process, as in ReplicateReply.
	Incarnation string `json:"incarnation"`
}

// ReplicaLeaseRequest asks a replica for a lease. For Duration, the replica refuses
// each FenceRequest with an epoch above Epoch.
type ReplicaLeaseRequest struct {
	Stream   spool.Stream `json:"stream"`
	Epoch    spool.Epoch  `json:"epoch"`
	Duration clock.Millis `json:"forMs"`
}

// ReplicaLeaseReply confirms that the replica has granted the lease.
type ReplicaLeaseReply struct {
	// Incarnation identifies the replica's process, as in ReplicateReply.
	Incarnation string `json:"incarnation"`
}

// DiscardRequest tells a replica that all units of the stream with an epoch below Epoch
// are on the log. The replica discards its copies of them.
type DiscardRequest struct {
	Stream spool.Stream `json:"stream"`
	Epoch  spool.Epoch  `json:"epoch"`
}

// LeaseRequest asks the owner of an account's token pool for tokens and returns unused
// ones. A token is the right to admit one request of the account.
type LeaseRequest struct {
	Account spool.AccountID `json:"account"`
	Node    spool.NodeID    `json:"node"`
	// Sequence increases with each request of the node. The owner grants nothing for
	// a sequence number that is not above the highest one received from the node.
	Sequence uint64 `json:"sequence"`
	// Requested is the number of tokens that the sender asks for. It may be 0.
	Requested float64 `json:"want"`
	// Returned is the number of unused tokens that the sender gives back. They were
	// granted in Epoch. The owner ignores them if its current epoch is another one.
	Returned float64     `json:"returned,omitempty"`
	Epoch    spool.Epoch `json:"epoch,omitempty"`
	// Urgent means that Requested contains only tokens for alarm calls. For one hour
	// after such a request, the owner of a pool that is large enough reserves one token
	// for alarm calls.
	Urgent bool `json:"urgent,omitempty"`
	// MaxDelay is how long the sender would wait for a token if the pool has none.
	MaxDelay clock.Millis `json:"maxDelayMs,omitempty"`
}

// LeaseReply answers a LeaseRequest.
type LeaseReply struct {
	// Sequence is the sequence number of the request, and Epoch is the epoch of
	// the pool's owner.
	Sequence uint64      `json:"sequence"`
	Epoch    spool.Epoch `json:"epoch,omitempty"`
	// Granted is the number of tokens granted. They may be used for LeaseDuration
	// after the request was sent.
	Granted       float64      `json:"granted"`
	LeaseDuration clock.Millis `json:"leaseForMs"`
	// UsableIn is the delay after which the tokens may be used.
	UsableIn clock.Millis `json:"usableInMs,omitempty"`
	// RetryAfter is the time after which another request may get more tokens; 0 if all
	// requested tokens were granted.
	RetryAfter clock.Millis `json:"retryAfterMs"`
	// Withheld reports that the owner may not grant at present.
	Withheld bool `json:"withheld,omitempty"`
}

// StartRequest asks the owner of an account's token pool whether a program may
// start while the account is short of tokens.
type StartRequest struct {
	Account spool.AccountID `json:"account"`
	Program spool.ProgramID `json:"program"`
	// Requests is the number of requests that the program is expected to make, each of
	// which uses one token of the account.
	Requests float64 `json:"requests"`
	// FinishIn is the time within which the caller wants the program to finish; 0
	// if the caller has not given one.
	FinishIn clock.Millis `json:"finishInMs,omitempty"`
}

// StartReply answers a StartRequest.
type StartReply struct {
	Admitted bool `json:"admitted"`
	// RetryAfter is the time after which the start of a refused program may be admitted.
	RetryAfter clock.Millis `json:"retryAfterMs,omitempty"`
}

// ForwardRequest forwards a caller's operation to the owner of its program. It
// never contains the caller's API key.
type ForwardRequest struct {
	// Operation is the name of an operation of package entry.
	Operation string `json:"operation"`
	// Correlation identifies this request. The owner repeats it in each chunk and in
	// the reply.
	Correlation string          `json:"correlation"`
	Account     spool.AccountID `json:"account"`
	// KeyID identifies the caller's API key, so that the owner can end the operation
	// when the key is withdrawn.
	KeyID   string          `json:"keyID"`
	Program spool.ProgramID `json:"program,omitempty"`
	// DeadlineIn is the time from the sending of the request to the operation's
	// deadline; 0 for no deadline.
	DeadlineIn clock.Millis `json:"deadlineInMs,omitempty"`
	// Body is the JSON encoding of the operation's request.
	Body json.RawMessage `json:"body,omitempty"`
}

// ForwardReply answers a ForwardRequest. Body is the JSON encoding of the operation's
// result.
type ForwardReply struct {
	Correlation string          `json:"correlation"`
	Body        json.RawMessage `json:"body,omitempty"`
}
