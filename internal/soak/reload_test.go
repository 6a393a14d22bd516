package soak_test

import (
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("A gateway that reads its settings again", func() {
	// Guards against requests that are cut or refused, and a process that ends, when the
	// settings files of a deployment change under load, some of them to what is not valid.
	ginkgo.It("answers every request under load, whether the file is valid or not", func() {
		const reloads = 40
		d := newDeployment(newFolder(0), rand.New(rand.NewPCG(1, 0)))
		awaitService(d, newCaller(d, 1))
		g := d.gateways[0]
		stop, failed := make(chan struct{}), make(chan int, 1000)
		var callers sync.WaitGroup
		for i := range callerCount {
			c := newCaller(d, uint64(2+i))
			callers.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(5 * time.Millisecond):
					}
					// The endpoints cut one answer of 50, which makes a 502.
					status := c.callPlain(g.front, "charge", "key-1")
					if status != http.StatusOK && status != http.StatusBadGateway {
						failed <- status
					}
				}
			})
		}
		for i := range reloads {
			text := g.text
			if i%4 == 3 {
				text = "node_name = 7\n[listen"
			}
			gomega.Expect(os.WriteFile(g.settings, []byte(text), 0o600)).To(gomega.Succeed())
			g.signal(syscall.SIGHUP)
			time.Sleep(50 * time.Millisecond)
		}
		close(stop)
		callers.Wait()
		ginkgo.GinkgoWriter.Println(d.checker.outcomes)
		gomega.Expect(failed).NotTo(gomega.Receive(), "status of a request that was not served")
		_, ended := g.endedByItself()
		gomega.Expect(ended).To(gomega.BeFalse())
		gomega.Expect(g.isReady()).To(gomega.BeTrue())
		gomega.Expect(d.checker.violations).To(gomega.BeEmpty())
	})
})
