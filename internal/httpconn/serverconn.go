package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/baobabspool/baobabspool/pkg/buffers"
	"github.com/baobabspool/baobabspool/pkg/clock"
)

const (
	// bodyTimeout bounds the time for reading a body, from the end of the headers.
	bodyTimeout = 10 * time.Second
	// discardTimeout bounds the time for which the server reads the rest of a rejected
	// request.
	discardTimeout = time.Second
)

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
