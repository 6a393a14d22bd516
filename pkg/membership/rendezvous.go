// Package membership is one entry's view of the others: who lives, who owns
// which stream, which stream to claim and when to hand one over. It is a
// deterministic state machine.
package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// score is the rendezvous weight of a node for a key, from the hashes of both.
// The finalizer of splitmix64 mixes them, which costs 2 ns where hashing both
// strings for each pair cost 30 ns.
func score(key, node uint64) uint64 {
	x := key + node*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func hash[S ~string](s S) uint64 { return xxhash.Sum64String(string(s)) }

// Score is the rendezvous weight of a node for a key; the node with the highest
// one is chosen first.
func Score[K, N ~string](key K, node N) uint64 { return score(hash(key), hash(node)) }

// RankIn returns how many other live entries of a failure domain come before
// node when some of them are chosen for a duty, such as reading the log. vms may
// lack the node itself.
func RankIn(domain spool.FailureDomain, node spool.NodeID, vms []spool.VM) (rank int) {
	own := Score(domain, node)
	for _, vm := range vms {
		if vm.Role != spool.RoleEntry || vm.State != spool.VMLive || vm.FailureDomain != domain || vm.ID == node {
			continue
		}
		if other := Score(domain, vm.ID); other > own || (other == own && vm.ID < node) {
			rank++
		}
	}
	return rank
}

// Rank orders nodes by rendezvous hashing for key, best first. A node that comes
// or goes does not change the order of the others.
func Rank(key string, nodes []spool.NodeID) []spool.NodeID {
	type ranked struct {
		node  spool.NodeID
		score uint64
	}
	list := make([]ranked, len(nodes))
	for i, node := range nodes {
		list[i] = ranked{node, score(hash(key), hash(node))}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
	})
	result := make([]spool.NodeID, len(list))
	for i, entry := range list {
		result[i] = entry.node
	}
	return result
}

// Winner returns the best node for key, or false when there is none.
func Winner(key string, nodes []spool.NodeID) (winner spool.NodeID, ok bool) {
	best := uint64(0)
	for _, node := range nodes {
		if s := score(hash(key), hash(node)); !ok || s > best || (s == best && node < winner) {
			winner, best, ok = node, s, true
		}
	}
	return winner, ok
}

// Holders chooses up to count nodes that keep copies of a stream's units for
// owner. They are in failure domains other than the owner's, and in different
// ones as far as possible; nodes of the owner's region come first.
func Holders(stream spool.Stream, owner spool.VM, members []spool.VM, count int) []spool.NodeID {
	byID := map[spool.NodeID]spool.VM{}
	ids := make([]spool.NodeID, 0, len(members))
	for _, vm := range members {
		if vm.ID != owner.ID && vm.FailureDomain != owner.FailureDomain {
			byID[vm.ID] = vm
			ids = append(ids, vm.ID)
		}
	}
	ranked := Rank(string(stream), ids)
	slices.SortStableFunc(ranked, func(a, b spool.NodeID) int {
		return cmp.Compare(regionDistance(owner, byID[a]), regionDistance(owner, byID[b]))
	})
	chosen := make([]spool.NodeID, 0, count)
	used := map[spool.FailureDomain]bool{}
	for _, distinct := range []bool{true, false} {
		for _, node := range ranked {
			domain := byID[node].FailureDomain
			if len(chosen) < count && !slices.Contains(chosen, node) && (!distinct || !used[domain]) {
				chosen = append(chosen, node)
				used[domain] = true
			}
		}
	}
	return chosen
}

func regionDistance(a, b spool.VM) int {
	if a.Region == b.Region {
		return 0
	}
	return 1
}
