package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/quota"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// ownerKey is the key of the claim on the pools of all accounts, in the members'
	// topic. The offset of the record is the epoch of the claim.
	ownerKey = "limitOwner"
	// suspectAfter is the time for which an owner does not answer before the first
	// candidate takes its place.
	suspectAfter = 400 * clock.Millis(1)
	// candidateDelay is added for each candidate that should have come first.
	candidateDelay = 500 * clock.Millis(1)
	// claimPause is the time between two claims of this gateway.
	claimPause = clock.Second
)

// claimRecord is the value of the owner's key.
type claimRecord struct {
	Node    spool.NodeID `json:"node"`
	Address string       `json:"address"`
	// Lifetime tells the processes of a node apart.
	Lifetime string `json:"lifetime"`
	// Released says that the owner grants no more; Levels is what its pools hold.
	Released bool            `json:"released,omitempty"`
	Levels   json.RawMessage `json:"levels,omitempty"`
}

// poolOwner follows which gateway owns the pools of the accounts' limits, and
// claims them for this one when no other does. It is safe for concurrent use.
type poolOwner struct {
	self  claimRecord
	clock clock.Clock
	store spool.Store
	log   *zap.Logger

	mu sync.Mutex
	// claim is the newest record, at offset epoch - 1; epoch is 0 without one.
	claim claimRecord
	epoch spool.Epoch
	// inherited are the levels that the record before the claim released.
	inherited json.RawMessage
	// confirmedAt is when the last read that found the claim newest was sent.
	confirmedAt clock.Millis
	// silentSince is the first unanswered call to the owner since its last answer; 0
	// for none.
	silentSince clock.Millis
	// vacantSince is when the pools were first found without an owner; 0 while they
	// have one.
	vacantSince clock.Millis
	claimedAt   clock.Millis
}

var _ quota.Streams = (*poolOwner)(nil)

func newPoolOwner(settings spool.GatewaySettings, lifetime string, store spool.Store, boot clock.Clock, log *zap.Logger) *poolOwner {
	self := claimRecord{Node: settings.Node, Address: settings.ControlListen, Lifetime: lifetime}
	return &poolOwner{self: self, clock: boot, store: store, log: log, claimedAt: -claimPause}
}

// Epoch implements quota.Streams.
func (o *poolOwner) Epoch(spool.Stream) (spool.Epoch, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.epoch, o.owns()
}

func (o *poolOwner) owns() bool {
	return o.epoch != 0 && !o.claim.Released && o.claim.Node == o.self.Node && o.claim.Lifetime == o.self.Lifetime
}

// Confirmed implements quota.Streams.
func (o *poolOwner) Confirmed(spool.Stream) (clock.Millis, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.confirmedAt, o.owns()
}

// Inherited implements quota.Streams.
func (o *poolOwner) Inherited(_ spool.Stream, epoch spool.Epoch) json.RawMessage {
	o.mu.Lock()
	defer o.mu.Unlock()
	if epoch != o.epoch {
		return nil
	}
	return o.inherited
}

// OwnerOf implements quota.Streams.
func (o *poolOwner) OwnerOf(spool.Stream) (spool.NodeID, string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.claim.Node, o.claim.Address, o.epoch != 0 && !o.claim.Released
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
	o.inherited = nil
	if o.claim.Released {
		o.inherited = o.claim.Levels
	}
	o.claim, o.epoch, o.silentSince, o.vacantSince = record, epoch, 0, 0
	o.log.Info("limit owner changes", zap.String("owner", string(record.Node)), zap.Int64("epoch", int64(epoch)), zap.Bool("released", record.Released))
}

// confirm says that a read sent at the given time has been taken in.
func (o *poolOwner) confirm(sentAt clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.confirmedAt = max(o.confirmedAt, sentAt)
}

// lost says that the owner did not answer, answered that it did.
func (o *poolOwner) lost(owner spool.NodeID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if owner == o.claim.Node && o.silentSince == 0 {
		o.silentSince = o.clock.Now()
	}
}

func (o *poolOwner) answered(owner spool.NodeID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if owner == o.claim.Node {
		o.silentSince = 0
	}
}

// claimIfVacant claims the pools when they have no owner that answers, in the
// order of the candidates.
func (o *poolOwner) claimIfVacant(ctx context.Context, live []spool.NodeID) {
	if !o.vacant(live) {
		return
	}
	value, err := json.Marshal(o.self)
	if err != nil {
		o.log.Error("claim cannot be encoded", zap.Error(err))
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	if err := o.store.AppendKeyed(callCtx, spool.TopicMembers, ownerKey, value); err != nil {
		o.log.Warn("claim was not written", zap.Error(err))
	}
}

// vacant reports whether this gateway is to claim the pools now. live are the
// gateways that have written their record lately.
func (o *poolOwner) vacant(live []spool.NodeID) bool {
	now := o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.owns() || now < o.claimedAt+claimPause {
		return false
	}
	restarted := o.claim.Node == o.self.Node
	silent := o.silentSince != 0 && now-o.silentSince >= suspectAfter
	switch {
	case o.epoch == 0, restarted, o.claim.Released, silent, !slices.Contains(live, o.claim.Node):
		if o.vacantSince == 0 {
			o.vacantSince = now
		}
	default:
		o.vacantSince = 0
		return false
	}
	delay := candidateDelay * clock.Millis(o.rank(live))
	if !restarted && now-o.vacantSince < delay {
		return false
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

// release gives the pools up, so that the next owner can grant at once.
func (o *poolOwner) release(ctx context.Context, handOver func(stream spool.Stream, epoch spool.Epoch) json.RawMessage) {
	o.mu.Lock()
	epoch, owns := o.epoch, o.owns()
	o.mu.Unlock()
	if !owns {
		return
	}
	record := o.self
	record.Released = true
	record.Levels = handOver(spool.ProgramStream(0), epoch)
	value, err := json.Marshal(record)
	if err != nil {
		o.log.Error("release cannot be encoded", zap.Error(err))
		return
	}
	if err := o.store.AppendKeyed(ctx, spool.TopicMembers, ownerKey, value); err != nil {
		o.log.Warn("release was not written", zap.Error(err))
	}
}
