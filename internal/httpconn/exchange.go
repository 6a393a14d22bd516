package httpconn

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// ErrCallerGone means that the answer can no longer be written.
var ErrCallerGone = errors.New("caller is gone")

// writeTimeout bounds one write to a caller that does not read.
const writeTimeout = 5 * time.Second

// Exchange is one request with its answer. It is used by one goroutine.
type Exchange struct {
	conn        net.Conn
	server      *Server
	request     *http.Request
	body        []byte
	idleTimeout clock.Millis
	// closing says that the connection ends with this answer.
	closeAfterAnswer bool
	// started is set when the first byte of the answer has been written.
	started bool
	// streaming is set between StartStream and EndStream.
	streaming bool
	buffer    []byte
	status    int
}

// Request returns the request without its body.
func (e *Exchange) Request() *http.Request { return e.request }

// Body returns the whole body of the request.
func (e *Exchange) Body() []byte { return e.body }

// Started reports whether a part of the answer has been written.
func (e *Exchange) Started() bool { return e.started }

// Status returns the status that was written, 0 before.
func (e *Exchange) Status() int { return e.status }

// Reject answers with status and no body. A positive retryAfter becomes the
// Retry-After header.
func (e *Exchange) Reject(status int, retryAfter clock.Millis) {
	var header http.Header
	if retryAfter > 0 {
		seconds := strconv.FormatFloat(float64(retryAfter)/float64(clock.Second), 'f', 3, 64)
		header = http.Header{"Retry-After": {seconds}}
	}
	_ = e.Respond(status, header, nil)
}

// Respond writes a whole answer.
func (e *Exchange) Respond(status int, header http.Header, body []byte) error {
	if e.started {
		return errors.New("answer has been started")
	}
	e.appendHead(status, header)
	if status != http.StatusNoContent && status != http.StatusNotModified {
		e.buffer = append(e.buffer, "Content-Length: "...)
		e.buffer = strconv.AppendInt(e.buffer, int64(len(body)), 10)
		e.buffer = append(e.buffer, "\r\n"...)
	}
	e.buffer = append(e.buffer, "\r\n"...)
	if e.request == nil || e.request.Method != http.MethodHead {
		e.buffer = append(e.buffer, body...)
	}
	return e.flush()
}

// StartStream prepares an answer whose body follows in chunks. The head leaves
// with the first chunk.
func (e *Exchange) StartStream(status int, header http.Header) {
	e.appendHead(status, header)
	e.buffer = append(e.buffer, "Transfer-Encoding: chunked\r\n\r\n"...)
	e.streaming = true
}

// Flush writes the head of a stream before its first chunk.
func (e *Exchange) Flush() error { return e.flush() }

// Chunk writes a part of the body.
func (e *Exchange) Chunk(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	e.appendChunk(data)
	return e.flush()
}

// EndStream writes the last part of the body and its end.
func (e *Exchange) EndStream(data []byte) error {
	if len(data) > 0 {
		e.appendChunk(data)
	}
	e.buffer = append(e.buffer, "0\r\n\r\n"...)
	e.streaming = false
	return e.flush()
}

// Abort closes the connection, so that what was written cannot pass for whole.
func (e *Exchange) Abort() {
	e.closeAfterAnswer = true
	_ = e.conn.Close()
}

func (e *Exchange) appendChunk(data []byte) {
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
		e.closeAfterAnswer = true
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
		e.closeAfterAnswer = true
		return ErrCallerGone
	}
	return nil
}

// finish closes an answer that the handler left incomplete. It reports whether the
// connection can carry another request, as the caller was told.
func (e *Exchange) finish() (open bool) {
	switch {
	case !e.started || e.streaming:
		e.Abort()
	case e.closeAfterAnswer:
		e.closeWrite()
	default:
		return true
	}
	return false
}

// closeWrite ends the connection after a whole answer, so that the reader, which
// waits for the caller, returns.
func (e *Exchange) closeWrite() {
	if tcp, ok := e.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = e.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

func (e *Exchange) mustClose() bool {
	return e.closeAfterAnswer || e.server.draining.Load() || e.server.closesConnections.Load()
}
