package capacity

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// membershipNetwork delivers messages between the members' views without delay and
// counts them. Requests and answers both count. Requests to the silent member count
// but have no answer.
type membershipNetwork struct {
	views  map[spool.NodeID]*membership.View
	silent spool.NodeID
	// heartbeats and probes count messages by purpose.
	heartbeats, probes int
}

func membershipConfig(self spool.VM) membership.Config {
	return membership.Config{Self: self, StreamCount: 1, Fanout: 4, HeartbeatEvery: 500, SuspectAfter: 1500}
}

// run executes the commands of one member.
func (n *membershipNetwork) run(now clock.Millis, from spool.NodeID, commands []membership.Command) {
	if from == n.silent {
		return
	}
	for _, command := range commands {
		switch command := command.(type) {
		case membership.Heartbeat:
			n.heartbeats++
			alive := command.To != n.silent
			if alive {
				n.heartbeats++
				n.views[command.To].RecordMessage(from, false)
			}
			n.run(now, from, n.views[from].HeartbeatDone(now, command.To, alive, false))
		case membership.Probe:
			// The request and the check by the other member; each answer adds one.
			n.probes += 2
			answered := command.Via != n.silent
			alive := answered && command.Target != n.silent
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
