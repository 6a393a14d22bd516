package deployment_test

import (
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// logRegion is where the platform's log is. Paths to it can be cut on their own.
const logRegion spool.Region = "log"

// network is what lies between regions. Processes of one region reach each other
// directly, and those of another region through one relay per address.
type network struct {
	// regions holds the region of each failure domain, lists the node that shows
	// the list of VMs in each region.
	regions     map[spool.FailureDomain]spool.Region
	vmListNodes map[spool.Region]string
	// relays holds the relays from one region to another by target.
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

// path returns the address under which a region reaches a process of another.
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

// lose makes everything that one region sends to another wait, on connections
// in both directions, until it is called with false.
func (n network) holdTraffic(from, to spool.Region, on bool) {
	for _, relay := range n.relays[[2]spool.Region{from, to}] {
		relay.hold(toServer, on)
	}
	for _, relay := range n.relays[[2]spool.Region{to, from}] {
		relay.hold(toClient, on)
	}
}

// cut stops or restores everything between two regions.
func (n network) partition(a, b spool.Region, on bool) {
	n.holdTraffic(a, b, on)
	n.holdTraffic(b, a, on)
}

// silence makes every connection that is open between regions, and to the log,
// pass nothing any more.
func (n network) silenceConnections() {
	for _, relays := range n.relays {
		for _, relay := range relays {
			relay.silenceConnections()
		}
	}
}
