package entry

import (
	"sync"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// resolutionSet is the set of in-doubt calls that are being resolved. It ensures
// that at most one goroutine at a time resolves a call.
type resolutionSet struct {
	mu    sync.Mutex
	calls map[resolutionKey]bool
}

// resolutionKey identifies an in-doubt call in one epoch of its stream.
type resolutionKey struct {
	stream  spool.Stream
	epoch   spool.Epoch
	program spool.ProgramID
	call    spool.CallID
}

// begin adds a call to the set. It returns false if the call is in the set already.
func (r *resolutionSet) begin(key resolutionKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls[key] {
		return false
	}
	r.calls[key] = true
	return true
}

// end removes a call from the set.
func (r *resolutionSet) end(key resolutionKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, key)
}

// resolveInDoubtCalls starts to determine, in the background, the outcomes of the
// in-doubt calls of a stream: non-idempotent service calls with a recorded intent,
// mostly of the previous owner, that have no recorded outcome and do not run in
// this process. Other calls need no resolution, because callers can repeat them.
func (e *Entry) resolveInDoubtCalls(shard *shard) {
	e.callPool.Submit(func() {
		// A stream may be served before Start has set e.streams, which
		// resolveInDoubtCall uses.
		select {
		case <-e.started:
		case <-shard.ctx.Done():
			return
		}
		var calls []program.Unresolved
		shard.do(func() { calls = shard.state.Unresolved() })
		for _, call := range calls {
			key := resolutionKey{stream: shard.stream, epoch: shard.epoch, program: call.Program, call: call.Call}
			if !e.resolutions.begin(key) {
				continue
			}
			e.callPool.Submit(func() {
				defer e.resolutions.end(key)
				e.resolveInDoubtCall(shard, call)
			})
		}
	})
}

// resolveInDoubtCall queries the agent that got an in-doubt call for the outcome,
// records the outcome and starts the next waiting call of the program. If the
// endpoint is no longer listed, the recorded outcome is OutcomeUnknown.
func (e *Entry) resolveInDoubtCall(shard *shard, call program.Unresolved) {
	result := program.OutcomeResult{Outcome: program.OutcomeUnknown, Endpoint: call.Endpoint}
	for _, vm := range e.streams.Endpoints(call.Service) {
		if spool.EndpointID(vm.ID) == call.Endpoint {
			result = e.queryOutcome(shard, vm, wire.OutcomeQuery{
				Account: call.Account, Program: call.Program, Call: call.Call,
				Stream: shard.stream, Epoch: shard.epoch, Attempt: shard.attemptCounter.Load(), Mark: call.Mark,
			})
		}
	}
	if shard.ctx.Err() != nil {
		return
	}
	var record spool.Record
	unresolved := false
	shard.do(func() { record, unresolved = shard.state.ResolveRecord(e.clock.Now(), call, result) })
	if !unresolved {
		return
	}
	if err := e.commit(shard.ctx, shard, []spool.Record{record}, false); err != nil {
		e.log.Warn("outcome of an in-doubt call was not recorded", zap.String("program", string(call.Program)), zap.Error(err))
		return
	}
	e.telemetry.CountEvent("fate." + string(result.Outcome))
	shard.do(func() { e.applyGrants(shard, shard.state.StartWaitingCalls(e.clock.Now(), call.Program)) })
}
