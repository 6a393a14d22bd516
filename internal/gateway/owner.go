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
	// ownerKey is the key of the claim on the pools of all accounts, in the members'
	// topic. The offset of the record is the epoch of the claim.
	ownerKey = "limitOwner"
	// ownerAuthority is how long an owner grants after it was confirmed, by the store or
	// by the promises of all gateways, and how long a gateway that promised does not
	// grant itself. An owner that is gone without a trace is replaced after it.
	ownerAuthority = clock.Second
	// strangerWait is how long an owner may grant by promises alone, and how long a new
	// owner waits that the owner before may not have asked for a promise. It bridges
	// most outages of the store.
	maxVotedAuthority = 10 * clock.Second
)

// claimRecord is the value of the owner's key. A gateway writes one for itself, or,
// when it stops, for the gateway that is to follow it. The gateway that is named asks
// the owner before it to stop granting and for what its pools hold, so a record that
// the store executes long after it was sent does no harm.
type claimRecord struct {
	Node    spool.NodeID `json:"node"`
	Address string       `json:"address"`
	// Lifetime tells the processes of a node apart.
	Lifetime string `json:"lifetime"`
	// After are the owners before that may still grant. The record is written again
	// without them when they do not.
	After []ownerRef `json:"after,omitempty"`
	// Generation is that of the reserve of budgets that this owner holds unless it
	// inherits one. It exceeds that of the claim before, which the append's condition
	// ensures, or is the inherited one.
	Generation int `json:"generation,omitempty"`
}

// ownerRef names the process of an owner.
type ownerRef struct {
	Address  string `json:"address"`
	Lifetime string `json:"lifetime"`
}

func (c claimRecord) ref() ownerRef { return ownerRef{Address: c.Address, Lifetime: c.Lifetime} }

// poolOwner follows which gateway owns the pools of the accounts' limits, and
// claims them for this one when no other does. It is safe for concurrent use.
type poolOwner struct {
	self      claimRecord
	bootClock clock.Clock
	store     spool.Store
	log       *zap.Logger
	// accounts returns the accounts with a limit; ask puts a question to
	// the gateway at an address.
	accounts func() []spool.AccountID
	// nudge makes every gateway read the members' topic now, reread this one.
	pollMembersEverywhere func()
	pollMembers           func()
	queryPeer             func(ctx context.Context, address string, request aliveRequest) (aliveReply, error)

	mu sync.Mutex
	// claim is the newest record, at offset epoch - 1; epoch is 0 without one.
	claim claimRecord
	epoch spool.Epoch
	// tenure is the epoch in which the claim's gateway was first named; it stays the
	// same while that gateway repeats its claim, and so do its pools.
	firstEpoch spool.Epoch
	// inherited are the levels that the previous owner left; nil when not known.
	inherited json.RawMessage
	// grantsFrom is when the authority of the previous owner has surely ended; 0 once
	// it is known to grant no more.
	grantsAllowedAt clock.Millis
	// waitsFor holds the owners before that may still grant, by lifetime.
	earlierOwners map[string]ownerRef
	// yieldedTo is the epoch in whose favour this gateway has stopped granting.
	yieldedTo spool.Epoch
	// granted is the newest tenure in which this gateway may have granted; 0 for none.
	grantedEpoch spool.Epoch
	// confirmedAt is when the last read that found the claim newest was sent.
	confirmedAt clock.Millis
	// promisedAt is when the last questions were sent that all gateways answered with a
	// promise.
	votedAt clock.Millis
	// promised is the outcome of the last such questions.
	allVoted bool
	// promisedUntil is the end of the last promise to another owner.
	voteExpiresAt clock.Millis
	// contactAt is when the last question was sent that the owner of the newest claim
	// answered; 0 for none.
	ownerContactAt clock.Millis
	// contacts holds when the gateways that answer at an address last asked this one.
	contacts map[string]clock.Millis
	// unused says that the owner of the newest claim had granted nothing of its reserve
	// when it answered last, and has not been promised anything since.
	reserveUnused bool
	// silentSince is the first unanswered call to the owner since its last answer; 0
	// for none.
	unansweredSince clock.Millis
	// answeredAt is when the owner last answered.
	answeredAt clock.Millis
	// gone are the lifetimes of owners whose process has provably ended.
	ended map[string]bool
	// vacantSince is when the pools were first found without an owner; 0 while they
	// have one.
	vacantSince clock.Millis
	lastClaimAt clock.Millis
	// pending says that a claim waits for the next read of the topic.
	retryPending bool
	// changed holds a signal when there is something to decide about the claim.
	wake chan struct{}
	// position returns the end of the members' topic as far as it was read.
	readPosition func() int64
	// reserve is what this gateway holds of the programs' budgets as the owner; nil
	// while it does not own the pools.
	reserve *spend.Reserve
	// left is the reserve that this gateway held last; nil for none.
	releasedReserve *spend.Reserve
}

var _ quota.Streams = (*poolOwner)(nil)

func newPoolOwner(settings spool.GatewaySettings, incarnation string, store spool.Store, bootClock clock.Clock, queryPeer func(ctx context.Context, address string, request aliveRequest) (aliveReply, error), log *zap.Logger) *poolOwner {
	self := claimRecord{Node: settings.Node, Address: settings.ControlListen, Lifetime: incarnation}
	return &poolOwner{self: self, bootClock: bootClock, store: store, queryPeer: queryPeer, log: log, lastClaimAt: -minClaimInterval, ended: map[string]bool{}, wake: make(chan struct{}, 1), readPosition: func() int64 { return 0 }, contacts: map[string]clock.Millis{}}
}

// Epoch implements quota.Streams.
func (o *poolOwner) Epoch(spool.Stream) (spool.Epoch, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.firstEpoch, o.canGrantLocked()
}

// grants reports whether this gateway may grant: its claim is the newest, and the
// owner before it has ended or its authority has.
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
	return o.epoch != 0 && o.claim.Node == o.self.Node && o.claim.Lifetime == o.self.Lifetime
}

// Confirmed implements quota.Streams.
func (o *poolOwner) Confirmed(spool.Stream) (clock.Millis, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.authorityStartLocked(), o.canGrantLocked()
}

// confirmed returns the instant from which on the owner grants for ownerAuthority.
func (o *poolOwner) authorityStartLocked() clock.Millis {
	return max(o.confirmedAt, min(o.votedAt, o.confirmedAt+maxVotedAuthority-ownerAuthority))
}

// Inherited implements quota.Streams.
func (o *poolOwner) Inherited(_ spool.Stream, epoch spool.Epoch) json.RawMessage {
	o.mu.Lock()
	defer o.mu.Unlock()
	if epoch != o.firstEpoch {
		return nil
	}
	// The wait for the previous owner is over before the epoch is shown.
	return o.inheritedLevels(o.inherited)
}

// OwnerOf implements quota.Streams.
func (o *poolOwner) OwnerOf(spool.Stream) (spool.NodeID, string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.claim.Node, o.claim.Address, o.epoch != 0
}

// observe takes the newest record of the owner's key in.
func (o *poolOwner) observeClaim(value []byte, offset int64) {
	var record claimRecord
	if err := json.Unmarshal(value, &record); err != nil {
		o.log.Warn("claim is left out", zap.Int64("offset", offset), zap.Error(err))
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	epoch := spool.Epoch(offset + 1)
	if epoch <= o.epoch {
		return
	}
	previous, known := o.claim, o.epoch != 0
	if known && record.Lifetime == previous.Lifetime {
		// The owner repeats its claim; what it waits for stays the same.
		o.claim, o.epoch = record, epoch
		return
	}
	o.earlierOwners = map[string]ownerRef{}
	for _, ref := range record.After {
		if !o.ended[ref.Lifetime] && ref.Lifetime != o.self.Lifetime {
			o.earlierOwners[ref.Lifetime] = ref
		}
	}
	wait := o.takeoverWaitLocked(previous.Lifetime)
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

// waitTime returns how long the owners before may grant from now on. An owner asks
// every gateway that it has lately answered for a promise; another one waits longer.
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

// inTouch reports whether the owner has lately answered this gateway.
func (o *poolOwner) isInContactLocked() bool {
	return o.ownerContactAt != 0 && o.bootClock.Now()-o.ownerContactAt <= contactTimeout
}

// confirm says that a read sent at the given time has been taken in.
func (o *poolOwner) recordConfirmation(sentAt clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.retryPending || o.confirmedAt == 0 {
		o.retryPending = false
		signal(o.wake)
	}
	o.confirmedAt = max(o.confirmedAt, sentAt)
}

// lost says that the owner did not answer, answered that it did.
func (o *poolOwner) recordLost(owner spool.NodeID) { o.recordSilent(owner, o.bootClock.Now()) }

// silent says that the owner did not answer a question that was sent at a time.
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

// levels are what the pools hold whose owner grants no more. A pool that it did not
// name holds nothing.
func (o *poolOwner) inheritedLevels(inherited json.RawMessage) json.RawMessage {
	levels := map[spool.AccountID]float64{}
	for _, id := range o.accounts() {
		levels[id] = 0
	}
	if inherited != nil {
		if err := json.Unmarshal(inherited, &levels); err != nil {
			o.log.Warn("levels of the pools cannot be read", zap.Error(err))
		}
	}
	data, err := json.Marshal(levels)
	if err != nil {
		// The keys are strings and the values numbers, so this does not happen.
		return nil
	}
	return data
}
