package endpoints_test

import (
	"fmt"
	"slices"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// capacity returns the requests per second that stations can end.
func capacity(stations []*station) (perSecond float64) {
	for _, s := range stations {
		perSecond += slots / s.factor / (firstMillis + 3*eventMillis) * 1000
	}
	return perSecond
}

// compare returns the finishes at a load of the comparison of requirement 2.
func compare(policy string, utilization, slowShare float64, options spool.Options) (finishes []float64, offers float64) {
	stations := newStations(49, "home", 0.7, 0.7, 1.7)
	m := newModel(policy, slices.Repeat([]spool.FailureDomain{"home"}, 37), stations, options)
	m.slowShare = slowShare
	m.ended = func(j *job, finish float64) {
		if j.came > 2500 {
			finishes = append(finishes, finish)
		}
	}
	rate := utilization * capacity(stations)
	m.arrivals("home", rate, func(float64) float64 { return rate })
	m.runUntil(8000)
	return finishes, float64(m.offers) / (rate * 8)
}

var _ = ginkgo.Describe("The policy expectedFinish", func() {
	// Guards against gateways that overload slow endpoints, or the ones that all of them
	// believe to be free.
	ginkgo.It("is close to a central queue with full knowledge", func() {
		for _, load := range [][2]float64{{0, 0.3}, {0, 0.7}, {0, 0.9}, {0, 1.1}, {0.15, 0.7}} {
			slowShare, utilization := load[0], load[1]
			best, _ := compare(central, utilization, slowShare, nil)
			p50, p99 := quantile(best, 0.5), quantile(best, 0.99)
			for _, policy := range []string{endpoints.PolicyOccupancy, "least own", endpoints.PolicyExpectedFinish, central} {
				finishes, offers := compare(policy, utilization, slowShare, nil)
				a, b := quantile(finishes, 0.5), quantile(finishes, 0.99)
				fmt.Fprintf(ginkgo.GinkgoWriter, "slow %.2f load %.1f %-15s p50 %6.0f ms (%.2f) p99 %6.0f ms (%.2f) offers %.2f\n", slowShare, utilization, policy, a, a/p50, b, b/p99, offers)
				if policy == endpoints.PolicyExpectedFinish && utilization == 0.7 && slowShare == 0 {
					gomega.Expect(a / p50).To(gomega.BeNumerically("<=", 1.25))
					gomega.Expect(b / p99).To(gomega.BeNumerically("<=", 1.25))
				}
			}
		}
	})
})
