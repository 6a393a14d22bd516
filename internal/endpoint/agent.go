// Package endpoint implements the agent that runs next to one model engine or
// plain service. Every call that an entry process dispatches to that endpoint
// passes through the agent, which queues the call, limits the number of concurrent
// calls and checks that a non-idempotent call runs at most once. Package gatekeeper
// makes these decisions; this package performs the I/O.
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
	// maxConcurrentRuns is the number of workers in the pool that executes calls and
	// the kernel's requests to the engine. The concurrency limits that gates set stay
	// far below it.
	maxConcurrentRuns = 4096
	// inboxSize is the capacity of the control loop's inbox, in messages. The buffer
	// lets senders post a burst without a goroutine switch per message.
	inboxSize = 256
	// bootIDLength is the number of characters of the UUID that are used as the
	// identifier of one start of the agent, spool.AgentMark.Boot.
	bootIDLength = 13
)

// Errors of an agent.
var (
	// ErrStopped means that the agent has already been stopped.
	ErrStopped = errors.New("agent has stopped")
	// ErrNoEngine is returned by SetOrders for a non-empty list of orders when the
	// endpoint is a plain service.
	ErrNoEngine = errors.New("endpoint has no engine")
)

// Agent admits and runs the calls for one endpoint.
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
	// httpListener is set by Start. It stays nil when Config.HTTPListen is empty.
	httpListener net.Listener
	startedAt    clock.Millis

	ctx    context.Context
	cancel context.CancelFunc
	// background tracks the control loop, the polls, the order loop and the HTTP
	// server.
	background sync.WaitGroup
	// drained is closed during a graceful shutdown when the last call has ended.
	drained chan struct{}

	// controlOffset is the offset up to which this process has applied the control
	// stream, as last passed to SetControlOffset.
	controlOffset atomic.Int64
	// eventsAfter is the sequence number of the last cache event that the kernel
	// has processed. The control loop writes it; the event poll reads it.
	eventsAfter atomic.Uint64
	// status is a copy of the kernel's status for other goroutines than the control
	// loop. It is nil until the kernel has processed the first message or tick.
	status atomic.Pointer[gatekeeper.Status]
	// reachable reports whether the engine answered the last load request. For a
	// plain service, Start sets it to true and it stays true.
	reachable atomic.Bool

	// receivesOrders reports whether the process currently receives new orders of
	// the operators. See WithReceivesOrders.
	receivesOrders func() bool
	ordersMu       sync.Mutex
	orders         *gatekeeper.OrderReconciler
	// ordersChanged wakes the goroutine that runs reconcileOrders.
	ordersChanged chan struct{}
}

// New returns an agent that is not running yet; Start runs it. New fails if the
// configuration is invalid, or unless exactly one of WithEngine and WithService is
// given.
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
	agent.orders = gatekeeper.NewOrderReconciler(xxhash.Sum64String(string(config.Endpoint)))
	agent.kernel = gatekeeper.New(config.Kernel, uuid.NewString()[:bootIDLength], queue, gate, pause)
	return agent, nil
}

// Start starts the agent's goroutines, opens the listeners and begins to admit
// calls. If it fails, it stops the agent.
func (a *Agent) Start() (err error) {
	defer func() { err = errors.Wrap(err, "start endpoint agent") }()
	a.startedAt = a.clock.Now()
	a.pool = pond.NewPool(maxConcurrentRuns)
	a.background.Go(a.runControlLoop)
	if a.engine != nil {
		a.startPolling(a.config.LoadInterval, a.pollLoad)
		a.startPolling(a.config.EventsInterval, a.pollEvents)
		a.startPolling(a.config.ReconcileInterval, a.pollSessions)
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

// Address returns the host:port of the agent's RPC server. It must not be called
// before Start has succeeded.
func (a *Agent) Address() string { return a.server.Address() }

// HTTPAddress returns the host:port of the HTTP server, or "" when the HTTP server
// is off or not started.
func (a *Agent) HTTPAddress() string {
	if a.httpListener == nil {
		return ""
	}
	return a.httpListener.Addr().String()
}

// SetDraining makes the agent refuse new calls if draining is true, and admit them
// again if it is false.
func (a *Agent) SetDraining(draining bool) { a.post(gatekeeper.Drain{On: draining}) }

// SetControlOffset sets the offset up to which this process has applied the control
// stream. The agent reports it in each wire.EndpointStatus.
func (a *Agent) SetControlOffset(offset spool.Offset) { a.controlOffset.Store(int64(offset)) }

// Shutdown refuses new calls, waits until every admitted call has finished and
// its answer has been sent, and then stops the agent. When ctx ends first,
// Shutdown cancels the remaining calls, stops the agent and returns an error. If
// the agent has already been stopped, it returns ErrStopped.
func (a *Agent) Shutdown(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "shut down endpoint agent") }()
	a.post(gatekeeper.Shutdown{})
	select {
	case <-a.drained:
		err = a.server.WaitIdle(ctx)
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
