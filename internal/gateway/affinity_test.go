package gateway_test

import (
	"fmt"
	"net/http"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
)

var _ = ginkgo.Describe("Requests about an object", func() {
	const count = 12
	var (
		d         *deployment
		n         *node
		upstreams []*standin.Upstream
	)
	ginkgo.BeforeEach(func() {
		d = newDeployment()
		d.config["routes"] = append(d.config["routes"].([]map[string]any), map[string]any{
			"name": "file", "host": testHost, "path_prefix": "/file/", "kind": "idempotent", "timeout_ms": 1200, "service": "app", "attempts": 2, "sticky": true,
		})
		d.publish()
		upstreams = nil
		for i := range 4 {
			upstreams = append(upstreams, d.addEndpoint(fmt.Sprintf("e%d", i), "app", nil))
		}
		n = d.startGateway("g1")
	})
	relaunch := func(isBalancing bool) {
		n.kill()
		n.settings.Balancing.Enabled = isBalancing
		n.launch()
		n.waitUntilServed("/file/a", "key-1")
	}
	// send sends requests about one object and returns how many endpoints they reached.
	send := func(path string) int {
		reached := map[string]bool{}
		for range count {
			r, _ := n.call("GET", path, "key-1", "", func(_ *standin.CallerRequest, more http.Header) {
				more.Set("Cookie", standin.ObjectCookies("o-1"))
			})
			gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
			reached[standin.Seal(r.header)] = true
		}
		return len(reached)
	}

	// Guards against requests that find nothing of their object at their endpoint, against
	// cookies that the gateway takes away, and against a change of other routes.
	ginkgo.It("reach one endpoint on sticky routes, with their cookies", func() {
		relaunch(true)
		gomega.Eventually(func() int { return send("/file/a") }, eventuallyTimeout).Should(gomega.Equal(1))
		passed := 0
		for _, upstream := range upstreams {
			for _, request := range upstream.Requests() {
				if request.Header.Get("Cookie") == standin.ObjectCookies("o-1") {
					passed++
				}
			}
		}
		gomega.Expect(passed).To(gomega.BeNumerically(">=", count))
		gomega.Expect(send("/lookup/a")).To(gomega.BeNumerically(">", 1))
	})

	// Guards against a change of the behaviour while balancing is off.
	ginkgo.It("are distributed like others while balancing is off", func() {
		relaunch(false)
		gomega.Expect(send("/file/a")).To(gomega.BeNumerically(">", 1))
	})
})
