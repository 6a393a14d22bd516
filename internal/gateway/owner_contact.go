package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/baobabspool/baobabspool/pkg/candidates"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spend"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// contactInterval is the time after which a gateway queries the owner again to stay
	// in contact. While the last query that the owner answered was sent at most
	// contactTimeout ago, the gateway relies on the owner to ask for its vote. The
	// owner does so for every gateway whose last query arrived at most contactRetention
	// ago, which is the longer time.
	contactInterval  = clock.Second
	contactTimeout   = 4 * clock.Second
	contactRetention = 5 * clock.Second
	// voteRequestDelay is the age of the last confirmation by the store at which an
	// owner requests votes.
	voteRequestDelay = 550 * clock.Millis(1)
	// voteInterval is the age of the last round in which all gateways in contact voted at
	// which the owner requests votes again. A round that fails then still leaves time for
	// another one before the authority ends.
	voteInterval = 350 * clock.Millis(1)
	// probeInterval is the age of the owner's last answer at which one of the first
	// watchers candidates queries it again, so that the loss of an owner is noticed soon
	// without a query of each gateway. probeTimeout bounds one query.
	probeInterval = 300 * clock.Millis(1)
	watchers      = 4
	probeTimeout  = 400 * clock.Millis(1)
	// rankInterval is the time between two computations of the rank of this gateway.
	rankInterval = clock.Second
)

// recordContact records that the owner of epoch answered a query sent at sentAt. unused
// is the owner's statement that it has granted nothing from its reserve. It is ignored
// if the query was sent while a vote of this gateway was valid, because the owner may
// then grant from the reserve at any moment.
func (o *poolOwnership) recordContact(epoch spool.Epoch, sentAt clock.Millis, unused bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.epoch == epoch && !o.isOwnerLocked() {
		o.ownerContactAt = sentAt
		o.reserveUnused = unused && sentAt >= o.voteExpiresAt
	}
}

// isWatcher reports whether this gateway is one of the candidates that watch the owner.
// live is as in claimIfVacant.
func (o *poolOwnership) isWatcher(now clock.Millis, live func() []candidates.Candidate) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.rankedAt == 0 || now-o.rankedAt >= rankInterval {
		o.rank, o.rankedAt = o.rankLocked(live()), now
	}
	return o.rank < watchers
}

// probe queries the owner unless it has answered recently, and records whether it
// answered. live is as in claimIfVacant. If this gateway is the owner and waits for
// earlier owners, it asks those to stop granting instead, and takes over the pool levels
// and the reserve that they hand over.
func (o *poolOwnership) probe(ctx context.Context, live func() []candidates.Candidate) {
	now := o.bootClock.Now()
	interval := contactInterval
	if o.isWatcher(now, live) {
		interval = probeInterval
	}
	o.mu.Lock()
	claim, epoch := o.newestClaim, o.epoch
	var earlier []ownerRef
	if o.isOwnerLocked() && now < o.grantsAllowedAt {
		earlier = slices.Collect(maps.Values(o.earlierOwners))
	}
	due := epoch != 0 && !o.isOwnerLocked() && (now-o.answeredAt >= interval || now-o.ownerContactAt >= contactInterval)
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	for _, ref := range earlier {
		reply, ended, err := o.sendQuery(ctx, ref, aliveRequest{YieldEpoch: epoch})
		if ended || err == nil {
			o.removeEarlierOwner(epoch, ref.Incarnation, reply)
		}
	}
	if !due {
		return
	}
	reply, ended, err := o.sendQuery(ctx, claim.ref(), aliveRequest{})
	switch {
	case ended:
	case err != nil:
		o.recordLost(claim.Node, now)
	default:
		o.recordAnswer(claim.Node)
		o.recordContact(epoch, now, reply.ReserveUnused)
	}
}

// sendQuery queries an owner. ended reports that the process of the owner has ended,
// because another process answers at its address. sendQuery records that, and err is then
// nil. It also records whether the address refuses connections: the process has ended
// then, or it is cut off and grants until its authority ends.
func (o *poolOwnership) sendQuery(ctx context.Context, owner ownerRef, request aliveRequest) (reply aliveReply, ended bool, err error) {
	request.Address = o.self.Address
	reply, err = o.queryPeer(ctx, owner.Address, request)
	if errors.Is(err, unix.ECONNREFUSED) {
		o.markRefusing(owner.Incarnation)
	}
	ended = err == nil && reply.Incarnation != owner.Incarnation
	if ended {
		o.markEnded(owner.Incarnation)
		return aliveReply{}, true, nil
	}
	return reply, false, err
}

// removeEarlierOwner ends the wait for an earlier owner that has stopped granting.
// handover holds the pool levels and the reserve that it handed over; either may be
// missing. When no earlier owner is left, this gateway may grant at once. A call for
// another epoch than the current one, or after the wait, has no effect.
func (o *poolOwnership) removeEarlierOwner(epoch spool.Epoch, incarnation string, handover aliveReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.epoch != epoch || o.bootClock.Now() >= o.grantsAllowedAt {
		return
	}
	delete(o.earlierOwners, incarnation)
	if handover.PoolLevels != nil {
		o.inherited = handover.PoolLevels
	}
	if handover.ReserveSpent != nil {
		o.reserve = spend.NewReserve(o.bootClock.Now(), handover.Generation, handover.ReserveSpent)
	}
	if len(o.earlierOwners) == 0 {
		o.grantsAllowedAt = 0
		signal(o.wake)
	}
}

// voteLocked decides on a vote request and reports whether this gateway votes for the
// sender. After a vote it neither grants nor claims the pools for ownerAuthority. It
// does not vote if it has read a newer claim than that of the sender. The caller holds
// mu.
func (o *poolOwnership) voteLocked(request aliveRequest) bool {
	if request.VoteEpoch == 0 || request.VoteEpoch < o.epoch {
		return false
	}
	o.voteExpiresAt = max(o.voteExpiresAt, o.bootClock.Now()+ownerAuthority)
	o.reserveUnused = false
	return true
}

// requestVotes asks the gateways in contact for their votes if the store has not
// confirmed the claim of this gateway for voteRequestDelay. Without the votes, those
// gateways might soon claim the pools. A gateway whose process has ended needs no vote:
// after a restart it is not in contact with this owner and waits for maxVotedAuthority
// before it grants. A refused connection shows that only while fewer than half of the
// gateways refuse: a gateway that is cut off from the others is refused by all of them,
// and their processes may claim the pools meanwhile. If the authority of this gateway has
// already ended, it requests no votes.
func (o *poolOwnership) requestVotes(ctx context.Context) {
	now := o.bootClock.Now()
	o.mu.Lock()
	epoch := o.epoch
	due := o.prepareToGrantLocked() && now-o.confirmedAt >= voteRequestDelay && now < o.authorityStartLocked()+ownerAuthority &&
		(o.votedAt <= o.confirmedAt || now-o.votedAt >= voteInterval)
	addresses := o.contactsLocked(now)
	o.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	answers := make(chan voteAnswer, len(addresses))
	for _, address := range addresses {
		go func() {
			reply, err := o.queryPeer(ctx, address, aliveRequest{VoteEpoch: epoch})
			answers <- voteAnswer{address: address, voted: err == nil && reply.Voted, refused: errors.Is(err, unix.ECONNREFUSED)}
		}()
	}
	var missing, refused []string
	for range addresses {
		switch answer := <-answers; {
		case answer.refused:
			refused = append(refused, answer.address)
		case !answer.voted:
			missing = append(missing, answer.address)
		}
	}
	if 2*len(refused) >= len(addresses) {
		missing = append(missing, refused...)
	}
	allVoted := len(missing) == 0
	o.mu.Lock()
	defer o.mu.Unlock()
	if allVoted != o.allVoted {
		o.allVoted = allVoted
		o.log.Info("gateways in contact promise not to take the limits over", zap.Int64("epoch", int64(epoch)),
			zap.Int("asked", len(addresses)), zap.Strings("missing", missing))
	}
	if allVoted && o.epoch == epoch {
		o.votedAt = max(o.votedAt, now)
	}
}

// voteAnswer is the answer of the gateway at an address to a request for its vote.
type voteAnswer struct {
	address string
	voted   bool
	// refused reports that the address refused the connection.
	refused bool
}

// contactsLocked returns the addresses of the gateways that queried this one at most
// contactRetention ago, and removes the other addresses from contacts. The caller holds
// mu.
func (o *poolOwnership) contactsLocked(now clock.Millis) (addresses []string) {
	for address, at := range o.contacts {
		if now-at > contactRetention {
			delete(o.contacts, address)
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

// handleQuery answers a query of another gateway and records the contact. It decides on
// the vote if the query asks for one. If the query names a newer claim in YieldEpoch,
// this gateway first stops granting under earlier claims, and the answer carries its
// pool levels, which handOver returns, and its reserve.
func (o *poolOwnership) handleQuery(request aliveRequest, handOver func(stream spool.Stream, epoch spool.Epoch) json.RawMessage) aliveReply {
	reply := aliveReply{Incarnation: o.self.Incarnation}
	o.mu.Lock()
	// This call updates lastGrantingEpoch and the reserve, which are read below.
	o.prepareToGrantLocked()
	if request.Address != "" && request.Address != o.self.Address {
		o.contacts[request.Address] = o.bootClock.Now()
	}
	reply.Voted = o.voteLocked(request)
	reply.ReserveUnused = o.reserve != nil && o.reserve.Unused()
	epoch := o.lastGrantingEpoch
	o.yieldedTo = max(o.yieldedTo, request.YieldEpoch)
	if epoch < request.YieldEpoch {
		o.releaseReserveLocked()
	}
	// The gateway that receives the reserve may grant from it, so the reserve is handed
	// over only once.
	if o.releasedReserve != nil && epoch < request.YieldEpoch {
		reply.Generation, reply.ReserveSpent = o.releasedReserve.Generation(), o.releasedReserve.Spent()
		o.releasedReserve = nil
	}
	handedOver := epoch != 0 && epoch < request.YieldEpoch
	if handedOver {
		o.lastGrantingEpoch = 0
	}
	o.mu.Unlock()
	if handedOver {
		reply.PoolLevels = handOver(spool.ProgramStream(0), epoch)
	}
	return reply
}

// markRefusing records that the address of an owner refuses connections.
func (o *poolOwnership) markRefusing(incarnation string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refusing = incarnation
}

// markEnded records that the process of an incarnation has ended, so that nobody waits
// for it.
func (o *poolOwnership) markEnded(incarnation string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.endedIncarnations[incarnation] = true
}
