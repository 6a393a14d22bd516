package adapters_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/adapters"
	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestPlatform(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "platform")
}

func serverAddress(server *standin.Server, err error) string {
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(server.Close)
	return server.Address()
}

var _ = ginkgo.Describe("Log", func() {
	var (
		log    *standin.Log
		client *adapters.Log
		ctx    = context.Background()
	)

	ginkgo.BeforeEach(func() {
		log = standin.NewLog(1)
		client = adapters.NewLog(serverAddress(standin.ServeLog(log, "127.0.0.1:0", "")))
	})

	ginkgo.It("reads back what was appended, in order", func() {
		for _, id := range []string{"a", "b", "c"} {
			_, err := client.Append(ctx, "s", spool.Batch{ID: id})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		page, err := client.Read(ctx, "s", 1, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(page.Last).To(gomega.Equal(spool.Offset(3)))
		gomega.Expect(page.Batches).To(gomega.HaveLen(2))
		gomega.Expect(page.Batches[0].ID).To(gomega.Equal("b"))
	})

	ginkgo.It("wakes a waiting read when a batch arrives", func() {
		time.AfterFunc(30*time.Millisecond, func() { _, _ = log.Append(ctx, "s", spool.Batch{ID: "late"}) })
		page, err := client.Read(ctx, "s", 0, 2000)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(page.Batches).To(gomega.HaveLen(1))
	})

	ginkgo.It("tells an append without effect from one whose answer was lost", func() {
		log.SetFaults(standin.LogFaults{Down: true})
		_, err := client.Append(ctx, "s", spool.Batch{ID: "a"})
		gomega.Expect(errors.Is(err, spool.ErrLogUnavailable)).To(gomega.BeTrue())
		log.SetFaults(standin.LogFaults{ResponseLossRate: 1})
		_, err = client.Append(ctx, "s", spool.Batch{ID: "b"})
		gomega.Expect(errors.Is(err, spool.ErrOutcomeUnknown)).To(gomega.BeTrue())
		gomega.Expect(log.Batches("s")).To(gomega.HaveLen(1))
	})

	ginkgo.It("reports records that retention has removed", func() {
		log.SetFaults(standin.LogFaults{RetainBatches: 1})
		for range 3 {
			_, err := client.Append(ctx, "s", spool.Batch{})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		page, err := client.Read(ctx, "s", 0, 0)
		gomega.Expect(errors.Is(err, spool.ErrTrimmed)).To(gomega.BeTrue())
		gomega.Expect(page.First).To(gomega.Equal(spool.Offset(3)))
	})
})

var _ = ginkgo.Describe("Engine", func() {
	var (
		engine *standin.Engine
		client *adapters.Engine
		call   = spool.EngineCall{
			Correlation: "c1", Program: "p", MaxTokens: 4,
			Messages: []spool.Message{{Role: "user", Content: "knots per square decimetre?"}},
		}
	)

	ginkgo.BeforeEach(func() {
		engine = standin.NewEngine(standin.DefaultEngineSettings(), 1)
		client = adapters.NewEngine(serverAddress(standin.ServeEngine(engine, "127.0.0.1:0", "")))
	})

	ginkgo.It("exports a prefix, imports it after a restart and says when nothing was exported", func() {
		ctx := context.Background()
		discard := func(spool.Chunk) error { return nil }
		first, err := client.Generate(ctx, call, discard)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		export, err := client.Export(ctx, "p", "x1")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(export.Tokens).To(gomega.BeNumerically(">=", first.PromptTokens))
		gomega.Expect(client.Sessions(ctx)).To(gomega.BeEmpty())
		_, err = client.Export(ctx, "p", "x2")
		gomega.Expect(err).To(gomega.MatchError(spool.ErrRejected))
		engine.Restart()
		gomega.Expect(client.Exports(ctx)).To(gomega.ConsistOf(export))
		gomega.Expect(client.Import(ctx, "q", "x1")).NotTo(gomega.Succeed())
		gomega.Expect(client.Import(ctx, "p", "x1")).To(gomega.Succeed())
		again, err := client.Generate(ctx, call, discard)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(again.CachedTokens).To(gomega.Equal(first.PromptTokens))
		settings := engine.Settings()
		settings.DropTransferResponses = true
		engine.SetSettings(settings)
		_, err = client.Export(ctx, "p", "x3")
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(err).NotTo(gomega.MatchError(spool.ErrRejected))
		gomega.Expect(client.Exports(ctx)).To(gomega.HaveLen(2))
		for _, id := range []string{"x1", "x3", "x3"} {
			gomega.Expect(client.FreeExport(ctx, id)).To(gomega.Succeed())
		}
		gomega.Expect(client.Exports(ctx)).To(gomega.BeEmpty())
	})

	ginkgo.It("streams the answer in order and holds the program's memory until freed", func() {
		text := ""
		result, err := client.Generate(context.Background(), call, func(chunk spool.Chunk) error {
			text += chunk.Text
			return nil
		})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(result.Text).To(gomega.Equal(text))
		gomega.Expect(client.Sessions(context.Background())).To(gomega.ConsistOf(spool.ProgramID("p")))
		gomega.Expect(client.Free(context.Background(), "p")).To(gomega.Succeed())
		gomega.Expect(client.Sessions(context.Background())).To(gomega.BeEmpty())
	})

	ginkgo.It("fails a call that a restart interrupts, and never returns a complete answer", func() {
		long := call
		long.MaxTokens = 10_000
		time.AfterFunc(50*time.Millisecond, engine.Restart)
		_, err := client.Generate(context.Background(), long, func(spool.Chunk) error { return nil })
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(errors.Is(err, spool.ErrNotSent)).To(gomega.BeFalse())
	})

	ginkgo.It("ends the engine's stream when the context is cancelled", func() {
		long := call
		long.MaxTokens = 10_000
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := client.Generate(ctx, long, func(spool.Chunk) error { return nil })
		gomega.Expect(errors.Is(err, context.DeadlineExceeded)).To(gomega.BeTrue())
		gomega.Eventually(func() int {
			load, _ := client.Load(context.Background())
			return load.Running
		}, "2s").Should(gomega.BeZero())
	})

	ginkgo.It("maps a refused order to the stale fence error", func() {
		gomega.Expect(client.Order(context.Background(), spool.EngineOrder{Fence: 5})).To(gomega.Succeed())
		err := client.Order(context.Background(), spool.EngineOrder{Fence: 4})
		gomega.Expect(errors.Is(err, spool.ErrStaleFence)).To(gomega.BeTrue())
	})
})

var _ = ginkgo.Describe("Service", func() {
	ginkgo.It("proves not sent only when nothing was sent", func() {
		service := standin.NewService()
		server, err := standin.ServeService(service, "127.0.0.1:0", "")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		client := adapters.NewService(server.Address())
		call := spool.ServiceCall{Correlation: "c", Call: "payout-1", Method: "POST", Path: "/payouts"}
		result, err := client.Call(context.Background(), call)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(result.Status).To(gomega.Equal(200))
		service.SetFaults(standin.ServiceFaults{DropAnswers: true})
		_, err = client.Call(context.Background(), call)
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(errors.Is(err, spool.ErrNotSent)).To(gomega.BeFalse())
		gomega.Expect(service.Stats().Executions["payout-1"]).To(gomega.Equal(2))
		server.Close()
		_, err = client.Call(context.Background(), call)
		gomega.Expect(errors.Is(err, spool.ErrNotSent)).To(gomega.BeTrue())
	})
})
