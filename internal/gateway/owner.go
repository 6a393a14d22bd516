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
	// ownerKey is the key, in the member topic, of the claim on the pools of all
	// accounts. The epoch of a claim is the offset of its record plus 1.
	ownerKey = "limitOwner"
	// ownerAuthority is how long an owner may grant tokens after a confirmation by the
	// store or by the votes of all gateways in contact. A gateway that has voted does
	// not grant or claim for as long. An owner that disappears without a trace is
	// replaced after this time.
	ownerAuthority = clock.Second
	// maxVotedAuthority bounds how long an owner may grant on votes alone. A new owner
	// waits as long if an earlier owner may not have asked it for a vote. It covers
	// most outages of the store.
	maxVotedAuthority = 10 * clock.Second
)

// claimRecord is the value of ownerKey. A gateway writes one for itself, or for its
// successor when it shuts down. The named gateway asks the earlier owner to stop
// granting and to hand its pool levels over. A record that the store executes long
// after it was sent is therefore harmless.
type claimRecord struct {
	Node    spool.NodeID `json:"node"`
	Address string       `json:"address"`
	// Lifetime identifies the incarnation, which differs for each process of a node.
	Incarnation string `json:"lifetime"`
	// After lists the earlier owners that may still grant. Once they no longer can,
	// the record is written again without them.
	EarlierOwners []ownerRef `json:"after,omitempty"`
	// Generation is the generation of the budget reserve that this owner holds unless
	// it inherits one. It is either the inherited one or greater than that of the
	// previous claim, which the condition of the append ensures.
	Generation int `json:"generation,omitempty"`
}

// ownerRef identifies the process of an owner.
type ownerRef struct {
	Address     string `json:"address"`
	Incarnation string `json:"lifetime"`
}

func (c claimRecord) ref() ownerRef { return ownerRef{Address: c.Address, Incarnation: c.Incarnation} }

// poolOwner tracks which gateway owns the pools of the account limits, and claims them
// for this gateway when nobody else does. It is safe for concurrent use.
type poolOwner struct {
	self      claimRecord
	bootClock clock.Clock
	store     spool.Store
	log       *zap.Logger
	// accounts returns the accounts that have a limit.
	accounts func() []spool.AccountID
	// pollMembersEverywhere makes every gateway read the member topic at once.
	// pollMembers does so on this gateway only. queryPeer queries the gateway at an
	// address.
	pollMembersEverywhere func()
	pollMembers           func()
	queryPeer             func(ctx context.Context, address string, request aliveRequest) (aliveReply, error)

	mu sync.Mutex
	// claim is the newest claim, at offset epoch - 1. epoch is 0 while there is none.
	claim claimRecord
	epoch spool.Epoch
	// firstEpoch is the epoch of the first claim that named the current owner. It and
	// the pools stay the same while the owner repeats its claim.
	firstEpoch spool.Epoch
	// inherited holds the pool levels left by the previous owner; nil if unknown.
	inherited json.RawMessage
	// grantsAllowedAt is when the authority of the earlier owners has certainly ended;
	// 0 once they are known to have stopped granting.
	grantsAllowedAt clock.Millis
	// earlierOwners holds the earlier owners that may still grant, by incarnation.
	earlierOwners map[string]ownerRef
	// yieldedTo is the epoch of the newest claim in favor of which this gateway has
	// stopped granting.
	yieldedTo spool.Epoch
	// grantedEpoch is the newest firstEpoch under which this gateway may have granted;
	// 0 for none.
	grantedEpoch spool.Epoch
	// confirmedAt is when the last read was sent that found the claim to be the
	// newest.
	confirmedAt clock.Millis
	// votedAt is when the last vote requests were sent to which all gateways in
	// contact agreed.
	votedAt clock.Millis
	// allVoted reports whether all gateways agreed to the last vote requests.
	allVoted bool
	// voteExpiresAt is when this gateway's last vote for another owner expires.
	voteExpiresAt clock.Millis
	// ownerContactAt is when the last query was sent that the current owner answered;
	// 0 for none.
	ownerContactAt clock.Millis
	// contacts holds, by address, when another gateway last queried this one.
	contacts map[string]clock.Millis
	// reserveUnused reports whether the current owner had granted nothing from its
	// reserve when it last answered, and has received no vote of this gateway since.
	reserveUnused bool
	// unansweredSince is the time of the first unanswered query to the owner since its
	// last answer; 0 for none.
	unansweredSince clock.Millis
	// answeredAt is when the owner last answered.
	answeredAt clock.Millis
	// endedIncarnations holds the incarnations of owners whose process has provably
	// ended.
	endedIncarnations map[string]bool
	// vacantSince is when the pools were first found to have no owner; 0 while they
	// have one.
	vacantSince clock.Millis
	lastClaimAt clock.Millis
	// retryPending reports whether the claim decision is repeated after the next read
	// of the topic.
	retryPending bool
	// wake receives a signal when the claim decision must be made again.
	wake chan struct{}
	// readPosition returns the offset after the last record read from the member
	// topic.
	readPosition func() int64
	// reserve is the budget reserve that this gateway holds as the owner; nil while it
	// does not own the pools.
	reserve *spend.Reserve
	// releasedReserve is the reserve that this gateway held last and has not handed
	// over yet; nil for none.
	releasedReserve *spend.Reserve
}

var _ quota.Streams = (*poolOwner)(nil)

func newPoolOwner(settings spool.GatewaySettings, incarnation string, store spool.Store, bootClock clock.Clock, queryPeer func(ctx context.Context, address string, request aliveRequest) (aliveReply, error), log *zap.Logger) *poolOwner {
	self := claimRecord{Node: settings.Node, Address: settings.ControlListen, Incarnation: incarnation}
	return &poolOwner{self: self, bootClock: bootClock, store: store, queryPeer: queryPeer, log: log, lastClaimAt: -minClaimInterval, endedIncarnations: map[string]bool{}, wake: make(chan struct{}, 1), readPosition: func() int64 { return 0 }, contacts: map[string]clock.Millis{}}
}

// Epoch implements quota.Streams.
func (o *poolOwner) Epoch(spool.Stream) (spool.Epoch, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.firstEpoch, o.canGrantLocked()
}

// canGrantLocked reports whether this gateway may grant: its claim is the newest, it
// has not yielded to a newer one, the earlier owners can no longer grant, and it has
// no unexpired vote for another owner. If it may grant and holds no reserve, it
// creates one. The caller holds mu.
func (o *poolOwner) canGrantLocked() bool {
	now := o.bootClock.Now()
	if !o.isOwnerLocked() || o.yieldedTo > o.epoch || now < o.grantsAllowedAt || now < o.voteExpiresAt {
		return false
	}
	o.grantedEpoch = o.firstEpoch
	if o.reserve == nil {
		o.reserve = spend.NewReserve(now, o.claim.Generation, nil)
	}
	return true
}

func (o *poolOwner) isOwnerLocked() bool {
	return o.epoch != 0 && o.claim.Node == o.self.Node && o.claim.Incarnation == o.self.Incarnation
}

// Confirmed implements quota.Streams.
func (o *poolOwner) ConfirmedUntil(spool.Stream) (clock.Millis, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.authorityStartLocked(), o.canGrantLocked()
}

// authorityStartLocked returns the instant from which the owner may grant for
// ownerAuthority.
func (o *poolOwner) authorityStartLocked() clock.Millis {
	return max(o.confirmedAt, min(o.votedAt, o.confirmedAt+maxVotedAuthority-ownerAuthority))
}

// Inherited implements quota.Streams.
func (o *poolOwner) HandoverData(_ spool.Stream, epoch spool.Epoch) json.RawMessage {
	o.mu.Lock()
	defer o.mu.Unlock()
	if epoch != o.firstEpoch {
		return nil
	}
	// The epoch becomes visible only after the wait for the earlier owners, so the
	// inherited levels no longer change.
	return o.inheritedLevels(o.inherited)
}

// OwnerOf implements quota.Streams.
func (o *poolOwner) OwnerOf(spool.Stream) (spool.NodeID, string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.claim.Node, o.claim.Address, o.epoch != 0
}

// observeClaim applies the record of ownerKey at an offset. It ignores records that
// are not newer than the current claim.
func (o *poolOwner) observeClaim(value []byte, offset int64) {
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
	previous, known := o.claim, o.epoch != 0
	if known && record.Incarnation == previous.Incarnation {
		// The owner has repeated its claim. The earlier owners stay the same.
		o.claim, o.epoch = record, epoch
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
	o.claim, o.epoch, o.firstEpoch, o.unansweredSince, o.vacantSince, o.ownerContactAt = record, epoch, epoch, 0, 0, 0
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

// takeoverWaitLocked returns how long the earlier owners may still grant. An owner
// asks every gateway that it has answered recently for a vote, so ownerAuthority is
// enough for a gateway in contact with it. Otherwise the wait is maxVotedAuthority.
func (o *poolOwner) takeoverWaitLocked(previous string) clock.Millis {
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
// gateway sent within contactTimeout.
func (o *poolOwner) isInContactLocked() bool {
	return o.ownerContactAt != 0 && o.bootClock.Now()-o.ownerContactAt <= contactTimeout
}

// recordConfirmation records that the topic has been read up to its end as of sentAt.
func (o *poolOwner) recordConfirmation(sentAt clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.retryPending || o.confirmedAt == 0 {
		o.retryPending = false
		signal(o.wake)
	}
	o.confirmedAt = max(o.confirmedAt, sentAt)
}

// recordLost records that the owner did not answer.
func (o *poolOwner) recordLost(owner spool.NodeID) { o.recordSilent(owner, o.bootClock.Now()) }

// recordSilent records that the owner did not answer a query sent at sentAt.
func (o *poolOwner) recordSilent(owner spool.NodeID, sentAt clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if owner == o.claim.Node && o.unansweredSince == 0 {
		o.unansweredSince = sentAt
	}
}

func (o *poolOwner) recordAnswer(owner spool.NodeID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if owner == o.claim.Node {
		o.unansweredSince, o.answeredAt = 0, o.bootClock.Now()
	}
}

// inheritedLevels returns the pool levels that an owner starts with. A pool that the
// previous owner did not report starts empty.
func (o *poolOwner) inheritedLevels(inherited json.RawMessage) json.RawMessage {
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
