package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// rolloutTraffic is a service with endpoints of two versions behind three gateways, and
// callers.
type rolloutTraffic struct {
	d        *deployment
	nodes    []*node
	old, new []*standin.Upstream
	// sent counts the calls, and failed those that were not answered with status 200.
	sent, failed atomic.Int64
	stop         chan struct{}
	wg           sync.WaitGroup
}

// newRolloutTraffic starts the old endpoints and the gateways, and callers that send some
// 60 requests a second.
func newRolloutTraffic() *rolloutTraffic {
	d := newDeployment()
	d.rollout = spool.RolloutSettings{Enabled: true, ExposeShare: 0.1, ExposeSlack: 50, RollbackWithin: 5 * clock.Second}
	d.publish()
	f := &rolloutTraffic{d: d, stop: make(chan struct{})}
	for i := range 3 {
		f.old = append(f.old, f.addEndpoint(fmt.Sprint("old", i), "v1", nil))
	}
	for i := range 3 {
		f.nodes = append(f.nodes, d.startGateway(fmt.Sprint("g", i)))
	}
	for _, n := range f.nodes {
		n.waitUntilServed("/lookup/a", "key-1")
	}
	d.poolOwner()
	for i := range 6 {
		f.wg.Add(1)
		go func() {
			defer ginkgo.GinkgoRecover()
			defer f.wg.Done()
			for number := i; ; number++ {
				select {
				case <-f.stop:
					return
				case <-time.After(85 * time.Millisecond):
				}
				f.sent.Add(1)
				if r, _ := f.nodes[number%len(f.nodes)].call("GET", "/lookup/a", "key-1", ""); r.status != http.StatusOK {
					f.failed.Add(1)
				}
			}
		}()
	}
	ginkgo.DeferCleanup(func() {
		close(f.stop)
		f.wg.Wait()
	})
	return f
}

// addEndpoint starts an endpoint of a version. It answers within some milliseconds unless
// answer is set.
func (f *rolloutTraffic) addEndpoint(id, version string, answer func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool) *standin.Upstream {
	if answer == nil {
		answer = func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			time.Sleep(10 * time.Millisecond)
			return u.AnswerComplete(conn, request, "ok")
		}
	}
	u, err := standin.NewUpstream(id, nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	u.SetAnswer(func(conn io.Writer, request standin.UpstreamRequest) bool { return answer(u, conn, request) })
	ginkgo.DeferCleanup(u.Close)
	entry := standin.EndpointEntry{Service: "app", Address: u.Address(), Zone: "a", Version: version, Slots: 6, State: "ready", Sequence: 1, Born: 1}
	gomega.Expect(f.d.topics.PutEndpoint(id, entry)).To(gomega.Succeed())
	return u
}

// order starts endpoints of the new version and orders the rollout.
func (f *rolloutTraffic) order(seconds float64, answer func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool) {
	f.d.topics.PutRollout("app", "v2", seconds)
	for i := range 3 {
		f.new = append(f.new, f.addEndpoint(fmt.Sprint("new", i), "v2", answer))
	}
}

func requestsOf(upstreams []*standin.Upstream) (count int) {
	for _, u := range upstreams {
		count += len(u.Requests())
	}
	return count
}

var _ = ginkgo.Describe("A rollout", func() {
	// Guards against a completion before all gateways have stopped sending to old endpoints,
	// which then stop at once, against a good version that is not completed, and against a
	// gateway that has started during the rollout and refuses requests.
	ginkgo.It("of a good version is completed, and no request fails", func() {
		f := newRolloutTraffic()
		orderedAt := time.Now()
		f.order(10, nil)
		gomega.Eventually(func() string { return f.d.topics.RolloutStatus("app") }, "2s", "20ms").Should(gomega.Equal(`{"state":"active","to":"v2"}`))
		time.Sleep(2 * time.Second)
		late := f.d.startGateway("late")
		for range 20 {
			r, _ := late.call("GET", "/lookup/a", "key-1", "")
			gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		}
		gomega.Eventually(func() string { return f.d.topics.RolloutStatus("app") }, "10s", "5ms").Should(gomega.Equal(`{"state":"completed","to":"v2"}`))
		atEnd, took := requestsOf(f.old), time.Since(orderedAt)
		for _, u := range f.old {
			u.SetAnswer(func(io.Writer, standin.UpstreamRequest) bool { return false })
		}
		time.Sleep(2 * time.Second)
		ginkgo.GinkgoWriter.Printf("completed after %s, %d calls, %d at old endpoints, %d at new ones\n", took, f.sent.Load(), requestsOf(f.old), requestsOf(f.new))
		gomega.Expect(requestsOf(f.old)).To(gomega.Equal(atEnd))
		gomega.Expect(f.failed.Load()).To(gomega.BeZero())
	})

	// Guards against a version that goes on to get requests after the operator has withdrawn
	// its order, or without a grant while another version is under trial.
	ginkgo.It("that is replaced and then withdrawn leaves no requests to versions that were not completed", func() {
		f := newRolloutTraffic()
		f.order(30, nil)
		gomega.Eventually(func() int { return requestsOf(f.new) }, "6s", "20ms").Should(gomega.BeNumerically(">", 0))
		f.d.topics.PutRollout("app", "v3", 30)
		gomega.Eventually(func() string { return f.d.topics.RolloutStatus("app") }, "3s", "20ms").Should(gomega.Equal(`{"state":"active","to":"v3"}`))
		time.Sleep(300 * time.Millisecond)
		atChange := requestsOf(f.new)
		time.Sleep(2 * time.Second)
		gomega.Expect(requestsOf(f.new)).To(gomega.Equal(atChange))
		f.d.topics.WithdrawRollout("app")
		gomega.Eventually(func() string { return f.d.topics.RolloutStatus("app") }, "3s", "20ms").Should(gomega.Equal(`{"state":"rolled_back","to":"v3"}`))
		time.Sleep(2 * time.Second)
		gomega.Expect(requestsOf(f.new)).To(gomega.Equal(atChange))
		gomega.Expect(f.failed.Load()).To(gomega.BeZero())
	})

	// Guards against a bad version that is completed, or gets more requests than the bound
	// permits, also when the gateway that controls the rollout disappears.
	ginkgo.It("of a version that fails later is rolled back within the bounds, also without its controller", func() {
		f := newRolloutTraffic()
		var answers atomic.Int64
		orderedAt, before := time.Now(), requestsOf(f.old)
		f.order(14, func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			time.Sleep(10 * time.Millisecond)
			if time.Since(orderedAt) > 5*time.Second && answers.Add(1)%3 == 0 {
				return u.AnswerTruncated(conn, request, "broken")
			}
			return u.AnswerComplete(conn, request, "ok")
		})
		time.Sleep(2 * time.Second)
		owner, _ := f.d.poolOwner()
		owner.powerOff()
		gomega.Eventually(func() string { return f.d.topics.RolloutStatus("app") }, "16s", "20ms").Should(gomega.Equal(`{"state":"rolled_back","to":"v2"}`))
		time.Sleep(time.Until(orderedAt.Add(14 * time.Second)))
		exposed := requestsOf(f.new)
		all := exposed + requestsOf(f.old) - before
		ginkgo.GinkgoWriter.Printf("%d requests, %d at new endpoints\n", all, exposed)
		gomega.Expect(exposed).To(gomega.BeNumerically(">", 0))
		gomega.Expect(float64(exposed)).To(gomega.BeNumerically("<=", 0.1*float64(all)+50))
	})
})
