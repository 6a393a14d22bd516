package journal

import (
	"cmp"
	"maps"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// replica is the owner's state of one replica.
type replica struct {
	// incarnation identifies the replica's process at its first answer. A
	// restarted process has lost its copies and the epochs that it fenced, so the
	// owner ignores its answers.
	incarnation string
	// contacted means that the replica has answered a Replicate command. active
	// means that a unit stored by the replica is durable: the stream names the
	// replica with its incarnation, and the replica has not shown another one.
	contacted bool
	active    bool
	// requestInFlight means that a Replicate command is in flight. retryAt is the
	// earliest time of the next one after a failure; 0 if the latest succeeded.
	requestInFlight bool
	retryAt         clock.Millis
	// ackedSequence is the highest sequence that the replica has stored.
	// toldCommitted is the Committed of the latest Replicate command that it has
	// answered.
	ackedSequence uint64
	toldCommitted uint64
	// joining means that the replica was added after the claim and is not active
	// yet, because no batch that names it was read back.
	joining bool
}

// hasAvailableReplica reports whether there is an active replica whose latest
// Replicate command did not fail.
func (j *Journal) hasAvailableReplica() bool {
	for _, r := range j.replicas {
		if r.active && r.retryAt == 0 {
			return true
		}
	}
	return false
}

// replicatedSequence returns the highest sequence that any active replica has
// stored; 0 if there is none.
func (j *Journal) replicatedSequence() (sequence uint64) {
	for _, r := range j.replicas {
		if r.active {
			sequence = max(sequence, r.ackedSequence)
		}
	}
	return sequence
}

// allContacted reports whether all replicas have answered a Replicate command.
func (j *Journal) allContacted() bool {
	for _, r := range j.replicas {
		if !r.contacted {
			return false
		}
	}
	return true
}

// contactedIncarnations returns the incarnations of those of the given replicas
// that have answered a Replicate command.
func (j *Journal) contactedIncarnations(nodes []spool.NodeID) map[spool.NodeID]string {
	incarnations := map[spool.NodeID]string{}
	for _, node := range nodes {
		if r := j.replicas[node]; r.contacted {
			incarnations[node] = r.incarnation
		}
	}
	return incarnations
}

// sendToReplicas sends each active replica the next replicable units that it
// lacks, at most one message per replica at a time. A message without units
// goes to a replica that has not answered yet, whose latest request failed, or
// that does not know committedSequence.
func (j *Journal) sendToReplicas(now clock.Millis) {
	for _, node := range j.replicaIDs {
		r := j.replicas[node]
		if r.requestInFlight || now < r.retryAt {
			continue
		}
		units := j.missingUnits(r)
		if len(units) == 0 && r.contacted && r.toldCommitted >= j.committedSequence && r.retryAt == 0 {
			continue
		}
		r.requestInFlight = true
		j.emit(Replicate{Node: node, Epoch: j.epoch, Committed: j.committedSequence, Units: units})
	}
}

// missingUnits returns the next units to send to a replica, up to BatchBytes
// but at least one if any is replicable. It returns none for an inactive
// replica.
func (j *Journal) missingUnits(r *replica) (units []Unit) {
	if !r.active {
		return nil
	}
	size := 0
	for _, sub := range j.unitsAfter(r.ackedSequence) {
		if !sub.replicable {
			break
		}
		if size += sub.size; size > j.config.BatchBytes && len(units) > 0 {
			break
		}
		units = append(units, sub.unit)
	}
	return units
}

// ReplicateDone handles the result of a Replicate command. ok is false if the
// replica gave no answer or refused for lack of memory; the units are then sent
// again after RetryAfter. fenced means that a higher epoch has fenced the
// replica; the journal then gives up the stream. A replica that answers with
// another incarnation than before is no longer active.
func (j *Journal) ReplicateDone(now clock.Millis, command Replicate, incarnation string, ok, fenced bool) []Command {
	r := j.replicas[command.Node]
	if r == nil || command.Epoch != j.epoch || j.phase < PhaseFencing {
		return j.Tick(now)
	}
	r.requestInFlight = false
	switch {
	case fenced:
		j.loseStream(spool.NotRunUnknown)
	case !ok:
		r.retryAt = now + j.config.RetryAfter
	case r.contacted && r.incarnation != incarnation:
		r.active = false
		r.retryAt = now + clock.Minute
	default:
		r.retryAt, r.contacted, r.incarnation = 0, true, incarnation
		r.toldCommitted = command.Committed
		if len(command.Units) > 0 {
			r.ackedSequence = command.Units[len(command.Units)-1].Sequence
		}
	}
	return j.Tick(now)
}

// ActiveReplicas returns the replicas whose copies make units durable at
// present.
func (j *Journal) ActiveReplicas() (nodes []spool.NodeID) {
	for _, node := range j.replicaIDs {
		if j.replicas[node].active {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// NamedReplicas returns the nodes chosen with Follow or SetReplicas, whether or
// not they are active.
func (j *Journal) NamedReplicas() []spool.NodeID { return slices.Clone(j.replicaIDs) }

// resetReplicas sets the replicas that the claim will name. None of them is
// contacted or active.
func (j *Journal) resetReplicas(nodes []spool.NodeID) {
	j.replicaIDs, j.replicas = slices.Clone(nodes), map[spool.NodeID]*replica{}
	for _, node := range nodes {
		j.replicas[node] = &replica{}
	}
}

// SetReplicas makes nodes the replicas of the stream. Before a claim, the claim
// will name them. While the journal serves, a new replica becomes active only
// once the stream names it, so that the next owner fences it; a replica that
// has restarted is treated as new, and one that is not in nodes is retired. In
// other phases, SetReplicas does nothing.
func (j *Journal) SetReplicas(now clock.Millis, nodes []spool.NodeID) []Command {
	if j.phase == PhaseReading || j.phase == PhaseReady {
		j.resetReplicas(nodes)
		return j.flush()
	}
	if j.phase != PhaseServing {
		return j.flush()
	}
	for _, node := range nodes {
		if r := j.replicas[node]; r == nil || (r.contacted && !r.active && !r.joining) {
			if r == nil {
				j.replicaIDs = append(j.replicaIDs, node)
				delete(j.discards, node)
			}
			j.replicas[node] = &replica{joining: true}
		}
	}
	for _, node := range slices.Clone(j.replicaIDs) {
		if !slices.Contains(nodes, node) {
			delete(j.replicas, node)
			j.retireReplica(now, node)
			j.replicaIDs = slices.DeleteFunc(j.replicaIDs, func(other spool.NodeID) bool { return other == node })
		}
	}
	return j.Tick(now)
}

// retireReplica schedules two steps for a former replica, once all units that it
// may have are on the stream: a request to discard its copies, and its removal
// from the replicas that the stream names.
func (j *Journal) retireReplica(now clock.Millis, node spool.NodeID) {
	discard := &discardRequest{epoch: j.epoch + 1, nextAt: now}
	for _, sub := range j.unitQueue {
		if sub.replicable {
			discard.afterSequence = sub.unit.Sequence
		}
	}
	j.discards[node] = discard
	j.removals.formerReplicas[node] = discard.afterSequence
}

// joiningReplicas returns the replicas that the next batch should name: they are
// joining, have answered, and canNameReplica permits it.
func (j *Journal) joiningReplicas() (nodes []spool.NodeID) {
	for _, node := range j.replicaIDs {
		if r := j.replicas[node]; r.joining && r.contacted && !r.active && j.canNameReplica(node, r.incarnation) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// activateReplicas makes joining replicas active. It is called when a batch
// that names them was read back. Their incarnations are older than that batch,
// so a replica that has restarted since, and may have lost a fenced epoch,
// answers with another incarnation and is then recognized.
func (j *Journal) activateReplicas(nodes []spool.NodeID) {
	for _, node := range nodes {
		if r := j.replicas[node]; r != nil && r.joining && r.contacted {
			r.joining, r.active = false, true
			delete(j.removals.sentRemovals, node)
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
