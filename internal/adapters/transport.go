// Package adapters implements the interfaces of package spool for the platform's
// services: the log, the list of VMs, the model engines and the plain services.
// The adapters contain little logic, so a port to another platform only has to
// replace them.
package adapters

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http/httputil"
	"sync"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	dialTimeout = 1 * clock.Second
	// requestTimeout bounds each request except generations and service calls. The
	// wait of a long poll is added to it.
	requestTimeout = 3 * clock.Second
	// maxIdleConns is the maximum number of idle connections per transport.
	maxIdleConns = 16
	// maxBodyBytes is the maximum size of a response body that is read into memory
	// and of one event of a stream.
	maxBodyBytes = 64 << 20
)

// statusError is the error for a response with an unexpected HTTP status.
type statusError struct {
	status int
	body   string
}

func (e *statusError) Error() string {
	return fasthttp.StatusMessage(e.status) + ": " + e.body
}

// Is matches HTTP statuses to the corresponding errors of package spool. With
// each of these statuses the endpoint states that it has not run the request.
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
	reader *bufio.Reader
	writer *bufio.Writer
}

// transport sends HTTP requests to one address. Unlike the client of fasthttp it
// never retries a request, except a GET whose idle connection has failed. When
// the context is cancelled it closes the connection at once, so that the server
// notices.
type transport struct {
	address string

	mu   sync.Mutex
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
	return &conn{Conn: netConn, reader: bufio.NewReader(netConn), writer: bufio.NewWriter(netConn)}, nil
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

// get requests path and decodes the JSON response into result. wait is the
// duration of a long poll, 0 for other requests.
func (t *transport) get(ctx context.Context, path string, wait clock.Millis, result any) error {
	body, err := t.getBody(ctx, path, wait)
	return decodeResponse(body, err, result)
}

// closeIdleAfterTimeout closes all idle connections if ctx has timed out. The
// fault that stopped one connection from answering usually affects the others,
// and each of them would cost another timeout.
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
// connection if there is one, and retries once on a new connection if the idle one
// fails, usually because the server has closed it in the meantime.
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

// send sends a request exactly once, on a new connection, and decodes the JSON
// response into result. An error that wraps spool.ErrNotSent proves that nothing
// was sent.
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

// roundTrip sends request over c and returns the response body. It keeps c as an
// idle connection if the response was read completely, and closes it otherwise.
func (t *transport) roundTrip(ctx context.Context, c *conn, request *fasthttp.Request) (body []byte, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if err = writeRequest(c, request); err == nil {
		err = response.ReadLimitBody(c.reader, maxBodyBytes)
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	body = append([]byte(nil), response.Body()...)
	if !stop() || response.ConnectionClose() {
		_ = c.Close()
	} else {
		t.putIdle(c)
	}
	if response.StatusCode() >= fasthttp.StatusMultipleChoices {
		return body, &statusError{status: response.StatusCode(), body: string(body)}
	}
	return body, nil
}

func writeRequest(c *conn, request *fasthttp.Request) error {
	if err := request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

func decodeResponse(body []byte, err error, result any) error {
	if err != nil || result == nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(body, result), "decode response")
}

// streamEvents posts body to path and passes the data of each server-sent event
// of the response to onEvent, until the stream ends, onEvent fails or ctx ends.
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
	if err := writeRequest(c, request); err != nil {
		return err
	}
	header := fasthttp.ResponseHeader{}
	if err := header.Read(c.reader); err != nil {
		return contextCause(ctx, err)
	}
	stream := bodyReader(c, &header)
	if header.StatusCode() != fasthttp.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(stream, 4096))
		return &statusError{status: header.StatusCode(), body: string(text)}
	}
	return contextCause(ctx, readEvents(stream, onEvent))
}

func bodyReader(c *conn, header *fasthttp.ResponseHeader) io.Reader {
	if length := header.ContentLength(); length >= 0 {
		return io.LimitReader(c.reader, int64(length))
	}
	return httputil.NewChunkedReader(c.reader)
}

// contextCause returns the cause of ctx's cancellation in place of err, because
// the cancellation closes the connection and thereby causes err. It returns err
// unchanged while ctx is not cancelled.
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
