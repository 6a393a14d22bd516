// Package adapters implements the interfaces of package spool for the platform's
// services: the log, the list of VMs, the model engines and the plain services. All
// of them are called over HTTP. A port to another platform only has to replace this
// package, which therefore contains little logic.
package adapters

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/internal/httpconn"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// dialTimeout bounds the time for opening a connection.
	dialTimeout = 1 * clock.Second
	// requestTimeout bounds each request, including dialing. For a long poll, the
	// requested wait is added to it. It does not apply to generations and service
	// calls, which only their context bounds.
	requestTimeout = 3 * clock.Second
	// maxIdleConns is the maximum number of idle connections per transport.
	maxIdleConns = 16
	// maxBodyBytes is the maximum size in bytes of a response body that is read into
	// memory as a whole, and of one line of an event stream.
	maxBodyBytes = 64 << 20
	// maxErrorBytes is the maximum size in bytes of the body that is read of a response with
	// an error status to a request for a stream.
	maxErrorBytes = 4 << 10
)

// errBodyTooLarge means that a response body exceeds maxBodyBytes.
var errBodyTooLarge = errors.Errorf("response body exceeds %d bytes", maxBodyBytes)

// statusError is the error for a response with an HTTP status that is not a success.
type statusError struct {
	status int
	// body is the body of the response. For an event stream, it is cut off after
	// maxErrorBytes.
	body string
}

func (e *statusError) Error() string {
	return fasthttp.StatusMessage(e.status) + ": " + e.body
}

// Is reports whether target is the error of package spool that corresponds to the HTTP
// status. With each of these statuses, the endpoint states that it has not run the
// request. Other statuses correspond to no error.
func (e *statusError) Is(target error) bool {
	switch e.status {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return target == spool.ErrRejected
	case fasthttp.StatusPreconditionFailed:
		return target == spool.ErrStaleFence
	case fasthttp.StatusBadRequest, fasthttp.StatusNotFound, fasthttp.StatusRequestEntityTooLarge, fasthttp.StatusUnprocessableEntity:
		return target == spool.ErrInvalidCall
	}
	return false
}

// conn is a connection with buffered input and output.
type conn struct {
	net.Conn
	responses *httpconn.ResponseReader
	writer    *bufio.Writer
}

// exchange sends request and returns the response. Its body has not been read.
func (c *conn) exchange(request *fasthttp.Request) (*http.Response, error) {
	if err := request.Write(c.writer); err != nil {
		return nil, err
	}
	if err := c.writer.Flush(); err != nil {
		return nil, err
	}
	return c.responses.Next(string(request.Header.Method()), nil)
}

// transport sends HTTP requests to one address, a host:port. Unlike the client of
// fasthttp, it never retries a request, except a GET request that has failed on an idle
// connection. When the context of a request ends, transport closes the connection at
// once, so that the server can stop its work on the request.
type transport struct {
	address string

	mu sync.Mutex
	// idle holds the connections without a request, the most recently used one last.
	idle []*conn
}

func newTransport(address string) *transport { return &transport{address: address} }

func (t *transport) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout.Duration())
	defer cancel()
	dialer := &net.Dialer{}
	netConn, err := dialer.DialContext(ctx, "tcp", t.address)
	if err != nil {
		return nil, errors.Wrap(spool.ErrNotSent, err.Error())
	}
	return &conn{Conn: netConn, responses: httpconn.NewResponseReader(netConn), writer: bufio.NewWriter(netConn)}, nil
}

func (t *transport) popIdle() *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idle) == 0 {
		return nil
	}
	last := t.idle[len(t.idle)-1]
	t.idle = t.idle[:len(t.idle)-1]
	return last
}

func (t *transport) putIdle(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idle) >= maxIdleConns {
		_ = c.Close()
		return
	}
	t.idle = append(t.idle, c)
}

// get sends a GET request for path and decodes the JSON response into result. wait is
// the maximum duration of a long poll, and 0 for other requests.
func (t *transport) get(ctx context.Context, path string, wait clock.Millis, result any) error {
	body, err := t.getBody(ctx, path, wait)
	return decodeResponse(body, err, result)
}

// closeIdleAfterTimeout closes all idle connections if the deadline of ctx has passed.
// If one connection no longer transports answers, the other idle ones usually do not
// either, and each would make another request time out.
func (t *transport) closeIdleAfterTimeout(ctx context.Context) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return
	}
	t.mu.Lock()
	idle := t.idle
	t.idle = nil
	t.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// getBody sends a GET request and returns the response body. It uses an idle
// connection if there is one. If the request fails on it, usually because the server
// has closed the connection in the meantime, getBody sends the request again on a new
// connection. It does not do so after an HTTP error status or when ctx has ended.
func (t *transport) getBody(ctx context.Context, path string, wait clock.Millis) (body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, (wait + requestTimeout).Duration())
	defer cancel()
	defer func() { t.closeIdleAfterTimeout(ctx) }()
	request := t.newRequest(fasthttp.MethodGet, path, nil)
	defer fasthttp.ReleaseRequest(request)
	if idle := t.popIdle(); idle != nil {
		body, err := t.roundTrip(ctx, idle, request)
		status := &statusError{}
		if err == nil || errors.As(err, &status) || ctx.Err() != nil {
			return body, err
		}
	}
	fresh, err := t.dial(ctx)
	if err != nil {
		return nil, err
	}
	return t.roundTrip(ctx, fresh, request)
}

// send sends a request at most once, on a new connection, and decodes the JSON
// response into result, unless result is nil. An error that wraps spool.ErrNotSent
// proves that nothing was sent. After any other error, the server may have executed the
// request.
func (t *transport) send(ctx context.Context, method, path string, body any, result any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(spool.ErrNotSent, err.Error())
	}
	request := t.newRequest(method, path, encoded)
	defer fasthttp.ReleaseRequest(request)
	fresh, err := t.dial(ctx)
	if err != nil {
		return err
	}
	responseBody, err := t.roundTrip(ctx, fresh, request)
	return decodeResponse(responseBody, err, result)
}

func (t *transport) newRequest(method, path string, body []byte) *fasthttp.Request {
	request := fasthttp.AcquireRequest()
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + t.address + path)
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBody(body)
	}
	return request
}

// roundTrip sends request over c and returns the response body, together with a
// *statusError for a status of 300 or above. It keeps c as an idle connection if it has
// read the whole response, ctx has not ended and the server keeps the connection open.
// Otherwise it closes c.
func (t *transport) roundTrip(ctx context.Context, c *conn, request *fasthttp.Request) (body []byte, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	response, err := c.exchange(request)
	if err == nil {
		body, err = readBody(response)
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	if !stop() || response.Close || c.responses.Buffered() > 0 {
		_ = c.Close()
	} else {
		t.putIdle(c)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return body, &statusError{status: response.StatusCode, body: string(body)}
	}
	return body, nil
}

// readBody reads the body of a response. It fails if the body exceeds maxBodyBytes.
func readBody(response *http.Response) (body []byte, err error) {
	body, err = io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		err = errBodyTooLarge
	}
	return body, err
}

func decodeResponse(body []byte, err error, result any) error {
	if err != nil || result == nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(body, result), "decode response")
}

// streamEvents sends body to path in a POST request, on a new connection that it closes
// afterwards. It passes the data of each server-sent event of the response to onEvent,
// until the stream ends, onEvent fails or ctx ends. It returns the error of onEvent or
// the cause of ctx in the latter cases. onEvent must not keep data after it has returned.
func (t *transport) streamEvents(ctx context.Context, path string, body any, onEvent func(data []byte) error) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(spool.ErrNotSent, err.Error())
	}
	c, err := t.dial(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	request := t.newRequest(fasthttp.MethodPost, path, encoded)
	defer fasthttp.ReleaseRequest(request)
	response, err := c.exchange(request)
	if err != nil {
		return contextCause(ctx, err)
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return &statusError{status: response.StatusCode, body: string(text)}
	}
	return contextCause(ctx, readEvents(response.Body, onEvent))
}

// contextCause returns the cause of ctx instead of err if ctx has ended, because the
// end of ctx closes the connection and thereby causes err. It returns err unchanged if
// ctx has not ended or err is nil.
func contextCause(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func readEvents(stream io.Reader, onEvent func(data []byte) error) error {
	const prefix = "data: "
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(nil, maxBodyBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		if len(line) <= len(prefix) || string(line[:len(prefix)]) != prefix {
			continue
		}
		if err := onEvent(line[len(prefix):]); err != nil {
			return err
		}
	}
	return scanner.Err()
}
