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

// shard contains the programs of one stream. The fields state, inflight, ended and
// decisions are accessed only on the shard's goroutine; other goroutines use do.
type shard struct {
	stream spool.Stream
	epoch  spool.Epoch
	// serving is closed once the recovery of the stream is complete and this
	// process serves it. It stays closed after the stream is lost; see isServing.
	serving chan struct{}
	// ctx is cancelled when the stream is lost. loopCtx, the context of the
	// shard's goroutine, is cancelled later: StreamLost first finishes the calls
	// in progress with a refusal, on that goroutine.
	ctx      context.Context
	cancel   context.CancelFunc
	loopCtx  context.Context
	stopLoop context.CancelFunc

	// attemptCounter is the number of the latest dispatch of any call in this
	// epoch; 0 before the first.
	attemptCounter atomic.Uint64

	// tasks passes functions to the shard's goroutine.
	tasks chan func()
	state *program.State
	// inflight maps the identifier of a ticket to the call in progress.
	inflight map[uint64]*inflightCall
	// ended maps each ended program to the endpoint whose engine may still keep
	// memory for the program. renewLeases deletes the program from the map when
	// the endpoint's agent has been told to free the memory, or when the endpoint
	// is no longer listed.
	ended map[spool.ProgramID]spool.EndpointID
	// decisions holds the latest decisions about the calls of each program.
	decisions map[spool.ProgramID]*decisionRing
}

// newShard returns a shard with an empty state and starts its goroutine.
func newShard(parent context.Context, stream spool.Stream, epoch spool.Epoch, limits program.Limits) *shard {
	loopCtx, stopLoop := context.WithCancel(parent)
	ctx, cancel := context.WithCancel(loopCtx)
	s := &shard{
		stream: stream, epoch: epoch, serving: make(chan struct{}), ctx: ctx, cancel: cancel, loopCtx: loopCtx, stopLoop: stopLoop,
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

// do runs task on the shard's goroutine and returns true when it has run. It
// returns false, without running task, if the goroutine has stopped because the
// stream is lost.
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

// isServing reports whether this process serves the stream: the recovery is
// complete and the stream has not been lost since.
func (s *shard) isServing() bool {
	select {
	case <-s.serving:
		return s.ctx.Err() == nil
	default:
		return false
	}
}

// apply applies records to the state and counts invalid records as violations. For
// a program that the records end, it deletes the decisions and notes in ended where
// engine memory must be freed. It must run on the shard's goroutine.
func (s *shard) apply(records []spool.Record, t *telemetry.Telemetry) {
	effects := s.state.Apply(records)
	for _, err := range effects.Invalid {
		t.CountViolation("journalRecordValid", zap.String("stream", string(s.stream)), zap.Error(err))
	}
	for id, endpoint := range effects.Ended {
		if endpoint != "" {
			s.ended[id] = endpoint
		}
		delete(s.decisions, id)
	}
}

// shardSet holds the shards of the streams that this process serves or
// recovers. It implements Applier.
type shardSet struct {
	entry *Entry

	mu       sync.Mutex
	byStream map[spool.Stream]*shard
}

// Reset implements Applier. It replaces the shard of a stream, if there is one,
// with an empty shard and refuses the calls in progress of the old one.
func (s *shardSet) Reset(stream spool.Stream, epoch spool.Epoch) {
	s.StreamLost(stream)
	fresh := newShard(s.entry.ctx, stream, epoch, s.entry.programLimits)
	s.mu.Lock()
	s.byStream[stream] = fresh
	s.mu.Unlock()
}

// Apply implements Applier. It returns when the batch has been applied. It ignores
// a batch of a stream without a shard.
func (s *shardSet) Apply(stream spool.Stream, batch spool.Batch) {
	if shard := s.get(stream); shard != nil {
		shard.do(func() { shard.apply(batch.Records, s.entry.telemetry) })
	}
}

// StreamServing implements Applier. It also starts resolving the stream's in-doubt
// calls.
func (s *shardSet) StreamServing(stream spool.Stream, epoch spool.Epoch) {
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

// StreamLost implements Applier. It removes the shard of a stream and refuses its
// calls in progress.
func (s *shardSet) StreamLost(stream spool.Stream) {
	s.mu.Lock()
	shard := s.byStream[stream]
	delete(s.byStream, stream)
	s.mu.Unlock()
	if shard == nil {
		return
	}
	// Cancel shard.ctx before finishing the calls, so that this process no longer
	// queries agents for the outcomes of calls, which the next owner does now.
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

// Snapshot implements Applier. It returns one record per program tree. Because no
// batch is applied concurrently, it can snapshot the trees one at a time, so that
// calls proceed in between.
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

// get returns the shard of a stream that this process serves or recovers, or nil.
func (s *shardSet) get(stream spool.Stream) *shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byStream[stream]
}

// servingStreams returns the set of streams that this process serves.
func (s *shardSet) servingStreams() map[spool.Stream]bool {
	served := map[spool.Stream]bool{}
	for _, shard := range s.listServing() {
		served[shard.stream] = true
	}
	return served
}

// listServing returns the shards of the streams that this process serves.
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

// notOwner returns the refusal of an operation whose stream this process has lost
// to another entry. Its NotRun is NotRunUnknown, because a call may have been
// dispatched to an endpoint. On this refusal, the entry that the caller is
// connected to repeats the operation at the new owner.
func notOwner(stream spool.Stream) *spool.Refusal {
	return spool.Refuse(spool.CodeNotOwner, "stream %s has moved to another entry", stream).
		WithNotRun(spool.NotRunUnknown).WithRetryAfter(moveRetryAfter)
}

// moveRetryAfter is the RetryAfter of a refusal because a stream has no owner or
// has moved. A new owner usually needs less than this to claim the stream, fence
// the previous owner and recover the programs.
const moveRetryAfter = 500 * clock.Millis(1)
