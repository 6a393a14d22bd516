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

// countingEngine counts the orders sent to an engine.
type countingEngine struct {
	*adapters.Engine
	ordersSent atomic.Int64
}

func (c *countingEngine) Order(ctx context.Context, order spool.EngineOrder) error {
	c.ordersSent.Add(1)
	return c.Engine.Order(ctx, order)
}

var _ = ginkgo.Describe("Agent of an engine that takes orders late", func() {
	roleOrders := func(fence uint64, role string) []spool.EngineOrder {
		return []spool.EngineOrder{{Fence: fence, Kind: spool.OrderRole, Role: role}}
	}
	startWithEngine := func(receivesOrders func() bool) (*endpoint.Agent, *countingEngine, *standin.Engine) {
		settings := standin.DefaultEngineSettings()
		settings.HonoursFence, settings.OrderDelayMs = false, 4000
		engine := standin.NewEngine(settings, 1)
		server, err := standin.ServeEngine(engine, "127.0.0.1:0", "")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(server.Close)
		client := &countingEngine{Engine: adapters.NewEngine(server.Address())}
		agent, _ := startAgent(func(a *endpoint.Agent) {
			endpoint.WithEngine(client)(a)
			endpoint.WithReceivesOrders(receivesOrders)(a)
		})
		return agent, client, engine
	}

	// Guards against an engine that stays in the wrong state because an order that
	// timed out at the agent takes effect after a later order.
	ginkgo.It("repeats the latest order when an older one takes effect after it", func() {
		agent, _, engine := startWithEngine(func() bool { return true })
		gomega.Expect(agent.SetOrders(roleOrders(5, "prefill"), 0)).To(gomega.Succeed())
		gomega.Eventually(func() int { return engine.Stats().OrdersReceived }, "5s").Should(gomega.Equal(1))
		settings := engine.Settings()
		settings.OrderDelayMs = 0
		engine.SetSettings(settings)
		gomega.Expect(agent.SetOrders(roleOrders(6, "decode"), 0)).To(gomega.Succeed())
		fences := func() (fences []uint64) {
			for _, order := range engine.Stats().Orders {
				fences = append(fences, order.Fence)
			}
			return fences
		}
		gomega.Eventually(fences, "10s").Should(gomega.HaveExactElements(uint64(6), uint64(5), uint64(6)))
		gomega.Expect(engine.State().Role).To(gomega.Equal("decode"))
	})

	// Guards against an agent that sends outdated orders, because its process was
	// paused and another agent has replaced it in the meantime.
	ginkgo.It("sends nothing while it cannot learn of later orders", func() {
		agent, client, engine := startWithEngine(func() bool { return false })
		gomega.Expect(agent.SetOrders(roleOrders(5, "prefill"), 0)).To(gomega.Succeed())
		gomega.Consistently(client.ordersSent.Load, "1s").Should(gomega.BeZero())
		gomega.Expect(engine.Stats().Orders).To(gomega.BeEmpty())
	})
})
