// Package candidates orders the gateways of a deployment for a role that one of them
// holds for all, such as the ownership of the token pools or the home of a partition.
// The work of such a role grows with the deployment, so it goes to the VMs that can bear
// it: a VM of a fraction of the others' size, or one whose process runs late, is a
// candidate only when there is no other.
//
// All gateways compute the same order from the same members. Gateways that see different
// members may choose differently, so a role needs a claim or must be harmless when two
// gateways hold it.
package candidates

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// minSizeFraction is the fraction of the largest VM that a VM must have, in processor and
// in link, to be able to hold a role.
const minSizeFraction = 0.5

// Candidate is a gateway that may hold a role.
type Candidate struct {
	// Node is unique among the candidates of a deployment.
	Node spool.NodeID
	// Size is that of the gateway's VM. It is zero for a gateway that does not publish it.
	Size spool.VMSize
	// Late reports that the process of the gateway has lately run late.
	Late bool
}

// Able returns the candidates that can bear a role: those that are not late and whose VM
// has at least minSizeFraction of the processor and of the link of the largest one. If
// there is none, it returns all that are not late, and if all are late, all. The order of
// list is kept.
func Able(list []Candidate) []Candidate {
	punctual := filter(list, func(c Candidate) bool { return !c.Late })
	if len(punctual) == 0 {
		return list
	}
	var largest spool.VMSize
	for _, c := range punctual {
		largest.Cores, largest.LinkMbps = max(largest.Cores, c.Size.Cores), max(largest.LinkMbps, c.Size.LinkMbps)
	}
	able := filter(punctual, func(c Candidate) bool {
		return c.Size.Cores >= minSizeFraction*largest.Cores && c.Size.LinkMbps >= minSizeFraction*largest.LinkMbps
	})
	if len(able) == 0 {
		return punctual
	}
	return able
}

// IsAble reports whether node is one of Able(list).
func IsAble(list []Candidate, node spool.NodeID) bool {
	return slices.ContainsFunc(Able(list), func(c Candidate) bool { return c.Node == node })
}

// Rank returns the candidates in the order in which they should hold a role: those of Able
// first, and then by Compare, so that different roles go to different gateways.
func Rank(role string, list []Candidate) []Candidate {
	able := map[spool.NodeID]bool{}
	for _, c := range Able(list) {
		able[c.Node] = true
	}
	ranked := slices.Clone(list)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		if able[a.Node] != able[b.Node] {
			if able[a.Node] {
				return -1
			}
			return 1
		}
		return Compare(role, a.Node, b.Node)
	})
	return ranked
}

// Compare returns a negative number if a precedes b for a role, and a positive one if b
// precedes a. All gateways compute the same order, and one that joins or leaves changes
// the order of no others.
func Compare(role string, a, b spool.NodeID) int { return cmp.Compare(score(role, b), score(role, a)) }

func score(role string, node spool.NodeID) uint64 {
	return xxhash.Sum64String(role + "\x00" + string(node))
}

func filter(list []Candidate, keep func(Candidate) bool) (kept []Candidate) {
	for _, c := range list {
		if keep(c) {
			kept = append(kept, c)
		}
	}
	return kept
}
