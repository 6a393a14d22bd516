package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
)

// newLimitedDeployment returns a deployment whose account has the given rate and a
// burst of the same size.
func newLimitedDeployment(rate int) *deployment {
	d := newDeployment()
	d.config["tenants"] = []map[string]any{{"name": "weavers", "api_keys": []string{"key-1"}, "rate_per_s": rate, "burst": rate}}
	d.publish()
	return d
}

var _ = ginkgo.Describe("An account's limit", func() {
	// Guards against a static split of the limit over the gateways. A caller keeps
	// using one gateway, so a static split refuses most requests of the account.
	ginkgo.It("admits a rate below it when all requests use one of three gateways", func() {
		d := newLimitedDeployment(60)
		d.addEndpoint("e1", "app", nil)
		n := d.startGateway("g1")
		d.startGateway("g2")
		d.startGateway("g3")
		n.waitUntilServed("/lookup/a", "key-1")
		time.Sleep(time.Second)
		refused := 0
		for range 120 {
			if r, _ := n.call("GET", "/lookup/a", "key-1", ""); r.status != http.StatusOK {
				refused++
			}
			time.Sleep(20 * time.Millisecond)
		}
		gomega.Expect(refused).To(gomega.BeNumerically("<=", 2))
	})

	ginkgo.It("is kept over all gateways, also after one of them is killed", func() {
		const rate, burst = 20, 20
		d := newLimitedDeployment(rate)
		u := d.addEndpoint("e1", "app", nil)
		nodes := []*node{d.startGateway("g1"), d.startGateway("g2"), d.startGateway("g3")}
		for _, n := range nodes {
			n.waitUntilServed("/lookup/a", "key-1")
		}
		time.Sleep(time.Second)
		requestsBefore, end := len(u.Requests()), time.Now().Add(5*time.Second)
		var refused, withoutRetryAfter atomic.Int64
		var wg sync.WaitGroup
		for i := range 12 {
			n := nodes[i%len(nodes)]
			wg.Add(1)
			go func() {
				defer ginkgo.GinkgoRecover()
				defer wg.Done()
				for time.Now().Before(end) {
					r, _ := n.call("GET", "/lookup/a", "key-1", "")
					if r.status == http.StatusTooManyRequests {
						refused.Add(1)
						if r.header.Get("Retry-After") == "" {
							withoutRetryAfter.Add(1)
						}
					}
					time.Sleep(10 * time.Millisecond)
				}
			}()
		}
		time.Sleep(2 * time.Second)
		nodes[0].kill()
		wg.Wait()
		served := len(u.Requests()) - requestsBefore
		gomega.Expect(refused.Load()).To(gomega.BeNumerically(">", 0))
		gomega.Expect(withoutRetryAfter.Load()).To(gomega.BeZero())
		gomega.Expect(float64(served)).To(gomega.BeNumerically("<=", (rate*5+burst)*1.1+20))
		gomega.Expect(served).To(gomega.BeNumerically(">=", rate*5/2))
	})
})

var _ = ginkgo.Describe("A program of an account over its rate", func() {
	// Guards against new programs that take the tokens needed by running programs, so
	// that no program is served completely.
	ginkgo.It("is refused if it is new, while one that has begun is still served", func() {
		d := newLimitedDeployment(20)
		d.addEndpoint("e1", "app", nil)
		d.addEndpoint("m1", "models", streamTwoEvents)
		n := d.startGateway("g1")
		runTurn := func(program string) callerReply {
			r, _ := n.call("POST", "/review/", "key-1", "x", func(caller *standin.CallerRequest, _ http.Header) {
				caller.Program, caller.TokenBudget, caller.MaxTokens = program, 9000, 50
			})
			return r
		}
		gomega.Eventually(func() int { return runTurn("begun").status }, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusOK))
		stop := make(chan struct{})
		var wg sync.WaitGroup
		// Calls wait for at most 400 ms for a token of 20 a second, so that eight of them wait
		// and the others are refused. Callers that are refused return no earlier than they are
		// told; otherwise 16 of them at 50 calls a second leave the program of this spec next
		// to no chance of a token, whatever the gateway does.
		for range 24 {
			wg.Add(1)
			go func() {
				defer ginkgo.GinkgoRecover()
				defer wg.Done()
				pause := 20 * time.Millisecond
				for {
					select {
					case <-stop:
						return
					case <-time.After(pause):
					}
					pause = 20 * time.Millisecond
					if r, _ := n.call("GET", "/lookup/a", "key-1", ""); r.status == http.StatusTooManyRequests {
						pause = retryAfter(r)
					}
				}
			}()
		}
		defer wg.Wait()
		defer close(stop)
		gomega.Eventually(func() int {
			r, _ := n.call("GET", "/lookup/a", "key-1", "")
			return r.status
		}, eventuallyTimeout, "20ms").Should(gomega.Equal(http.StatusTooManyRequests))
		servedBegun := 0
		for i := range 30 {
			r := runTurn(fmt.Sprintf("new-%d", i))
			gomega.Expect(r.status).To(gomega.Equal(http.StatusTooManyRequests))
			gomega.Expect(r.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			if runTurn("begun").status == http.StatusOK {
				servedBegun++
			}
			time.Sleep(50 * time.Millisecond)
		}
		gomega.Expect(servedBegun).To(gomega.BeNumerically(">", 0))
	})
})

// retryAfter returns the delay that a refusal asks the caller for.
func retryAfter(reply callerReply) (delay time.Duration) {
	delay, err := time.ParseDuration(reply.header.Get("Retry-After") + "s")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return delay
}

var _ = ginkgo.Describe("The owner of the pools", func() {
	// Guards against a slow replacement of an owner that loses power: the accounts had
	// only their static parts for more than 8 s.
	ginkgo.It("is replaced within seconds after it disappears without a trace", func() {
		d := newLimitedDeployment(60)
		d.addEndpoint("e1", "app", nil)
		nodes := []*node{d.startGateway("g1"), d.startGateway("g2"), d.startGateway("g3")}
		for _, n := range nodes {
			n.waitUntilServed("/lookup/a", "key-1")
		}
		time.Sleep(5 * time.Second)
		owner, others := d.poolOwner()
		owner.powerOff()
		lostAt := time.Now()
		servedInRow := 0
		for servedInRow < 40 && time.Since(lostAt) < eventuallyTimeout {
			servedInRow++
			if r, _ := others[0].call("GET", "/lookup/a", "key-1", ""); r.status != http.StatusOK {
				servedInRow = 0
			}
			time.Sleep(25 * time.Millisecond)
		}
		gomega.Expect(time.Since(lostAt)).To(gomega.BeNumerically("<", 6*time.Second))
	})

	// Guards against refusals at a planned restart of the owner: requests within the
	// rate were refused for half a second, until another gateway noticed that the pools
	// had no owner.
	ginkgo.It("hands them over when it stops, and no request within the rate is refused", func() {
		d := newLimitedDeployment(60)
		d.addEndpoint("e1", "app", nil)
		nodes := []*node{d.startGateway("g1"), d.startGateway("g2"), d.startGateway("g3")}
		for _, n := range nodes {
			n.waitUntilServed("/lookup/a", "key-1")
		}
		time.Sleep(time.Second)
		owner, others := d.poolOwner()
		for _, leaving := range []*node{owner, others[0]} {
			g := leaving.gateway
			leaving.gateway = nil
			stopped := make(chan error, 1)
			go func() { stopped <- g.Shutdown(background()) }()
			refused := 0
			for range 75 {
				if r, _ := others[1].call("GET", "/lookup/a", "key-1", ""); r.status == http.StatusTooManyRequests {
					refused++
				}
				time.Sleep(20 * time.Millisecond)
			}
			gomega.Expect(refused).To(gomega.BeZero())
			gomega.Eventually(stopped, eventuallyTimeout).Should(gomega.Receive(gomega.BeNil()))
		}
	})
})
