package throttle_test

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/throttle"
)

func TestThrottle(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "throttle")
}

// fakeService is a service with slots and a queue of limited length. It rejects a
// call if all slots are in use and the queue is full.
type fakeService struct {
	slots, queue int
	callTime     clock.Millis
	// endTimes contains the end times of the accepted calls that have not ended.
	endTimes []clock.Millis
}

// call accepts a call and returns the time at which it will end, or returns false
// if it rejects the call.
func (s *fakeService) call(now clock.Millis) (end clock.Millis, ok bool) {
	kept := s.endTimes[:0]
	for _, end := range s.endTimes {
		if end > now {
			kept = append(kept, end)
		}
	}
	s.endTimes = kept
	if len(s.endTimes) >= s.slots+s.queue {
		return 0, false
	}
	begin := now
	if len(s.endTimes) >= s.slots {
		begin = s.endTimes[len(s.endTimes)-s.slots]
	}
	s.endTimes = append(s.endTimes, begin+s.callTime)
	return begin + s.callTime, true
}

const (
	calls        = 8
	thinkTime    = 200 * clock.Millis(1)
	retryTimeout = 600 * clock.Millis(1)
	// finishGoal is the longest duration of a program that counts as in time: 1.5
	// times that on an idle service.
	finishGoal = calls * (thinkTime + 24) * 3 / 2
)

type program struct {
	startedAt, nextAt clock.Millis
	callsLeft         int
	// rejectedSince is the time at which the current call was first rejected; 0 if
	// it has not been rejected.
	rejectedSince clock.Millis
	rank          int
}

// outcome contains numbers of programs of one simulation.
type outcome struct {
	inTime, late, failed, refused int
	// startedByRank is the number of programs that were allowed to start,
	// requestedByRank that of all programs.
	startedByRank, requestedByRank [2]int
}

// simulate runs 30 s with perSecond new programs per second, alternately of rank 0
// and 1. If throttled is true, Throttle.Admit decides which of them start.
func simulate(throttled bool, perSecond int) (o outcome) {
	s := &fakeService{slots: 6, queue: 24, callTime: 24}
	t := throttle.New(0)
	var running []*program
	every := clock.Millis(1000 / perSecond)
	pendingAnswers = nil
	for now := clock.Millis(0); now < 30*clock.Second; now++ {
		deliverAnswers(now, t)
		if now%every == 0 {
			rank := int(now/every) % 2
			o.requestedByRank[rank]++
			if !throttled || t.Admit(now, rank) {
				o.startedByRank[rank]++
				running = append(running, &program{startedAt: now, nextAt: now, callsLeft: calls, rank: rank})
			} else {
				o.refused++
			}
		}
		kept := running[:0]
		for _, p := range running {
			if now < p.nextAt || sendCall(now, p, s, t, &o) {
				kept = append(kept, p)
			}
		}
		running = kept
	}
	return o
}

// answer is the answer to an accepted call: the time at which it arrives and the
// duration of the call.
type answer struct{ at, took clock.Millis }

// pendingAnswers contains the answers that have not yet been passed to the
// throttle.
var pendingAnswers []answer

// deliverAnswers passes the answers that have arrived by now to the throttle.
func deliverAnswers(now clock.Millis, t *throttle.Throttle) {
	kept := pendingAnswers[:0]
	for _, a := range pendingAnswers {
		if a.at > now {
			kept = append(kept, a)
			continue
		}
		t.RecordAnswered(now, a.took)
	}
	pendingAnswers = kept
}

// sendCall makes the next call of a program. It returns false if the program has
// finished or failed.
func sendCall(now clock.Millis, p *program, s *fakeService, t *throttle.Throttle, o *outcome) bool {
	if p.callsLeft == 0 {
		if now-p.startedAt <= finishGoal {
			o.inTime++
		} else {
			o.late++
		}
		return false
	}
	end, ok := s.call(now)
	if !ok {
		t.RecordRejected(now)
	}
	switch {
	case ok:
		pendingAnswers = append(pendingAnswers, answer{at: end, took: end - now})
		p.callsLeft--
		p.rejectedSince, p.nextAt = 0, end+thinkTime
	case p.rejectedSince == 0:
		p.rejectedSince, p.nextAt = now, now+20
	case now-p.rejectedSince >= retryTimeout:
		o.failed++
		return false
	default:
		p.nextAt = now + 40
	}
	return true
}

var _ = ginkgo.Describe("Programs that use a service that has lost most of its slots", func() {
	// Guards against programs that keep starting while calls wait in the queue of
	// the service. Most of them failed part-way because a call was rejected until
	// retryTimeout ended its retries.
	ginkgo.It("fail part-way at most half as often, and finish in time at least as often", func() {
		// A service with 6 slots and 24 ms per call serves 250 calls per second,
		// which is 31 programs.
		for _, perSecond := range []int{45, 60, 80} {
			throttled, unthrottled := simulate(true, perSecond), simulate(false, perSecond)
			fmt.Fprintf(ginkgo.GinkgoWriter, "%d per second: throttled %+v; unthrottled %+v\n", perSecond, throttled, unthrottled)
			gomega.Expect(throttled.inTime).To(gomega.BeNumerically(">=", unthrottled.inTime))
			gomega.Expect(throttled.failed).To(gomega.BeNumerically("<=", unthrottled.failed/2))
		}
	})

	ginkgo.It("finish in time at no less than half of the service's capacity under heavy overload", func() {
		throttled := simulate(true, 80)
		gomega.Expect(throttled.inTime).To(gomega.BeNumerically(">=", 30*31/2))
	})

	ginkgo.It("all start while the service has capacity for them", func() {
		o := simulate(true, 25)
		gomega.Expect(o.refused).To(gomega.BeZero())
		gomega.Expect(o.late + o.failed).To(gomega.BeZero())
	})

	// Guards against less urgent programs that start in place of more urgent ones.
	ginkgo.It("are limited by rank", func() {
		o := simulate(true, 60)
		urgent := float64(o.startedByRank[0]) / float64(o.requestedByRank[0])
		other := float64(o.startedByRank[1]) / float64(o.requestedByRank[1])
		gomega.Expect(urgent).To(gomega.BeNumerically(">", other))
	})

	ginkgo.It("all start again within seconds after the overload, and after a long idle time", func() {
		t := throttle.New(0)
		for now := clock.Millis(0); now < 4*clock.Second; now += 10 {
			t.RecordRejected(now)
		}
		gomega.Expect(t.Share()).To(gomega.BeNumerically("<", 0.1))
		gomega.Expect(t.Unlimited(12 * clock.Second)).To(gomega.BeTrue())
		gomega.Expect(t.Unlimited(clock.Hour)).To(gomega.BeTrue())
	})

	ginkgo.It("all start while only single calls are rejected", func() {
		t := throttle.New(0)
		for now := clock.Millis(0); now < 4*clock.Second; now += 10 {
			if now%500 == 0 {
				t.RecordRejected(now)
				continue
			}
			t.RecordAnswered(now, 20)
		}
		gomega.Expect(t.Unlimited(4 * clock.Second)).To(gomega.BeTrue())
	})
})
