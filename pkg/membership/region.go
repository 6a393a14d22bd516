package membership

import (
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// hasFailed reports whether an entry has failed, so that others may take over
// its streams and its part of the accounts' rates. An entry of another region
// may be silent for another reason: the regions cannot reach each other, while
// the entry still serves and appends to the log. It counts as failed only if
// another entry of its region was heard at least SuspectAfter after it went
// silent. Otherwise its streams wait until the VM list drops it. Without this
// rule, regions that all reach the log would claim the streams from each other
// in turn, and none would serve them.
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

// watchOwnerRegion adds another member of a silent owner's region to the
// heartbeat targets. Its answers show that the region can be reached.
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
