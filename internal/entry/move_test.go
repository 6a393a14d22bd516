package entry_test

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/entry"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// recordingOwner is a fakeStreams that names its own wire server as the owner of
// all streams. The server records every forwarded operation and refuses it.
type recordingOwner struct {
	*fakeStreams
	server *wire.Server

	mu       sync.Mutex
	messages []string
}

func (o *recordingOwner) OwnerOf(spool.Stream) (spool.NodeID, string, bool) {
	return "spy", o.server.Address(), true
}

func (o *recordingOwner) received() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string{}, o.messages...)
}

var _ = ginkgo.Describe("Several entries", func() {
	var (
		env              *testEnv
		forwarder, owner *fakeStreams
		client           testClient
	)

	ginkgo.BeforeEach(func() {
		env = newTestEnv()
		forwarder, owner = env.newEntry("entry-1"), env.newEntry("entry-2")
		env.assignStreams(owner, allStreams...)
		client = testClient{server: forwarder, account: "fog"}
	})

	ginkgo.It("forward operations to the owner and stream its answer", func() {
		id := client.startProgram(startBody)
		status, body := client.send("POST", programPath(id, "/calls"), streamedCallBody("1", "is there fog"))
		gomega.Expect(status).To(gomega.Equal(200), body)
		gomega.Expect(body).To(gomega.ContainSubstring(`data: {"callId":"1","text":"re: is there fog"`))
		status, body = client.send("POST", programPath(id, "/services/harvest-app"), bookingBody("2"))
		gomega.Expect(status).To(gomega.Equal(200), body)
		status, _ = testClient{server: forwarder, account: "other"}.send("GET", programPath(id, ""), nil)
		gomega.Expect(status).To(gomega.Equal(404), "the account is forwarded and checked")
		for _, raw := range append(env.modelAgent.rawRequests, env.serviceAgent.rawRequests...) {
			gomega.Expect(raw).NotTo(gomega.ContainSubstring("secret"))
		}
	})

	ginkgo.It("forward no API key and stop forwarding after a bounded number of notOwner refusals", func() {
		recorder := &recordingOwner{}
		var err error
		recorder.server, err = wire.Listen("127.0.0.1:0", wire.Mux{
			wire.MethodForward: func(_ context.Context, params json.RawMessage, _ wire.Send) (any, error) {
				recorder.mu.Lock()
				defer recorder.mu.Unlock()
				recorder.messages = append(recorder.messages, string(params))
				return nil, spool.Refuse(spool.CodeNotOwner, "not the owner")
			},
		}, nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(recorder.server.Close)
		config := entry.DefaultConfig
		config.Node, config.FailureDomain, config.ForwardFor = "entry-3", "swakop-a", 60_000
		third, err := entry.New(config, env.fakeControl, env.fakeControl)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		recorder.fakeStreams = &fakeStreams{fakeCluster: env.fakeCluster, entry: third, node: "entry-3"}
		gomega.Expect(third.Start(recorder)).To(gomega.Succeed())
		ginkgo.DeferCleanup(func() { _ = third.Shutdown(context.Background()) })
		status, body := testClient{server: recorder.fakeStreams, account: "fog"}.send("POST", "/v1/programs", startBody)
		gomega.Expect(status).To(gomega.Equal(503))
		gomega.Expect(body).To(gomega.ContainSubstring(`"code":"notOwner"`))
		gomega.Expect(body).To(gomega.ContainSubstring(`"notRun":"true"`))
		gomega.Expect(recorder.received()).To(gomega.HaveLen(8))
		for _, raw := range recorder.received() {
			gomega.Expect(raw).NotTo(gomega.ContainSubstring("bsk_"))
			gomega.Expect(raw).NotTo(gomega.ContainSubstring("secret"))
		}
	})

	ginkgo.It("answer a model call whose owner is replaced while it runs", func() {
		id := client.startProgram(startBody)
		release, started, _ := blockCalls(env.modelAgent)
		pending := client.sendAsync("POST", programPath(id, "/calls"), streamedCallBody("1", "fog?"))
		gomega.Eventually(started).Should(gomega.Receive())
		env.assignStreams(forwarder, allStreams...)
		release()
		response := <-pending
		gomega.Expect(response.status).To(gomega.Equal(200), response.body)
		gomega.Expect(response.body).To(gomega.ContainSubstring(`"text":"re: fog?"`))
		_, body := client.send("GET", programPath(id, ""), nil)
		gomega.Expect(body).To(gomega.ContainSubstring(`"turns":1`), "the turn is recorded once")
	})

	ginkgo.DescribeTable("resolve a non-idempotent call that the previous owner left in doubt",
		func(outcome wire.OutcomeQueryReply, status int, wantInBody string, dispatches int) {
			id := client.startProgram(startBody)
			_, started, _ := blockCalls(env.serviceAgent)
			pending := client.sendAsync("POST", programPath(id, "/services/harvest-app"), bookingBody("1"))
			gomega.Eventually(started).Should(gomega.Receive())
			env.serviceAgent.setHandler(nil)
			env.serviceAgent.setOutcome(outcome)
			env.assignStreams(forwarder, allStreams...)
			<-pending
			gomega.Eventually(func() int {
				answer, _ := client.send("POST", programPath(id, "/services/harvest-app"), bookingBody("1"))
				return answer
			}, "3s").Should(gomega.Equal(status))
			_, body := client.send("POST", programPath(id, "/services/harvest-app"), bookingBody("1"))
			gomega.Expect(body).To(gomega.ContainSubstring(wantInBody))
			gomega.Expect(env.serviceAgent.receivedRuns()).To(gomega.HaveLen(dispatches))
			env.serviceAgent.mu.Lock()
			defer env.serviceAgent.mu.Unlock()
			gomega.Expect(env.serviceAgent.outcomeRequests[0].Epoch).To(gomega.Equal(spool.Epoch(2)), "the outcome query fences the previous owner")
			gomega.Expect(env.serviceAgent.outcomeRequests[0].Mark.Boot).To(gomega.Equal("boot-plain-1"))
		},
		ginkgo.Entry("that ran", wire.OutcomeQueryReply{State: wire.CallStateDone, Reply: &wire.RunReply{
			Service: &spool.ServiceResult{Status: 200, Body: []byte("booked")},
		}}, 200, "booked", 1),
		ginkgo.Entry("that provably did not run", wire.OutcomeQueryReply{State: wire.CallStateNotSeen}, 200, "tanker 1", 2),
		ginkgo.Entry("whose outcome is unknown", wire.OutcomeQueryReply{State: wire.CallStateUnknown}, 502, "may have run and is not repeated", 1),
	)

	// Guards against refusing a call with CodeOutcomeUnknown while the call still
	// runs: callers do not retry after this refusal, although the answer will be
	// known.
	ginkgo.It("answer a non-idempotent call that still runs when its owner is replaced", func() {
		id := client.startProgram(startBody)
		_, started, _ := blockCalls(env.serviceAgent)
		pending := client.sendAsync("POST", programPath(id, "/services/harvest-app"), bookingBody("1"))
		gomega.Eventually(started).Should(gomega.Receive())
		env.serviceAgent.setHandler(nil)
		env.serviceAgent.setOutcome(wire.OutcomeQueryReply{State: wire.CallStateActive})
		env.assignStreams(forwarder, allStreams...)
		gomega.Consistently(pending, "1s").ShouldNot(gomega.Receive())
		env.serviceAgent.setOutcome(wire.OutcomeQueryReply{State: wire.CallStateDone, Reply: &wire.RunReply{
			Service: &spool.ServiceResult{Status: 200, Body: []byte("booked")},
		}})
		response := <-pending
		gomega.Expect(response.status).To(gomega.Equal(200), response.body)
		gomega.Expect(response.body).To(gomega.ContainSubstring("booked"))
		gomega.Expect(env.serviceAgent.receivedRuns()).To(gomega.HaveLen(1))
	})

	ginkgo.It("recover a program from the snapshot of its previous owner", func() {
		id := client.startProgram(startBody)
		client.send("POST", programPath(id, "/calls"), callBody("1", "fog?"))
		stream := spool.StreamOfProgram(id, testStreamCount)
		records := owner.entry.Applier().Snapshot(stream)
		env.fakeCluster.mu.Lock()
		env.batches[stream] = []spool.Batch{{Records: records}}
		env.fakeCluster.mu.Unlock()
		env.assignStreams(forwarder, stream)
		status, body := client.send("POST", programPath(id, "/calls"), callBody("2", "now?"))
		gomega.Expect(status).To(gomega.Equal(200), body)
		gomega.Expect(env.modelAgent.receivedRuns()[1].BaseCount).To(gomega.Equal(2))
		gomega.Expect(env.recordKinds(stream)).To(gomega.Equal([]spool.RecordKind{program.KindSnapshot, program.KindTurn}))
	})
})
