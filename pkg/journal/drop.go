package journal

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// replicaRemovals tracks the removal of replaced replicas from the stream.
// Without a removal, the next owner would wait for the answer of every replica
// that the stream names. A dead one would delay it until the VM list omits that
// replica, and the answer of the previous owner would then be required as well.
type replicaRemovals struct {
	// formerReplicas maps each replaced replica that the stream may still name to
	// the highest sequence of which it may have a copy. Its copies are needed until
	// that sequence is on the stream.
	formerReplicas map[spool.NodeID]uint64
	// sentRemovals counts, for each replica, the batches of this epoch that remove
	// it. They may be on the stream, or take effect later.
	sentRemovals map[spool.NodeID]sentRemoval
}

// sentRemoval counts the batches of this epoch that remove one incarnation of a
// replica.
type sentRemoval struct {
	// incarnation is empty if the stream has no incarnation of the replica.
	incarnation string
	batches     int
}

func newReplicaRemovals() replicaRemovals {
	return replicaRemovals{formerReplicas: map[spool.NodeID]uint64{}, sentRemovals: map[spool.NodeID]sentRemoval{}}
}

// canNameReplica reports whether the stream may name a node with this
// incarnation as a replica. It may not while a removal batch of the same
// incarnation can take effect later, because that batch would remove the
// replica again. If only one removal batch was sent and the stream no longer
// names the replica, that batch has already taken effect.
func (j *Journal) canNameReplica(node spool.NodeID, incarnation string) bool {
	removal, ok := j.removals.sentRemovals[node]
	if !ok || removal.incarnation != incarnation {
		return true
	}
	return removal.batches == 1 && !j.fold.namesReplica(node)
}

// removableReplicas returns the former replicas to remove with the next batch,
// and counts that batch in sentRemovals. A former replica is removable once all
// units that it may have are on the stream and this owner has no lease in
// force, unless it has become a replica again or was recorded with several
// incarnations. removableReplicas also forgets former replicas that the stream
// no longer names.
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
