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
	// suspectAfter is the time for which an owner does not answer before the first
	// candidate takes its place. An owner that was only slow hands its pools over when
	// it is asked.
	suspectAfter = 500 * clock.Millis(1)
	// candidateDelay is added for each candidate that should have come first.
	candidateDelay = 100 * clock.Millis(1)
	// claimPause is the time between two claims of this gateway.
	claimPause = clock.Second
	// movedPause is the time for a read of the topic, before a handover is written
	// again.
	movedPause = 15 * clock.Millis(1)
)

// claimIfVacant claims the pools when they have no owner that answers, in the
// order of the candidates.
func (o *poolOwner) claimIfVacant(ctx context.Context, live []spool.NodeID) {
	if !o.vacant(live) {
		return
	}
	err := o.write(ctx, o.next())
	switch {
	case errors.Is(err, spool.ErrMoved):
		o.retry()
	case err != nil:
		o.log.Warn("claim was not written", zap.Error(err))
	default:
		o.nudge()
	}
}

// retry makes the claim be decided again after the next read of the topic.
func (o *poolOwner) retry() {
	o.mu.Lock()
	o.pending, o.claimedAt = true, -claimPause
	o.mu.Unlock()
	o.reread()
}

// next returns the claim that this gateway would write now.
func (o *poolOwner) next() claimRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	record := o.self
	switch {
	case o.owns():
		record.After, record.Generation = o.claim.After, o.claim.Generation
		if o.grants() {
			record.After, record.Generation = nil, o.reserve.Generation()
		}
	case o.epoch != 0:
		for _, ref := range append([]ownerRef{o.claim.ref()}, o.claim.After...) {
			if !o.gone[ref.Lifetime] {
				record.After = append(record.After, ref)
			}
		}
		record.Generation = o.claim.Generation + 1
	}
	return record
}

// vacant reports whether this gateway is to write a claim now. live are the gateways
// that have written their record lately.
func (o *poolOwner) vacant(live []spool.NodeID) bool {
	now := o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if now < o.claimedAt+claimPause || now < o.promisedUntil {
		return false
	}
	if o.owns() {
		// The record must say whether the owner before may still grant, and which
		// reserve this one holds.
		if o.grants() && (len(o.claim.After) > 0 || o.claim.Generation != o.reserve.Generation()) {
			o.claimedAt = now
			return true
		}
		return false
	}
	restarted := o.claim.Node == o.self.Node
	silent := o.silentSince != 0 && now-o.silentSince >= suspectAfter
	switch {
	case o.epoch == 0, restarted, silent, o.gone[o.claim.Lifetime]:
		if o.vacantSince == 0 {
			o.vacantSince = now
		}
	default:
		o.vacantSince = 0
		return false
	}
	delay := candidateDelay * clock.Millis(o.rank(live))
	if o.epoch != 0 {
		// The node of the previous owner comes first when it is back.
		delay += candidateDelay
	}
	if !restarted && now-o.vacantSince < delay {
		return false
	}
	if restarted {
		o.gone[o.claim.Lifetime] = true
	}
	o.claimedAt = now
	return true
}

// rank counts the members that come before this one as candidates. The present
// owner is none.
func (o *poolOwner) rank(live []spool.NodeID) (before int) {
	own := candidateScore(o.self.Node)
	for _, other := range live {
		if other != o.claim.Node && other != o.self.Node && candidateScore(other) > own {
			before++
		}
	}
	return before
}

func candidateScore(node spool.NodeID) uint64 {
	return xxhash.Sum64String(ownerKey + "\x00" + string(node))
}

// handOver names another gateway as the owner, and tries until that is written. This
// one grants until the other asks it to stop: while the store takes no record, the
// pools keep their owner.
func (o *poolOwner) handOver(ctx context.Context, candidates func() []claimRecord) {
	avoid := map[string]bool{}
	for o.mayGrant() {
		next := successor(candidates(), avoid)
		if next.Lifetime == "" {
			return
		}
		if o.isLeaving(ctx, next) {
			avoid[next.Lifetime] = true
			continue
		}
		next.After, next.Generation = []ownerRef{o.self.ref()}, o.generation()+1
		err := o.write(ctx, next)
		pause := retryPause
		switch {
		case err == nil:
			o.nudge()
			return
		case errors.Is(err, spool.ErrMoved):
			o.reread()
			pause = movedPause
		default:
			o.log.Warn("handover was not written", zap.String("to", string(next.Node)), zap.Error(err))
		}
		if !clock.Pause(ctx, pause) {
			return
		}
	}
}

func (o *poolOwner) generation() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.claim.Generation
}

// isOwner reports whether the newest claim is this gateway's.
func (o *poolOwner) isOwner() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owns()
}

func (o *poolOwner) mayGrant() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.grants()
}

// write makes a claim the newest one, unless there are records that this gateway has
// not read.
func (o *poolOwner) write(ctx context.Context, claim claimRecord) error {
	value, err := json.Marshal(claim)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	return o.store.AppendKeyedAt(ctx, spool.TopicMembers, ownerKey, value, o.position())
}

// isLeaving reports whether a gateway stops as well, or does not answer. Its record
// does not say so while the store is away.
func (o *poolOwner) isLeaving(ctx context.Context, candidate claimRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	reply, err := o.ask(ctx, candidate.Address, aliveRequest{})
	return err != nil || reply.Leaving || reply.Lifetime != candidate.Lifetime
}

// successor returns the first candidate of the gateways that are given, without those
// to avoid.
func successor(candidates []claimRecord, avoid map[string]bool) (best claimRecord) {
	for _, candidate := range candidates {
		if avoid[candidate.Lifetime] {
			continue
		}
		if best.Node == "" || candidateScore(candidate.Node) > candidateScore(best.Node) {
			best = candidate
		}
	}
	return best
}
