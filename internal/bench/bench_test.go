package bench_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/bench"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// TestRun guards against a simulation that is not deterministic, and against policies
// that over-admit, overload cold endpoints or lose prefixes in long pauses. The naive
// baseline must overload cold endpoints; otherwise the test could not detect overloads.
func TestRun(t *testing.T) {
	g := gomega.NewWithT(t)
	first, err := bench.Run(1, bench.PolicyVariant(), 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	second, err := bench.Run(1, bench.PolicyVariant(), 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(second).To(gomega.Equal(first))
	g.Expect(first.Cells).To(gomega.HaveLen(6))
	baseline := 0
	for _, cell := range first.Cells {
		g.Expect(cell.Policy.OverAdmission).To(gomega.BeZero())
		g.Expect(cell.Policy.Overloads).To(gomega.BeZero())
		baseline += cell.Baseline.Overloads
		if cell.ShortMemory {
			g.Expect(cell.Policy.Recomputed).To(gomega.BeNumerically("<", 0.15), "without exports it is above 0.6")
		}
	}
	g.Expect(baseline).To(gomega.BeNumerically(">", 0))
	var text, object bytes.Buffer
	g.Expect(first.WriteTable(&text)).To(gomega.Succeed())
	g.Expect(text.String()).To(gomega.ContainSubstring("over-admission"))
	g.Expect(first.WriteJSON(&object)).To(gomega.Succeed())
	g.Expect(json.Valid(object.Bytes())).To(gomega.BeTrue())
}

// TestUnknownPolicy guards against a panic on a misspelt policy name.
func TestUnknownPolicy(t *testing.T) {
	variant := bench.PolicyVariant()
	variant.Router = "affinty"
	_, err := bench.Run(1, variant, 1)
	gomega.NewWithT(t).Expect(err).To(gomega.MatchError(spool.ErrUnknownPolicy))
}
