package gateway_test

import (
	"io"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
)

var _ = ginkgo.Describe("An answer with a broken head", func() {
	// brokenWithin is the time in which a request with a broken answer is answered. It is far
	// below the timeout of the route.
	const brokenWithin = 500 * time.Millisecond
	// hiddenAnswer is the body of the broken answers: a response that must not be taken for one.
	const hiddenAnswer = "hidden"

	// newNode starts a gateway before one endpoint, which sends a head with the given status
	// and further lines to POST requests.
	newNode := func(status, lines string) *node {
		d := newDeployment()
		d.publish()
		d.addEndpoint("e1", "app", func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			if request.Method == http.MethodPost {
				return u.AnswerRawHead(conn, request, status, lines, hiddenAnswer)
			}
			return u.AnswerComplete(conn, request, "ok")
		})
		n := d.startGateway("g1")
		n.waitUntilServed("/lookup/warm", "key-1")
		return n
	}

	// expectBadGateway sends a request whose answer is broken and expects that the caller is
	// told so at once, and that the gateway still serves other requests.
	expectBadGateway := func(n *node) {
		begun := time.Now()
		r, _ := n.call("POST", "/charge/case", "key-1", "x")
		gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.status).To(gomega.Equal(http.StatusBadGateway))
		gomega.Expect(r.body).NotTo(gomega.ContainSubstring(hiddenAnswer))
		gomega.Expect(standin.Seal(r.header)).To(gomega.BeEmpty())
		gomega.Expect(time.Since(begun)).To(gomega.BeNumerically("<", brokenWithin))
		r, _ = n.call("GET", "/lookup/after", "key-1", "")
		gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
	}

	// Guards against a status that HTTP does not have and that the caller gets as an answer,
	// and against a final answer that is skipped like an interim one, so that its body is read
	// as the next answer or the request waits for its timeout.
	ginkgo.DescribeTable("does not reach the caller if its status is none of HTTP", func(status string) {
		expectBadGateway(newNode(status, "Content-Length: 0\r\n"))
		expectBadGateway(newNode(status, "Content-Length: 100\r\n"))
	},
		ginkgo.Entry("zero", "000"),
		ginkgo.Entry("below the least", "099"),
		ginkgo.Entry("above the most", "600"),
		ginkgo.Entry("the largest number", "999"),
		ginkgo.Entry("with a sign", "+20"),
		ginkgo.Entry("a change of the protocol that was not asked for", "101"),
	)
})
