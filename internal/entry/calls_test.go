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
		b     *bench
		owner *member
		fog   caller
		id    spool.ProgramID
	)

	ginkgo.BeforeEach(func() {
		b = newBench()
		owner = b.entry("entry-1")
		b.give(owner, allStreams...)
		fog = caller{at: owner, account: "fog"}
		id = fog.start(mist)
	})

	ginkgo.It("joins a repeated call, replays it and refuses another body", func() {
		release, entered, _ := block(b.model)
		one := fog.later("POST", path(id, "/calls"), turn("1", "fog?"))
		gomega.Eventually(entered).Should(gomega.Receive())
		two := fog.later("POST", path(id, "/calls"), turn("1", "fog?"))
		behind := fog.later("POST", path(id, "/calls"), turn("2", "next"))
		gomega.Consistently(entered, "50ms").ShouldNot(gomega.Receive(), "a second call must wait for the first")
		release()
		first := <-one
		gomega.Expect(first.body).To(gomega.ContainSubstring("re: fog?"))
		gomega.Expect((<-two).body).To(gomega.Equal(first.body))
		gomega.Expect((<-behind).status).To(gomega.Equal(200))
		gomega.Expect(b.model.ran()).To(gomega.HaveLen(2))
		status, body := fog.send("POST", path(id, "/calls"), turn("1", "fog?"))
		gomega.Expect(status).To(gomega.Equal(200))
		gomega.Expect(body).To(gomega.ContainSubstring(`"replayed":true`))
		status, body = fog.send("POST", path(id, "/calls"), turn("1", "other"))
		gomega.Expect(status).To(gomega.Equal(409), body)
	})

	ginkgo.It("acknowledges no turn that is not durable", func() {
		b.cluster.refuse = func([]spool.Record, bool) error {
			return spool.Refuse(spool.CodeLogUnavailable, "log is down")
		}
		status, body := fog.send("POST", path(id, "/calls"), turn("1", "fog?"))
		gomega.Expect(status).To(gomega.Equal(503))
		gomega.Expect(body).To(gomega.ContainSubstring(`"notRun":"false"`), "the engine has run the call")
	})

	ginkgo.It("commits an intent on the log before a non-idempotent dispatch", func() {
		b.plain.answerWith(func(ctx context.Context, request wire.RunRequest, send wire.Send) (any, error) {
			kinds := b.kinds(spool.StreamOfProgram(id, testStreams))
			if kinds[len(kinds)-1] != program.KindIntent {
				return nil, spool.Refuse(spool.CodeInternal, "dispatched without an intent")
			}
			return b.plain.answer(ctx, request, send)
		})
		status, body := fog.send("POST", path(id, "/services/harvest-app"), booking("1"))
		gomega.Expect(status).To(gomega.Equal(200), body)
		gomega.Expect(body).To(gomega.ContainSubstring("tanker 1"))
		gomega.Expect(b.plain.ran()[0].Mark.Boot).To(gomega.Equal("boot-plain-1"))
		_, again := fog.send("POST", path(id, "/services/harvest-app"), booking("1"))
		gomega.Expect(again).To(gomega.ContainSubstring(`"replayed":true`))
		gomega.Expect(b.plain.ran()).To(gomega.HaveLen(1))
	})

	ginkgo.It("does not dispatch a non-idempotent call while the log is down", func() {
		b.cluster.refuse = func(_ []spool.Record, needsLog bool) error {
			if needsLog {
				return spool.Refuse(spool.CodeLogUnavailable, "log is down").WithRetryAfter(500)
			}
			return nil
		}
		status, body := fog.send("POST", path(id, "/services/harvest-app"), booking("1"))
		gomega.Expect(status).To(gomega.Equal(503))
		gomega.Expect(body).To(gomega.ContainSubstring(`"notRun":"true","retryAfterMs":500`))
		gomega.Expect(b.plain.ran()).To(gomega.BeEmpty())
	})

	ginkgo.DescribeTable("finds out the fate of a non-idempotent call whose answer was lost",
		func(fate wire.FateReply, status int, part string, dispatches int) {
			calls := 0
			b.plain.answerWith(func(ctx context.Context, request wire.RunRequest, send wire.Send) (any, error) {
				if calls++; calls == 1 {
					return nil, spool.Refuse(spool.CodeEndpointFailed, "reset").WithNotRun(spool.NotRunUnknown)
				}
				return b.plain.answer(ctx, request, send)
			})
			if fate.Reply != nil {
				fate.Reply.Service = &spool.ServiceResult{Status: 201, Body: []byte("booked")}
			}
			b.plain.fate = fate
			other := newAgent("plain-2")
			b.join("harvest-app", other)
			for range 2 {
				got, body := fog.send("POST", path(id, "/services/harvest-app"), booking("1"))
				gomega.Expect(got).To(gomega.Equal(status), body)
				gomega.Expect(body).To(gomega.ContainSubstring(part))
			}
			gomega.Expect(len(b.plain.ran()) + len(other.ran())).To(gomega.Equal(dispatches))
		},
		ginkgo.Entry("done", wire.FateReply{Fate: wire.FateDone, Reply: &wire.RunReply{}}, 200, "booked", 1),
		ginkgo.Entry("not run", wire.FateReply{Fate: wire.FateNotSeen}, 200, "tanker 1", 2),
		ginkgo.Entry("unknown", wire.FateReply{Fate: wire.FateUnknown}, 502, `"notRun":"unknown"`, 1),
	)

	ginkgo.It("learns the mark of an agent that has restarted and numbers its dispatches upwards", func() {
		b.plain.answerWith(func(ctx context.Context, request wire.RunRequest, send wire.Send) (any, error) {
			if request.Attempt < 2 {
				return nil, spool.Refuse(spool.CodeFenced, "call was meant for an earlier start of the agent")
			}
			return b.plain.answer(ctx, request, send)
		})
		for _, call := range []string{"1", "2"} {
			status, body := fog.send("POST", path(id, "/services/harvest-app"), booking(call))
			gomega.Expect(status).To(gomega.Equal(200), body)
		}
		var attempts []uint64
		for _, request := range b.plain.ran() {
			attempts = append(attempts, request.Attempt)
		}
		gomega.Expect(attempts).To(gomega.Equal([]uint64{1, 2, 3}))
	})

	ginkgo.It("resends the history once when the agent lacks it", func() {
		fog.send("POST", path(id, "/calls"), turn("1", "fog?"))
		b.model.answerWith(func(ctx context.Context, request wire.RunRequest, send wire.Send) (any, error) {
			if request.BaseCount > 0 {
				return nil, spool.Refuse(spool.CodeNeedHistory, "history is gone")
			}
			return b.model.answer(ctx, request, send)
		})
		status, _ := fog.send("POST", path(id, "/calls"), turn("2", "now?"))
		gomega.Expect(status).To(gomega.Equal(200))
		ran := b.model.ran()
		gomega.Expect(ran[len(ran)-1].Messages).To(gomega.Equal([]spool.Message{
			{Role: "user", Content: "fog?"}, spool.AnswerMessage("re: fog?"), {Role: "user", Content: "now?"},
		}))
	})

	ginkgo.It("retries elsewhere and restarts a stream whose text differs", func() {
		b.model.answerWith(func(_ context.Context, request wire.RunRequest, send wire.Send) (any, error) {
			_ = send(spool.Chunk{Correlation: request.Correlation, Text: "something else"})
			return nil, spool.Refuse(spool.CodeEndpointFailed, "reset").WithNotRun(spool.NotRunUnknown)
		})
		b.join("mist-models", newAgent("model-2"))
		_, body := fog.send("POST", path(id, "/calls"), streamed("1", "fog?"))
		if strings.Contains(body, "something else") {
			gomega.Expect(body).To(gomega.ContainSubstring("event: restart"))
		}
		gomega.Expect(body).To(gomega.ContainSubstring(`"text":"re: fog?","promptTokens"`))
	})

	ginkgo.It("refuses truthfully when no endpoint takes work", func() {
		b.operators.mu.Lock()
		b.draining["walvis-b"] = true
		b.operators.mu.Unlock()
		status, body := fog.send("POST", path(id, "/calls"), turn("1", "fog?"))
		gomega.Expect(status).To(gomega.Equal(503))
		gomega.Expect(body).To(gomega.ContainSubstring(`"code":"noEndpoint"`))
		gomega.Expect(body).To(gomega.ContainSubstring(`"notRun":"true","retryAfterMs":1000`))
		gomega.Expect(b.model.ran()).To(gomega.BeEmpty())
	})

	ginkgo.It("holds an account to its rate, but for repeats of what has run", func() {
		fog.send("POST", path(id, "/calls"), turn("1", "fog?"))
		b.operators.mu.Lock()
		b.rate = b.taken["fog"]
		b.operators.mu.Unlock()
		status, body := fog.send("POST", path(id, "/calls"), turn("2", "fog?"))
		gomega.Expect(status).To(gomega.Equal(429))
		gomega.Expect(body).To(gomega.ContainSubstring(`"retryAfterMs":250`))
		status, _ = fog.send("POST", path(id, "/calls"), turn("1", "fog?"))
		gomega.Expect(status).To(gomega.Equal(200))
	})

	ginkgo.It("cancels the engine's work when the caller leaves the stream", func() {
		_, entered, cut := block(b.model)
		response := fog.open("POST", path(id, "/calls"), streamed("1", "fog?"))
		gomega.Eventually(entered).Should(gomega.Receive())
		gomega.Expect(response.Body.Close()).To(gomega.Succeed())
		gomega.Eventually(cut, "2s").Should(gomega.Receive())
		var view program.View
		gomega.Eventually(func() spool.CallID {
			_, body := fog.send("GET", path(id, ""), nil)
			view = program.View{}
			gomega.Expect(json.Unmarshal([]byte(body), &view)).To(gomega.Succeed())
			return view.Running
		}).Should(gomega.BeEmpty())
		gomega.Expect(view.Used.Calls).To(gomega.Equal(1), "a cancelled call is charged")
		gomega.Expect(view.Reserved).To(gomega.Equal(program.Usage{}))
	})

	ginkgo.It("ends the streams of a withdrawn key", func() {
		_, entered, cut := block(b.model)
		got := fog.later("POST", path(id, "/calls"), streamed("1", "fog?"))
		gomega.Eventually(entered).Should(gomega.Receive())
		close(b.withdrawn["fog"])
		gomega.Eventually(cut, "2s").Should(gomega.Receive())
		gomega.Expect((<-got).body).To(gomega.ContainSubstring("keyWithdrawn"))
	})

	ginkgo.It("cuts the calls of a cancelled program", func() {
		_, entered, cut := block(b.model)
		got := fog.later("POST", path(id, "/calls"), turn("1", "fog?"))
		gomega.Eventually(entered).Should(gomega.Receive())
		status, body := fog.send("POST", path(id, "/cancel"), nil)
		gomega.Expect(status).To(gomega.Equal(200))
		gomega.Expect(body).To(gomega.ContainSubstring(`"ended":"cancelled"`))
		gomega.Eventually(cut).Should(gomega.Receive())
		gomega.Expect((<-got).status).To(gomega.Equal(499))
	})

	ginkgo.It("spawns sub-agents on the budget of their root", func() {
		status, body := fog.send("POST", path(id, "/agents"), map[string]any{"callId": "s"})
		gomega.Expect(status).To(gomega.Equal(201), body)
		var child entry.StartReply
		gomega.Expect(json.Unmarshal([]byte(body), &child)).To(gomega.Succeed())
		gomega.Expect(child.Program.Root()).To(gomega.Equal(id))
		fog.send("POST", path(child.Program, "/calls"), turn("1", "fog?"))
		_, body = fog.send("GET", path(id, ""), nil)
		gomega.Expect(body).To(gomega.ContainSubstring(`"used":{"tokens":13,"calls":1,"agents":1}`))
	})

	ginkgo.It("lets a request that is under way finish a shutdown", func() {
		release, entered, _ := block(b.model)
		got := fog.later("POST", path(id, "/calls"), streamed("1", "fog?"))
		gomega.Eventually(entered).Should(gomega.Receive())
		down := make(chan error, 1)
		go func() { down <- owner.entry.Shutdown(context.Background()) }()
		gomega.Consistently(down, "100ms").ShouldNot(gomega.Receive())
		gomega.Expect(owner.left.Load()).To(gomega.BeFalse(), "streams are handed over only after the last request")
		release()
		gomega.Expect((<-got).body).To(gomega.ContainSubstring("event: done"))
		gomega.Eventually(down, "3s").Should(gomega.Receive(gomega.BeNil()))
		gomega.Expect(owner.left.Load()).To(gomega.BeTrue())
	})

	ginkgo.It("counts for operators what an account was given", func() {
		fog.send("POST", path(id, "/calls"), turn("1", "fog?"))
		fog.send("POST", path(id, "/calls"), turn("2", "now?"))
		b.operators.mu.Lock()
		b.rate = b.taken["fog"]
		b.operators.mu.Unlock()
		fog.send("POST", path(id, "/calls"), turn("3", "later?"))
		fog.send("DELETE", path(id, ""), nil)
		clients := wire.NewClients("operator")
		ginkgo.DeferCleanup(clients.Close)
		var sample usage.Sample
		gomega.Expect(clients.Call(context.Background(), owner.entry.WireAddress(), entry.MethodUsage, struct{}{}, &sample, nil)).To(gomega.Succeed())
		got := sample.Accounts["fog"]
		gomega.Expect(got.Answered).To(gomega.Equal(int64(3)), "the start and two turns")
		gomega.Expect(got.Refused).To(gomega.Equal(map[spool.Code]int64{spool.CodeRateLimited: 1}))
		gomega.Expect(got.PromptTokens).To(gomega.Equal(int64(20)))
		gomega.Expect(got.RecomputedTokens).To(gomega.Equal(int64(10)), "the second turn found nothing in the cache")
		gomega.Expect(got.Programs.Count()).To(gomega.Equal(int64(1)))
	})

	ginkgo.It("explains a program to operators without a key", func() {
		fog.send("POST", path(id, "/calls"), turn("1", "fog?"))
		clients := wire.NewClients("operator")
		ginkgo.DeferCleanup(clients.Close)
		var reply entry.ExplainReply
		request := entry.ExplainRequest{Program: id}
		gomega.Expect(clients.Call(context.Background(), owner.entry.WireAddress(), entry.MethodExplain, request, &reply, nil)).To(gomega.Succeed())
		gomega.Expect(reply.Decisions).To(gomega.HaveLen(1))
		gomega.Expect(reply.Decisions[0].Endpoint).To(gomega.Equal(spool.EndpointID("model-1")))
		gomega.Expect(reply.Decisions[0].Choice.Candidates).To(gomega.Equal(1))
		gomega.Expect(reply.Decisions[0].Choice.Chosen.Endpoint).To(gomega.Equal(spool.EndpointID("model-1")))
		b.operators.mu.Lock()
		b.draining["walvis-b"] = true
		b.operators.mu.Unlock()
		fog.send("POST", path(id, "/calls"), turn("2", "now?"))
		gomega.Expect(clients.Call(context.Background(), owner.entry.WireAddress(), entry.MethodExplain, request, &reply, nil)).To(gomega.Succeed())
		gomega.Expect(reply.Decisions[1].Reason).To(gomega.Equal(string(spool.CodeNoEndpoint)), "a refusal is explained too")
		var status entry.StatusReply
		gomega.Expect(clients.Call(context.Background(), owner.entry.WireAddress(), entry.MethodStatus, struct{}{}, &status, nil)).To(gomega.Succeed())
		gomega.Expect(status.Streams).To(gomega.HaveLen(testStreams))
	})
})
