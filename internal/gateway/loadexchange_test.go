package gateway_test

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/gateway"
	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/pkg/load"
)

var _ = ginkgo.Describe("The exchange of load", func() {
	var (
		d       *deployment
		nodes   []*node
		release chan struct{}
		isHeld  atomic.Bool
	)
	// inFlight returns how many requests the view of a gateway contains at endpoint e1, and
	// how many of them are of other gateways.
	inFlight := func(n *node) (all, others int) {
		view := gateway.LoadViewOf(n.gateway)
		others = view.Instance(d.clock.Now(), load.Instance{ID: "e1", StartedAt: 1}).InFlight
		return view.Service(d.clock.Now(), "models").InFlight, others
	}
	ginkgo.BeforeEach(func() {
		d, release = newDeployment(), make(chan struct{})
		d.balancing = true
		d.publish()
		answers := release
		isHeld.Store(false)
		d.addEndpoint("e1", "models", func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			if isHeld.Load() {
				<-answers
			}
			return u.AnswerComplete(conn, request, "ok")
		})
		nodes = []*node{d.startGateway("g1"), d.startGateway("g2"), d.startGateway("g3")}
		for _, n := range nodes {
			n.waitUntilServed("/review/x", "key-1")
		}
		isHeld.Store(true)
	})

	// Guards against gateways that do not learn of each other's requests, or forget them
	// when the collector is gone without a trace.
	ginkgo.It("tells each gateway the requests of the others, also after the collector has lost power", func() {
		for _, n := range nodes {
			gomega.Eventually(func() string { return gateway.CollectorOf(n.gateway) }, eventuallyTimeout, "20ms").ShouldNot(gomega.BeEmpty())
		}
		gomega.Eventually(func() bool {
			first := gateway.CollectorOf(nodes[0].gateway)
			return first == gateway.CollectorOf(nodes[1].gateway) && first == gateway.CollectorOf(nodes[2].gateway)
		}, eventuallyTimeout, "20ms").Should(gomega.BeTrue())
		var collector *node
		var rest []*node
		for _, n := range nodes {
			if string(n.settings.Node) == gateway.CollectorOf(n.gateway) {
				collector = n
			} else {
				rest = append(rest, n)
			}
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			rest[0].call("GET", "/review/x", "key-1", "")
		}()
		ginkgo.DeferCleanup(func() { <-done })
		ginkgo.DeferCleanup(func() { close(release) })
		seen := func() bool {
			ownAll, own := inFlight(rest[0])
			all, others := inFlight(rest[1])
			return ownAll == 1 && own == 0 && all == 1 && others == 1
		}
		gomega.Eventually(seen, time.Second, "10ms").Should(gomega.BeTrue())
		collector.powerOff()
		// An idle gateway finds out after 750 ms at the latest, waits for 150 ms, and knows
		// the others after another report.
		gomega.Eventually(func() bool {
			return gateway.CollectorOf(rest[0].gateway) == gateway.CollectorOf(rest[1].gateway) &&
				gateway.CollectorOf(rest[0].gateway) != string(collector.settings.Node) && seen()
		}, 1500*time.Millisecond, "10ms").Should(gomega.BeTrue(), "the second candidate has taken over")
		release <- struct{}{}
		gomega.Eventually(func() int {
			all, _ := inFlight(rest[1])
			return all
		}, time.Second, "10ms").Should(gomega.BeZero())
	})
})
