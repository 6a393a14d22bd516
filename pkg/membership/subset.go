package membership

import (
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// coverage is how many entries, on average, have an endpoint in their subset.
// With 4 an endpoint is left out by all of them with a probability below 2 %
// when the subset is at its smallest share; Subset's least size makes it rarer.
const subsetsPerEndpoint = 4

// Subset returns the endpoints that node watches and routes to: all of them when
// they are few, else a part chosen by rendezvous hashing, so that the work of a
// node does not grow with the number of endpoints. entries is the number of live
// entries; least is the smallest size of a part.
func Subset(node spool.NodeID, entries int, endpoints []spool.NodeID, minSize int) []spool.NodeID {
	size := max(minSize, subsetsPerEndpoint*len(endpoints)/max(entries, 1))
	if size >= len(endpoints) {
		return endpoints
	}
	return Rank(string(node), endpoints)[:size]
}
