package membership_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Guards against entries that take over streams from a region that they cannot
// reach but that still serves, and against streams of a dead entry in another
// region that stay without an owner although that region can be reached.
var _ = ginkgo.DescribeTable("View of an owner in another region", func(silent []spool.NodeID, replaced bool) {
	vm := func(id spool.NodeID, region spool.Region) spool.VM {
		return spool.VM{ID: id, Role: spool.RoleEntry, State: spool.VMLive, FailureDomain: spool.FailureDomain(id), Region: region}
	}
	// Find an ID for this entry that ranks first for the stream among all entries
	// but the owner s1.
	self := spool.NodeID("n")
	for winner := spool.NodeID(""); winner != self; winner, _ = membership.HighestRanked(string(spool.ProgramStream(0)), []spool.NodeID{self, "n1", "n2", "s2", "s3"}) {
		self += "n"
	}
	vms := []spool.VM{vm(self, "north"), vm("n1", "north"), vm("n2", "north"), vm("s1", "south"), vm("s2", "south"), vm("s3", "south")}
	view := membership.New(membership.Config{Self: vms[0], StreamCount: 1, Fanout: 1})
	commands := view.UpdateVMs(0, vms)
	down := map[spool.NodeID]bool{}
	for _, node := range silent {
		down[node] = true
	}
	allowed := false
	for now := clock.Millis(100); now < 10*clock.Second; now += 100 {
		view.SetStage(0, membership.StageReady, "s1")
		commands = append(commands, view.Tick(now)...)
		for len(commands) > 0 {
			command := commands[0]
			commands = commands[1:]
			switch command := command.(type) {
			case membership.Heartbeat:
				commands = append(commands, view.HeartbeatDone(now, command.To, !down[command.To], false)...)
			case membership.Probe:
				commands = append(commands, view.ProbeDone(now, command.Via, command.Target, !down[command.Via], false)...)
			case membership.AllowTakeover:
				allowed = true
			}
		}
	}
	gomega.Expect(allowed).To(gomega.Equal(replaced))
	gomega.Expect(len(view.LiveMembers()) == len(vms)).To(gomega.Equal(!replaced))
},
	ginkgo.Entry("keeps an owner whose whole region is silent", []spool.NodeID{"s1", "s2", "s3"}, false),
	ginkgo.Entry("replaces a silent owner while its region answers", []spool.NodeID{"s1"}, true),
)
