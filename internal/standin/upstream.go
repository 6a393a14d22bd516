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

// UpstreamRequest is a request as an upstream endpoint received it.
type UpstreamRequest struct {
	Method string
	Target string
	Header http.Header
	Body   string
}

// Upstream is a stand-in of an endpoint behind a gateway. It speaks the published
// protocol of servers on raw connections, so that it can also break it.
type Upstream struct {
	id       string
	listener net.Listener

	mu       sync.Mutex
	requests []UpstreamRequest
	// answer makes the answer to a request.
	answer func(conn io.Writer, request UpstreamRequest) (keep bool)
	// cut counts the connections that ended while a request was answered.
	failedWrites int
}

// NewUpstream starts an endpoint under an identifier. answer writes the answer to
// each request and reports whether the connection goes on; nil answers with 200.
func NewUpstream(id string, answer func(conn io.Writer, request UpstreamRequest) (keep bool)) (*Upstream, error) {
	return NewUpstreamAt("127.0.0.1:0", id, answer)
}

// Server returns the endpoint as a stand-in without a control port.
func (u *Upstream) Server() *Server { return &Server{service: u.listener} }

// NewUpstreamAt is NewUpstream at an address.
func NewUpstreamAt(address, id string, answer func(conn io.Writer, request UpstreamRequest) (keep bool)) (*Upstream, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	u := &Upstream{id: id, listener: listener, answer: answer}
	if answer == nil {
		u.answer = func(conn io.Writer, request UpstreamRequest) bool { return u.Whole(conn, request, "ok") }
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

// Close stops accepting.
func (u *Upstream) Close() { _ = u.listener.Close() }

// Requests returns what the endpoint has received.
func (u *Upstream) Requests() []UpstreamRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]UpstreamRequest(nil), u.requests...)
}

// SetAnswer replaces how requests are answered.
func (u *Upstream) SetAnswer(answer func(conn io.Writer, request UpstreamRequest) (keep bool)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answer = answer
}

// Cut returns how many answers could not be written to their end.
func (u *Upstream) Cut() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.failedWrites
}

func (u *Upstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		received := UpstreamRequest{Method: request.Method, Target: request.RequestURI, Header: request.Header, Body: string(body)}
		u.mu.Lock()
		u.requests = append(u.requests, received)
		answer := u.answer
		u.mu.Unlock()
		if !answer(conn, received) {
			return
		}
	}
}

// head writes the status line and the headers of an answer.
func (u *Upstream) writeHead(conn io.Writer, request UpstreamRequest, status int, more string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\n%s",
		status, http.StatusText(status), request.Header.Get("X-Attempt-Id"), u.id, more)
}

// Whole answers with 200 and a sealed body.
func (u *Upstream) Whole(conn io.Writer, request UpstreamRequest, body string) bool {
	u.writeHead(conn, request, http.StatusOK, fmt.Sprintf("X-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", u.id, len(body), body))
	return true
}

// Torn answers with 200 and a sealed body that ends before its length.
func (u *Upstream) Torn(conn io.Writer, request UpstreamRequest, body string) bool {
	u.writeHead(conn, request, http.StatusOK, fmt.Sprintf("X-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", u.id, len(body)+1, body))
	return false
}

// Shed answers that the request has not run.
func (u *Upstream) Shed(conn io.Writer, request UpstreamRequest) bool {
	u.writeHead(conn, request, http.StatusServiceUnavailable, "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	return true
}

// Stream answers with events that carry data, each after a pause. It ends early,
// without the end of the body, after limit events unless limit is negative.
func (u *Upstream) Stream(conn io.Writer, request UpstreamRequest, pause time.Duration, limit int, data ...string) bool {
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
