package gateway_test

import (
	"io"
	"net/http"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
)

var _ = ginkgo.Describe("A status that promises that the request did not run", func() {
	// Guards against a promise that nobody made: only the header that says so does. The request
	// may have run, and its caller would send it again.
	ginkgo.DescribeTable("does not reach the caller of a request that must run once unless the endpoint says so", func(status int) {
		d := newDeployment()
		d.publish()
		u := d.addEndpoint("e1", "app", func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			if strings.Contains(request.Target, "case") {
				return u.AnswerStatus(conn, request, status, "busy")
			}
			return u.AnswerComplete(conn, request, "ok")
		})
		n := d.startGateway("g1")
		n.waitUntilServed("/lookup/warm", "key-1")
		r, attempt := n.call("POST", "/charge/case", "key-1", "x")
		gomega.Expect(r.status).To(gomega.Equal(http.StatusBadGateway))
		gomega.Expect(standin.Seal(r.header)).To(gomega.BeEmpty())
		offers := 0
		for _, request := range u.Requests() {
			if request.Attempt() == attempt {
				offers++
			}
		}
		gomega.Expect(offers).To(gomega.Equal(1))
		r, _ = n.call("GET", "/lookup/case", "key-1", "")
		gomega.Expect(r.status).To(gomega.Equal(status), "an idempotent request may be repeated")
	},
		ginkgo.Entry("408", http.StatusRequestTimeout),
		ginkgo.Entry("429", http.StatusTooManyRequests),
		ginkgo.Entry("503", http.StatusServiceUnavailable),
	)
})
