package endpoint_test

import (
	"context"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/adapters"
	"github.com/baobabspool/baobabspool/internal/endpoint"
	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// counted counts the orders sent to an engine.
type counted struct {
	*adapters.Engine
	sent atomic.Int64
}

func (c *counted) Order(ctx context.Context, order spool.EngineOrder) error {
	c.sent.Add(1)
	return c.Engine.Order(ctx, order)
}

var _ = ginkgo.Describe("Agent of an engine that takes orders late", func() {
	role := func(fence uint64, role string) []spool.EngineOrder {
		return []spool.EngineOrder{{Fence: fence, Kind: spool.OrderRole, Role: role}}
	}
	begin := func(inTouch func() bool) (*endpoint.Agent, *counted, *standin.Engine) {
		settings := standin.DefaultEngineSettings()
		settings.HonoursFence, settings.OrderLateMs = false, 4000
		fog := standin.NewEngine(settings, 1)
		server, err := standin.ServeEngine(fog, "127.0.0.1:0", "")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(server.Close)
		client := &counted{Engine: adapters.NewEngine(server.Address())}
		agent, _ := start(func(a *endpoint.Agent) {
			endpoint.WithEngine(client)(a)
			endpoint.WithInTouch(inTouch)(a)
		})
		return agent, client, fog
	}

	// Guards against an order that timed out and takes effect after a later one.
	ginkgo.It("repeats the latest order when an older one takes effect after it", func() {
		agent, _, fog := begin(func() bool { return true })
		gomega.Expect(agent.SetOrders(role(5, "prefill"), 0)).To(gomega.Succeed())
		gomega.Eventually(func() int { return fog.Stats().OrdersReceived }, "5s").Should(gomega.Equal(1))
		settings := fog.Settings()
		settings.OrderLateMs = 0
		fog.SetSettings(settings)
		gomega.Expect(agent.SetOrders(role(6, "decode"), 0)).To(gomega.Succeed())
		fences := func() (fences []uint64) {
			for _, order := range fog.Stats().Orders {
				fences = append(fences, order.Fence)
			}
			return fences
		}
		gomega.Eventually(fences, "10s").Should(gomega.HaveExactElements(uint64(6), uint64(5), uint64(6)))
		gomega.Expect(fog.State().Role).To(gomega.Equal("decode"))
	})

	// Guards against a replaced agent that wakes up with old orders.
	ginkgo.It("sends nothing while it cannot learn of later orders", func() {
		agent, client, fog := begin(func() bool { return false })
		gomega.Expect(agent.SetOrders(role(5, "prefill"), 0)).To(gomega.Succeed())
		gomega.Consistently(client.sent.Load, "1s").Should(gomega.BeZero())
		gomega.Expect(fog.Stats().Orders).To(gomega.BeEmpty())
	})
})
