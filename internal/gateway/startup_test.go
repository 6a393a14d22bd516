package gateway_test

import (
	"net/http"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
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

	ginkgo.It("refuses requests with a Retry-After header if the configuration cannot be read", func() {
		d := newDeployment()
		d.publish()
		n := d.startGateway("g1")
		n.kill()
		n.storeServer.SetFaults(standin.TopicFaults{Mode: "busy"})
		n.launch()
		r, _ := n.call("GET", "/open/x", "", "")
		gomega.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(r.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	})
})
