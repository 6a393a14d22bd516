package membership

import (
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// subsetsPerEndpoint is the average number of entries that have an endpoint in
// their subset. With 4, the probability that no subset contains an endpoint is
// below 2 % if subsets have their smallest share; the minimum size in Subset
// lowers it further.
const subsetsPerEndpoint = 4

// Subset returns the endpoints that node watches and routes to. These are all
// endpoints if there are few, otherwise a part chosen by rendezvous hashing, so
// that the work of a node does not grow with the number of endpoints. entries
// is the number of live entries; minSize is the minimum size of a part.
func Subset(node spool.NodeID, entries int, endpoints []spool.NodeID, minSize int) []spool.NodeID {
	size := max(minSize, subsetsPerEndpoint*len(endpoints)/max(entries, 1))
	if size >= len(endpoints) {
		return endpoints
	}
	return Rank(string(node), endpoints)[:size]
}
