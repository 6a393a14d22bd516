package usage_test

import (
	"encoding/json"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/baobabspool/baobabspool/internal/fixedseed"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
	"github.com/baobabspool/baobabspool/pkg/usage"
)

func TestMain(m *testing.M) { fixedseed.Main(m, nil) }

func TestUsage(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "usage")
}

var _ = ginkgo.Describe("Compare", func() {
	limit := map[spool.AccountID]usage.Limit{"fog": {RatePerSecond: 2, Burst: 5}, "rugs": {RatePerSecond: 100, Burst: 100}}
	sample := func(r *usage.Recorder, at clock.Millis) usage.Sample {
		sample := r.Sample(at)
		sample.Limits = limit
		// Samples are sent between processes as JSON. Decoding the encoded sample guards
		// against fields that are lost.
		encoded, err := json.Marshal(sample)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		read := usage.Sample{}
		gomega.Expect(json.Unmarshal(encoded, &read)).To(gomega.Succeed())
		return read
	}
	repeat := func(n int, do func()) {
		for range n {
			do()
		}
	}

	// Guards against reports that include counts from before the window, or that include
	// requests above the rate limit in DueRequests.
	ginkgo.It("tells what was due within the window and who was served worst", func() {
		one, two := usage.NewRecorder("e1", 0), usage.NewRecorder("e2", 0)
		repeat(50, func() { one.Refused("fog", spool.CodeOverloaded) })
		before := []usage.Sample{sample(one, 1000), sample(two, 1000)}
		repeat(20, func() { one.Answered("fog") })
		repeat(30, func() { two.Refused("fog", spool.CodeRateLimited) })
		repeat(8, func() { one.Answered("rugs") })
		repeat(2, func() { two.Refused("rugs", spool.CodeOverloaded) })
		repeat(9, func() { two.Refused("rugs", spool.CodeBadRequest) })
		report := usage.Compare(before, []usage.Sample{sample(one, 11000), sample(two, 11000)})
		gomega.Expect(report.Window).To(gomega.Equal(10 * clock.Second))
		gomega.Expect(report.Accounts).To(gomega.HaveLen(2))
		fog, rugs := report.Accounts[0], report.Accounts[1]
		gomega.Expect(fog.DueRequests).To(gomega.Equal(25.0))
		gomega.Expect(fog.ServedShare).To(gomega.Equal(0.8))
		gomega.Expect(fog.RefusedWithinRate).To(gomega.Equal(5.0))
		gomega.Expect(rugs.Offered).To(gomega.Equal(int64(10)), "bad requests are not offered")
		gomega.Expect(rugs.RefusedWithinRate).To(gomega.BeZero())
		gomega.Expect(report.LowestServed).To(gomega.Equal(spool.AccountID("fog")))
		gomega.Expect(report.Total.ServedShare).To(gomega.BeNumerically("~", 28.0/35, 1e-9))
	})

	// Guards against negative counts after a process was replaced, and against a report
	// that does not name a process without a second sample.
	ginkgo.It("counts a replaced process from its start and names one that is gone", func() {
		replaced, missing := usage.NewRecorder("e1", 0), usage.NewRecorder("e2", 0)
		repeat(100, func() { replaced.Answered("fog") })
		before := []usage.Sample{sample(replaced, 1000), sample(missing, 1000)}
		replacement := usage.NewRecorder("e1", 4000)
		repeat(3, func() { replacement.Answered("fog") })
		report := usage.Compare(before, []usage.Sample{sample(replacement, 6000)})
		gomega.Expect(report.Accounts[0].Answered).To(gomega.Equal(int64(3)))
		gomega.Expect(report.Replaced).To(gomega.Equal(1))
		gomega.Expect(report.Missing).To(gomega.Equal([]spool.NodeID{"e2"}))
	})

	ginkgo.It("counts as recomputed only what an earlier turn had computed", func() {
		r := usage.NewRecorder("e1", 0)
		r.Turn("fog", usage.TurnTokens{History: 0, Prompt: 100, Cached: 0})
		r.Turn("fog", usage.TurnTokens{History: 100, Prompt: 150, Cached: 40})
		r.Turn("fog", usage.TurnTokens{History: 150, Prompt: 250, Cached: 200})
		report := usage.Compare(nil, []usage.Sample{sample(r, 1000)})
		gomega.Expect(report.Total.RecomputedTokens).To(gomega.Equal(int64(60)))
		gomega.Expect(report.Total.RecomputedShare).To(gomega.BeNumerically("~", 0.12, 1e-9))
	})
})

// TestWindows checks that the reports of consecutive windows, including latencies, add
// up to the report of the whole time.
func TestWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := usage.NewRecorder("e1", 0)
		samples := []usage.Sample{r.Sample(0)}
		for at := range rapid.IntRange(1, 5).Draw(t, "windows") {
			for range rapid.IntRange(0, 20).Draw(t, "events") {
				r.Answered("fog")
				r.ProgramEnded("fog", clock.Millis(rapid.Int64Range(-5, 1<<40).Draw(t, "took")))
			}
			samples = append(samples, r.Sample(clock.Millis(at+1)*clock.Second))
		}
		var answered, programs int64
		for i := 1; i < len(samples); i++ {
			total := usage.Compare(samples[i-1:i], samples[i:i+1]).Total
			answered += total.Answered
			programs += total.Programs.Count()
			if total.Programs.Count() > 0 && total.Programs.Quantile(50) <= 0 {
				t.Fatalf("median of %d programs is %v", total.Programs.Count(), total.Programs.Quantile(50))
			}
		}
		overall := usage.Compare(samples[:1], samples[len(samples)-1:]).Total
		if overall.Answered != answered || overall.Programs.Count() != programs {
			t.Fatalf("windows sum to %d answers and %d programs, the whole time has %d and %d", answered, programs, overall.Answered, overall.Programs.Count())
		}
	})
}
