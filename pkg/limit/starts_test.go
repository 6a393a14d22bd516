package limit_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// overloadRun simulates an account whose programs need twice its rate. Each program
// sends its requests one after the other. It retries a refused request after
// overloadRetryDelay and fails when overloadMaxFailures retries in a row have been
// refused.
type overloadRun struct {
	owner        *limit.Owner
	limitsStarts bool

	sequence uint64
	running  []*overloadProgram
	// finished and failed are numbers of programs. inTime is the number of programs
	// that finished within overloadFinishIn after their creation.
	finished, failed, inTime int
}

type overloadProgram struct {
	id             spool.ProgramID
	createdAt      clock.Millis
	nextAt         clock.Millis
	remaining      int
	failedAttempts int
	started        bool
}

const (
	overloadRate        = 40.0
	overloadRequests    = 12
	overloadPause       = 70 * clock.Millis(1)
	overloadRetryDelay  = 300 * clock.Millis(1)
	overloadMaxFailures = 6
	overloadFinishIn    = 1600 * clock.Millis(1)
)

func (o *overloadRun) advance(now clock.Millis) {
	kept := o.running[:0]
	for _, p := range o.running {
		if now < p.nextAt || o.send(now, p) {
			kept = append(kept, p)
		}
	}
	o.running = kept
}

// send sends the next request of a program. It returns false if the program has
// finished or failed.
func (o *overloadRun) send(now clock.Millis, p *overloadProgram) bool {
	admitted := o.admit(now, p)
	switch {
	case admitted:
		p.started, p.failedAttempts, p.nextAt = true, 0, now+overloadPause
		p.remaining--
	default:
		p.failedAttempts++
		p.nextAt = now + overloadRetryDelay
	}
	if p.remaining == 0 {
		o.finished++
		if now-p.createdAt <= overloadFinishIn {
			o.inTime++
		}
	}
	if p.failedAttempts > overloadMaxFailures {
		o.failed++
	}
	return p.remaining > 0 && p.failedAttempts <= overloadMaxFailures
}

func (o *overloadRun) admit(now clock.Millis, p *overloadProgram) bool {
	if o.limitsStarts && !p.started {
		start := limit.StartRequest{Program: p.id, Requests: overloadRequests, FinishIn: overloadFinishIn - (now - p.createdAt)}
		if admitted, _ := o.owner.AdmitStart(now, start); !admitted {
			return false
		}
	}
	o.sequence++
	return o.owner.Lease(now, limit.Request{Node: "n", Sequence: o.sequence, Requested: 1}).Granted == 1
}

// runOverload simulates 40 s of an account whose programs need twice its rate.
// limitsStarts says whether programs must be admitted by AdmitStart before their
// first request.
func runOverload(limitsStarts bool) *overloadRun {
	timing := limit.DefaultTiming()
	o := &overloadRun{owner: limit.NewOwner(timing, limit.Config{Rate: overloadRate, Burst: overloadRate}), limitsStarts: limitsStarts}
	o.owner.TakeOverReleased(0, 1, 0)
	every := clock.Millis(overloadRequests / (2 * overloadRate) * 1000)
	for now := clock.Millis(0); now < 40*clock.Second; now += 10 {
		o.owner.SetAuthorityUntil(now, now+timing.Authority)
		o.owner.SetFreshUntil(now, now+timing.View)
		if now%every == 0 {
			o.running = append(o.running, &overloadProgram{
				id: spool.ProgramID(fmt.Sprint(now)), createdAt: now, nextAt: now, remaining: overloadRequests,
			})
		}
		o.advance(now)
	}
	return o
}

var _ = ginkgo.Describe("Programs of an account at twice its rate", func() {
	// Guards against admission request by request, which gives every program only a
	// part of what it needs: few programs finished in time although the rate was
	// enough for half of them.
	ginkgo.It("finish in time for most of what the rate allows", func() {
		allowed := 40 * int(overloadRate) / overloadRequests
		limited, unlimited := runOverload(true), runOverload(false)
		fmt.Fprintf(ginkgo.GinkgoWriter, "allowed %d; with limited starts: %d in time, %d finished; without: %d in time, %d finished\n",
			allowed, limited.inTime, limited.finished, unlimited.inTime, unlimited.finished)
		gomega.Expect(limited.inTime).To(gomega.BeNumerically(">=", allowed*8/10))
		gomega.Expect(limited.inTime).To(gomega.BeNumerically(">", unlimited.inTime))
	})

	ginkgo.It("are charged once, and admitted again at no cost", func() {
		starts := limit.NewStartLimiter(10)
		first := limit.StartRequest{Program: "a", Requests: 30, FinishIn: 1000}
		admitted, _ := starts.Admit(0, first, 1)
		gomega.Expect(admitted).To(gomega.BeTrue())
		admitted, _ = starts.Admit(1, first, 0)
		gomega.Expect(admitted).To(gomega.BeTrue())
		admitted, after := starts.Admit(2, limit.StartRequest{Program: "b", Requests: 1}, 1)
		gomega.Expect(admitted).To(gomega.BeFalse())
		gomega.Expect(after).To(gomega.BeNumerically("~", 2500, 10), "the bucket is 25 requests below zero and refills at 10 per second")
	})

	ginkgo.It("wait while the pool holds only the reserve for running programs", func() {
		starts := limit.NewStartLimiter(10)
		admitted, after := starts.Admit(0, limit.StartRequest{Program: "a", Requests: 1}, 0.2)
		gomega.Expect(admitted).To(gomega.BeFalse())
		gomega.Expect(after).To(gomega.BeNumerically(">", 0))
	})

	// Guards against a waiting program that can no longer finish in time and takes
	// the place of one that still can.
	ginkgo.It("yield if they can no longer finish in time", func() {
		starts := limit.NewStartLimiter(10)
		late := limit.StartRequest{Program: "late", Requests: 5, FinishIn: 1000}
		starts.Admit(0, limit.StartRequest{Program: "a", Requests: 30}, 1)
		admitted, _ := starts.Admit(100, late, 1)
		gomega.Expect(admitted).To(gomega.BeFalse())
		late.FinishIn = 0
		admitted, _ = starts.Admit(2600, late, 1)
		gomega.Expect(admitted).To(gomega.BeFalse(), "a newer program goes first")
		admitted, _ = starts.Admit(2610, limit.StartRequest{Program: "fresh", Requests: 1, FinishIn: 1000}, 1)
		gomega.Expect(admitted).To(gomega.BeTrue())
		admitted, _ = starts.Admit(4000, late, 1)
		gomega.Expect(admitted).To(gomega.BeTrue(), "the bucket is more than half full")
	})
})
