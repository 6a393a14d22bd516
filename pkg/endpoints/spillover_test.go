package endpoints_test

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func init() {
	endpoints.Policies.Register("shortest", func(uint64, spool.Options) endpoints.Policy { return shortest{} })
}

// shortest sends each request to the endpoint with the least known requests of all domains.
type shortest struct{}

func (shortest) Ended(clock.Millis, *endpoints.Endpoint, endpoints.Result) {}

func (shortest) Choose(_ clock.Millis, _ endpoints.PickRequest, c endpoints.Candidates) (best *endpoints.Endpoint) {
	least := math.MaxInt
	for _, endpoint := range c.All() {
		if count := c.InFlight(endpoint) + c.Stats(endpoint).InFlight; c.CanServe(endpoint) && count < least {
			best, least = endpoint, count
		}
	}
	return best
}

// newDomains returns a model of three domains with 4 gateways and 8 stations each, and the
// capacity of one domain.
func newDomains(policy string, options spool.Options) (m *model, perSecond float64) {
	var homes []spool.FailureDomain
	var stations []*station
	for _, domain := range []spool.FailureDomain{"a", "b", "c"} {
		homes = append(homes, domain, domain, domain, domain)
		stations = append(stations, newStations(8, domain, 0.7, 0.7, 1.7)...)
	}
	return newModel(policy, homes, stations, options), capacity(stations) / 3
}

// flaps counts the changes of direction of the share of a gateway by more than 0.1.
func (m *model) flaps(gateway int) *int {
	count, direction, extreme := 0, 1.0, 0.0
	var look func()
	look = func() {
		share := m.tables[gateway].SpillShares()["models"]
		switch change := (share - extreme) * direction; {
		case change > 0:
			extreme = share
		case change < -0.1:
			count, direction, extreme = count+1, -direction, share
		}
		m.after(100, look)
	}
	m.after(100, look)
	return &count
}

var _ = ginkgo.Describe("Spillover between failure domains", func() {
	// Guards against a share that oscillates by itself or amplifies waves, and against
	// requests that leave without need.
	ginkgo.It("follows waves of demand of any period without flapping", func() {
		for _, period := range []float64{2, 5, 17, 60} {
			seconds := max(20, period)
			results := map[string]float64{}
			for _, name := range []string{"never", "shortest", endpoints.PolicyExpectedFinish} {
				policy, options := name, spool.Options{}
				if name == "never" {
					policy, options = endpoints.PolicyExpectedFinish, spool.Options{endpoints.OptionMaxReceiveLoad: 0}
				}
				m, perSecond := newDomains(policy, options)
				var finishes []float64
				left := 0
				m.ended = func(j *job, finish float64) {
					finishes = append(finishes, finish)
					if j.hasLeft {
						left++
					}
				}
				for i, domain := range []spool.FailureDomain{"a", "b", "c"} {
					m.arrivals(domain, 1.2*perSecond, func(now float64) float64 {
						return perSecond * 0.7 * (1 + 0.55*math.Sin(2*math.Pi*(now/1000/period+float64(i)/3)))
					})
				}
				flaps := m.flaps(0)
				m.runUntil(seconds * 1000)
				results[name] = quantile(finishes, 0.99)
				fmt.Fprintf(ginkgo.GinkgoWriter, "period %2.0f s %-15s left %.3f p50 %4.0f ms p99 %5.0f ms flaps %d in %.0f waves\n",
					period, name, float64(left)/float64(len(finishes)), quantile(finishes, 0.5), results[name], *flaps, seconds/period)
				gomega.Expect(*flaps).To(gomega.BeNumerically("<=", 2*seconds/period+2))
			}
			gomega.Expect(results[endpoints.PolicyExpectedFinish]).To(gomega.BeNumerically("<=", 1.05*results["never"]))
		}
	})

	// Guards against requests that are sent across a cut link, and against a second wave
	// when the demand has returned to normal.
	ginkgo.It("stops at a cut link and at the return of the load", func() {
		const runs = 8
		afterReturn := 0.0
		for seed := range uint64(runs) {
			m, perSecond := newDomains(endpoints.PolicyExpectedFinish, nil)
			m.random = rand.New(rand.NewPCG(seed, 2))
			rate := func(now float64) float64 {
				if now < 8000 {
					return 1.3 * perSecond
				}
				return 0.5 * perSecond
			}
			m.arrivals("a", 1.3*perSecond, rate)
			for _, domain := range []spool.FailureDomain{"b", "c"} {
				m.arrivals(domain, perSecond, func(float64) float64 { return 0.3 * perSecond })
			}
			m.runUntil(4000)
			gomega.Expect(m.crossed).To(gomega.BeNumerically(">", 50))
			m.isCut = true
			atCut := m.crossed
			m.runUntil(6000)
			duringCut := m.crossed - atCut
			m.isCut = false
			m.runUntil(11000)
			atReturn := m.crossed
			m.runUntil(20000)
			fmt.Fprintf(ginkgo.GinkgoWriter, "crossed before the cut %d, during its 2 s %d, in 9 s after the return %d\n", atCut, duringCut, m.crossed-atReturn)
			gomega.Expect(duringCut).To(gomega.BeNumerically("<=", 4*2*6))
			afterReturn += float64(m.crossed-atReturn) / runs
		}
		gomega.Expect(afterReturn).To(gomega.BeNumerically("<=", 20))
	})
})
