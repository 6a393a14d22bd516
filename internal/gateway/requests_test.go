package gateway_test

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
)

var _ = ginkgo.Describe("A request", func() {
	var (
		d *deployment
		n *node
		u *standin.Upstream
	)
	ginkgo.BeforeEach(func() {
		d = newDeployment()
		d.publish()
		u = d.addEndpoint("e1", "app", nil)
		n = d.startGateway("g1")
		n.waitUntilServed("/lookup/a", "key-1")
	})

	// Guards against passing the key of a caller to an endpoint, and against callers
	// that forge headers that only the gateway may set.
	ginkgo.It("reaches the endpoint with its account and without key or forged headers", func() {
		r, attempt := n.call("POST", "/charge/x?y=%20z", "key-2", "body", func(_ *standin.CallerRequest, more http.Header) {
			maps.Copy(more, standin.ForgedHeaders())
			more.Set("X-Custom", "kept")
		})
		gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(standin.Seal(r.header)).To(gomega.Equal("e1"))
		requests := u.Requests()
		got := requests[len(requests)-1]
		gomega.Expect(got.Method + " " + got.Target + " " + got.Body).To(gomega.Equal("POST /charge/x?y=%20z body"))
		gomega.Expect(got.Attempt()).To(gomega.Equal(attempt))
		gomega.Expect(got.Account()).To(gomega.Equal("weavers"))
		gomega.Expect(got.ExpectedEndpoint()).To(gomega.Equal("e1"))
		gomega.Expect(got.Header.Get("X-Custom")).To(gomega.Equal("kept"))
		gomega.Expect(got.Header).NotTo(gomega.HaveKey("Authorization"))
		for name, forged := range standin.ForgedHeaders() {
			gomega.Expect(got.Header[name]).NotTo(gomega.Equal(forged))
		}
	})

	ginkgo.DescribeTable("is answered with the status for its route and key", func(path, key string, status int) {
		r, _ := n.call("GET", path, key, "")
		gomega.Expect(r.status).To(gomega.Equal(status))
	},
		ginkgo.Entry("no route", "/nowhere/", "key-1", http.StatusNotFound),
		ginkgo.Entry("no key", "/lookup/a", "", http.StatusUnauthorized),
		ginkgo.Entry("unknown key", "/lookup/a", "key-9", http.StatusUnauthorized),
		ginkgo.Entry("no key on a public route", "/open/a", "", http.StatusOK),
	)

	ginkgo.It("is refused without an identifier", func() {
		response, _ := n.sendRaw("GET /lookup/a HTTP/1.1\r\n" + rawHeaders(standin.CallerRequest{Key: "key-1"}) + "\r\n")
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusBadRequest))
	})

	ginkgo.DescribeTable("is rejected when it is malformed", func(text string, status int) {
		response, _ := n.sendRaw(text)
		gomega.Expect(response.StatusCode).To(gomega.Equal(status))
		n.waitUntilServed("/lookup/a", "key-1")
	},
		ginkgo.Entry("not HTTP", "hello\r\n\r\n", http.StatusBadRequest),
		ginkgo.Entry("conflicting Content-Length headers", "POST /charge/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", http.StatusBadRequest),
		ginkgo.Entry("huge headers", "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 40_000)+"\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge),
		ginkgo.Entry("huge body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n", http.StatusRequestEntityTooLarge),
	)

	// Guards against request smuggling, and against fields that only the gateway may set: an
	// endpoint could read a name without its blanks.
	ginkgo.DescribeTable("is rejected when the name of a field holds a blank", func(line string) {
		before := len(u.Requests())
		response, _ := n.sendRaw("POST /charge/x HTTP/1.1\r\n" + rawHeaders(standin.CallerRequest{Attempt: newAttempt(), Key: "key-1"}) + line + "\r\nContent-Length: 0\r\n\r\n")
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusBadRequest))
		gomega.Expect(u.Requests()).To(gomega.HaveLen(before))
	},
		ginkgo.Entry("inside", "X-Od d: 1"),
		ginkgo.Entry("before the colon", "X-Hold : 1"),
		ginkgo.Entry("before the colon of the length", "Content-Length : 4"),
		ginkgo.Entry("before the colon of the chunks", "Transfer-Encoding : chunked"),
	)

	// Guards against request smuggling: the body of a GET must not be parsed as the
	// next request.
	ginkgo.It("carries what looks like a second request as its body", func() {
		smuggled := "POST /charge/smuggled HTTP/1.1\r\n" + rawHeaders(standin.CallerRequest{Attempt: "s", Key: "key-1"}) + "Content-Length: 0\r\n\r\n"
		response, _ := n.sendRaw(fmt.Sprintf("GET /lookup/b HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", rawHeaders(standin.CallerRequest{Attempt: "outer", Key: "key-1"}), len(smuggled), smuggled))
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
		time.Sleep(100 * time.Millisecond)
		for _, got := range u.Requests() {
			gomega.Expect(got.Target).NotTo(gomega.ContainSubstring("smuggled"))
		}
	})

	ginkgo.It("gets a configuration soon after it is published, and no older one", func() {
		d.config["tenants"] = []map[string]any{{"name": "weavers", "api_keys": []string{"key-2"}}}
		d.publish()
		gomega.Eventually(func() int {
			r, _ := n.call("GET", "/lookup/a", "key-1", "")
			return r.status
		}, "2s", "20ms").Should(gomega.Equal(http.StatusUnauthorized))
		d.config["tenants"] = []map[string]any{{"name": "weavers", "api_keys": []string{"key-1"}}}
		d.version = 1
		d.publish()
		d.topics.PutConfiguration([]byte("{torn"))
		gomega.Consistently(func() int {
			r, _ := n.call("GET", "/lookup/a", "key-1", "")
			return r.status
		}, "1s", "100ms").Should(gomega.Equal(http.StatusUnauthorized))
	})
})

var _ = ginkgo.Describe("A request whose endpoint fails", func() {
	var d *deployment
	ginkgo.BeforeEach(func() {
		d = newDeployment()
		d.publish()
	})

	// countCaseRequests counts the requests whose path contains "/case".
	countCaseRequests := func(us ...*standin.Upstream) (count int) {
		for _, u := range us {
			for _, request := range u.Requests() {
				if strings.Contains(request.Target, "/case") {
					count++
				}
			}
		}
		return count
	}

	ginkgo.It("goes to another endpoint when it provably did not run", func() {
		shedding := d.addEndpoint("e1", "app", (*standin.Upstream).AnswerNotExecuted)
		healthy := d.addEndpoint("e2", "app", nil)
		n := d.startGateway("g1")
		n.waitUntilServed("/lookup/a", "key-1")
		for range 10 {
			r, _ := n.call("POST", "/charge/case", "key-1", "x")
			gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		}
		gomega.Expect(countCaseRequests(healthy)).To(gomega.Equal(10))
		_ = shedding
	})

	// addFillableEndpoint adds an endpoint of the plain service. While full is set, the
	// endpoint refuses all requests.
	addFillableEndpoint := func() (u *standin.Upstream, full *atomic.Bool) {
		full = &atomic.Bool{}
		u = d.addEndpoint("e1", "app", func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			if full.Load() {
				return u.AnswerNotExecuted(conn, request)
			}
			u.AnswerComplete(conn, request, "done")
			return true
		})
		return u, full
	}

	// Guards against refusing a call when all endpoints are full but a slot becomes
	// free some milliseconds later. Each such refusal fails a program.
	ginkgo.It("is offered again while all endpoints are full for a moment", func() {
		u, full := addFillableEndpoint()
		n := d.startGateway("g1")
		n.waitUntilServed("/lookup/a", "key-1")
		full.Store(true)
		time.AfterFunc(200*time.Millisecond, func() { full.Store(false) })
		r, _ := n.call("POST", "/charge/case", "key-1", "x")
		gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(countCaseRequests(u)).To(gomega.BeNumerically(">", 1))
	})

	ginkgo.It("is refused with a Retry-After header when the endpoints stay full", func() {
		_, full := addFillableEndpoint()
		n := d.startGateway("g1")
		n.waitUntilServed("/lookup/a", "key-1")
		full.Store(true)
		begun := time.Now()
		r, _ := n.call("POST", "/charge/case", "key-1", "x", withDeadline(1000))
		gomega.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(r.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		gomega.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 700*time.Millisecond))
	})

	// Guards against running a payment twice, and against reporting a payment that may
	// have run as not run.
	ginkgo.It("is not sent again when it may have run and must run once", func() {
		closeWithoutAnswer := func(_ *standin.Upstream, _ io.Writer, _ standin.UpstreamRequest) bool { return false }
		a, b := d.addEndpoint("e1", "app", closeWithoutAnswer), d.addEndpoint("e2", "app", closeWithoutAnswer)
		n := d.startGateway("g1")
		gomega.Eventually(func() int {
			n.call("POST", "/charge/case", "key-1", "x")
			return countCaseRequests(a, b)
		}, eventuallyTimeout, "50ms").Should(gomega.Equal(1))
		r, _ := n.call("POST", "/charge/case", "key-1", "x")
		gomega.Expect(countCaseRequests(a, b)).To(gomega.Equal(2))
		gomega.Expect(r.status).To(gomega.Equal(http.StatusBadGateway))
	})

	ginkgo.It("is sent again when it is idempotent, to as many endpoints as the route allows", func() {
		closeWithoutAnswer := func(_ *standin.Upstream, _ io.Writer, _ standin.UpstreamRequest) bool { return false }
		a, b, c := d.addEndpoint("e1", "app", closeWithoutAnswer), d.addEndpoint("e2", "app", closeWithoutAnswer), d.addEndpoint("e3", "app", closeWithoutAnswer)
		n := d.startGateway("g1")
		gomega.Eventually(func() int {
			r, _ := n.call("GET", "/lookup/warm", "key-1", "")
			return r.status
		}, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusBadGateway))
		n.call("GET", "/lookup/case", "key-1", "")
		gomega.Expect(countCaseRequests(a, b, c)).To(gomega.Equal(2))
	})

	// Guards against passing on the second of two answers that an endpoint sends on one
	// connection: it belongs to no request.
	ginkgo.It("does not get an answer that belongs to another request", func() {
		d.addEndpoint("e1", "app", func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			u.AnswerComplete(conn, request, "mine "+request.Attempt())
			request.Header = standin.CallerRequest{Attempt: "stranger"}.Header()
			return u.AnswerComplete(conn, request, "other")
		})
		n := d.startGateway("g1")
		n.waitUntilServed("/lookup/a", "key-1")
		for range 20 {
			r, attempt := n.call("GET", "/lookup/a", "key-1", "")
			gomega.Expect(r.body).To(gomega.Equal("mine " + attempt))
		}
	})

	ginkgo.It("does not get a success without the endpoint's seal, or one that is cut off", func() {
		var truncated atomic.Bool
		d.addEndpoint("e1", "app", func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			if truncated.Load() {
				return u.AnswerTruncated(conn, request, "half")
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbare")
			return true
		})
		n := d.startGateway("g1")
		for range 2 {
			gomega.Eventually(func() int {
				r, _ := n.call("POST", "/charge/a", "key-1", "")
				return r.status
			}, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusBadGateway))
			truncated.Store(true)
		}
	})

	ginkgo.It("is answered with 504 at the route's timeout", func() {
		hanging := d.addEndpoint("e1", "app", func(_ *standin.Upstream, _ io.Writer, _ standin.UpstreamRequest) bool {
			time.Sleep(3 * time.Second)
			return true
		})
		n := d.startGateway("g1")
		gomega.Eventually(func() int {
			start := time.Now()
			r, _ := n.call("POST", "/charge/case", "key-1", "")
			if countCaseRequests(hanging) > 0 {
				gomega.Expect(time.Since(start)).To(gomega.BeNumerically("~", 1500*time.Millisecond, 400*time.Millisecond))
			}
			return r.status
		}, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusGatewayTimeout))
	})

	ginkgo.It("is refused with a Retry-After header once its only endpoint drains", func() {
		u := d.addEndpoint("e1", "app", nil)
		n := d.startGateway("g1")
		n.waitUntilServed("/lookup/a", "key-1")
		d.announceEndpoint("e1", "app", u.Address(), "draining")
		gomega.Eventually(func() int {
			r, _ := n.call("GET", "/lookup/a", "key-1", "")
			return r.status
		}, "2s", "50ms").Should(gomega.Equal(http.StatusServiceUnavailable))
		r, _ := n.call("GET", "/lookup/a", "key-1", "")
		gomega.Expect(r.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	})

	ginkgo.It("is served despite forged endpoint records", func() {
		u := d.addEndpoint("e1", "app", nil)
		n := d.startGateway("g1")
		n.waitUntilServed("/lookup/a", "key-1")
		for _, forged := range []string{"{", `{"service":"app"}`, `{"service":1}`, `{"service":"app","address":"x","zone":"a","version":"v","slots":1,"state":"ready"}`, `{"service":"app","address":"127.0.0.1:1","zone":"a","version":"v","slots":1,"state":"odd"}`} {
			d.topics.PutEndpointText("forged", []byte(forged))
		}
		time.Sleep(600 * time.Millisecond)
		for range 10 {
			r, _ := n.call("GET", "/lookup/a", "key-1", "")
			gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		}
		gomega.Expect(len(u.Requests())).To(gomega.BeNumerically(">=", 10))
	})

	// Guards against endpoints that continue to work for a caller that has
	// disconnected, which would take a slot from other requests.
	ginkgo.It("is cancelled when its caller disconnects in the middle of a stream", func() {
		u := d.addEndpoint("m1", "models", func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			return u.AnswerStream(conn, request, 20*time.Millisecond, -1, strings.Fields(strings.Repeat("w ", 200))...)
		})
		n := d.startGateway("g1")
		gomega.Eventually(func() int {
			response, conn := n.sendRaw("POST /review/a HTTP/1.1\r\n" + rawHeaders(standin.CallerRequest{Attempt: newAttempt(), Key: "key-1"}) + "Content-Length: 0\r\n\r\n")
			if response.StatusCode == http.StatusOK {
				_ = conn.Close()
			}
			return response.StatusCode
		}, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusOK))
		gomega.Eventually(u.FailedWrites, "500ms", "10ms").Should(gomega.Equal(1))
	})
})
