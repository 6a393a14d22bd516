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
	strangerWait = 10 * clock.Second
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
	self  claimRecord
	clock clock.Clock
	store spool.Store
	log   *zap.Logger
	// accounts returns the accounts with a limit; ask puts a question to
	// the gateway at an address.
	accounts func() []spool.AccountID
	// nudge makes every gateway read the members' topic now, reread this one.
	nudge  func()
	reread func()
	ask    func(ctx context.Context, address string, request aliveRequest) (aliveReply, error)

	mu sync.Mutex
	// claim is the newest record, at offset epoch - 1; epoch is 0 without one.
	claim claimRecord
	epoch spool.Epoch
	// tenure is the epoch in which the claim's gateway was first named; it stays the
	// same while that gateway repeats its claim, and so do its pools.
	tenure spool.Epoch
	// inherited are the levels that the previous owner left; nil when not known.
	inherited json.RawMessage
	// grantsFrom is when the authority of the previous owner has surely ended; 0 once
	// it is known to grant no more.
	grantsFrom clock.Millis
	// waitsFor holds the owners before that may still grant, by lifetime.
	waitsFor map[string]ownerRef
	// yieldedTo is the epoch in whose favour this gateway has stopped granting.
	yieldedTo spool.Epoch
	// granted is the newest tenure in which this gateway may have granted; 0 for none.
	granted spool.Epoch
	// confirmedAt is when the last read that found the claim newest was sent.
	confirmedAt clock.Millis
	// promisedAt is when the last questions were sent that all gateways answered with a
	// promise.
	promisedAt clock.Millis
	// promised is the outcome of the last such questions.
	promised bool
	// promisedUntil is the end of the last promise to another owner.
	promisedUntil clock.Millis
	// contactAt is when the last question was sent that the owner of the newest claim
	// answered; 0 for none.
	contactAt clock.Millis
	// contacts holds when the gateways that answer at an address last asked this one.
	contacts map[string]clock.Millis
	// unused says that the owner of the newest claim had granted nothing of its reserve
	// when it answered last, and has not been promised anything since.
	unused bool
	// silentSince is the first unanswered call to the owner since its last answer; 0
	// for none.
	silentSince clock.Millis
	// answeredAt is when the owner last answered.
	answeredAt clock.Millis
	// gone are the lifetimes of owners whose process has provably ended.
	gone map[string]bool
	// vacantSince is when the pools were first found without an owner; 0 while they
	// have one.
	vacantSince clock.Millis
	claimedAt   clock.Millis
	// pending says that a claim waits for the next read of the topic.
	pending bool
	// changed holds a signal when there is something to decide about the claim.
	changed chan struct{}
	// position returns the end of the members' topic as far as it was read.
	position func() int64
	// reserve is what this gateway holds of the programs' budgets as the owner; nil
	// while it does not own the pools.
	reserve *spend.Reserve
	// left is the reserve that this gateway held last; nil for none.
	left *spend.Reserve
}

var _ quota.Streams = (*poolOwner)(nil)

func newPoolOwner(settings spool.GatewaySettings, lifetime string, store spool.Store, boot clock.Clock, ask func(ctx context.Context, address string, request aliveRequest) (aliveReply, error), log *zap.Logger) *poolOwner {
	self := claimRecord{Node: settings.Node, Address: settings.ControlListen, Lifetime: lifetime}
	return &poolOwner{self: self, clock: boot, store: store, ask: ask, log: log, claimedAt: -claimPause, gone: map[string]bool{}, changed: make(chan struct{}, 1), position: func() int64 { return 0 }, contacts: map[string]clock.Millis{}}
}

// Epoch implements quota.Streams.
func (o *poolOwner) Epoch(spool.Stream) (spool.Epoch, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tenure, o.grants()
}

// grants reports whether this gateway may grant: its claim is the newest, and the
// owner before it has ended or its authority has.
func (o *poolOwner) grants() bool {
	now := o.clock.Now()
	if !o.owns() || o.yieldedTo > o.epoch || now < o.grantsFrom || now < o.promisedUntil {
		return false
	}
	o.granted = o.tenure
	if o.reserve == nil {
		o.reserve = spend.NewReserve(now, o.claim.Generation, nil)
	}
	return true
}

func (o *poolOwner) owns() bool {
	return o.epoch != 0 && o.claim.Node == o.self.Node && o.claim.Lifetime == o.self.Lifetime
}

// Confirmed implements quota.Streams.
func (o *poolOwner) Confirmed(spool.Stream) (clock.Millis, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.confirmed(), o.grants()
}

// confirmed returns the instant from which on the owner grants for ownerAuthority.
func (o *poolOwner) confirmed() clock.Millis {
	return max(o.confirmedAt, min(o.promisedAt, o.confirmedAt+strangerWait-ownerAuthority))
}

// Inherited implements quota.Streams.
func (o *poolOwner) Inherited(_ spool.Stream, epoch spool.Epoch) json.RawMessage {
	o.mu.Lock()
	defer o.mu.Unlock()
	if epoch != o.tenure {
		return nil
	}
	// The wait for the previous owner is over before the epoch is shown.
	return o.levels(o.inherited)
}

// OwnerOf implements quota.Streams.
func (o *poolOwner) OwnerOf(spool.Stream) (spool.NodeID, string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.claim.Node, o.claim.Address, o.epoch != 0
}

// observe takes the newest record of the owner's key in.
func (o *poolOwner) observe(value []byte, offset int64) {
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
	o.waitsFor = map[string]ownerRef{}
	for _, ref := range record.After {
		if !o.gone[ref.Lifetime] && ref.Lifetime != o.self.Lifetime {
			o.waitsFor[ref.Lifetime] = ref
		}
	}
	wait := o.waitTime(previous.Lifetime)
	unused := o.unused && o.inTouch()
	o.claim, o.epoch, o.tenure, o.silentSince, o.vacantSince, o.contactAt = record, epoch, epoch, 0, 0, 0
	o.release()
	o.unused = false
	if unused && o.owns() {
		o.reserve = spend.NewReserve(o.clock.Now(), previous.Generation, nil)
	}
	o.inherited, o.grantsFrom = nil, o.clock.Now()+wait
	if o.owns() {
		signal(o.changed)
	}
	o.log.Info("limit owner changes", zap.String("owner", string(record.Node)), zap.Int64("epoch", int64(epoch)),
		zap.Bool("waits", o.grantsFrom > o.clock.Now()))
}

// waitTime returns how long the owners before may grant from now on. An owner asks
// every gateway that it has lately answered for a promise; another one waits longer.
func (o *poolOwner) waitTime(previous string) clock.Millis {
	_, last := o.waitsFor[previous]
	switch {
	case len(o.waitsFor) == 0:
		return 0
	case len(o.waitsFor) == 1 && last && o.inTouch():
		return ownerAuthority
	}
	return strangerWait
}

// inTouch reports whether the owner has lately answered this gateway.
func (o *poolOwner) inTouch() bool {
	return o.contactAt != 0 && o.clock.Now()-o.contactAt <= contactFor
}

// confirm says that a read sent at the given time has been taken in.
func (o *poolOwner) confirm(sentAt clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending || o.confirmedAt == 0 {
		o.pending = false
		signal(o.changed)
	}
	o.confirmedAt = max(o.confirmedAt, sentAt)
}

// lost says that the owner did not answer, answered that it did.
func (o *poolOwner) lost(owner spool.NodeID) { o.silent(owner, o.clock.Now()) }

// silent says that the owner did not answer a question that was sent at a time.
func (o *poolOwner) silent(owner spool.NodeID, sentAt clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if owner == o.claim.Node && o.silentSince == 0 {
		o.silentSince = sentAt
	}
}

func (o *poolOwner) answered(owner spool.NodeID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if owner == o.claim.Node {
		o.silentSince, o.answeredAt = 0, o.clock.Now()
	}
}

// levels are what the pools hold whose owner grants no more. A pool that it did not
// name holds nothing.
func (o *poolOwner) levels(inherited json.RawMessage) json.RawMessage {
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
