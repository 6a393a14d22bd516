package control

import (
	"sort"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// degradedWait bounds the long poll at a peer while the log cannot be read, so
// that several peers are asked within the isolation limit.
const degradedPollWait clock.Millis = 500

// ReadsLog reports whether the node reads the log itself. With LogReaders set,
// only the chosen entries of a failure domain do, and any entry whose state has
// grown old.
func (n *Node) ReadsLog(now clock.Millis, vms []spool.VM) bool {
	if n.config.LogReaders == 0 {
		return true
	}
	if age := n.freshness.age(now); age < 0 || age > n.staleAfter() {
		return true
	}
	return membership.RankIn(n.config.FailureDomain, n.config.Node, vms) < n.config.LogReaders
}

// NeedsPeers reports whether a node that can read the log has to ask peers: when
// it is not among the readers, or when the log has not answered in time.
func (n *Node) NeedsPeers(now clock.Millis, vms []spool.VM) bool {
	return !n.freshness.loaded || now-n.freshness.logReadAt > n.config.Wait+degradedPollWait || !n.ReadsLog(now, vms)
}

// staleAfter is the age of the state beyond which something is wrong upstream.
// The state of an entry that reads the log is up to two long polls old just
// before the next answer, and each further level adds one.
func (n *Node) staleAfter() clock.Millis { return 3*n.config.Wait + degradedPollWait }

// abroadAfter is the age of the state beyond which the node also asks other
// failure domains. For an entry it leaves time for two or three attempts within
// the default isolation limit; agents are never isolated.
func (n *Node) distantPeerAfter() clock.Millis {
	if n.config.Role == spool.RoleEntry {
		return 2*n.config.Wait + degradedPollWait
	}
	return n.staleAfter()
}

// entries lists the other entries.
func (n *Node) peerEntries(vms []spool.VM) []spool.VM {
	entries := make([]spool.VM, 0, len(vms))
	for _, vm := range vms {
		if vm.Role == spool.RoleEntry && vm.ID != n.config.Node && vm.Address != "" {
			entries = append(entries, vm)
		}
	}
	return entries
}

// Choose picks the entry to ask: of the own failure domain first, and within it
// always the same one while it answers. A node whose state is old alternates
// between near and far entries with each attempt, since only a far one proves
// that the node is not cut off together with its failure domain or region.
func (n *Node) Choose(now clock.Millis, vms []spool.VM, attempt int) (spool.VM, bool) {
	preferDistant := attempt%2 == 1 && n.freshness.age(now) > n.distantPeerAfter()
	entries := n.peerEntries(vms)
	candidates := entries[:0]
	for _, peer := range entries {
		if !n.peerPenalties.Avoids(now, peer.Address) {
			candidates = append(candidates, peer)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if (a.State == spool.VMLive) != (b.State == spool.VMLive) {
			return a.State == spool.VMLive
		}
		if distanceA, distanceB := n.distance(a), n.distance(b); distanceA != distanceB {
			return (distanceA < distanceB) != preferDistant
		}
		return n.preference(a) > n.preference(b)
	})
	if len(candidates) == 0 {
		return spool.VM{}, false
	}
	return candidates[0], true
}

// preference ranks parents. Entries prefer the entries that read the log, which
// have the highest score for the failure domain; agents spread over all.
func (n *Node) preference(peer spool.VM) uint64 {
	if n.config.LogReaders > 0 && n.config.Role == spool.RoleEntry {
		return membership.Score(peer.FailureDomain, peer.ID)
	}
	return membership.Score(n.config.Node, peer.ID)
}

// Failed records that a peer did not answer.
func (n *Node) Failed(now clock.Millis, peer spool.VM) { n.peerPenalties.Failed(now, peer.Address) }

// Answered records that a peer answered with a state of the given age, and
// avoids it for a while when the state is old or was never complete.
func (n *Node) Answered(now clock.Millis, peer spool.VM, stateAge clock.Millis) {
	if stateAge < 0 || stateAge > n.staleAfter() {
		n.peerPenalties.Stale(now, peer.Address)
		return
	}
	n.peerPenalties.Answered(peer.Address)
}

// Distances between nodes.
const (
	sameDomain = iota
	sameRegion
	otherRegion
)

func (n *Node) distance(peer spool.VM) int {
	switch {
	case peer.Region != n.config.Region:
		return otherRegion
	case peer.FailureDomain != n.config.FailureDomain:
		return sameRegion
	default:
		return sameDomain
	}
}

// ProvesContact reports whether an answer of peer shows that the node is not cut
// off together with its region or failure domain: no other entry is further
// away. Entries of a region that reach only each other may miss a withdrawn key.
func (n *Node) ProvesContact(peer spool.VM, vms []spool.VM) bool {
	for _, other := range n.peerEntries(vms) {
		if n.distance(other) > n.distance(peer) {
			return false
		}
	}
	return true
}
