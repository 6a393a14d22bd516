package endpoints_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/outlier"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// countingObserver counts what it observes.
type countingObserver struct{ started, ended int }

func (o *countingObserver) Started(clock.Millis, spool.ServiceName, load.Instance) { o.started++ }

func (o *countingObserver) Ended(clock.Millis, spool.ServiceName, load.Instance, load.Sample) {
	o.ended++
}

var _ = ginkgo.Describe("A table with a detector of outliers", func() {
	const size = 10
	var (
		t        *endpoints.Table
		detector *outlier.Detector
		counter  *countingObserver
		now      clock.Millis
		salt     int
	)
	ginkgo.BeforeEach(func() {
		now, salt, counter = clock.Minute, 0, &countingObserver{}
		detector = outlier.New(nil)
		t = endpoints.NewTable("home", endpoints.WithOutliers(detector), endpoints.WithObserver(load.Observers{detector, counter}))
		for n := range size {
			t.Put(now, newRecord(fmt.Sprintf("h%d", n), "home"))
		}
	})
	// send sends requests one after another, of which those at h3 fail if fails is set, and
	// returns how many went to each endpoint.
	send := func(requests int, fails bool, excluded ...spool.EndpointID) map[spool.EndpointID]int {
		counts := map[spool.EndpointID]int{}
		for range requests {
			now += 100
			salt++
			want := endpoints.PickRequest{Service: "models", Salt: fmt.Sprint(salt), Tried: map[spool.EndpointID]bool{}}
			for _, id := range excluded {
				want.Tried[id] = true
			}
			e := t.Pick(now, want)
			counts[e.ID()]++
			result := endpoints.Result{Outcome: endpoints.Answered}
			if fails && e.ID() == "h3" {
				result = endpoints.Result{Outcome: endpoints.Failed, Sample: load.Sample{Outcome: load.Failed}}
			}
			t.Done(now, e, result)
		}
		return counts
	}
	everyoneElse := func() (ids []spool.EndpointID) {
		for n := range size {
			if n != 3 {
				ids = append(ids, spool.EndpointID(fmt.Sprintf("h%d", n)))
			}
		}
		return ids
	}
	isInUse := func() bool {
		state, _ := detector.State(now, "models", load.Instance{ID: "h3", StartedAt: 1})
		return state == outlier.InUse
	}

	// Guards against an endpoint that fails and gets requests again because it writes
	// records that say that it is ready, or because its record disappears and comes back.
	ginkgo.It("does not use an endpoint that fails, whatever its records say", func() {
		send(4, true, everyoneElse()...)
		gomega.Expect(isInUse()).To(gomega.BeFalse())
		for sequence := range 5 {
			ready := newRecord("h3", "home")
			ready.Sequence = int64(2 + sequence)
			t.Put(now, ready)
			t.Drop(now, "h3")
			t.Put(now, ready)
			gomega.Expect(send(1, true)).NotTo(gomega.HaveKey(spool.EndpointID("h3")))
		}
	})

	// Guards against an endpoint that answers requests and gets none because its record
	// disappears, comes back or says that it has no slots.
	ginkgo.It("uses an endpoint that answers, whatever its records say", func() {
		for sequence := range 20 {
			send(1, false, everyoneElse()...)
			unhealthy := newRecord("h3", "home")
			unhealthy.Sequence, unhealthy.Slots = int64(2+sequence), 0
			t.Drop(now, "h3")
			t.Put(now, unhealthy)
			gomega.Expect(isInUse()).To(gomega.BeTrue())
		}
		gomega.Expect(send(200, false)).To(gomega.HaveKey(spool.EndpointID("h3")))
	})

	// Guards against a request that is refused although an endpoint is left for it.
	ginkgo.It("uses an ejected endpoint if there is no other, and only then", func() {
		send(4, true, everyoneElse()...)
		gomega.Expect(send(5, true)).NotTo(gomega.HaveKey(spool.EndpointID("h3")))
		gomega.Expect(send(1, true, everyoneElse()...)).To(gomega.HaveKey(spool.EndpointID("h3")))
	})

	// Guards against an endpoint that is not used again although it has restarted.
	ginkgo.It("uses an endpoint that has restarted under the same identifier", func() {
		send(4, true, everyoneElse()...)
		restarted := newRecord("h3", "home")
		restarted.StartedAt = 2
		t.Put(now, restarted)
		gomega.Expect(send(100, false)["h3"]).To(gomega.BeNumerically(">=", 3))
	})

	// Guards against an endpoint that never returns because it gets no requests.
	ginkgo.It("uses an endpoint again that has recovered", func() {
		send(4, true, everyoneElse()...)
		gomega.Expect(isInUse()).To(gomega.BeFalse())
		send(200, false)
		gomega.Expect(isInUse()).To(gomega.BeTrue())
	})

	ginkgo.It("tells each observer of each request", func() {
		send(7, false)
		gomega.Expect(*counter).To(gomega.Equal(countingObserver{started: 7, ended: 7}))
	})
})
