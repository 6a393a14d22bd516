package spool

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// Errors of the platform's log.
var (
	// ErrLogUnavailable means that the log took no effect: the connection was
	// refused or the log said that it is down.
	ErrLogUnavailable = errors.New("log is unavailable")
	// ErrOutcomeUnknown means that an append may or may not have taken effect.
	// The writer must read the stream and look for the identifier of its batch.
	ErrOutcomeUnknown = errors.New("outcome of the append is unknown")
	// ErrTrimmed means that retention has removed records that were asked for.
	ErrTrimmed = errors.New("records before the requested offset have been removed")
	// ErrMoved means that a topic did not end where an append expects it to.
	ErrMoved = errors.New("topic does not end at the expected offset")
)

// RecordKind tells how to read the data of a record.
type RecordKind string

// Record is one change of state within a batch.
type Record struct {
	// Kind selects the type that Data decodes to.
	Kind RecordKind `json:"kind"`
	// Program is the program that the record belongs to; empty for records
	// about a whole stream and on the control stream.
	Program ProgramID `json:"program,omitempty"`
	// Data is the JSON form of the record.
	Data json.RawMessage `json:"data"`
}

// Batch is one append: the unit that the log orders and the unit of group
// commit.
type Batch struct {
	// Offset is assigned by the log and increases by one with each batch of a
	// stream.
	Offset Offset `json:"offset,omitempty"`
	// ID is chosen by the writer and unique; a reader drops a batch whose ID it
	// has seen.
	ID string `json:"id"`
	// Writer is the node that appended the batch.
	Writer NodeID `json:"writer"`
	// Epoch is the writer's claim on the stream; 0 on the control stream.
	Epoch Epoch `json:"epoch,omitempty"`
	// At is the writer's clock when it built the batch.
	At clock.Millis `json:"atMs"`
	// Records are applied in order.
	Records []Record `json:"records"`
}

// Page is the answer to a read.
type Page struct {
	// Batches are in the order of their offsets, without gaps.
	Batches []Batch `json:"batches"`
	// First is the lowest offset still kept; 1 + Last when nothing is kept.
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
	// none it waits for up to wait milliseconds. It fails with ErrTrimmed, in
	// which case the page still holds First and Last, or ErrLogUnavailable.
	Read(ctx context.Context, stream Stream, after Offset, wait clock.Millis) (Page, error)
}

// Role tells what a VM runs.
type Role string

// The roles.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

// VMState is the platform's view of a VM. It lags.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one row of the platform's list.
type VM struct {
	// ID is the NodeID of the process of ours that runs on the VM.
	ID NodeID `json:"id"`
	// Role tells which of our processes runs on the VM.
	Role Role `json:"role"`
	// State is live or leaving; a VM that is gone is not listed.
	State VMState `json:"state"`
	// FailureDomain is where the VM runs.
	FailureDomain FailureDomain `json:"failureDomain"`
	// Region holds the failure domain.
	Region Region `json:"region"`
	// Service is the service of the endpoint; empty for entries.
	Service ServiceName `json:"service,omitempty"`
	// Address is the host:port of our process for messages between processes.
	Address string `json:"address"`
}

// VMList is the platform's list of live and leaving VMs.
type VMList interface {
	// VMs returns the list as the platform knows it, which lags. The slice is not
	// changed any more, by the list or by the caller.
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
	// Correlation is echoed in every chunk and in the result.
	Correlation string `json:"correlation"`
	// Program is the session whose memory the engine keeps.
	Program ProgramID `json:"program"`
	// Model is the model to run.
	Model ModelName `json:"model"`
	// Messages is the whole prompt.
	Messages []Message `json:"messages"`
	// MaxTokens bounds the generated tokens.
	MaxTokens int `json:"maxTokens"`
	// Priority is higher for more urgent calls.
	Priority int `json:"priority"`
}

// Chunk is one piece of a streamed answer.
type Chunk struct {
	// Correlation is that of the call.
	Correlation string `json:"correlation"`
	// Index counts the chunks of an answer from 0 without gaps.
	Index int `json:"index"`
	// Text is the piece.
	Text string `json:"text"`
}

// EngineResult is the end of a streamed answer.
type EngineResult struct {
	// Correlation is that of the call.
	Correlation string `json:"correlation"`
	// Text is the whole answer.
	Text string `json:"text"`
	// PromptTokens counts the tokens of the prompt.
	PromptTokens int `json:"promptTokens"`
	// CachedTokens counts the prompt tokens that were not recomputed.
	CachedTokens int `json:"cachedTokens"`
	// GeneratedTokens counts the tokens of the answer.
	GeneratedTokens int `json:"generatedTokens"`
}

// EngineLoad is an engine's report on itself. It lags.
type EngineLoad struct {
	// Generation changes whenever the engine restarts.
	Generation uint64 `json:"generation"`
	// Uptime is the time since the restart.
	Uptime clock.Millis `json:"uptimeMs"`
	// Running and Waiting count calls in the batch and in front of it.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// CacheTokens and CacheLimit are the use and size of the prefix cache.
	CacheTokens int `json:"cacheTokens"`
	CacheLimit  int `json:"cacheLimit"`
}

// CacheEvent says that an engine has stored or dropped a program's prefix.
// Events arrive late and some never arrive.
type CacheEvent struct {
	// Sequence increases by one with each event; a jump shows a gap.
	Sequence uint64 `json:"sequence"`
	// Program is the session.
	Program ProgramID `json:"program"`
	// Tokens is the length of the prefix now held; 0 when it was dropped.
	Tokens int `json:"tokens"`
}

// OrderKind is what an operator asks of an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// EngineOrder is an operator's order to an engine.
type EngineOrder struct {
	// Fence is the fencing number; an engine that honours it refuses a number
	// lower than the highest it has seen.
	Fence uint64 `json:"fence"`
	// Kind selects the order.
	Kind OrderKind `json:"kind"`
	// Model, Adapter and Version name what to load or unload.
	Model   ModelName `json:"model,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Version string    `json:"version,omitempty"`
	// Role is the new role for OrderRole.
	Role string `json:"role,omitempty"`
}

// Subject names what an order decides on: a later order with the same subject
// replaces it.
func (o EngineOrder) Subject() string {
	if o.Kind == OrderRole {
		return "role"
	}
	return string(o.Model) + "/" + o.Adapter
}

// LoadedModel is a model, with an adapter or without, that an engine can run.
type LoadedModel struct {
	Model   ModelName `json:"model"`
	Adapter string    `json:"adapter,omitempty"`
	Version string    `json:"version,omitempty"`
}

// EngineState is what operators' orders have made of an engine.
type EngineState struct {
	// Loaded lists the models and adapters that are ready.
	Loaded []LoadedModel `json:"loaded"`
	// Role is the engine's role; empty for its default.
	Role string `json:"role,omitempty"`
}

// Shows reports whether an order has taken effect. An order to load or unload
// without a version is about any version.
func (s EngineState) Shows(order EngineOrder) bool {
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
	// Load returns the engine's latest report.
	Load(ctx context.Context) (EngineLoad, error)
	// CacheEvents returns the events after the given sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Sessions lists the programs whose memory the engine holds.
	Sessions(ctx context.Context) ([]ProgramID, error)
	// Free releases the memory of a program.
	Free(ctx context.Context, program ProgramID) error
	// Export moves the prefix of a program out of the cache and keeps it under id
	// until FreeExport. It survives a restart of the engine. An error that wraps
	// ErrNotSent or ErrRejected proves that there is no such export; after any
	// other error there may be one.
	Export(ctx context.Context, program ProgramID, id string) (Export, error)
	// Import puts a copy of an exported prefix back into the cache.
	Import(ctx context.Context, program ProgramID, id string) error
	// Exports lists the exports that the engine keeps.
	Exports(ctx context.Context) ([]Export, error)
	// FreeExport releases an export. One that does not exist is no error.
	FreeExport(ctx context.Context, id string) error
	// Order carries out an operator's order. It fails when the engine honours
	// fencing numbers and order.Fence is old.
	Order(ctx context.Context, order EngineOrder) error
	// State returns the models, adapters, versions and role that the engine has.
	State(ctx context.Context) (EngineState, error)
}

// ServiceCall is a request to a plain service.
type ServiceCall struct {
	// Correlation is echoed in the answer.
	Correlation string `json:"correlation"`
	// Call is unique for each action; a repeat carries the same value.
	Call string `json:"call"`
	// Method and Path are those of the HTTP request to the service.
	Method string `json:"method"`
	Path   string `json:"path"`
	// Body is sent as it is.
	Body []byte `json:"body,omitempty"`
}

// ServiceResult is a plain service's answer.
type ServiceResult struct {
	// Correlation is that of the call.
	Correlation string `json:"correlation"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Body is the answer as it came.
	Body []byte `json:"body,omitempty"`
}

// Errors of endpoints.
var (
	// ErrNotSent means that a request provably did not reach the endpoint.
	ErrNotSent = errors.New("request was not sent")
	// ErrRejected means that the endpoint answered that it did not run the
	// request.
	ErrRejected = errors.New("endpoint rejected the request")
	// ErrInvalidCall means that the engine ran nothing because the call itself is
	// not valid; another engine would answer the same.
	ErrInvalidCall = errors.New("engine says that the call is not valid")
	// ErrStaleFence means that an engine refused an order with an old fencing
	// number.
	ErrStaleFence = errors.New("fencing number is old")
)

// Service is one plain service.
type Service interface {
	// Call sends one request. An error that wraps ErrNotSent proves that the
	// service did not see it; any other error leaves its fate unknown.
	Call(ctx context.Context, call ServiceCall) (ServiceResult, error)
}
