package endpoints_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func count01(value bool) int {
	if value {
		return 1
	}
	return 0
}

var _ = ginkgo.Describe("A choice by speed class", func() {
	const count = 12
	// picks sends 40 turns of each of 20 programs, and returns how many go to the third of the
	// endpoints that is slow, and to other domains, and how many not to the endpoint of the turn
	// before. Others have inFlight requests at each fast endpoint.
	picks := func(slow float64, inFlight int, domain func(i int) spool.FailureDomain) (slowPicks, awayPicks, moved int) {
		policy, err := endpoints.Policies.New(endpoints.PolicySpeedAware, 1, spool.Options{endpoints.OptionMaxReceiveLoad: 1})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		view, isSlow := fixedView{}, map[spool.EndpointID]bool{}
		t := endpoints.NewTable("home", endpoints.WithPolicy(policy), endpoints.WithView(view))
		for i := range count {
			record := newRecord(fmt.Sprint("m", i), domain(i))
			t.Put(0, record)
			view[record.ID] = streamStats(1, inFlight)
			if i%3 == 0 {
				isSlow[record.ID], view[record.ID] = true, streamStats(slow, 0)
			}
		}
		last := map[string]spool.EndpointID{}
		for n := range 800 {
			now, program := clock.Millis(n*10), fmt.Sprint("p", n%20)
			e := t.Pick(now, endpoints.PickRequest{Service: "models", IsStream: true, AffinityKey: program, Salt: fmt.Sprint(n)})
			slowPicks += count01(isSlow[e.ID()])
			awayPicks += count01(e.FailureDomain() != "home")
			moved += count01(n >= 20 && last[program] != e.ID())
			last[program] = e.ID()
			t.Done(now, e, endpoints.Result{Outcome: endpoints.Answered})
		}
		return slowPicks, awayPicks, moved
	}
	home := func(int) spool.FailureDomain { return "home" }

	// Guards against programs that are late because a part of their turns goes to slow
	// endpoints, and against turns of a program that share no cached prompt.
	ginkgo.It("avoids slow endpoints while fast ones have room, and keeps the turns of a program together", func() {
		slowPicks, _, moved := picks(2.4, 1, home)
		gomega.Expect(slowPicks).To(gomega.BeZero())
		gomega.Expect(moved).To(gomega.BeZero())
	})

	// Guards against slow endpoints that stand idle while the fast ones have queues, and
	// against small differences that outweigh a cached prompt.
	ginkgo.It("uses slow endpoints while the fast ones are full, and those that are hardly slower always", func() {
		overloaded, _, _ := picks(2.4, 8, home)
		similar, _, _ := picks(1.3, 1, home)
		gomega.Expect(overloaded).To(gomega.BeNumerically(">", 800/6))
		gomega.Expect(similar).To(gomega.BeNumerically(">", 800/6))
	})

	// Guards against requests that leave the domain although it has room, and against requests
	// that are refused although another domain has an endpoint.
	ginkgo.It("leaves the failure domain only if that pays", func() {
		_, away, _ := picks(1, 0, func(i int) spool.FailureDomain { return spool.FailureDomain([]string{"home", "far"}[i%2]) })
		gomega.Expect(away).To(gomega.BeZero())
		_, away, _ = picks(1, 0, func(int) spool.FailureDomain { return "far" })
		gomega.Expect(away).To(gomega.Equal(800))
	})
})
