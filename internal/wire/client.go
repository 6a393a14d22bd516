package wire

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/multierr"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Errors of a client. A call that fails with spool.ErrNotSent provably did not
// reach the other process; with the others its fate is unknown.
var (
	// ErrLost means that the connection broke while the call was under way.
	ErrLost = errors.New("connection was lost")
	// ErrSilent means that the connection answered no heartbeat and was closed.
	ErrSilent = errors.New("connection went silent")
	// ErrCrossed means that the reply carried another call's correlation.
	ErrCrossed = errors.New("reply belongs to another call")
)

const (
	defaultDialTimeout       = 1 * clock.Second
	defaultHeartbeatInterval = 500 * clock.Millis(1)
	defaultHeartbeatTimeout  = 2 * clock.Second
	defaultClientIdleTimeout = 30 * clock.Second
)

// Clients holds one connection per address and replaces those that break.
type Clients struct {
	tlsConfig         func() *tls.Config
	dialTimeout       clock.Millis
	heartbeatInterval clock.Millis
	heartbeatTimeout  clock.Millis
	idleTimeout       clock.Millis
	correlationPrefix string
	lastCorrelation   atomic.Uint64
	mismatched        atomic.Uint64

	mu sync.Mutex
	// links maps an address to its connection; a closed one is never kept.
	conns map[string]*clientConn
	// dialing lets concurrent callers share one dial.
	dials  map[string]*dialAttempt
	closed bool
}

// ClientOption changes a default of Clients.
type ClientOption func(*Clients)

// WithTLS makes new connections use the TLS configuration that config returns at
// the time; nil stands for plain TCP.
func WithTLS(config func() *tls.Config) ClientOption {
	return func(c *Clients) { c.tlsConfig = config }
}

// WithSilentAfter sets how long a connection may leave a heartbeat unanswered
// before it is closed and replaced, and how often heartbeats are sent.
func WithSilentAfter(timeout, interval clock.Millis) ClientOption {
	return func(c *Clients) { c.heartbeatTimeout, c.heartbeatInterval = timeout, interval }
}

// WithUnusedAfter sets how long a connection is kept without calls.
func WithUnusedAfter(timeout clock.Millis) ClientOption {
	return func(c *Clients) { c.idleTimeout = timeout }
}

// NewClients returns an empty set of connections. node makes correlation ids
// unique among processes.
func NewClients(node spool.NodeID, options ...ClientOption) *Clients {
	clients := &Clients{
		tlsConfig:         func() *tls.Config { return nil },
		dialTimeout:       defaultDialTimeout,
		heartbeatInterval: defaultHeartbeatInterval,
		heartbeatTimeout:  defaultHeartbeatTimeout,
		idleTimeout:       defaultClientIdleTimeout,
		correlationPrefix: string(node) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36) + "-",
		conns:             map[string]*clientConn{},
		dials:             map[string]*dialAttempt{},
	}
	for _, option := range options {
		option(clients)
	}
	return clients
}

// Crossed counts replies and chunks that belonged to no call under way.
func (c *Clients) Crossed() uint64 { return c.mismatched.Load() }

// Call sends one request to address and decodes the reply into result, which
// may be nil. onChunk, which may be nil, receives the chunks in order before
// Call returns and is never called afterwards. Cancelling ctx cancels the request at the other process. The
// error is a *spool.Refusal when the other process refused.
func (c *Clients) Call(ctx context.Context, address, method string, request, result any, onChunk func(json.RawMessage) error) (err error) {
	defer func() { err = errors.Wrapf(err, "call %s at %s", method, address) }()
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(spool.ErrNotSent, err.Error())
	}
	if err := ctx.Err(); err != nil {
		return errors.Wrap(spool.ErrNotSent, err.Error())
	}
	conn, err := c.acquire(ctx, address)
	if err != nil {
		// The cause is kept: a refused connection proves that the process has ended.
		return multierr.Append(spool.ErrNotSent, err)
	}
	defer c.release(conn)
	correlation := c.correlationPrefix + strconv.FormatUint(c.lastCorrelation.Add(1), 36)
	return conn.call(ctx, method, envelope{Correlation: correlation, Body: body}, result, onChunk)
}

// Close closes every connection.
func (c *Clients) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = map[string]*clientConn{}
	c.closed = true
	c.mu.Unlock()
	for _, conn := range conns {
		conn.close(ErrLost)
	}
}

// dial is one attempt to connect that several callers may wait for.
type dialAttempt struct {
	done chan struct{}
	conn *clientConn
	err  error
}

// acquire returns the connection to address and keeps it from being closed as
// idle until release.
func (c *Clients) acquire(ctx context.Context, address string) (*clientConn, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		conn, err := c.connect(ctx, address)
		if err != nil {
			return nil, err
		}
		c.mu.Lock()
		current := c.conns[address] == conn
		if current {
			conn.activeCalls++
		}
		c.mu.Unlock()
		if current {
			return conn, nil
		}
	}
}

func (c *Clients) release(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.activeCalls--
	conn.lastUsed = time.Now()
}

// dropUnused takes a connection out that no call has used for unusedAfter, so that
// heartbeats are not paid for every process that was ever called.
func (c *Clients) removeIdle(address string, conn *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.activeCalls > 0 || time.Since(conn.lastUsed) < c.idleTimeout.Duration() || c.conns[address] != conn {
		return false
	}
	delete(c.conns, address)
	return true
}

func (c *Clients) connect(ctx context.Context, address string) (*clientConn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errors.New("clients are closed")
	}
	if conn := c.conns[address]; conn != nil {
		c.mu.Unlock()
		return conn, nil
	}
	attempt := c.dials[address]
	if attempt == nil {
		attempt = &dialAttempt{done: make(chan struct{})}
		c.dials[address] = attempt
		go func() { c.dial(address, attempt) }()
	}
	c.mu.Unlock()
	select {
	case <-attempt.done:
		return attempt.conn, attempt.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Clients) dial(address string, attempt *dialAttempt) {
	dialer := &net.Dialer{Timeout: c.dialTimeout.Duration()}
	var conn net.Conn
	var err error
	if config := c.tlsConfig(); config != nil {
		conn, err = tls.DialWithDialer(dialer, "tcp", address, config)
	} else {
		conn, err = dialer.Dial("tcp", address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(attempt.done)
	delete(c.dials, address)
	switch {
	case err != nil:
		attempt.err = err
	case c.closed:
		_ = conn.Close()
		attempt.err = errors.New("clients are closed")
	default:
		attempt.conn = newClientConn(c, address, conn)
		c.conns[address] = attempt.conn
	}
}

func (c *Clients) remove(address string, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
}

// link is the client's side of one connection.
type clientConn struct {
	clients     *Clients
	jsonrpcConn *jsonrpc2.Conn
	// heard is the time of the last sign of life, in nanoseconds.
	lastReceived atomic.Int64
	// cause is why the link was closed; set before closed is closed.
	closeErr  error
	closeOnce sync.Once
	closed    chan struct{}
	// users counts the calls under way and usedAt is when the last one ended;
	// both are guarded by clients.mu.
	activeCalls int
	lastUsed    time.Time

	mu sync.Mutex
	// chunks maps the correlation of each call under way to its receiver.
	receivers map[string]*chunkReceiver
}

func newClientConn(clients *Clients, address string, conn net.Conn) *clientConn {
	c := &clientConn{
		clients: clients, closed: make(chan struct{}), receivers: map[string]*chunkReceiver{}, lastUsed: time.Now(),
	}
	c.lastReceived.Store(time.Now().UnixNano())
	stream := newFrameStream(conn, c.receiveChunk)
	c.jsonrpcConn = jsonrpc2.NewConn(context.Background(), stream, c, stream.options()...)
	go func() {
		ticker := time.NewTicker(clients.heartbeatInterval.Duration())
		defer ticker.Stop()
		defer clients.remove(address, c)
		for {
			select {
			case <-c.jsonrpcConn.DisconnectNotify():
				c.close(ErrLost)
				return
			case <-c.closed:
				return
			case <-ticker.C:
				if clients.removeIdle(address, c) {
					c.close(ErrLost)
					return
				}
				c.ping()
				if c.heartbeatTimedOut() {
					clients.remove(address, c)
					c.close(ErrSilent)
					return
				}
			}
		}
	}()
	return c
}

func (c *clientConn) heartbeatTimedOut() bool {
	return time.Since(time.Unix(0, c.lastReceived.Load())) > c.clients.heartbeatTimeout.Duration()
}

// ping sends a heartbeat without waiting for its answer.
func (c *clientConn) ping() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.clients.heartbeatTimeout.Duration())
		defer cancel()
		var reply json.RawMessage
		if c.jsonrpcConn.Call(ctx, methodPing, envelope{}.encode(), &reply) == nil {
			c.lastReceived.Store(time.Now().UnixNano())
		}
	}()
}

func (c *clientConn) close(cause error) {
	c.closeOnce.Do(func() {
		c.closeErr = cause
		close(c.closed)
		go func() { _ = c.jsonrpcConn.Close() }()
	})
}

// Handle takes chunks whose encoding the stream does not know. It runs on the
// connection's reader, as receive does, so chunks and the reply after them stay
// in order.
func (c *clientConn) Handle(_ context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Method != methodChunk || request.Params == nil {
		return
	}
	if chunk, ok := parseEnvelope(*request.Params); ok {
		c.receiveChunk(chunk)
	}
}

// receive passes a chunk to its call.
func (c *clientConn) receiveChunk(chunk envelope) {
	c.lastReceived.Store(time.Now().UnixNano())
	c.mu.Lock()
	receiver := c.receivers[chunk.Correlation]
	c.mu.Unlock()
	if receiver == nil {
		c.clients.mismatched.Add(1)
		return
	}
	receiver.enqueue(chunk.Body)
}

func (c *clientConn) call(ctx context.Context, method string, request envelope, result any, onChunk func(json.RawMessage) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	receiver := &chunkReceiver{onChunk: onChunk, cancel: cancel}
	c.mu.Lock()
	c.receivers[request.Correlation] = receiver
	c.mu.Unlock()
	body, err := c.roundTrip(ctx, method, request)
	c.mu.Lock()
	delete(c.receivers, request.Correlation)
	c.mu.Unlock()
	if chunkErr := receiver.wait(err != nil); err == nil {
		err = chunkErr
	}
	if err != nil || result == nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(body, result), "decode reply")
}

// exchange sends a request and waits for its reply, which follows every chunk.
func (c *clientConn) roundTrip(ctx context.Context, method string, request envelope) (body json.RawMessage, err error) {
	pending, err := c.jsonrpcConn.DispatchCall(ctx, method, request.encode())
	if err != nil {
		// The frame may have been written in part, so nothing is proved.
		return nil, c.callError(err)
	}
	var raw json.RawMessage
	// A closed connection ends every pending call.
	err = pending.Wait(ctx, &raw)
	if err != nil && ctx.Err() != nil {
		_ = c.jsonrpcConn.Notify(context.Background(), methodCancel, envelope{Correlation: request.Correlation}.encode())
		return nil, context.Cause(ctx)
	}
	if err != nil {
		return nil, c.callError(err)
	}
	reply, ok := parseEnvelope(raw)
	if !ok || reply.Correlation != request.Correlation {
		c.clients.mismatched.Add(1)
		return nil, ErrCrossed
	}
	return reply.Body, nil
}

// failure turns the error of a call into a refusal or one of this package's
// errors.
func (c *clientConn) callError(err error) error {
	reply := &jsonrpc2.Error{}
	if errors.As(err, &reply) {
		refusal := &spool.Refusal{}
		if reply.Data != nil && json.Unmarshal(*reply.Data, refusal) == nil && refusal.Code != "" {
			return refusal
		}
		return spool.Refuse(spool.CodeInternal, "%s", reply.Message).WithNotRun(spool.NotRunUnknown)
	}
	select {
	case <-c.closed:
		return c.closeErr
	default:
		return errors.Wrap(ErrLost, err.Error())
	}
}
