// Package wire holds the messages between the system's processes and the
// jsonrpc2 connections that carry them. A connection has an application
// heartbeat, so one that went silent is noticed and replaced; every request
// carries a correlation id that the reply and each chunk must repeat.
package wire

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Methods of the connection itself.
const (
	methodPing   = "wire.ping"
	methodCancel = "wire.cancel"
	methodChunk  = "wire.chunk"
)

// refusalCode is the jsonrpc2 error code of an error whose data is a Refusal.
const refusalCode = -32000

// maxConcurrentRequests bounds the requests that one server works on at a time.
const maxConcurrentRequests = 4096

// defaultIdleAfter is how long a client may stay silent before the server closes
// its connection and cancels its requests. Clients send a heartbeat every 500 ms.
const defaultServerIdleTimeout = 5 * clock.Second

// quiet stops jsonrpc2 from logging on its own: it reports late answers to
// cancelled calls, which are expected.
var discardLogs = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// Send passes one chunk of a streamed answer to the caller of a method.
type Send func(chunk any) error

// HandlerFunc answers one request. params is the JSON form of the request. The
// context ends when the caller cancels or its connection is lost. A *Refusal is
// passed to the caller as it is; any other error becomes CodeInternal.
type HandlerFunc func(ctx context.Context, params json.RawMessage, send Send) (any, error)

// Handle adapts a function with a typed request to a HandlerFunc.
func Handle[Request any](handler func(ctx context.Context, request Request, send Send) (any, error)) HandlerFunc {
	return func(ctx context.Context, params json.RawMessage, send Send) (any, error) {
		var request Request
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, spool.Refuse(spool.CodeBadRequest, "request does not decode: %v", err)
		}
		return handler(ctx, request, send)
	}
}

// Mux maps methods to their handlers. It must not change once a server uses it.
type Mux map[string]HandlerFunc

// Server answers the requests of other processes.
type Server struct {
	listener    net.Listener
	pool        pond.Pool
	ctx         context.Context
	cancel      context.CancelFunc
	idleTimeout clock.Millis

	mu sync.Mutex
	// conns holds every open connection.
	conns map[*jsonrpc2.Conn]struct{}
	// busy counts the requests that have not been answered.
	inFlight int
	// quiet is closed when busy falls to 0; nil while nobody waits for that.
	drained chan struct{}
}

// ServerOption changes a default of a Server.
type ServerOption func(*Server)

// WithIdleAfter sets how long a client may stay silent before its connection is
// closed and its requests are cancelled.
func WithIdleAfter(timeout clock.Millis) ServerOption {
	return func(s *Server) { s.idleTimeout = timeout }
}

// Listen starts a server on address; port 0 picks a free one. tlsConfig may be
// nil for plain TCP.
func Listen(address string, mux Mux, tlsConfig *tls.Config, options ...ServerOption) (server *Server, err error) {
	defer func() { err = errors.Wrapf(err, "listen on %s", address) }()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	ctx, cancel := context.WithCancel(context.Background())
	server = &Server{
		listener:    listener,
		pool:        pond.NewPool(maxConcurrentRequests),
		ctx:         ctx,
		cancel:      cancel,
		idleTimeout: defaultServerIdleTimeout,
		conns:       map[*jsonrpc2.Conn]struct{}{},
	}
	for _, option := range options {
		option(server)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			server.serve(conn, mux)
		}
	}()
	return server, nil
}

// Address returns the host:port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Connections counts the open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close stops accepting, closes every connection and cancels the requests
// under way. Callers that must not be cut are served before Close is called.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.cancel()
	s.mu.Lock()
	conns := s.conns
	s.conns = map[*jsonrpc2.Conn]struct{}{}
	s.mu.Unlock()
	for conn := range conns {
		_ = conn.Close()
	}
	return errors.Wrap(err, "close listener")
}

// Quiet waits until every request under way has been answered. A graceful
// shutdown calls it before Close.
func (s *Server) Quiet(ctx context.Context) error {
	s.mu.Lock()
	if s.inFlight == 0 {
		s.mu.Unlock()
		return nil
	}
	if s.drained == nil {
		s.drained = make(chan struct{})
	}
	quiet := s.drained
	s.mu.Unlock()
	select {
	case <-quiet:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for requests under way")
	}
}

func (s *Server) requestStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
}

func (s *Server) requestEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.inFlight == 0 && s.drained != nil {
		close(s.drained)
		s.drained = nil
	}
}

func (s *Server) serve(conn net.Conn, mux Mux) {
	sc := &serverConn{server: s, mux: mux, stream: newFrameStream(conn, nil), cancels: map[string]context.CancelFunc{}}
	sc.lastReceived.Store(time.Now().UnixNano())
	rpc := jsonrpc2.NewConn(s.ctx, sc.stream, sc, sc.stream.options()...)
	s.mu.Lock()
	s.conns[rpc] = struct{}{}
	s.mu.Unlock()
	go func() {
		sc.waitClosed(rpc)
		sc.cancelAllRequests()
		s.mu.Lock()
		delete(s.conns, rpc)
		s.mu.Unlock()
	}()
}

// session is the server's side of one connection.
type serverConn struct {
	server *Server
	mux    Mux
	stream *frameStream
	// heard is the time of the last message, in nanoseconds.
	lastReceived atomic.Int64

	mu sync.Mutex
	// running maps the correlation of each request under way to its cancel.
	cancels map[string]context.CancelFunc
}

// watch returns when the connection has ended; it closes one whose client has
// gone silent, because such a connection may never report an error.
func (s *serverConn) waitClosed(conn *jsonrpc2.Conn) {
	idleAfter := s.server.idleTimeout.Duration()
	ticker := time.NewTicker(idleAfter / 2)
	defer ticker.Stop()
	for {
		select {
		case <-conn.DisconnectNotify():
			return
		case <-ticker.C:
			if time.Since(time.Unix(0, s.lastReceived.Load())) > idleAfter {
				_ = conn.Close()
				return
			}
		}
	}
}

// Handle receives one request or notification. It runs on the connection's
// reader, so work is handed to the pool.
func (s *serverConn) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	s.lastReceived.Store(time.Now().UnixNano())
	var params envelope
	if request.Params != nil {
		var ok bool
		if params, ok = parseEnvelope(*request.Params); !ok {
			s.replyError(ctx, conn, request, spool.Refuse(spool.CodeBadRequest, "envelope does not decode"))
			return
		}
	}
	switch request.Method {
	case methodPing:
		_ = conn.Reply(ctx, request.ID, struct{}{})
		return
	case methodCancel:
		s.cancelRequest(params.Correlation)
		return
	}
	handler, ok := s.mux[request.Method]
	if !ok {
		s.replyError(ctx, conn, request, spool.Refuse(spool.CodeBadRequest, "method %q does not exist", request.Method))
		return
	}
	callCtx, cancel := context.WithCancel(s.server.ctx)
	s.mu.Lock()
	s.cancels[params.Correlation] = cancel
	s.mu.Unlock()
	s.server.requestStarted()
	_ = s.server.pool.Go(func() {
		defer s.server.requestEnded()
		defer s.cancelRequest(params.Correlation)
		s.handleRequest(callCtx, conn, request, handler, params)
	})
}

func (s *serverConn) handleRequest(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, handler HandlerFunc, params envelope) {
	send := func(chunk any) error {
		body, err := json.Marshal(chunk)
		if err != nil {
			return errors.Wrap(err, "encode chunk")
		}
		return s.stream.sendChunk(envelope{Correlation: params.Correlation, Body: body})
	}
	result, err := handler(ctx, params.Body, send)
	if err != nil {
		s.replyError(ctx, conn, request, err)
		return
	}
	body, err := json.Marshal(result)
	if err != nil {
		s.replyError(ctx, conn, request, err)
		return
	}
	_ = conn.Reply(ctx, request.ID, envelope{Correlation: params.Correlation, Body: body}.encode())
}

func (s *serverConn) replyError(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, err error) {
	if request.Notif {
		return
	}
	refusal := &spool.Refusal{}
	if !errors.As(err, &refusal) {
		refusal = &spool.Refusal{Code: spool.CodeInternal, Message: err.Error(), NotRun: spool.NotRunUnknown}
	}
	reply := &jsonrpc2.Error{Code: refusalCode, Message: refusal.Message}
	reply.SetError(refusal)
	_ = conn.ReplyWithError(ctx, request.ID, reply)
}

func (s *serverConn) cancelRequest(correlation string) {
	s.mu.Lock()
	cancel := s.cancels[correlation]
	delete(s.cancels, correlation)
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (s *serverConn) cancelAllRequests() {
	s.mu.Lock()
	running := s.cancels
	s.cancels = map[string]context.CancelFunc{}
	s.mu.Unlock()
	for _, cancel := range running {
		cancel()
	}
}
