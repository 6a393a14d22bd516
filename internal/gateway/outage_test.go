package gateway_test

import (
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
)

// The specs check the cells of the table in docs/store-away.md: what each kind of request
// gets in each state of the store. They guard against requests that are refused although
// they do not need the store, or that wait although they cannot be served.
var _ = ginkgo.Describe("While the store is away", func() {
	const (
		served  = http.StatusOK
		refused = http.StatusServiceUnavailable
		// atOnce bounds a refusal whose cause is known.
		atOnce = 150 * time.Millisecond
	)
	var (
		d    *deployment
		a, b *node
		kept string
	)

	turn := func(n *node, program string) callerReply {
		r, _ := n.call("POST", "/review/", "key-1", "x", func(caller *standin.CallerRequest, _ http.Header) {
			caller.Program, caller.TokenBudget, caller.MaxTokens = program, 3000, 50
		})
		return r
	}
	keptTurn := func(n *node) callerReply {
		r, _ := n.call("POST", "/chat/", "key-1", "more\n", withPrevious(kept))
		return r
	}
	plainCall := func(n *node) callerReply {
		r, _ := n.call("GET", "/lookup/a", "key-1", "")
		return r
	}

	ginkgo.BeforeEach(func() {
		d = newDeployment()
		d.publish()
		d.addEndpoint("e1", "app", nil)
		d.addEndpoint("m1", "models", streamTwoEvents)
		a, b = d.startGateway("g1"), d.startGateway("g2")
		for _, n := range []*node{a, b} {
			n.waitUntilServed("/lookup/a", "key-1")
			gomega.Eventually(func() int { return turn(n, "warm").status }, eventuallyTimeout, "50ms").Should(gomega.Equal(served))
		}
		gomega.Eventually(func() int {
			r, id := a.call("POST", "/chat/", "key-1", "hello\n")
			kept = id
			return r.status
		}, eventuallyTimeout, "50ms").Should(gomega.Equal(served))
		d.poolOwner()
		// Gateways discover each other within a second.
		time.Sleep(time.Second)
	})

	// waitUntilNoticed waits until a gateway knows that the store is away.
	waitUntilNoticed := func(n *node) {
		gomega.Eventually(func() bool {
			start := time.Now()
			return keptTurn(n).status == refused && time.Since(start) < atOnce
		}, eventuallyTimeout, "20ms").Should(gomega.BeTrue())
	}
	expectServedAgain := func(n *node) {
		for _, request := range []func() int{
			func() int { return keptTurn(n).status },
			func() int { return turn(n, "after").status },
			func() int { return plainCall(n).status },
		} {
			gomega.Eventually(request, "3s", "20ms").Should(gomega.Equal(served))
		}
	}

	ginkgo.DescribeTable("for all gateways", func(faults standin.TopicFaults) {
		gomega.Expect(turn(a, "held").status).To(gomega.Equal(served))
		for _, n := range []*node{a, b} {
			n.storeServer.SetFaults(faults)
		}
		waitUntilNoticed(a)
		waitUntilNoticed(b)
		gomega.Expect(plainCall(a).status).To(gomega.Equal(served), "a plain call")
		gomega.Expect(turn(a, "held").status).To(gomega.Equal(served), "a turn whose gateway holds a grant")
		gomega.Eventually(func() int { return turn(a, "new").status }, "2s", "20ms").Should(gomega.Equal(served), "the first turn of a program")
		gomega.Expect(turn(b, "new").status).To(gomega.Equal(served), "a turn at another gateway than the one before")
		gomega.Expect(turn(b, "held").status).To(gomega.Equal(served), "a turn whose grant lies at another gateway")
		r := keptTurn(b)
		gomega.Expect(r.status).To(gomega.Equal(refused), "a kept turn")
		gomega.Expect(r.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		for _, n := range []*node{a, b} {
			n.storeServer.SetFaults(standin.TopicFaults{})
		}
		expectServedAgain(a)
		expectServedAgain(b)
	},
		ginkgo.Entry("which rejects calls", standin.TopicFaults{Mode: "busy"}),
		ginkgo.Entry("which does not answer", standin.TopicFaults{Mode: "silent"}),
	)

	ginkgo.DescribeTable("for one gateway", func(faults standin.TopicFaults) {
		a.storeServer.SetFaults(faults)
		time.Sleep(time.Second)
		gomega.Expect(plainCall(a).status).To(gomega.Equal(served), "a plain call")
		gomega.Expect(turn(a, "new").status).To(gomega.Equal(served), "the first turn of a program")
		gomega.Expect(turn(b, "new").status).To(gomega.Equal(served), "the next turn at another gateway")
		gomega.Expect(keptTurn(a).status).To(gomega.Equal(served), "a kept turn")
		a.storeServer.SetFaults(standin.TopicFaults{})
		expectServedAgain(a)
	},
		ginkgo.Entry("which it rejects", standin.TopicFaults{Mode: "busy"}),
		ginkgo.Entry("which it does not answer", standin.TopicFaults{Mode: "silent"}),
	)

	ginkgo.It("refuses new programs once the holder of the reserve is lost, and serves plain calls", func() {
		holder, others := d.poolOwner()
		n := others[0]
		for _, gateway := range []*node{a, b} {
			gateway.storeServer.SetFaults(standin.TopicFaults{Mode: "busy"})
		}
		waitUntilNoticed(n)
		gomega.Eventually(func() int { return turn(n, "new").status }, "2s", "20ms").Should(gomega.Equal(served))
		holder.kill()
		r := turn(n, "later")
		gomega.Expect(r.status).To(gomega.Equal(refused))
		gomega.Expect(r.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		gomega.Expect(plainCall(n).status).To(gomega.Equal(served))
		n.storeServer.SetFaults(standin.TopicFaults{})
		expectServedAgain(n)
	})
})
