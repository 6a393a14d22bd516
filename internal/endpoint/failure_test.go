package endpoint_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/internal/endpoint"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

var _ = ginkgo.Describe("Agent in failures", func() {
	ctx := context.Background()

	queryOutcome := func(agent *endpoint.Agent, clients *wire.Clients, request wire.OutcomeQuery) (reply wire.OutcomeQueryReply) {
		request.Account, request.Program, request.Stream = "kuiseb", "p", "programs-0"
		gomega.Expect(clients.Call(ctx, agent.Address(), wire.MethodOutcomeQuery, request, &reply, nil)).To(gomega.Succeed())
		return reply
	}
	status := func(agent *endpoint.Agent, clients *wire.Clients) (reply wire.EndpointStatus) {
		gomega.Expect(clients.Call(ctx, agent.Address(), wire.MethodEndpointStatus, struct{}{}, &reply, nil)).To(gomega.Succeed())
		return reply
	}

	ginkgo.DescribeTable("rejects an answer of another call or an incomplete answer and reports that the call may have run",
		func(corrupt func(*spool.Chunk, *spool.EngineResult)) {
			engine := newFakeEngine()
			engine.generate = func(_ context.Context, call spool.EngineCall, onChunk func(spool.Chunk) error) (spool.EngineResult, error) {
				chunk := spool.Chunk{Correlation: call.Correlation, Text: "fog"}
				result := spool.EngineResult{Correlation: call.Correlation, Text: "fog"}
				corrupt(&chunk, &result)
				return result, onChunk(chunk)
			}
			agent, clients := startAgent(endpoint.WithEngine(engine))
			var texts []string
			err := clients.Call(ctx, agent.Address(), wire.MethodRun, modelRequest("1", userMessage("fog?")), nil, func(raw json.RawMessage) error {
				texts = append(texts, string(raw))
				return nil
			})
			gomega.Expect(refusalOf(err)).To(gomega.HaveValue(gomega.And(
				gomega.HaveField("Code", spool.CodeEndpointFailed), gomega.HaveField("NotRun", spool.NotRunUnknown))))
			gomega.Expect(texts).NotTo(gomega.ContainElement(gomega.ContainSubstring("stranger")))
		},
		ginkgo.Entry("chunk of another call", func(c *spool.Chunk, _ *spool.EngineResult) { c.Correlation, c.Text = "x", "stranger" }),
		ginkgo.Entry("gap in the chunks", func(c *spool.Chunk, _ *spool.EngineResult) { c.Index, c.Text = 1, "stranger" }),
		ginkgo.Entry("result of another call", func(_ *spool.Chunk, r *spool.EngineResult) { r.Correlation = "x" }),
		ginkgo.Entry("missing end", func(_ *spool.Chunk, r *spool.EngineResult) { r.Text = "fog and more" }),
	)

	// Guards against a gate that treats invalid calls as engine failures and therefore
	// lowers the concurrency limit for all callers.
	ginkgo.It("does not count a call that is not valid as a failure of the engine", func() {
		engine := newFakeEngine()
		generateErr := spool.ErrInvalidCall
		engine.generate = func(context.Context, spool.EngineCall, func(spool.Chunk) error) (spool.EngineResult, error) {
			return spool.EngineResult{}, generateErr
		}
		agent, clients := startAgent(endpoint.WithEngine(engine), func(c *endpoint.Config) { c.Gate = "testCounting" })
		before := gateFailures.Load()
		refusal := refusalOf(clients.Call(ctx, agent.Address(), wire.MethodRun, modelRequest("1", userMessage("fog?")), nil, nil))
		gomega.Expect(refusal.Code).To(gomega.Equal(spool.CodeBadRequest))
		gomega.Expect(refusal.NotRun).To(gomega.Equal(spool.NotRunTrue))
		gomega.Expect(gateFailures.Load()).To(gomega.Equal(before))
		generateErr = errors.New("reset")
		refusal = refusalOf(clients.Call(ctx, agent.Address(), wire.MethodRun, modelRequest("2", userMessage("fog?")), nil, nil))
		gomega.Expect(refusal.NotRun).To(gomega.Equal(spool.NotRunUnknown))
		gomega.Expect(gateFailures.Load()).To(gomega.Equal(before + 1))
	})

	ginkgo.It("cancels the engine's call when the caller goes away or the engine stalls", func() {
		engine, ended := newFakeEngine(), make(chan error, 2)
		engine.generate = func(ctx context.Context, _ spool.EngineCall, _ func(spool.Chunk) error) (spool.EngineResult, error) {
			<-ctx.Done()
			ended <- context.Cause(ctx)
			return spool.EngineResult{}, ctx.Err()
		}
		agent, clients := startAgent(endpoint.WithEngine(engine), func(c *endpoint.Config) { c.StallTimeout = 300 })
		callCtx, cancelCall := context.WithCancel(ctx)
		go func() {
			_ = clients.Call(callCtx, agent.Address(), wire.MethodRun, modelRequest("1", userMessage("fog?")), nil, nil)
		}()
		gomega.Eventually(engine.sessionCount).Should(gomega.Equal(1))
		cancelCall()
		gomega.Eventually(ended).Should(gomega.Receive(gomega.MatchError("run was stopped")))
		refusal := refusalOf(clients.Call(ctx, agent.Address(), wire.MethodRun, modelRequest("2", userMessage("fog?")), nil, nil))
		gomega.Expect(refusal.NotRun).To(gomega.Equal(spool.NotRunUnknown))
		gomega.Expect(ended).To(gomega.Receive(gomega.MatchError(gomega.ContainSubstring("no sign of life"))))
	})

	ginkgo.It("reports the outcome of a call whose caller has disconnected once the call has ended", func() {
		service := &fakeService{release: make(chan struct{})}
		agent, clients := startAgent(endpoint.WithService(service))
		mark := status(agent, clients).Mark
		callCtx, cancelCall := context.WithCancel(ctx)
		go func() { _ = clients.Call(callCtx, agent.Address(), wire.MethodRun, serviceRequest("1"), nil, nil) }()
		gomega.Eventually(service.callCount).Should(gomega.Equal(1))
		cancelCall()
		request := wire.OutcomeQuery{Call: "1", Epoch: 2, Mark: mark}
		gomega.Expect(queryOutcome(agent, clients, request).State).To(gomega.Equal(wire.CallStateActive))
		close(service.release)
		gomega.Eventually(func() wire.CallState { return queryOutcome(agent, clients, request).State }).Should(gomega.Equal(wire.CallStateDone))
		gomega.Expect(string(queryOutcome(agent, clients, request).Reply.Service.Body)).To(gomega.Equal("paid"))
	})

	ginkgo.It("answers notSeen only for a mark of its current boot, and then refuses the delayed dispatch", func() {
		agent, clients := startAgent(endpoint.WithService(&fakeService{}))
		mark := status(agent, clients).Mark
		gomega.Expect(queryOutcome(agent, clients, wire.OutcomeQuery{Call: "1", Epoch: 1}).State).To(gomega.Equal(wire.CallStateUnknown))
		earlierMark := spool.AgentMark{Boot: "earlier"}
		gomega.Expect(queryOutcome(agent, clients, wire.OutcomeQuery{Call: "1", Epoch: 1, Mark: earlierMark}).State).To(gomega.Equal(wire.CallStateUnknown))
		request := wire.OutcomeQuery{Call: "2", Epoch: 1, Attempt: 1, Mark: mark}
		gomega.Expect(queryOutcome(agent, clients, request).State).To(gomega.Equal(wire.CallStateNotSeen))
		delayed := serviceRequest("2")
		refusal := refusalOf(clients.Call(ctx, agent.Address(), wire.MethodRun, delayed, nil, nil))
		gomega.Expect(refusal).To(gomega.HaveValue(gomega.And(
			gomega.HaveField("Code", spool.CodeFenced), gomega.HaveField("NotRun", spool.NotRunTrue))))
		delayed.Attempt = 2
		gomega.Expect(clients.Call(ctx, agent.Address(), wire.MethodRun, delayed, nil, nil)).To(gomega.Succeed())
	})

	ginkgo.It("keeps the history between turns", func() {
		engine := newFakeEngine()
		agent, clients := startAgent(endpoint.WithEngine(engine))
		gomega.Expect(clients.Call(ctx, agent.Address(), wire.MethodRun, modelRequest("1", userMessage("fog?")), nil, nil)).To(gomega.Succeed())
		history := []spool.Message{userMessage("fog?"), spool.AnswerMessage("dune fog")}
		next := modelRequest("2", userMessage("where?"))
		next.BaseCount, next.BaseDigest = 2, spool.HistoryDigest("", history...)
		gomega.Expect(clients.Call(ctx, agent.Address(), wire.MethodRun, next, nil, nil)).To(gomega.Succeed())
		gomega.Expect(engine.prompts[1]).To(gomega.Equal(append(history, userMessage("where?"))))
	})

	ginkgo.It("frees the memory of programs left by an earlier agent process and of ended programs", func() {
		engine := newFakeEngine()
		engine.sessions["left"] = true
		agent, clients := startAgent(endpoint.WithEngine(engine), func(c *endpoint.Config) { c.Kernel.GraceLease = 50 })
		gomega.Eventually(engine.sessionCount).Should(gomega.BeZero())
		gomega.Expect(clients.Call(ctx, agent.Address(), wire.MethodRun, modelRequest("1", userMessage("fog?")), nil, nil)).To(gomega.Succeed())
		gomega.Expect(status(agent, clients).HeldTokens).To(gomega.HaveKeyWithValue(spool.ProgramID("p"), 11))
		renew := wire.RenewRequest{Ended: []spool.ProgramID{"p"}, LeaseDuration: clock.Second}
		gomega.Expect(clients.Call(ctx, agent.Address(), wire.MethodRenew, renew, nil, nil)).To(gomega.Succeed())
		gomega.Eventually(engine.sessionCount).Should(gomega.BeZero())
	})

	ginkgo.It("refuses an outdated order even if the engine ignores fencing numbers", func() {
		engine := newFakeEngine()
		agent, _ := startAgent(endpoint.WithEngine(engine))
		order := func(fence uint64, role string) []spool.EngineOrder {
			return []spool.EngineOrder{{Fence: fence, Kind: spool.OrderRole, Role: role}}
		}
		gomega.Expect(agent.SetOrders(order(7, "prefill"), 0)).To(gomega.Succeed())
		gomega.Eventually(engine.receivedOrders).Should(gomega.HaveLen(1))
		gomega.Expect(refusalOf(agent.SetOrders(order(6, "decode"), 0)).Code).To(gomega.Equal(spool.CodeFenced))
		gomega.Consistently(engine.receivedOrders, "300ms").Should(gomega.HaveLen(1))
	})

	ginkgo.It("is ready until it drains", func() {
		agent, _ := startAgent(endpoint.WithEngine(newFakeEngine()))
		code := func(path string) int {
			status, _, err := fasthttp.Get(nil, "http://"+agent.HTTPAddress()+path)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			return status
		}
		gomega.Eventually(func() int { return code("/readyz") }).Should(gomega.Equal(200))
		agent.SetDraining(true)
		gomega.Eventually(func() int { return code("/readyz") }).Should(gomega.Equal(503))
		gomega.Expect([]int{code("/healthz"), code("/metrics"), code("/other")}).To(gomega.Equal([]int{200, 200, 404}))
	})

	ginkgo.It("answers a request that makes no sense with badRequest", func() {
		agent, clients := startAgent(endpoint.WithEngine(newFakeEngine()))
		empty := modelRequest("1")
		negative := modelRequest("1", userMessage("fog?"))
		negative.BaseCount = -1
		for _, request := range []wire.RunRequest{serviceRequest("1"), empty, negative, {Kind: "other"}} {
			refusal := refusalOf(clients.Call(ctx, agent.Address(), wire.MethodRun, request, nil, nil))
			gomega.Expect(refusal.Code).To(gomega.Equal(spool.CodeBadRequest))
		}
	})
})

// BenchmarkAgent measures a complete model call over loopback with an engine
// that answers immediately.
func BenchmarkAgent(b *testing.B) {
	config := endpoint.DefaultConfig()
	config.Endpoint, config.Listen, config.Queue, config.Gate = "swakop-1", "127.0.0.1:0", "testFifo", "testFixed"
	agent, err := endpoint.New(config, endpoint.WithEngine(newFakeEngine()))
	if err != nil || agent.Start() != nil {
		b.Fatal("agent did not start", err)
	}
	clients := wire.NewClients("entry")
	defer clients.Close()
	call := 0
	for b.Loop() {
		call++
		request := modelRequest(spool.CallID(fmt.Sprint(call)), userMessage("fog?"))
		if err := clients.Call(context.Background(), agent.Address(), wire.MethodRun, request, nil, nil); err != nil {
			b.Fatal(err)
		}
	}
	if err := agent.Shutdown(context.Background()); err != nil {
		b.Fatal(err)
	}
}
