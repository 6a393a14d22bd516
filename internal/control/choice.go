package control

import (
	"sort"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// degradedPollWait bounds the long poll at a peer for a node that has a log of its
// own and cannot read it. The short wait lets the node ask several peers within
// the isolation limit.
const degradedPollWait clock.Millis = 500

// ReadsLog reports whether the node should read the log itself. If
// Config.LogReaders is set, only the first LogReaders entries of a failure domain
// and entries with a stale state do.
func (n *Node) ReadsLog(now clock.Millis, vms []spool.VM) bool {
	if n.config.LogReaders == 0 {
		return true
	}
	if age := n.freshness.age(now); age < 0 || age > n.staleAfter() {
		return true
	}
	return membership.RankInDomain(n.config.FailureDomain, n.config.Node, vms) < n.config.LogReaders
}

// NeedsPeers reports whether a node that has a log must also pull from peers. This
// is the case if the node has no state yet, is not one of the log readers, or has
// not received an answer from the log in time.
func (n *Node) NeedsPeers(now clock.Millis, vms []spool.VM) bool {
	return !n.freshness.loaded || now-n.freshness.logReadAt > n.config.PollWait+degradedPollWait || !n.ReadsLog(now, vms)
}

// staleAfter returns the age beyond which a state is stale, which shows a fault of
// the log or of the peer that the state comes from. Without a fault, the state of
// an entry that reads the log is at most two long polls old, and each node that
// relays it adds one long poll.
func (n *Node) staleAfter() clock.Millis { return 3*n.config.PollWait + degradedPollWait }

// distantPeerAfter returns the age of the state beyond which the node also asks
// peers in other failure domains and regions. For an entry, this leaves time for
// two or three attempts within the default isolation limit. Agents are never
// isolated and use staleAfter.
func (n *Node) distantPeerAfter() clock.Millis {
	if n.config.Role == spool.RoleEntry {
		return 2*n.config.PollWait + degradedPollWait
	}
	return n.staleAfter()
}

// peerEntries returns the other entries that have an address.
func (n *Node) peerEntries(vms []spool.VM) []spool.VM {
	entries := make([]spool.VM, 0, len(vms))
	for _, vm := range vms {
		if vm.Role == spool.RoleEntry && vm.ID != n.config.Node && vm.Address != "" {
			entries = append(entries, vm)
		}
	}
	return entries
}

// Choose selects the entry to pull from and returns false if there is none. Live
// entries come first. Among them Choose prefers those of the node's own failure
// domain, and always the same one while that one answers. If the state is older
// than distantPeerAfter, every second attempt prefers the most distant entry,
// because only a distant entry proves that the node is not cut off together with its
// failure domain or region.
func (n *Node) SelectPeer(now clock.Millis, vms []spool.VM, attempt int) (spool.VM, bool) {
	preferDistant := attempt%2 == 1 && n.freshness.age(now) > n.distantPeerAfter()
	entries := n.peerEntries(vms)
	candidates := entries[:0]
	for _, peer := range entries {
		if !n.peerPenalties.Excludes(now, peer.Address) {
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

// preference returns the rank of a peer among peers at the same distance; the
// highest is asked first. With LogReaders set, entries prefer the log readers, which
// have the highest scores for the failure domain. Otherwise the rank depends on the
// asking node, which spreads the nodes over all peers.
func (n *Node) preference(peer spool.VM) uint64 {
	if n.config.LogReaders > 0 && n.config.Role == spool.RoleEntry {
		return membership.Score(peer.FailureDomain, peer.ID)
	}
	return membership.Score(n.config.Node, peer.ID)
}

// Failed records that a pull from the peer failed. Choose skips the peer for a
// while.
func (n *Node) RecordFailure(now clock.Millis, peer spool.VM) {
	n.peerPenalties.Failed(now, peer.Address)
}

// Answered records that the peer answered with a state of the given age. If the
// state is stale or was never loaded (negative age), Choose skips the peer for a
// while.
func (n *Node) RecordReply(now clock.Millis, peer spool.VM, stateAge clock.Millis) {
	if stateAge < 0 || stateAge > n.staleAfter() {
		n.peerPenalties.Stale(now, peer.Address)
		return
	}
	n.peerPenalties.Answered(peer.Address)
}

// Distances between two nodes, in ascending order.
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

// ProvesContact reports whether an answer of the peer proves that the node is not
// cut off together with its failure domain or region, which is the case if no
// other entry is more distant than the peer. Answers of nearer peers prove nothing:
// entries of a region that reach only each other can miss a withdrawn key.
func (n *Node) ProvesContact(peer spool.VM, vms []spool.VM) bool {
	for _, other := range n.peerEntries(vms) {
		if n.distance(other) > n.distance(peer) {
			return false
		}
	}
	return true
}
