package routing_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	_ "github.com/baobabspool/baobabspool/pkg/policy/routing"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// idleEndpoints returns n identical idle endpoints whose last report was received
// at 1000 ms.
func idleEndpoints(n int) (list []spool.EndpointView) {
	for i := range n {
		list = append(list, spool.EndpointView{
			ID: spool.EndpointID(fmt.Sprintf("e%d", i)), Window: 8, ReportedAt: 1000,
			MillisPerCall: 2000, PrefillTokensPerMilli: 10, Share: 1,
		})
	}
	return list
}

func newRouter(t *testing.T, name string) spool.Router {
	r, err := spool.Routers.New(name, 7, nil)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return r
}

// countPicks routes a call n times at 1000 ms and counts the picks of each
// endpoint.
func countPicks(r spool.Router, n int, call spool.CallView, list []spool.EndpointView) map[spool.EndpointID]int {
	counts := map[spool.EndpointID]int{}
	for range n {
		if id, ok := r.Pick(1000, call, list); ok {
			counts[id]++
		}
	}
	return counts
}

// TestRoutersAvoidTriedEndpoints guards against routing a call to an endpoint that
// has refused it while there are other endpoints, and against rejecting it when all
// have refused it.
func TestRoutersAvoidTriedEndpoints(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, name := range spool.Routers.Names() {
		list := idleEndpoints(3)
		list[0].CachedTokens = 50_000
		list[1].Running, list[1].Queued = 8, 40
		call := spool.CallView{PromptTokens: 50_000, Attained: 1, Tried: []spool.EndpointID{"e0"}}
		g.Expect(countPicks(newRouter(t, name), 50, call, list)).NotTo(gomega.HaveKey(spool.EndpointID("e0")), name)
		call.Tried = []spool.EndpointID{"e0", "e1", "e2"}
		_, ok := newRouter(t, name).Pick(1000, call, list)
		g.Expect(ok).To(gomega.BeTrue(), name)
		_, ok = newRouter(t, name).Pick(1000, call, nil)
		g.Expect(ok).To(gomega.BeFalse(), name)
	}
}

// TestRoundRobinKeepsItsPosition guards against a roundRobin router that starts
// over or skips an endpoint when the list of endpoints changes.
func TestRoundRobinKeepsItsPosition(t *testing.T) {
	g := gomega.NewWithT(t)
	r, list := newRouter(t, "roundRobin"), idleEndpoints(4)
	g.Expect(countPicks(r, 2, spool.CallView{}, list)).To(gomega.HaveLen(2))
	id, _ := r.Pick(1000, spool.CallView{}, append(list[:1:1], list[2:]...))
	g.Expect(id).To(gomega.Equal(spool.EndpointID("e2")))
}

// TestAffinityWeighsPrefixAgainstWait guards against routing a call away from its
// cached prefix without need, and against routing it to the prefix when the wait
// there costs more than recomputing.
func TestAffinityWeighsPrefixAgainstWait(t *testing.T) {
	g := gomega.NewWithT(t)
	r, list := newRouter(t, "affinity"), idleEndpoints(4)
	call := spool.CallView{PromptTokens: 20_000, Attained: 1}
	list[2].CachedTokens, list[2].Running = 20_000, 7
	g.Expect(countPicks(r, 20, call, list)).To(gomega.Equal(map[spool.EndpointID]int{"e2": 20}))
	list[2].Running, list[2].Queued = 8, 16
	g.Expect(countPicks(r, 20, call, list)).NotTo(gomega.HaveKey(spool.EndpointID("e2")))
	list[2].Queued, list[2].SentSinceReport = 0, 16
	g.Expect(countPicks(r, 20, call, list)).NotTo(gomega.HaveKey(spool.EndpointID("e2")), "sent since the report")
	list[2].SentSinceReport, list[2].Running, list[2].Share = 0, 6, 0.1
	call.PromptTokens, list[2].CachedTokens = 2000, 2000
	g.Expect(countPicks(r, 20, call, list)).NotTo(gomega.HaveKey(spool.EndpointID("e2")), "share of a returning failure domain")
}

// TestStaleReportsSpreadCalls guards against routing all calls by the same stale
// report, and against picking a cold endpoint whose window is full.
func TestStaleReportsSpreadCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, name := range []string{"affinity", "leastLoaded"} {
		list := idleEndpoints(8)
		for i := range list {
			list[i].Running, list[i].ReportedAt = 5, -60_000
		}
		list[3].Running = 0
		counts := countPicks(newRouter(t, name), 800, spool.CallView{}, list)
		g.Expect(counts).To(gomega.HaveLen(8), name)
		g.Expect(counts["e3"]).To(gomega.BeNumerically("<", 200), name)
		list = idleEndpoints(2)
		list[0].Window, list[0].Running, list[1].Running = 1, 1, 6
		g.Expect(countPicks(newRouter(t, name), 20, spool.CallView{}, list)).To(gomega.Equal(map[spool.EndpointID]int{"e1": 20}), name)
	}
}

// TestAffinityRejectsFirstCallsUnderLoad guards against accepting first calls of
// programs while calls wait at every endpoint, and against rejecting later calls,
// alarms and calls to endpoints that have not reported yet.
func TestAffinityRejectsFirstCallsUnderLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	r, list := newRouter(t, "affinity"), idleEndpoints(2)
	for i := range list {
		list[i].Running, list[i].Queued = 8, 160
	}
	g.Expect(countPicks(r, 5, spool.CallView{}, list)).To(gomega.BeEmpty())
	g.Expect(countPicks(r, 5, spool.CallView{Attained: 10}, list)).NotTo(gomega.BeEmpty())
	g.Expect(countPicks(r, 5, spool.CallView{Alarm: true}, list)).NotTo(gomega.BeEmpty())
	list[0].Window = 0
	g.Expect(countPicks(r, 5, spool.CallView{}, list)).NotTo(gomega.BeEmpty())
}

// TestAffinityUsesFirstCallWait guards against routing a first call to an endpoint
// where first calls wait long although later calls do not. It also guards against
// later calls that avoid an endpoint because of first calls that are served after
// them.
func TestAffinityUsesFirstCallWait(t *testing.T) {
	g := gomega.NewWithT(t)
	r, list := newRouter(t, "affinity"), idleEndpoints(2)
	list[0].Queued, list[0].QueuedStarts, list[0].StartWait = 12, 12, 25_000
	list[1].Running = 7
	g.Expect(countPicks(r, 20, spool.CallView{}, list)).To(gomega.Equal(map[spool.EndpointID]int{"e1": 20}))
	g.Expect(countPicks(r, 20, spool.CallView{Attained: 1}, list)).To(gomega.Equal(map[spool.EndpointID]int{"e0": 20}))
	list[0].StartWait, list[1].StartWait = 31_000, 31_000
	g.Expect(countPicks(r, 5, spool.CallView{}, list)).To(gomega.BeEmpty())
	g.Expect(countPicks(r, 5, spool.CallView{Attained: 1}, list)).NotTo(gomega.BeEmpty())
}

// TestFirstCallBoundFollowsCapacityLoss guards against applying the usual bound on
// the wait of first calls while capacity is lost, against returning to that bound
// as soon as the capacity is back, and against keeping the raised bound long after
// a permanent loss.
func TestFirstCallBoundFollowsCapacityLoss(t *testing.T) {
	g := gomega.NewWithT(t)
	r, list := newRouter(t, "affinity"), idleEndpoints(4)
	for i := range list {
		list[i].StartWait = 60_000
	}
	accepts := func(now clock.Millis, endpoints []spool.EndpointView) bool {
		for i := range endpoints {
			endpoints[i].ReportedAt = now
		}
		_, ok := r.Pick(now, spool.CallView{}, endpoints)
		return ok
	}
	g.Expect(accepts(1000, list)).To(gomega.BeFalse())
	g.Expect(accepts(2000, list[1:])).To(gomega.BeTrue())
	g.Expect(accepts(3000, list)).To(gomega.BeTrue())
	g.Expect(accepts(15*clock.Minute, list)).To(gomega.BeFalse())
	g.Expect(accepts(16*clock.Minute, list[1:])).To(gomega.BeTrue())
	g.Expect(accepts(4*clock.Hour, list[1:])).To(gomega.BeFalse())
}
