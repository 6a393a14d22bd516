package deployment_test

import (
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// logRegion is the region of the platform's log. It is separate, so that only the
// connections to the log can be interrupted.
const logRegion spool.Region = "log"

// network simulates the network between regions. Processes of one region connect to
// each other directly, and to those of other regions through one relay per address.
type network struct {
	// regions holds the region of each failure domain, vmListNodes the stand-in that
	// serves the VM list of each region.
	regions     map[spool.FailureDomain]spool.Region
	vmListNodes map[spool.Region]string
	// relays holds the relays from one region to another by target address.
	relays map[[2]spool.Region]map[string]*relay
}

// newNetwork returns a network of one region.
func newNetwork() network {
	return network{
		regions:     map[spool.FailureDomain]spool.Region{},
		vmListNodes: map[spool.Region]string{"r": "vms"},
		relays:      map[[2]spool.Region]map[string]*relay{},
	}
}

func (n network) region(domain spool.FailureDomain) spool.Region {
	if region, ok := n.regions[domain]; ok {
		return region
	}
	return "r"
}

func (n network) vmListNode(region spool.Region) string { return n.vmListNodes[region] }

// addressFrom returns the address under which region from reaches a process of
// region to.
func (n network) addressFrom(from, to spool.Region, address string) string {
	if from == to || len(n.vmListNodes) == 1 {
		return address
	}
	link := [2]spool.Region{from, to}
	if n.relays[link] == nil {
		n.relays[link] = map[string]*relay{}
	}
	if n.relays[link][address] == nil {
		n.relays[link][address] = newRelay(address)
	}
	return n.relays[link][address].address()
}

// holdTraffic stops or resumes all bytes from one region to another, on connections
// opened from either side.
func (n network) holdTraffic(from, to spool.Region, on bool) {
	for _, relay := range n.relays[[2]spool.Region{from, to}] {
		relay.hold(toServer, on)
	}
	for _, relay := range n.relays[[2]spool.Region{to, from}] {
		relay.hold(toClient, on)
	}
}

// partition stops or resumes all bytes between two regions.
func (n network) partition(a, b spool.Region, on bool) {
	n.holdTraffic(a, b, on)
	n.holdTraffic(b, a, on)
}

// silenceConnections permanently stops all open connections between regions and to
// the log, without closing them.
func (n network) silenceConnections() {
	for _, relays := range n.relays {
		for _, relay := range relays {
			relay.silenceConnections()
		}
	}
}
