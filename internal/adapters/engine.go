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

// Engine is the client of one model engine.
type Engine struct {
	transport *transport
}

var _ spool.Engine = (*Engine)(nil)

// NewEngine returns a client of the engine at address, a host:port.
func NewEngine(address string) *Engine { return &Engine{transport: newTransport(address)} }

// ErrCutOff means that an engine's stream ended before its result.
var ErrCutOff = errors.New("stream ended before the result")

// GenerateEvent is one event of an engine's stream: a chunk, or the result.
type GenerateEvent struct {
	Chunk  *spool.Chunk        `json:"chunk,omitempty"`
	Result *spool.EngineResult `json:"result,omitempty"`
}

// Generate streams the answer to call through onChunk.
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
		err = ErrCutOff
	}
	return result, err
}

// Load returns the engine's latest report.
func (e *Engine) Load(ctx context.Context) (load spool.EngineLoad, err error) {
	defer func() { err = errors.Wrap(err, "read load") }()
	err = e.transport.get(ctx, "/v1/load", 0, &load)
	return load, err
}

// CacheEvents returns the events after the given sequence number.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) (events []spool.CacheEvent, err error) {
	defer func() { err = errors.Wrap(err, "read cache events") }()
	err = e.transport.get(ctx, fmt.Sprintf("/v1/events?after=%d", after), 0, &events)
	return events, err
}

// Sessions lists the programs whose memory the engine holds.
func (e *Engine) Sessions(ctx context.Context) (programs []spool.ProgramID, err error) {
	defer func() { err = errors.Wrap(err, "list sessions") }()
	err = e.transport.get(ctx, "/v1/sessions", 0, &programs)
	return programs, err
}

// Free releases the memory of a program.
func (e *Engine) Free(ctx context.Context, program spool.ProgramID) (err error) {
	defer func() { err = errors.Wrap(err, "free session") }()
	return e.transport.send(ctx, fasthttp.MethodDelete, "/v1/sessions/"+url.PathEscape(string(program)), nil, nil)
}

// Export moves the prefix of a program out of the cache.
func (e *Engine) Export(ctx context.Context, program spool.ProgramID, id string) (export spool.Export, err error) {
	defer func() { err = errors.Wrap(err, "export prefix") }()
	err = e.transport.send(ctx, fasthttp.MethodPost, "/v1/exports", spool.Export{ID: id, Program: program}, &export)
	return export, err
}

// Import puts a copy of an exported prefix back into the cache.
func (e *Engine) Import(ctx context.Context, program spool.ProgramID, id string) (err error) {
	defer func() { err = errors.Wrap(err, "import prefix") }()
	return e.transport.send(ctx, fasthttp.MethodPost, "/v1/imports", spool.Export{ID: id, Program: program}, nil)
}

// Exports lists the exports that the engine keeps.
func (e *Engine) Exports(ctx context.Context) (exports []spool.Export, err error) {
	defer func() { err = errors.Wrap(err, "list exports") }()
	err = e.transport.get(ctx, "/v1/exports", 0, &exports)
	return exports, err
}

// FreeExport releases an export.
func (e *Engine) FreeExport(ctx context.Context, id string) (err error) {
	defer func() { err = errors.Wrap(err, "free export") }()
	return e.transport.send(ctx, fasthttp.MethodDelete, "/v1/exports/"+url.PathEscape(id), nil, nil)
}

// Order carries out an operator's order.
func (e *Engine) Order(ctx context.Context, order spool.EngineOrder) (err error) {
	defer func() { err = errors.Wrap(err, "order") }()
	return e.transport.send(ctx, fasthttp.MethodPost, "/v1/orders", order, nil)
}

// State returns the models, adapters, versions and role that the engine has.
func (e *Engine) State(ctx context.Context) (state spool.EngineState, err error) {
	defer func() { err = errors.Wrap(err, "read state") }()
	err = e.transport.get(ctx, "/v1/state", 0, &state)
	return state, err
}
