package entry

import (
	"context"
	"crypto/tls"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
	"github.com/baobabspool/baobabspool/pkg/usage"
)

// Entry is the entry process. It serves the HTTP API for callers, and the wire
// methods for other entries and for operators.
type Entry struct {
	config        Config
	clock         clock.Clock
	telemetry     *telemetry.Telemetry
	log           *zap.Logger
	control       Control
	limits        Limits
	streams       Streams
	clients       *wire.Clients
	httpTLS       *tls.Config
	wireTLS       *tls.Config
	extraHandlers wire.Mux
	programLimits program.Limits
	usage         *usage.Recorder

	ctx                context.Context
	cancel             context.CancelFunc
	shards             *shardSet
	endpoints          *endpointTracker
	policies           *policyCache
	callPool           pond.Pool
	callerPool         pond.Pool
	backgroundPool     pond.Pool
	httpServer         *fasthttp.Server
	httpListener       net.Listener
	wireServer         *wire.Server
	correlationCounter atomic.Uint64
	correlationPrefix  string
	activeCalls        atomic.Int64
	// renewedAt is the time at which the leases on engine memory were last
	// renewed. Only renewLeases accesses it.
	renewedAt   clock.Millis
	resolutions resolutionSet
	// candidateCache caches, per service, the endpoints that this entry routes
	// calls to.
	candidateCache candidateCache
	// started is closed by Start once streams is set.
	started chan struct{}
	ready   atomic.Bool

	mu sync.Mutex
	// activeOperations is the number of operations in progress. While closing is
	// true, beginOperation refuses new operations. drained is closed once closing
	// is true and activeOperations is 0.
	activeOperations int
	closing          bool
	drained          chan struct{}
}

// New returns an entry that does not listen yet. Streams is passed to Start and
// not to New, because its implementation needs the entry's Applier.
func New(config Config, control Control, limits Limits, options ...Option) (e *Entry, err error) {
	defer func() { err = errors.Wrap(err, "build entry") }()
	if err := config.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e = &Entry{
		config: config, clock: clock.System(), control: control, limits: limits, extraHandlers: wire.Mux{},
		ctx: ctx, cancel: cancel, policies: newPolicyCache(config.Seed),
		correlationPrefix: string(config.Node) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36) + "-",
		drained:           make(chan struct{}), started: make(chan struct{}),
		resolutions: resolutionSet{calls: map[resolutionKey]bool{}},
	}
	for _, option := range options {
		option(e)
	}
	if e.telemetry == nil {
		if e.telemetry, err = telemetry.New(config.Node, zap.NewNop()); err != nil {
			return nil, err
		}
	}
	if e.clients == nil {
		e.clients = wire.NewClients(config.Node)
	}
	e.log = e.telemetry.Logger("entry")
	e.usage = usage.NewRecorder(config.Node, e.clock.Now())
	e.endpoints = newEndpointTracker(e.clock)
	e.shards = &shardSet{entry: e, byStream: map[spool.Stream]*shard{}}
	// admit limits the calls in flight to MaxCalls, so MaxCalls workers
	// suffice for the calls.
	e.callPool = pond.NewPool(config.MaxCalls)
	e.callerPool = pond.NewPool(config.MaxConnections)
	e.backgroundPool = pond.NewPool(maxBackgroundTasks)
	return e, nil
}

// maxBackgroundTasks is the maximum number of background requests to agents (load
// reports and lease renewals) that are in progress at once.
const maxBackgroundTasks = 64

// Applier returns the Applier that applies the batches of the streams to this
// entry's shards.
func (e *Entry) Applier() Applier { return e.shards }

// Start opens the wire and HTTP listeners and starts serving requests and running
// the background tasks. It must be called once.
func (e *Entry) Start(streams Streams) (err error) {
	defer func() { err = errors.Wrap(err, "start entry") }()
	e.streams = streams
	close(e.started)
	mux := wire.Mux{
		wire.MethodForward: wire.Handle(e.handleForward),
		MethodExplain:      wire.Handle(e.handleExplain),
		MethodStatus:       wire.Handle(e.handleStatus),
		MethodUsage:        wire.Handle(e.handleUsage),
	}
	for _, handlers := range []wire.Mux{streams.Handlers(), e.extraHandlers} {
		for method, handler := range handlers {
			mux[method] = handler
		}
	}
	if e.wireServer, err = wire.Listen(e.config.WireAddress, mux, e.wireTLS); err != nil {
		return err
	}
	if e.httpListener, err = net.Listen("tcp", e.config.HTTPAddress); err != nil {
		return errors.Wrap(closeAfterError(err, e.wireServer), "listen")
	}
	var listener net.Listener = lingerListener{e.httpListener}
	if e.httpTLS != nil {
		listener = tls.NewListener(listener, e.httpTLS)
	}
	e.httpServer = e.newHTTPServer()
	e.ready.Store(true)
	go func() {
		if err := e.httpServer.Serve(listener); err != nil {
			e.log.Error("HTTP server failed", zap.Error(err))
		}
	}()
	e.startBackground()
	e.log.Info("entry is listening", zap.String("http", e.HTTPAddress()), zap.String("wire", e.WireAddress()))
	return nil
}

// closeAfterError closes server, ignoring the error of Close, and returns err.
func closeAfterError(err error, server *wire.Server) error {
	_ = server.Close()
	return err
}

// HTTPAddress returns the host:port of the callers' API.
func (e *Entry) HTTPAddress() string { return e.httpListener.Addr().String() }

// WireAddress returns the host:port of the wire server for other processes.
func (e *Entry) WireAddress() string { return e.wireServer.Address() }

// Shutdown shuts the entry down gracefully. It makes /readyz report failure, waits
// for LameDuckFor, stops accepting connections, waits for the operations in
// progress, hands the streams over to other entries and closes the servers. If ctx
// ends during a wait, Shutdown goes on with the next step and finally cancels the
// operations still in progress.
func (e *Entry) Shutdown(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "shut entry down") }()
	e.ready.Store(false)
	clock.Pause(ctx, e.config.LameDuckFor)
	err = e.httpServer.ShutdownWithContext(ctx)
	e.mu.Lock()
	e.closing = true
	if e.activeOperations == 0 {
		closeOnce(e.drained)
	}
	e.mu.Unlock()
	select {
	case <-e.drained:
	case <-ctx.Done():
	}
	if leaveErr := e.streams.ReleaseAll(ctx); err == nil {
		err = leaveErr
	}
	e.cancel()
	if closeErr := e.wireServer.Close(); err == nil {
		err = closeErr
	}
	e.clients.Close()
	return err
}

// beginOperation adds an operation to activeOperations and returns true, or
// returns false if the entry is shutting down. If it returns true, endOperation
// must be called when the operation ends.
func (e *Entry) beginOperation() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closing {
		return false
	}
	e.activeOperations++
	return true
}

// endOperation removes an operation from activeOperations. It must be called once
// for each beginOperation that returned true.
func (e *Entry) endOperation() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeOperations--
	if e.closing && e.activeOperations == 0 {
		closeOnce(e.drained)
	}
}

// closeOnce closes a channel unless it is closed already. It is not safe for
// concurrent use: the callers must hold the same lock.
func closeOnce(signal chan struct{}) {
	select {
	case <-signal:
	default:
		close(signal)
	}
}

// newCorrelation returns an identifier that is unique over all processes. It
// consists of the node name, the start time of the process and a counter.
func (e *Entry) newCorrelation() string {
	return e.correlationPrefix + strconv.FormatUint(e.correlationCounter.Add(1), 36)
}

// contextWhileKeyValid returns a context that is cancelled when ctx ends, or when
// the channel of Control.Withdrawn is closed: the key has been withdrawn or has
// expired, or the entry is isolated. In the latter cases context.Cause returns a
// *spool.Refusal. The returned function releases the resources of the context.
func (e *Entry) contextWhileKeyValid(ctx context.Context, keyID string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	withdrawn := e.control.Withdrawn(keyID)
	stop := make(chan struct{})
	var once sync.Once
	go func() {
		select {
		case <-withdrawn:
			cancel(e.keyWithdrawnRefusal())
		case <-stop:
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		once.Do(func() { close(stop) })
		cancel(nil)
	}
}

// keyWithdrawnRefusal returns the refusal of a request that is cancelled in
// progress because its key has become invalid, or because the entry is isolated
// and cannot learn whether the key is still valid.
func (e *Entry) keyWithdrawnRefusal() *spool.Refusal {
	refusal := spool.Refuse(spool.CodeKeyWithdrawn, "key has been withdrawn")
	if e.control.Isolated() {
		refusal = spool.Refuse(spool.CodeIsolated, "entry has lost touch and cannot tell whether the key is still valid")
	}
	return refusal.WithNotRun(spool.NotRunUnknown)
}

// hasService reports whether a service of the given kind exists.
func (e *Entry) hasService(name spool.ServiceName, kind ServiceKind) bool {
	for _, service := range e.control.Services() {
		if service.Name == name && service.Kind == kind {
			return true
		}
	}
	return false
}

// serviceOfModel returns the first model service, in the order of their names,
// that can run a model, or false if there is none.
func (e *Entry) serviceOfModel(model spool.ModelName) (spool.ServiceName, bool) {
	for _, service := range e.control.Services() {
		for _, name := range service.Models {
			if name == model && service.Kind == ServiceModel {
				return service.Name, true
			}
		}
	}
	return "", false
}
