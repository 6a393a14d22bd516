package limit_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

var _ = ginkgo.Describe("Fleet", func() {
	// Guards against admissions above the limits, and against refusals after the
	// failover, if one entry receives all requests of an account and the entry that
	// owns its pool leaves.
	ginkgo.It("serves an account whose requests all arrive at one entry while the owner of its pool fails", func() {
		const detect = 1500
		config := limit.Config{Rate: 10, Burst: 50, StaticShare: 0.1}
		meter := limit.NewMeter(0, config)
		for _, dying := range entryIDs(entryCount) {
			fleet := limit.NewFleet(0, entryIDs(entryCount), map[spool.AccountID]limit.Config{"acme": config}, timing, 1, detect)
			meter = limit.NewMeter(0, config)
			leaveAt := 10 * clock.Second
			sentAt := map[string]clock.Millis{}
			served, early, late := 0, 0, 0
			recordDecision := func(now clock.Millis, id string, admitted bool) {
				switch {
				case admitted:
					served++
					meter.Admitted(now, 1)
				case sentAt[id] < leaveAt+timing.Authority+detect+clock.Second:
					early++
				default:
					late++
				}
			}
			receiver := entryIDs(entryCount)[0]
			if dying == receiver {
				receiver = entryIDs(entryCount)[1]
			}
			for now := clock.Millis(0); now < 40*clock.Second; now += 10 {
				for _, outcome := range fleet.Advance(now) {
					recordDecision(now, outcome.ID, outcome.Admitted)
				}
				if now == leaveAt {
					fleet.Leave(now, dying)
				}
				// 8 requests per second, 80 % of the rate.
				if now%125 < 10 {
					id := fmt.Sprint(now)
					sentAt[id] = now
					if decision, held := fleet.Submit(now, receiver, "acme", id, limit.ClassCall); !held {
						recordDecision(now, id, decision.Admitted)
					}
				}
			}
			ginkgo.GinkgoWriter.Printf("%s leaves: %d served, %d refused during the failover, %d later\n", dying, served, early, late)
			gomega.Expect(meter.Excess()).To(gomega.BeZero())
			gomega.Expect(late).To(gomega.BeZero())
			gomega.Expect(early).To(gomega.BeNumerically("<=", 8*(timing.Authority+detect)/clock.Second))
		}
	})
})
