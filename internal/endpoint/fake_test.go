package endpoint_test

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// fakeEngine is a spool.Engine that records the requests it receives.
type fakeEngine struct {
	mu sync.Mutex
	// generate is called by Generate if it is not nil. Otherwise Generate answers with
	// two chunks.
	generate func(context.Context, spool.EngineCall, func(spool.Chunk) error) (spool.EngineResult, error)
	prompts  [][]spool.Message
	sessions map[spool.ProgramID]bool
	orders   []spool.EngineOrder
	exports  map[string]spool.Export
	imports  []string
	// freedExports is the number of calls of FreeExport.
	freedExports int
	// cacheTokens is the number of tokens that Load returns both as the size and as the
	// use of the cache.
	cacheTokens int
	// exportErr is the error that Export returns. Export stores the export even if
	// exportErr is set, unless it wraps ErrInvalidCall.
	exportErr error
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{sessions: map[spool.ProgramID]bool{}, exports: map[string]spool.Export{}}
}

func (e *fakeEngine) Generate(ctx context.Context, call spool.EngineCall, onChunk func(spool.Chunk) error) (spool.EngineResult, error) {
	e.mu.Lock()
	e.prompts = append(e.prompts, call.Messages)
	e.sessions[call.Program] = true
	generate := e.generate
	e.mu.Unlock()
	if generate != nil {
		return generate(ctx, call, onChunk)
	}
	for i, text := range []string{"dune ", "fog"} {
		if err := onChunk(spool.Chunk{Correlation: call.Correlation, Index: i, Text: text}); err != nil {
			return spool.EngineResult{}, err
		}
	}
	return spool.EngineResult{Correlation: call.Correlation, Text: "dune fog", PromptTokens: 9, GeneratedTokens: 2}, nil
}

func (e *fakeEngine) Load(context.Context) (spool.EngineLoad, error) {
	return spool.EngineLoad{Generation: 1, Uptime: clock.Hour, CacheTokens: e.cacheTokens, CacheLimit: e.cacheTokens}, nil
}

func (e *fakeEngine) CacheEvents(context.Context, uint64) ([]spool.CacheEvent, error) {
	return nil, nil
}

func (e *fakeEngine) Sessions(context.Context) (programs []spool.ProgramID, _ error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for program := range e.sessions {
		programs = append(programs, program)
	}
	return programs, nil
}

func (e *fakeEngine) Free(_ context.Context, program spool.ProgramID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sessions, program)
	return nil
}

func (e *fakeEngine) Export(_ context.Context, program spool.ProgramID, id string) (spool.Export, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if errors.Is(e.exportErr, spool.ErrInvalidCall) {
		return spool.Export{}, e.exportErr
	}
	delete(e.sessions, program)
	e.exports[id] = spool.Export{ID: id, Program: program, Tokens: 9}
	return e.exports[id], e.exportErr
}

func (e *fakeEngine) Import(_ context.Context, _ spool.ProgramID, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.imports = append(e.imports, id)
	return nil
}

func (e *fakeEngine) Exports(context.Context) (list []spool.Export, _ error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, export := range e.exports {
		list = append(list, export)
	}
	return list, nil
}

func (e *fakeEngine) FreeExport(_ context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.exports, id)
	e.freedExports++
	return nil
}

func (e *fakeEngine) Order(_ context.Context, order spool.EngineOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, order)
	return nil
}

// exportAndImportCounts returns the number of exports that are currently stored and the
// number of imports so far.
func (e *fakeEngine) exportAndImportCounts() (exports, imports int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.exports), len(e.imports)
}

// State returns a state with the role of the latest order that the engine has received.
func (e *fakeEngine) State(context.Context) (state spool.EngineState, _ error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.orders) > 0 {
		state.Role = e.orders[len(e.orders)-1].Role
	}
	return state, nil
}

func (e *fakeEngine) receivedOrders() []spool.EngineOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]spool.EngineOrder{}, e.orders...)
}

func (e *fakeEngine) sessionCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions)
}

// fakeService is a spool.Service that counts its calls.
type fakeService struct {
	mu    sync.Mutex
	calls int
	err   error
	// release blocks every call until it is closed. If it is nil, calls return at once.
	release chan struct{}
}

func (s *fakeService) Call(ctx context.Context, call spool.ServiceCall) (spool.ServiceResult, error) {
	s.mu.Lock()
	s.calls++
	release, err := s.release, s.err
	s.mu.Unlock()
	if release != nil {
		select {
		case <-release:
		case <-ctx.Done():
			return spool.ServiceResult{}, errors.Wrap(ctx.Err(), "service call")
		}
	}
	return spool.ServiceResult{Correlation: call.Correlation, Status: 200, Body: []byte("paid")}, err
}

func (s *fakeService) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// fifoQueue is a first-in, first-out spool.Queue.
type fifoQueue struct{ calls []spool.CallView }

func (q *fifoQueue) Push(_ clock.Millis, call spool.CallView) { q.calls = append(q.calls, call) }

func (q *fifoQueue) Pop(clock.Millis) (call spool.CallView, ok bool) {
	if len(q.calls) == 0 {
		return call, false
	}
	call, q.calls = q.calls[0], q.calls[1:]
	return call, true
}

func (q *fifoQueue) Remove(correlation string) bool {
	for i, call := range q.calls {
		if call.Correlation == correlation {
			q.calls = append(q.calls[:i:i], q.calls[i+1:]...)
			return true
		}
	}
	return false
}

func (q *fifoQueue) Ahead(spool.CallView) int { return len(q.calls) }

func (q *fifoQueue) Served(clock.Millis, spool.CallView, int) {}
func (q *fifoQueue) Len() int                                 { return len(q.calls) }

// fixedGate is a spool.Gate that always allows four concurrent calls.
type fixedGate struct{}

func (fixedGate) Window(clock.Millis) int               { return 4 }
func (fixedGate) Observe(clock.Millis, spool.GateEvent) {}
func (fixedGate) Cold(clock.Millis) bool                { return false }

// countingGate is a fixedGate that counts the failures of all agents in gateFailures.
type countingGate struct{ fixedGate }

var gateFailures atomic.Int64

func (countingGate) Observe(_ clock.Millis, event spool.GateEvent) {
	if event.Kind == spool.GateFailed {
		gateFailures.Add(1)
	}
}

func init() {
	spool.Gates.Register("testCounting", func(uint64, spool.Options) spool.Gate { return countingGate{} })
	spool.Queues.Register("testFifo", func(uint64, spool.Options) spool.Queue { return &fifoQueue{} })
	spool.Gates.Register("testFixed", func(uint64, spool.Options) spool.Gate { return fixedGate{} })
}
