package streams_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/streams"
	"github.com/baobabspool/baobabspool/internal/wire"
)

// leaseRequestRate returns the number of lease requests per second and stream in a
// cluster of the given number of entries while the log is unavailable. It counts them
// for the time window.
func leaseRequestRate(members int, window time.Duration) float64 {
	c := newCluster()
	defer c.close()
	slowTimings := func(config *streams.Config) {
		config.TickEvery, config.HeartbeatEvery, config.SuspectAfter = 20, 500, 5000
		config.ListEvery, config.PeerTimeout, config.LeaseDuration = 500, 2000, 3000
	}
	for i := range members {
		c.start(i, slowTimings)
	}
	gomega.Eventually(c.servedStreams, "60s", "100ms").Should(gomega.Equal(4))
	time.Sleep(3 * time.Second)
	c.log.setDown(true)
	time.Sleep(time.Second)
	before := c.requestCount(wire.MethodReplicaLease)
	time.Sleep(window)
	return float64(c.requestCount(wire.MethodReplicaLease)-before) / window.Seconds() / 4
}

var _ = ginkgo.Describe("lease requests", func() {
	// Guards against lease requests to all entries instead of the two replicas of a
	// stream, whose number would grow with the number of entries.
	ginkgo.It("are sent to the replicas only", func() {
		gomega.Expect(leaseRequestRate(12, 3*time.Second)).To(gomega.BeNumerically("~", 2, 0.7))
	})
})

// BenchmarkPromises measures the lease requests per second and stream while the log is
// unavailable, for several numbers of entries.
func BenchmarkPromises(b *testing.B) {
	for _, members := range []int{10, 30, 100, 330} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			gomega.RegisterTestingT(b)
			for b.Loop() {
				b.ReportMetric(leaseRequestRate(members, 6*time.Second), "requests/s")
			}
		})
	}
}
