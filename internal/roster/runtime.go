// Package roster runs the state machine of pkg/roster, which relays the VM list, in an
// entry or an agent. One goroutine reads the list from the platform or pulls it from a
// parent entry. Entries also answer the pull requests of other processes, their
// children.
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
	// readTimeout is the timeout of one read of the platform's list.
	readTimeout = 2 * clock.Second
	// replyGrace is added to the duration of a long poll to get the timeout of a pull.
	// It is short, because the children of a parent that hangs get no updates until their
	// pulls time out.
	replyGrace clock.Millis = 500
	// maxWait bounds the duration of a long poll. A child that requests a longer one gets
	// its reply after maxWait.
	maxWait = 10 * clock.Second
)

// Option configures a Runtime.
type Option func(*Runtime)

// WithClock sets the clock. The default is the system clock.
func WithClock(c clock.Clock) Option { return func(r *Runtime) { r.clock = c } }

// WithTelemetry sets the telemetry that receives events, the age of the list and log
// lines. Without it, none of these are reported.
func WithTelemetry(t *telemetry.Telemetry) Option { return func(r *Runtime) { r.telemetry = t } }

// WithOnChange sets a function that is called, by the goroutine of the relay, after
// every change of the rows. The relay waits for the function to return.
func WithOnChange(onChange func()) Option { return func(r *Runtime) { r.onChange = onChange } }

// Runtime keeps a copy of the VM list up to date in this process. It is safe for
// concurrent use.
type Runtime struct {
	list      spool.VMList
	clients   *wire.Clients
	clock     clock.Clock
	telemetry *telemetry.Telemetry
	logger    *zap.Logger
	onChange  func()

	mu   sync.Mutex
	node *roster.Node
	// changed is closed and replaced at each change of the rows, which wakes up the long
	// polls of the children.
	changed chan struct{}
	// current is the latest version of the list. Other goroutines read it without mu. It
	// is empty, but never nil, while there is no list.
	current atomic.Pointer[snapshot]

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

// snapshot is one version of the list. Its slices are never modified. own is the zero
// value when this process is not listed; readAt is 0 while there is no list.
type snapshot struct {
	rows, entries []spool.VM
	own           spool.VM
	readAt        clock.Millis
}

// New starts the relay. list provides the platform's list, and clients provides the
// connections to other processes. The caller must call Close to stop the relay. New
// fails only when the metric of the list's age cannot be registered.
func New(config roster.Config, list spool.VMList, clients *wire.Clients, options ...Option) (r *Runtime, err error) {
	defer func() { err = errors.Wrap(err, "start the VM list relay") }()
	r = &Runtime{
		list: list, clients: clients, clock: clock.System(), logger: zap.NewNop(), onChange: func() {},
		changed: make(chan struct{}), done: make(chan struct{}),
	}
	for _, option := range options {
		option(r)
	}
	if r.telemetry != nil {
		r.logger = r.telemetry.Logger("roster")
		if err := r.telemetry.RegisterGauge("baobabspool_roster_age_ms", r.listAge); err != nil {
			return nil, err
		}
	}
	// The wall clock is part of the seed, so that the jitter differs after each start of
	// the process.
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

// Close stops the relay and waits for its goroutine. The latest list remains
// available.
func (r *Runtime) Close() {
	r.cancel()
	<-r.done
}

// Latest returns the rows of the list, sorted by ID, and the earliest time, on this
// process's clock, at which the platform can have been asked for them. The time is 0
// while there is no list. In an agent the rows are only those of the entries. The
// caller must not modify the rows.
func (r *Runtime) Latest() (rows []spool.VM, readAt clock.Millis) {
	latest := r.current.Load()
	return latest.rows, latest.readAt
}

// Entries returns the rows of the entries, sorted by ID; nil while there is no list.
// The caller must not modify them.
func (r *Runtime) Entries() []spool.VM { return r.current.Load().entries }

// IsLeaving reports whether the list gives the state of this process's VM as leaving,
// which means that the platform is about to remove the VM.
func (r *Runtime) IsLeaving() bool { return r.current.Load().own.State == spool.VMLeaving }

// listAge returns the age of the list in milliseconds for the metrics. It is negative
// while there is no list.
func (r *Runtime) listAge() int64 {
	_, readAt := r.Latest()
	if readAt == 0 {
		return -1
	}
	return int64(r.clock.Now() - readAt)
}

func (r *Runtime) countEvent(name string) {
	if r.telemetry != nil {
		r.telemetry.CountEvent(name)
	}
}

// runStep runs the next action of the node and passes the result to the node. It
// returns early when the relay is closed.
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
		r.logger.Debug("VM list could not be read from the platform", zap.Error(err))
		r.mu.Lock()
		defer r.mu.Unlock()
		r.node.ReadFailed(r.clock.Now())
		return
	}
	r.apply(func(now clock.Millis) (bool, error) { return r.node.ApplyList(sent, now, vms) })
}

func (r *Runtime) pull(step roster.Pull) {
	ctx, cancel := context.WithTimeout(r.ctx, (step.Request.MaxWait + replyGrace).Duration())
	defer cancel()
	sent := r.clock.Now()
	var reply roster.PullReply
	err := r.clients.Call(ctx, step.Parent.Address, wire.MethodRosterPull, step.Request, &reply, nil)
	if r.ctx.Err() != nil {
		return
	}
	if err != nil {
		r.countEvent("roster.pullFailed")
		r.logger.Debug("VM list could not be pulled from the parent", zap.String("parent", string(step.Parent.ID)), zap.Error(err))
		r.mu.Lock()
		defer r.mu.Unlock()
		r.node.PullFailed(r.clock.Now(), step.Parent)
		return
	}
	r.apply(func(now clock.Millis) (bool, error) { return r.node.ApplyReply(sent, now, step.Parent, reply) })
}

// apply runs update, which applies an answer to the node, with mu locked. If update
// succeeds, apply stores the new list in current, even if the rows are unchanged,
// because the read time may have changed. If update fails, apply reports the error and
// keeps the list.
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
	case errors.Is(err, roster.ErrOutdated):
		r.countEvent("roster.older")
	case err != nil:
		r.countEvent("roster.badReply")
		r.logger.Debug("VM list reply was rejected", zap.Error(err))
	case changed:
		r.onChange()
	}
}

// Handlers returns the handler of wire.MethodRosterPull, which answers the pull
// requests of children.
func (r *Runtime) Handlers() wire.Mux {
	return wire.Mux{wire.MethodRosterPull: wire.Handle(r.serve)}
}

func (r *Runtime) serve(ctx context.Context, request roster.PullRequest, _ wire.Send) (any, error) {
	if request.MaxWait < 0 {
		return nil, spool.Refuse(spool.CodeBadRequest, "wait must not be negative")
	}
	arrived := r.clock.Now()
	return wire.LongPoll(ctx, r.ctx, min(request.MaxWait, maxWait), func() (reply roster.PullReply, ready bool, changed <-chan struct{}, err error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		now := r.clock.Now()
		reply, ready, err = r.node.Answer(now, request)
		reply.HoldTime = now - arrived
		return reply, ready, r.changed, err
	})
}
