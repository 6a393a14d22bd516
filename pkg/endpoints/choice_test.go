package endpoints_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// fixedView knows the same of an endpoint at any time.
type fixedView map[spool.EndpointID]load.Stats

func (v fixedView) Instance(_ clock.Millis, instance load.Instance) load.Stats {
	return v[instance.ID]
}

func (v fixedView) Service(clock.Millis, spool.ServiceName) load.ServiceStats {
	return load.ServiceStats{}
}

// newFinishTable returns a table with the policy expectedFinish.
func newFinishTable(view load.View) *endpoints.Table {
	policy, err := endpoints.Policies.New(endpoints.PolicyExpectedFinish, 1, nil)
	if err != nil {
		panic(err)
	}
	return endpoints.NewTable("home", endpoints.WithPolicy(policy), endpoints.WithView(view))
}

func streamStats(factor float64, inFlight int) load.Stats {
	return load.Stats{InFlight: inFlight, EventMillis: eventMillis * factor, FirstEventMillis: firstMillis * factor, Good: 10}
}

var _ = ginkgo.Describe("A choice by expected finish", func() {
	pick := func(t *endpoints.Table, key string, salt int) spool.EndpointID {
		e := t.Pick(1000, endpoints.PickRequest{Service: "models", IsStream: true, AffinityKey: key, Salt: fmt.Sprint(salt)})
		t.Done(1000, e, endpoints.Result{Outcome: endpoints.Answered})
		return e.ID()
	}

	// Guards against a slow endpoint that gets requests because it has free slots, and a fast
	// one that gets them in spite of a long queue.
	ginkgo.It("weighs speed against the queue, whatever affinity prefers", func() {
		for _, test := range []struct {
			slow     float64
			inFlight int
			want     spool.EndpointID
		}{{3, 4, "h1"}, {2, 0, "h1"}, {3, 5, "h1"}, {3, 24, "h2"}} {
			t := newFinishTable(fixedView{"h1": streamStats(1, test.inFlight), "h2": streamStats(test.slow, 0)})
			t.Put(0, newRecord("h1", "home"))
			t.Put(0, newRecord("h2", "home"))
			for i := range 50 {
				gomega.Expect(pick(t, fmt.Sprint("p", i), i)).To(gomega.Equal(test.want))
			}
		}
	})

	// Guards against a choice that depends on knowledge: at the start there is none.
	ginkgo.It("spreads requests evenly while nothing is known", func() {
		t := newFinishTable(fixedView{})
		for i := range 8 {
			t.Put(0, newRecord(fmt.Sprint("h", i), "home"))
		}
		counts := map[spool.EndpointID]int{}
		for i := range 24 {
			counts[t.Pick(0, endpoints.PickRequest{Service: "models", IsStream: true, Salt: fmt.Sprint(i)}).ID()]++
		}
		gomega.Expect(counts).To(gomega.HaveLen(8))
		for _, count := range counts {
			gomega.Expect(count).To(gomega.BeNumerically("<=", 4))
		}
	})

	// Guards against a request to an endpoint in a worse state while another one is left.
	ginkgo.It("takes an endpoint in backoff last, and one elsewhere if there is none at home", func() {
		t := newFinishTable(fixedView{"h1": streamStats(0.5, 0), "f1": streamStats(1, 0)})
		t.Put(0, newRecord("h1", "home"))
		t.Done(1000, t.Pick(1000, wantModels), endpoints.Result{Outcome: endpoints.Failed})
		gomega.Expect(t.Pick(1000, wantModels).ID()).To(gomega.Equal(spool.EndpointID("h1")))
		t.Put(0, newRecord("f1", "far"))
		gomega.Expect(pick(t, "", 1)).To(gomega.Equal(spool.EndpointID("f1")))
		gomega.Expect(t.Pick(2000, wantModels).ID()).To(gomega.Equal(spool.EndpointID("h1")))
	})

	// Guards against gateways that all send to an endpoint that has just started.
	ginkgo.It("does not flood a new endpoint that is fast and empty", func() {
		// The queue counts by the time that it takes: a faster endpoint may have a longer one.
		wait := func(s *station) float64 {
			return float64(len(s.waiting)) / slots * s.factor * (firstMillis + 3*eventMillis)
		}
		const runs = 8
		longest, elsewhere := 0.0, 0.0
		for seed := range uint64(runs) {
			stations := newStations(16, "home", 0.7, 0.7, 1.7)
			m := newModel(endpoints.PolicyExpectedFinish, slices.Repeat([]spool.FailureDomain{"home"}, 12), stations, nil)
			m.random = rand.New(rand.NewPCG(seed, 2))
			rate := 0.8 * capacity(stations)
			m.arrivals("home", rate, func(float64) float64 { return rate })
			m.runUntil(4000)
			added := newStations(17, "home", 0.4)[16]
			m.add(added)
			longestNow, elsewhereNow := 0.0, 0.0
			for now := 4000.0; now < 7000; now += 20 {
				m.runUntil(now)
				longestNow = max(longestNow, wait(added))
				for _, s := range stations {
					elsewhereNow = max(elsewhereNow, wait(s))
				}
			}
			longest, elsewhere = longest+longestNow/runs, elsewhere+elsewhereNow/runs
		}
		fmt.Fprintf(ginkgo.GinkgoWriter, "most: longest wait at the new endpoint %.0f ms, elsewhere %.0f ms\n", longest, elsewhere)
		gomega.Expect(longest).To(gomega.BeNumerically("<=", elsewhere))
	})
})

func BenchmarkPick(b *testing.B) {
	for _, policy := range []string{endpoints.PolicyOccupancy, endpoints.PolicySpeedAware, endpoints.PolicyExpectedFinish} {
		for _, count := range []int{50, 500, 11000} {
			b.Run(fmt.Sprintf("%s/%d", policy, count), func(b *testing.B) {
				view := fixedView{}
				chosen, err := endpoints.Policies.New(policy, 1, nil)
				if err != nil {
					b.Fatal(err)
				}
				t := endpoints.NewTable("d0", endpoints.WithPolicy(chosen), endpoints.WithView(view))
				t.SetPosition(3, 12)
				for i := range count {
					record := newRecord(fmt.Sprint("e", i), spool.FailureDomain(fmt.Sprint("d", i%3)))
					t.Put(0, record)
					view[record.ID] = streamStats(0.7+float64(i%3)/2, 2)
				}
				want := endpoints.PickRequest{Service: "models", IsStream: true, AffinityKey: "program", Salt: "request"}
				b.ResetTimer()
				for i := range b.N {
					now := clock.Millis(i / 10)
					t.Done(now, t.Pick(now, want), endpoints.Result{Outcome: endpoints.Answered})
				}
			})
		}
	}
}
