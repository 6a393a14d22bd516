package gateway_test

import (
	"io"
	"net/http"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/pkg/spool"
	"github.com/baobabspool/baobabspool/platform"
)

// panickingCodec panics where a message names "panic", in place of an error in the code
// that handles it.
type panickingCodec struct{ platform.Codec }

func (c panickingCodec) DecodeResponse(status int, header http.Header) spool.EndpointAnswer {
	if header.Get("X-Panic") != "" {
		panic("response")
	}
	return c.Codec.DecodeResponse(status, header)
}

func (c panickingCodec) DecodeRequest(request *http.Request) (spool.GatewayCall, error) {
	if strings.Contains(request.URL.Path, "panic") {
		panic("request")
	}
	return c.Codec.DecodeRequest(request)
}

func (c panickingCodec) DecodeEndpoint(key string, value []byte) (spool.EndpointRecord, error) {
	if key == "panic" {
		panic("record")
	}
	return c.Codec.DecodeEndpoint(key, value)
}

// The specs guard against one message, or one error in the code that handles it, that ends
// the process with all the requests that it serves.
var _ = ginkgo.Describe("A message whose handling panics", func() {
	start := func() *node {
		d := newDeployment()
		d.codec = panickingCodec{}
		d.publish()
		d.announceEndpoint("panic", "app", "127.0.0.1:1", "ready")
		d.addEndpoint("e1", "app", func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			if request.Target == "/open/answer" {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Panic: 1\r\nContent-Length: 0\r\n\r\n")
				return false
			}
			return u.AnswerComplete(conn, request, "ok")
		})
		n := d.startGateway("g1")
		n.waitUntilServed("/open/warm", "")
		return n
	}

	ginkgo.It("fails only its own request", func() {
		n := start()
		for _, path := range []string{"/open/panic", "/open/answer"} {
			r, _ := n.call("GET", path, "", "")
			gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
			gomega.Expect(r.status).To(gomega.Equal(http.StatusBadGateway), path)
		}
		n.waitUntilServed("/open/after", "")
	})
})

// Guards against an answer that is cut at the bound of the gateway's memory and passed on
// as if it were whole.
var _ = ginkgo.Describe("An answer larger than the gateway takes", func() {
	ginkgo.It("is not passed on as complete", func() {
		const answerBytes = 33 << 20
		d := newDeployment()
		d.publish()
		d.addEndpoint("e1", "app", func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			if request.Target == "/open/large" {
				return u.AnswerComplete(conn, request, strings.Repeat("x", answerBytes))
			}
			return u.AnswerComplete(conn, request, "ok")
		})
		n := d.startGateway("g1")
		n.waitUntilServed("/open/warm", "")
		r, _ := n.call("GET", "/open/large", "", "", withDeadline(5000))
		if r.err == nil {
			gomega.Expect(r.status).To(gomega.Equal(http.StatusBadGateway))
		}
	})
})
