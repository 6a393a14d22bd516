package journal

import (
	"cmp"
	"maps"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// peer is one holder as the owner sees it.
type peer struct {
	// incarnation is that of the holder's process at the first contact. A
	// restarted holder has forgotten its seals, so its answers no longer count.
	incarnation string
	// opened means that the holder has answered before the claim was complete;
	// usable means that its copies count.
	opened bool
	usable bool
	// asked means that a message is under way.
	asked   bool
	retryAt clock.Millis
	// acked is the highest sequence that the holder has, told the highest
	// committed sequence that it knows of.
	acked uint64
	told  uint64
	// adopting means that the holder was added after the claim and is not yet
	// named on the stream.
	adopting bool
}

// usable reports whether any holder can take copies.
func (j *Journal) usable() bool {
	for _, p := range j.peers {
		if p.usable && p.retryAt == 0 {
			return true
		}
	}
	return false
}

func (j *Journal) heldUpTo() (held uint64) {
	for _, p := range j.peers {
		if p.usable {
			held = max(held, p.acked)
		}
	}
	return held
}

func (j *Journal) allOpen() bool {
	for _, p := range j.peers {
		if !p.opened {
			return false
		}
	}
	return true
}

// opened returns the incarnations of those nodes that have answered.
func (j *Journal) opened(nodes []spool.NodeID) map[spool.NodeID]string {
	incarnations := map[spool.NodeID]string{}
	for _, node := range nodes {
		if p := j.peers[node]; p.opened {
			incarnations[node] = p.incarnation
		}
	}
	return incarnations
}

// hold sends each holder what it lacks, one message at a time.
func (j *Journal) hold(now clock.Millis) {
	for _, node := range j.order {
		p := j.peers[node]
		if p.asked || now < p.retryAt {
			continue
		}
		units := j.lacking(p)
		if len(units) == 0 && p.opened && p.told >= j.committed && p.retryAt == 0 {
			continue
		}
		p.asked = true
		j.emit(Hold{Node: node, Epoch: j.epoch, Committed: j.committed, Units: units})
	}
}

func (j *Journal) lacking(p *peer) (units []Unit) {
	if !p.usable {
		return nil
	}
	size := 0
	for _, e := range j.after(p.acked) {
		if !e.exposed {
			break
		}
		if size += e.size; size > j.config.BatchBytes && len(units) > 0 {
			break
		}
		units = append(units, e.unit)
	}
	return units
}

// HoldDone takes the answer to a Hold command. sent is the highest sequence in
// the message. ok is false when the holder gave no answer or refused for lack of
// memory; fenced means that a higher epoch has sealed it.
func (j *Journal) HoldDone(now clock.Millis, command Hold, incarnation string, ok, fenced bool) []Command {
	p := j.peers[command.Node]
	if p == nil || command.Epoch != j.epoch || j.phase < PhaseSealing {
		return j.Tick(now)
	}
	p.asked = false
	switch {
	case fenced:
		j.lose(spool.NotRunUnknown)
	case !ok:
		p.retryAt = now + j.config.RetryAfter
	case p.opened && p.incarnation != incarnation:
		p.usable = false
		p.retryAt = now + clock.Minute
	default:
		p.retryAt, p.opened, p.incarnation = 0, true, incarnation
		p.told = command.Committed
		if len(command.Units) > 0 {
			p.acked = command.Units[len(command.Units)-1].Sequence
		}
	}
	return j.Tick(now)
}

// Holders returns the nodes whose copies count at present.
func (j *Journal) Holders() (nodes []spool.NodeID) {
	for _, node := range j.order {
		if j.peers[node].usable {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// Named returns the nodes that were chosen as holders.
func (j *Journal) Named() []spool.NodeID { return slices.Clone(j.order) }

// choose sets the holders that the claim is going to name.
func (j *Journal) choose(nodes []spool.NodeID) {
	j.order, j.peers = slices.Clone(nodes), map[spool.NodeID]*peer{}
	for _, node := range nodes {
		j.peers[node] = &peer{}
	}
}

// SetHolders replaces holders that are gone. A new holder counts once the
// stream names it, so that the next owner asks it.
func (j *Journal) SetHolders(now clock.Millis, nodes []spool.NodeID) []Command {
	if j.phase == PhaseReading || j.phase == PhaseReady {
		j.choose(nodes)
		return j.flush()
	}
	if j.phase != PhaseServing {
		return j.flush()
	}
	for _, node := range nodes {
		if p := j.peers[node]; p == nil || (p.opened && !p.usable && !p.adopting) {
			if p == nil {
				j.order = append(j.order, node)
				delete(j.releases, node)
			}
			j.peers[node] = &peer{adopting: true}
		}
	}
	for _, node := range slices.Clone(j.order) {
		if !slices.Contains(nodes, node) {
			delete(j.peers, node)
			j.dismiss(now, node)
			j.order = slices.DeleteFunc(j.order, func(other spool.NodeID) bool { return other == node })
		}
	}
	return j.Tick(now)
}

// dismiss lets a former holder drop its copies once they are on the stream.
func (j *Journal) dismiss(now clock.Millis, node spool.NodeID) {
	r := &releasing{epoch: j.epoch + 1, at: now}
	for _, e := range j.units {
		if e.exposed {
			r.after = e.unit.Sequence
		}
	}
	j.releases[node] = r
	j.drops.dismissed[node] = r.after
}

// adopting lists the new holders that have answered and are to be named.
func (j *Journal) adopting() (nodes []spool.NodeID) {
	for _, node := range j.order {
		if p := j.peers[node]; p.adopting && p.opened && !p.usable && j.mayName(node, p.incarnation) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// adopt makes new holders count once a batch that names them is on the stream.
// They answered before it was appended, so a holder that was sealed since and
// has restarted shows another incarnation.
func (j *Journal) adopt(nodes []spool.NodeID) {
	for _, node := range nodes {
		if p := j.peers[node]; p != nil && p.adopting && p.opened {
			p.adopting, p.usable = false, true
			delete(j.drops.sent, node)
		}
	}
}

func sorted[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
