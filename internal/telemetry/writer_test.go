package telemetry_test

import (
	"bytes"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/telemetry"
)

// blockingWriter blocks until release is closed, like a full pipe that nobody reads.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (w *blockingWriter) Write(data []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.Write(data)
}

func (w *blockingWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.String()
}

var _ = ginkgo.Describe("BoundedWriter", func() {
	ginkgo.It("writes lines in their order soon after they were taken", func() {
		out := &blockingWriter{release: make(chan struct{})}
		close(out.release)
		writer := telemetry.NewBoundedWriter(out)
		for _, line := range []string{"a\n", "b\n"} {
			_, err := writer.Write([]byte(line))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		gomega.Eventually(out.String, "2s").Should(gomega.Equal("a\nb\n"))
	})

	// Guards against requests that block because nobody reads the log output.
	ginkgo.It("does not block while nobody reads, and tells how many lines it dropped", func() {
		out := &blockingWriter{release: make(chan struct{})}
		writer := telemetry.NewBoundedWriter(out)
		line := bytes.Repeat([]byte("x"), 1023)
		line = append(line, '\n')
		start := time.Now()
		for range 2000 {
			_, _ = writer.Write(line)
		}
		gomega.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second))
		close(out.release)
		gomega.Expect(writer.Sync()).To(gomega.Succeed())
		_, _ = writer.Write([]byte("after\n"))
		gomega.Expect(writer.Sync()).To(gomega.Succeed())
		gomega.Expect(out.String()).To(gomega.MatchRegexp(`lines were dropped","count":\d+`))
		gomega.Expect(out.String()).To(gomega.ContainSubstring("after\n"))
	})
})
