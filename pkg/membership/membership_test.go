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

// cluster runs one view per entry in virtual time, with Tick every 100 ms.
// Messages are delivered at once.
type cluster struct {
	now   clock.Millis
	vms   []spool.VM
	views map[spool.NodeID]*membership.View
	dead  map[spool.NodeID]bool
	// cutLinks holds the pairs {from, to} of entries between which requests fail in
	// that direction.
	cutLinks map[[2]spool.NodeID]bool
	// heartbeats and probes count the commands of all views.
	heartbeats int
	probes     int
	// followed maps each stream to the entries that emitted Follow for it. allowed
	// holds the AllowTakeover commands of all views.
	followed map[spool.Stream][]spool.NodeID
	allowed  []membership.AllowTakeover
}

func newCluster(count, streams int) *cluster {
	c := &cluster{
		now: 1_000_000, views: map[spool.NodeID]*membership.View{}, dead: map[spool.NodeID]bool{},
		cutLinks: map[[2]spool.NodeID]bool{}, followed: map[spool.Stream][]spool.NodeID{},
	}
	for i := range count {
		c.vms = append(c.vms, spool.VM{
			ID: spool.NodeID(fmt.Sprintf("entry-%03d", i)), Role: spool.RoleEntry, State: spool.VMLive,
			FailureDomain: spool.FailureDomain(fmt.Sprintf("domain-%d", i%4)), Region: "sn-west",
		})
	}
	for _, vm := range c.vms {
		c.views[vm.ID] = membership.New(membership.Config{Self: vm, StreamCount: streams})
	}
	for _, vm := range c.vms {
		c.execute(vm.ID, c.views[vm.ID].UpdateVMs(c.now, c.vms))
	}
	return c
}

func (c *cluster) reaches(a, b spool.NodeID) bool {
	return !c.dead[b] && !c.dead[a] && !c.cutLinks[[2]spool.NodeID{a, b}]
}

func (c *cluster) execute(self spool.NodeID, commands []membership.Command) {
	view := c.views[self]
	for _, command := range commands {
		switch command := command.(type) {
		case membership.Heartbeat:
			c.heartbeats++
			ok := c.reaches(self, command.To)
			if ok {
				c.views[command.To].RecordMessage(self, view.IsLeaving())
			}
			c.execute(self, view.HeartbeatDone(c.now, command.To, ok, ok && c.views[command.To].IsLeaving()))
		case membership.Probe:
			c.probes++
			answered := c.reaches(self, command.Via)
			c.execute(self, view.ProbeDone(c.now, command.Via, command.Target, answered, answered && c.reaches(command.Via, command.Target)))
		case membership.Follow:
			c.followed[command.Stream] = append(c.followed[command.Stream], self)
			for i := range 64 {
				if spool.ProgramStream(i) == command.Stream {
					view.SetStage(i, membership.StageOwned, "")
				}
			}
		case membership.AllowTakeover:
			c.allowed = append(c.allowed, command)
		}
	}
}

func (c *cluster) advance(d clock.Millis) {
	for until := c.now + d; c.now < until; c.now += 100 {
		for _, vm := range c.vms {
			if !c.dead[vm.ID] {
				c.execute(vm.ID, c.views[vm.ID].Tick(c.now))
			}
		}
	}
}

// allPairsMessages returns the number of messages about one failed member in a
// simpler design, the baseline: each of the other members verifies its suspicion
// with all members but itself, each time with a request and an answer.
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
			c := newCluster(count, 8)
			c.advance(2 * clock.Second)
			gomega.Expect(c.probes).To(gomega.BeZero())
			beats := c.heartbeats
			c.advance(5 * clock.Second)
			rate := float64(c.heartbeats-beats) / 5 / float64(count)
			c.dead[c.vms[3].ID] = true
			c.advance(5 * clock.Second)
			probes = append(probes, c.probes)
			ginkgo.GinkgoWriter.Printf("%d members: %d probes for one failure, all-pairs baseline %d, %.1f heartbeats per second and entry\n",
				count, c.probes, allPairsMessages(count), rate)
		}
		gomega.Expect(slices.Max(probes)).To(gomega.BeNumerically("<=", 40))
		gomega.Expect(allPairsMessages(100)).To(gomega.Equal(19_602))
	})

	ginkgo.It("assigns each stream of a dead entry to one other entry before the VM list changes", func() {
		c := newCluster(8, 32)
		c.advance(clock.Second)
		first := map[spool.Stream]spool.NodeID{}
		for stream, nodes := range c.followed {
			gomega.Expect(nodes).To(gomega.HaveLen(1))
			first[stream] = nodes[0]
		}
		gomega.Expect(len(first)).To(gomega.BeNumerically(">=", 20), "each entry claims at most a few streams at a time")
		victim := c.vms[2].ID
		c.dead[victim] = true
		c.followed = map[spool.Stream][]spool.NodeID{}
		c.advance(4 * clock.Second)
		moved := 0
		for stream, nodes := range c.followed {
			if first[stream] == victim {
				moved++
				gomega.Expect(nodes).To(gomega.HaveLen(1))
			}
		}
		gomega.Expect(moved).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("does not declare a member dead that two others can reach", func() {
		c := newCluster(6, 8)
		c.advance(clock.Second)
		a := c.vms[0].ID
		b := c.views[a].Targets()[0]
		c.cutLinks[[2]spool.NodeID{a, b}], c.cutLinks[[2]spool.NodeID{b, a}] = true, true
		c.advance(10 * clock.Second)
		gomega.Expect(c.views[a].Verdict(b)).NotTo(gomega.Equal(membership.Dead))
	})

	ginkgo.It("does not declare the others dead when it is cut off itself", func() {
		c := newCluster(12, 8)
		c.advance(clock.Second)
		a := c.vms[0].ID
		for _, vm := range c.vms {
			c.cutLinks[[2]spool.NodeID{a, vm.ID}], c.cutLinks[[2]spool.NodeID{vm.ID, a}] = true, true
		}
		c.advance(10 * clock.Second)
		gomega.Expect(c.allowed).To(gomega.BeEmpty())
		gomega.Expect(c.views[a].LiveMembers()).To(gomega.HaveLen(12))
	})

	ginkgo.It("doubles the hold-off after each loss, so that two entries do not keep taking a stream from each other", func() {
		c := newCluster(1, 1)
		self := c.vms[0].ID
		view := c.views[self]
		var waits []clock.Millis
		for range 4 {
			view.SetStage(0, membership.StageNone, "")
			view.StreamLost(c.now, 0)
			c.followed = map[spool.Stream][]spool.NodeID{}
			start := c.now
			for len(c.followed) == 0 {
				c.advance(100)
			}
			waits = append(waits, c.now-start-100)
		}
		gomega.Expect(waits).To(gomega.Equal([]clock.Millis{2000, 4000, 8000, 16000}))
	})

	ginkgo.It("grants handovers only to the entry that ranks first, and only one per interval", func() {
		c := newCluster(3, 16)
		owner := c.views[c.vms[0].ID]
		granted := 0
		for i := range 16 {
			winner, _ := owner.Winner(i)
			gomega.Expect(owner.GrantHandover(c.now, i, c.vms[0].ID)).To(gomega.BeFalse())
			if owner.GrantHandover(c.now, i, winner) {
				granted++
			}
		}
		gomega.Expect(granted).To(gomega.Equal(1))
	})

	ginkgo.It("chooses replicas in different failure domains, none of them the owner's", func() {
		c := newCluster(9, 1)
		for i := range 40 {
			replicas := membership.ChooseReplicas(spool.ProgramStream(i), c.vms[0], c.vms, 2)
			gomega.Expect(replicas).To(gomega.HaveLen(2))
			domains := map[spool.FailureDomain]bool{c.vms[0].FailureDomain: true}
			for _, vm := range c.vms {
				if slices.Contains(replicas, vm.ID) {
					domains[vm.FailureDomain] = true
				}
			}
			gomega.Expect(domains).To(gomega.HaveLen(3))
		}
	})
})

// TestRendezvousIsStable guards against streams that change their winner
// although that winner stays when another node leaves, and against a
// HighestRanked that differs from the first node of Rank.
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
			before, _ := membership.HighestRanked(key, nodes)
			after, _ := membership.HighestRanked(key, rest)
			if before != nodes[gone] && after != before {
				t.Fatalf("%s moved from %s to %s when %s left", key, before, after, nodes[gone])
			}
			if before != membership.Rank(key, nodes)[0] {
				t.Fatalf("%s: winner %s does not rank first", key, before)
			}
		}
	})
}

// BenchmarkRefresh measures the time in which one entry processes a change of
// the VM list, with as many streams as entries.
func BenchmarkRefresh(b *testing.B) {
	for _, count := range []int{20, 83, 330} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			c := newCluster(1, 1)
			var vms []spool.VM
			for i := range count {
				vm := c.vms[0]
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
