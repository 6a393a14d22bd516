package standin

import (
	"io"
	"net"
	"net/http"
)

// EarlyAnswer answers a request before its body has been read. The Body of request is
// empty; rest reads it. The connection is closed when EarlyAnswer returns.
type EarlyAnswer func(conn *net.TCPConn, request UpstreamRequest, rest io.Reader)

// SetEarlyAnswer makes the endpoint answer requests whose body has at least minBytes with
// answer, before it reads their body. Unless answer is nil, it goes before the function of
// SetAnswer.
func (u *Upstream) SetEarlyAnswer(minBytes int64, answer EarlyAnswer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.earlyMinBytes, u.earlyAnswer = minBytes, answer
}

// answerEarly answers request before its body has been read, and reports whether it has
// done so.
func (u *Upstream) answerEarly(conn net.Conn, request *http.Request) bool {
	u.mu.Lock()
	answer := u.earlyAnswer
	if answer == nil || request.ContentLength < u.earlyMinBytes {
		u.mu.Unlock()
		return false
	}
	received := newUpstreamRequest(request, "")
	u.requests = append(u.requests, received)
	u.mu.Unlock()
	answer(conn.(*net.TCPConn), received, request.Body)
	return true
}

// AnswerUnframed responds with status 200, a seal and text as the beginning of a body that
// has neither a length nor chunks and ends with its connection.
func (u *Upstream) AnswerUnframed(conn io.Writer, request UpstreamRequest, contentType, text string) {
	u.writeHead(conn, request, http.StatusOK, "X-Server-Seal: "+u.id+"\r\nContent-Type: "+contentType+"\r\nConnection: close\r\n\r\n"+text)
}

// Reset ends a connection with a TCP reset.
func Reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
