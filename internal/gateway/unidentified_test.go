package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
)

var _ = ginkgo.Describe("An answer that names no request", func() {
	// newNode starts a gateway before one endpoint of the plain service, which calls answer for
	// each request. repeated reports whether the request came on a connection that was used
	// before.
	newNode := func(answer func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest, repeated bool) bool) *node {
		d := newDeployment()
		d.publish()
		var mu sync.Mutex
		used := map[io.Writer]bool{}
		d.addEndpoint("e1", "app", func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			mu.Lock()
			repeated := used[conn]
			used[conn] = true
			mu.Unlock()
			return answer(u, conn, request, repeated)
		})
		n := d.startGateway("g1")
		n.waitUntilServed("/lookup/warm", "key-1")
		return n
	}

	// Guards against an earlier refusal that an endpoint writes once more, without the
	// identifier of its request: it would say that a request has not run which the endpoint is
	// running, and another offer would run it once more.
	ginkgo.DescribeTable("is not taken for the answer on a connection that was used before", func(status int, lines string) {
		var mu sync.Mutex
		runs := map[string]int{}
		n := newNode(func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest, repeated bool) bool {
			// The gateway may answer as soon as the first byte has been written.
			mu.Lock()
			runs[request.Attempt()]++
			mu.Unlock()
			if repeated {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Odd\r\n%sContent-Length: 7\r\n\r\nanother", status, lines)
			}
			return u.AnswerComplete(conn, request, "own")
		})
		for range 10 {
			r, attempt := n.call("POST", "/charge/case", "key-1", "x")
			gomega.Expect(r.status).To(gomega.Or(gomega.Equal(http.StatusOK), gomega.Equal(http.StatusBadGateway)))
			gomega.Expect(r.body).NotTo(gomega.ContainSubstring("another"))
			mu.Lock()
			gomega.Expect(runs[attempt]).To(gomega.Equal(1))
			mu.Unlock()
		}
	},
		ginkgo.Entry("a refusal", http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n"),
		ginkgo.Entry("a refusal of a misdirected request", http.StatusMisdirectedRequest, "X-Not-Executed: 1\r\n"),
		ginkgo.Entry("a success", http.StatusOK, "X-Server-Seal: e1\r\n"),
		ginkgo.Entry("a failure", http.StatusInternalServerError, "X-Server-Seal: e1\r\n"),
	)

	// Guards against an endpoint that never names the request and of whose answers every second
	// one is discarded.
	ginkgo.It("is taken for the answer on a new connection, which is not used again", func() {
		var reused atomic.Bool
		n := newNode(func(_ *standin.Upstream, conn io.Writer, request standin.UpstreamRequest, repeated bool) bool {
			if repeated {
				reused.Store(true)
			}
			if strings.Contains(request.Target, "case") {
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
				return true
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Server-Seal: e1\r\nContent-Length: 3\r\n\r\nown")
			return true
		})
		for range 5 {
			r, _ := n.call("POST", "/charge/x", "key-1", "x")
			gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		}
		r, _ := n.call("POST", "/charge/case", "key-1", "x", withDeadline(500))
		gomega.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(reused.Load()).To(gomega.BeFalse())
	})
})
