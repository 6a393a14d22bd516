package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	// MaxHeaderBytes bounds the request line and the headers.
	MaxHeaderBytes int64
	// MaxBodyBytes bounds the body.
	MaxBodyBytes int64
	// HeaderTimeout is the time from the first byte of a request to the end of
	// its headers.
	HeaderTimeout clock.Millis
	// IdleTimeout is the time that a connection may wait for a request.
	IdleTimeout clock.Millis
}

// DefaultLimits are in force until a configuration names others.
func DefaultLimits() Limits {
	return Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 3 * clock.Second, IdleTimeout: 15 * clock.Second}
}

const (
	// readBuffer is in bytes; most requests fit into it.
	readBufferSize = 4 << 10
	// bodyTimeout is the time for reading a body after its headers.
	bodyTimeout = 10 * time.Second
	// lingerTimeout is the time for which the rest of a rejected request is read
	// before the connection closes, so that the caller can read the answer.
	lingerTimeout = 200 * time.Millisecond
	// keepAliveProbe is the interval of TCP keep-alive probes. A connection that
	// lost its peer without a reset is found after three of them.
	keepAliveInterval = 2 * time.Second
)

// Handler answers one request. ctx ends when the caller leaves.
type Handler func(ctx context.Context, exchange *Exchange)

// Server accepts the connections of callers.
type Server struct {
	listener net.Listener
	handler  Handler
	limits   atomic.Pointer[Limits]
	// draining asks callers to leave: each answer closes its connection.
	draining atomic.Bool
	// leaving does so until it is taken back.
	closesConnections atomic.Bool

	mu sync.Mutex
	// conns are the open connections.
	conns map[*serverConn]struct{}
	// closed says that the listener has been closed by Stop.
	closed bool
	wg     sync.WaitGroup
}

// NewServer listens at address and answers each request with handler.
func NewServer(address string, handler Handler) (server *Server, err error) {
	defer func() { err = errors.Wrapf(err, "listen on %s", address) }()
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	server = &Server{listener: listener, handler: handler, conns: map[*serverConn]struct{}{}}
	limits := DefaultLimits()
	server.limits.Store(&limits)
	server.wg.Add(1)
	go func() {
		defer server.wg.Done()
		server.accept()
	}()
	return server, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// SetLimits replaces the limits of the requests that are read from now on.
func (s *Server) SetLimits(limits Limits) { s.limits.Store(&limits) }

// Drain makes every answer from now on close its connection, and closes those that
// wait for another request: their callers open new ones, which reach other servers
// as soon as the balancer has noticed. A connection without a first request stays,
// since its request may be on the way.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.closeIfIdleAfterRequest()
	}
}

// SetLeaving makes answers close their connections, or stops doing so.
func (s *Server) SetLeaving(enabled bool) { s.closesConnections.Store(enabled) }

// Stop stops accepting, closes idle connections, and waits for the requests in
// flight until ctx ends. Connections that are still busy then are closed.
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
			// Accept fails while descriptors are short; connections end meanwhile.
			time.Sleep(5 * time.Millisecond)
			continue
		}
		Tune(conn, keepAliveInterval)
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

// limitedSource bounds the bytes that the parser may take for the headers of one
// request.
type headerLimiter struct {
	conn net.Conn
	// left is the number of bytes that may still be read while bounded is set.
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

// serverConn is one connection of a caller. Its goroutine reads; a second one
// answers while the first watches for the caller's leaving.
type serverConn struct {
	server *Server
	conn   net.Conn
	input  headerLimiter
	reader *bufio.Reader
	mu     sync.Mutex
	// busy is true from the first byte of a request to the end of its answer.
	busy bool
	// used is set by the first request.
	hadRequest bool
	// stopped says that no further request may be read.
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

// begin marks the connection as busy and reports whether a request may be read.
func (c *serverConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = !c.stopped
	c.hadRequest = true
	return c.busy
}

// rest marks the connection as waiting for another request, and closes it when
// that must not come.
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

// one reads and answers one request and reports whether the connection can carry
// another. It returns when the next request begins.
func (c *serverConn) serveRequest(limits Limits) (keep bool) {
	request, body, status := c.readRequest(limits)
	exchange := &Exchange{conn: c.conn, request: request, body: body, server: c.server, idleTimeout: limits.IdleTimeout}
	if status != 0 {
		exchange.closeAfterAnswer = true
		exchange.Reject(status, 0)
		c.discardRemaining()
		return false
	}
	exchange.closeAfterAnswer = request.Close || !request.ProtoAtLeast(1, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	_ = c.conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		c.server.handler(ctx, exchange)
		if exchange.finish() {
			_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout.Duration()))
			c.endRequest()
		}
	}()
	// The caller leaves or sends its next request, early or after the answer.
	_, err := c.reader.Peek(1)
	if err != nil {
		cancel()
	}
	<-done
	return err == nil && !exchange.closeAfterAnswer
}

// read parses one request with its body; status is not 0 when it is rejected.
func (c *serverConn) readRequest(limits Limits) (request *http.Request, body []byte, status int) {
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout.Duration()))
	c.input.remaining, c.input.enabled = limits.MaxHeaderBytes+readBufferSize, true
	request, err := http.ReadRequest(c.reader)
	c.input.enabled = false
	if err != nil {
		return nil, nil, rejectionStatus(err)
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
	body, err = io.ReadAll(io.LimitReader(request.Body, limits.MaxBodyBytes+1))
	switch {
	case err != nil:
		return nil, nil, http.StatusBadRequest
	case int64(len(body)) > limits.MaxBodyBytes:
		return nil, nil, http.StatusRequestEntityTooLarge
	}
	return request, body, 0
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

// linger reads what is left of a rejected request. Closing with unread bytes
// would reset the connection and could take the answer away from the caller.
func (c *serverConn) discardRemaining() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.conn, readBufferSize<<4))
}
