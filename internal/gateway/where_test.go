package gateway_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/gateway"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Guards against an explanation that names another endpoint than the one that gets the
// request, and against one that sends something.
var _ = ginkgo.Describe("A question where a request would go", func() {
	ginkgo.It("names the endpoint, the excluded ones and the refusal", func() {
		d := newDeployment()
		d.balancing = true
		d.publish()
		u := d.addEndpoint("m1", "models", streamTwoEvents)
		other := d.addEndpoint("m2", "models", streamTwoEvents)
		n := d.startGateway("g1")
		n.waitUntilServed("/review/warm", "key-1")
		d.announceEndpoint("m2", "models", other.Address(), "draining")
		clients := wire.NewClients("operator")
		defer clients.Close()
		ask := func(path string) (reply gateway.WhereReply) {
			request := gateway.WhereRequest{Host: testHost, Path: path, Program: "p"}
			gomega.Expect(clients.Call(background(), n.settings.ControlListen, gateway.MethodWhere, request, &reply, nil)).To(gomega.Succeed())
			return reply
		}
		gomega.Eventually(func() string { return ask("/review/x").Explanation.Candidates[1].Excluded }, eventuallyTimeout, "50ms").Should(gomega.Equal(endpoints.ReasonDraining))
		sent := len(u.Requests()) + len(other.Requests())
		reply := ask("/review/x")
		gomega.Expect(reply.Refusal).To(gomega.BeEmpty())
		gomega.Expect(reply.Route).To(gomega.Equal("review"))
		gomega.Expect(reply.StartShare).To(gomega.Equal(1.0))
		gomega.Expect(reply.Explanation.Picked).To(gomega.Equal(spool.EndpointID("m1")))
		gomega.Expect(reply.Explanation.Candidates[0].Affinity).To(gomega.BeNumerically("<", 0))
		gomega.Expect(ask("/nowhere/").Refusal).To(gomega.Equal(spool.Code("noRoute")))
		gomega.Expect(len(u.Requests()) + len(other.Requests())).To(gomega.Equal(sent))
	})
})
