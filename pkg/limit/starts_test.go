package limit_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// overload is an account whose programs need twice its rate. Each program sends its
// requests one after the other, tries a refused one twice more, and fails after that.
type overload struct {
	owner *limit.Owner
	gated bool

	sequence uint64
	running  []*overloadProgram
	// finished and failed count programs, inTime those that finished soon enough.
	finished, failed, inTime int
}

type overloadProgram struct {
	id     spool.ProgramID
	begun  clock.Millis
	next   clock.Millis
	left   int
	tries  int
	inside bool
}

const (
	overloadRate     = 40.0
	overloadRequests = 12
	overloadPause    = 70 * clock.Millis(1)
	overloadRetry    = 300 * clock.Millis(1)
	overloadTries    = 6
	overloadFinish   = 1600 * clock.Millis(1)
)

func (o *overload) step(now clock.Millis) {
	kept := o.running[:0]
	for _, p := range o.running {
		if now < p.next || o.send(now, p) {
			kept = append(kept, p)
		}
	}
	o.running = kept
}

// send makes the next request of a program; it returns false when the program has
// ended.
func (o *overload) send(now clock.Millis, p *overloadProgram) bool {
	admitted := o.admit(now, p)
	switch {
	case admitted:
		p.inside, p.tries, p.next = true, 0, now+overloadPause
		p.left--
	default:
		p.tries++
		p.next = now + overloadRetry
	}
	if p.left == 0 {
		o.finished++
		if now-p.begun <= overloadFinish {
			o.inTime++
		}
	}
	if p.tries > overloadTries {
		o.failed++
	}
	return p.left > 0 && p.tries <= overloadTries
}

func (o *overload) admit(now clock.Millis, p *overloadProgram) bool {
	if o.gated && !p.inside {
		start := limit.Start{Program: p.id, Requests: overloadRequests, FinishIn: overloadFinish - (now - p.begun)}
		if admitted, _ := o.owner.Start(now, start); !admitted {
			return false
		}
	}
	o.sequence++
	return o.owner.Lease(now, limit.Request{Node: "n", Sequence: o.sequence, Want: 1}).Granted == 1
}

// runOverload plays 40 s of an account at twice its rate.
func runOverload(gated bool) *overload {
	timing := limit.DefaultTiming()
	o := &overload{owner: limit.NewOwner(timing, limit.Config{Rate: overloadRate, Burst: overloadRate}), gated: gated}
	o.owner.TakeReleased(0, 1, 0)
	every := clock.Millis(overloadRequests / (2 * overloadRate) * 1000)
	for now := clock.Millis(0); now < 40*clock.Second; now += 10 {
		o.owner.Authority(now, now+timing.Authority)
		o.owner.Fresh(now, now+timing.View)
		if now%every == 0 {
			o.running = append(o.running, &overloadProgram{
				id: spool.ProgramID(fmt.Sprint(now)), begun: now, next: now, left: overloadRequests,
			})
		}
		o.step(now)
	}
	return o
}

var _ = ginkgo.Describe("Programs of an account at twice its rate", func() {
	// Tokens by the request gave every program a part of what it needed; few finished
	// in time, though the rate was enough for half of them.
	ginkgo.It("finish in time for most of what the rate allows", func() {
		allowed := 40 * int(overloadRate) / overloadRequests
		gated, plain := runOverload(true), runOverload(false)
		fmt.Fprintf(ginkgo.GinkgoWriter, "allowed %d; gated: %d in time, %d finished; plain: %d in time, %d finished\n",
			allowed, gated.inTime, gated.finished, plain.inTime, plain.finished)
		gomega.Expect(gated.inTime).To(gomega.BeNumerically(">=", allowed*8/10))
		gomega.Expect(gated.inTime).To(gomega.BeNumerically(">", plain.inTime))
	})

	ginkgo.It("are admitted once at a cost, and again at none", func() {
		starts := limit.NewStarts(10)
		first := limit.Start{Program: "a", Requests: 30, FinishIn: 1000}
		admitted, _ := starts.Admit(0, first, 1)
		gomega.Expect(admitted).To(gomega.BeTrue())
		admitted, _ = starts.Admit(1, first, 0)
		gomega.Expect(admitted).To(gomega.BeTrue())
		admitted, after := starts.Admit(2, limit.Start{Program: "b", Requests: 1}, 1)
		gomega.Expect(admitted).To(gomega.BeFalse())
		gomega.Expect(after).To(gomega.BeNumerically("~", 2500, 10), "the debt is 25 requests at 10 a second")
	})

	ginkgo.It("wait while the pool holds only what programs under way may need", func() {
		starts := limit.NewStarts(10)
		admitted, after := starts.Admit(0, limit.Start{Program: "a", Requests: 1}, 0.2)
		gomega.Expect(admitted).To(gomega.BeFalse())
		gomega.Expect(after).To(gomega.BeNumerically(">", 0))
	})

	// A program that was turned away for so long that it must be late took the place
	// of one that could still finish in time.
	ginkgo.It("give way when they are too late to finish in time", func() {
		starts := limit.NewStarts(10)
		late := limit.Start{Program: "late", Requests: 5, FinishIn: 1000}
		starts.Admit(0, limit.Start{Program: "a", Requests: 30}, 1)
		admitted, _ := starts.Admit(100, late, 1)
		gomega.Expect(admitted).To(gomega.BeFalse())
		late.FinishIn = 0
		admitted, _ = starts.Admit(2600, late, 1)
		gomega.Expect(admitted).To(gomega.BeFalse(), "a fresh program goes first")
		admitted, _ = starts.Admit(2610, limit.Start{Program: "fresh", Requests: 1, FinishIn: 1000}, 1)
		gomega.Expect(admitted).To(gomega.BeTrue())
		admitted, _ = starts.Admit(4000, late, 1)
		gomega.Expect(admitted).To(gomega.BeTrue(), "there is room to spare")
	})
})
