package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
)

var _ = ginkgo.Describe("A gateway that stops while requests arrive slowly or last long", func() {
	const (
		// slowWork is longer than the time in which a gateway stops.
		slowWork = 6 * time.Second
		// afterDrain is the time after the start of a shutdown at which a gateway of the
		// specs takes no requests any more.
		afterDrain = 2500 * time.Millisecond
	)

	// start starts a gateway before an endpoint that needs slowWork for paths with "slow".
	start := func() (*node, *standin.Upstream) {
		d := newDeployment()
		route := d.config["routes"].([]map[string]any)[3]
		gomega.Expect(route["name"]).To(gomega.Equal("charge"))
		route["timeout_ms"] = 20000
		d.publish()
		u := d.addEndpoint("e1", "app", func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			if strings.Contains(request.Target, "slow") {
				time.Sleep(slowWork)
			}
			return u.AnswerComplete(conn, request, "ok")
		})
		n := d.startGateway("g1")
		n.waitUntilServed("/charge/warm", "key-1")
		return n, u
	}
	stop := func(n *node) (stopped chan error) {
		stopped = make(chan error, 1)
		g := n.gateway
		n.gateway = nil
		go func() { stopped <- g.Shutdown(background()) }()
		return stopped
	}
	countOf := func(u *standin.Upstream, target string) (count int) {
		for _, request := range u.Requests() {
			if request.Target == target {
				count++
			}
		}
		return count
	}

	// Guards against a request that a gateway passes on so late in its stop that it is cut
	// without an answer, though it must not be repeated.
	ginkgo.It("refuses a request whose body arrives too late, and does not pass it on", func() {
		n, u := start()
		conn, err := net.Dial("tcp4", n.settings.Listen)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = conn.Close() }()
		stopped := stop(n)
		caller := standin.CallerRequest{Attempt: newAttempt(), Key: "key-1", DeadlineMs: 10000}
		_, err = fmt.Fprintf(conn, "POST /charge/slow HTTP/1.1\r\nContent-Length: 4\r\n%s\r\n", rawHeaders(caller))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(afterDrain)
		_, err = io.WriteString(conn, "late")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_ = conn.SetReadDeadline(time.Now().Add(eventuallyTimeout))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(response.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		gomega.Expect(response.Close).To(gomega.BeTrue())
		gomega.Eventually(stopped, eventuallyTimeout).Should(gomega.Receive(gomega.BeNil()))
		gomega.Expect(countOf(u, "/charge/slow")).To(gomega.BeZero())
	})

	// Guards against a channel that is closed without an answer at the end of the stop.
	ginkgo.It("answers a request that lasts longer than the stop, without a promise", func() {
		n, u := start()
		answer := make(chan callerReply, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			r, _ := n.call("POST", "/charge/slow", "key-1", "x", withDeadline(15000))
			answer <- r
		}()
		gomega.Eventually(func() int { return countOf(u, "/charge/slow") }, eventuallyTimeout, "20ms").Should(gomega.Equal(1))
		stopped := stop(n)
		var r callerReply
		gomega.Eventually(answer, eventuallyTimeout).Should(gomega.Receive(&r))
		gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.status).To(gomega.Equal(http.StatusGatewayTimeout))
		gomega.Eventually(stopped, eventuallyTimeout).Should(gomega.Receive(gomega.BeNil()))
		gomega.Expect(countOf(u, "/charge/slow")).To(gomega.Equal(1))
	})

	// Guards against a stop that is shorter than the time for which requests are taken, so
	// that all requests are cut at its end.
	ginkgo.It("finishes requests also if it has little time to stop", func() {
		d := newDeployment()
		d.publish()
		d.addEndpoint("e1", "app", func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			if strings.Contains(request.Target, "work") {
				time.Sleep(500 * time.Millisecond)
			}
			return u.AnswerComplete(conn, request, "ok")
		})
		d.stopWithin = 2000
		n := d.startGateway("g1")
		n.waitUntilServed("/charge/warm", "key-1")
		stopped := stop(n)
		for range 20 {
			startedAt := time.Now()
			r, _ := n.call("POST", "/charge/work", "key-1", "x", withDeadline(1500))
			if r.status == 0 {
				gomega.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<", 100*time.Millisecond), "no connection was opened")
				break
			}
			gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
			gomega.Expect(r.status).To(gomega.BeElementOf(http.StatusOK, http.StatusServiceUnavailable))
		}
		gomega.Eventually(stopped, eventuallyTimeout).Should(gomega.Receive(gomega.BeNil()))
	})
})
