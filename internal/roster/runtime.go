// Package roster runs the relay of the VM list in an entry or an agent: one
// goroutine reads the platform's list or pulls from a parent, and entries answer
// their children.
package roster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/roster"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// readTimeout bounds one read of the platform's list.
	readTimeout = 2 * clock.Second
	// replyGrace is the time beyond the long poll within which a parent must have
	// answered. It is short, since children of a parent that hangs learn nothing.
	replyGrace clock.Millis = 500
	// maxWait bounds the long poll that a child may ask for.
	maxWait = 10 * clock.Second
)

// Option gives a part that the runtime works with.
type Option func(*Runtime)

// WithClock replaces the system clock.
func WithClock(c clock.Clock) Option { return func(r *Runtime) { r.clock = c } }

// WithTelemetry gives the counters and the logger.
func WithTelemetry(t *telemetry.Telemetry) Option { return func(r *Runtime) { r.telemetry = t } }

// WithObserver gives a function that is called after every change of the rows.
func WithObserver(onChange func()) Option { return func(r *Runtime) { r.onChange = onChange } }

// Runtime keeps the latest VM list that could be had. It is safe for concurrent
// use.
type Runtime struct {
	list      spool.VMList
	clients   *wire.Clients
	clock     clock.Clock
	telemetry *telemetry.Telemetry
	logger    *zap.Logger
	onChange  func()

	mu   sync.Mutex
	node *roster.Node
	// changed is closed with the next change of the rows.
	changed chan struct{}
	// latest is what readers on other goroutines see.
	current atomic.Pointer[snapshot]

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

// view is one list. Its slices are never changed.
type snapshot struct {
	rows, entries []spool.VM
	own           spool.VM
	readAt        clock.Millis
}

// New starts the relay with the platform's list and the connections to other
// processes.
func New(config roster.Config, list spool.VMList, clients *wire.Clients, options ...Option) (r *Runtime, err error) {
	defer func() { err = errors.Wrap(err, "start relay of the VM list") }()
	r = &Runtime{
		list: list, clients: clients, clock: clock.System(), logger: zap.NewNop(), onChange: func() {},
		changed: make(chan struct{}), done: make(chan struct{}),
	}
	for _, option := range options {
		option(r)
	}
	if r.telemetry != nil {
		r.logger = r.telemetry.Logger("roster")
		if err := r.telemetry.Gauge("baobabspool_roster_age_ms", r.listAge); err != nil {
			return nil, err
		}
	}
	// The wall clock makes the jitter of a process differ from that of an earlier
	// start.
	seed := xxhash.Sum64String(string(config.Node)) ^ uint64(time.Now().UnixNano())
	r.node = roster.New(config, r.clock.Now(), seed)
	r.current.Store(&snapshot{})
	r.ctx, r.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(r.done)
		for r.ctx.Err() == nil {
			r.runStep()
		}
	}()
	return r, nil
}

// Close stops the relay and waits for its goroutine. The list stays available.
func (r *Runtime) Close() {
	r.cancel()
	<-r.done
}

// Latest returns the rows in order of their ID and the instant, on this
// process's clock, at which the platform was asked for them at the earliest; 0
// before there is a list. The rows must not be changed. At an agent they are
// those of the entries.
func (r *Runtime) Latest() (rows []spool.VM, readAt clock.Millis) {
	latest := r.current.Load()
	return latest.rows, latest.readAt
}

// Entries returns the rows of the entries, which must not be changed.
func (r *Runtime) Entries() []spool.VM { return r.current.Load().entries }

// Leaving reports whether the platform is about to take this process's VM away.
func (r *Runtime) Leaving() bool { return r.current.Load().own.State == spool.VMLeaving }

// age returns the age of the list for the metrics, negative without a list.
func (r *Runtime) listAge() int64 {
	_, readAt := r.Latest()
	if readAt == 0 {
		return -1
	}
	return int64(r.clock.Now() - readAt)
}

func (r *Runtime) countEvent(name string) {
	if r.telemetry != nil {
		r.telemetry.Event(name)
	}
}

// step does what the node decides next.
func (r *Runtime) runStep() {
	r.mu.Lock()
	next := r.node.Next(r.clock.Now())
	r.mu.Unlock()
	switch next := next.(type) {
	case roster.Wait:
		timer := time.NewTimer((next.Until - r.clock.Now()).Duration())
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.ctx.Done():
		}
	case roster.Read:
		r.read(next)
	case roster.Pull:
		r.pull(next)
	}
}

func (r *Runtime) read(step roster.Read) {
	if step.Fallback {
		r.countEvent("roster.fallbackRead")
	}
	ctx, cancel := context.WithTimeout(r.ctx, readTimeout.Duration())
	defer cancel()
	sent := r.clock.Now()
	vms, err := r.list.VMs(ctx)
	if r.ctx.Err() != nil {
		return
	}
	if err != nil {
		r.countEvent("roster.readFailed")
		r.logger.Debug("list of VMs cannot be read", zap.Error(err))
		r.mu.Lock()
		defer r.mu.Unlock()
		r.node.ReadFailed(r.clock.Now())
		return
	}
	r.apply(func(now clock.Millis) (bool, error) { return r.node.TakeList(sent, now, vms) })
}

func (r *Runtime) pull(step roster.Pull) {
	ctx, cancel := context.WithTimeout(r.ctx, (step.Request.Wait + replyGrace).Duration())
	defer cancel()
	sent := r.clock.Now()
	var reply roster.PullReply
	err := r.clients.Call(ctx, step.Parent.Address, wire.MethodRosterPull, step.Request, &reply, nil)
	if r.ctx.Err() != nil {
		return
	}
	if err != nil {
		r.countEvent("roster.pullFailed")
		r.logger.Debug("parent does not answer", zap.String("parent", string(step.Parent.ID)), zap.Error(err))
		r.mu.Lock()
		defer r.mu.Unlock()
		r.node.PullFailed(r.clock.Now(), step.Parent)
		return
	}
	r.apply(func(now clock.Millis) (bool, error) { return r.node.TakeReply(sent, now, step.Parent, reply) })
}

// take lets the node take an answer in, and publishes the list.
func (r *Runtime) apply(update func(now clock.Millis) (changed bool, err error)) {
	r.mu.Lock()
	changed, err := update(r.clock.Now())
	if err == nil {
		own, _ := r.node.Own()
		r.current.Store(&snapshot{rows: r.node.Rows(), entries: r.node.Entries(), own: own, readAt: r.node.ReadAt()})
	}
	if changed {
		close(r.changed)
		r.changed = make(chan struct{})
	}
	r.mu.Unlock()
	switch {
	case errors.Is(err, roster.ErrOlder):
		r.countEvent("roster.older")
	case err != nil:
		r.countEvent("roster.badReply")
		r.logger.Debug("answer was not taken in", zap.Error(err))
	case changed:
		r.onChange()
	}
}

// Handlers returns the methods that an entry answers.
func (r *Runtime) Handlers() wire.Mux {
	return wire.Mux{wire.MethodRosterPull: wire.Handle(r.serve)}
}

func (r *Runtime) serve(ctx context.Context, request roster.PullRequest, _ wire.Send) (any, error) {
	if request.Wait < 0 {
		return nil, spool.Refuse(spool.CodeBadRequest, "wait must not be negative")
	}
	arrived := r.clock.Now()
	return wire.LongPoll(ctx, r.ctx, min(request.Wait, maxWait), func() (reply roster.PullReply, ready bool, changed <-chan struct{}, err error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		now := r.clock.Now()
		reply, ready, err = r.node.Answer(now, request)
		reply.Held = now - arrived
		return reply, ready, r.changed, err
	})
}
