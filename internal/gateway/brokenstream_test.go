package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
)

var _ = ginkgo.Describe("A stream that breaks off before another endpoint answers with an error", func() {
	const failure = "failure of the next endpoint"

	// newNode starts a gateway before two endpoints. The first one that gets a request answers
	// it with the beginning of a stream, and the next one with an error.
	newNode := func(beginning string) *node {
		d := newDeployment()
		d.publish()
		var mu sync.Mutex
		begun := map[string]bool{}
		answer := func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			mu.Lock()
			isFirst := !begun[request.Attempt()]
			begun[request.Attempt()] = true
			mu.Unlock()
			switch {
			case !strings.Contains(request.Target, "case"):
				return streamTwoEvents(u, conn, request)
			case isFirst:
				return u.AnswerUnframedStream(conn, request, beginning)
			default:
				return u.AnswerStatus(conn, request, http.StatusInternalServerError, failure)
			}
		}
		for _, id := range []string{"m1", "m2"} {
			d.addEndpoint(id, "models", answer)
		}
		n := d.startGateway("g1")
		n.waitUntilServed("/review/warm", "key-1")
		return n
	}

	// Guards against the text of an error in the middle of a stream.
	ginkgo.It("stays as it is once the caller has got an event", func() {
		n := newNode("id: 1\ndata: one\n\nid: 2\nda")
		r, _ := n.call("POST", "/review/case", "key-1", "x")
		gomega.Expect(r.err).To(gomega.HaveOccurred(), "the stream must not look complete")
		gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(r.body).To(gomega.Equal("id: 1\ndata: one\n\n"))
	})

	// Guards against an answer that has the framing of the stream that was not begun, or whose
	// connection is closed although its head says that it stays open.
	ginkgo.It("is replaced by the error as a whole answer if the caller has got nothing", func() {
		n := newNode("id: 1\nda")
		conn, err := net.Dial("tcp4", n.settings.Listen)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(func() { _ = conn.Close() })
		_ = conn.SetReadDeadline(time.Now().Add(eventuallyTimeout))
		reader := bufio.NewReader(conn)
		for _, path := range []string{"case", "after"} {
			_, err = io.WriteString(conn, "POST /review/"+path+" HTTP/1.1\r\n"+rawHeaders(standin.CallerRequest{Attempt: newAttempt(), Key: "key-1", DeadlineMs: 3000})+"Content-Length: 0\r\n\r\n")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			response, err := http.ReadResponse(reader, nil)
			gomega.Expect(err).NotTo(gomega.HaveOccurred(), path)
			body, err := io.ReadAll(response.Body)
			gomega.Expect(err).NotTo(gomega.HaveOccurred(), path)
			if path == "case" {
				gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusInternalServerError))
				gomega.Expect(string(body)).To(gomega.Equal(failure))
				gomega.Expect(response.Close).To(gomega.BeFalse())
				continue
			}
			gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
		}
	})
})
