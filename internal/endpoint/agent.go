// Package endpoint is the agent beside one model engine or plain service. It is
// the last gate before it: every call of every entry passes its queue, its
// concurrency window and its at-most-once check. The decisions are made by
// package gatekeeper; this package carries them out.
package endpoint

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"

	"github.com/alitto/pond/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/multierr"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/gatekeeper"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// maxRuns bounds the pool that carries out calls. Gates open much less far.
	maxConcurrentRuns = 4096
	// inboxSize lets bursts of messages pass without a switch of goroutines.
	inboxSize = 256
	// bootLength is the number of characters of a boot identifier.
	bootIDLength = 13
)

// Errors of an agent.
var (
	// ErrStopped means that the agent has been shut down.
	ErrStopped = errors.New("agent has stopped")
	// ErrNoEngine means that an order came for an endpoint that is no engine.
	ErrNoEngine = errors.New("endpoint has no engine")
)

// Agent is the process beside one endpoint.
type Agent struct {
	config    Config
	engine    spool.Engine
	service   spool.Service
	clock     clock.Clock
	telemetry *telemetry.Telemetry
	log       *zap.Logger
	tlsConfig *tls.Config

	kernel     *gatekeeper.Kernel
	inbox      chan any
	pool       pond.Pool
	server     *wire.Server
	httpServer *fasthttp.Server
	// httpListener is set by Start when HTTPListen is.
	httpListener net.Listener
	startedAt    clock.Millis

	ctx    context.Context
	cancel context.CancelFunc
	// goroutines waits for the control loop and the polls.
	background sync.WaitGroup
	// idle is closed when the agent is leaving and its last call has ended.
	drained chan struct{}

	// controlOffset is the offset of the control stream that is in force.
	controlOffset atomic.Int64
	// eventsAfter mirrors the kernel's last cache event for the poll.
	eventsAfter atomic.Uint64
	// status mirrors the kernel's status for metrics and /readyz.
	status atomic.Pointer[gatekeeper.Status]
	// reachable tells whether the engine answered the last question.
	reachable atomic.Bool

	// inTouch tells whether the process can learn of later orders.
	receivesOrders func() bool
	ordersMu       sync.Mutex
	orders         *gatekeeper.Orders
	// ordered wakes the goroutine that carries out orders.
	ordersChanged chan struct{}
}

// New returns an agent that has not been started.
func New(config Config, options ...Option) (agent *Agent, err error) {
	defer func() { err = errors.Wrap(err, "new endpoint agent") }()
	agent = &Agent{
		config: config, clock: clock.System(), inbox: make(chan any, inboxSize), drained: make(chan struct{}), ordersChanged: make(chan struct{}, 1), receivesOrders: func() bool { return true },
	}
	agent.ctx, agent.cancel = context.WithCancel(context.Background())
	for _, option := range options {
		option(agent)
	}
	err = config.Validate()
	if (agent.engine == nil) == (agent.service == nil) {
		err = multierr.Append(err, errors.New("exactly one of engine and service must be set"))
	}
	queue, queueErr := spool.Queues.New(config.Queue, config.Seed, config.QueueOptions)
	pause, pauseErr := spool.Pauses.New(config.Pause, config.Seed, config.PauseOptions)
	gate, gateErr := spool.Gates.New(config.Gate, config.Seed, config.GateOptions)
	err = multierr.Append(err, errors.WithMessage(queueErr, "queue"))
	err = multierr.Append(err, errors.WithMessage(gateErr, "gate"))
	err = multierr.Append(err, errors.WithMessage(pauseErr, "pause"))
	if err != nil {
		return nil, err
	}
	if agent.telemetry == nil {
		if agent.telemetry, err = telemetry.New(spool.NodeID(config.Endpoint), zap.NewNop()); err != nil {
			return nil, err
		}
	}
	agent.log = agent.telemetry.Logger("endpoint")
	agent.orders = gatekeeper.NewOrders(xxhash.Sum64String(string(config.Endpoint)))
	agent.kernel = gatekeeper.New(config.Kernel, uuid.NewString()[:bootIDLength], queue, gate, pause)
	return agent, nil
}

// Start listens and begins to admit calls.
func (a *Agent) Start() (err error) {
	defer func() { err = errors.Wrap(err, "start endpoint agent") }()
	a.startedAt = a.clock.Now()
	a.pool = pond.NewPool(maxConcurrentRuns)
	a.background.Go(a.runControlLoop)
	if a.engine != nil {
		a.startPolling(a.config.LoadEvery, a.pollLoad)
		a.startPolling(a.config.EventsEvery, a.pollEvents)
		a.startPolling(a.config.ReconcileEvery, a.pollSessions)
		a.background.Go(a.reconcileOrders)
	}
	a.reachable.Store(a.service != nil)
	defer func() {
		if err != nil {
			a.stop()
		}
	}()
	if err = a.registerGauges(); err != nil {
		return err
	}
	if err = a.serveHTTP(); err != nil {
		return err
	}
	a.server, err = wire.Listen(a.config.Listen, a.methods(), a.tlsConfig)
	if err != nil {
		return err
	}
	a.log.Info("agent started", zap.String("address", a.server.Address()))
	return nil
}

// Address returns the host:port for messages between our processes.
func (a *Agent) Address() string { return a.server.Address() }

// HTTPAddress returns the host:port of /metrics, or "" when it is off.
func (a *Agent) HTTPAddress() string {
	if a.httpListener == nil {
		return ""
	}
	return a.httpListener.Addr().String()
}

// SetDraining starts or ends the refusal of new calls.
func (a *Agent) SetDraining(draining bool) { a.post(gatekeeper.Drain{On: draining}) }

// SetControlOffset notes the offset of the control stream that is in force, for
// reports to entries.
func (a *Agent) SetControlOffset(offset spool.Offset) { a.controlOffset.Store(int64(offset)) }

// Shutdown refuses new calls, lets every admitted call finish and its answer be
// sent, and stops. When ctx ends first, the remaining calls are cut and an
// error is returned.
func (a *Agent) Shutdown(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "shut down endpoint agent") }()
	a.post(gatekeeper.Leave{})
	select {
	case <-a.drained:
		err = a.server.Quiet(ctx)
	case <-a.ctx.Done():
		return ErrStopped
	case <-ctx.Done():
		err = ctx.Err()
	}
	a.stop()
	return err
}

func (a *Agent) stop() {
	a.cancel()
	if a.server != nil {
		_ = a.server.Close()
	}
	a.stopHTTP()
	a.background.Wait()
	a.pool.StopAndWait()
}
