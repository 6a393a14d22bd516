package membership_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/baobabspool/baobabspool/internal/fixedseed"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestMain(m *testing.M) { fixedseed.Main(m, nil) }

func TestMembership(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "membership")
}

// cluster runs one view per entry. Messages are delivered at once.
type cluster struct {
	now        clock.Millis
	vms        []spool.VM
	views      map[spool.NodeID]*membership.View
	dead       map[spool.NodeID]bool
	cutLinks   map[[2]spool.NodeID]bool
	heartbeats int
	probes     int
	// followed and allowed record the commands of the views.
	followed map[spool.Stream][]spool.NodeID
	allowed  []membership.AllowTakeover
}

func newCluster(count, streams int) *cluster {
	f := &cluster{
		now: 1_000_000, views: map[spool.NodeID]*membership.View{}, dead: map[spool.NodeID]bool{},
		cutLinks: map[[2]spool.NodeID]bool{}, followed: map[spool.Stream][]spool.NodeID{},
	}
	for i := range count {
		f.vms = append(f.vms, spool.VM{
			ID: spool.NodeID(fmt.Sprintf("entry-%03d", i)), Role: spool.RoleEntry, State: spool.VMLive,
			FailureDomain: spool.FailureDomain(fmt.Sprintf("domain-%d", i%4)), Region: "sn-west",
		})
	}
	for _, vm := range f.vms {
		f.views[vm.ID] = membership.New(membership.Config{Self: vm, StreamCount: streams})
	}
	for _, vm := range f.vms {
		f.execute(vm.ID, f.views[vm.ID].UpdateVMs(f.now, f.vms))
	}
	return f
}

func (f *cluster) reaches(a, b spool.NodeID) bool {
	return !f.dead[b] && !f.dead[a] && !f.cutLinks[[2]spool.NodeID{a, b}]
}

func (f *cluster) execute(self spool.NodeID, commands []membership.Command) {
	view := f.views[self]
	for _, command := range commands {
		switch command := command.(type) {
		case membership.Heartbeat:
			f.heartbeats++
			ok := f.reaches(self, command.To)
			if ok {
				f.views[command.To].RecordMessage(self, view.IsLeaving())
			}
			f.execute(self, view.HeartbeatDone(f.now, command.To, ok, ok && f.views[command.To].IsLeaving()))
		case membership.Probe:
			f.probes++
			answered := f.reaches(self, command.Via)
			f.execute(self, view.ProbeDone(f.now, command.Via, command.Target, answered, answered && f.reaches(command.Via, command.Target)))
		case membership.Follow:
			f.followed[command.Stream] = append(f.followed[command.Stream], self)
			for i := range 64 {
				if spool.ProgramStream(i) == command.Stream {
					view.SetStage(i, membership.StageOwned, "")
				}
			}
		case membership.AllowTakeover:
			f.allowed = append(f.allowed, command)
		}
	}
}

func (f *cluster) advance(d clock.Millis) {
	for until := f.now + d; f.now < until; f.now += 100 {
		for _, vm := range f.vms {
			if !f.dead[vm.ID] {
				f.execute(vm.ID, f.views[vm.ID].Tick(f.now))
			}
		}
	}
}

// allPairsMessages counts the messages of the baseline, in which every member
// verifies a suspicion with every other one by a request and an answer.
func allPairsMessages(members int) (messages int) {
	for range members - 1 {
		for range members - 1 {
			messages += 2
		}
	}
	return messages
}

var _ = ginkgo.Describe("View", func() {
	ginkgo.It("keeps the cost of a suspicion constant while the baseline grows quadratically", func() {
		var probes []int
		for _, count := range []int{10, 33, 100, 330} {
			f := newCluster(count, 8)
			f.advance(2 * clock.Second)
			gomega.Expect(f.probes).To(gomega.BeZero())
			beats := f.heartbeats
			f.advance(5 * clock.Second)
			rate := float64(f.heartbeats-beats) / 5 / float64(count)
			f.dead[f.vms[3].ID] = true
			f.advance(5 * clock.Second)
			probes = append(probes, f.probes)
			ginkgo.GinkgoWriter.Printf("%d members: %d probes for one failure, all-pairs baseline %d, %.1f heartbeats per second and entry\n",
				count, f.probes, allPairsMessages(count), rate)
		}
		gomega.Expect(slices.Max(probes)).To(gomega.BeNumerically("<=", 40))
		gomega.Expect(allPairsMessages(100)).To(gomega.Equal(19_602))
	})

	ginkgo.It("assigns each stream of a dead entry to one other entry before the VM list changes", func() {
		f := newCluster(8, 32)
		f.advance(clock.Second)
		first := map[spool.Stream]spool.NodeID{}
		for stream, nodes := range f.followed {
			gomega.Expect(nodes).To(gomega.HaveLen(1))
			first[stream] = nodes[0]
		}
		gomega.Expect(len(first)).To(gomega.BeNumerically(">=", 20), "each entry claims at most a few streams at a time")
		victim := f.vms[2].ID
		f.dead[victim] = true
		f.followed = map[spool.Stream][]spool.NodeID{}
		f.advance(4 * clock.Second)
		moved := 0
		for stream, nodes := range f.followed {
			if first[stream] == victim {
				moved++
				gomega.Expect(nodes).To(gomega.HaveLen(1))
			}
		}
		gomega.Expect(moved).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("does not declare a member dead that two others can reach", func() {
		f := newCluster(6, 8)
		f.advance(clock.Second)
		a := f.vms[0].ID
		b := f.views[a].Targets()[0]
		f.cutLinks[[2]spool.NodeID{a, b}], f.cutLinks[[2]spool.NodeID{b, a}] = true, true
		f.advance(10 * clock.Second)
		gomega.Expect(f.views[a].Verdict(b)).NotTo(gomega.Equal(membership.Dead))
	})

	ginkgo.It("does not declare the others dead when it is cut off itself", func() {
		f := newCluster(12, 8)
		f.advance(clock.Second)
		a := f.vms[0].ID
		for _, vm := range f.vms {
			f.cutLinks[[2]spool.NodeID{a, vm.ID}], f.cutLinks[[2]spool.NodeID{vm.ID, a}] = true, true
		}
		f.advance(10 * clock.Second)
		gomega.Expect(f.allowed).To(gomega.BeEmpty())
		gomega.Expect(f.views[a].LiveMembers()).To(gomega.HaveLen(12))
	})

	ginkgo.It("doubles the hold-off after each loss, so that two entries do not keep taking a stream from each other", func() {
		f := newCluster(1, 1)
		self := f.vms[0].ID
		view := f.views[self]
		var waits []clock.Millis
		for range 4 {
			view.SetStage(0, membership.StageNone, "")
			view.StreamLost(f.now, 0)
			f.followed = map[spool.Stream][]spool.NodeID{}
			start := f.now
			for len(f.followed) == 0 {
				f.advance(100)
			}
			waits = append(waits, f.now-start-100)
		}
		gomega.Expect(waits).To(gomega.Equal([]clock.Millis{2000, 4000, 8000, 16000}))
	})

	ginkgo.It("grants handovers only to the entry that ranks first, and only one per interval", func() {
		f := newCluster(3, 16)
		owner := f.views[f.vms[0].ID]
		granted := 0
		for i := range 16 {
			winner, _ := owner.Winner(i)
			gomega.Expect(owner.GrantHandover(f.now, i, f.vms[0].ID)).To(gomega.BeFalse())
			if owner.GrantHandover(f.now, i, winner) {
				granted++
			}
		}
		gomega.Expect(granted).To(gomega.Equal(1))
	})

	ginkgo.It("chooses replicas in different failure domains, none of them the owner's", func() {
		f := newCluster(9, 1)
		for i := range 40 {
			holders := membership.ChooseReplicas(spool.ProgramStream(i), f.vms[0], f.vms, 2)
			gomega.Expect(holders).To(gomega.HaveLen(2))
			domains := map[spool.FailureDomain]bool{f.vms[0].FailureDomain: true}
			for _, vm := range f.vms {
				if slices.Contains(holders, vm.ID) {
					domains[vm.FailureDomain] = true
				}
			}
			gomega.Expect(domains).To(gomega.HaveLen(3))
		}
	})
})

// TestRendezvousIsStable guards against moving a stream whose owner stays.
func TestRendezvousIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 40).Draw(t, "nodes")
		var nodes []spool.NodeID
		for i := range count {
			nodes = append(nodes, spool.NodeID(fmt.Sprintf("entry-%d", i)))
		}
		gone := rapid.IntRange(0, count-1).Draw(t, "gone")
		rest := slices.Delete(slices.Clone(nodes), gone, gone+1)
		for i := range 20 {
			key := string(spool.ProgramStream(i))
			before, _ := membership.Winner(key, nodes)
			after, _ := membership.Winner(key, rest)
			if before != nodes[gone] && after != before {
				t.Fatalf("%s moved from %s to %s when %s left", key, before, after, nodes[gone])
			}
			if before != membership.Rank(key, nodes)[0] {
				t.Fatalf("%s: winner %s does not rank first", key, before)
			}
		}
	})
}

// BenchmarkRefresh measures the cost of a change of the VM list at one entry.
func BenchmarkRefresh(b *testing.B) {
	for _, count := range []int{20, 83, 330} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			f := newCluster(1, 1)
			var vms []spool.VM
			for i := range count {
				vm := f.vms[0]
				vm.ID = spool.NodeID(fmt.Sprintf("entry-%03d", i))
				vms = append(vms, vm)
			}
			view := membership.New(membership.Config{Self: vms[0], StreamCount: count})
			view.UpdateVMs(0, vms)
			b.ReportAllocs()
			for i := range b.N {
				vms[1].State = []spool.VMState{spool.VMLive, spool.VMLeaving}[i%2]
				view.UpdateVMs(clock.Millis(i), vms)
			}
		})
	}
}
