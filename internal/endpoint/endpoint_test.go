package endpoint_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/endpoint"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestEndpoint(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "endpoint")
}

// startAgent starts an agent with the adapter that option sets, and returns the agent
// and clients to call it. It applies change to the agent's configuration. The agent is
// stopped when the spec ends.
func startAgent(option endpoint.Option, change ...func(*endpoint.Config)) (*endpoint.Agent, *wire.Clients) {
	config := endpoint.DefaultConfig()
	config.Endpoint, config.Listen, config.HTTPListen = "swakop-1", "127.0.0.1:0", "127.0.0.1:0"
	config.Queue, config.Gate = "testFifo", "testFixed"
	config.TickInterval, config.ReconcileInterval = 5, 20
	for _, apply := range change {
		apply(&config)
	}
	agent, err := endpoint.New(config, option)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(agent.Start()).To(gomega.Succeed())
	clients := wire.NewClients("entry")
	ginkgo.DeferCleanup(func() {
		clients.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = agent.Shutdown(ctx)
	})
	return agent, clients
}

func modelRequest(call spool.CallID, messages ...spool.Message) wire.RunRequest {
	return wire.RunRequest{
		Kind: wire.RunModel, Correlation: "c-" + string(call), Account: "kuiseb", Program: "p", Call: call,
		Stream: "programs-0", Epoch: 1, Attempt: 1, Idempotent: true, Messages: messages, MaxTokens: 9,
	}
}

func serviceRequest(call spool.CallID) wire.RunRequest {
	return wire.RunRequest{
		Kind: wire.RunService, Correlation: "c-" + string(call), Account: "kuiseb", Program: "p", Call: call,
		Stream: "programs-0", Epoch: 1, Attempt: 1, Service: &spool.ServiceCall{Method: "POST", Path: "/tankers"},
	}
}

func refusalOf(err error) *spool.Refusal {
	refusal := &spool.Refusal{}
	gomega.Expect(errors.As(err, &refusal)).To(gomega.BeTrue(), "%v", err)
	return refusal
}

func userMessage(text string) spool.Message { return spool.Message{Role: "user", Content: text} }

var _ = ginkgo.Describe("Agent", func() {
	ctx := context.Background()

	ginkgo.It("streams a model call and answers with the caller's correlation", func() {
		agent, clients := startAgent(endpoint.WithEngine(newFakeEngine()))
		text, reply := "", wire.RunReply{}
		err := clients.Call(ctx, agent.Address(), wire.MethodRun, modelRequest("1", userMessage("fog?")), &reply, func(raw json.RawMessage) error {
			chunk := spool.Chunk{}
			defer func() { text += chunk.Text }()
			return json.Unmarshal(raw, &chunk)
		})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(text).To(gomega.Equal("dune fog"))
		gomega.Expect(reply.Engine.Correlation).To(gomega.Equal("c-1"))
		gomega.Expect(reply.Load.Mark.Boot).NotTo(gomega.BeEmpty())
	})

	ginkgo.It("runs a non-idempotent service call once and repeats its answer", func() {
		service := &fakeService{}
		agent, clients := startAgent(endpoint.WithService(service))
		for range 3 {
			reply := wire.RunReply{}
			gomega.Expect(clients.Call(ctx, agent.Address(), wire.MethodRun, serviceRequest("1"), &reply, nil)).To(gomega.Succeed())
			gomega.Expect(string(reply.Service.Body)).To(gomega.Equal("paid"))
		}
		gomega.Expect(service.callCount()).To(gomega.Equal(1))
	})

	ginkgo.It("says not run only when the service provably did not see the call", func() {
		service := &fakeService{err: errors.Wrap(spool.ErrNotSent, "refused")}
		agent, clients := startAgent(endpoint.WithService(service))
		refusal := refusalOf(clients.Call(ctx, agent.Address(), wire.MethodRun, serviceRequest("1"), nil, nil))
		gomega.Expect(refusal.NotRun).To(gomega.Equal(spool.NotRunTrue))
		service.mu.Lock()
		service.err = errors.New("reset")
		service.mu.Unlock()
		refusal = refusalOf(clients.Call(ctx, agent.Address(), wire.MethodRun, serviceRequest("1"), nil, nil))
		gomega.Expect(refusal.NotRun).To(gomega.Equal(spool.NotRunUnknown))
	})

	ginkgo.It("reports every error of a configuration at once", func() {
		_, err := endpoint.New(endpoint.Config{Queue: "none"}, endpoint.WithService(&fakeService{}))
		for _, part := range []string{"endpoint is empty", "listen is empty", "tickEveryMs", "kernel", "queue", "gate"} {
			gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(part)))
		}
	})

	ginkgo.It("lets an admitted call finish in a graceful shutdown and refuses new ones", func() {
		service := &fakeService{release: make(chan struct{})}
		agent, clients := startAgent(endpoint.WithService(service))
		ended := make(chan error, 1)
		go func() { ended <- clients.Call(ctx, agent.Address(), wire.MethodRun, serviceRequest("1"), nil, nil) }()
		gomega.Eventually(service.callCount).Should(gomega.Equal(1))
		stopped := make(chan error, 1)
		go func() { stopped <- agent.Shutdown(ctx) }()
		// Wait until the shutdown has begun. A call that arrives earlier is admitted.
		gomega.Eventually(func() bool {
			status := wire.EndpointStatus{}
			_ = clients.Call(ctx, agent.Address(), wire.MethodEndpointStatus, struct{}{}, &status, nil)
			return status.Draining
		}).Should(gomega.BeTrue())
		refusal := refusalOf(clients.Call(ctx, agent.Address(), wire.MethodRun, serviceRequest("2"), nil, nil))
		gomega.Expect(refusal.Code).To(gomega.Equal(spool.CodeDraining))
		close(service.release)
		gomega.Eventually(ended, 2*time.Second).Should(gomega.Receive(gomega.BeNil()))
		gomega.Eventually(stopped, 2*time.Second).Should(gomega.Receive(gomega.BeNil()))
	})
})
