package membership

import (
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// hasFailed reports whether an entry has failed, so that other entries may take
// over its streams and its part of the accounts' rates. An entry with the
// verdict Dead has failed if it is in this entry's region, is leaving according
// to the VM list, or is not on the list.
//
// An entry of another region may be silent because the regions cannot reach
// each other, while it still serves and appends to the log. It has failed only
// if another entry of its region sent a message at least SuspectAfter after the
// silence began. Otherwise no entry takes over its streams until the VM list no
// longer shows it as live. Without this rule, regions that all reach the log
// would claim the streams from each other in turn, and none would serve them.
func (v *View) hasFailed(node spool.NodeID) bool {
	if v.Verdict(node) != Dead {
		return false
	}
	m := v.members[node]
	if m == nil || m.vm.State != spool.VMLive || m.vm.Region == v.config.Self.Region {
		return true
	}
	for id, other := range v.members {
		if id != node && other.vm.Region == m.vm.Region && other.heardAt >= m.silentSince+v.config.SuspectAfter {
			return true
		}
	}
	return false
}

// watchOwnerRegion adds a heartbeat target in the region of a suspected or dead
// owner, if that is another region than this entry's. The answers of the target
// show that the region can be reached, and so that the owner has failed.
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
