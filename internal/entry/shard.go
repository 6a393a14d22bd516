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
	ctx    context.Context
	cancel context.CancelFunc
	alive  context.Context
	stop   context.CancelFunc

	// attempts numbers the dispatches of this epoch.
	attempts atomic.Uint64

	mailbox chan func()
	state   *program.State
	// flights maps a ticket to its call.
	flights map[uint64]*flight
	// ended maps programs that have ended to the endpoint that may still hold
	// their memory; cleared when the endpoint has been told.
	ended map[spool.ProgramID]spool.EndpointID
	rings map[spool.ProgramID]*ring
}

func newShard(parent context.Context, stream spool.Stream, epoch spool.Epoch, limits program.Limits) *shard {
	alive, stop := context.WithCancel(parent)
	ctx, cancel := context.WithCancel(alive)
	s := &shard{
		stream: stream, epoch: epoch, serving: make(chan struct{}), ctx: ctx, cancel: cancel, alive: alive, stop: stop,
		mailbox: make(chan func()), state: program.NewState(limits),
		flights: map[uint64]*flight{}, ended: map[spool.ProgramID]spool.EndpointID{}, rings: map[spool.ProgramID]*ring{},
	}
	go func() {
		for {
			select {
			case message := <-s.mailbox:
				message()
			case <-s.alive.Done():
				return
			}
		}
	}()
	return s
}

// do runs message on the shard's goroutine and returns when it has run, or
// false when the stream has been lost.
func (s *shard) do(message func()) bool {
	done := make(chan struct{})
	select {
	case s.mailbox <- func() { defer close(done); message() }:
		<-done
		return true
	case <-s.alive.Done():
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
		delete(s.rings, id)
	}
}

// shards holds the streams that this process owns or recovers. It is the
// Applier.
type shards struct {
	entry *Entry

	mu   sync.Mutex
	open map[spool.Stream]*shard
}

// Reset starts the recovery of a stream from nothing.
func (s *shards) Reset(stream spool.Stream, epoch spool.Epoch) {
	s.Lost(stream)
	fresh := newShard(s.entry.ctx, stream, epoch, s.entry.programLimits)
	s.mu.Lock()
	s.open[stream] = fresh
	s.mu.Unlock()
}

// Apply folds one batch.
func (s *shards) Apply(stream spool.Stream, batch spool.Batch) {
	if shard := s.get(stream); shard != nil {
		shard.do(func() { shard.apply(batch.Records, s.entry.telemetry) })
	}
}

// Serving ends the recovery.
func (s *shards) Serving(stream spool.Stream, epoch spool.Epoch) {
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
	s.entry.resolveAll(shard)
}

// Lost drops the state of a stream and ends its calls.
func (s *shards) Lost(stream spool.Stream) {
	s.mu.Lock()
	shard := s.open[stream]
	delete(s.open, stream)
	s.mu.Unlock()
	if shard == nil {
		return
	}
	// Work of this owner ends before its calls do, so that it asks no agent
	// about a call that now belongs to the next owner.
	shard.cancel()
	shard.do(func() {
		for _, flight := range shard.flights {
			flight.finish(program.Answer{}, notOwner(stream))
			flight.cancel()
		}
		shard.flights = map[uint64]*flight{}
	})
	shard.stop()
}

// Snapshot returns records that replace all batches applied so far. No batch is
// applied meanwhile, so the trees may be taken one by one; calls go on between.
func (s *shards) Snapshot(stream spool.Stream) (records []spool.Record) {
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

func (s *shards) get(stream spool.Stream) *shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open[stream]
}

// served names the streams that are being served.
func (s *shards) served() map[spool.Stream]bool {
	served := map[spool.Stream]bool{}
	for _, shard := range s.list() {
		served[shard.stream] = true
	}
	return served
}

// list returns the streams that are being served.
func (s *shards) list() (served []*shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, shard := range s.open {
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
