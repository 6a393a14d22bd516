package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/pkg/chain"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/platform"
)

// streamTwoEvents answers a turn with the two events "one" and "two".
func streamTwoEvents(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
	return u.AnswerStream(conn, request, 0, -1, "one", "two")
}

var _ = ginkgo.Describe("A kept turn", func() {
	var (
		d *deployment
		u *standin.Upstream
	)
	ginkgo.BeforeEach(func() {
		d = newDeployment()
		d.publish()
		u = d.addEndpoint("m1", "models", streamTwoEvents)
	})

	// serveFirstTurn repeats the first turn of a program until it is served, and
	// returns its identifier.
	serveFirstTurn := func(n *node) (id string) {
		gomega.Eventually(func() int {
			r, attempt := n.call("POST", "/chat/", "key-1", "hello\n")
			id = attempt
			return r.status
		}, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusOK))
		return id
	}
	lastBody := func() string {
		requests := u.Requests()
		return requests[len(requests)-1].Body
	}

	ginkgo.It("continues at a gateway that was started after the first one was killed", func() {
		n := d.startGateway("g1")
		id := serveFirstTurn(n)
		r, second := n.call("POST", "/chat/", "key-1", "more\n", withPrevious(id))
		gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		n.kill()
		other := d.startGateway("g2")
		gomega.Eventually(func() int {
			r, _ := other.call("POST", "/chat/", "key-1", "end\n", withPrevious(second))
			return r.status
		}, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusOK))
		gomega.Expect(lastBody()).To(gomega.Equal("hello\none\ntwo\nmore\none\ntwo\nend\n"))
	})

	ginkgo.It("is not found for another account or if it never existed", func() {
		n := d.startGateway("g1")
		id := serveFirstTurn(n)
		r, _ := n.call("POST", "/chat/", "key-3", "x", withPrevious(id))
		gomega.Expect(r.status).To(gomega.Equal(http.StatusNotFound))
		r, _ = n.call("POST", "/chat/", "key-1", "x", withPrevious("never"))
		gomega.Expect(r.status).To(gomega.Equal(http.StatusNotFound))
	})

	// Guards against losing a part of the history when the turns of one program are
	// stored by two gateways and in different partitions.
	ginkgo.It("continues alternately at two gateways", func() {
		a, b := d.startGateway("g1"), d.startGateway("g2")
		id, want := serveFirstTurn(a), "hello\none\ntwo\n"
		for i := range 4 {
			n := []*node{b, a}[i%2]
			var r callerReply
			r, id = n.call("POST", "/chat/", "key-1", "next\n", withPrevious(id))
			gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
			want += "next\n"
			gomega.Expect(lastBody()).To(gomega.Equal(want))
			want += "one\ntwo\n"
		}
	})

	// Guards against a complete answer to a turn that was not stored: a complete answer
	// guarantees that the turn can be continued.
	ginkgo.It("gets no complete answer while the store accepts no record", func() {
		n := d.startGateway("g1")
		id := serveFirstTurn(n)
		n.storeServer.SetFaults(standin.TopicFaults{Mode: "busy", Partitions: []string{"turns/0", "turns/1", "turns/2", "turns/3"}})
		r, _ := n.call("POST", "/chat/", "key-1", "more\n", withPrevious(id), withDeadline(800))
		gomega.Expect(r.err).To(gomega.HaveOccurred())
		gomega.Expect(r.body).To(gomega.ContainSubstring("data: two"))
	})

	ginkgo.It("is written to another partition while one partition accepts no record", func() {
		n := d.startGateway("g1")
		id := serveFirstTurn(n)
		for _, down := range []string{"turns/0", "turns/1", "turns/2"} {
			n.storeServer.SetFaults(standin.TopicFaults{Mode: "busy", Partitions: []string{down}})
			var r callerReply
			r, id = n.call("POST", "/chat/", "key-1", "more\n", withPrevious(id))
			gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
			gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		}
	})

	ginkgo.It("is refused at once with a Retry-After header while the store is unavailable", func() {
		n := d.startGateway("g1")
		id := serveFirstTurn(n)
		n.storeServer.SetFaults(standin.TopicFaults{Mode: "busy"})
		gomega.Eventually(func() string {
			start := time.Now()
			r, _ := n.call("POST", "/chat/", "key-1", "more\n", withPrevious(id), withDeadline(900))
			if r.status != http.StatusServiceUnavailable || time.Since(start) > 100*time.Millisecond {
				return ""
			}
			return r.header.Get("Retry-After")
		}, eventuallyTimeout, "50ms").ShouldNot(gomega.BeEmpty())
		gomega.Eventually(n.isReady, eventuallyTimeout, "50ms").Should(gomega.BeFalse())
		n.storeServer.SetFaults(standin.TopicFaults{})
		gomega.Eventually(func() int {
			r, _ := n.call("POST", "/chat/", "key-1", "more\n", withPrevious(id))
			return r.status
		}, "3s", "50ms").Should(gomega.Equal(http.StatusOK))
		gomega.Eventually(n.isReady, eventuallyTimeout, "50ms").Should(gomega.BeTrue())
	})

	// Guards against refusing a turn because some partitions do not answer for seconds.
	// The gateway that served the earlier turns still has them.
	ginkgo.It("continues at another gateway while the partitions of its history do not answer", func() {
		a, b := d.startGateway("g1"), d.startGateway("g2")
		id := serveFirstTurn(a)
		serveFirstTurn(b)
		time.Sleep(time.Second)
		silent := standin.TopicFaults{Mode: "silent", Partitions: []string{"turns/0", "turns/1", "turns/2", "turns/3"}}
		b.storeServer.SetFaults(silent)
		a.storeServer.SetFaults(silent)
		r, _ := b.call("POST", "/chat/", "key-1", "more\n", withPrevious(id), withDeadline(1500))
		gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(r.body).To(gomega.ContainSubstring("data: two"))
		gomega.Expect(lastBody()).To(gomega.Equal("hello\none\ntwo\nmore\n"))
	})

	// Guards against a 404 for a turn whose history lies in other partitions than those in
	// which it is looked for first: while a partition fails, turns are written to the next
	// one.
	ginkgo.It("is found with its history when all of it lies in other partitions", func() {
		nodes := d.startAndKill(4)
		var earlier []string
		prompt := ""
		for i := range 8 {
			id := fmt.Sprintf("moved-%d", i)
			turn := &chain.Turn{
				ID: id, Account: "weavers", History: slices.Clone(earlier), Retention: clock.Minute,
				Input: []byte(id + "\n"), Output: []byte("one\n"),
			}
			d.topics.AppendRecords(fmt.Sprintf("turns/%d", (xxhash.Sum64String(id)+1)%testPartitions), turn.Encode())
			earlier = append(earlier, id)
			prompt += id + "\none\n"
		}
		launchAll(nodes)
		for _, n := range nodes {
			gomega.Eventually(func() int {
				r, _ := n.call("POST", "/chat/", "key-1", "more\n", withPrevious("moved-7"))
				gomega.Expect(r.status).NotTo(gomega.Equal(http.StatusNotFound))
				return r.status
			}, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusOK))
			gomega.Expect(lastBody()).To(gomega.Equal(prompt + "more\n"))
		}
	})

	// Guards against a 404 for a turn that exists while the store rejects all reads: the
	// caller would take its conversation for lost.
	ginkgo.It("is not reported as missing while the store rejects all calls", func() {
		nodes := []*node{d.startGateway("g1"), d.startGateway("g2"), d.startGateway("g3")}
		serveFirstTurn(nodes[0])
		time.Sleep(time.Second)
		for _, n := range nodes {
			n.storeServer.SetFaults(standin.TopicFaults{Mode: "busy"})
		}
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Add(1)
			go func() {
				defer ginkgo.GinkgoRecover()
				defer wg.Done()
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				r, _ := nodes[i%3].call("POST", "/chat/", "key-1", "more\n", withPrevious(fmt.Sprintf("unread-%d", i)))
				gomega.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
			}()
		}
		wg.Wait()
	})

	// Guards against refusing a turn at a gateway that cannot reach the store while
	// other gateways can.
	ginkgo.It("is stored by way of another gateway when the store refuses this one", func() {
		a, b := d.startGateway("g1"), d.startGateway("g2")
		id := serveFirstTurn(a)
		serveFirstTurn(b)
		// Gateways discover each other within a second.
		time.Sleep(time.Second)
		a.storeServer.SetFaults(standin.TopicFaults{Mode: "silent"})
		time.Sleep(time.Second)
		for range 5 {
			var r callerReply
			r, id = a.call("POST", "/chat/", "key-1", "more\n", withPrevious(id))
			gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
			gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		}
		d.config["tenants"] = []map[string]any{{"name": "weavers", "api_keys": []string{"key-2"}}}
		d.publish()
		gomega.Eventually(func() int {
			r, _ := a.call("POST", "/chat/", "key-1", "x")
			return r.status
		}, "3s", "50ms").Should(gomega.Equal(http.StatusUnauthorized))
	})
})

var _ = ginkgo.Describe("A gateway that stops", func() {
	ginkgo.It("is not ready at once, and finishes the requests in flight", func() {
		d := newDeployment()
		d.publish()
		d.addEndpoint("m1", "models", func(u *standin.Upstream, conn io.Writer, request standin.UpstreamRequest) bool {
			return u.AnswerStream(conn, request, 100*time.Millisecond, -1, strings.Fields("a b c d e f g h")...)
		})
		n := d.startGateway("g1")
		gomega.Eventually(func() int {
			r, _ := n.call("POST", "/review/warm", "key-1", "")
			return r.status
		}, eventuallyTimeout, "50ms").Should(gomega.Equal(http.StatusOK))
		answer := make(chan callerReply, 1)
		go func() {
			r, _ := n.call("POST", "/review/a", "key-1", "")
			answer <- r
		}()
		time.Sleep(200 * time.Millisecond)
		stopped := make(chan error, 1)
		g := n.gateway
		n.gateway = nil
		go func() { stopped <- g.Shutdown(background()) }()
		gomega.Eventually(n.isReady, "500ms", "20ms").Should(gomega.BeFalse())
		var r callerReply
		gomega.Eventually(answer, eventuallyTimeout).Should(gomega.Receive(&r))
		gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.body).To(gomega.ContainSubstring("data: h"))
		gomega.Eventually(stopped, eventuallyTimeout).Should(gomega.Receive(gomega.BeNil()))
	})

	// Guards against a shutdown that waits for the open connection of the balancer. The
	// process was then killed after eight seconds, and callers were refused in the
	// meantime.
	ginkgo.It("does not wait for idle connections", func() {
		d := newDeployment()
		d.publish()
		n := d.startGateway("g1")
		for _, address := range []string{n.settings.ReadyListen, n.settings.Listen} {
			conn, err := net.Dial("tcp4", address)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = conn.Close() }()
		}
		_, err := http.Get("http://" + n.settings.ReadyListen + platform.ReadyPath)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		g, start := n.gateway, time.Now()
		n.gateway = nil
		gomega.Expect(g.Shutdown(background())).To(gomega.Succeed())
		gomega.Expect(time.Since(start)).To(gomega.BeNumerically("<", 3500*time.Millisecond))
	})

	ginkgo.It("answers 503 before it knows a configuration", func() {
		d := newDeployment()
		storeServer, err := standin.ServeTopics(d.topics, "127.0.0.1:0", "")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(storeServer.Close)
		d.publish()
		n := d.startGateway("g1")
		n.kill()
		n.storeServer.SetFaults(standin.TopicFaults{Mode: "busy"})
		n.launch()
		r, _ := n.call("GET", "/lookup/a", "key-1", "")
		gomega.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(r.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		gomega.Expect(n.isReady()).To(gomega.BeFalse())
	})
})
