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

// Entry is the process that callers talk to.
type Entry struct {
	config        Config
	clock         clock.Clock
	telemetry     *telemetry.Telemetry
	log           *zap.Logger
	control       Control
	limits        Limits
	streams       Streams
	clients       *wire.Clients
	frontTLS      *tls.Config
	wireTLS       *tls.Config
	extra         wire.Mux
	programLimits program.Limits
	usage         *usage.Recorder

	ctx        context.Context
	cancel     context.CancelFunc
	shards     *shards
	fleet      *fleet
	policies   *policies
	traffic    pond.Pool
	callers    pond.Pool
	background pond.Pool
	front      *fasthttp.Server
	listener   net.Listener
	server     *wire.Server
	next       atomic.Uint64
	prefix     string
	calls      atomic.Int64
	// renewedAt is when all leases were renewed; the background loop owns it.
	renewedAt clock.Millis
	resolving resolving
	// candidates are the endpoints that calls are routed to.
	candidates candidateCache
	// started is closed once streams is set.
	started chan struct{}
	ready   atomic.Bool

	mu sync.Mutex
	// inside counts the operations under way; closing refuses further ones
	// from other entries. quiet is closed when closing is set and inside is 0.
	inside  int
	closing bool
	quiet   chan struct{}
}

// New returns an entry that does not listen yet. The streams are given to
// Start, since they need the entry's Applier.
func New(config Config, control Control, limits Limits, options ...Option) (e *Entry, err error) {
	defer func() { err = errors.Wrap(err, "build entry") }()
	if err := config.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e = &Entry{
		config: config, clock: clock.System(), control: control, limits: limits, extra: wire.Mux{},
		ctx: ctx, cancel: cancel, policies: newPolicies(config.Seed),
		prefix: string(config.Node) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36) + "-",
		quiet:  make(chan struct{}), started: make(chan struct{}),
		resolving: resolving{calls: map[resolvingKey]bool{}},
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
	e.fleet = newFleet(e.clock)
	e.shards = &shards{entry: e, open: map[spool.Stream]*shard{}}
	// Calls that wait for their turn hold no worker, so the pool never has more
	// tasks than MaxCalls.
	e.traffic = pond.NewPool(config.MaxCalls)
	e.callers = pond.NewPool(config.MaxConnections)
	e.background = pond.NewPool(backgroundTasks)
	return e, nil
}

// backgroundTasks bounds the leases and load reports under way.
const backgroundTasks = 64

// Applier returns the receiver of the streams' batches.
func (e *Entry) Applier() Applier { return e.shards }

// Start listens and serves.
func (e *Entry) Start(streams Streams) (err error) {
	defer func() { err = errors.Wrap(err, "start entry") }()
	e.streams = streams
	close(e.started)
	mux := wire.Mux{
		wire.MethodForward: wire.Handle(e.forwarded),
		MethodExplain:      wire.Handle(e.explain),
		MethodStatus:       wire.Handle(e.status),
		MethodUsage:        wire.Handle(e.sampleUsage),
	}
	for _, handlers := range []wire.Mux{streams.Handlers(), e.extra} {
		for method, handler := range handlers {
			mux[method] = handler
		}
	}
	if e.server, err = wire.Listen(e.config.WireAddress, mux, e.wireTLS); err != nil {
		return err
	}
	if e.listener, err = net.Listen("tcp", e.config.HTTPAddress); err != nil {
		return errors.Wrap(multierrClose(err, e.server), "listen")
	}
	var listener net.Listener = lingerListener{e.listener}
	if e.frontTLS != nil {
		listener = tls.NewListener(listener, e.frontTLS)
	}
	e.front = e.newFront()
	e.ready.Store(true)
	go func() {
		if err := e.front.Serve(listener); err != nil {
			e.log.Error("HTTP server failed", zap.Error(err))
		}
	}()
	e.startBackground()
	e.log.Info("entry listens", zap.String("http", e.HTTPAddress()), zap.String("wire", e.WireAddress()))
	return nil
}

func multierrClose(err error, server *wire.Server) error {
	_ = server.Close()
	return err
}

// HTTPAddress is the host:port of the callers' API.
func (e *Entry) HTTPAddress() string { return e.listener.Addr().String() }

// WireAddress is the host:port for other processes.
func (e *Entry) WireAddress() string { return e.server.Address() }

// Shutdown ends the process without cutting a request: it turns readyz false,
// stops accepting, waits for the requests under way, hands the streams over and
// closes. When ctx ends first the rest is cut.
func (e *Entry) Shutdown(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "shut entry down") }()
	e.ready.Store(false)
	clock.Pause(ctx, e.config.LameDuckFor)
	err = e.front.ShutdownWithContext(ctx)
	e.mu.Lock()
	e.closing = true
	if e.inside == 0 {
		closeOnce(e.quiet)
	}
	e.mu.Unlock()
	select {
	case <-e.quiet:
	case <-ctx.Done():
	}
	if left := e.streams.Leave(ctx); err == nil {
		err = left
	}
	e.cancel()
	if closed := e.server.Close(); err == nil {
		err = closed
	}
	e.clients.Close()
	return err
}

// enter counts an operation, or returns false when the process is closing.
func (e *Entry) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closing {
		return false
	}
	e.inside++
	return true
}

func (e *Entry) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inside--
	if e.closing && e.inside == 0 {
		closeOnce(e.quiet)
	}
}

func closeOnce(signal chan struct{}) {
	select {
	case <-signal:
	default:
		close(signal)
	}
}

// correlation returns an identifier that no other process uses.
func (e *Entry) correlation() string { return e.prefix + strconv.FormatUint(e.next.Add(1), 36) }

// whileKeyIsValid returns a context that ends when the key is withdrawn.
func (e *Entry) whileKeyIsValid(ctx context.Context, keyID string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	withdrawn := e.control.Withdrawn(keyID)
	stop := make(chan struct{})
	var once sync.Once
	go func() {
		select {
		case <-withdrawn:
			cancel(e.keyLost())
		case <-stop:
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		once.Do(func() { close(stop) })
		cancel(nil)
	}
}

// keyLost says why a request under way is ended.
func (e *Entry) keyLost() *spool.Refusal {
	refusal := spool.Refuse(spool.CodeKeyWithdrawn, "key has been withdrawn")
	if e.control.Isolated() {
		refusal = spool.Refuse(spool.CodeIsolated, "entry has lost touch and cannot tell whether the key is still valid")
	}
	return refusal.WithNotRun(spool.NotRunUnknown)
}

func (e *Entry) hasService(name spool.ServiceName, kind ServiceKind) bool {
	for _, service := range e.control.Services() {
		if service.Name == name && service.Kind == kind {
			return true
		}
	}
	return false
}

func (e *Entry) serviceOf(model spool.ModelName) (spool.ServiceName, bool) {
	for _, service := range e.control.Services() {
		for _, known := range service.Models {
			if known == model && service.Kind == ServiceModel {
				return service.Name, true
			}
		}
	}
	return "", false
}
