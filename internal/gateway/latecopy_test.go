package gateway_test

import (
	"io"
	"net/http"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
)

var _ = ginkgo.Describe("A late second copy of a refusal", func() {
	// Guards against a request that runs twice, because the copy of an earlier refusal is
	// taken for the answer to a later offer of the same request on the same connection.
	ginkgo.It("is not taken for the answer to a later offer", func() {
		d := newDeployment()
		d.publish()
		var mu sync.Mutex
		refusedOn, runs := map[string]io.Writer{}, map[string]int{}
		d.addEndpoint("e1", "app", func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			mu.Lock()
			defer mu.Unlock()
			attempt := request.Attempt()
			first, wasRefused := refusedOn[attempt]
			if !wasRefused {
				refusedOn[attempt] = conn
				return u.AnswerNotExecuted(conn, request)
			}
			if first == conn {
				u.AnswerNotExecuted(conn, request)
			}
			runs[attempt]++
			return u.AnswerComplete(conn, request, "ok")
		})
		n := d.startGateway("g1")
		n.waitUntilServed("/lookup/warm", "key-1")
		for range 30 {
			r, attempt := n.call("POST", "/charge/x", "key-1", "x")
			gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
			mu.Lock()
			gomega.Expect(runs[attempt]).To(gomega.Equal(1))
			mu.Unlock()
		}
	})
})
