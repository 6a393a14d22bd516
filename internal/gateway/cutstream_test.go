package gateway_test

import (
	"io"
	"net/http"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
)

var _ = ginkgo.Describe("A stream that ends inside an event", func() {
	const cutStream = "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\nda"

	// newNode starts a gateway before one endpoint, which answers with cut to requests whose
	// body contains "cut", and with whole to the others.
	newNode := func(cut, whole func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool) (*node, *standin.Upstream) {
		d := newDeployment()
		d.publish()
		u := d.addEndpoint("m1", "models", func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			if strings.Contains(request.Body, "cut") {
				return cut(u, conn, request)
			}
			return whole(u, conn, request)
		})
		n := d.startGateway("g1")
		n.waitUntilServed("/review/warm", "key-1")
		return n, u
	}
	unframed := func(text string) func(*standin.Upstream, io.Writer, standin.UpstreamRequest) bool {
		return func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			return u.AnswerUnframedStream(conn, request, text)
		}
	}
	chunked := func(text string) func(*standin.Upstream, io.Writer, standin.UpstreamRequest) bool {
		return func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			return u.AnswerChunkedText(conn, request, text)
		}
	}

	// Guards against a stream that looks complete to the caller after its endpoint has
	// crashed, and against a cut turn that is kept and continued.
	ginkgo.DescribeTable("is not complete for the caller, and its turn is not kept", func(cut func(*standin.Upstream, io.Writer, standin.UpstreamRequest) bool) {
		n, _ := newNode(cut, streamTwoEvents)
		r, id := n.call("POST", "/chat/", "key-1", "cut\n")
		gomega.Expect(r.err).To(gomega.HaveOccurred())
		gomega.Expect(r.body).To(gomega.HaveSuffix("data: two\n\n"), "whole events only")
		r, _ = n.call("POST", "/chat/", "key-1", "more\n", withPrevious(id))
		gomega.Expect(r.status).To(gomega.Equal(http.StatusNotFound))
		r, _ = n.call("POST", "/review/", "key-1", "cut\n")
		gomega.Expect(r.err).To(gomega.HaveOccurred())
	}, ginkgo.Entry("without a length", unframed(cutStream)), ginkgo.Entry("in chunks with a proper end", chunked(cutStream)))

	ginkgo.It("is answered as one without an answer if no event was complete", func() {
		n, _ := newNode(unframed("id: 1\nda"), streamTwoEvents)
		r, _ := n.call("POST", "/chat/", "key-1", "cut\n")
		gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.status).To(gomega.Equal(http.StatusBadGateway))
	})

	// Guards against a sound stream that is taken for a broken one, for its framing or for
	// its line ends.
	ginkgo.DescribeTable("is told from one that ends between events", func(answer func(*standin.Upstream, io.Writer, standin.UpstreamRequest) bool) {
		n, u := newNode(nil, answer)
		r, id := n.call("POST", "/chat/", "key-1", "hello\n")
		gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		r, _ = n.call("POST", "/chat/", "key-1", "more\n", withPrevious(id))
		gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		requests := u.Requests()
		gomega.Expect(requests[len(requests)-1].Body).To(gomega.Equal("hello\none\ntwo\nmore\n"))
	}, ginkgo.Entry("without a length", unframed("id: 1\ndata: one\n\nid: 2\ndata: two\n\n")),
		ginkgo.Entry("with empty lines at the end", chunked("id: 1\ndata: one\n\nid: 2\ndata: two\n\n\n")),
		ginkgo.Entry("with carriage returns", unframed("id: 1\r\ndata: one\r\n\r\nid: 2\r\ndata: two\r\n\r\n")))
})
