package gateway

import (
	"context"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// suspectAfter is how long an owner must leave queries unanswered before the first
	// candidate claims the pools. An owner that was only slow hands its pools over
	// when it is asked.
	suspectAfter = 500 * clock.Millis(1)
	// candidateDelay is the additional delay for each candidate with a higher rank.
	candidateDelay = 100 * clock.Millis(1)
	// minClaimInterval is the shortest time between two claims of this gateway.
	minClaimInterval = clock.Second
	// conflictRetryDelay leaves time to read the topic before a handover that met a
	// conflict is written again.
	conflictRetryDelay = 15 * clock.Millis(1)
)

// claimIfVacant claims the pools if no owner answers for them. Candidates claim in the
// order of their rank.
func (o *poolOwner) claimIfVacant(ctx context.Context, live []spool.NodeID) {
	if !o.shouldClaim(live) {
		return
	}
	err := o.writeClaim(ctx, o.nextClaim())
	switch {
	case errors.Is(err, spool.ErrConditionFailed):
		o.retryClaim()
	case err != nil:
		o.log.Warn("claim was not written", zap.Error(err))
	default:
		o.pollMembersEverywhere()
	}
}

// retryClaim repeats the claim decision after the next read of the topic.
func (o *poolOwner) retryClaim() {
	o.mu.Lock()
	o.retryPending, o.lastClaimAt = true, -minClaimInterval
	o.mu.Unlock()
	o.pollMembers()
}

// nextClaim returns the claim that this gateway would write now.
func (o *poolOwner) nextClaim() claimRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	record := o.self
	switch {
	case o.isOwnerLocked():
		record.EarlierOwners, record.Generation = o.claim.EarlierOwners, o.claim.Generation
		if o.canGrantLocked() {
			record.EarlierOwners, record.Generation = nil, o.reserve.Generation()
		}
	case o.epoch != 0:
		for _, ref := range append([]ownerRef{o.claim.ref()}, o.claim.EarlierOwners...) {
			if !o.endedIncarnations[ref.Incarnation] {
				record.EarlierOwners = append(record.EarlierOwners, ref)
			}
		}
		record.Generation = o.claim.Generation + 1
	}
	return record
}

// shouldClaim reports whether this gateway should write a claim now. live holds the
// gateways that have written their record recently.
func (o *poolOwner) shouldClaim(live []spool.NodeID) bool {
	now := o.bootClock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if now < o.lastClaimAt+minClaimInterval || now < o.voteExpiresAt {
		return false
	}
	if o.isOwnerLocked() {
		// The record must state whether earlier owners may still grant, and which
		// reserve generation this owner holds.
		if o.canGrantLocked() && (len(o.claim.EarlierOwners) > 0 || o.claim.Generation != o.reserve.Generation()) {
			o.lastClaimAt = now
			return true
		}
		return false
	}
	restarted := o.claim.Node == o.self.Node
	unresponsive := o.unansweredSince != 0 && now-o.unansweredSince >= suspectAfter
	switch {
	case o.epoch == 0, restarted, unresponsive, o.endedIncarnations[o.claim.Incarnation]:
		if o.vacantSince == 0 {
			o.vacantSince = now
		}
	default:
		o.vacantSince = 0
		return false
	}
	delay := candidateDelay * clock.Millis(o.rankLocked(live))
	if o.epoch != 0 {
		// If the node of the previous owner is back, it claims first.
		delay += candidateDelay
	}
	if !restarted && now-o.vacantSince < delay {
		return false
	}
	if restarted {
		o.endedIncarnations[o.claim.Incarnation] = true
	}
	o.lastClaimAt = now
	return true
}

// rankLocked counts the live gateways that precede this one as candidates. The current
// owner is not a candidate.
func (o *poolOwner) rankLocked(live []spool.NodeID) (rank int) {
	own := candidateScore(o.self.Node)
	for _, other := range live {
		if other != o.claim.Node && other != o.self.Node && candidateScore(other) > own {
			rank++
		}
	}
	return rank
}

func candidateScore(node spool.NodeID) uint64 {
	return xxhash.Sum64String(ownerKey + "\x00" + string(node))
}

// handOver names another gateway as the owner and retries until the record is written.
// This gateway keeps granting until the successor asks it to stop, so the pools keep
// their owner while the store accepts no record.
func (o *poolOwner) handOver(ctx context.Context, candidates func() []claimRecord) {
	avoid := map[string]bool{}
	for o.canGrant() {
		next := pickSuccessor(candidates(), avoid)
		if next.Incarnation == "" {
			return
		}
		if o.isLeaving(ctx, next) {
			avoid[next.Incarnation] = true
			continue
		}
		next.EarlierOwners, next.Generation = []ownerRef{o.self.ref()}, o.claimGeneration()+1
		err := o.writeClaim(ctx, next)
		pause := retryDelay
		switch {
		case err == nil:
			o.pollMembersEverywhere()
			return
		case errors.Is(err, spool.ErrConditionFailed):
			o.pollMembers()
			pause = conflictRetryDelay
		default:
			o.log.Warn("handover was not written", zap.String("to", string(next.Node)), zap.Error(err))
		}
		if !clock.Pause(ctx, pause) {
			return
		}
	}
}

func (o *poolOwner) claimGeneration() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.claim.Generation
}

// isOwner reports whether the newest claim names this gateway.
func (o *poolOwner) isOwner() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isOwnerLocked()
}

func (o *poolOwner) canGrant() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.canGrantLocked()
}

// writeClaim makes claim the newest one. It fails if the topic has records that this
// gateway has not read.
func (o *poolOwner) writeClaim(ctx context.Context, claim claimRecord) error {
	value, err := json.Marshal(claim)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	return o.store.AppendKeyedAt(ctx, spool.TopicMembers, ownerKey, value, o.readPosition())
}

// isLeaving reports whether a candidate is shutting down as well or does not answer.
// The candidate's record may be out of date while the store is unavailable.
func (o *poolOwner) isLeaving(ctx context.Context, candidate claimRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	reply, err := o.queryPeer(ctx, candidate.Address, aliveRequest{})
	return err != nil || reply.Leaving || reply.Incarnation != candidate.Incarnation
}

// pickSuccessor returns the candidate with the highest score whose incarnation is not
// in avoid; empty if there is none.
func pickSuccessor(candidates []claimRecord, avoid map[string]bool) (best claimRecord) {
	for _, candidate := range candidates {
		if avoid[candidate.Incarnation] {
			continue
		}
		if best.Node == "" || candidateScore(candidate.Node) > candidateScore(best.Node) {
			best = candidate
		}
	}
	return best
}
