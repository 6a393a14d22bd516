package candidates_test

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/fixedseed"
	"github.com/baobabspool/baobabspool/pkg/candidates"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestMain(m *testing.M) { fixedseed.Main(m, nil) }

func TestCandidates(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "candidates")
}

var (
	large = spool.VMSize{Cores: 0.8, LinkMbps: 600}
	small = spool.VMSize{Cores: 0.144, LinkMbps: 30}
)

// fleet returns largeCount large and smallCount small VMs, the small ones first.
func fleet(largeCount, smallCount int) (list []candidates.Candidate) {
	for i := range smallCount {
		list = append(list, candidates.Candidate{Node: spool.NodeID(fmt.Sprintf("small-%d", i)), Size: small})
	}
	for i := range largeCount {
		list = append(list, candidates.Candidate{Node: spool.NodeID(fmt.Sprintf("large-%d", i)), Size: large})
	}
	return list
}

var _ = ginkgo.Describe("Rank", func() {
	// Guards against a role of the whole deployment on a VM of 0.144 cores and 30 Mbit/s,
	// chosen by the hash of its name: the owner of the pools then answered late, and three
	// quarters of all requests were refused.
	ginkgo.It("prefers large VMs for each role, whatever their names", func() {
		list := fleet(54, 73)
		for i := range 200 {
			gomega.Expect(candidates.Rank(fmt.Sprintf("role-%d", i), list)[0].Size).To(gomega.Equal(large))
		}
	})

	ginkgo.It("prefers a punctual VM, and a small punctual one to a large late one", func() {
		list := fleet(2, 1)
		list[1].Late = true
		gomega.Expect(candidates.Rank("role", list)[0].Node).To(gomega.Equal(list[2].Node))
		list[2].Late = true
		gomega.Expect(candidates.Rank("role", list)[0].Node).To(gomega.Equal(list[0].Node))
		list[0].Late = true
		gomega.Expect(candidates.Rank("role", list)).To(gomega.HaveLen(3))
	})

	// Guards against a deployment without a candidate, for example while gateways of an
	// earlier version publish no size.
	ginkgo.It("treats VMs of unknown size alike", func() {
		list := []candidates.Candidate{{Node: "a"}, {Node: "b"}}
		gomega.Expect(candidates.Able(list)).To(gomega.Equal(list))
	})

	// Guards against all roles on one VM.
	ginkgo.It("spreads roles over the able VMs", func() {
		list, held := fleet(10, 10), map[spool.NodeID]int{}
		for i := range 1000 {
			held[candidates.Rank(fmt.Sprintf("role-%d", i), list)[0].Node]++
		}
		gomega.Expect(held).To(gomega.HaveLen(10))
		for node, count := range held {
			gomega.Expect(count).To(gomega.BeNumerically("<=", 200), "%s", node)
		}
	})

	ginkgo.It("keeps the order of the others when a candidate leaves", func() {
		list := fleet(5, 5)
		before := candidates.Rank("role", list)
		after := candidates.Rank("role", list[1:])
		for i, j := 0, 0; i < len(before); i++ {
			if before[i].Node != list[0].Node {
				gomega.Expect(after[j].Node).To(gomega.Equal(before[i].Node))
				j++
			}
		}
	})
})

var _ = ginkgo.Describe("Lateness", func() {
	const interval = 150 * clock.Millis(1)

	record := func(l *candidates.Lateness, now *clock.Millis, delays ...clock.Millis) {
		for _, delay := range delays {
			*now += interval + delay
			l.Record(*now, delay)
		}
	}

	// Guards against an owner that keeps its role although it answers too late to be of
	// use, because it is heard and votes for itself.
	ginkgo.It("reports a process that runs late, within a second", func() {
		var l candidates.Lateness
		now := clock.Second
		record(&l, &now, 60, 60, 60, 60, 60)
		gomega.Expect(now - clock.Second).To(gomega.BeNumerically("<=", clock.Second+100))
		gomega.Expect(l.IsLate(now)).To(gomega.BeTrue())
	})

	ginkgo.It("ignores single pauses", func() {
		var l candidates.Lateness
		now := clock.Second
		for range 50 {
			record(&l, &now, 400, 1, 1)
			gomega.Expect(l.IsLate(now)).To(gomega.BeFalse())
		}
	})

	// Guards against a role that moves back and forth.
	ginkgo.It("reports the process for a while after it has become punctual", func() {
		var l candidates.Lateness
		now := clock.Second
		record(&l, &now, 60, 60, 60, 60, 60)
		lateAt := now
		for now < lateAt+15*clock.Second {
			record(&l, &now, 0)
			gomega.Expect(l.IsLate(now)).To(gomega.BeTrue())
		}
		for now < lateAt+25*clock.Second {
			record(&l, &now, 0)
		}
		gomega.Expect(l.IsLate(now)).To(gomega.BeFalse())
	})
})
