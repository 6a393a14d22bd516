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
	// eventEnd ends each event of a stream.
	eventEnd = "\n\n"
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
		checker.recordRun(request.Attempt(), e.id)
		answer := newUploadAnswer(e, request, conn)
		switch draw(3) {
		case 0:
			answer.begin(answer.firstPart)
			time.Sleep(time.Duration(draw(int(resetWithin))))
			e.relay.reset()
		case 1:
			answer.begin(answer.firstPart)
			time.Sleep(time.Duration(draw(int(readWithin))))
			if readUpload(checker, request, rest) {
				_, _ = io.WriteString(conn, answer.secondPart)
			}
		default:
			if readUpload(checker, request, rest) {
				answer.begin(answer.firstPart + answer.secondPart)
			}
		}
	})
}

// readUpload reads the rest of an upload and checks it. It reports false if the connection
// ends before.
func readUpload(checker *checker, request standin.UpstreamRequest, rest io.Reader) bool {
	body, err := io.ReadAll(rest)
	if err != nil {
		return false
	}
	checker.checkBody(request.Attempt(), string(body))
	return true
}

// uploadAnswer is the answer to an upload, in two parts.
type uploadAnswer struct {
	firstPart, secondPart string
	// begin writes the head of the answer and the given part of its body.
	begin func(part string)
}

// newUploadAnswer returns the answer of e to request, a stream if e is an engine. The first
// part of a stream is its first event, that of another answer is its first half.
func newUploadAnswer(e *endpoint, request standin.UpstreamRequest, conn io.Writer) *uploadAnswer {
	contentType, answer := "text/plain", answerOf(request.Attempt())
	end := len(answer) / 2
	if e.service == "models" {
		contentType, answer = "text/event-stream", streamOf(request.Attempt())
		end = strings.Index(answer, eventEnd) + len(eventEnd)
	}
	return &uploadAnswer{
		firstPart: answer[:end], secondPart: answer[end:],
		begin: func(part string) { e.upstream.AnswerUnframed(conn, request, contentType, part) },
	}
}
