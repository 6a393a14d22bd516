package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
)

// Another writer may write any bytes as the record of an endpoint.
var _ = ginkgo.Describe("An odd record among those of the endpoints", func() {
	const record = `{"service":"app","address":%q,"zone":"a","version":"v1","slots":%s,"state":"ready","cold_left_ms":%s,"seq":%s,"born":%s}`

	var (
		d *deployment
		u *standin.Upstream
		n *node
	)
	ginkgo.BeforeEach(func() {
		d = newDeployment()
		d.publish()
		u = d.addEndpoint("e1", "app", nil)
		n = d.startGateway("g1")
		n.waitUntilServed("/lookup/warm", "key-1")
	})
	// statusSoon returns the status of a request that is sent after the gateway has read the
	// newest records.
	statusSoon := func() int { return statusAfter(time.Second, n) }
	// expectUnusedSoon waits until the endpoint is no longer used. A gateway keeps an endpoint
	// whose record disappears shortly after its start for some seconds.
	expectUnusedSoon := func() {
		gomega.Eventually(func() int { return statusAfter(0, n) }, "5s", "50ms").Should(gomega.Equal(http.StatusServiceUnavailable))
	}
	odd := func(address, slots, cold, sequence, born string) []byte {
		return fmt.Appendf(nil, record, address, slots, cold, sequence, born)
	}
	nested := strings.Repeat("[", 1<<20) + strings.Repeat("]", 1<<20)

	// Guards against a gateway that ends, or no longer follows the records, because of one
	// that it cannot use.
	ginkgo.It("does not end the gateway, and the others are followed", func() {
		for i, value := range [][]byte{
			[]byte(nested), fmt.Appendf(nil, `{"service":%s}`, nested), []byte(`{"service":"app","more":` + nested + `}`),
			odd("127.0.0.1:99999", "1", "0", "1", "1"), odd("127.0.0.1:0", "1", "0", "1", "1"), odd("127.0.0.1", "1", "0", "1", "1"),
			odd("0.0.0.0:80", "1", "0", "1", "1"), odd("[::1]:80", "1", "0", "1", "1"), odd("224.0.0.1:80", "1", "0", "1", "1"),
			odd("127.0.0.1:1", "1e400", "0", "1", "1"), odd("127.0.0.1:1", "99999999999999999999", "0", "1", "1"), odd("127.0.0.1:1", "-1", "0", "1", "1"),
			odd("127.0.0.1:1", "1", "1e300", "1", "1"), odd("127.0.0.1:1", "1", "0", "-1", "1"),
			odd("127.0.0.1:1", "1", "0", "1", "1e18"), odd("127.0.0.1:1", "1", "0", "1", "1.5"),
			[]byte("null"), []byte("{}"), []byte("\xff\xfe"), []byte(`{"service":7}`),
		} {
			d.topics.PutEndpointText(fmt.Sprintf("odd-%d", i), value)
		}
		for range 20 {
			gomega.Expect(statusAfter(0, n)).To(gomega.Equal(http.StatusOK))
		}
		d.announceEndpoint("e1", "app", u.Address(), "draining")
		gomega.Eventually(func() int { return statusAfter(0, n) }, "3s", "50ms").Should(gomega.Equal(http.StatusServiceUnavailable))
		other := d.addEndpoint("e2", "app", nil)
		n.waitUntilServed("/lookup/x", "key-1")
		gomega.Expect(other.Requests()).NotTo(gomega.BeEmpty())
	})

	// Guards against an endpoint that is used, or not used, because of a record that nobody
	// can read.
	ginkgo.It("names no endpoint until the next record with its identifier", func() {
		d.topics.PutEndpointText("e1", []byte(`{"service":"app"`))
		expectUnusedSoon()
		d.announceEndpoint("e1", "app", u.Address(), "ready")
		n.waitUntilServed("/lookup/x", "key-1")
	})

	// Guards against a number in one record that makes the gateway ignore all later ones, or
	// slow the endpoint down for good.
	ginkgo.DescribeTable("does not hide later records", func(cold, sequence, born string) {
		d.topics.PutEndpointText("e1", []byte(strings.Replace(string(odd(u.Address(), "4", cold, sequence, born)), "ready", "draining", 1)))
		expectUnusedSoon()
		d.announceEndpoint("e1", "app", u.Address(), "ready")
		n.waitUntilServed("/lookup/x", "key-1")
	}, ginkgo.Entry("sequence", "0", "9007199254740993", "1"), ginkgo.Entry("time of the start", "0", "1", "9007199254740993"))

	// Guards against a record whose identifier adds headers to the requests.
	ginkgo.It("cannot add headers to a request", func() {
		d.topics.PutEndpointText("e1\r\nX-Hold: forged", odd(u.Address(), "4", "0", "1", "1"))
		d.topics.PutEndpointText("e1", nil)
		expectUnusedSoon()
		for _, request := range u.Requests() {
			gomega.Expect(request.Header).NotTo(gomega.HaveKey("X-Hold"))
		}
	})

	// Guards against a record of an earlier start, read late, that takes the place of a
	// later one.
	ginkgo.It("of an earlier start does not replace that of a later one", func() {
		d.topics.PutEndpointText("e1", odd(u.Address(), "4", "0", "1", "2000"))
		gomega.Expect(statusSoon()).To(gomega.Equal(http.StatusOK))
		d.topics.PutEndpointText("e1", []byte(strings.Replace(string(odd(u.Address(), "4", "0", "9", "1000")), "ready", "draining", 1)))
		gomega.Expect(statusSoon()).To(gomega.Equal(http.StatusOK))
	})
})

// statusAfter returns the status of a request that is sent after a time.
func statusAfter(wait time.Duration, n *node) int {
	time.Sleep(wait)
	r, _ := n.call("GET", "/lookup/x", "key-1", "")
	return r.status
}
