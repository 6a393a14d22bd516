package process

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/roster"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// rosterConfig describes a process to the relay of the VM list.
func rosterConfig(node string, role spool.Role, failureDomain string, readers int) roster.Config {
	return roster.Config{
		Node: spool.NodeID(node), Role: role, FailureDomain: spool.FailureDomain(failureDomain), Readers: readers,
	}
}

// settleFor bounds the wait of an agent for the first control state, which needs
// a VM list. An agent that no entry answers starts with the defaults.
func initialStateTimeout(readers int) clock.Millis {
	const timeout = 2 * clock.Second
	if readers > 0 {
		return timeout + roster.DefaultAgentSpread
	}
	return timeout
}
