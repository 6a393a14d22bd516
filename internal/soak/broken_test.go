package soak_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/baobabspool/baobabspool/internal/standin"
)

const (
	// brokenShare and repeatedShare are the shares of answers that an endpoint breaks and of
	// refusals that it writes once more: one in that many.
	brokenShare   = 40
	repeatedShare = 2
	// brokenMark stands in what must not reach a caller.
	brokenMark = "broken"
)

// answerFunc writes an answer to a request and reports whether the connection stays open.
type answerFunc func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) (keep bool)

// brokenAnswers are the answers of an endpoint in trouble to a request that it has run.
var brokenAnswers = []answerFunc{
	rawHead("000", ""),
	rawHead("000", "Content-Length: 0\r\n"),
	rawHead("600", "Content-Length: 6\r\n"),
	rawHead("200", "X-broken name: 1\r\nContent-Length: 6\r\n"),
	rawHead("200", "\tX-broken: 1\r\nContent-Length: 6\r\n"),
	rawHead("200", "Content-Length: 6\r\n\nX-broken: 1\r\n"),
	rawHead("200", "Transfer-Encoding : chunked\r\n"),
	func(_ *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: broken\r\nContent-Len", request.Attempt())
		return false
	},
	func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
		return u.AnswerStatus(conn, request, http.StatusServiceUnavailable, "busy")
	},
}

// rawHead returns an answer with a head that is not valid.
func rawHead(status, lines string) answerFunc {
	return func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
		return u.AnswerRawHead(conn, request, status, lines, brokenMark)
	}
}

// repeatRefusal writes a refusal of a request once more after a delay, with or without the
// identifier of the request, and not within an answer that is sent in parts.
func (e *endpoint) repeatRefusal(conn io.Writer, request standin.UpstreamRequest, delay time.Duration, named bool) {
	if !named {
		request.Header = http.Header{}
	}
	time.AfterFunc(delay, func() {
		lock := e.writeLock(conn)
		lock.Lock()
		defer lock.Unlock()
		e.upstream.AnswerNotExecuted(conn, request)
	})
}

// writeLock returns the mutex that is held while a late refusal or an answer in parts is
// written to conn.
func (e *endpoint) writeLock(conn io.Writer) *sync.Mutex {
	lock, _ := e.writeLocks.LoadOrStore(conn, new(sync.Mutex))
	return lock.(*sync.Mutex)
}
