package journal

import (
	"cmp"
	"maps"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// replica is one replica as the owner sees it.
type replica struct {
	// incarnation is that of the replica's process at the first contact. A
	// restarted process has lost the epochs that it fenced, so its answers no
	// longer count.
	incarnation string
	// contacted means that the replica has answered at least once. active means
	// that its copies count.
	contacted bool
	active    bool
	// requestInFlight means that a Hold command is in flight.
	requestInFlight bool
	retryAt         clock.Millis
	// ackedSequence is the highest sequence that the replica has stored.
	// toldCommitted is the highest committed sequence that it has been told.
	ackedSequence uint64
	toldCommitted uint64
	// joining means that the replica was added after the claim and does not count
	// yet, because the stream does not name it.
	joining bool
}

// hasAvailableReplica reports whether any active replica can take copies.
func (j *Journal) hasAvailableReplica() bool {
	for _, r := range j.replicas {
		if r.active && r.retryAt == 0 {
			return true
		}
	}
	return false
}

func (j *Journal) replicatedSequence() (sequence uint64) {
	for _, r := range j.replicas {
		if r.active {
			sequence = max(sequence, r.ackedSequence)
		}
	}
	return sequence
}

func (j *Journal) allContacted() bool {
	for _, r := range j.replicas {
		if !r.contacted {
			return false
		}
	}
	return true
}

// contactedIncarnations returns the incarnations of those nodes that have
// answered.
func (j *Journal) contactedIncarnations(nodes []spool.NodeID) map[spool.NodeID]string {
	incarnations := map[spool.NodeID]string{}
	for _, node := range nodes {
		if r := j.replicas[node]; r.contacted {
			incarnations[node] = r.incarnation
		}
	}
	return incarnations
}

// sendToReplicas sends each replica the units that it lacks, one message at a
// time.
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

// HoldDone handles the result of a Hold command. ok is false if the replica
// gave no answer or refused for lack of memory; fenced means that a higher
// epoch has fenced it.
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

// Holders returns the replicas whose copies count at present.
func (j *Journal) ActiveReplicas() (nodes []spool.NodeID) {
	for _, node := range j.replicaIDs {
		if j.replicas[node].active {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// Named returns the nodes that were chosen as replicas, whether or not their
// copies count.
func (j *Journal) NamedReplicas() []spool.NodeID { return slices.Clone(j.replicaIDs) }

// resetReplicas sets the replicas that the claim will name.
func (j *Journal) resetReplicas(nodes []spool.NodeID) {
	j.replicaIDs, j.replicas = slices.Clone(nodes), map[spool.NodeID]*replica{}
	for _, node := range nodes {
		j.replicas[node] = &replica{}
	}
}

// SetHolders replaces replicas that are gone. While the journal serves, a new
// replica counts only once the stream names it, so that the next owner asks it.
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

// retireReplica schedules a request to a former replica to discard its copies
// once they are on the stream.
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

// joiningReplicas returns the new replicas that have answered and can be named
// on the stream.
func (j *Journal) joiningReplicas() (nodes []spool.NodeID) {
	for _, node := range j.replicaIDs {
		if r := j.replicas[node]; r.joining && r.contacted && !r.active && j.canNameReplica(node, r.incarnation) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// activateReplicas makes new replicas count once a batch that names them is on
// the stream. They answered before it was appended, so a replica that was
// fenced since and has restarted shows another incarnation.
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
