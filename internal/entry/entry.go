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

// Entry is one entry process. It serves the callers' HTTP API and the wire
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
	// renewedAt is when the leases were last renewed. Only the background task
	// that renews them accesses it.
	renewedAt   clock.Millis
	resolutions resolutionSet
	// candidateCache caches the endpoints that calls are routed to.
	candidateCache candidateCache
	// started is closed by Start once streams is set.
	started chan struct{}
	ready   atomic.Bool

	mu sync.Mutex
	// activeOperations counts the operations in progress. closing refuses new
	// ones. drained is closed once closing is set and activeOperations is 0.
	activeOperations int
	closing          bool
	drained          chan struct{}
}

// New returns an entry that does not listen yet. The streams are passed to Start,
// because they need the entry's Applier.
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
	// Calls that wait for earlier calls of their program occupy no worker, so
	// MaxCalls workers suffice for the calls.
	e.callPool = pond.NewPool(config.MaxCalls)
	e.callerPool = pond.NewPool(config.MaxConnections)
	e.backgroundPool = pond.NewPool(maxBackgroundTasks)
	return e, nil
}

// maxBackgroundTasks is the maximum number of concurrent lease renewals and load
// report requests.
const maxBackgroundTasks = 64

// Applier returns the receiver of the batches of the owned streams.
func (e *Entry) Applier() Applier { return e.shards }

// Start starts listening, serving requests and running the background tasks.
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

// closeAfterError closes server and returns err.
func closeAfterError(err error, server *wire.Server) error {
	_ = server.Close()
	return err
}

// HTTPAddress returns the host:port of the callers' API.
func (e *Entry) HTTPAddress() string { return e.httpListener.Addr().String() }

// WireAddress returns the host:port of the wire server for other processes.
func (e *Entry) WireAddress() string { return e.wireServer.Address() }

// Shutdown shuts the entry down gracefully. It makes /readyz report failure,
// stops accepting connections, waits for the operations in progress, hands the
// streams over and closes the servers. When ctx ends first, operations still in
// progress are cancelled.
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

// beginOperation counts an operation as active. It returns false if the entry is
// closing.
func (e *Entry) beginOperation() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closing {
		return false
	}
	e.activeOperations++
	return true
}

// endOperation ends an operation that beginOperation has counted.
func (e *Entry) endOperation() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeOperations--
	if e.closing && e.activeOperations == 0 {
		closeOnce(e.drained)
	}
}

// closeOnce closes a channel unless it is closed. The caller must hold a lock
// that serializes the calls.
func closeOnce(signal chan struct{}) {
	select {
	case <-signal:
	default:
		close(signal)
	}
}

// newCorrelation returns an identifier that is unique over all processes.
func (e *Entry) newCorrelation() string {
	return e.correlationPrefix + strconv.FormatUint(e.correlationCounter.Add(1), 36)
}

// contextWhileKeyValid returns a context that is cancelled when the key is
// withdrawn. Its cause is then a *spool.Refusal.
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

// keyWithdrawnRefusal returns the refusal of a request whose key became invalid
// while it was in progress.
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

// serviceOfModel returns the first model service that can run a model.
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
