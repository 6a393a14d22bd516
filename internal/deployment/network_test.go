package deployment_test

import (
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// logRegion is the region of the platform's log. It contains nothing else, so that a test
// can interrupt the connections to the log without any others.
const logRegion spool.Region = "log"

// network simulates the network between regions. Processes of the same region connect to
// each other directly. Processes of another region are reached through relays, one for
// each pair of region and target address.
type network struct {
	// regions holds the region of each failure domain, "r" if absent. vmListNodes holds,
	// by region, the node name of the stand-in that serves the VM list there.
	regions     map[spool.FailureDomain]spool.Region
	vmListNodes map[spool.Region]string
	// relays holds the relays by the regions of client and server, in this order, and then
	// by target address.
	relays map[[2]spool.Region]map[string]*relay
}

// newNetwork returns a network of the single region "r".
func newNetwork() network {
	return network{
		regions:     map[spool.FailureDomain]spool.Region{},
		vmListNodes: map[spool.Region]string{"r": "vms"},
		relays:      map[[2]spool.Region]map[string]*relay{},
	}
}

// region returns the region of a failure domain.
func (n network) region(domain spool.FailureDomain) spool.Region {
	if region, ok := n.regions[domain]; ok {
		return region
	}
	return "r"
}

func (n network) vmListNode(region spool.Region) string { return n.vmListNodes[region] }

// addressFrom returns the address at which processes of region from reach the process of
// region to that listens on address. It starts a relay if necessary.
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

// holdTraffic holds back all bytes that flow from one region to another, on connections
// opened from either side. If on is false, it lets them pass again.
func (n network) holdTraffic(from, to spool.Region, on bool) {
	for _, relay := range n.relays[[2]spool.Region{from, to}] {
		relay.hold(toServer, on)
	}
	for _, relay := range n.relays[[2]spool.Region{to, from}] {
		relay.hold(toClient, on)
	}
}

// partition holds back all bytes between two regions. If on is false, it lets them pass
// again.
func (n network) partition(a, b spool.Region, on bool) {
	n.holdTraffic(a, b, on)
	n.holdTraffic(b, a, on)
}

// silenceConnections makes all open connections through relays, which are those between
// regions and to the log, pass no bytes any more, without closing them.
func (n network) silenceConnections() {
	for _, relays := range n.relays {
		for _, relay := range relays {
			relay.silenceConnections()
		}
	}
}
