package adapters

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Engine is an HTTP client for one model engine.
type Engine struct {
	transport *transport
}

var _ spool.Engine = (*Engine)(nil)

// NewEngine returns a client for the engine at address, a host:port.
func NewEngine(address string) *Engine { return &Engine{transport: newTransport(address)} }

// ErrStreamTruncated means that an engine's stream ended before the event with the
// result.
var ErrStreamTruncated = errors.New("stream ended before the result")

// GenerateEvent is one event of an engine's stream. Either Chunk or Result is set; Result
// is set in the last event.
type GenerateEvent struct {
	Chunk  *spool.Chunk        `json:"chunk,omitempty"`
	Result *spool.EngineResult `json:"result,omitempty"`
}

// Generate runs call, passes each chunk of the answer to onChunk and returns the
// result. An error of onChunk ends the call. Generate sets no timeout of its own.
func (e *Engine) Generate(ctx context.Context, call spool.EngineCall, onChunk func(spool.Chunk) error) (result spool.EngineResult, err error) {
	defer func() { err = errors.Wrap(err, "generate") }()
	hasResult := false
	err = e.transport.streamEvents(ctx, "/v1/generate", call, func(data []byte) error {
		var event GenerateEvent
		if err := json.Unmarshal(data, &event); err != nil {
			return errors.Wrap(err, "decode event")
		}
		if event.Result != nil {
			result, hasResult = *event.Result, true
			return nil
		}
		if event.Chunk != nil {
			return onChunk(*event.Chunk)
		}
		return nil
	})
	if err == nil && !hasResult {
		err = ErrStreamTruncated
	}
	return result, err
}

// Load returns the engine's latest load report.
func (e *Engine) Load(ctx context.Context) (load spool.EngineLoad, err error) {
	defer func() { err = errors.Wrap(err, "read load") }()
	err = e.transport.get(ctx, "/v1/load", 0, &load)
	return load, err
}

// CacheEvents returns the cache events with a sequence number above after.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) (events []spool.CacheEvent, err error) {
	defer func() { err = errors.Wrap(err, "read cache events") }()
	err = e.transport.get(ctx, fmt.Sprintf("/v1/events?after=%d", after), 0, &events)
	return events, err
}

// Sessions returns the programs that occupy memory at the engine.
func (e *Engine) Sessions(ctx context.Context) (programs []spool.ProgramID, err error) {
	defer func() { err = errors.Wrap(err, "list sessions") }()
	err = e.transport.get(ctx, "/v1/sessions", 0, &programs)
	return programs, err
}

// Free releases the engine memory of a program.
func (e *Engine) Free(ctx context.Context, program spool.ProgramID) (err error) {
	defer func() { err = errors.Wrap(err, "free session") }()
	return e.transport.send(ctx, fasthttp.MethodDelete, "/v1/sessions/"+url.PathEscape(string(program)), nil, nil)
}

// Export moves the prefix of a program out of the engine's cache and stores it
// under id.
func (e *Engine) Export(ctx context.Context, program spool.ProgramID, id string) (export spool.Export, err error) {
	defer func() { err = errors.Wrap(err, "export prefix") }()
	err = e.transport.send(ctx, fasthttp.MethodPost, "/v1/exports", spool.Export{ID: id, Program: program}, &export)
	return export, err
}

// Import copies the prefix that is stored under id back into the engine's cache.
func (e *Engine) Import(ctx context.Context, program spool.ProgramID, id string) (err error) {
	defer func() { err = errors.Wrap(err, "import prefix") }()
	return e.transport.send(ctx, fasthttp.MethodPost, "/v1/imports", spool.Export{ID: id, Program: program}, nil)
}

// Exports returns the exports that the engine stores.
func (e *Engine) Exports(ctx context.Context) (exports []spool.Export, err error) {
	defer func() { err = errors.Wrap(err, "list exports") }()
	err = e.transport.get(ctx, "/v1/exports", 0, &exports)
	return exports, err
}

// FreeExport deletes the export that is stored under id.
func (e *Engine) FreeExport(ctx context.Context, id string) (err error) {
	defer func() { err = errors.Wrap(err, "free export") }()
	return e.transport.send(ctx, fasthttp.MethodDelete, "/v1/exports/"+url.PathEscape(id), nil, nil)
}

// Order sends an operator's order to the engine.
func (e *Engine) Order(ctx context.Context, order spool.EngineOrder) (err error) {
	defer func() { err = errors.Wrap(err, "order") }()
	return e.transport.send(ctx, fasthttp.MethodPost, "/v1/orders", order, nil)
}

// State returns the state of the engine that operators' orders change: its models,
// adapters, versions and role.
func (e *Engine) State(ctx context.Context) (state spool.EngineState, err error) {
	defer func() { err = errors.Wrap(err, "read state") }()
	err = e.transport.get(ctx, "/v1/state", 0, &state)
	return state, err
}
