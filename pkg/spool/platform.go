package spool

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// Errors of the platform's log.
var (
	// ErrLogUnavailable means that the operation had no effect: the connection was
	// refused or the log reported that it is down.
	ErrLogUnavailable = errors.New("log is unavailable")
	// ErrOutcomeUnknown means that an append may have taken effect or may still take
	// effect. The writer must read the stream and look for the identifier of its batch.
	ErrOutcomeUnknown = errors.New("outcome of the append is unknown")
	// ErrTrimmed means that retention has removed some of the requested records.
	ErrTrimmed = errors.New("records before the requested offset have been removed")
	// ErrConditionFailed means that a topic does not end at the offset that a
	// conditional append expects.
	ErrConditionFailed = errors.New("topic does not end at the expected offset")
	// ErrRecordsRejected means that the log will never accept these records, for example because
	// one is too large. Nothing was appended.
	ErrRecordsRejected = errors.New("log does not accept the records")
)

// RecordKind identifies the type of the data of a record.
type RecordKind string

// Record describes one change of state. It is written as part of a Batch.
type Record struct {
	// Kind determines the type that Data decodes to.
	Kind RecordKind `json:"kind"`
	// Program is the program that the record belongs to; empty for records
	// about a whole stream and on the control stream.
	Program ProgramID `json:"program,omitempty"`
	// Data is the JSON form of the record.
	Data json.RawMessage `json:"data"`
}

// Batch is the content of one append to a stream. The log orders the batches of a
// stream. A writer may combine the records of several requests in one batch.
type Batch struct {
	// Offset is assigned by the log and increases by one with each batch of a
	// stream.
	Offset Offset `json:"offset,omitempty"`
	// ID is a unique identifier that the writer chooses. The writer recognises by it
	// whether an append with an unknown outcome has taken effect. The stream may contain
	// the same records in two batches with different IDs. Readers drop the repeated
	// records by their own sequence numbers.
	ID string `json:"id"`
	// Writer is the node that appended the batch.
	Writer NodeID `json:"writer"`
	// Epoch is the epoch of the writer's claim on the stream; 0 on the control stream,
	// which has no owner.
	Epoch Epoch `json:"epoch,omitempty"`
	// At is the time, on the writer's clock, at which it built the batch.
	At clock.Millis `json:"atMs"`
	// Records are the changes, to be applied in this order.
	Records []Record `json:"records"`
}

// Page is the result of one Log.Read.
type Page struct {
	// Batches are in the order of their offsets, without gaps.
	Batches []Batch `json:"batches"`
	// First is the lowest offset that retention has not removed; 1 + Last when it has
	// removed all.
	First Offset `json:"first"`
	// Last is the highest offset of the stream at the time of the read.
	Last Offset `json:"last"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds batch to the end of stream and returns its offset. It fails
	// with ErrLogUnavailable or ErrOutcomeUnknown.
	Append(ctx context.Context, stream Stream, batch Batch) (Offset, error)
	// Read returns the batches of stream after the given offset. When there are
	// none it waits for a batch for up to the duration wait. It fails with
	// ErrLogUnavailable, or with ErrTrimmed when retention has removed one of the
	// requested batches; First and Last of the returned page are set then, too.
	Read(ctx context.Context, stream Stream, after Offset, wait clock.Millis) (Page, error)
}

// Role identifies the kind of baobabspool process that a VM runs.
type Role string

// The roles.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

// VMState is the state of a VM as the platform reports it. The report may be out of
// date.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one row of the platform's VM list.
type VM struct {
	// ID is the NodeID of the baobabspool process on the VM.
	ID NodeID `json:"id"`
	// Role is RoleEntry or RoleEndpoint.
	Role Role `json:"role"`
	// State is VMLive or VMLeaving. A VM that no longer exists is not listed.
	State VMState `json:"state"`
	// FailureDomain is the failure domain of the VM.
	FailureDomain FailureDomain `json:"failureDomain"`
	// Region is the region of the failure domain.
	Region Region `json:"region"`
	// Service is the service of the endpoint; empty for entries.
	Service ServiceName `json:"service,omitempty"`
	// Address is the host:port at which the process receives messages of other
	// processes.
	Address string `json:"address"`
}

// VMList is the platform's list of live and leaving VMs.
type VMList interface {
	// VMs returns the platform's current list, which may be out of date. Neither the
	// implementation nor the caller may modify the returned slice.
	VMs(ctx context.Context) ([]VM, error)
}

// Message is one message of a program's history.
type Message struct {
	// Role is system, user, assistant or tool.
	Role string `json:"role"`
	// Content is UTF-8 text.
	Content string `json:"content"`
}

// EngineCall asks a model engine to continue a conversation.
type EngineCall struct {
	// Correlation identifies the call. The engine returns it in every chunk and in the
	// result.
	Correlation string `json:"correlation"`
	// Program identifies the session whose prefix the engine keeps in memory.
	Program ProgramID `json:"program"`
	// Model is the model to run.
	Model ModelName `json:"model"`
	// Messages is the whole prompt.
	Messages []Message `json:"messages"`
	// MaxTokens bounds the number of generated tokens.
	MaxTokens int `json:"maxTokens"`
	// Priority orders the calls in the engine. A higher value is more urgent.
	Priority int `json:"priority"`
}

// Chunk is one piece of a streamed answer.
type Chunk struct {
	// Correlation is EngineCall.Correlation of the call.
	Correlation string `json:"correlation"`
	// Index counts the chunks of an answer from 0 without gaps.
	Index int `json:"index"`
	// Text is the text of this chunk.
	Text string `json:"text"`
}

// EngineResult is the last message of a streamed answer.
type EngineResult struct {
	// Correlation is EngineCall.Correlation of the call.
	Correlation string `json:"correlation"`
	// Text is the whole answer.
	Text string `json:"text"`
	// PromptTokens is the number of tokens of the prompt.
	PromptTokens int `json:"promptTokens"`
	// CachedTokens is the number of prompt tokens that came from the prefix cache.
	CachedTokens int `json:"cachedTokens"`
	// GeneratedTokens is the number of tokens of the answer.
	GeneratedTokens int `json:"generatedTokens"`
}

// EngineLoad is a load report of an engine. It may be out of date.
type EngineLoad struct {
	// Generation changes whenever the engine restarts.
	Generation uint64 `json:"generation"`
	// Uptime is the time since the engine started.
	Uptime clock.Millis `json:"uptimeMs"`
	// Running is the number of calls in the engine's current batch. Waiting is the
	// number of calls that wait for a place in it.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// CacheTokens and CacheLimit are the used and total size of the prefix cache, in
	// tokens.
	CacheTokens int `json:"cacheTokens"`
	CacheLimit  int `json:"cacheLimit"`
}

// CacheEvent reports that an engine has stored or evicted a program's prefix.
// Events may arrive late or not at all.
type CacheEvent struct {
	// Sequence increases by one with each event of an engine. A larger step means that
	// events were lost.
	Sequence uint64 `json:"sequence"`
	// Program identifies the session whose prefix was stored or evicted.
	Program ProgramID `json:"program"`
	// Tokens is the length of the cached prefix; 0 when it was evicted.
	Tokens int `json:"tokens"`
}

// OrderKind is the kind of an operator's order to an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// EngineOrder is an operator's order to an engine.
type EngineOrder struct {
	// Fence is the fencing number of the order. An engine that supports fencing refuses an
	// order whose number is lower than the highest one that it has received.
	Fence uint64 `json:"fence"`
	// Kind determines which of the other fields are set.
	Kind OrderKind `json:"kind"`
	// Model, Adapter and Version identify the model to load or unload.
	Model   ModelName `json:"model,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Version string    `json:"version,omitempty"`
	// Role is the new role of the engine. It is set only with OrderRole.
	Role string `json:"role,omitempty"`
}

// Subject identifies the part of the engine's state that the order sets. A later
// order with the same subject replaces an earlier one.
func (o EngineOrder) Subject() string {
	if o.Kind == OrderRole {
		return "role"
	}
	return string(o.Model) + "/" + o.Adapter
}

// LoadedModel is a model, with or without an adapter, that an engine can run.
type LoadedModel struct {
	Model   ModelName `json:"model"`
	Adapter string    `json:"adapter,omitempty"`
	Version string    `json:"version,omitempty"`
}

// EngineState is the part of an engine's state that operators' orders change.
type EngineState struct {
	// Loaded lists the models and adapters that are ready.
	Loaded []LoadedModel `json:"loaded"`
	// Role is the engine's role; empty for its default.
	Role string `json:"role,omitempty"`
}

// Reflects reports whether s is a state in which order has taken effect: the engine has
// the ordered role, has loaded the ordered model, or no longer has the model that it
// had to unload. A load or unload order without a version matches any version.
func (s EngineState) Reflects(order EngineOrder) bool {
	if order.Kind == OrderRole {
		return s.Role == order.Role
	}
	loaded := false
	for _, model := range s.Loaded {
		loaded = loaded || model.Model == order.Model && model.Adapter == order.Adapter &&
			(order.Version == "" || model.Version == order.Version)
	}
	return loaded == (order.Kind == OrderLoad)
}

// Engine is one model engine.
type Engine interface {
	// Generate streams the answer to call through onChunk, in order, and returns
	// the result. Cancelling ctx cancels the generation on the engine.
	Generate(ctx context.Context, call EngineCall, onChunk func(Chunk) error) (EngineResult, error)
	// Load returns the engine's latest load report.
	Load(ctx context.Context) (EngineLoad, error)
	// CacheEvents returns the events after the given sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Sessions lists the programs whose prefixes the engine has in memory.
	Sessions(ctx context.Context) ([]ProgramID, error)
	// Free removes the prefix of a program from the engine's memory.
	Free(ctx context.Context, program ProgramID) error
	// Export moves the prefix of a program out of the cache and keeps it under id
	// until FreeExport. The export survives a restart of the engine. An error that
	// wraps ErrNotSent or ErrRejected proves that the export does not exist. After
	// any other error it may exist.
	Export(ctx context.Context, program ProgramID, id string) (Export, error)
	// Import puts a copy of an exported prefix back into the cache.
	Import(ctx context.Context, program ProgramID, id string) error
	// Exports lists the exports that exist on the engine.
	Exports(ctx context.Context) ([]Export, error)
	// FreeExport deletes an export. It is not an error if the export does not exist.
	FreeExport(ctx context.Context, id string) error
	// Order executes an operator's order. It fails with ErrStaleFence when the engine
	// supports fencing and has received a higher number than order.Fence.
	Order(ctx context.Context, order EngineOrder) error
	// State returns the engine's loaded models and its role.
	State(ctx context.Context) (EngineState, error)
}

// ServiceCall is a request to a plain service.
type ServiceCall struct {
	// Correlation identifies the request. The service returns it in the answer.
	Correlation string `json:"correlation"`
	// Call identifies the action. A repeated request for the same action has the same
	// value.
	Call string `json:"call"`
	// Method and Path are those of the HTTP request to the service.
	Method string `json:"method"`
	Path   string `json:"path"`
	// Body is the body of the HTTP request, sent unchanged.
	Body []byte `json:"body,omitempty"`
}

// ServiceResult is a plain service's answer.
type ServiceResult struct {
	// Correlation is ServiceCall.Correlation of the call.
	Correlation string `json:"correlation"`
	// Status is the HTTP status of the service's answer.
	Status int `json:"status"`
	// Body is the unchanged body of the HTTP answer.
	Body []byte `json:"body,omitempty"`
}

// Errors of endpoints.
var (
	// ErrNotSent means that a request provably did not reach the endpoint.
	ErrNotSent = errors.New("request was not sent")
	// ErrRejected means that the endpoint answered that it did not run the
	// request.
	ErrRejected = errors.New("endpoint rejected the request")
	// ErrInvalidCall means that the engine did not run the call because the call is
	// invalid. A retry is pointless, because every other engine would refuse it too.
	ErrInvalidCall = errors.New("engine says that the call is not valid")
	// ErrStaleFence means that an engine refused an order because it has received a
	// higher fencing number.
	ErrStaleFence = errors.New("fencing number is old")
)

// Service is one plain service.
type Service interface {
	// Call sends one request. An error that wraps ErrNotSent proves that the service
	// did not receive it. After any other error the outcome is unknown.
	Call(ctx context.Context, call ServiceCall) (ServiceResult, error)
}
