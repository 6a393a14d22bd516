package endpoint_test

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/endpoint"
	"github.com/baobabspool/baobabspool/internal/wire"
	_ "github.com/baobabspool/baobabspool/pkg/policy/pause" // registers the policy "export"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

var _ = ginkgo.Describe("Agent in tool pauses", func() {
	ctx := context.Background()

	// Guards against exports that are never released at the engine after the answer
	// to the export request was lost, the export was imported or its program ended.
	ginkgo.It("exports the prefix of a paused program and releases every export", func() {
		engine := newFakeEngine()
		engine.cacheTokens = 100
		agent, clients := startAgent(endpoint.WithEngine(engine), func(c *endpoint.Config) {
			c.PauseOptions = spool.Options{"pause.setupMs": 0, "pause.transferTokensPerMs": 10_000}
			c.Kernel.FreeRetryDelay = 50
			c.LoadInterval = 20
		})
		run := func(call spool.CallID) {
			gomega.Expect(clients.Call(ctx, agent.Address(), wire.MethodRun, modelRequest(call, userMessage("fog?")), nil, nil)).To(gomega.Succeed())
		}
		exports := func() int { count, _ := engine.exportAndImportCounts(); return count }
		imports := func() int { _, count := engine.exportAndImportCounts(); return count }
		run("1")
		gomega.Eventually(exports, "5s").Should(gomega.Equal(1))
		gomega.Eventually(engine.sessionCount, "5s").Should(gomega.BeZero())
		run("2")
		gomega.Expect(imports()).To(gomega.Equal(1))
		gomega.Eventually(engine.sessionCount, "5s").Should(gomega.BeZero(), "the next pause")
		gomega.Expect(exports()).To(gomega.Equal(1))
		ended := wire.RenewRequest{Ended: []spool.ProgramID{"p"}}
		gomega.Expect(clients.Call(ctx, agent.Address(), wire.MethodRenew, ended, nil, nil)).To(gomega.Succeed())
		gomega.Eventually(exports, "5s").Should(gomega.BeZero())
		engine.mu.Lock()
		engine.exportErr = errors.New("no answer")
		engine.mu.Unlock()
		run("3")
		gomega.Eventually(engine.sessionCount, "5s").Should(gomega.BeZero())
		gomega.Eventually(exports, "5s").Should(gomega.BeZero())
		gomega.Expect(imports()).To(gomega.Equal(1))
	})

	// Guards against endless retries of the release at an engine without support
	// for exports.
	ginkgo.It("releases nothing at an engine that does not know exports", func() {
		engine := newFakeEngine()
		engine.cacheTokens, engine.exportErr = 100, errors.Wrap(spool.ErrInvalidCall, "not found")
		agent, clients := startAgent(endpoint.WithEngine(engine), func(c *endpoint.Config) {
			c.PauseOptions = spool.Options{"pause.setupMs": 0, "pause.transferTokensPerMs": 10_000}
			c.LoadInterval = 20
		})
		gomega.Expect(clients.Call(ctx, agent.Address(), wire.MethodRun, modelRequest("1", userMessage("fog?")), nil, nil)).To(gomega.Succeed())
		gomega.Consistently(func() int {
			engine.mu.Lock()
			defer engine.mu.Unlock()
			return engine.freedExports
		}, "1s").Should(gomega.BeZero())
		gomega.Expect(engine.sessionCount()).To(gomega.Equal(1))
	})
})
