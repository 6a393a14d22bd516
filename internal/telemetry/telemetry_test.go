package telemetry_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestTelemetry(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "telemetry")
}

var _ = ginkgo.Describe("Telemetry", func() {
	ginkgo.It("counts refusals and retries by reason", func() {
		t, err := telemetry.New("e1", zap.NewNop())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		t.CountRefusal(spool.CodeRateLimited)
		t.CountRefusal(spool.CodeRateLimited)
		t.CountRetry(spool.FailureLost)
		gomega.Expect(t.Totals()).To(gomega.Equal(map[telemetry.Series]int64{
			{Kind: telemetry.KindRefusal, Label: "rateLimited"}: 2,
			{Kind: telemetry.KindRetry, Label: "lost"}:          1,
		}))
	})

	// Guards against stack traces in the log. During an outage of the platform they would
	// make the log line of each failed read several kilobytes long.
	ginkgo.It("logs errors with the prefix of the part and without stack traces", func() {
		core, logged := observer.New(zapcore.InfoLevel)
		t, err := telemetry.New("e1", zap.New(core))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		t.Logger("control").Warn("log is unavailable", zap.Error(errors.New("refused")))
		entry := logged.All()[0]
		gomega.Expect(entry.Message).To(gomega.Equal("[control] log is unavailable"))
		gomega.Expect(entry.ContextMap()).To(gomega.Equal(map[string]any{"node": "e1", "error": "refused"}))
	})

	ginkgo.It("rejects a log format and a level that do not exist", func() {
		_, err := telemetry.NewLogger("xml", "info")
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(`"xml"`)))
		_, err = telemetry.NewLogger("json", "loud")
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})
