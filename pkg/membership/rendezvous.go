// Package membership implements what one entry knows about the others and
// decides from it: which of them are alive, which entry owns each stream, which
// streams to claim and when to hand one over. Its types are deterministic and
// do no I/O: View returns the requested side effects as commands.
package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// score returns the rendezvous score of a node for a key, given the hashes of
// key and node. It mixes them with the finalizer of splitmix64, which takes 2
// ns; hashing both strings for each pair took 30 ns.
func score(key, node uint64) uint64 {
	x := key + node*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func hash[S ~string](s S) uint64 { return xxhash.Sum64String(string(s)) }

// Score returns the rendezvous score of a node for a key. The node with the
// highest score ranks first.
func Score[K, N ~string](key K, node N) uint64 { return score(hash(key), hash(node)) }

// RankInDomain returns the number of other live entries in vms of a failure
// domain that rank above node; 0 means that node ranks first. It serves to
// choose some entries of the domain for a task, such as reading the log. vms
// need not contain node.
func RankInDomain(domain spool.FailureDomain, node spool.NodeID, vms []spool.VM) (rank int) {
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

// Rank returns a copy of nodes sorted by rendezvous score for key, highest
// first. Adding or removing a node does not change the order of the others.
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

// HighestRanked returns the node with the highest score for key; ok is false if
// there are no nodes.
func HighestRanked(key string, nodes []spool.NodeID) (winner spool.NodeID, ok bool) {
	best := uint64(0)
	for _, node := range nodes {
		if s := score(hash(key), hash(node)); !ok || s > best || (s == best && node < winner) {
			winner, best, ok = node, s, true
		}
	}
	return winner, ok
}

// ChooseReplicas chooses up to count members as replicas of a stream of owner.
// None is in the owner's failure domain. Members in different failure domains
// are preferred to a second one in the same domain, and then members in the
// owner's region to others.
func ChooseReplicas(stream spool.Stream, owner spool.VM, members []spool.VM, count int) []spool.NodeID {
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

// regionDistance is 0 for VMs of the same region and 1 otherwise.
func regionDistance(a, b spool.VM) int {
	if a.Region == b.Region {
		return 0
	}
	return 1
}
