package gateway

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/candidates"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// suspectAfter is how long an owner must leave queries unanswered before the first
	// candidate claims the pools. If the owner was only slow, the claim is harmless:
	// the owner stops granting and hands over its pools when the new owner asks for
	// them.
	suspectAfter = 500 * clock.Millis(1)
	// candidateDelay is the delay that a candidate waits for each candidate with a
	// higher score, so that normally only one gateway claims.
	candidateDelay = 100 * clock.Millis(1)
	// minClaimInterval is the shortest time between two claims that this gateway
	// writes, unless a write met a conflict.
	minClaimInterval = clock.Second
	// conflictRetryDelay is the delay before a handover that met a conflict is written
	// again. In the meantime the gateway reads the newer records of the topic.
	conflictRetryDelay = 15 * clock.Millis(1)
	// stepDownTimeout bounds one try to hand the pools over to a gateway that can bear
	// them.
	stepDownTimeout = clock.Second
)

// claimIfVacant writes a claim if shouldClaim says so: because the pools have no owner
// that answers, or because this gateway owns them and its claim must be updated. A
// failed write is repeated with a later call. live returns the running gateways that are
// not shutting down; it is called only when that matters.
func (o *poolOwnership) claimIfVacant(ctx context.Context, live func() []candidates.Candidate) {
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

// retryClaim starts a read of the topic and lets this gateway decide again whether to
// claim when the read is applied, without waiting for minClaimInterval.
func (o *poolOwnership) retryClaim() {
	o.mu.Lock()
	o.retryPending, o.lastClaimAt = true, -minClaimInterval
	o.mu.Unlock()
	o.pollMembers()
}

// nextClaim returns the claim that this gateway would write now. It names the earlier
// owners that may still grant and the generation of the reserve.
func (o *poolOwnership) nextClaim() claimRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	record := o.self
	switch {
	case o.isOwnerLocked():
		record.EarlierOwners, record.Generation = o.newestClaim.EarlierOwners, o.newestClaim.Generation
		if o.prepareToGrantLocked() {
			record.EarlierOwners, record.Generation = nil, o.reserve.Generation()
		}
	case o.epoch != 0:
		for _, ref := range append([]ownerRef{o.newestClaim.ref()}, o.newestClaim.EarlierOwners...) {
			if !o.endedIncarnations[ref.Incarnation] {
				record.EarlierOwners = append(record.EarlierOwners, ref)
			}
		}
		record.Generation = o.newestClaim.Generation + 1
	}
	return record
}

// shouldClaim reports whether this gateway should write a claim now, and if so, sets
// lastClaimAt. live is as in claimIfVacant.
func (o *poolOwnership) shouldClaim(live func() []candidates.Candidate) bool {
	now := o.bootClock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if now < o.lastClaimAt+minClaimInterval || now < o.voteExpiresAt {
		return false
	}
	if o.isOwnerLocked() {
		// The claim is repeated when it names earlier owners that can no longer grant,
		// or another generation than that of the reserve.
		if o.prepareToGrantLocked() && (len(o.newestClaim.EarlierOwners) > 0 || o.newestClaim.Generation != o.reserve.Generation()) {
			o.lastClaimAt = now
			return true
		}
		return false
	}
	restarted := o.newestClaim.Node == o.self.Node
	unresponsive := o.unansweredSince != 0 && now-o.unansweredSince >= suspectAfter
	switch {
	case o.epoch == 0, restarted, unresponsive, o.refusing == o.newestClaim.Incarnation, o.endedIncarnations[o.newestClaim.Incarnation]:
		if o.vacantSince == 0 {
			o.vacantSince = now
		}
	default:
		o.vacantSince = 0
		return false
	}
	delay := candidateDelay * clock.Millis(o.rankLocked(live()))
	if o.epoch != 0 {
		// A restarted process on the node of the previous owner claims without delay,
		// so the other candidates give it time.
		delay += candidateDelay
	}
	if !restarted && now-o.vacantSince < delay {
		return false
	}
	if restarted {
		o.endedIncarnations[o.newestClaim.Incarnation] = true
	}
	o.lastClaimAt = now
	return true
}

// rankLocked returns the number of live gateways that precede this one as candidates. The
// current owner is not a candidate. The caller holds mu.
func (o *poolOwnership) rankLocked(live []candidates.Candidate) (rank int) {
	for _, other := range candidates.Rank(ownerKey, live) {
		if other.Node == o.self.Node {
			break
		}
		if other.Node != o.newestClaim.Node {
			rank++
		}
	}
	return rank
}

// stepDown hands the pools over if this gateway owns them and another one of live can bear
// the role, but this one cannot: its VM is small, or its process runs late. live is as in
// claimIfVacant, and successors as in handOver. It gives up after stepDownTimeout; a later
// call tries again.
func (o *poolOwnership) stepDown(ctx context.Context, live func() []candidates.Candidate, successors func() []claimRecord) {
	if !o.canGrant() || candidates.IsAble(live(), o.self.Node) {
		return
	}
	o.log.Info("owner of the limits steps down")
	ctx, cancel := context.WithTimeout(ctx, stepDownTimeout.Duration())
	defer cancel()
	o.handOver(ctx, successors)
}

// handOver writes a claim that names another gateway as the owner, the first one of
// successors that stays. It retries until the claim is written, this gateway may no longer
// grant, no candidate is left or ctx ends. It skips candidates that are shutting down or do
// not answer. This gateway continues to grant until it reads the written claim or the
// successor asks it to stop, so the pools have an owner even while the store accepts no
// record.
func (o *poolOwnership) handOver(ctx context.Context, successors func() []claimRecord) {
	avoid := map[string]bool{}
	for o.canGrant() {
		next := pickSuccessor(successors(), avoid)
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

// claimGeneration returns the reserve generation that the newest claim names.
func (o *poolOwnership) claimGeneration() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.newestClaim.Generation
}

// isOwner reports whether the newest claim names this process. It may still have to
// wait before it may grant.
func (o *poolOwnership) isOwner() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isOwnerLocked()
}

// canGrant calls prepareToGrantLocked for a caller that does not hold mu. So it also
// updates lastGrantingEpoch and creates a missing reserve if this gateway may grant.
func (o *poolOwnership) canGrant() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.prepareToGrantLocked()
}

// writeClaim appends claim to the member topic. It fails with spool.ErrConditionFailed
// if the topic has records that this gateway has not read.
func (o *poolOwnership) writeClaim(ctx context.Context, claim claimRecord) error {
	value, err := json.Marshal(claim)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	return o.store.AppendKeyedAt(ctx, spool.TopicMembers, ownerKey, value, o.readPosition())
}

// isLeaving asks a candidate directly, because its record may be out of date while the
// store is unavailable. It reports whether the candidate is shutting down, does not
// answer, or has been replaced by another process.
func (o *poolOwnership) isLeaving(ctx context.Context, candidate claimRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	reply, err := o.queryPeer(ctx, candidate.Address, aliveRequest{})
	return err != nil || reply.Leaving || reply.Incarnation != candidate.Incarnation
}

// pickSuccessor returns the first candidate whose incarnation is not in avoid; the zero
// value if there is none.
func pickSuccessor(successors []claimRecord, avoid map[string]bool) claimRecord {
	for _, candidate := range successors {
		if !avoid[candidate.Incarnation] {
			return candidate
		}
	}
	return claimRecord{}
}
