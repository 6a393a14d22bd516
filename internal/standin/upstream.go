package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// UpstreamRequest is a request that an Upstream received.
type UpstreamRequest struct {
	Method string
	// Target is the request URI as sent, with the query.
	Target string
	Header http.Header
	Body   string
}

func newUpstreamRequest(request *http.Request, body string) UpstreamRequest {
	return UpstreamRequest{Method: request.Method, Target: request.RequestURI, Header: request.Header, Body: body}
}

// Upstream simulates an endpoint behind a gateway. It implements the published protocol
// of endpoints. It writes responses to raw connections, so that tests can also make it
// violate the protocol.
type Upstream struct {
	id       string
	listener net.Listener

	mu       sync.Mutex
	requests []UpstreamRequest
	// answer writes the response to a request and reports whether to keep the
	// connection open for further requests.
	answer func(conn io.Writer, request UpstreamRequest) (keep bool)
	// failedWrites counts the streamed responses that ended because an event could not
	// be written.
	failedWrites int
	// isLeaving makes each answer say that the endpoint leaves.
	isLeaving bool
	// earlyAnswer, unless nil, answers requests whose body has at least earlyMinBytes.
	earlyAnswer   EarlyAnswer
	earlyMinBytes int64
}

// NewUpstream starts an endpoint with the given identifier on a free loopback port.
// answer writes the response to each request and reports whether to keep the connection
// open. If answer is nil, the endpoint responds with status 200 and the body "ok".
func NewUpstream(id string, answer func(conn io.Writer, request UpstreamRequest) (keep bool)) (*Upstream, error) {
	return NewUpstreamAt("127.0.0.1:0", id, answer)
}

// Server returns the endpoint as a Server without a control port.
func (u *Upstream) Server() *Server { return &Server{service: u.listener} }

// NewUpstreamAt is like NewUpstream but listens on the given address.
func NewUpstreamAt(address, id string, answer func(conn io.Writer, request UpstreamRequest) (keep bool)) (*Upstream, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	u := &Upstream{id: id, listener: listener, answer: answer}
	if answer == nil {
		u.answer = func(conn io.Writer, request UpstreamRequest) bool { return u.AnswerComplete(conn, request, "ok") }
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u, nil
}

// Address returns the host:port of the endpoint.
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// Close stops accepting connections. Connections that are already open stay open.
func (u *Upstream) Close() { _ = u.listener.Close() }

// Requests returns the requests that the endpoint has received.
func (u *Upstream) Requests() []UpstreamRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]UpstreamRequest(nil), u.requests...)
}

// SetAnswer replaces the function that responds to requests.
func (u *Upstream) SetAnswer(answer func(conn io.Writer, request UpstreamRequest) (keep bool)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answer = answer
}

// FailedWrites returns the number of streamed responses that ended because an event
// could not be written, as when the gateway has disconnected.
func (u *Upstream) FailedWrites() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.failedWrites
}

// serve handles the requests of one connection in order, until answer reports false or the
// client closes the connection.
func (u *Upstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if u.answerEarly(conn, request) {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		received := newUpstreamRequest(request, string(body))
		u.mu.Lock()
		u.requests = append(u.requests, received)
		answer := u.answer
		u.mu.Unlock()
		if !answer(conn, received) {
			return
		}
	}
}

// writeHead writes the status line and the headers of a response. more contains
// further header lines and may contain the body.
func (u *Upstream) writeHead(conn io.Writer, request UpstreamRequest, status int, more string) {
	u.mu.Lock()
	leaving := ""
	if u.isLeaving {
		leaving = "Server-Leaving: 1\r\n"
	}
	u.mu.Unlock()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\n%s%s",
		status, http.StatusText(status), request.Attempt(), u.id, leaving, more)
}

// SetLeaving sets whether each answer says that the endpoint leaves.
func (u *Upstream) SetLeaving(leaving bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.isLeaving = leaving
}

// AnswerComplete responds with status 200, a seal and a complete body. The connection
// stays open.
func (u *Upstream) AnswerComplete(conn io.Writer, request UpstreamRequest, body string) bool {
	return u.AnswerStatus(conn, request, http.StatusOK, body)
}

// AnswerStatus responds with the given status, a seal and a complete body. It does not say
// that the request was not executed, whatever the status. The connection stays open.
func (u *Upstream) AnswerStatus(conn io.Writer, request UpstreamRequest, status int, body string) bool {
	u.writeHead(conn, request, status, fmt.Sprintf("X-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", u.id, len(body), body))
	return true
}

// AnswerTruncated responds with status 200, a seal and a body that is one byte shorter
// than its Content-Length, and has the connection closed.
func (u *Upstream) AnswerTruncated(conn io.Writer, request UpstreamRequest, body string) bool {
	u.writeHead(conn, request, http.StatusOK, fmt.Sprintf("X-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", u.id, len(body)+1, body))
	return false
}

// AnswerRawHead responds with a status and further header lines that need not be valid, the
// endpoint's seal and, after the head, a complete response with the given body. The
// connection stays open.
func (u *Upstream) AnswerRawHead(conn io.Writer, request UpstreamRequest, status, lines, body string) bool {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Server-Seal: %s\r\n%s\r\n",
		status, request.Attempt(), u.id, u.id, lines)
	return u.AnswerComplete(conn, request, body)
}

// AnswerNotExecuted responds with status 503 and a header that states that the request
// was not executed. The connection stays open.
func (u *Upstream) AnswerNotExecuted(conn io.Writer, request UpstreamRequest) bool {
	u.writeHead(conn, request, http.StatusServiceUnavailable, "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	return true
}

// AnswerStream responds with one server-sent event for each element of data, with a
// pause after each. If limit is at least 0 and less than the number of events, it stops
// after limit events and has the connection closed without the final HTTP chunk.
func (u *Upstream) AnswerStream(conn io.Writer, request UpstreamRequest, pause time.Duration, limit int, data ...string) bool {
	u.writeHead(conn, request, http.StatusOK, "X-Server-Seal: "+u.id+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for i, text := range data {
		if i == limit {
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, text)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			u.mu.Lock()
			u.failedWrites++
			u.mu.Unlock()
			return false
		}
		time.Sleep(pause)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// AnswerUnframedStream responds with a stream of the given text that has neither a length
// nor chunks and ends with its connection.
func (u *Upstream) AnswerUnframedStream(conn io.Writer, request UpstreamRequest, text string) bool {
	u.AnswerUnframed(conn, request, "text/event-stream", text)
	return false
}

// AnswerChunkedText responds with a stream of the given text in one chunk, with the final
// HTTP chunk.
func (u *Upstream) AnswerChunkedText(conn io.Writer, request UpstreamRequest, text string) bool {
	u.writeHead(conn, request, http.StatusOK, fmt.Sprintf("X-Server-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", u.id, len(text), text))
	return true
}
