package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
)

var _ = ginkgo.Describe("An endpoint that answers an upload at once, without a length", func() {
	const (
		// uploadBytes is more than the buffers of both sockets hold.
		uploadBytes = 3 << 20
		// answers is the number of answers of each kind. Whether the read or the write of the
		// gateway notices a reset first is up to chance.
		answers   = 50
		partEvent = "id: 1\ndata: one\n\n"
		partBody  = "part"
		// settleTime is the time in which the gateway notices the end of a connection.
		settleTime = 5 * time.Millisecond
		// pause is longer than the time after which a peer counts as silent.
		pause = 4 * time.Second
		// pauseTimeoutMs leaves time for the pause in ms.
		pauseTimeoutMs = 8000
	)
	upload := strings.Repeat("x", uploadBytes)

	// newNode starts a gateway before an endpoint of each service. They answer uploads before
	// they read them, and then end the connection with end.
	newNode := func(end func(conn *net.TCPConn, rest io.Reader)) (n *node, app *standin.Upstream) {
		d := newDeployment()
		d.config["routes"] = append(d.config["routes"].([]map[string]any),
			map[string]any{"name": "long-chat", "host": testHost, "path_prefix": "/long-chat/", "kind": "streaming", "timeout_ms": pauseTimeoutMs, "service": "models", "attempts": 1, "keeps_history": true, "retention_s": 60},
			map[string]any{"name": "long-charge", "host": testHost, "path_prefix": "/long-charge/", "kind": "non_idempotent", "timeout_ms": pauseTimeoutMs, "service": "app", "attempts": 1},
		)
		d.publish()
		answerEarly := func(u *standin.Upstream, contentType, text string) {
			u.SetEarlyAnswer(uploadBytes, func(conn *net.TCPConn, request standin.UpstreamRequest, rest io.Reader) {
				u.AnswerUnframed(conn, request, contentType, text)
				end(conn, rest)
			})
		}
		answerEarly(d.addEndpoint("m1", "models", streamTwoEvents), "text/event-stream", partEvent)
		app = d.addEndpoint("e1", "app", nil)
		answerEarly(app, "text/plain", partBody)
		n = d.startGateway("g1")
		n.waitUntilServed("/review/warm", "key-1")
		n.waitUntilServed("/charge/warm", "key-1")
		return n, app
	}

	// Guards against a part of an answer that a caller gets as the whole one, against a request
	// that is sent again although it may have run, and against a cut turn that is kept.
	ginkgo.DescribeTable("has not completed the answer when the connection is reset", func(end func(conn *net.TCPConn, rest io.Reader)) {
		n, app := newNode(end)
		before := len(app.Requests())
		for range answers {
			r, _ := n.call("POST", "/charge/case", "key-1", upload)
			gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
			gomega.Expect(r.status).To(gomega.Equal(http.StatusBadGateway))
			gomega.Expect(r.body).NotTo(gomega.ContainSubstring(partBody))
			gomega.Expect(standin.Seal(r.header)).To(gomega.BeEmpty())
		}
		gomega.Expect(app.Requests()).To(gomega.HaveLen(before + answers))
		for range answers {
			r, turn := n.call("POST", "/chat/case", "key-1", upload)
			if r.err == nil {
				gomega.Expect(r.status).To(gomega.Equal(http.StatusBadGateway), "the stream must not look complete")
			}
			gomega.Expect(r.body).To(gomega.Or(gomega.BeEmpty(), gomega.Equal(partEvent)))
			r, _ = n.call("POST", "/chat/case", "key-1", "more\n", withPrevious(turn))
			gomega.Expect(r.status).To(gomega.Equal(http.StatusNotFound), "the turn must not be kept")
		}
	},
		ginkgo.Entry("at once", func(conn *net.TCPConn, _ io.Reader) { standin.Reset(conn) }),
		ginkgo.Entry("while it reads", func(conn *net.TCPConn, rest io.Reader) {
			_, _ = io.CopyN(io.Discard, rest, uploadBytes/8)
			standin.Reset(conn)
		}),
		ginkgo.Entry("because it closes the connection", func(conn *net.TCPConn, _ io.Reader) { _ = conn.Close() }),
	)

	// Guards against a complete answer that is taken for a broken one.
	ginkgo.DescribeTable("has completed the answer when it ends the connection in order", func(end func(conn *net.TCPConn, rest io.Reader)) {
		n, _ := newNode(end)
		for range answers / 5 {
			for path, body := range map[string]string{"/charge/case": partBody, "/chat/case": partEvent} {
				r, _ := n.call("POST", path, "key-1", upload)
				gomega.Expect(r.err).NotTo(gomega.HaveOccurred(), path)
				gomega.Expect(r.status).To(gomega.Equal(http.StatusOK), path)
				gomega.Expect(r.body).To(gomega.Equal(body), path)
			}
		}
	},
		ginkgo.Entry("and reads the rest of the upload", func(conn *net.TCPConn, rest io.Reader) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, rest)
		}),
		ginkgo.Entry("and resets it later", func(conn *net.TCPConn, _ io.Reader) {
			_ = conn.CloseWrite()
			time.Sleep(settleTime)
			standin.Reset(conn)
		}),
	)

	// Guards against a sound endpoint that is taken for a silent one, because it reads the
	// upload late.
	ginkgo.DescribeTable("has completed the answer although it reads nothing for a while", func(path, body string) {
		n, _ := newNode(func(conn *net.TCPConn, rest io.Reader) {
			time.Sleep(pause)
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, rest)
		})
		r, _ := n.call("POST", path, "key-1", upload, withDeadline(pauseTimeoutMs))
		gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(r.body).To(gomega.Equal(body))
	},
		ginkgo.Entry("in a plain answer", "/long-charge/case", partBody),
		ginkgo.Entry("in a stream", "/long-chat/case", partEvent),
	)
})
