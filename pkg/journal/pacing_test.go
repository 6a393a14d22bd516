package journal_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/journal"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

var _ = ginkgo.Describe("Pacing of appends", func() {
	// interval is the append interval of one stream if 330 streams share 90 appends
	// per second. settled is a time in which a claim or an append completes.
	const interval = 3700 * clock.Millis(1)
	const settled = 400 * clock.Millis(1)

	var (
		sim   *simulation
		owner *simNode
	)

	ginkgo.BeforeEach(func() {
		sim = newSimulation(3, journal.Config{AppendInterval: interval, PollWait: 100, RetryAfter: 60, ReplicaWait: 60, ReplicateAfter: 40})
		owner = sim.nodes[0]
		sim.claimStream(owner, "")
		sim.advance(settled)
	})

	// Guards against a recovery that waits for one append interval between the
	// append of the claim and the append of the KindRecovered record.
	ginkgo.It("serves well within one interval after a claim", func() {
		gomega.Expect(owner.journal.Serving()).To(gomega.BeTrue())
	})

	submit := func(ticket int, needsLog bool) string {
		value := fmt.Sprint(ticket)
		owner.tickets[journal.Ticket(ticket)] = value
		sim.execute(owner, owner.journal.Submit(sim.now, journal.Ticket(ticket), []spool.Record{valueRecord(value)}, needsLog))
		return value
	}

	// Guards against submissions that need the log, such as the intents of
	// non-idempotent calls, that wait for an append interval because the append was
	// used for turns that replicas have already made durable.
	ginkgo.It("commits an intent at once during a steady flow of turns without exceeding the append rate", func() {
		sim.advance(3 * interval)
		start, appendsBefore := sim.now, owner.journal.Stats().Appends
		ticket := 0
		for range 6 {
			for range 40 {
				ticket++
				submit(ticket, false)
				sim.advance(interval / 20)
			}
			ticket++
			intent := submit(ticket, true)
			sim.advance(settled)
			gomega.Expect(sim.acked).To(gomega.HaveKey(intent))
		}
		bound := 2 + int((sim.now-start)/interval)
		gomega.Expect(owner.journal.Stats().Appends - appendsBefore).To(gomega.BeNumerically("<=", bound))
		gomega.Expect(owner.journal.Stats().Backlog).To(gomega.BeNumerically("<", 1<<20))
	})
})
