package process

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/roster"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// rosterConfig returns the configuration with which a process obtains the list of
// VMs. readers is the number of entries of each failure domain that read the list
// from the platform.
func rosterConfig(node string, role spool.Role, failureDomain string, readers int) roster.Config {
	return roster.Config{
		Node: spool.NodeID(node), Role: role, FailureDomain: spool.FailureDomain(failureDomain), ReadersPerDomain: readers,
	}
}

// initialStateTimeout bounds the wait of an agent for the first control state,
// which it can only pull once it has a list of VMs. After the timeout the agent
// starts with default settings.
func initialStateTimeout(readers int) clock.Millis {
	const timeout = 2 * clock.Second
	if readers > 0 {
		return timeout + roster.DefaultAgentSpread
	}
	return timeout
}
