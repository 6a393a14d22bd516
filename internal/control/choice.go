package control

import (
	"sort"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// degradedPollWait bounds the long poll at a peer for a node that was started with
// WithLog and pulls from peers because it cannot or should not read the log. The short
// wait lets the node ask several peers within the isolation limit, the setting
// control.isolationMs.
const degradedPollWait clock.Millis = 500

// ReadsLog reports whether the node should read the log itself. If Config.LogReaders is
// 0, the result is always true. Otherwise it is true for the LogReaders entries that
// rank first in their failure domain by membership.RankInDomain, and for a node whose
// state was never fully loaded or is older than staleAfter.
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
// is the case if the state was never fully loaded, if ReadsLog is false, or if the last
// read that reached the end of the log was sent more than PollWait plus
// degradedPollWait ago.
func (n *Node) NeedsPeers(now clock.Millis, vms []spool.VM) bool {
	return !n.freshness.loaded || now-n.freshness.logReadAt > n.config.PollWait+degradedPollWait || !n.ReadsLog(now, vms)
}

// staleAfter returns the age beyond which a state is stale. A stale state shows a
// fault of the log or of the peer that sent the state. Without a fault, the state of
// an entry that reads the log is at most two long polls old, and each node that
// relays the state adds one long poll.
func (n *Node) staleAfter() clock.Millis { return 3*n.config.PollWait + degradedPollWait }

// distantPeerAfter returns the age of the state beyond which every second pull
// prefers a peer in another region or failure domain. An entry uses a lower age than
// staleAfter, which leaves time for two or three attempts within the default of the
// setting control.isolationMs. Other nodes use staleAfter, because an isolated agent
// refuses no requests; it only sends no orders to its engine.
func (n *Node) distantPeerAfter() clock.Millis {
	if n.config.Role == spool.RoleEntry {
		return 2*n.config.PollWait + degradedPollWait
	}
	return n.staleAfter()
}

// peerEntries returns the VMs of vms that are entries with an address, without this
// node.
func (n *Node) peerEntries(vms []spool.VM) []spool.VM {
	entries := make([]spool.VM, 0, len(vms))
	for _, vm := range vms {
		if vm.Role == spool.RoleEntry && vm.ID != n.config.Node && vm.Address != "" {
			entries = append(entries, vm)
		}
	}
	return entries
}

// SelectPeer selects the entry to pull from. It returns false if vms holds no other
// entry, or if all of them are skipped after a failure or a stale reply. Live entries
// come first, then entries of the same failure domain, then entries of the same
// region. Among entries at the same distance, SelectPeer selects the one with the
// highest preference, so that the choice stays the same while that entry answers. If
// the state is older than distantPeerAfter, each attempt with an odd number prefers the
// most distant entry instead, because only a distant entry proves that the node is not
// cut off together with its failure domain or region.
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

// preference returns the preference for a peer among peers at the same distance; the
// peer with the highest value is asked first. With LogReaders set, entries prefer the
// entries that read the log, which have the highest scores in their failure domain.
// Otherwise the value depends on the ID of this node, which spreads the nodes over all
// peers.
func (n *Node) preference(peer spool.VM) uint64 {
	if n.config.LogReaders > 0 && n.config.Role == spool.RoleEntry {
		return membership.Score(peer.FailureDomain, peer.ID)
	}
	return membership.Score(n.config.Node, peer.ID)
}

// RecordFailure records that a pull from the peer failed. SelectPeer then skips the
// peer for 500 ms to 8 s, depending on the earlier failures (see
// membership.PeerPenalties).
func (n *Node) RecordFailure(now clock.Millis, peer spool.VM) {
	n.peerPenalties.Failed(now, peer.Address)
}

// RecordReply records that the peer answered with a state of the given age. If the
// age is negative (the peer's state was never fully loaded) or above staleAfter,
// SelectPeer skips the peer for 1 s (see membership.PeerPenalties). Otherwise
// RecordReply ends an earlier exclusion of the peer.
func (n *Node) RecordReply(now clock.Millis, peer spool.VM, stateAge clock.Millis) {
	if stateAge < 0 || stateAge > n.staleAfter() {
		n.peerPenalties.Stale(now, peer.Address)
		return
	}
	n.peerPenalties.Answered(peer.Address)
}

// Distances from this node to a peer, as returned by distance, in ascending order.
const (
	sameDomain = iota
	sameRegion
	otherRegion
)

// distance returns the distance of a peer: sameDomain, sameRegion or otherRegion.
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
// cut off together with its failure domain or region. This is the case if no entry in
// vms is more distant than the peer. An answer of a nearer peer proves nothing: the
// entries of a region that reach only each other can all miss the withdrawal of a key.
func (n *Node) ProvesContact(peer spool.VM, vms []spool.VM) bool {
	for _, other := range n.peerEntries(vms) {
		if n.distance(other) > n.distance(peer) {
			return false
		}
	}
	return true
}
