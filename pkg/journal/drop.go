package journal

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// replicaRemovals tracks the removal of replaced replicas from the stream. As
// long as the stream names a replica, the next owner waits for its answer. A
// dead replica counts as gone only once the VM list omits it, and the previous
// owner must then be missing from the list as well.
type replicaRemovals struct {
	// formerReplicas maps each replaced replica to the sequence that must be on
	// the stream before its copies are no longer needed.
	formerReplicas map[spool.NodeID]uint64
	// sentRemovals maps each replica to the batches of this epoch that remove it
	// and may be on the stream.
	sentRemovals map[spool.NodeID]sentRemoval
}

// sentRemoval counts the batches of this owner that remove one incarnation
// of a replica.
type sentRemoval struct {
	incarnation string
	batches     int
}

func newReplicaRemovals() replicaRemovals {
	return replicaRemovals{formerReplicas: map[spool.NodeID]uint64{}, sentRemovals: map[spool.NodeID]sentRemoval{}}
}

// canNameReplica reports whether a node may be named as a replica again. A
// removal batch whose answer was lost may take effect much later and would
// remove the replica again, unless its process has restarted since. This cannot
// happen if there was only one such batch and it was read back.
func (j *Journal) canNameReplica(node spool.NodeID, incarnation string) bool {
	removal, ok := j.removals.sentRemovals[node]
	if !ok || removal.incarnation != incarnation {
		return true
	}
	return removal.batches == 1 && !j.fold.namesReplica(node)
}

// removableReplicas returns the former replicas that the next batch may remove.
// By then, all units that only they may hold are on the stream, and no lease
// that they granted is in force.
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
		removed.Replicas = append(removed.Replicas, node)
		if incarnation != "" {
			if removed.Incarnations == nil {
				removed.Incarnations = map[spool.NodeID]string{}
			}
			removed.Incarnations[node] = incarnation
		}
		removal := j.removals.sentRemovals[node]
		if removal.incarnation != incarnation {
			removal = sentRemoval{incarnation: incarnation}
		}
		removal.batches++
		j.removals.sentRemovals[node] = removal
	}
	return removed
}
