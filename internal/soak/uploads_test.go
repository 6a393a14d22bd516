package soak_test

import (
	"io"
	"net"
	"strings"
	"time"

	"github.com/baobabspool/baobabspool/internal/standin"
)

const (
	// uploadBytes is more than the buffers of a connection hold.
	uploadBytes = 3 << 20
	// uploadShare is the share of requests without history that are uploads: one in that many.
	uploadShare = 20
	// resetWithin is the time in which the gateway still writes an upload that nobody reads.
	resetWithin = time.Millisecond
)

var upload = strings.Repeat("x", uploadBytes)

// answerUploads makes an endpoint answer uploads without a length: one half at once and
// with a part of the answer, after which the connections to the endpoint are reset, and the
// other half whole.
func (e *endpoint) answerUploads(checker *checker, draw func(n int) int) {
	e.upstream.SetEarlyAnswer(uploadBytes, func(conn *net.TCPConn, request standin.UpstreamRequest, rest io.Reader) {
		attempt := request.Attempt()
		contentType, answer := "text/plain", answerOf(attempt)
		if e.service == "models" {
			contentType, answer = "text/event-stream", streamOf(attempt)
		}
		checker.recordRun(attempt, e.id)
		if draw(2) == 0 {
			e.upstream.AnswerUnframed(conn, request, contentType, firstPart(answer))
			time.Sleep(time.Duration(draw(int(resetWithin))))
			e.relay.reset()
			return
		}
		body, err := io.ReadAll(rest)
		if err != nil {
			return
		}
		checker.checkBody(attempt, string(body))
		e.upstream.AnswerUnframed(conn, request, contentType, answer)
	})
}

// firstPart returns the first event of a stream, and the first half of another answer.
func firstPart(answer string) string {
	event, _, isStream := strings.Cut(answer, "\n\n")
	if isStream {
		return event + "\n\n"
	}
	return answer[:len(answer)/2]
}
