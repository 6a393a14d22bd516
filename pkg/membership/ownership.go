package membership

import (
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Stage is what this entry does with a stream.
type Stage int

// The stages.
const (
	// StageNone means that the stream is not followed.
	StageNone Stage = iota
	// StageReading means that it is read up to its end.
	StageReading
	// StageReady means that it is followed and its owner is known.
	StageReady
	// StageTaking means that a claim is under way.
	StageTaking
	// StageOwned means that this entry serves the stream or is releasing it.
	StageOwned
)

// Ownership says who owns a stream to the best of an entry's knowledge.
type Ownership struct {
	// Stream is the stream, Node its owner and Epoch the claim.
	Stream spool.Stream
	Node   spool.NodeID
	Epoch  spool.Epoch
	// LearntAt is when this entry learnt of it.
	LearntAt clock.Millis
}

// gossipFor is how long a change is passed on; with a fan-out of 4 it reaches
// thousands of entries in that time.
const (
	gossipDuration   = 4 * clock.Second
	maxGossipedChanges = 64
)

// streamView is what the view knows of one stream.
type streamView struct {
	name   spool.Stream
	stage  Stage
	winner spool.NodeID
	// owner is the one that the followed stream names; empty when there is none.
	owner spool.NodeID
	// wonSince is since when this entry ranks first.
	winnerSince clock.Millis
	// notBefore is when the stream may be followed again after a loss; holdOff is
	// the wait after the next loss.
	notFollowedBefore clock.Millis
	holdOff   clock.Millis
}

// Stage tells what this entry does with a stream and, while it is followed, whom
// the stream names as owner.
func (v *View) Stage(index int, stage Stage, owner spool.NodeID) {
	s := v.streams[index]
	if s.owner != owner {
		v.dirty = true
	}
	s.stage, s.owner = stage, owner
}

// Lost notes that another entry has taken a stream from this one.
func (v *View) Lost(now clock.Millis, index int) {
	s := v.streams[index]
	if now-s.notFollowedBefore > maxHoldOff {
		s.holdOff = 0
	}
	s.holdOff = min(max(2*s.holdOff, v.config.HoldOff), maxHoldOff)
	s.notFollowedBefore = now + s.holdOff
}

// Learn takes what somebody knows of the owner of a stream.
func (v *View) Learn(now clock.Millis, stream spool.Stream, node spool.NodeID, epoch spool.Epoch) {
	if known, ok := v.owners[stream]; ok && known.Epoch >= epoch {
		return
	}
	v.owners[stream] = Ownership{Stream: stream, Node: node, Epoch: epoch, LearntAt: now}
}

// Changes lists what was learnt lately, for passing on.
func (v *View) Changes(now clock.Millis) (changes []Ownership) {
	for _, s := range v.streams {
		if known, ok := v.owners[s.name]; ok && now-known.LearntAt < gossipDuration && len(changes) < maxGossipedChanges {
			changes = append(changes, known)
		}
	}
	return changes
}

// OwnerOf returns the owner of a stream as far as known, or the entry that
// should own it. The owner's verdict is Dead when its region cannot be reached.
func (v *View) OwnerOf(index int) (spool.NodeID, bool) {
	v.refresh()
	s := v.streams[index]
	if known, ok := v.owners[s.name]; ok && !v.hasFailed(known.Node) {
		return known.Node, true
	}
	return s.winner, s.winner != ""
}

// Winner returns the entry that should own a stream, or false when no entry can
// take one.
func (v *View) Winner(index int) (spool.NodeID, bool) {
	v.refresh()
	return v.streams[index].winner, v.streams[index].winner != ""
}

// decide asks for what this entry should take, within the limits.
func (v *View) updateStreams(now clock.Millis) {
	inProgress := 0
	for _, s := range v.streams {
		if s.stage == StageReading || s.stage == StageTaking {
			inProgress++
		}
	}
	for _, s := range v.streams {
		if s.winner != v.config.Self.ID {
			s.winnerSince = 0
			if s.stage == StageReading || s.stage == StageReady {
				v.commands = append(v.commands, Abandon{Stream: s.name})
			}
			continue
		}
		if s.winnerSince == 0 {
			s.winnerSince = now
		}
		switch {
		case s.stage == StageNone && inProgress < v.config.TakeAtOnce && now >= s.notFollowedBefore:
			inProgress++
			s.stage = StageReading
			v.commands = append(v.commands, Follow{Stream: s.name, Holders: v.Holders(s.name, nil)})
		case s.stage == StageReady && s.owner != "":
			v.replaceOwner(now, s)
		}
	}
}

// replace deals with the owner of a followed stream: one that is gone is
// replaced, one that lives is asked for a handover.
func (v *View) replaceOwner(now clock.Millis, s *streamView) {
	if v.Verdict(s.owner) == Dead {
		if v.hasFailed(s.owner) {
			v.commands = append(v.commands, Allow{Stream: s.name, Owner: s.owner})
		}
		return
	}
	settled := now-s.winnerSince >= v.config.SettleAfter || v.Verdict(s.owner) == Leaving
	if !settled || now-v.handoverAskedAt < v.config.HandoverEvery {
		return
	}
	v.handoverAskedAt = now
	v.commands = append(v.commands, AskHandover{Stream: s.name, Owner: s.owner})
}

// Grant decides whether to release a stream to another entry: that one must rank
// first in this view as well, and handovers are spaced out unless this entry
// leaves.
func (v *View) Grant(now clock.Millis, index int, to spool.NodeID) bool {
	v.refresh()
	if v.streams[index].winner != to || to == v.config.Self.ID {
		return false
	}
	if !v.leaving && now-v.handoverGrantedAt < v.config.HandoverEvery {
		return false
	}
	v.handoverGrantedAt = now
	return true
}

// Holders chooses count entries that keep copies of a stream's units for this
// entry; those of current that are still fit stay.
func (v *View) Holders(stream spool.Stream, current []spool.NodeID) []spool.NodeID {
	count := v.config.Holders
	var eligible []spool.VM
	for _, m := range v.members {
		if m.verdict != Dead && m.vm.State == spool.VMLive && !m.leaving {
			eligible = append(eligible, m.vm)
		}
	}
	byID := map[spool.NodeID]spool.VM{}
	for _, vm := range eligible {
		byID[vm.ID] = vm
	}
	chosen := slices.DeleteFunc(slices.Clone(current), func(node spool.NodeID) bool {
		_, ok := byID[node]
		return !ok
	})
	for _, node := range Holders(stream, v.config.Self, eligible, count+len(chosen)) {
		if len(chosen) < count && !slices.Contains(chosen, node) {
			chosen = append(chosen, node)
		}
	}
	return chosen
}
