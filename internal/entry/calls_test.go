package entry_test

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/entry"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
	"github.com/baobabspool/baobabspool/pkg/usage"
)

var _ = ginkgo.Describe("Calls", func() {
	var (
		env    *testEnv
		owner  *fakeStreams
		client testClient
		id     spool.ProgramID
	)

	ginkgo.BeforeEach(func() {
		env = newTestEnv()
		owner = env.newEntry("entry-1")
		env.assignStreams(owner, allStreams...)
		client = testClient{server: owner, account: "fog"}
		id = client.startProgram(startBody)
	})

	ginkgo.It("joins a repeat of a call in progress, replays a finished call and refuses the same callId with another body", func() {
		release, started, _ := blockCalls(env.modelAgent)
		firstCall := client.sendAsync("POST", programPath(id, "/calls"), callBody("1", "fog?"))
		gomega.Eventually(started).Should(gomega.Receive())
		repeatedCall := client.sendAsync("POST", programPath(id, "/calls"), callBody("1", "fog?"))
		nextCall := client.sendAsync("POST", programPath(id, "/calls"), callBody("2", "next"))
		gomega.Consistently(started, "50ms").ShouldNot(gomega.Receive(), "a second call must wait for the first")
		release()
		first := <-firstCall
		gomega.Expect(first.body).To(gomega.ContainSubstring("re: fog?"))
		gomega.Expect((<-repeatedCall).body).To(gomega.Equal(first.body))
		gomega.Expect((<-nextCall).status).To(gomega.Equal(200))
		gomega.Expect(env.modelAgent.receivedRuns()).To(gomega.HaveLen(2))
		status, body := client.send("POST", programPath(id, "/calls"), callBody("1", "fog?"))
		gomega.Expect(status).To(gomega.Equal(200))
		gomega.Expect(body).To(gomega.ContainSubstring(`"replayed":true`))
		status, body = client.send("POST", programPath(id, "/calls"), callBody("1", "other"))
		gomega.Expect(status).To(gomega.Equal(409), body)
	})

	ginkgo.It("refuses a call whose turn could not be made durable", func() {
		env.fakeCluster.submitError = func([]spool.Record, bool) error {
			return spool.Refuse(spool.CodeLogUnavailable, "log is down")
		}
		status, body := client.send("POST", programPath(id, "/calls"), callBody("1", "fog?"))
		gomega.Expect(status).To(gomega.Equal(503))
		gomega.Expect(body).To(gomega.ContainSubstring(`"notRun":"false"`), "the engine has run the call")
	})

	ginkgo.It("commits an intent to the log before it dispatches a non-idempotent call", func() {
		env.serviceAgent.setHandler(func(ctx context.Context, request wire.RunRequest, send wire.Send) (any, error) {
			kinds := env.recordKinds(spool.StreamOfProgram(id, testStreamCount))
			if kinds[len(kinds)-1] != program.KindIntent {
				return nil, spool.Refuse(spool.CodeInternal, "dispatched without an intent")
			}
			return env.serviceAgent.echo(ctx, request, send)
		})
		status, body := client.send("POST", programPath(id, "/services/harvest-app"), bookingBody("1"))
		gomega.Expect(status).To(gomega.Equal(200), body)
		gomega.Expect(body).To(gomega.ContainSubstring("tanker 1"))
		gomega.Expect(env.serviceAgent.receivedRuns()[0].Mark.Boot).To(gomega.Equal("boot-plain-1"))
		_, again := client.send("POST", programPath(id, "/services/harvest-app"), bookingBody("1"))
		gomega.Expect(again).To(gomega.ContainSubstring(`"replayed":true`))
		gomega.Expect(env.serviceAgent.receivedRuns()).To(gomega.HaveLen(1))
	})

	ginkgo.It("does not dispatch a non-idempotent call while the log is unavailable", func() {
		env.fakeCluster.submitError = func(_ []spool.Record, needsLog bool) error {
			if needsLog {
				return spool.Refuse(spool.CodeLogUnavailable, "log is down").WithRetryAfter(500)
			}
			return nil
		}
		status, body := client.send("POST", programPath(id, "/services/harvest-app"), bookingBody("1"))
		gomega.Expect(status).To(gomega.Equal(503))
		gomega.Expect(body).To(gomega.ContainSubstring(`"notRun":"true","retryAfterMs":500`))
		gomega.Expect(env.serviceAgent.receivedRuns()).To(gomega.BeEmpty())
	})

	ginkgo.DescribeTable("determines the outcome of a non-idempotent call whose answer was lost",
		func(outcome wire.OutcomeQueryReply, status int, wantInBody string, dispatches int) {
			calls := 0
			env.serviceAgent.setHandler(func(ctx context.Context, request wire.RunRequest, send wire.Send) (any, error) {
				if calls++; calls == 1 {
					return nil, spool.Refuse(spool.CodeEndpointFailed, "reset").WithNotRun(spool.NotRunUnknown)
				}
				return env.serviceAgent.echo(ctx, request, send)
			})
			if outcome.Reply != nil {
				outcome.Reply.Service = &spool.ServiceResult{Status: 201, Body: []byte("booked")}
			}
			env.serviceAgent.outcome = outcome
			other := newFakeAgent("plain-2")
			env.addAgents("harvest-app", other)
			for range 2 {
				got, body := client.send("POST", programPath(id, "/services/harvest-app"), bookingBody("1"))
				gomega.Expect(got).To(gomega.Equal(status), body)
				gomega.Expect(body).To(gomega.ContainSubstring(wantInBody))
			}
			gomega.Expect(len(env.serviceAgent.receivedRuns()) + len(other.receivedRuns())).To(gomega.Equal(dispatches))
		},
		ginkgo.Entry("done", wire.OutcomeQueryReply{State: wire.CallStateDone, Reply: &wire.RunReply{}}, 200, "booked", 1),
		ginkgo.Entry("not run", wire.OutcomeQueryReply{State: wire.CallStateNotSeen}, 200, "tanker 1", 2),
		ginkgo.Entry("unknown", wire.OutcomeQueryReply{State: wire.CallStateUnknown}, 502, `"notRun":"unknown"`, 1),
	)

	ginkgo.It("fetches the new mark of a restarted agent and uses increasing attempt numbers", func() {
		env.serviceAgent.setHandler(func(ctx context.Context, request wire.RunRequest, send wire.Send) (any, error) {
			if request.Attempt < 2 {
				return nil, spool.Refuse(spool.CodeFenced, "call was meant for an earlier start of the agent")
			}
			return env.serviceAgent.echo(ctx, request, send)
		})
		for _, call := range []string{"1", "2"} {
			status, body := client.send("POST", programPath(id, "/services/harvest-app"), bookingBody(call))
			gomega.Expect(status).To(gomega.Equal(200), body)
		}
		var attempts []uint64
		for _, request := range env.serviceAgent.receivedRuns() {
			attempts = append(attempts, request.Attempt)
		}
		gomega.Expect(attempts).To(gomega.Equal([]uint64{1, 2, 3}))
	})

	ginkgo.It("resends the whole history if the agent does not have it", func() {
		client.send("POST", programPath(id, "/calls"), callBody("1", "fog?"))
		env.modelAgent.setHandler(func(ctx context.Context, request wire.RunRequest, send wire.Send) (any, error) {
			if request.BaseCount > 0 {
				return nil, spool.Refuse(spool.CodeNeedHistory, "history is gone")
			}
			return env.modelAgent.echo(ctx, request, send)
		})
		status, _ := client.send("POST", programPath(id, "/calls"), callBody("2", "now?"))
		gomega.Expect(status).To(gomega.Equal(200))
		runs := env.modelAgent.receivedRuns()
		gomega.Expect(runs[len(runs)-1].Messages).To(gomega.Equal([]spool.Message{
			{Role: "user", Content: "fog?"}, spool.AnswerMessage("re: fog?"), {Role: "user", Content: "now?"},
		}))
	})

	ginkgo.It("retries at another endpoint and sends a restart event if its text differs", func() {
		env.modelAgent.setHandler(func(_ context.Context, request wire.RunRequest, send wire.Send) (any, error) {
			_ = send(spool.Chunk{Correlation: request.Correlation, Text: "something else"})
			return nil, spool.Refuse(spool.CodeEndpointFailed, "reset").WithNotRun(spool.NotRunUnknown)
		})
		env.addAgents("mist-models", newFakeAgent("model-2"))
		_, body := client.send("POST", programPath(id, "/calls"), streamedCallBody("1", "fog?"))
		if strings.Contains(body, "something else") {
			gomega.Expect(body).To(gomega.ContainSubstring("event: restart"))
		}
		gomega.Expect(body).To(gomega.ContainSubstring(`"text":"re: fog?","promptTokens"`))
	})

	ginkgo.It("refuses a call as not run if no endpoint takes work", func() {
		env.fakeControl.mu.Lock()
		env.draining["walvis-b"] = true
		env.fakeControl.mu.Unlock()
		status, body := client.send("POST", programPath(id, "/calls"), callBody("1", "fog?"))
		gomega.Expect(status).To(gomega.Equal(503))
		gomega.Expect(body).To(gomega.ContainSubstring(`"code":"noEndpoint"`))
		gomega.Expect(body).To(gomega.ContainSubstring(`"notRun":"true","retryAfterMs":1000`))
		gomega.Expect(env.modelAgent.receivedRuns()).To(gomega.BeEmpty())
	})

	ginkgo.It("applies the rate limit of an account, except to repeats of recorded calls", func() {
		client.send("POST", programPath(id, "/calls"), callBody("1", "fog?"))
		env.fakeControl.mu.Lock()
		env.maxAdmitted = env.admitted["fog"]
		env.fakeControl.mu.Unlock()
		status, body := client.send("POST", programPath(id, "/calls"), callBody("2", "fog?"))
		gomega.Expect(status).To(gomega.Equal(429))
		gomega.Expect(body).To(gomega.ContainSubstring(`"retryAfterMs":250`))
		status, _ = client.send("POST", programPath(id, "/calls"), callBody("1", "fog?"))
		gomega.Expect(status).To(gomega.Equal(200))
	})

	ginkgo.It("cancels the call at the endpoint when the caller closes the stream", func() {
		_, started, cancelled := blockCalls(env.modelAgent)
		response := client.do("POST", programPath(id, "/calls"), streamedCallBody("1", "fog?"))
		gomega.Eventually(started).Should(gomega.Receive())
		gomega.Expect(response.Body.Close()).To(gomega.Succeed())
		gomega.Eventually(cancelled, "2s").Should(gomega.Receive())
		var view program.View
		gomega.Eventually(func() spool.CallID {
			_, body := client.send("GET", programPath(id, ""), nil)
			view = program.View{}
			gomega.Expect(json.Unmarshal([]byte(body), &view)).To(gomega.Succeed())
			return view.Running
		}).Should(gomega.BeEmpty())
		gomega.Expect(view.Used.Calls).To(gomega.Equal(1), "a cancelled call is charged")
		gomega.Expect(view.Reserved).To(gomega.Equal(program.Usage{}))
	})

	ginkgo.It("ends streams when their API key is withdrawn", func() {
		_, started, cancelled := blockCalls(env.modelAgent)
		pending := client.sendAsync("POST", programPath(id, "/calls"), streamedCallBody("1", "fog?"))
		gomega.Eventually(started).Should(gomega.Receive())
		close(env.withdrawn["fog"])
		gomega.Eventually(cancelled, "2s").Should(gomega.Receive())
		gomega.Expect((<-pending).body).To(gomega.ContainSubstring("keyWithdrawn"))
	})

	ginkgo.It("cancels the calls of a cancelled program", func() {
		_, started, cancelled := blockCalls(env.modelAgent)
		pending := client.sendAsync("POST", programPath(id, "/calls"), callBody("1", "fog?"))
		gomega.Eventually(started).Should(gomega.Receive())
		status, body := client.send("POST", programPath(id, "/cancel"), nil)
		gomega.Expect(status).To(gomega.Equal(200))
		gomega.Expect(body).To(gomega.ContainSubstring(`"ended":"cancelled"`))
		gomega.Eventually(cancelled).Should(gomega.Receive())
		gomega.Expect((<-pending).status).To(gomega.Equal(499))
	})

	ginkgo.It("charges the calls of sub-agents to the budget of the root program", func() {
		status, body := client.send("POST", programPath(id, "/agents"), map[string]any{"callId": "s"})
		gomega.Expect(status).To(gomega.Equal(201), body)
		var child entry.StartReply
		gomega.Expect(json.Unmarshal([]byte(body), &child)).To(gomega.Succeed())
		gomega.Expect(child.Program.Root()).To(gomega.Equal(id))
		client.send("POST", programPath(child.Program, "/calls"), callBody("1", "fog?"))
		_, body = client.send("GET", programPath(id, ""), nil)
		gomega.Expect(body).To(gomega.ContainSubstring(`"used":{"tokens":13,"calls":1,"agents":1}`))
	})

	ginkgo.It("completes requests in progress before it shuts down", func() {
		release, started, _ := blockCalls(env.modelAgent)
		pending := client.sendAsync("POST", programPath(id, "/calls"), streamedCallBody("1", "fog?"))
		gomega.Eventually(started).Should(gomega.Receive())
		shutdownDone := make(chan error, 1)
		go func() { shutdownDone <- owner.entry.Shutdown(context.Background()) }()
		gomega.Consistently(shutdownDone, "100ms").ShouldNot(gomega.Receive())
		gomega.Expect(owner.hasLeft.Load()).To(gomega.BeFalse(), "streams are handed over only after the last request has ended")
		release()
		gomega.Expect((<-pending).body).To(gomega.ContainSubstring("event: done"))
		gomega.Eventually(shutdownDone, "3s").Should(gomega.Receive(gomega.BeNil()))
		gomega.Expect(owner.hasLeft.Load()).To(gomega.BeTrue())
	})

	ginkgo.It("reports the usage of an account to operators", func() {
		client.send("POST", programPath(id, "/calls"), callBody("1", "fog?"))
		client.send("POST", programPath(id, "/calls"), callBody("2", "now?"))
		env.fakeControl.mu.Lock()
		env.maxAdmitted = env.admitted["fog"]
		env.fakeControl.mu.Unlock()
		client.send("POST", programPath(id, "/calls"), callBody("3", "later?"))
		client.send("DELETE", programPath(id, ""), nil)
		clients := wire.NewClients("operator")
		ginkgo.DeferCleanup(clients.Close)
		var sample usage.Sample
		gomega.Expect(clients.Call(context.Background(), owner.entry.WireAddress(), entry.MethodUsage, struct{}{}, &sample, nil)).To(gomega.Succeed())
		accountUsage := sample.Accounts["fog"]
		gomega.Expect(accountUsage.Answered).To(gomega.Equal(int64(3)), "the start and two turns")
		gomega.Expect(accountUsage.Refused).To(gomega.Equal(map[spool.Code]int64{spool.CodeRateLimited: 1}))
		gomega.Expect(accountUsage.PromptTokens).To(gomega.Equal(int64(20)))
		gomega.Expect(accountUsage.RecomputedTokens).To(gomega.Equal(int64(10)), "the second turn found no cached prefix")
		gomega.Expect(accountUsage.Programs.Count()).To(gomega.Equal(int64(1)))
	})

	ginkgo.It("explains routing decisions and refusals to operators without an API key", func() {
		client.send("POST", programPath(id, "/calls"), callBody("1", "fog?"))
		clients := wire.NewClients("operator")
		ginkgo.DeferCleanup(clients.Close)
		var reply entry.ExplainReply
		request := entry.ExplainRequest{Program: id}
		gomega.Expect(clients.Call(context.Background(), owner.entry.WireAddress(), entry.MethodExplain, request, &reply, nil)).To(gomega.Succeed())
		gomega.Expect(reply.Decisions).To(gomega.HaveLen(1))
		gomega.Expect(reply.Decisions[0].Endpoint).To(gomega.Equal(spool.EndpointID("model-1")))
		gomega.Expect(reply.Decisions[0].Choice.Candidates).To(gomega.Equal(1))
		gomega.Expect(reply.Decisions[0].Choice.Chosen.Endpoint).To(gomega.Equal(spool.EndpointID("model-1")))
		env.fakeControl.mu.Lock()
		env.draining["walvis-b"] = true
		env.fakeControl.mu.Unlock()
		client.send("POST", programPath(id, "/calls"), callBody("2", "now?"))
		gomega.Expect(clients.Call(context.Background(), owner.entry.WireAddress(), entry.MethodExplain, request, &reply, nil)).To(gomega.Succeed())
		gomega.Expect(reply.Decisions[1].Reason).To(gomega.Equal(string(spool.CodeNoEndpoint)), "a refusal is recorded too")
		var status entry.StatusReply
		gomega.Expect(clients.Call(context.Background(), owner.entry.WireAddress(), entry.MethodStatus, struct{}{}, &status, nil)).To(gomega.Succeed())
		gomega.Expect(status.Streams).To(gomega.HaveLen(testStreamCount))
	})
})
