package entry

import (
	"context"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// shard is the state of the programs of one stream. Its goroutine alone reads
// and changes state, flights and ended.
type shard struct {
	stream spool.Stream
	epoch  spool.Epoch
	// serving is closed once this process is the owner.
	serving chan struct{}
	// ctx ends when the stream is lost; the goroutine ends after that, so that
	// the calls under way can be told.
	ctx      context.Context
	cancel   context.CancelFunc
	loopCtx  context.Context
	stopLoop context.CancelFunc

	// attempts numbers the dispatches of this epoch.
	attemptCounter atomic.Uint64

	tasks chan func()
	state *program.State
	// flights maps a ticket to its call.
	inflight map[uint64]*inflightCall
	// ended maps programs that have ended to the endpoint that may still hold
	// their memory; cleared when the endpoint has been told.
	ended     map[spool.ProgramID]spool.EndpointID
	decisions map[spool.ProgramID]*decisionRing
}

func newShard(parent context.Context, stream spool.Stream, epoch spool.Epoch, limits program.Limits) *shard {
	alive, stop := context.WithCancel(parent)
	ctx, cancel := context.WithCancel(alive)
	s := &shard{
		stream: stream, epoch: epoch, serving: make(chan struct{}), ctx: ctx, cancel: cancel, loopCtx: alive, stopLoop: stop,
		tasks: make(chan func()), state: program.NewState(limits),
		inflight: map[uint64]*inflightCall{}, ended: map[spool.ProgramID]spool.EndpointID{}, decisions: map[spool.ProgramID]*decisionRing{},
	}
	go func() {
		for {
			select {
			case task := <-s.tasks:
				task()
			case <-s.loopCtx.Done():
				return
			}
		}
	}()
	return s
}

// do runs message on the shard's goroutine and returns when it has run, or
// false when the stream has been lost.
func (s *shard) do(task func()) bool {
	done := make(chan struct{})
	select {
	case s.tasks <- func() { defer close(done); task() }:
		<-done
		return true
	case <-s.loopCtx.Done():
		return false
	}
}

func (s *shard) isServing() bool {
	select {
	case <-s.serving:
		return s.ctx.Err() == nil
	default:
		return false
	}
}

// apply folds records on the shard's goroutine and checks the invariants.
func (s *shard) apply(records []spool.Record, t *telemetry.Telemetry) {
	effects := s.state.Apply(records)
	for _, err := range effects.Invalid {
		t.Violated("journalRecordValid", zap.String("stream", string(s.stream)), zap.Error(err))
	}
	for id, endpoint := range effects.Ended {
		if endpoint != "" {
			s.ended[id] = endpoint
		}
		delete(s.decisions, id)
	}
}

// shards holds the streams that this process owns or recovers. It is the
// Applier.
type shardSet struct {
	entry *Entry

	mu       sync.Mutex
	byStream map[spool.Stream]*shard
}

// Reset starts the recovery of a stream from nothing.
func (s *shardSet) Reset(stream spool.Stream, epoch spool.Epoch) {
	s.Lost(stream)
	fresh := newShard(s.entry.ctx, stream, epoch, s.entry.programLimits)
	s.mu.Lock()
	s.byStream[stream] = fresh
	s.mu.Unlock()
}

// Apply folds one batch.
func (s *shardSet) Apply(stream spool.Stream, batch spool.Batch) {
	if shard := s.get(stream); shard != nil {
		shard.do(func() { shard.apply(batch.Records, s.entry.telemetry) })
	}
}

// Serving ends the recovery.
func (s *shardSet) Serving(stream spool.Stream, epoch spool.Epoch) {
	shard := s.get(stream)
	if shard == nil {
		return
	}
	shard.do(func() {
		shard.epoch = epoch
		select {
		case <-shard.serving:
		default:
			close(shard.serving)
		}
	})
	s.entry.resolveInDoubtCalls(shard)
}

// Lost drops the state of a stream and ends its calls.
func (s *shardSet) Lost(stream spool.Stream) {
	s.mu.Lock()
	shard := s.byStream[stream]
	delete(s.byStream, stream)
	s.mu.Unlock()
	if shard == nil {
		return
	}
	// Work of this owner ends before its calls do, so that it asks no agent
	// about a call that now belongs to the next owner.
	shard.cancel()
	shard.do(func() {
		for _, call := range shard.inflight {
			call.finish(program.Answer{}, notOwner(stream))
			call.cancel()
		}
		shard.inflight = map[uint64]*inflightCall{}
	})
	shard.stopLoop()
}

// Snapshot returns records that replace all batches applied so far. No batch is
// applied meanwhile, so the trees may be taken one by one; calls go on between.
func (s *shardSet) Snapshot(stream spool.Stream) (records []spool.Record) {
	shard := s.get(stream)
	if shard == nil {
		return nil
	}
	var roots []spool.ProgramID
	shard.do(func() { roots = shard.state.Roots() })
	for _, root := range roots {
		shard.do(func() {
			if record, ok := shard.state.SnapshotOf(root); ok {
				records = append(records, record)
			}
		})
	}
	return records
}

func (s *shardSet) get(stream spool.Stream) *shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byStream[stream]
}

// served names the streams that are being served.
func (s *shardSet) servingStreams() map[spool.Stream]bool {
	served := map[spool.Stream]bool{}
	for _, shard := range s.listServing() {
		served[shard.stream] = true
	}
	return served
}

// list returns the streams that are being served.
func (s *shardSet) listServing() (served []*shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, shard := range s.byStream {
		if shard.isServing() {
			served = append(served, shard)
		}
	}
	return served
}

// notOwner refuses a call whose stream has moved. The call may be under way at
// an endpoint, so nothing is proved; the caller repeats it at the new owner.
func notOwner(stream spool.Stream) *spool.Refusal {
	return spool.Refuse(spool.CodeNotOwner, "stream %s has moved to another entry", stream).
		WithNotRun(spool.NotRunUnknown).WithRetryAfter(moveRetryAfter)
}

// moveRetryAfter is the wait after which a moved stream is likely served: a
// claim, the seal and the recovery.
const moveRetryAfter = 500 * clock.Millis(1)
