package soak_test

import (
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Found with seed 101: a gateway ended when SIGHUP came while it started, since it asked for
// its signals only when it was ready.
var _ = ginkgo.Describe("A gateway that starts", func() {
	ginkgo.It("is not ended by SIGHUP while it reads its settings", func() {
		folder := newFolder(0)
		d := newDeployment(folder, rand.New(rand.NewPCG(1, 0)))
		g := d.gateways[0]
		g.end(syscall.SIGKILL)
		gomega.Expect(os.Remove(g.settings)).To(gomega.Succeed())
		gomega.Expect(syscall.Mkfifo(g.settings, 0o600)).To(gomega.Succeed())
		g.start()
		// The pipe opens when the process begins to read its settings.
		pipe, err := os.OpenFile(g.settings, os.O_WRONLY, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		regular := g.settings + ".next"
		gomega.Expect(os.WriteFile(regular, []byte(g.text), 0o600)).To(gomega.Succeed())
		gomega.Expect(os.Rename(regular, g.settings)).To(gomega.Succeed())
		g.signal(syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
		_, err = pipe.WriteString(g.text)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(pipe.Close()).To(gomega.Succeed())
		gomega.Eventually(g.isReady, restartTimeout, "50ms").Should(gomega.BeTrue())
	})
})
