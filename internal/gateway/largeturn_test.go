package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
)

var _ = ginkgo.Describe("A turn that is larger than a record of the store", func() {
	const (
		maxRecordBytes = 256 << 10
		maxAppendBytes = 2 << 20
	)
	var (
		d *deployment
		u *standin.Upstream
	)
	ginkgo.BeforeEach(func() {
		d = newDeployment()
		d.topics.SetLimits(maxRecordBytes, maxAppendBytes)
		d.publish()
		u = d.addEndpoint("m1", "models", streamTwoEvents)
	})
	lastBody := func() string {
		requests := u.Requests()
		return requests[len(requests)-1].Body
	}

	// Guards against a turn that runs and whose answer never ends, since the store does not
	// take its record, and against turns that are lost with it.
	ginkgo.DescribeTable("is answered whole and continued at any gateway", func(size int) {
		gateways := []*node{d.startGateway("g1"), d.startGateway("g2")}
		for _, n := range gateways {
			n.waitUntilServed("/review/warm", "key-1")
		}
		var wg sync.WaitGroup
		for range 8 {
			wg.Add(1)
			go func() {
				defer ginkgo.GinkgoRecover()
				defer wg.Done()
				for range 10 {
					r, _ := gateways[0].call("POST", "/chat/", "key-1", "ordinary\n")
					gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
					gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
					time.Sleep(20 * time.Millisecond)
				}
			}()
		}
		input := strings.Repeat("x", size-1) + "\n"
		r, id := gateways[0].call("POST", "/chat/", "key-1", input)
		gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		wg.Wait()
		r, second := gateways[1].call("POST", "/chat/", "key-1", "more\n", withPrevious(id))
		gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(lastBody() == input+"one\ntwo\nmore\n").To(gomega.BeTrue())
		for _, n := range gateways {
			n.kill()
		}
		gateways[1].launch()
		gateways[1].waitUntilServed("/review/warm", "key-1")
		gomega.Eventually(func() int {
			r, _ := gateways[1].call("POST", "/chat/", "key-1", "end\n", withPrevious(second))
			return r.status
		}, eventuallyTimeout, "200ms").Should(gomega.Equal(http.StatusOK))
		gomega.Expect(lastBody() == input+"one\ntwo\nmore\none\ntwo\nend\n").To(gomega.BeTrue())
		gomega.Expect(d.topics.Rejected()).To(gomega.BeZero())
	}, ginkgo.Entry("one byte below a record", maxRecordBytes-1), ginkgo.Entry("as large as a record", maxRecordBytes),
		ginkgo.Entry("one byte above a record", maxRecordBytes+1), ginkgo.Entry("of 300 kB", 300<<10), ginkgo.Entry("of 3.9 MB", 3900<<10),
		ginkgo.Entry("as large as a body may be", 4<<20))

	// Guards against a turn that is lost, or stored in part, because the store goes away
	// between two of its records.
	ginkgo.It("is answered whole when the store is away for a second in the middle of its records", func() {
		n := d.startGateway("g1")
		n.waitUntilServed("/review/warm", "key-1")
		input := strings.Repeat("x", 4<<20-1) + "\n"
		stop := make(chan struct{})
		appendsBefore, _ := d.topics.Calls()
		watching := make(chan struct{})
		go func() {
			defer close(watching)
			for {
				if appends, _ := d.topics.Calls(); appends >= appendsBefore+2 {
					n.storeServer.SetFaults(standin.TopicFaults{Mode: "busy"})
					time.Sleep(time.Second)
					n.storeServer.SetFaults(standin.TopicFaults{})
					return
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond):
				}
			}
		}()
		r, id := n.call("POST", "/chat/", "key-1", input)
		close(stop)
		<-watching
		gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		gomega.Eventually(func() int {
			r, _ := n.call("POST", "/chat/", "key-1", "more\n", withPrevious(id))
			return r.status
		}, eventuallyTimeout, "100ms").Should(gomega.Equal(http.StatusOK))
		gomega.Expect(lastBody() == input+"one\ntwo\nmore\n").To(gomega.BeTrue())
	})

	// Guards against a record that the store rejects for good and that holds up the others,
	// or makes the store count as away.
	ginkgo.It("harms no other turn if the store accepts none of its records", func() {
		d.topics.SetLimits(10<<10, maxAppendBytes)
		n := d.startGateway("g1")
		n.waitUntilServed("/review/warm", "key-1")
		var wg sync.WaitGroup
		for i := range 30 {
			wg.Add(1)
			go func() {
				defer ginkgo.GinkgoRecover()
				defer wg.Done()
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				r, _ := n.call("POST", "/chat/", "key-1", fmt.Sprintf("ordinary %d\n", i))
				gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
				gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
			}()
		}
		for range 3 {
			startedAt := time.Now()
			r, _ := n.call("POST", "/chat/", "key-1", strings.Repeat("x", 50<<10))
			gomega.Expect(r.err).To(gomega.HaveOccurred(), "the turn is not kept")
			gomega.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<", time.Second))
		}
		wg.Wait()
	})
})
