package gateway

import (
	"context"
	"encoding/json"
	"sync"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/quota"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spend"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// ownerKey is the key, in the member topic, of the claim on the token pools of all
	// accounts. The epoch of a claim is the offset of its record plus 1, so 0 means
	// that there is no claim.
	ownerKey = "limitOwner"
	// ownerAuthority is how long an owner may grant tokens after the store has
	// confirmed its claim, or after all gateways in contact with it have voted for it.
	// A gateway that has voted neither grants nor claims the pools for the same time.
	// An owner that disappears without a trace can be replaced after this time.
	ownerAuthority = clock.Second
	// maxVotedAuthority bounds the time between the last confirmation by the store and
	// the end of an owner's authority, however many votes follow. A new owner waits for
	// this time if an earlier owner may have continued to grant without its vote. It is
	// longer than most outages of the store.
	maxVotedAuthority = 10 * clock.Second
)

// claimRecord is the value of ownerKey. A gateway writes one that names itself, or one
// that names its successor when it shuts down. The named gateway asks the earlier owner
// to stop granting and to hand over its pool levels; without an answer, it waits until
// the earlier owner's authority has ended. The earlier owner continues to grant until
// it is asked or reads the record, so it is harmless if the store executes the record
// long after it was sent.
//
// The JSON names lifetime and after, here and in ownerRef, are kept because running
// gateways and stored records use them.
type claimRecord struct {
	Node    spool.NodeID `json:"node"`
	Address string       `json:"address"`
	// Incarnation differs for each process of a node.
	Incarnation string `json:"lifetime"`
	// EarlierOwners lists the earlier owners that may still grant. When none of them
	// can grant any longer, the named gateway writes its claim again without them.
	EarlierOwners []ownerRef `json:"after,omitempty"`
	// Generation is the generation of the budget reserve that the named gateway holds.
	// Its first claim names the generation of the previous claim plus 1, or 0 if there
	// is none. If the gateway then takes over the reserve of the previous owner, it
	// repeats the claim with the generation of that reserve. Two owners cannot name the
	// same new generation, because a claim is written only if its writer has read all
	// earlier ones.
	Generation int `json:"generation,omitempty"`
}

// ownerRef identifies the process of an owner and the address where it answers queries.
type ownerRef struct {
	Address     string `json:"address"`
	Incarnation string `json:"lifetime"`
}

func (c claimRecord) ref() ownerRef { return ownerRef{Address: c.Address, Incarnation: c.Incarnation} }

// poolOwnership tracks which gateway owns the token pools of the account limits. It
// claims them for this gateway when they have no owner that answers. It is safe for
// concurrent use.
type poolOwnership struct {
	// self is a claim that names this gateway, without earlier owners and generation.
	self      claimRecord
	bootClock clock.Clock
	store     spool.Store
	log       *zap.Logger
	// accounts returns the accounts that have a limit.
	accounts func() []spool.AccountID
	// pollMembersEverywhere makes all known gateways read the member topic at once.
	// pollMembers does so on this gateway only. queryPeer sends a query to the gateway
	// at an address.
	pollMembersEverywhere func()
	pollMembers           func()
	queryPeer             func(ctx context.Context, address string, request aliveRequest) (aliveReply, error)

	mu sync.Mutex
	// newestClaim is the newest claim record that this gateway has read, whichever
	// gateway it names. epoch is the epoch of that claim; 0 while there is no claim.
	newestClaim claimRecord
	epoch       spool.Epoch
	// firstEpoch is the epoch of the first claim that named the current owner. When the
	// owner repeats its claim, epoch increases, and firstEpoch and the pools stay the
	// same.
	firstEpoch spool.Epoch
	// inherited holds the pool levels that a previous owner has handed over, as JSON;
	// nil if none has.
	inherited json.RawMessage
	// grantsAllowedAt is the time from which on the earlier owners cannot grant any
	// longer, so that the owner may. It is 0 if all of them are known to have stopped
	// before that time.
	grantsAllowedAt clock.Millis
	// earlierOwners holds, by incarnation, the owners before the current one that may
	// still grant. It does not contain this process.
	earlierOwners map[string]ownerRef
	// yieldedTo is the highest epoch for which another gateway has asked this one to
	// stop granting; 0 for none. This gateway does not grant under a claim with a lower
	// epoch.
	yieldedTo spool.Epoch
	// lastGrantingEpoch is the newest firstEpoch under which this gateway may have granted
	// and whose pools it has not handed over; 0 for none.
	lastGrantingEpoch spool.Epoch
	// confirmedAt is when the newest read of the store that found no newer claim than
	// newestClaim was sent, by this gateway or another.
	confirmedAt clock.Millis
	// votedAt is when the newest round of vote requests started in which every gateway
	// in contact voted for this one.
	votedAt clock.Millis
	// allVoted is the result of the last round of vote requests. It limits the log to
	// changes of that result.
	allVoted bool
	// voteExpiresAt is when the last vote of this gateway expires; 0 for none. Until
	// then this gateway neither grants nor claims the pools.
	voteExpiresAt clock.Millis
	// ownerContactAt is when this gateway sent the last query that the current owner
	// has answered; 0 for none.
	ownerContactAt clock.Millis
	// contacts holds, by address, the time of the last query from each other gateway.
	contacts map[string]clock.Millis
	// reserveUnused reports whether the current owner is known to have granted nothing
	// from its reserve: it said so when it last answered, and this gateway has not
	// voted for it since.
	reserveUnused bool
	// unansweredSince is the time of the first query to the owner that was not
	// answered, of those after its last answer; 0 for none.
	unansweredSince clock.Millis
	// answeredAt is when the last answer of the owner arrived; 0 for none.
	answeredAt clock.Millis
	// endedIncarnations holds the incarnations of owners whose process has certainly
	// ended: another process answered at their address, or their node is this one.
	endedIncarnations map[string]bool
	// refusing is the incarnation of the owner whose address refused a connection since its
	// last answer; empty for none. The pools can be claimed at once then, but the owner may
	// be cut off and still grant.
	refusing string
	// rank is the number of candidates that precede this gateway, computed at rankedAt; 0
	// before the first computation.
	rank     int
	rankedAt clock.Millis
	// vacantSince is when this gateway first found that the pools have no owner that
	// answers; 0 while they have one.
	vacantSince clock.Millis
	// lastClaimAt is when this gateway last decided to write a claim. It is
	// -minClaimInterval at first and after a conflicting write, so that the next claim
	// need not wait.
	lastClaimAt clock.Millis
	// retryPending is set after a conflicting write. The next read of the topic then
	// triggers a new decision whether to claim.
	retryPending bool
	// wake has capacity 1. A signal makes runPoolOwnership decide again whether to
	// claim.
	wake chan struct{}
	// readPosition returns the offset after the last record read from the member topic;
	// -1 before the first read.
	readPosition func() int64
	// reserve is the budget reserve that this gateway holds as the owner; nil if it
	// holds none. It is created when this gateway first may grant, or taken over from
	// the previous owner before that.
	reserve *spend.Reserve
	// releasedReserve is the last reserve that this gateway has stopped using and not
	// handed over yet; nil for none.
	releasedReserve *spend.Reserve
}

var _ quota.Streams = (*poolOwnership)(nil)

func newPoolOwnership(settings spool.GatewaySettings, incarnation string, store spool.Store, bootClock clock.Clock, queryPeer func(ctx context.Context, address string, request aliveRequest) (aliveReply, error), log *zap.Logger) *poolOwnership {
	self := claimRecord{Node: settings.Node, Address: settings.ControlListen, Incarnation: incarnation}
	return &poolOwnership{self: self, bootClock: bootClock, store: store, queryPeer: queryPeer, log: log, lastClaimAt: -minClaimInterval, endedIncarnations: map[string]bool{}, wake: make(chan struct{}, 1), readPosition: func() int64 { return 0 }, contacts: map[string]clock.Millis{}}
}

// Epoch implements quota.Streams. The second result is false unless this gateway may
// grant.
func (o *poolOwnership) Epoch(spool.Stream) (spool.Epoch, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.firstEpoch, o.prepareToGrantLocked()
}

// prepareToGrantLocked reports whether this gateway may grant, apart from the end of its
// authority: the newest claim names it, it was not asked to yield to a newer claim, the
// earlier owners can no longer grant, and its last vote for another owner has expired.
// If so, it also updates lastGrantingEpoch and, if this gateway holds no reserve, creates
// one of the generation that the claim names. The caller holds mu.
func (o *poolOwnership) prepareToGrantLocked() bool {
	now := o.bootClock.Now()
	if !o.isOwnerLocked() || o.yieldedTo > o.epoch || now < o.grantsAllowedAt || now < o.voteExpiresAt {
		return false
	}
	o.lastGrantingEpoch = o.firstEpoch
	if o.reserve == nil {
		o.reserve = spend.NewReserve(now, o.newestClaim.Generation, nil)
	}
	return true
}

// isOwnerLocked reports whether the newest claim names this process. An earlier process
// on the same node does not count as this one. The caller holds mu.
func (o *poolOwnership) isOwnerLocked() bool {
	return o.epoch != 0 && o.newestClaim.Node == o.self.Node && o.newestClaim.Incarnation == o.self.Incarnation
}

// ConfirmedUntil implements quota.Streams. The first result is the time up to which the
// store or the votes have confirmed the ownership, which is the start of the current
// authority. The second one is false unless this gateway may grant.
func (o *poolOwnership) ConfirmedUntil(spool.Stream) (clock.Millis, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.authorityStartLocked(), o.prepareToGrantLocked()
}

// authorityStartLocked returns the start of the current authority, which lasts
// ownerAuthority. It is the later of the last confirmation by the store and the last
// round in which all gateways in contact voted. Votes extend the authority to at most
// maxVotedAuthority after the confirmation. The caller holds mu.
func (o *poolOwnership) authorityStartLocked() clock.Millis {
	return max(o.confirmedAt, min(o.votedAt, o.confirmedAt+maxVotedAuthority-ownerAuthority))
}

// HandoverData implements quota.Streams. It returns the pool levels that this gateway
// starts with in the given epoch, or nil for an epoch other than the current one.
func (o *poolOwnership) HandoverData(_ spool.Stream, epoch spool.Epoch) json.RawMessage {
	o.mu.Lock()
	defer o.mu.Unlock()
	if epoch != o.firstEpoch {
		return nil
	}
	// Epoch returns true only when the wait for the earlier owners is over, so no other
	// levels can arrive after this call.
	return o.inheritedLevels(o.inherited)
}

// OwnerOf implements quota.Streams. The third result is false while there is no claim.
func (o *poolOwnership) OwnerOf(spool.Stream) (spool.NodeID, string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.newestClaim.Node, o.newestClaim.Address, o.epoch != 0
}

// observeClaim applies the claim record at an offset. It ignores a record that is not
// newer than newestClaim. If the record names another process than newestClaim, this
// gateway stops using its reserve and computes how long the new owner must wait for the
// earlier ones.
func (o *poolOwnership) observeClaim(value []byte, offset int64) {
	var record claimRecord
	if err := json.Unmarshal(value, &record); err != nil {
		o.log.Warn("malformed claim record was ignored", zap.Int64("offset", offset), zap.Error(err))
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	epoch := spool.Epoch(offset + 1)
	if epoch <= o.epoch {
		return
	}
	previous, known := o.newestClaim, o.epoch != 0
	if known && record.Incarnation == previous.Incarnation {
		// The owner has repeated its claim. earlierOwners and the wait for them stay
		// the same.
		o.newestClaim, o.epoch = record, epoch
		return
	}
	o.earlierOwners = map[string]ownerRef{}
	for _, ref := range record.EarlierOwners {
		if !o.endedIncarnations[ref.Incarnation] && ref.Incarnation != o.self.Incarnation {
			o.earlierOwners[ref.Incarnation] = ref
		}
	}
	wait := o.takeoverWaitLocked(previous.Incarnation)
	unused := o.reserveUnused && o.isInContactLocked()
	o.newestClaim, o.epoch, o.firstEpoch, o.unansweredSince, o.vacantSince, o.ownerContactAt = record, epoch, epoch, 0, 0, 0
	o.releaseReserveLocked()
	o.reserveUnused = false
	if unused && o.isOwnerLocked() {
		o.reserve = spend.NewReserve(o.bootClock.Now(), previous.Generation, nil)
	}
	o.inherited, o.grantsAllowedAt = nil, o.bootClock.Now()+wait
	if o.isOwnerLocked() {
		signal(o.wake)
	}
	o.log.Info("limit owner changes", zap.String("owner", string(record.Node)), zap.Int64("epoch", int64(epoch)),
		zap.Bool("waits", o.grantsAllowedAt > o.bootClock.Now()))
}

// takeoverWaitLocked returns how long the earlier owners may still grant. If only the
// previous owner may and it is in contact with this gateway, the result is
// ownerAuthority: an owner asks every gateway in contact for its vote, and this gateway
// does not grant while its own vote is valid. Otherwise the result is
// maxVotedAuthority. The caller holds mu.
func (o *poolOwnership) takeoverWaitLocked(previous string) clock.Millis {
	_, last := o.earlierOwners[previous]
	switch {
	case len(o.earlierOwners) == 0:
		return 0
	case len(o.earlierOwners) == 1 && last && o.isInContactLocked():
		return ownerAuthority
	}
	return maxVotedAuthority
}

// isInContactLocked reports whether the current owner has answered a query that this
// gateway sent at most contactTimeout ago. The caller holds mu.
func (o *poolOwnership) isInContactLocked() bool {
	return o.ownerContactAt != 0 && o.bootClock.Now()-o.ownerContactAt <= contactTimeout
}

// recordConfirmation records that this gateway has applied all records that were in the
// member topic at sentAt. After the first read, and after a conflicting write, it also
// triggers a new decision whether to claim.
func (o *poolOwnership) recordConfirmation(sentAt clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.retryPending || o.confirmedAt == 0 {
		o.retryPending = false
		signal(o.wake)
	}
	o.confirmedAt = max(o.confirmedAt, sentAt)
}

// recordLost records that the owner did not answer a call sent at sentAt. It ignores a
// gateway other than the current owner. The silence counts from the first such call, or
// from the last answer if that is later: a call fails only after its timeout, by which
// time the owner may have been silent for longer than suspectAfter.
func (o *poolOwnership) recordLost(owner spool.NodeID, sentAt clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if owner != o.newestClaim.Node {
		return
	}
	silentSince := max(sentAt, o.answeredAt)
	if o.unansweredSince == 0 || silentSince < o.unansweredSince {
		o.unansweredSince = silentSince
	}
}

// recordAnswer records that the owner has answered now. It ignores a gateway other than
// the current owner.
func (o *poolOwnership) recordAnswer(owner spool.NodeID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if owner == o.newestClaim.Node {
		o.unansweredSince, o.answeredAt, o.refusing = 0, o.bootClock.Now(), ""
	}
}

// inheritedLevels returns the pool levels that an owner starts with, as JSON. An
// account that inherited does not name starts with an empty pool.
func (o *poolOwnership) inheritedLevels(inherited json.RawMessage) json.RawMessage {
	levels := map[spool.AccountID]float64{}
	for _, id := range o.accounts() {
		levels[id] = 0
	}
	if inherited != nil {
		if err := json.Unmarshal(inherited, &levels); err != nil {
			o.log.Warn("inherited pool levels could not be decoded", zap.Error(err))
		}
	}
	data, err := json.Marshal(levels)
	if err != nil {
		// Marshaling a map of strings to finite numbers does not fail.
		return nil
	}
	return data
}
