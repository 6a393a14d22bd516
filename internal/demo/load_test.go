package demo_test

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/demo"
)

var _ = ginkgo.Describe("MeasureLoad", func() {
	// Guards against a measurement that reports figures although it received no
	// answers.
	ginkgo.It("measures answers on every path", func() {
		for _, forwarded := range []bool{false, true} {
			load, err := demo.MeasureLoad(context.Background(), demo.LoadOptions{
				Callers: 4, For: time.Second, Tokens: 8, TokenMs: 1, Forwarded: forwarded, Direct: true,
			})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(load.Direct.Calls).To(gomega.BeNumerically(">", 8))
			gomega.Expect(load.Through.Calls).To(gomega.BeNumerically(">", 8))
			gomega.Expect(load.Through.First.P50).To(gomega.BeNumerically(">", 1), "an engine takes 1 ms for a token")
			gomega.Expect(load.Direct.Gap.P95).To(gomega.BeNumerically(">", 0.5))
			gomega.Expect(load.TokensPerSecond).To(gomega.BeNumerically("~", 8*load.RequestsPerSecond, 1))
		}
	})
})
