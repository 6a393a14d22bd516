package gateway_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
)

// A configuration grows by more than a thousand routes in one version. The specs guard
// against a gateway on which it comes into force late, or not at all, because it is too
// large for a call or for the way by another gateway.
var _ = ginkgo.Describe("A configuration of 1,400 routes", func() {
	const routes = 1400

	publishRoutes := func(d *deployment) {
		first := d.config["routes"].([]map[string]any)
		all := slices.Clone(first)
		for i := range routes {
			route := maps.Clone(first[len(first)-1])
			route["name"], route["path_prefix"] = fmt.Sprintf("added-%d", i), fmt.Sprintf("/added-%d/", i)
			all = append(all, route)
		}
		d.config["routes"] = all
		d.publish()
	}

	expectInForce := func(n *node) {
		gomega.Eventually(func() int {
			r, _ := n.call("GET", fmt.Sprintf("/added-%d/x", routes-1), "", "")
			return r.status
		}, configWithin, "20ms").Should(gomega.Equal(http.StatusOK))
		for _, path := range []string{"/added-0/x", "/open/x", "/lookup/x"} {
			r, _ := n.call("GET", path, "key-1", "")
			gomega.Expect(r.status).To(gomega.Equal(http.StatusOK), path)
		}
	}

	ginkgo.It("is in force in time, and so is the one before it again", func() {
		d := newDeployment()
		d.publish()
		d.addEndpoint("e1", "app", nil)
		n := d.startGateway("g1")
		n.waitUntilServed("/open/warm", "")
		before := d.config["routes"]
		publishRoutes(d)
		expectInForce(n)
		d.config["routes"] = before
		d.publish()
		gomega.Eventually(func() int {
			r, _ := n.call("GET", "/added-0/x", "", "")
			return r.status
		}, configWithin, "20ms").Should(gomega.Equal(http.StatusNotFound))
	})

	ginkgo.It("comes by way of another gateway to one that the store refuses", func() {
		d := newDeployment()
		d.publish()
		d.addEndpoint("e1", "app", nil)
		a, b := d.startGateway("g1"), d.startGateway("g2")
		a.waitUntilServed("/open/warm", "")
		b.waitUntilServed("/open/warm", "")
		a.storeServer.SetFaults(standin.TopicFaults{Mode: "silent"})
		publishRoutes(d)
		expectInForce(b)
		gomega.Eventually(func() int {
			r, _ := a.call("GET", fmt.Sprintf("/added-%d/x", routes-1), "", "")
			return r.status
		}, 2*configWithin, "20ms").Should(gomega.Equal(http.StatusOK))
	})
})
