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
	// StageReading means that the entry reads the stream and has not reached its
	// end.
	StageReading
	// StageReady means that the entry has read the stream to its end, knows its
	// owner and keeps following it.
	StageReady
	// StageClaiming means that the entry is claiming the stream and does not serve
	// it yet.
	StageClaiming
	// StageOwned means that the entry serves the stream or is releasing it.
	StageOwned
)

// Ownership is what an entry knows about the owner of a stream. It may be
// outdated.
type Ownership struct {
	// Stream is the stream, Owner is its owner and Epoch is the epoch of the
	// claim.
	Stream spool.Stream
	Owner  spool.NodeID
	Epoch  spool.Epoch
	// LearnedAt is the time when this entry learned of the claim.
	LearnedAt clock.Millis
}

// gossipDuration is how long an entry passes on a change of owner after it has
// learned of it. With a fan-out of 4, the change reaches thousands of entries
// in that time. maxGossipedChanges bounds the number of changes in one message.
const (
	gossipDuration     = 4 * clock.Second
	maxGossipedChanges = 64
)

// streamView is the state of one stream in a view.
type streamView struct {
	name  spool.Stream
	stage Stage
	// winner is the entry that should own the stream; empty if none can claim it.
	winner spool.NodeID
	// owner is the owner according to the stream itself, as passed to SetStage;
	// empty if there is none or it is not known.
	owner spool.NodeID
	// winnerSince is the time since which this entry has been the winner; 0 if it
	// is not.
	winnerSince clock.Millis
	// notFollowedBefore is the earliest time at which the stream may be followed
	// again after a loss; 0 if there was none. holdOff is the delay after the
	// latest loss.
	notFollowedBefore clock.Millis
	holdOff           clock.Millis
}

// SetStage sets the stage of the stream with the given index, and the owner
// according to the stream itself; owner is empty if there is none or it is not
// known.
func (v *View) SetStage(index int, stage Stage, owner spool.NodeID) {
	s := v.streams[index]
	if s.owner != owner {
		v.dirty = true
	}
	s.stage, s.owner = stage, owner
}

// StreamLost records that another entry has claimed a stream that this one
// owned or was claiming. This entry does not follow the stream again before a
// hold-off has passed: HoldOff, or twice the previous hold-off unless that one
// ended more than maxHoldOff ago. It is at most maxHoldOff.
func (v *View) StreamLost(now clock.Millis, index int) {
	s := v.streams[index]
	if now-s.notFollowedBefore > maxHoldOff {
		s.holdOff = 0
	}
	s.holdOff = min(max(2*s.holdOff, v.config.HoldOff), maxHoldOff)
	s.notFollowedBefore = now + s.holdOff
}

// LearnOwner records that node has claimed a stream with the given epoch. It
// does nothing if a claim with the same or a higher epoch is known.
func (v *View) LearnOwner(now clock.Millis, stream spool.Stream, node spool.NodeID, epoch spool.Epoch) {
	if known, ok := v.owners[stream]; ok && known.Epoch >= epoch {
		return
	}
	v.owners[stream] = Ownership{Stream: stream, Owner: node, Epoch: epoch, LearnedAt: now}
}

// RecentOwners returns the owners learned within the last gossipDuration, to be
// passed on to other entries. It returns at most maxGossipedChanges; streams
// with a lower index come first.
func (v *View) RecentOwners(now clock.Millis) (changes []Ownership) {
	for _, s := range v.streams {
		if known, ok := v.owners[s.name]; ok && now-known.LearnedAt < gossipDuration && len(changes) < maxGossipedChanges {
			changes = append(changes, known)
		}
	}
	return changes
}

// OwnerOf returns the known owner of a stream. If none is known or it has
// failed (see hasFailed), OwnerOf returns the winner, or false if there is
// none. If the owner is silent because its region cannot be reached, the owner
// is still returned although its verdict is Dead.
func (v *View) OwnerOf(index int) (spool.NodeID, bool) {
	v.refresh()
	s := v.streams[index]
	if known, ok := v.owners[s.name]; ok && !v.hasFailed(known.Owner) {
		return known.Owner, true
	}
	return s.winner, s.winner != ""
}

// Winner returns the entry that should own a stream, the candidate with the
// highest rank. The result is false if no entry can claim it.
func (v *View) Winner(index int) (spool.NodeID, bool) {
	v.refresh()
	return v.streams[index].winner, v.streams[index].winner != ""
}

// updateStreams starts to follow the streams that this entry should own, within
// MaxTakeovers and not during a hold-off. It abandons streams that it follows,
// but has not begun to claim, if another entry should own them.
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

// replaceOwner handles the owner of a followed stream that this entry should
// own. It allows the takeover from a failed owner, and asks a live one for a
// handover after SettleAfter. It does nothing if the owner's region cannot be
// reached.
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

// GrantHandover decides whether to release a stream to another entry. That
// entry must be the winner in this view as well, and HandoverEvery must have
// passed since the latest grant unless this entry is leaving. If the result is
// true, the next grant is delayed accordingly.
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

// ChooseReplicas chooses ReplicaCount replicas for a stream that this entry
// owns or is about to claim. All replicas in current that are alive and not
// leaving are kept; if there are fewer than ReplicaCount, the function
// ChooseReplicas adds others.
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
