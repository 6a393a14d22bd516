package membership

import (
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// subsetsPerEndpoint is the average number of subsets that contain a given
// endpoint, unless minSize in Subset makes the subsets larger. With 4, the
// probability that no subset contains a given endpoint is below 2 %; larger
// subsets lower it.
const subsetsPerEndpoint = 4

// Subset returns the endpoints that the entry node watches and routes to. It
// chooses them by rendezvous hashing. Their number is subsetsPerEndpoint *
// endpoints / entries, but at least minSize, or all endpoints if there are
// fewer. The work of an entry therefore does not grow with the number of
// endpoints if the number of entries grows with it. entries is the number of
// live entries.
func Subset(node spool.NodeID, entries int, endpoints []spool.NodeID, minSize int) []spool.NodeID {
	size := max(minSize, subsetsPerEndpoint*len(endpoints)/max(entries, 1))
	if size >= len(endpoints) {
		return endpoints
	}
	return Rank(string(node), endpoints)[:size]
}
