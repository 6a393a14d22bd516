package gateway_test

import (
	"net/http"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("A gateway that has just started", func() {
	// Guards against refusing the requests that arrive between the opening of the listeners
	// and the first read of the configuration, at all gateways after a loss of power.
	ginkgo.It("keeps requests until it has read the configuration", func() {
		d := newDeployment()
		d.publish()
		d.addEndpoint("e1", "app", nil)
		n := d.startGateway("g1")
		for range 5 {
			n.kill()
			n.launch()
			r, _ := n.call("GET", "/open/x", "", "")
			gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		}
	})
})
