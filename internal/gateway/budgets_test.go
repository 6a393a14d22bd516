package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/gateway"
	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/internal/wire"
)

// setStream lets an endpoint answer with a number of events that are the given pause
// apart.
func setStream(u *standin.Upstream, count int, pause time.Duration) {
	u.SetAnswer(func(conn io.Writer, request standin.UpstreamRequest) bool {
		return u.AnswerStream(conn, request, pause, -1, slices.Repeat([]string{"x"}, count)...)
	})
}

var _ = ginkgo.Describe("A program's budget", func() {
	var (
		d *deployment
		u *standin.Upstream
	)
	ginkgo.BeforeEach(func() {
		d = newDeployment()
		d.publish()
		u = d.addEndpoint("m1", "models", streamTwoEvents)
	})

	// runLargeTurn runs a turn of a program that may generate maxTokens and generates 20.
	runLargeTurn := func(n *node, program string, budget, maxTokens int) callerReply {
		r, _ := n.call("POST", "/review/", "key-1", "x", func(caller *standin.CallerRequest, _ http.Header) {
			caller.Program, caller.TokenBudget, caller.MaxTokens = program, budget, maxTokens
		})
		return r
	}
	// runTurn runs a turn that may generate 50 tokens.
	runTurn := func(n *node, program string, budget int) callerReply {
		return runLargeTurn(n, program, budget, 50)
	}

	ginkgo.It("holds over gateways and a restart", func() {
		a, b := d.startGateway("g1"), d.startGateway("g2")
		gomega.Eventually(func() int { return runTurn(a, "warm", 1000).status }, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusOK))
		gomega.Eventually(func() int { return runTurn(b, "warm", 1000).status }, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusOK))
		// Until the gateways have discovered each other, a turn may be refused
		// temporarily, but not permanently: a 402 ends the program.
		served := 0
		for i := 0; i < 200 && served < 8; i++ {
			status := runTurn([]*node{a, b}[i%2], "p", 300).status
			gomega.Expect(status).NotTo(gomega.Equal(http.StatusPaymentRequired))
			if status == http.StatusOK {
				served++
				continue
			}
			time.Sleep(50 * time.Millisecond)
		}
		for _, n := range []*node{a, b} {
			gomega.Eventually(func() int {
				status := runTurn(n, "p", 300).status
				gomega.Expect(status).NotTo(gomega.Equal(http.StatusOK))
				return status
			}, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusPaymentRequired))
		}
		// The log grants 200 of the 300 tokens; the others are kept for the reserve.
		// Eight turns have generated 160 tokens, and a ninth could generate 50.
		gomega.Expect(served).To(gomega.Equal(8))
		a.kill()
		c := d.startGateway("g3")
		gomega.Eventually(func() int { return runTurn(c, "p", 300).status }, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusPaymentRequired))
	})

	// Guards against a 402 that comes too early: a gateway that has released the grants of
	// a program said that their tokens were returned before that was in the log.
	ginkgo.It("is not spent while the tokens of an idle grant are being returned", func() {
		a, b := d.startGateway("g1"), d.startGateway("g2")
		for _, n := range []*node{a, b} {
			gomega.Eventually(func() int { return runTurn(n, "warm", 1000).status }, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusOK))
		}
		// Gateways discover each other within a second.
		time.Sleep(time.Second)
		for i := range 6 {
			// The first turn leaves 80 of 100 tokens with g1, which releases them 0.6 to 0.85 s
			// later. The second turn needs 150 of the 200 tokens that the log grants.
			program := fmt.Sprintf("moving-%d", i)
			gomega.Expect(runTurn(a, program, 300).status).To(gomega.Equal(http.StatusOK))
			time.Sleep(time.Duration(760+30*i) * time.Millisecond)
			gomega.Expect(runLargeTurn(b, program, 300, 150).status).To(gomega.Equal(http.StatusOK))
		}
	})

	// Guards against a 402 that comes too early, found by the fault soak with seed 103: when
	// one holder of a grant had returned its tokens, another one that could not be asked was
	// taken for one that had used all of its own.
	ginkgo.It("is not called spent while a holder of its tokens does not answer", func() {
		a, b, c := d.startGateway("g1"), d.startGateway("g2"), d.startGateway("g3")
		for _, n := range []*node{a, b, c} {
			gomega.Eventually(func() int { return runTurn(n, "warm", 1000).status }, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusOK))
		}
		time.Sleep(3 * time.Second)
		// The log grants 200 tokens, 100 of them to each of the first two turns, which leave 80
		// each.
		gomega.Expect(runTurn(a, "p", 300).status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(runLargeTurn(b, "p", 300, 100).status).To(gomega.Equal(http.StatusOK))
		a.powerOff()
		gomega.Expect(runLargeTurn(c, "p", 300, 150).status).To(gomega.Equal(http.StatusServiceUnavailable))
	})

	// Guards against programs that are refused during an upgrade, because the homes of
	// their records run an earlier version.
	ginkgo.It("is granted beside gateways that do not know the methods of homes", func() {
		for i := range 4 {
			address := standin.FreeAddress()
			server, err := wire.Listen(address, wire.Mux{}, nil)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			ginkgo.DeferCleanup(server.Close)
			d.topics.PutGatewayText(fmt.Sprintf("old-%d", i), fmt.Appendf(nil, `{"failureDomain":"a","address":%q,"lifetime":"old-%d","beat":1}`, address, i))
		}
		n := d.startGateway("g1")
		gomega.Eventually(func() int { return runTurn(n, "warm", 1000).status }, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusOK))
		for i := range 10 {
			gomega.Expect(runTurn(n, fmt.Sprintf("p-%d", i), 1000).status).To(gomega.Equal(http.StatusOK))
		}
	})

	ginkgo.It("never starts a turn that it refuses", func() {
		n := d.startGateway("g1")
		gomega.Eventually(func() int { return runTurn(n, "warm", 1000).status }, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusOK))
		before := len(u.Requests())
		gomega.Expect(runTurn(n, "small", 40).status).To(gomega.Equal(http.StatusPaymentRequired))
		gomega.Expect(len(u.Requests())).To(gomega.Equal(before))
	})

	// Guards against refusing all programs during an outage of the store, even those
	// that need the store only for their budget.
	ginkgo.It("is served from the reserve through an outage, and no further", func() {
		n := d.startGateway("g1")
		d.poolOwner()
		gomega.Eventually(func() int { return runTurn(n, "p", 1000).status }, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusOK))
		n.storeServer.SetFaults(standin.TopicFaults{Mode: "busy"})
		gomega.Expect(runTurn(n, "p", 1000).status).To(gomega.Equal(http.StatusOK), "on the grant that its gateway holds")
		// The reserve is 333 tokens, a third of the budget of 1000. Its first holder
		// may grant half of it, 166. Each turn needs 13 tokens to begin and uses 20, so
		// eight turns are served and the ninth is refused.
		gomega.Eventually(func() int { return runTurn(n, "q", 1000).status }, "3s", "20ms").Should(gomega.Equal(http.StatusOK))
		// The reserve charges up to 50 tokens for a turn until the unused ones are
		// returned, which happens after the answer was sent.
		waitUntilReturned := func(turns int64) {
			gomega.Eventually(func() int64 { return gateway.PoolOwnerOf(n.gateway).ReserveSpent("q") }, eventuallyTimeout, "5ms").Should(gomega.Equal(20 * turns))
		}
		for turns := range int64(7) {
			waitUntilReturned(turns + 1)
			gomega.Expect(runTurn(n, "q", 1000).status).To(gomega.Equal(http.StatusOK))
		}
		waitUntilReturned(8)
		gomega.Expect(runTurn(n, "q", 1000).status).To(gomega.Equal(http.StatusServiceUnavailable))
		n.storeServer.SetFaults(standin.TopicFaults{})
		gomega.Eventually(func() int { return runTurn(n, "q", 1000).status }, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusOK))
	})

	// Guards against granting tokens of the reserve twice: the successor of a lost
	// holder does not know how many the holder had granted.
	ginkgo.It("gets one half of the reserve from each of two holders that are lost, and nothing after them", func() {
		for _, name := range []string{"g1", "g2", "g3"} {
			d.startGateway(name)
		}
		setFaults := func(faults standin.TopicFaults) {
			for _, n := range d.gateways {
				n.storeServer.SetFaults(faults)
			}
		}
		// turnsInOutage makes the store unavailable and returns how many turns of program q
		// are served at a gateway until 20 in a row are refused.
		turnsInOutage := func(n *node) (served int) {
			setFaults(standin.TopicFaults{Mode: "busy"})
			refusedInRow, end := 0, time.Now().Add(3*time.Second)
			for refusedInRow < 20 || time.Now().Before(end) {
				refusedInRow++
				if runTurn(n, "q", 1000).status == http.StatusOK {
					served, refusedInRow = served+1, 0
				}
				time.Sleep(20 * time.Millisecond)
			}
			setFaults(standin.TopicFaults{})
			return served
		}
		// A half of the reserve of 333 tokens is 166. After eight turns of 20 tokens, the 13
		// that a ninth needs to begin do not fit.
		for _, want := range []int{8, 8, 0} {
			holder, others := d.poolOwner()
			n := holder
			if len(others) > 0 {
				n = others[0]
			}
			gomega.Eventually(func() int { return runTurn(n, "warm", 100000).status }, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusOK))
			gomega.Expect(turnsInOutage(n)).To(gomega.Equal(want))
			gomega.Eventually(func() int { return runTurn(n, "warm", 100000).status }, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusOK))
			holder.kill()
			time.Sleep(4 * time.Second)
		}
	})

	// Guards against refusing most programs during an outage of the store: turns generate a
	// quarter to a third of what they may, and the reserve of a small budget does not cover one turn at
	// its most.
	ginkgo.Describe("while the store is away", func() {
		var n *node
		ginkgo.BeforeEach(func() {
			n = d.startGateway("g1")
			d.poolOwner()
			gomega.Eventually(func() int { return runTurn(n, "warm", 1000).status }, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusOK))
		})
		// stopStore makes the store unavailable and waits until the reserve is in use.
		stopStore := func() {
			n.storeServer.SetFaults(standin.TopicFaults{Mode: "busy"})
			gomega.Eventually(func() int { return runTurn(n, "probe", 1000).status }, "3s", "20ms").Should(gomega.Equal(http.StatusOK))
		}

		ginkgo.It("lets a turn begin whose most exceeds the reserve", func() {
			stopStore()
			// The reserve grants 166 of 1000 tokens.
			r := runLargeTurn(n, "small", 1000, 400)
			gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
			gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
		})

		ginkgo.It("cuts a turn before it exceeds the reserve", func() {
			stopStore()
			setStream(u, 40, 0)
			r := runLargeTurn(n, "large", 1000, 400)
			gomega.Expect(r.err).To(gomega.HaveOccurred())
			gomega.Expect(strings.Count(r.body, "data:")).To(gomega.BeNumerically("<=", 16))
			gomega.Expect(gateway.PoolOwnerOf(n.gateway).ReserveSpent("large")).To(gomega.BeNumerically("<=", 166))
		})

		ginkgo.It("completes a turn that exceeds the reserve once the store is back", func() {
			stopStore()
			setStream(u, 20, 100*time.Millisecond)
			answer := make(chan callerReply, 1)
			go func() {
				defer ginkgo.GinkgoRecover()
				answer <- runLargeTurn(n, "slow", 1000, 400)
			}()
			time.Sleep(500 * time.Millisecond)
			n.storeServer.SetFaults(standin.TopicFaults{})
			var r callerReply
			gomega.Eventually(answer, eventuallyTimeout).Should(gomega.Receive(&r))
			gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
			gomega.Expect(strings.Count(r.body, "data:")).To(gomega.Equal(20))
		})
	})
})
