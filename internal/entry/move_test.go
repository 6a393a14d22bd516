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

// spy stands for the owner of all streams and keeps what is sent to it.
type spy struct {
	*member
	server *wire.Server

	mu  sync.Mutex
	raw []string
}

func (s *spy) OwnerOf(spool.Stream) (spool.NodeID, string, bool) {
	return "spy", s.server.Address(), true
}

func (s *spy) sent() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.raw...)
}

var _ = ginkgo.Describe("Several entries", func() {
	var (
		b           *bench
		near, owner *member
		fog         caller
	)

	ginkgo.BeforeEach(func() {
		b = newBench()
		near, owner = b.entry("entry-1"), b.entry("entry-2")
		b.give(owner, allStreams...)
		fog = caller{at: near, account: "fog"}
	})

	ginkgo.It("forwards every operation to the owner and streams the answer", func() {
		id := fog.start(mist)
		status, body := fog.send("POST", path(id, "/calls"), streamed("1", "is there fog"))
		gomega.Expect(status).To(gomega.Equal(200), body)
		gomega.Expect(body).To(gomega.ContainSubstring(`data: {"callId":"1","text":"re: is there fog"`))
		status, body = fog.send("POST", path(id, "/services/harvest-app"), booking("2"))
		gomega.Expect(status).To(gomega.Equal(200), body)
		status, _ = caller{at: near, account: "other"}.send("GET", path(id, ""), nil)
		gomega.Expect(status).To(gomega.Equal(404), "the account of the key is forwarded and checked")
		for _, raw := range append(b.model.raw, b.plain.raw...) {
			gomega.Expect(raw).NotTo(gomega.ContainSubstring("secret"))
		}
	})

	ginkgo.It("never sends a key and follows notOwner a bounded number of times", func() {
		watch := &spy{}
		var err error
		watch.server, err = wire.Listen("127.0.0.1:0", wire.Mux{
			wire.MethodForward: func(_ context.Context, params json.RawMessage, _ wire.Send) (any, error) {
				watch.mu.Lock()
				defer watch.mu.Unlock()
				watch.raw = append(watch.raw, string(params))
				return nil, spool.Refuse(spool.CodeNotOwner, "not the owner")
			},
		}, nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(watch.server.Close)
		config := entry.DefaultConfig
		config.Node, config.FailureDomain, config.ForwardFor = "entry-3", "swakop-a", 60_000
		third, err := entry.New(config, b.operators, b.operators)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		watch.member = &member{cluster: b.cluster, entry: third, node: "entry-3"}
		gomega.Expect(third.Start(watch)).To(gomega.Succeed())
		ginkgo.DeferCleanup(func() { _ = third.Shutdown(context.Background()) })
		status, body := caller{at: watch.member, account: "fog"}.send("POST", "/v1/programs", mist)
		gomega.Expect(status).To(gomega.Equal(503))
		gomega.Expect(body).To(gomega.ContainSubstring(`"code":"notOwner"`))
		gomega.Expect(body).To(gomega.ContainSubstring(`"notRun":"true"`))
		gomega.Expect(watch.sent()).To(gomega.HaveLen(8))
		for _, raw := range watch.sent() {
			gomega.Expect(raw).NotTo(gomega.ContainSubstring("bsk_"))
			gomega.Expect(raw).NotTo(gomega.ContainSubstring("secret"))
		}
	})

	ginkgo.It("answers a model call whose owner was replaced while it ran", func() {
		id := fog.start(mist)
		release, entered, _ := block(b.model)
		got := fog.later("POST", path(id, "/calls"), streamed("1", "fog?"))
		gomega.Eventually(entered).Should(gomega.Receive())
		b.give(near, allStreams...)
		release()
		end := <-got
		gomega.Expect(end.status).To(gomega.Equal(200), end.body)
		gomega.Expect(end.body).To(gomega.ContainSubstring(`"text":"re: fog?"`))
		_, body := fog.send("GET", path(id, ""), nil)
		gomega.Expect(body).To(gomega.ContainSubstring(`"turns":1`), "the turn is recorded once")
	})

	ginkgo.DescribeTable("resolves a booking that the owner before has left under way",
		func(fate wire.FateReply, status int, part string, dispatches int) {
			id := fog.start(mist)
			_, entered, _ := block(b.plain)
			got := fog.later("POST", path(id, "/services/harvest-app"), booking("1"))
			gomega.Eventually(entered).Should(gomega.Receive())
			b.plain.answerWith(nil)
			b.plain.decide(fate)
			b.give(near, allStreams...)
			<-got
			gomega.Eventually(func() int {
				answer, _ := fog.send("POST", path(id, "/services/harvest-app"), booking("1"))
				return answer
			}, "3s").Should(gomega.Equal(status))
			_, body := fog.send("POST", path(id, "/services/harvest-app"), booking("1"))
			gomega.Expect(body).To(gomega.ContainSubstring(part))
			gomega.Expect(b.plain.ran()).To(gomega.HaveLen(dispatches))
			b.plain.mu.Lock()
			defer b.plain.mu.Unlock()
			gomega.Expect(b.plain.fates[0].Epoch).To(gomega.Equal(spool.Epoch(2)), "the question fences the owner before")
			gomega.Expect(b.plain.fates[0].Mark.Boot).To(gomega.Equal("boot-plain-1"))
		},
		ginkgo.Entry("that ran", wire.FateReply{Fate: wire.FateDone, Reply: &wire.RunReply{
			Service: &spool.ServiceResult{Status: 200, Body: []byte("booked")},
		}}, 200, "booked", 1),
		ginkgo.Entry("that provably did not run", wire.FateReply{Fate: wire.FateNotSeen}, 200, "tanker 1", 2),
		ginkgo.Entry("of which nothing is known", wire.FateReply{Fate: wire.FateUnknown}, 502, "may have run and is not repeated", 1),
	)

	// Guards against the refusal unknownFate, which ends a caller's attempts,
	// for a call whose answer will be known.
	ginkgo.It("answers a booking that still runs when its owner is replaced", func() {
		id := fog.start(mist)
		_, entered, _ := block(b.plain)
		got := fog.later("POST", path(id, "/services/harvest-app"), booking("1"))
		gomega.Eventually(entered).Should(gomega.Receive())
		b.plain.answerWith(nil)
		b.plain.decide(wire.FateReply{Fate: wire.FateRunning})
		b.give(near, allStreams...)
		gomega.Consistently(got, "1s").ShouldNot(gomega.Receive())
		b.plain.decide(wire.FateReply{Fate: wire.FateDone, Reply: &wire.RunReply{
			Service: &spool.ServiceResult{Status: 200, Body: []byte("booked")},
		}})
		end := <-got
		gomega.Expect(end.status).To(gomega.Equal(200), end.body)
		gomega.Expect(end.body).To(gomega.ContainSubstring("booked"))
		gomega.Expect(b.plain.ran()).To(gomega.HaveLen(1))
	})

	ginkgo.It("hands a snapshot to the next owner", func() {
		id := fog.start(mist)
		fog.send("POST", path(id, "/calls"), turn("1", "fog?"))
		stream := spool.StreamOfProgram(id, testStreams)
		records := owner.entry.Applier().Snapshot(stream)
		b.cluster.mu.Lock()
		b.batches[stream] = []spool.Batch{{Records: records}}
		b.cluster.mu.Unlock()
		b.give(near, stream)
		status, body := fog.send("POST", path(id, "/calls"), turn("2", "now?"))
		gomega.Expect(status).To(gomega.Equal(200), body)
		gomega.Expect(b.model.ran()[1].BaseCount).To(gomega.Equal(2))
		gomega.Expect(b.kinds(stream)).To(gomega.Equal([]spool.RecordKind{program.KindSnapshot, program.KindTurn}))
	})
})
