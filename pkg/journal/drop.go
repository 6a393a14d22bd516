package journal

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// drops takes holders that were replaced off the stream. Until then the next
// owner waits for each of them: one that has died is gone only when the VM list
// says so, and the previous owner then has to be gone by the list as well.
type replicaRemovals struct {
	// dismissed holds the former holders and the sequence that must be on the
	// stream before their copies are not needed.
	formerReplicas map[spool.NodeID]uint64
	// sent holds what records of this epoch have dropped.
	appended map[spool.NodeID]appendedRemoval
}

// sentDrop is a holder that batches of this owner drop.
type appendedRemoval struct {
	incarnation string
	batches     int
}

func newReplicaRemovals() replicaRemovals {
	return replicaRemovals{formerReplicas: map[spool.NodeID]uint64{}, appended: map[spool.NodeID]appendedRemoval{}}
}

// mayName reports whether a node may be named as a holder again. A batch whose
// answer was lost may take effect much later and would drop the holder anew,
// unless its process has restarted since; a single batch that was read back
// cannot.
func (j *Journal) canNameReplica(node spool.NodeID, incarnation string) bool {
	removal, ok := j.removals.appended[node]
	if !ok || removal.incarnation != incarnation {
		return true
	}
	return removal.batches == 1 && !j.fold.namesReplica(node)
}

// dropDue returns the former holders that the next batch may drop. Everything
// that only they may hold is on the stream by then, and no promise that they gave
// still counts.
func (j *Journal) removableReplicas(now clock.Millis) (removed Claim) {
	if j.phase != PhaseServing || now < j.leaseUntil || j.fold.state.Recovered != j.epoch {
		return removed
	}
	for _, node := range sortedKeys(j.removals.formerReplicas) {
		incarnation := j.fold.state.Incarnations[node]
		if j.committedSequence < j.removals.formerReplicas[node] || j.replicas[node] != nil || incarnation == incarnationChanged {
			continue
		}
		if !j.fold.namesReplica(node) {
			delete(j.removals.formerReplicas, node)
			continue
		}
		removed.Holders = append(removed.Holders, node)
		if incarnation != "" {
			if removed.Incarnations == nil {
				removed.Incarnations = map[spool.NodeID]string{}
			}
			removed.Incarnations[node] = incarnation
		}
		removal := j.removals.appended[node]
		if removal.incarnation != incarnation {
			removal = appendedRemoval{incarnation: incarnation}
		}
		removal.batches++
		j.removals.appended[node] = removal
	}
	return removed
}
