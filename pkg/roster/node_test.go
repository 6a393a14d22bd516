package roster_test

import (
	"flag"
	"slices"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/roster"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestRoster(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "roster")
}

// init sets a fixed seed and number of checks for rapid, so that runs are reproducible.
// Flags on the command line override them.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const readers = 2

// newSettledFleet returns a fleet of 12 entries and 30 agents in 3 failure domains, all
// with the current list.
func newSettledFleet(seed uint64) *fleet {
	f := newFleet(seed, 12, 30, 3)
	f.startAll(readers)
	f.advance(12 * clock.Second)
	gomega.Expect(f.lagging()).To(gomega.BeEmpty())
	return f
}

func (f *fleet) setState(node spool.NodeID, state spool.VMState) {
	f.changeList(func(vms []spool.VM) {
		for i := range vms {
			if vms[i].ID == node {
				vms[i].State = state
			}
		}
	})
}

// byRole returns the readers, the other entries and the agents.
func (f *fleet) byRole() (reading, others, agents []*process) {
	for _, p := range f.processes {
		switch {
		case p.vm.Role != spool.RoleEntry:
			agents = append(agents, p)
		case p.IsReader():
			reading = append(reading, p)
		default:
			others = append(others, p)
		}
	}
	return reading, others, agents
}

// catchUpTime advances the fleet until every running process has the platform's list,
// and returns the elapsed virtual time. The test fails if that takes longer than limit
// or if a process replaced its list by an older one.
func (f *fleet) catchUpTime(limit clock.Millis) clock.Millis {
	start := f.now
	for f.now < start+limit && len(f.lagging()) > 0 {
		f.advance(10)
	}
	gomega.Expect(f.lagging()).To(gomega.BeEmpty(), "after %v", limit)
	gomega.Expect(f.regression).To(gomega.BeEmpty())
	return f.now - start
}

var _ = ginkgo.Describe("Node", func() {
	// Guards against new work for a leaving endpoint (invariant 14 in docs/invariants.md),
	// in the absence of faults.
	ginkgo.It("tells every process of a leaving VM within 3 s, and of one that is gone", func() {
		f := newSettledFleet(1)
		reading, _, _ := f.byRole()
		gomega.Expect(reading).To(gomega.HaveLen(3 * readers))
		f.setState("a7", spool.VMLeaving)
		ginkgo.GinkgoWriter.Printf("leaving VM known everywhere after %v\n", f.catchUpTime(3*clock.Second))
		own, _ := f.nodes["a7"].Own()
		gomega.Expect(own.State).To(gomega.Equal(spool.VMLeaving))
		// Change only the row of the last agent. No other agent receives that row, so the
		// rows of the entries stay the same for all agents.
		last := len(f.vms) - 1
		f.vms = slices.Clone(f.vms)
		f.vms[last].State = spool.VMLeaving
		f.catchUpTime(3 * clock.Second)
		f.vms = f.vms[:last]
		f.catchUpTime(3 * clock.Second)
	})

	// Guards against reads of the platform by processes that are not readers, and against
	// long polls that return at once although nothing has changed.
	ginkgo.It("lets only the readers read the platform's list, and the others wait at their parents", func() {
		f := newSettledFleet(2)
		f.reads, f.pulls = nil, 0
		f.advance(20 * clock.Second)
		gomega.Expect(len(f.reads)).To(gomega.BeNumerically("<=", 3*readers*21))
		gomega.Expect(f.pulls).To(gomega.BeNumerically("<=", len(f.processes)*11), "one in 2 s")
	})

	// Guards against children that keep a dead reader as their parent, or that repeat
	// requests to it without a pause. A request that is in flight when the reader dies is
	// never answered.
	ginkgo.It("gets the list from other parents when the readers of a failure domain die but are still listed as live", func() {
		f := newSettledFleet(3)
		reading, _, _ := f.byRole()
		for _, p := range reading {
			p.dead = p.vm.FailureDomain == "d1"
		}
		f.setState("a7", spool.VMLeaving)
		ginkgo.GinkgoWriter.Printf("with dead readers after %v, %d requests refused\n", f.catchUpTime(3*clock.Second), f.refused)
		gomega.Expect(f.refused).To(gomega.BeNumerically("<", 2*len(f.processes)), "a parent that refuses a connection is avoided for some time")
	})

	// Guards against children that accept the old list of a parent that was suspended and
	// has resumed.
	ginkgo.It("never goes back to the list of a parent that was paused", func() {
		f := newSettledFleet(4)
		reading, _, _ := f.byRole()
		for _, p := range reading[:3] {
			p.paused = true
		}
		f.advance(200)
		f.setState("a7", spool.VMLeaving)
		f.catchUpTime(6 * clock.Second)
		f.advance(10 * clock.Second)
		for _, p := range reading[:3] {
			f.resume(p)
		}
		f.catchUpTime(3 * clock.Second)
	})

	// Guards against children that keep a parent although it cannot reach the platform and
	// another parent can.
	ginkgo.It("leaves parents that are cut off from the platform", func() {
		f := newSettledFleet(5)
		for _, p := range f.processes {
			p.platformUnreachable = p.vm.FailureDomain == "d1" && p.vm.Role == spool.RoleEntry
		}
		f.advance(clock.Minute)
		f.setState("a7", spool.VMLeaving)
		ginkgo.GinkgoWriter.Printf("behind cut-off parents after %v\n", f.catchUpTime(8*clock.Second))
	})

	// Guards against agents that get no updates when no entry answers, and against agents
	// that read from the platform more often than once in 5 s each.
	ginkgo.It("reads the platform's list itself, but rarely, when all parents are gone", func() {
		f := newSettledFleet(6)
		reading, others, agents := f.byRole()
		for _, p := range append(reading, others...) {
			p.dead = true
		}
		f.setState("a7", spool.VMLeaving)
		ginkgo.GinkgoWriter.Printf("without parents after %v\n", f.catchUpTime(10*clock.Second))
		f.reads = nil
		f.advance(clock.Minute)
		gomega.Expect(len(f.reads)).To(gomega.BeNumerically("<=", len(agents)*60/5))
		gomega.Expect(len(f.reads)).To(gomega.BeNumerically(">", len(agents)))
	})

	// Guards against lists that are dropped during an outage of the platform, against
	// fallback reads of agents during the outage, and against many reads at the same time
	// when the platform recovers.
	ginkgo.It("keeps the list while the platform's is down for long, and catches up in one go", func() {
		f := newSettledFleet(7)
		f.platformDown = true
		f.advance(clock.Minute)
		f.fallbacks = 0
		f.advance(10 * clock.Minute)
		_, others, _ := f.byRole()
		ginkgo.GinkgoWriter.Printf("during the outage: %d reads by processes that are no readers\n", f.fallbacks)
		gomega.Expect(f.fallbacks).To(gomega.BeNumerically("<", len(others)*2*10), "entries read at most once a minute, agents never")
		gomega.Expect(f.lagging()).To(gomega.BeEmpty())
		for _, node := range []spool.NodeID{"a1", "a2", "a3", "e4"} {
			f.setState(node, spool.VMLeaving)
		}
		f.platformDown, f.reads = false, nil
		ginkgo.GinkgoWriter.Printf("after the outage: %v, %d reads\n", f.catchUpTime(3*clock.Second), len(f.reads))
		gomega.Expect(len(f.reads)).To(gomega.BeNumerically("<", 3*readers*6+len(others)))
	})

	// Guards against all processes reading the platform's list at the same time after a
	// cold start.
	ginkgo.It("spreads the first reads of a cold start", func() {
		f := newFleet(8, 40, 1000, 4)
		f.startAll(readers)
		f.advance(12 * clock.Second)
		gomega.Expect(f.lagging()).To(gomega.BeEmpty())
		fullest, total := 0, 0
		slots := map[clock.Millis]int{}
		for _, at := range f.reads {
			slots[at/100]++
			fullest = max(fullest, slots[at/100])
			total++
		}
		ginkgo.GinkgoWriter.Printf("%d reads, at most %d in 100 ms\n", total, fullest)
		gomega.Expect(fullest).To(gomega.BeNumerically("<", 60), "the reads of 1,040 processes spread over 5 s are about 20 in 100 ms")
		gomega.Expect(total).To(gomega.BeNumerically("<", 1040+4*readers*12+40))
	})

	// Guards against applying the answer to a slow read of the platform after a newer
	// answer of a parent.
	ginkgo.It("rejects a list that may have been read before the current one", func() {
		f := newSettledFleet(10)
		child := f.nodes["e1"]
		_, err := child.ApplyList(child.ReadAt()-1, child.localTime(f), f.vms[1:])
		gomega.Expect(err).To(gomega.MatchError(roster.ErrOutdated))
		gomega.Expect(f.lagging()).To(gomega.BeEmpty())
	})

	// Guards against applying a reply whose rows were lost or corrupted in transit.
	ginkgo.It("takes no rows whose digest is wrong", func() {
		f := newFleet(9, 2, 0, 1)
		f.startAll(1)
		f.advance(clock.Second)
		parent, child := f.nodes["e0"], f.nodes["e1"]
		zero := &roster.Digests{}
		f.changeList(func([]spool.VM) {})
		_, err := parent.ApplyList(parent.localTime(f), parent.localTime(f), f.vms)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		reply, _, err := parent.Answer(parent.localTime(f), roster.PullRequest{Digests: zero})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(len(reply.Rows)).To(gomega.BeNumerically(">", 0))
		reply.Rows = reply.Rows[1:]
		f.now += clock.Second
		_, err = child.ApplyReply(child.localTime(f), child.localTime(f), parent.vm, reply)
		gomega.Expect(err).To(gomega.MatchError(roster.ErrCorrupt))
	})
})

// TestRandomFaults injects random faults. It guards against a process that replaces its
// list by an older one, and against a process that does not have the platform's list 20
// s after the faults have ended.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 8).Draw(t, "entries"), rapid.IntRange(1, 8).Draw(t, "agents"), 3)
		f.maxExtraDelay = clock.Millis(rapid.SampledFrom([]int{0, 5, 400}).Draw(t, "slow"))
		f.startAll(rapid.IntRange(0, 2).Draw(t, "readers"))
		f.advance(8 * clock.Second)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			p := f.processes[rapid.IntRange(0, len(f.processes)-1).Draw(t, "process")]
			switch rapid.SampledFrom([]string{"change", "change", "pause", "resume", "cut", "join", "down", "swap"}).Draw(t, "fault") {
			case "change":
				f.setState(p.vm.ID, rapid.SampledFrom([]spool.VMState{spool.VMLive, spool.VMLeaving}).Draw(t, "state"))
			case "pause":
				p.paused = true
			case "resume":
				f.resume(p)
			case "cut":
				p.platformUnreachable = true
			case "join":
				p.platformUnreachable = false
			case "down":
				f.platformDown = !f.platformDown
			case "swap":
				// Replace the row of a VM by one with another ID. The row of e0 stays,
				// because it contains the version.
				if i := rapid.IntRange(1, len(f.vms)-1).Draw(t, "row"); p.vm.Role != spool.RoleEntry {
					f.changeList(func(vms []spool.VM) { vms[i].ID += "x" })
				}
			}
			f.advance(clock.Millis(rapid.IntRange(0, 1500).Draw(t, "for")))
			if f.regression != "" {
				t.Fatal(f.regression)
			}
		}
		f.platformDown, f.maxExtraDelay = false, 0
		for _, p := range f.processes {
			p.platformUnreachable = false
			f.resume(p)
		}
		f.advance(20 * clock.Second)
		if lagging := f.lagging(); len(lagging) > 0 || f.regression != "" {
			t.Fatalf("%v do not have the platform's list; %s", lagging, f.regression)
		}
	})
}
