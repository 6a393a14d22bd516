package httpconn

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/buffers"
	"github.com/baobabspool/baobabspool/pkg/clock"
)

// ErrCallerDisconnected means that writing the response failed, usually because the
// caller has disconnected.
var ErrCallerDisconnected = errors.New("caller has disconnected")

// writeTimeout bounds each write to a caller that may have stopped reading.
const writeTimeout = 5 * time.Second

// Exchange is one request and its response. It is not safe for concurrent use.
type Exchange struct {
	conn        net.Conn
	server      *Server
	request     *http.Request
	body        []byte
	idleTimeout clock.Millis
	// buffers counts the buffers of the request, until the handler returns.
	buffers *buffers.Account
	// closeAfterResponse is set if the server must close the connection after this
	// response.
	closeAfterResponse bool
	// started is set before the first byte of the response is written to conn.
	started bool
	// streaming is set between StartStream and EndStream.
	streaming bool
	// bodiless is set by StartStream if the response has no body. Chunks are then dropped.
	bodiless bool
	// buffer contains the part of the response that flush writes next.
	buffer []byte
	// status is the HTTP status of the response; 0 before Respond or StartStream.
	status int
}

// Request returns the request line and headers. The body is returned by Body; the
// Body of the request must not be read.
func (e *Exchange) Request() *http.Request { return e.request }

// Body returns the complete body of the request. The server does not use its memory for
// anything else, also after the end of the request.
func (e *Exchange) Body() []byte { return e.body }

// Buffers returns the account of the request's buffers, which contains its body. The
// handler adds what it needs to answer the request.
func (e *Exchange) Buffers() *buffers.Account { return e.buffers }

// Started reports whether a part of the response may have been sent. After that, the
// response cannot be replaced by another one. StartStream alone sends nothing.
func (e *Exchange) Started() bool { return e.started }

// Status returns the HTTP status of the response, or 0 before Respond or StartStream.
func (e *Exchange) Status() int { return e.status }

// Reject responds with status and an empty body. A positive retryAfter is sent
// in the Retry-After header, in seconds with three decimals. Errors are ignored.
func (e *Exchange) Reject(status int, retryAfter clock.Millis) {
	var header http.Header
	if retryAfter > 0 {
		seconds := strconv.FormatFloat(float64(retryAfter)/float64(clock.Second), 'f', 3, 64)
		header = http.Header{"Retry-After": {seconds}}
	}
	_ = e.Respond(status, header, nil)
}

// Respond writes a complete response, without the body if the method is HEAD. It replaces a
// stream that StartStream has prepared. It fails if the response has been started.
func (e *Exchange) Respond(status int, header http.Header, body []byte) error {
	if e.started {
		return errors.New("response has already been started")
	}
	e.streaming = false
	e.appendHead(status, header)
	if allowsBody(status) {
		e.buffer = append(e.buffer, "Content-Length: "...)
		e.buffer = strconv.AppendInt(e.buffer, int64(len(body)), 10)
		e.buffer = append(e.buffer, "\r\n"...)
	}
	e.buffer = append(e.buffer, "\r\n"...)
	if !e.isHead() {
		e.buffer = append(e.buffer, body...)
	}
	return e.flush()
}

// StartStream prepares a response with a chunked body, or without a body if the method is
// HEAD or the status allows none. The head is written together with the first chunk, or by
// Flush.
func (e *Exchange) StartStream(status int, header http.Header) {
	e.appendHead(status, header)
	e.bodiless = e.isHead() || !allowsBody(status)
	if !e.bodiless {
		e.buffer = append(e.buffer, "Transfer-Encoding: chunked\r\n"...)
	}
	e.buffer = append(e.buffer, "\r\n"...)
	e.streaming = true
}

// isHead reports whether the method is HEAD. It is false for a request that could not be
// read.
func (e *Exchange) isHead() bool { return e.request != nil && e.request.Method == http.MethodHead }

// allowsBody reports whether a response with the given final status may have a body.
func allowsBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// Flush writes the head of a stream without waiting for its first chunk.
func (e *Exchange) Flush() error { return e.flush() }

// WriteChunk writes one chunk of the body. Empty data is ignored, because an empty
// chunk would end the body.
func (e *Exchange) WriteChunk(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	e.appendChunk(data)
	return e.flush()
}

// EndStream writes data, which may be empty, as the last chunk, and then the end of the
// body.
func (e *Exchange) EndStream(data []byte) error {
	if len(data) > 0 {
		e.appendChunk(data)
	}
	if !e.bodiless {
		e.buffer = append(e.buffer, "0\r\n\r\n"...)
	}
	e.streaming = false
	return e.flush()
}

// Abort closes the connection at once, so that the caller cannot mistake a partial
// response for a complete one.
func (e *Exchange) Abort() {
	e.closeAfterResponse = true
	_ = e.conn.Close()
}

func (e *Exchange) appendChunk(data []byte) {
	if e.bodiless {
		return
	}
	e.buffer = strconv.AppendInt(e.buffer, int64(len(data)), 16)
	e.buffer = append(e.buffer, "\r\n"...)
	e.buffer = append(e.buffer, data...)
	e.buffer = append(e.buffer, "\r\n"...)
}

func (e *Exchange) appendHead(status int, header http.Header) {
	e.status = status
	e.buffer = append(e.buffer[:0], "HTTP/1.1 "...)
	e.buffer = strconv.AppendInt(e.buffer, int64(status), 10)
	e.buffer = append(e.buffer, ' ')
	e.buffer = append(e.buffer, http.StatusText(status)...)
	e.buffer = append(e.buffer, "\r\n"...)
	for name, values := range header {
		for _, value := range values {
			e.buffer = append(e.buffer, name...)
			e.buffer = append(e.buffer, ": "...)
			e.buffer = append(e.buffer, value...)
			e.buffer = append(e.buffer, "\r\n"...)
		}
	}
	if e.mustClose() {
		e.closeAfterResponse = true
		e.buffer = append(e.buffer, "Connection: close\r\n"...)
		return
	}
	e.buffer = append(e.buffer, "Keep-Alive: timeout="...)
	e.buffer = strconv.AppendInt(e.buffer, int64(e.idleTimeout/clock.Second), 10)
	e.buffer = append(e.buffer, "\r\n"...)
}

func (e *Exchange) flush() error {
	if len(e.buffer) == 0 {
		return nil
	}
	e.started = true
	_ = e.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := e.conn.Write(e.buffer)
	e.buffer = e.buffer[:0]
	if err != nil {
		e.closeAfterResponse = true
		return ErrCallerDisconnected
	}
	return nil
}

// finish is called after the handler has returned. It aborts a response that is missing
// or incomplete. It reports whether the connection stays open for another request, as
// the response's headers have announced.
func (e *Exchange) finish() (open bool) {
	switch {
	case !e.started || e.streaming:
		e.Abort()
	case e.closeAfterResponse:
		e.closeWrite()
	default:
		return true
	}
	return false
}

// releaseBuffers lets go of the buffers of a request that has ended. Its connection may
// stay idle for long.
func (e *Exchange) releaseBuffers() {
	e.body, e.buffer = nil, nil
	e.buffers.Release()
}

// closeWrite shuts down the connection's write side after a complete response. It sets
// a read deadline, so that the goroutine that waits for data from the caller returns and
// closes the connection.
func (e *Exchange) closeWrite() {
	if tcp, ok := e.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = e.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

func (e *Exchange) mustClose() bool {
	return e.closeAfterResponse || e.server.draining.Load() || e.server.closesConnections.Load()
}
