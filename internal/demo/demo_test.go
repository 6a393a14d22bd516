package demo_test

import (
	"context"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/demo"
)

func TestDemo(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "demo")
}

var _ = ginkgo.Describe("Run", func() {
	// Runs the whole system with fault injection. The test fails if the callers or
	// the stand-ins find an invariant violated.
	ginkgo.It("breaks no invariant", func() {
		options := demo.DefaultOptions()
		options.Out = ginkgo.GinkgoWriter
		report, err := demo.Run(context.Background(), options)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		report.Print(ginkgo.GinkgoWriter)
		gomega.Expect(report.Failed()).To(gomega.BeFalse())
		gomega.Expect(report.ProgramsCompleted).To(gomega.Equal(options.Programs))
	})
})
