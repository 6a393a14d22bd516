package membership

import (
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Stage is the state of a stream at this entry.
type Stage int

// The stages of a stream.
const (
	// StageNone means that the entry does not follow the stream.
	StageNone Stage = iota
	// StageReading means that the entry reads the stream up to its end.
	StageReading
	// StageReady means that the entry follows the stream and knows its owner.
	StageReady
	// StageClaiming means that the entry is claiming the stream.
	StageClaiming
	// StageOwned means that the entry serves the stream or is releasing it.
	StageOwned
)

// Ownership is the owner of a stream as far as an entry knows.
type Ownership struct {
	// Stream is the stream, Owner is its owner and Epoch is the epoch of the
	// claim.
	Stream spool.Stream
	Owner  spool.NodeID
	Epoch  spool.Epoch
	// LearnedAt is the time when this entry learned of the owner.
	LearnedAt clock.Millis
}

// gossipDuration is how long a change of owner is passed on. With a fan-out of
// 4, the change reaches thousands of entries in that time. maxGossipedChanges
// bounds the changes in one message.
const (
	gossipDuration     = 4 * clock.Second
	maxGossipedChanges = 64
)

// streamView is the state of one stream in a view.
type streamView struct {
	name   spool.Stream
	stage  Stage
	winner spool.NodeID
	// owner is the owner that the followed stream names; empty if there is none.
	owner spool.NodeID
	// winnerSince is the time since which this entry ranks first; 0 if it does
	// not.
	winnerSince clock.Millis
	// notFollowedBefore is the earliest time at which the stream may be followed
	// again after a loss. holdOff is the delay after the latest loss.
	notFollowedBefore clock.Millis
	holdOff           clock.Millis
}

// SetStage sets the stage of a stream and, while it is followed, the owner that
// the stream names.
func (v *View) SetStage(index int, stage Stage, owner spool.NodeID) {
	s := v.streams[index]
	if s.owner != owner {
		v.dirty = true
	}
	s.stage, s.owner = stage, owner
}

// StreamLost records that another entry has claimed a stream of this one.
func (v *View) StreamLost(now clock.Millis, index int) {
	s := v.streams[index]
	if now-s.notFollowedBefore > maxHoldOff {
		s.holdOff = 0
	}
	s.holdOff = min(max(2*s.holdOff, v.config.HoldOff), maxHoldOff)
	s.notFollowedBefore = now + s.holdOff
}

// LearnOwner records the owner of a stream, unless an equal or higher epoch is
// known.
func (v *View) LearnOwner(now clock.Millis, stream spool.Stream, node spool.NodeID, epoch spool.Epoch) {
	if known, ok := v.owners[stream]; ok && known.Epoch >= epoch {
		return
	}
	v.owners[stream] = Ownership{Stream: stream, Owner: node, Epoch: epoch, LearnedAt: now}
}

// RecentOwners returns the owners learned recently, to be passed on to other
// entries.
func (v *View) RecentOwners(now clock.Millis) (changes []Ownership) {
	for _, s := range v.streams {
		if known, ok := v.owners[s.name]; ok && now-known.LearnedAt < gossipDuration && len(changes) < maxGossipedChanges {
			changes = append(changes, known)
		}
	}
	return changes
}

// OwnerOf returns the owner of a stream as far as known, otherwise the entry
// that should own it. If the owner's region cannot be reached, the owner is
// still returned and its verdict is Dead.
func (v *View) OwnerOf(index int) (spool.NodeID, bool) {
	v.refresh()
	s := v.streams[index]
	if known, ok := v.owners[s.name]; ok && !v.hasFailed(known.Owner) {
		return known.Owner, true
	}
	return s.winner, s.winner != ""
}

// Winner returns the entry that should own a stream, or false if no entry can
// claim it.
func (v *View) Winner(index int) (spool.NodeID, bool) {
	v.refresh()
	return v.streams[index].winner, v.streams[index].winner != ""
}

// updateStreams requests the streams that this entry should own, within the
// limits, and abandons those that another entry should own.
func (v *View) updateStreams(now clock.Millis) {
	inProgress := 0
	for _, s := range v.streams {
		if s.stage == StageReading || s.stage == StageClaiming {
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
		case s.stage == StageNone && inProgress < v.config.MaxTakeovers && now >= s.notFollowedBefore:
			inProgress++
			s.stage = StageReading
			v.commands = append(v.commands, Follow{Stream: s.name, Replicas: v.ChooseReplicas(s.name, nil)})
		case s.stage == StageReady && s.owner != "":
			v.replaceOwner(now, s)
		}
	}
}

// replaceOwner handles the owner of a followed stream: a failed owner is
// replaced, and a live one is asked for a handover.
func (v *View) replaceOwner(now clock.Millis, s *streamView) {
	if v.Verdict(s.owner) == Dead {
		if v.hasFailed(s.owner) {
			v.commands = append(v.commands, AllowTakeover{Stream: s.name, Owner: s.owner})
		}
		return
	}
	settled := now-s.winnerSince >= v.config.SettleAfter || v.Verdict(s.owner) == Leaving
	if !settled || now-v.handoverAskedAt < v.config.HandoverEvery {
		return
	}
	v.handoverAskedAt = now
	v.commands = append(v.commands, RequestHandover{Stream: s.name, Owner: s.owner})
}

// GrantHandover decides whether to release a stream to another entry. That entry
// must rank first in this view as well. Handovers are at least HandoverEvery
// apart unless this entry is leaving.
func (v *View) GrantHandover(now clock.Millis, index int, to spool.NodeID) bool {
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

// ChooseReplicas chooses the replicas of a stream that this entry owns. Replicas
// in current that are still eligible stay.
func (v *View) ChooseReplicas(stream spool.Stream, current []spool.NodeID) []spool.NodeID {
	count := v.config.ReplicaCount
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
	for _, node := range ChooseReplicas(stream, v.config.Self, eligible, count+len(chosen)) {
		if len(chosen) < count && !slices.Contains(chosen, node) {
			chosen = append(chosen, node)
		}
	}
	return chosen
}
