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
	// readWithin is the time after which an endpoint that has begun its answer reads the upload.
	readWithin = 400 * time.Millisecond
)

var upload = strings.Repeat("x", uploadBytes)

// answerUploads makes an endpoint answer uploads without a length. A third of the answers are
// cut off at once by a reset of the connections to the endpoint, a third begin some time
// before the upload is read, and a third begin after.
func (e *endpoint) answerUploads(checker *checker, draw func(n int) int) {
	e.upstream.SetEarlyAnswer(uploadBytes, func(conn *net.TCPConn, request standin.UpstreamRequest, rest io.Reader) {
		lock := e.writeLock(conn)
		lock.Lock()
		defer lock.Unlock()
		attempt := request.Attempt()
		contentType, answer := "text/plain", answerOf(attempt)
		if e.service == "models" {
			contentType, answer = "text/event-stream", streamOf(attempt)
		}
		begin := func(text string) { e.upstream.AnswerUnframed(conn, request, contentType, text) }
		readUpload := func() error {
			body, err := io.ReadAll(rest)
			if err == nil {
				checker.checkBody(attempt, string(body))
			}
			return err
		}
		part := firstPart(answer)
		checker.recordRun(attempt, e.id)
		switch draw(3) {
		case 0:
			begin(part)
			time.Sleep(time.Duration(draw(int(resetWithin))))
			e.relay.reset()
		case 1:
			begin(part)
			time.Sleep(time.Duration(draw(int(readWithin))))
			if readUpload() == nil {
				_, _ = io.WriteString(conn, answer[len(part):])
			}
		default:
			if readUpload() == nil {
				begin(answer)
			}
		}
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
