package httpconn

import (
	"bufio"
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

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
	// RetryBuffers is the delay after which a caller may repeat a request for whose body the
	// buffers were exhausted.
	RetryBuffers = 500 * clock.Millis(1)
	// lingerTimeout bounds the time for which the server still reads from a connection
	// after its last response, before it closes the connection. If it closed the
	// connection with unread data, the caller could lose the response.
	lingerTimeout = 200 * time.Millisecond
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
