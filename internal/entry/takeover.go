package entry

import (
	"sync"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// resolving holds the calls whose fate is being asked, so that each is asked
// by one goroutine at a time.
type resolving struct {
	mu    sync.Mutex
	calls map[resolvingKey]bool
}

type resolvingKey struct {
	stream  spool.Stream
	epoch   spool.Epoch
	program spool.ProgramID
	call    spool.CallID
}

func (r *resolving) begin(key resolvingKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls[key] {
		return false
	}
	r.calls[key] = true
	return true
}

func (r *resolving) end(key resolvingKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, key)
}

// resolveAll finds out the fate of the calls that the owner before has left
// without an outcome. Calls of models need nothing: their callers repeat them.
func (e *Entry) resolveAll(shard *shard) {
	e.traffic.Submit(func() {
		// A stream may be served before the entry has been started.
		select {
		case <-e.started:
		case <-shard.ctx.Done():
			return
		}
		var calls []program.Unresolved
		shard.do(func() { calls = shard.state.Unresolved() })
		for _, call := range calls {
			key := resolvingKey{stream: shard.stream, epoch: shard.epoch, program: call.Program, call: call.Call}
			if !e.resolving.begin(key) {
				continue
			}
			e.traffic.Submit(func() {
				defer e.resolving.end(key)
				e.resolve(shard, call)
			})
		}
	})
}

func (e *Entry) resolve(shard *shard, call program.Unresolved) {
	result := program.OutcomeResult{Fate: program.FateUnknown, Endpoint: call.Endpoint}
	for _, vm := range e.streams.Endpoints(call.Service) {
		if spool.EndpointID(vm.ID) == call.Endpoint {
			result = e.askFate(shard, vm, wire.FateRequest{
				Account: call.Account, Program: call.Program, Call: call.Call,
				Stream: shard.stream, Epoch: shard.epoch, Attempt: shard.attempts.Load(), Mark: call.Mark,
			})
		}
	}
	if shard.ctx.Err() != nil {
		return
	}
	var entry spool.Record
	open := false
	shard.do(func() { entry, open = shard.state.Resolve(e.clock.Now(), call, result) })
	if !open {
		return
	}
	if err := e.commit(shard.ctx, shard, []spool.Record{entry}, false); err != nil {
		e.log.Warn("outcome was not recorded", zap.String("program", string(call.Program)), zap.Error(err))
		return
	}
	e.telemetry.Event("fate." + string(result.Fate))
	shard.do(func() { e.grant(shard, shard.state.Resolved(e.clock.Now(), call.Program)) })
}
