package process

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/roster"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// rosterConfig returns the configuration with which a process obtains the list of VMs.
// readers is the number of entries of each failure domain that read the list from the
// platform; with 0 every process does.
func rosterConfig(node string, role spool.Role, failureDomain string, readers int) roster.Config {
	return roster.Config{
		Node: spool.NodeID(node), Role: role, FailureDomain: spool.FailureDomain(failureDomain), ReadersPerDomain: readers,
	}
}

// initialStateTimeout returns how long an agent waits at its start for the list of VMs
// and then the control state, which it pulls from an entry in the list. After this time
// the agent starts with default settings. If readers is above 0, agents spread their
// first reads of the list over roster.DefaultAgentSpread, which is added to the wait.
func initialStateTimeout(readers int) clock.Millis {
	const timeout = 2 * clock.Second
	if readers > 0 {
		return timeout + roster.DefaultAgentSpread
	}
	return timeout
}
