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

// Errors of a call. After any of the errors below, the caller does not know whether
// the other process has executed the call. An error that wraps spool.ErrNotSent proves
// instead that the call did not reach the other process.
var (
	// ErrConnectionLost means that the connection was lost, or closed by
	// Clients.Close, during the call.
	ErrConnectionLost = errors.New("connection was lost")
	// ErrHeartbeatTimeout means that this process closed the connection because the
	// peer neither answered heartbeats nor sent chunks for the heartbeat timeout.
	ErrHeartbeatTimeout = errors.New("peer did not answer heartbeats")
	// ErrCorrelationMismatch means that the reply had another correlation id than the
	// request, or could not be decoded.
	ErrCorrelationMismatch = errors.New("reply belongs to another call")
)

const (
	defaultDialTimeout       = 1 * clock.Second
	defaultHeartbeatInterval = 500 * clock.Millis(1)
	defaultHeartbeatTimeout  = 2 * clock.Second
	defaultClientIdleTimeout = 30 * clock.Second
)

// Clients keeps one connection per address and replaces connections that fail.
// It is safe for concurrent use.
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
	// conns maps an address to its connection. A connection is removed when it is
	// closed.
	conns map[string]*clientConn
	// dials maps an address to the dial in progress, which concurrent callers share.
	dials  map[string]*dialAttempt
	closed bool
}

// ClientOption configures Clients.
type ClientOption func(*Clients)

// WithTLS sets the function that returns the TLS configuration for each new
// connection. A nil configuration selects plain TCP.
func WithTLS(config func() *tls.Config) ClientOption {
	return func(c *Clients) { c.tlsConfig = config }
}

// WithHeartbeat sets the interval between the heartbeats on a connection, and the
// time without a received chunk or heartbeat answer after which the connection is
// closed.
func WithHeartbeat(timeout, interval clock.Millis) ClientOption {
	return func(c *Clients) { c.heartbeatTimeout, c.heartbeatInterval = timeout, interval }
}

// WithClientIdleTimeout sets the time without calls after which a connection is
// closed.
func WithClientIdleTimeout(timeout clock.Millis) ClientOption {
	return func(c *Clients) { c.idleTimeout = timeout }
}

// NewClients returns Clients without connections. The correlation ids contain node
// and the current time, which makes them unique among processes and among restarts.
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

// MismatchedReplies returns the number of replies that failed a call with
// ErrCorrelationMismatch plus the number of chunks that belonged to no call in flight.
func (c *Clients) MismatchedReplies() uint64 { return c.mismatched.Load() }

// Call sends one request to address and decodes the reply into result, which
// may be nil. onChunk, which may be nil, receives the chunks in order and is
// never called after Call has returned. An error of onChunk cancels the call. If ctx
// ends first, Call asks the other process to cancel the request and returns the cause
// of ctx. The error wraps a *spool.Refusal if the other process answered with an
// error.
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
		// Callers look for the cause in the error, because a refused connection
		// proves that the process has ended.
		return multierr.Append(spool.ErrNotSent, err)
	}
	defer c.release(conn)
	correlation := c.correlationPrefix + strconv.FormatUint(c.lastCorrelation.Add(1), 36)
	return conn.call(ctx, method, envelope{Correlation: correlation, Body: body}, result, onChunk)
}

// Close closes all connections. Calls in flight fail with ErrConnectionLost, and later
// calls with spool.ErrNotSent.
func (c *Clients) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = map[string]*clientConn{}
	c.closed = true
	c.mu.Unlock()
	for _, conn := range conns {
		conn.close(ErrConnectionLost)
	}
}

// dialAttempt is one attempt to connect. Several callers may wait for it.
type dialAttempt struct {
	// done is closed when the attempt has ended. conn or err is set before that.
	done chan struct{}
	conn *clientConn
	err  error
}

// acquire returns the connection to address and dials if there is none. Until the
// caller has called release, the connection is not closed for being idle.
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

// removeIdle removes conn from conns if no call has used it for idleTimeout, and
// reports whether it has removed it. The caller must then close conn. Without the
// removal, the client would send heartbeats to every process that it has ever called.
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

// clientConn is the client side of one connection.
type clientConn struct {
	clients     *Clients
	jsonrpcConn *jsonrpc2.Conn
	// lastReceived is the time at which the last chunk, reply or heartbeat answer arrived,
	// as Unix time in nanoseconds.
	lastReceived atomic.Int64
	// closeErr is the reason for closing the connection. It is set before closed
	// is closed.
	closeErr  error
	closeOnce sync.Once
	closed    chan struct{}
	// activeCalls is the number of calls in flight, and lastUsed is the time when
	// the last call ended. Both are guarded by clients.mu.
	activeCalls int
	lastUsed    time.Time

	mu sync.Mutex
	// receivers maps the correlation id of each call in flight to the receiver of
	// its chunks.
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
				c.close(ErrConnectionLost)
				return
			case <-c.closed:
				return
			case <-ticker.C:
				if clients.removeIdle(address, c) {
					c.close(ErrConnectionLost)
					return
				}
				c.pingIfQuiet()
				if c.heartbeatTimedOut() {
					clients.remove(address, c)
					c.close(ErrHeartbeatTimeout)
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

// pingIfQuiet sends a heartbeat unless something has arrived within the heartbeat interval.
// An owner that answers many processes all the time would otherwise spend most of its
// messages on heartbeats.
func (c *clientConn) pingIfQuiet() {
	if time.Since(time.Unix(0, c.lastReceived.Load())) >= c.clients.heartbeatInterval.Duration() {
		c.ping()
	}
}

// ping starts a goroutine that sends a heartbeat and sets lastReceived when the answer
// arrives.
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

// Handle receives the chunks that frameStream has not recognized, because the peer
// encodes JSON in another way than sendChunk. It ignores other messages. Like
// receiveChunk, it runs on the connection's reader goroutine, so that all chunks of a
// call are queued before its reply is processed.
func (c *clientConn) Handle(_ context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Method != methodChunk || request.Params == nil {
		return
	}
	if chunk, ok := parseEnvelope(*request.Params); ok {
		c.receiveChunk(chunk)
	}
}

// receiveChunk queues a chunk for the call with its correlation id. If there is no
// such call in flight, it drops the chunk and counts it as mismatched.
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

// roundTrip sends a request, waits for its reply, which arrives after all chunks, and
// returns the body of the reply. If ctx ends first, roundTrip asks the peer to cancel
// the request and returns the cause of ctx.
func (c *clientConn) roundTrip(ctx context.Context, method string, request envelope) (body json.RawMessage, err error) {
	pending, err := c.jsonrpcConn.DispatchCall(ctx, method, request.encode())
	if err != nil {
		// The frame may have been written in part, so the outcome is unknown.
		return nil, c.callError(err)
	}
	var raw json.RawMessage
	// Wait also returns when the connection is closed, with an error.
	err = pending.Wait(ctx, &raw)
	if err != nil && ctx.Err() != nil {
		_ = c.jsonrpcConn.Notify(context.Background(), methodCancel, envelope{Correlation: request.Correlation}.encode())
		return nil, context.Cause(ctx)
	}
	if err != nil {
		return nil, c.callError(err)
	}
	c.lastReceived.Store(time.Now().UnixNano())
	reply, ok := parseEnvelope(raw)
	if !ok || reply.Correlation != request.Correlation {
		c.clients.mismatched.Add(1)
		return nil, ErrCorrelationMismatch
	}
	return reply.Body, nil
}

// callError converts an error of the jsonrpc2 library. An error that the peer has sent
// becomes a refusal; without refusal data, it gets CodeInternal. Any other error becomes
// the reason for which the connection was closed, or ErrConnectionLost.
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
		return errors.Wrap(ErrConnectionLost, err.Error())
	}
}
