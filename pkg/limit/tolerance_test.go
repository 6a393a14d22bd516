package limit_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// smallAccountLoad sends the requests of one account to random entries of a fleet and
// compares the result with one bucket that holds the whole limit.
type smallAccountLoad struct {
	rate, burst float64
	entries     int
	// perSecond is the number of requests per second, in groups of random size.
	perSecond float64
	// largestGroup is the size of the largest group; 0 for 3.
	largestGroup int
	// shiftEvery is how often the requests move from one half of the entries to the other;
	// 0 if they go to all of them.
	shiftEvery clock.Millis
	// ownerLeavesAt is when the owner of the pool leaves without a trace; 0 for never.
	ownerLeavesAt clock.Millis
	duration      clock.Millis
}

// loadResult counts requests. byCentral are those that one bucket with the whole limit
// admits. A refused request is within the rate if the limit, charged with what the fleet
// has admitted before, has room for it. mostInWindow are the most admissions in any window
// of the tolerance.
type loadResult struct {
	sent, served, byCentral, refusedWithinRate int
	mostInWindow                               int
	// refusedByOneQueue are the requests that would wait for longer than the longest delay
	// in one queue before the whole pool.
	refusedByOneQueue int
	// longestWait is the longest time in ms for which an admitted request was queued.
	longestWait clock.Millis
}

// exactLimit is a bucket that is charged with the admissions of a fleet. Its level falls
// below 0 when they exceed the limit.
type exactLimit struct {
	rate, burst, level float64
	at                 clock.Millis
}

func (e *exactLimit) refill(now clock.Millis) {
	e.level = min(e.burst, e.level+e.rate*float64(now-e.at)/float64(clock.Second))
	e.at = now
}

var pageTolerance = spool.LimitTolerance{Window: 5 * clock.Second, Over: 0.1, Slack: 20}

// longestDelay is the longest time for which a call waits for its token, in ms.
const longestDelay = 400 * clock.Millis(1)

// gatewayTiming is the timing of gateways, whose requests wait for at most 45 ms without a
// token.
func gatewayTiming() limit.Timing {
	timing := limit.DefaultTiming()
	timing.Authority, timing.View, timing.GrowthDelay = clock.Second, 20*clock.Second, 2500
	timing.MinQueueWait, timing.MaxQueueWait, timing.MaxTokenDelay = 45, 45, longestDelay
	return timing
}

func (l smallAccountLoad) run(config limit.Config) (result loadResult) {
	random := rand.New(rand.NewPCG(7, uint64(l.entries)))
	nodes := entryIDs(l.entries)
	fleet := limit.NewFleet(0, nodes, map[spool.AccountID]limit.Config{"small": config}, gatewayTiming(), 2, clock.Second, limit.WithTick(10))
	central := limit.NewCentral(0, limit.Config{Rate: l.rate, Burst: l.burst})
	exact := exactLimit{rate: l.rate, burst: l.burst, level: l.burst}
	pool := limit.PoolOf(config, gatewayTiming())
	oneQueue := exactLimit{rate: pool.Rate, burst: pool.Cap, level: pool.Cap}
	longestDebt := pool.Rate * longestDelay.Duration().Seconds()
	var admittedAt []clock.Millis
	queuedAt := map[string]clock.Millis{}
	record := func(now clock.Millis, id string, admitted bool) {
		exact.refill(now)
		if at, queued := queuedAt[id]; queued && admitted {
			result.longestWait = max(result.longestWait, now-at)
		}
		switch {
		case admitted:
			exact.level--
			result.served++
			admittedAt = append(admittedAt, now)
		case exact.level >= 1:
			result.refusedWithinRate++
		}
	}
	step := 5 * clock.Millis(1)
	for now := clock.Millis(0); now < l.duration; now += step {
		for _, outcome := range fleet.Advance(now) {
			record(now, outcome.ID, outcome.Admitted)
		}
		if l.ownerLeavesAt != 0 && now == l.ownerLeavesAt {
			owner, _ := fleet.Owner("small")
			fleet.Leave(now, owner)
			nodes = fleet.Nodes()
		}
		// Programs send several calls at once.
		largest := 3
		if l.largestGroup > 0 {
			largest = l.largestGroup
		}
		group := 1 + random.IntN(largest)
		if random.Float64() >= l.perSecond/(float64(largest+1)/2)*float64(step)/float64(clock.Second) {
			continue
		}
		for i := range group {
			id := fmt.Sprintf("%d-%d", now, i)
			result.sent++
			if central.Admit(now, 1) {
				result.byCentral++
			}
			oneQueue.refill(now)
			if oneQueue.level-1 >= -longestDebt {
				oneQueue.level--
			} else {
				result.refusedByOneQueue++
			}
			if decision, queued := fleet.Submit(now, l.receiver(now, random, nodes), "small", id, limit.ClassCall); !queued {
				record(now, id, decision.Admitted)
			} else {
				queuedAt[id] = now
			}
		}
	}
	result.mostInWindow = mostInWindow(admittedAt, pageTolerance.Window)
	return result
}

// receiver returns the entry at which a request arrives.
func (l smallAccountLoad) receiver(now clock.Millis, random *rand.Rand, nodes []spool.NodeID) spool.NodeID {
	if l.shiftEvery == 0 {
		return nodes[random.IntN(len(nodes))]
	}
	half := len(nodes) / 2
	return nodes[int(now/l.shiftEvery)%2*half+random.IntN(half)]
}

// mostInWindow returns the largest number of times, which are in order, in a window.
func mostInWindow(at []clock.Millis, window clock.Millis) (most int) {
	first := 0
	for i, now := range at {
		for now-at[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func tolerated(rate, burst float64) float64 {
	return (rate*5+burst)*(1+pageTolerance.Over) + pageTolerance.Slack
}

// A fleet of hundreds of gateways has accounts of a few requests per second, whose
// requests arrive at any gateway. The specs guard against a limit that is split into parts
// where no request arrives, so that requests within the rate are refused.
var _ = ginkgo.Describe("A small account on many gateways", func() {
	const rate, burst = 6, 6
	const staticShare = 0.25

	ginkgo.DescribeTable("is served what its rate allows", func(entries int) {
		load := smallAccountLoad{rate: rate, burst: burst, entries: entries, perSecond: 0.95 * rate, duration: 5 * clock.Minute}
		result := load.run(limit.Tolerant(rate, burst, staticShare, pageTolerance))
		ginkgo.GinkgoWriter.Printf("%d entries: %+v\n", entries, result)
		gomega.Expect(result.refusedWithinRate).To(gomega.BeNumerically("<=", result.sent/1000))
		gomega.Expect(float64(result.served)).To(gomega.BeNumerically(">=", 0.95*float64(result.byCentral)))
		gomega.Expect(float64(result.mostInWindow)).To(gomega.BeNumerically("<=", tolerated(rate, burst)))
	},
		ginkgo.Entry("at 8 gateways", 8), ginkgo.Entry("at 30 gateways", 30),
		ginkgo.Entry("at 127 gateways", 127), ginkgo.Entry("at 300 gateways", 300))

	// Guards against tokens that stay at the gateways from which the callers of an account
	// have moved away.
	ginkgo.DescribeTable("is served after its callers have moved to other gateways", func(accountRate float64) {
		load := smallAccountLoad{rate: accountRate, burst: accountRate, entries: 126, perSecond: 0.9 * accountRate, shiftEvery: 3 * clock.Second, duration: clock.Minute}
		result := load.run(limit.Tolerant(accountRate, accountRate, staticShare, pageTolerance))
		ginkgo.GinkgoWriter.Printf("rate %g: %+v\n", accountRate, result)
		gomega.Expect(result.refusedWithinRate).To(gomega.BeNumerically("<=", result.sent/1000))
		gomega.Expect(float64(result.mostInWindow)).To(gomega.BeNumerically("<=", tolerated(accountRate, accountRate)))
	},
		ginkgo.Entry("at 6 requests a second", 6.0), ginkgo.Entry("at 25 requests a second", 25.0),
		ginkgo.Entry("at 60 requests a second", 60.0), ginkgo.Entry("at 130 requests a second", 130.0),
		ginkgo.Entry("at 300 requests a second", 300.0))

	// Guards against calls that are refused although their token arrives within the slack
	// of their program: a call that is refused twice fails the program. The account uses
	// 1/1.6 of its rate on average, in groups of calls of parallel helpers.
	ginkgo.DescribeTable("waits for its tokens when its calls come together", func(entries int) {
		load := smallAccountLoad{rate: rate, burst: burst, entries: entries, perSecond: rate / 1.6, largestGroup: 9, duration: 10 * clock.Minute}
		result := load.run(limit.Tolerant(rate, burst, staticShare, pageTolerance))
		ginkgo.GinkgoWriter.Printf("%d entries: %+v\n", entries, result)
		gomega.Expect(result.sent - result.served).To(gomega.BeNumerically("<=", result.refusedByOneQueue+result.sent/1000))
		gomega.Expect(result.longestWait).To(gomega.BeNumerically("<=", longestDelay+gatewayTiming().MaxQueueWait+10))
		gomega.Expect(float64(result.mostInWindow)).To(gomega.BeNumerically("<=", tolerated(rate, burst)))
	},
		ginkgo.Entry("at 8 gateways", 8), ginkgo.Entry("at 127 gateways", 127))

	ginkgo.DescribeTable("does not exceed the tolerated excess at many times its rate", func(accountRate float64, entries int) {
		load := smallAccountLoad{rate: accountRate, burst: accountRate, entries: entries, perSecond: 10 * accountRate, duration: clock.Minute, ownerLeavesAt: 20 * clock.Second}
		result := load.run(limit.Tolerant(accountRate, accountRate, staticShare, pageTolerance))
		ginkgo.GinkgoWriter.Printf("rate %g, %d entries: %+v\n", accountRate, entries, result)
		gomega.Expect(float64(result.mostInWindow)).To(gomega.BeNumerically("<=", tolerated(accountRate, accountRate)))
	},
		ginkgo.Entry("for 6 a second", 6.0, 127), ginkgo.Entry("for 30 a second", 30.0, 127), ginkgo.Entry("for 300 a second", 300.0, 127))

	// Guards against an account without service from the loss of the owner of its pool
	// until the next one grants.
	ginkgo.It("is served again 2 s after the owner of its pool is lost", func() {
		const lostAt = 20 * clock.Second
		load := smallAccountLoad{rate: rate, burst: burst, entries: 127, perSecond: 0.95 * rate, duration: lostAt}
		before := load.run(limit.Tolerant(rate, burst, staticShare, pageTolerance))
		load.duration, load.ownerLeavesAt = lostAt+clock.Minute, lostAt
		after := load.run(limit.Tolerant(rate, burst, staticShare, pageTolerance))
		ginkgo.GinkgoWriter.Printf("before %+v, with the loss %+v\n", before, after)
		// What may be refused are the requests of 2 s.
		gomega.Expect(after.refusedWithinRate - before.refusedWithinRate).To(gomega.BeNumerically("<=", 2*rate))
	})
})
