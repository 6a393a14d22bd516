package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
)

var _ = ginkgo.Describe("An endpoint whose answer says that it leaves", func() {
	// answers contains how an endpoint answers while it leaves.
	answers := map[string]func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool{
		"a success": func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			return u.AnswerComplete(conn, request, "ok")
		},
		"a refusal": func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			return u.AnswerNotExecuted(conn, request)
		},
		"a failure": func(_ *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 500 Error\r\nX-Attempt-Id: %s\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n", request.Attempt())
			return true
		},
		"an interim answer": func(_ *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 102 Processing\r\nServer-Leaving: 1\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: e1\r\nContent-Length: 2\r\n\r\nok", request.Attempt())
			return true
		},
		"a stream": streamTwoEvents,
	}

	// Guards against requests to an endpoint that has said that it leaves. Its record says
	// that it is ready until it ends.
	ginkgo.DescribeTable("gets no more requests, and the others get them", func(kind, path string) {
		d := newDeployment()
		d.publish()
		var leaving atomic.Bool
		service := map[string]string{"/review/x": "models", "/lookup/x": "app"}[path]
		leaver := d.addEndpoint("e1", service, func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			if leaving.Load() {
				return answers[kind](u, conn, request)
			}
			return u.AnswerComplete(conn, request, "ok")
		})
		n := d.startGateway("g1")
		n.waitUntilServed(path, "key-1")
		leaver.SetLeaving(kind != "a failure" && kind != "an interim answer")
		leaving.Store(true)
		r, _ := n.call("GET", path, "key-1", "")
		if kind == "a success" {
			gomega.Expect(r.header.Get("Server-Leaving")).To(gomega.Equal("1"), "the caller is told as well")
		}
		seen := len(leaver.Requests())
		d.announceEndpoint("e1", service, leaver.Address(), "ready")
		time.Sleep(time.Second)
		r, _ = n.call("GET", path, "key-1", "")
		gomega.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(r.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		d.addEndpoint("e2", service, nil)
		n.waitUntilServed(path, "key-1")
		gomega.Expect(leaver.Requests()).To(gomega.HaveLen(seen))
		// A later start of the same endpoint is used again.
		leaving.Store(false)
		leaver.SetLeaving(false)
		entry := standin.EndpointEntry{Service: service, Address: leaver.Address(), Zone: "a", Version: "v1", Slots: 4, State: "ready", Sequence: 1, Born: 2}
		gomega.Expect(d.topics.PutEndpoint("e1", entry)).To(gomega.Succeed())
		gomega.Eventually(func() int {
			n.waitUntilServed(path, "key-1")
			return len(leaver.Requests())
		}, eventuallyTimeout, "5ms").Should(gomega.BeNumerically(">", seen))
	},
		ginkgo.Entry("after a success", "a success", "/lookup/x"), ginkgo.Entry("after a refusal", "a refusal", "/lookup/x"),
		ginkgo.Entry("after a failure", "a failure", "/lookup/x"), ginkgo.Entry("after an interim answer", "an interim answer", "/lookup/x"),
		ginkgo.Entry("after a stream", "a stream", "/review/x"))

	// Guards against callers that are refused at once while all endpoints of a service leave
	// and still serve.
	ginkgo.It("serves for a while if it is the only one", func() {
		d := newDeployment()
		d.drainWithin = 2000
		d.publish()
		u := d.addEndpoint("e1", "app", nil)
		n := d.startGateway("g1")
		n.waitUntilServed("/lookup/x", "key-1")
		u.SetLeaving(true)
		startedAt := time.Now()
		status := http.StatusOK
		for status == http.StatusOK && time.Since(startedAt) < 3*time.Second {
			r, _ := n.call("GET", "/lookup/x", "key-1", "")
			status = r.status
		}
		gomega.Expect(time.Since(startedAt)).To(gomega.BeNumerically("~", time.Second, 300*time.Millisecond))
	})
})
