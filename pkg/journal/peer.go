package journal

import (
	"cmp"
	"maps"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// peer is one holder as the owner sees it.
type replica struct {
	// incarnation is that of the holder's process at the first contact. A
	// restarted holder has forgotten its seals, so its answers no longer count.
	incarnation string
	// opened means that the holder has answered before the claim was complete;
	// usable means that its copies count.
	contacted bool
	active bool
	// asked means that a message is under way.
	requestInFlight   bool
	retryAt clock.Millis
	// acked is the highest sequence that the holder has, told the highest
	// committed sequence that it knows of.
	ackedSequence uint64
	toldCommitted  uint64
	// adopting means that the holder was added after the claim and is not yet
	// named on the stream.
	joining bool
}

// usable reports whether any holder can take copies.
func (j *Journal) hasAvailableReplica() bool {
	for _, p := range j.replicas {
		if p.active && p.retryAt == 0 {
			return true
		}
	}
	return false
}

func (j *Journal) replicatedSequence() (held uint64) {
	for _, p := range j.replicas {
		if p.active {
			held = max(held, p.ackedSequence)
		}
	}
	return held
}

func (j *Journal) allContacted() bool {
	for _, p := range j.replicas {
		if !p.contacted {
			return false
		}
	}
	return true
}

// opened returns the incarnations of those nodes that have answered.
func (j *Journal) contactedIncarnations(nodes []spool.NodeID) map[spool.NodeID]string {
	incarnations := map[spool.NodeID]string{}
	for _, node := range nodes {
		if p := j.replicas[node]; p.contacted {
			incarnations[node] = p.incarnation
		}
	}
	return incarnations
}

// hold sends each holder what it lacks, one message at a time.
func (j *Journal) sendToReplicas(now clock.Millis) {
	for _, node := range j.replicaIDs {
		p := j.replicas[node]
		if p.requestInFlight || now < p.retryAt {
			continue
		}
		units := j.missingUnits(p)
		if len(units) == 0 && p.contacted && p.toldCommitted >= j.committedSequence && p.retryAt == 0 {
			continue
		}
		p.requestInFlight = true
		j.emit(Hold{Node: node, Epoch: j.epoch, Committed: j.committedSequence, Units: units})
	}
}

func (j *Journal) missingUnits(p *replica) (units []Unit) {
	if !p.active {
		return nil
	}
	size := 0
	for _, sub := range j.unitsAfter(p.ackedSequence) {
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

// HoldDone takes the answer to a Hold command. sent is the highest sequence in
// the message. ok is false when the holder gave no answer or refused for lack of
// memory; fenced means that a higher epoch has sealed it.
func (j *Journal) HoldDone(now clock.Millis, command Hold, incarnation string, ok, fenced bool) []Command {
	p := j.replicas[command.Node]
	if p == nil || command.Epoch != j.epoch || j.phase < PhaseSealing {
		return j.Tick(now)
	}
	p.requestInFlight = false
	switch {
	case fenced:
		j.loseStream(spool.NotRunUnknown)
	case !ok:
		p.retryAt = now + j.config.RetryAfter
	case p.contacted && p.incarnation != incarnation:
		p.active = false
		p.retryAt = now + clock.Minute
	default:
		p.retryAt, p.contacted, p.incarnation = 0, true, incarnation
		p.toldCommitted = command.Committed
		if len(command.Units) > 0 {
			p.ackedSequence = command.Units[len(command.Units)-1].Sequence
		}
	}
	return j.Tick(now)
}

// Holders returns the nodes whose copies count at present.
func (j *Journal) Holders() (nodes []spool.NodeID) {
	for _, node := range j.replicaIDs {
		if j.replicas[node].active {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// Named returns the nodes that were chosen as holders.
func (j *Journal) Named() []spool.NodeID { return slices.Clone(j.replicaIDs) }

// choose sets the holders that the claim is going to name.
func (j *Journal) resetReplicas(nodes []spool.NodeID) {
	j.replicaIDs, j.replicas = slices.Clone(nodes), map[spool.NodeID]*replica{}
	for _, node := range nodes {
		j.replicas[node] = &replica{}
	}
}

// SetHolders replaces holders that are gone. A new holder counts once the
// stream names it, so that the next owner asks it.
func (j *Journal) SetHolders(now clock.Millis, nodes []spool.NodeID) []Command {
	if j.phase == PhaseReading || j.phase == PhaseReady {
		j.resetReplicas(nodes)
		return j.flush()
	}
	if j.phase != PhaseServing {
		return j.flush()
	}
	for _, node := range nodes {
		if p := j.replicas[node]; p == nil || (p.contacted && !p.active && !p.joining) {
			if p == nil {
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

// dismiss lets a former holder drop its copies once they are on the stream.
func (j *Journal) retireReplica(now clock.Millis, node spool.NodeID) {
	r := &discardRequest{epoch: j.epoch + 1, nextAt: now}
	for _, sub := range j.unitQueue {
		if sub.replicable {
			r.afterSequence = sub.unit.Sequence
		}
	}
	j.discards[node] = r
	j.removals.formerReplicas[node] = r.afterSequence
}

// adopting lists the new holders that have answered and are to be named.
func (j *Journal) joiningReplicas() (nodes []spool.NodeID) {
	for _, node := range j.replicaIDs {
		if p := j.replicas[node]; p.joining && p.contacted && !p.active && j.canNameReplica(node, p.incarnation) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// adopt makes new holders count once a batch that names them is on the stream.
// They answered before it was appended, so a holder that was sealed since and
// has restarted shows another incarnation.
func (j *Journal) activateReplicas(nodes []spool.NodeID) {
	for _, node := range nodes {
		if p := j.replicas[node]; p != nil && p.joining && p.contacted {
			p.joining, p.active = false, true
			delete(j.removals.appended, node)
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
