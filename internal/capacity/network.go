package capacity

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// membershipNetwork passes the messages between the views of members at once,
// and counts them. An answer counts as a message, a request to the dead member
// has none.
type membershipNetwork struct {
	views map[spool.NodeID]*membership.View
	dead  spool.NodeID
	// heartbeats and probes count messages by purpose.
	heartbeats, probes int
}

func membershipConfig(self spool.VM) membership.Config {
	return membership.Config{Self: self, StreamCount: 1, Fanout: 4, HeartbeatEvery: 500, SuspectAfter: 1500}
}

// run carries out the commands of one member.
func (n *membershipNetwork) run(now clock.Millis, from spool.NodeID, commands []membership.Command) {
	if from == n.dead {
		return
	}
	for _, command := range commands {
		switch command := command.(type) {
		case membership.Heartbeat:
			n.heartbeats++
			alive := command.To != n.dead
			if alive {
				n.heartbeats++
				n.views[command.To].RecordMessage(from, false)
			}
			n.run(now, from, n.views[from].HeartbeatDone(now, command.To, alive, false))
		case membership.Probe:
			// The request, the check by the other member, and the two answers.
			n.probes += 2
			answered := command.Via != n.dead
			alive := answered && command.Target != n.dead
			if answered {
				n.probes++
			}
			if alive {
				n.probes++
			}
			n.run(now, from, n.views[from].ProbeDone(now, command.Via, command.Target, answered, alive))
		}
	}
}
