// Package wire defines the messages that the system's processes send to each other, and
// implements the JSON-RPC 2.0 connections that transport them. The client sends
// heartbeats on each connection, so that both sides detect and close a connection whose
// peer no longer responds. Each request contains a correlation id, which the reply and
// every chunk must repeat.
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

// Methods that the connection uses internally: methodPing is a heartbeat, methodCancel
// is a notification that cancels a request, and methodChunk is a notification that
// contains one chunk of a streamed answer.
const (
	methodPing   = "wire.ping"
	methodCancel = "wire.cancel"
	methodChunk  = "wire.chunk"
)

// refusalCode is the JSON-RPC error code of errors whose data is a
// spool.Refusal.
const refusalCode = -32000

// maxConcurrentRequests is the maximum number of requests that one server handles at
// the same time. Further requests wait.
const maxConcurrentRequests = 4096

// defaultServerIdleTimeout is the time without a message after which the server
// closes a client's connection and cancels its requests. By default, clients send a
// heartbeat every 500 ms.
const defaultServerIdleTimeout = 5 * clock.Second

// discardLogs turns off the log of jsonrpc2. It would contain an error for each answer
// that arrives after its call was cancelled, which is expected.
var discardLogs = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// Send encodes one chunk of a streamed answer as JSON and sends it to the caller of a
// method.
type Send func(chunk any) error

// HandlerFunc handles one request. params is the JSON encoding of the request.
// ctx is cancelled when the caller cancels or its connection is lost. An error
// that wraps a *spool.Refusal is sent to the caller as that refusal; any other
// error becomes a refusal with CodeInternal.
type HandlerFunc func(ctx context.Context, params json.RawMessage, send Send) (any, error)

// Handle returns a HandlerFunc that decodes the request and calls handler with it. If
// the request cannot be decoded, it returns a refusal with CodeBadRequest.
func Handle[Request any](handler func(ctx context.Context, request Request, send Send) (any, error)) HandlerFunc {
	return func(ctx context.Context, params json.RawMessage, send Send) (any, error) {
		var request Request
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, spool.Refuse(spool.CodeBadRequest, "request does not decode: %v", err)
		}
		return handler(ctx, request, send)
	}
}

// Mux maps method names to handlers. It must not be modified after it was passed to
// Listen.
type Mux map[string]HandlerFunc

// Server answers the requests of other processes.
type Server struct {
	listener    net.Listener
	pool        pond.Pool
	ctx         context.Context
	cancel      context.CancelFunc
	idleTimeout clock.Millis

	mu sync.Mutex
	// conns is the set of open connections.
	conns map[*jsonrpc2.Conn]struct{}
	// inFlight is the number of requests whose handlers have been submitted to pool and
	// have not ended.
	inFlight int
	// drained is closed when inFlight drops to 0. It is created by the first WaitIdle
	// that has to wait, and nil before that and after it was closed.
	drained chan struct{}
	// acceptFailed receives the errors of accepting connections.
	acceptFailed func(error)
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithServerIdleTimeout sets the time without a message after which the server
// closes a client's connection and cancels its requests.
func WithServerIdleTimeout(timeout clock.Millis) ServerOption {
	return func(s *Server) { s.idleTimeout = timeout }
}

// acceptRetryDelay is the pause after a failure to accept a connection. It gives
// connections the time to end when the process has no free file descriptors.
const acceptRetryDelay = 5 * time.Millisecond

// WithAcceptError passes the errors of accepting connections to observe.
func WithAcceptError(observe func(error)) ServerOption {
	return func(s *Server) { s.acceptFailed = observe }
}

// Listen starts a server on address. Port 0 selects a free port. A nil tlsConfig
// selects plain TCP.
func Listen(address string, mux Mux, tlsConfig *tls.Config, options ...ServerOption) (server *Server, err error) {
	defer func() { err = errors.Wrapf(err, "listen on %s", address) }()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	return Serve(listener, mux, options...), nil
}

// Serve starts a server on a listener, which the server closes when it is closed.
func Serve(listener net.Listener, mux Mux, options ...ServerOption) (server *Server) {
	ctx, cancel := context.WithCancel(context.Background())
	server = &Server{
		listener:    listener,
		pool:        pond.NewPool(maxConcurrentRequests),
		ctx:         ctx,
		cancel:      cancel,
		idleTimeout: defaultServerIdleTimeout,
		conns:       map[*jsonrpc2.Conn]struct{}{},

		acceptFailed: func(error) {},
	}
	for _, option := range options {
		option(server)
	}
	go func() { server.accept(mux) }()
	return server
}

// accept accepts connections until the server is closed. Other errors are passed to
// acceptFailed, and it tries again.
func (s *Server) accept(mux Mux) {
	for {
		conn, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.acceptFailed(err)
			time.Sleep(acceptRetryDelay)
		default:
			s.serve(conn, mux)
		}
	}
}

// Address returns the host:port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close stops accepting connections, closes the open ones and cancels the contexts of
// the requests in flight. It does not wait for their handlers. For a graceful shutdown,
// call WaitIdle first.
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

// WaitIdle waits until no request is in flight. The server continues to accept requests
// in the meantime. WaitIdle returns an error when ctx ends first.
func (s *Server) WaitIdle(ctx context.Context) error {
	s.mu.Lock()
	if s.inFlight == 0 {
		s.mu.Unlock()
		return nil
	}
	if s.drained == nil {
		s.drained = make(chan struct{})
	}
	drained := s.drained
	s.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for requests in flight")
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

// serverConn is the server side of one connection.
type serverConn struct {
	server *Server
	mux    Mux
	stream *frameStream
	// lastReceived is the time at which the last message arrived, as Unix time in
	// nanoseconds.
	lastReceived atomic.Int64

	mu sync.Mutex
	// cancels maps the correlation id of each request in flight to its cancel
	// function.
	cancels map[string]context.CancelFunc
}

// waitClosed waits until the connection has ended. If no message has arrived for longer
// than idleTimeout, it closes the connection itself, because a connection to an
// unreachable client may never report an error.
func (s *serverConn) waitClosed(conn *jsonrpc2.Conn) {
	idleTimeout := s.server.idleTimeout.Duration()
	ticker := time.NewTicker(idleTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-conn.DisconnectNotify():
			return
		case <-ticker.C:
			if time.Since(time.Unix(0, s.lastReceived.Load())) > idleTimeout {
				_ = conn.Close()
				return
			}
		}
	}
}

// Handle receives one request or notification. It runs on the goroutine that reads the
// connection, so it does not run the method's handler itself but submits it to the
// server's pool.
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
	cancels := s.cancels
	s.cancels = map[string]context.CancelFunc{}
	s.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
}
