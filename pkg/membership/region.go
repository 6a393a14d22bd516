package membership

import (
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// gone reports whether an entry has failed, so that others may take its streams
// and its part of the accounts' rates. The silence of an entry in another region
// also has another cause: the regions cannot reach each other, and the entry
// still serves and appends to the log. It counts as gone only when another entry
// of its region was heard after it had been silent for DeadAfter. Otherwise its
// streams wait until the VM list drops it; without that, regions that all reach
// the log would take the streams from each other in turn and serve none of them.
func (v *View) hasFailed(node spool.NodeID) bool {
	if v.Verdict(node) != Dead {
		return false
	}
	m := v.members[node]
	if m == nil || m.vm.State != spool.VMLive || m.vm.Region == v.config.Self.Region {
		return true
	}
	for id, other := range v.members {
		if id != node && other.vm.Region == m.vm.Region && other.heardAt >= m.silentSince+v.config.DeadAfter {
			return true
		}
	}
	return false
}

// watchRegion adds a member of a silent owner's region to the targets. Its
// answers show that the region can be reached.
func (v *View) watchOwnerRegion(owner spool.NodeID, targets map[spool.NodeID]bool) {
	m := v.members[owner]
	if m.verdict == Alive || m.vm.Region == v.config.Self.Region {
		return
	}
	var others []spool.NodeID
	for node, other := range v.members {
		if node != owner && other.vm.Region == m.vm.Region && v.isCandidate(other) {
			others = append(others, node)
		}
	}
	if len(others) > 0 {
		targets[Rank("witness/"+string(v.config.Self.ID), others)[0]] = true
	}
}
