package httpconn

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/baobabspool/baobabspool/pkg/buffers"
	"github.com/baobabspool/baobabspool/pkg/clock"
)

// Limits bound the size of a request and the time that a caller may take to send
// it.
type Limits struct {
	// MaxHeaderBytes is the maximum total size of the request line and the headers in
	// bytes. It is approximate: the server limits the bytes that it reads into its
	// buffer, and may accept up to 8 KiB more.
	MaxHeaderBytes int64
	// MaxBodyBytes is the maximum size of the body in bytes.
	MaxBodyBytes int64
	// HeaderTimeout bounds the time from the first byte of a request to the end
	// of its headers.
	HeaderTimeout clock.Millis
	// IdleTimeout is the time after which the server closes a connection on which no
	// request is in progress. The server announces it in the Keep-Alive header.
	IdleTimeout clock.Millis
}

// DefaultLimits returns the limits that apply until SetLimits is called.
func DefaultLimits() Limits {
	return Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 3 * clock.Second, IdleTimeout: 15 * clock.Second}
}

const (
	// readBufferSize is the size in bytes of a connection's read buffer, for servers
	// and clients. Most requests fit into it.
	readBufferSize = 4 << 10
	// bodyTimeout bounds the time for reading a body, from the end of the headers.
	bodyTimeout = 10 * time.Second
	// RetryBuffers is the delay after which a caller may repeat a request for whose body the
	// buffers were exhausted.
	RetryBuffers = 500 * clock.Millis(1)
	// lingerTimeout bounds the time for which the server still reads from a connection
	// after its last response, before it closes the connection. If it closed the
	// connection with unread data, the caller could lose the response.
	lingerTimeout = 200 * time.Millisecond
	// discardTimeout bounds the time for which the server reads the rest of a rejected
	// request.
	discardTimeout = time.Second
	// keepAliveInterval is the time without traffic after which a TCP keep-alive probe
	// is sent, and the interval between further probes. With userTimeout, an idle
	// connection whose peer has disappeared without a reset fails after about 4 s.
	keepAliveInterval = 2 * time.Second
)

// Handler handles one request. ctx is cancelled when the caller disconnects. If the
// handler returns without a complete response, the server closes the connection.
type Handler func(ctx context.Context, exchange *Exchange)

// Server is an HTTP/1.1 server that tells handlers when their caller disconnects.
type Server struct {
	listener net.Listener
	handler  Handler
	limits   atomic.Pointer[Limits]
	// buffers bounds the bodies of all requests together.
	buffers *buffers.Pool
	// rejected, unless nil, receives the status of each request that the server itself
	// rejects.
	rejected func(status int)
	// draining makes each response close its connection. It is never reset.
	draining atomic.Bool
	// closesConnections makes each response close its connection, like draining. It is
	// set and reset by SetCloseConnections.
	closesConnections atomic.Bool

	mu sync.Mutex
	// conns is the set of open connections.
	conns map[*serverConn]struct{}
	// closed is set by Stop. Connections that are accepted later are closed at once.
	closed bool
	// wg tracks the accepting goroutine and one goroutine per connection.
	wg sync.WaitGroup
}

// ServerOption changes a Server during NewServer.
type ServerOption func(*Server)

// WithBuffers makes requests take the buffers of their bodies from a pool. A request for
// whose body it has not enough bytes is rejected. The default is an unbounded pool.
func WithBuffers(pool *buffers.Pool) ServerOption {
	return func(s *Server) { s.buffers = pool }
}

// WithRejected passes the status of each request that the server itself rejects to
// observe.
func WithRejected(observe func(status int)) ServerOption {
	return func(s *Server) { s.rejected = observe }
}

// NewServer starts a server that listens on address, a host:port with IPv4, and passes
// each request to handler.
func NewServer(address string, handler Handler, options ...ServerOption) (server *Server, err error) {
	defer func() { err = errors.Wrapf(err, "listen on %s", address) }()
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	server = &Server{listener: listener, handler: handler, conns: map[*serverConn]struct{}{}, buffers: buffers.New(math.MaxInt64)}
	for _, option := range options {
		option(server)
	}
	limits := DefaultLimits()
	server.limits.Store(&limits)
	server.wg.Add(1)
	go func() {
		defer server.wg.Done()
		server.accept()
	}()
	return server, nil
}

// Address returns the host:port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// SetLimits replaces the limits. A connection that is already waiting for a request
// still uses the old limits for that request.
func (s *Server) SetLimits(limits Limits) { s.limits.Store(&limits) }

// Drain makes every later response close its connection, and closes the idle
// connections on which at least one request has arrived. Callers then open new
// connections, which reach other servers as soon as the load balancer no longer selects
// this one. A connection on which no request has arrived stays open, because its first
// request may be in transit. Drain cannot be undone.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.closeIfIdleAfterRequest()
	}
}

// SetCloseConnections sets whether each response closes its connection. Unlike Drain,
// it leaves idle connections open and can be undone.
func (s *Server) SetCloseConnections(enabled bool) { s.closesConnections.Store(enabled) }

// Stop stops accepting connections, closes the idle ones and waits for the
// requests in flight, whose responses close their connections. When ctx ends first,
// Stop closes the remaining connections and returns without waiting for the handlers.
func (s *Server) Stop(ctx context.Context) {
	s.Drain()
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		conn.closeIfIdle()
	}
	s.mu.Unlock()
	_ = s.listener.Close()
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		s.closeAll()
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.conn.Close()
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// Accept fails, for example, while the process has no free file descriptors.
			// The pause gives connections the time to end.
			time.Sleep(5 * time.Millisecond)
			continue
		}
		ConfigureKeepAlive(conn, keepAliveInterval)
		s.startConn(conn)
	}
}

func (s *Server) startConn(conn net.Conn) {
	sc := &serverConn{server: s, conn: conn}
	sc.reader = bufio.NewReaderSize(&sc.input, readBufferSize)
	sc.input = headerLimiter{conn: conn}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		_ = conn.Close()
		return
	}
	s.conns[sc] = struct{}{}
	s.wg.Add(1)
	s.mu.Unlock()
	go func() {
		defer s.wg.Done()
		sc.serve()
		s.mu.Lock()
		delete(s.conns, sc)
		s.mu.Unlock()
	}()
}

// headerLimiter reads from a connection. While enabled, it limits the number of bytes
// that may be read for the headers of one request, and then fails with
// errHeadersTooLarge.
type headerLimiter struct {
	conn net.Conn
	// remaining is the number of bytes that may still be read while enabled is set.
	remaining int64
	enabled   bool
}

var errHeadersTooLarge = errors.New("headers are too large")

func (s *headerLimiter) Read(buffer []byte) (n int, err error) {
	if !s.enabled {
		return s.conn.Read(buffer)
	}
	if s.remaining <= 0 {
		return 0, errHeadersTooLarge
	}
	if int64(len(buffer)) > s.remaining {
		buffer = buffer[:s.remaining]
	}
	n, err = s.conn.Read(buffer)
	s.remaining -= int64(n)
	return n, err
}

// serverConn is the server side of one connection. One goroutine reads requests.
// While a second goroutine runs the handler, the first waits for further data, to
// detect that the caller has disconnected.
type serverConn struct {
	server *Server
	conn   net.Conn
	input  headerLimiter
	reader *bufio.Reader
	// mu guards the fields below.
	mu sync.Mutex
	// busy is set from the first byte of a request to the end of its response.
	busy bool
	// hadRequest is set when the first request begins.
	hadRequest bool
	// stopped means that the server must read no further request from the connection.
	stopped bool
}

func (c *serverConn) serve() {
	defer func() { _ = c.conn.Close() }()
	for {
		limits := *c.server.limits.Load()
		_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout.Duration()))
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		if !c.beginRequest() || !c.serveRequest(limits) {
			return
		}
	}
}

// beginRequest marks the connection as busy and returns true, unless stopped is set.
func (c *serverConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = !c.stopped
	c.hadRequest = true
	return c.busy
}

// endRequest marks the connection as idle. If the connection is stopped or the server
// drains, endRequest closes the connection.
func (c *serverConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	if c.stopped || c.server.draining.Load() {
		c.stopped = true
		_ = c.conn.Close()
	}
}

func (c *serverConn) closeIfIdleAfterRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hadRequest && !c.busy {
		c.stopped = true
		_ = c.conn.Close()
	}
}

func (c *serverConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if !c.busy {
		_ = c.conn.Close()
	}
}

// serveRequest reads and handles one request and reports whether the next request may
// be read from the connection. It rejects an invalid request. For a valid one, it
// returns when the handler has returned and either the first byte of the next request
// has arrived or the connection has ended.
func (c *serverConn) serveRequest(limits Limits) (keep bool) {
	account := c.server.buffers.NewAccount()
	defer account.Release()
	request, body, status := c.readRequest(limits, account)
	exchange := &Exchange{conn: c.conn, request: request, body: body, server: c.server, idleTimeout: limits.IdleTimeout, buffers: account}
	if status != 0 {
		c.reject(exchange, status, limits)
		return false
	}
	exchange.closeAfterResponse = request.Close || !request.ProtoAtLeast(1, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	_ = c.conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		c.server.handler(ctx, exchange)
		isOpen := exchange.finish()
		exchange.releaseBuffers()
		if isOpen {
			_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout.Duration()))
			c.endRequest()
		}
	}()
	// Peek returns when the caller disconnects or begins to send its next request,
	// which it may do before it has received the response.
	_, err := c.reader.Peek(1)
	if err != nil {
		cancel()
	}
	<-done
	return err == nil && !exchange.closeAfterResponse
}

// reject answers a request that the server does not pass to the handler, and ends the
// connection.
func (c *serverConn) reject(exchange *Exchange, status int, limits Limits) {
	if c.server.rejected != nil {
		c.server.rejected(status)
	}
	retryAfter := clock.Millis(0)
	if status == http.StatusServiceUnavailable {
		retryAfter = RetryBuffers
	}
	exchange.closeAfterResponse = true
	exchange.Reject(status, retryAfter)
	c.discardRemaining(limits)
}

// readRequest reads one request with its body. If the request is invalid, exceeds the
// limits or arrives too slowly, status is the HTTP status of the rejection; otherwise
// status is 0.
func (c *serverConn) readRequest(limits Limits, account *buffers.Account) (request *http.Request, body []byte, status int) {
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout.Duration()))
	c.input.remaining, c.input.enabled = limits.MaxHeaderBytes+readBufferSize, true
	request, err := http.ReadRequest(c.reader)
	c.input.enabled = false
	if err != nil {
		return nil, nil, rejectionStatus(err)
	}
	if !hasValidNames(request.Header) {
		return nil, nil, http.StatusBadRequest
	}
	if expect := request.Header.Get("Expect"); expect != "" {
		_, _ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if request.ContentLength > limits.MaxBodyBytes {
		return nil, nil, http.StatusRequestEntityTooLarge
	}
	if request.ContentLength == 0 {
		return request, nil, 0
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err = account.ReadAll(request.Body, request.ContentLength, limits.MaxBodyBytes)
	if err != nil {
		return nil, nil, bodyRejectionStatus(err)
	}
	return request, body, 0
}

// hasValidNames reports whether all field names of a header are valid. The parser accepts
// names with blanks, of which the next server could read another field.
func hasValidNames(header http.Header) bool {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
	}
	return true
}

// bodyRejectionStatus returns the status for a body that cannot be read.
func bodyRejectionStatus(err error) int {
	switch {
	case errors.Is(err, buffers.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, buffers.ErrExhausted):
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

func rejectionStatus(err error) int {
	var timeout net.Error
	switch {
	case errors.Is(err, errHeadersTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return http.StatusRequestTimeout
	default:
		return http.StatusBadRequest
	}
}

// discardRemaining reads and discards the rest of a rejected request, for up to
// discardTimeout and the size of the largest body. Closing the connection with unread bytes
// would reset it, and the caller could lose the response.
func (c *serverConn) discardRemaining(limits Limits) {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.conn, limits.MaxBodyBytes+readBufferSize))
}
