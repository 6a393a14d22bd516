package capacity

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// membershipNetwork delivers messages between the membership views of the members
// without delay. It counts requests and answers, each as one message. The member silent,
// if not empty, sends nothing; requests to it are counted but not answered.
type membershipNetwork struct {
	views  map[spool.NodeID]*membership.View
	silent spool.NodeID
	// heartbeats counts the heartbeats and their answers, probes the messages of probes.
	heartbeats, probes int
}

// membershipConfig returns the configuration of a member. Times are in milliseconds.
func membershipConfig(self spool.VM) membership.Config {
	return membership.Config{Self: self, StreamCount: 1, Fanout: 4, HeartbeatEvery: 500, SuspectAfter: 1500}
}

// run executes the commands of the member from, and the commands that follow from their
// results.
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
			// A probe is a request to the member Via, which then checks the member Target.
			// The 2 is for these two requests; each answer adds 1.
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
