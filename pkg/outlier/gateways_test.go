package outlier_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/outlier"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// deployment is 37 gateways with a detector each, which send 500 requests a second to 49
// endpoints, each to a random one that the detector allows. All share a view.
type deployment struct {
	*fleet
	detectors []*outlier.Detector
	// fails says whether a request of a gateway to an endpoint fails.
	fails func(gateway, n int, now clock.Millis) bool
	// ended contains the requests that have not ended yet, by the time of their end.
	ended map[clock.Millis][]func()
	// requests and failures are the numbers per endpoint.
	requests, failures []int
	// inUse counts, per endpoint, the gateways times milliseconds at which it was in use.
	inUse []int
}

const (
	gateways    = 37
	endpoints   = 49
	requestTime = 200 * clock.Millis(1)
)

func newDeployment() *deployment {
	d := &deployment{
		fleet: newFleet(endpoints), fails: func(int, int, clock.Millis) bool { return false }, ended: map[clock.Millis][]func(){},
		requests: make([]int, endpoints), failures: make([]int, endpoints), inUse: make([]int, endpoints),
	}
	for n := range d.members {
		d.members[n].Domain = spool.FailureDomain(fmt.Sprint(n / 16))
	}
	for g := range gateways {
		detector := outlier.New(d.view, outlier.WithSeed(fmt.Sprint(g)))
		detector.SetGatewayCount(gateways)
		d.detectors = append(d.detectors, detector)
	}
	return d
}

// run lets the time pass, with a request each 2 ms.
func (d *deployment) run(duration clock.Millis) {
	for end := d.now + duration; d.now < end; d.now += 2 {
		for _, end := range d.ended[d.now] {
			end()
		}
		delete(d.ended, d.now)
		if d.now%step == 0 {
			d.view.publish(d.now)
			for _, detector := range d.detectors {
				for n, member := range d.members {
					if state, _ := detector.State(d.now, service, member.Instance); state == outlier.InUse {
						d.inUse[n] += int(step)
					}
				}
			}
		}
		d.send(d.random.IntN(gateways))
	}
}

func (d *deployment) send(gateway int) {
	detector := d.detectors[gateway]
	detector.Judge(d.now, service, d.members)
	n := d.random.IntN(endpoints)
	for !detector.Allows(d.now, service, d.members[n].Instance, true) {
		n = d.random.IntN(endpoints)
	}
	id := d.members[n].Instance
	sample := load.Sample{FirstEvent: 40, LastEvent: 240, Events: 5}
	d.requests[n]++
	if d.fails(gateway, n, d.now) {
		sample = load.Sample{Outcome: load.Failed}
		d.failures[n]++
	}
	detector.Started(d.now, service, id)
	d.ended[d.now+requestTime] = append(d.ended[d.now+requestTime], func() {
		detector.Ended(d.now, service, id, sample)
		d.view.record(id, sample)
	})
}

// shareInUse returns the share of the gateways and of a duration in which an endpoint was in
// use, since the counts were cleared.
func (d *deployment) shareInUse(n int, duration clock.Millis) float64 {
	return float64(d.inUse[n]) / float64(duration) / gateways
}

func (d *deployment) clear() { clear(d.requests); clear(d.failures); clear(d.inUse) }

var _ = ginkgo.Describe("The gateways of a deployment", func() {
	const fair = 500.0 / endpoints

	// Guards against probes of many gateways that together are as many requests as the
	// endpoint had before, and against a return that takes as long as the last ejection.
	ginkgo.DescribeTable("send few requests to an endpoint that fails, until it has recovered", func(fails func(random float64, now clock.Millis) bool) {
		requests, inUse, returned := 0, 0.0, 0.0
		const seeds = 5
		for seed := range uint64(seeds) {
			d := newDeployment()
			d.random = rand.New(rand.NewPCG(seed, 3))
			d.run(5 * clock.Second)
			d.fails = func(_, n int, now clock.Millis) bool { return n == 3 && fails(d.random.Float64(), now) }
			d.run(5 * clock.Second)
			d.clear()
			d.run(25 * clock.Second)
			requests += d.requests[3]
			inUse += d.shareInUse(3, 25*clock.Second) / seeds
			d.fails = func(int, int, clock.Millis) bool { return false }
			d.run(15 * clock.Second)
			d.clear()
			d.run(2 * clock.Second)
			returned += d.shareInUse(3, 2*clock.Second) / seeds
		}
		ginkgo.GinkgoWriter.Printf("share of the fair requests %.3f, in use %.3f, after 15 s %.2f\n", float64(requests)/(seeds*25*fair), inUse, returned)
		gomega.Expect(requests).To(gomega.BeNumerically("<", 0.3*seeds*25*fair))
		gomega.Expect(inUse).To(gomega.BeNumerically("<", 0.15))
		gomega.Expect(returned).To(gomega.BeNumerically(">", 0.9))
	},
		ginkgo.Entry("a part of its requests", func(random float64, _ clock.Millis) bool { return random < 0.43 }),
		ginkgo.Entry("all requests", func(float64, clock.Millis) bool { return true }),
		ginkgo.Entry("each second for a second", func(_ float64, now clock.Millis) bool { return now/clock.Second%2 == 0 }),
		ginkgo.Entry("each 2 s for 2 s", func(_ float64, now clock.Millis) bool { return now/(2*clock.Second)%2 == 0 }),
	)

	// Guards against gateways that lose good endpoints because others cannot reach them.
	ginkgo.It("use the endpoints of a failure domain that some of them cannot reach", func() {
		const cutOff, behind = 12, 16
		d := newDeployment()
		d.run(5 * clock.Second)
		d.fails = func(gateway, n int, _ clock.Millis) bool { return gateway < cutOff && n < behind }
		lost := 0
		for range 150 {
			d.run(step)
			for gateway := cutOff; gateway < gateways; gateway++ {
				for n := range endpoints {
					if state, _ := d.detectors[gateway].State(d.now, service, d.members[n].Instance); state != outlier.InUse {
						lost++
					}
				}
			}
		}
		share := float64(lost) / float64(150*(gateways-cutOff)*endpoints)
		ginkgo.GinkgoWriter.Printf("not in use %.4f\n", share)
		gomega.Expect(share).To(gomega.BeNumerically("<", 0.02))
	})
})
