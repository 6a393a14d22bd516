package gateway_test

import (
	"fmt"
	"io"
	"net/http"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
)

var _ = ginkgo.Describe("An endpoint that answers with server errors", func() {
	// sendAll starts a gateway with four endpoints, of which one fails, and returns how many
	// of count requests reached that one.
	sendAll := func(isBalancing bool, count int) (failed int) {
		d := newDeployment()
		d.publish()
		for i := range 3 {
			d.addEndpoint(fmt.Sprintf("e%d", i), "app", nil)
		}
		d.addEndpoint("e3", "app", func(_ *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			_, err := fmt.Fprintf(conn, "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", request.Attempt())
			return err == nil
		})
		n := d.startGateway("g1")
		n.kill()
		n.settings.Balancing.Enabled = isBalancing
		n.launch()
		n.waitUntilServed("/lookup/a", "key-1")
		for range count {
			if r, _ := n.call("GET", "/lookup/a", "key-1", ""); r.status == http.StatusInternalServerError {
				failed++
			}
		}
		return failed
	}

	// Guards against a gateway whose requests show that an endpoint fails, and which uses it
	// all the same.
	ginkgo.It("is not used for a while", func() {
		gomega.Expect(sendAll(true, 40)).To(gomega.BeNumerically("<=", 4))
	})

	// Guards against a change of the behaviour while balancing is off. The endpoint gets a
	// quarter of the requests; a tenth of 40 is not rare enough by chance.
	ginkgo.It("is used like others while balancing is off", func() {
		gomega.Expect(sendAll(false, 160)).To(gomega.BeNumerically(">", 16))
	})
})
