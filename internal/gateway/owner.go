package gateway

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/baobabspool/baobabspool/internal/quota"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// ownerKey is the key of the claim on the pools of all accounts, in the members'
	// topic. The offset of the record is the epoch of the claim.
	ownerKey = "limitOwner"
	// suspectAfter is the time for which an owner does not answer before the first
	// candidate takes its place. The next owner waits out the authority of one that
	// may still run, so an owner that is only frozen or cut off for a moment does
	// better to stay.
	suspectAfter = 2 * clock.Second
	// candidateDelay is added for each candidate that should have come first.
	candidateDelay = 500 * clock.Millis(1)
	// probeInterval is the time without an answer after which the owner is asked,
	// probeTimeout bounds the question.
	probeInterval = 300 * clock.Millis(1)
	probeTimeout  = 400 * clock.Millis(1)
	// claimPause is the time between two claims of this gateway.
	claimPause = clock.Second
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
	// Waits says that the owner before may still grant. The record is written again
	// without it when that has ended.
	Waits bool `json:"waits,omitempty"`
}

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
	// nudge makes every gateway read the members' topic now.
	nudge func()
	ask   func(ctx context.Context, address string, request aliveRequest) (aliveReply, error)

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
	// predecessor is the claim before the newest one.
	predecessor claimRecord
	// yieldedTo is the epoch in whose favour this gateway has stopped granting.
	yieldedTo spool.Epoch
	// granted is the newest tenure in which this gateway may have granted; 0 for none.
	granted spool.Epoch
	// confirmedAt is when the last read that found the claim newest was sent.
	confirmedAt clock.Millis
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
	// named holds a signal when a newest claim names this gateway.
	named chan struct{}
}

var _ quota.Streams = (*poolOwner)(nil)

func newPoolOwner(settings spool.GatewaySettings, lifetime string, store spool.Store, boot clock.Clock, ask func(ctx context.Context, address string, request aliveRequest) (aliveReply, error), log *zap.Logger) *poolOwner {
	self := claimRecord{Node: settings.Node, Address: settings.ControlListen, Lifetime: lifetime}
	return &poolOwner{self: self, clock: boot, store: store, ask: ask, log: log, claimedAt: -claimPause, gone: map[string]bool{}, named: make(chan struct{}, 1)}
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
	grants := o.owns() && o.yieldedTo <= o.epoch && o.clock.Now() >= o.grantsFrom
	if grants {
		o.granted = o.tenure
	}
	return grants
}

func (o *poolOwner) owns() bool {
	return o.epoch != 0 && o.claim.Node == o.self.Node && o.claim.Lifetime == o.self.Lifetime
}

// Confirmed implements quota.Streams.
func (o *poolOwner) Confirmed(spool.Stream) (clock.Millis, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.confirmedAt, o.grants()
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
	o.claim, o.epoch, o.tenure, o.silentSince, o.vacantSince = record, epoch, epoch, 0, 0
	o.inherited, o.grantsFrom, o.predecessor = nil, o.clock.Now()+ownerAuthority, previous
	if !known && !record.Waits || known && o.gone[previous.Lifetime] && !previous.Waits {
		o.grant(nil)
	}
	if o.owns() {
		signal(o.named)
	}
	o.log.Info("limit owner changes", zap.String("owner", string(record.Node)), zap.Int64("epoch", int64(epoch)),
		zap.Bool("waits", o.grantsFrom > o.clock.Now()))
}

// grant ends the wait for the previous owner, which grants no more. levels are what
// its pools held; nil when that is not known.
func (o *poolOwner) grant(levels json.RawMessage) {
	o.grantsFrom = 0
	o.inherited = levels
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
		o.silentSince, o.answeredAt = 0, o.clock.Now()
	}
}

// claimIfVacant claims the pools when they have no owner that answers, in the
// order of the candidates.
func (o *poolOwner) claimIfVacant(ctx context.Context, live []spool.NodeID) {
	if !o.vacant(live) {
		return
	}
	if err := o.write(ctx, o.next()); err != nil {
		o.log.Warn("claim was not written", zap.Error(err))
		return
	}
	o.nudge()
}

// next returns the claim that this gateway would write now.
func (o *poolOwner) next() claimRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	record := o.self
	if o.owns() {
		record.Waits = !o.grants()
		return record
	}
	record.Waits = o.epoch != 0 && (o.claim.Waits || !o.gone[o.claim.Lifetime])
	return record
}

// vacant reports whether this gateway is to write a claim now. live are the gateways
// that have written their record lately.
func (o *poolOwner) vacant(live []spool.NodeID) bool {
	now := o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if now < o.claimedAt+claimPause {
		return false
	}
	if o.owns() {
		// The record must say whether the owner before may still grant.
		if o.claim.Waits == o.grants() {
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

// probe asks the owner whether it runs, unless it has answered lately. The owner
// itself asks its predecessor to stop granting, while it waits for that.
func (o *poolOwner) probe(ctx context.Context) {
	now := o.clock.Now()
	o.mu.Lock()
	claim, epoch := o.claim, o.epoch
	waits := o.owns() && now < o.grantsFrom
	due := waits || epoch != 0 && !o.owns() && now-o.answeredAt >= probeInterval
	if waits {
		claim = o.predecessor
	}
	o.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	question := aliveRequest{}
	if waits {
		question.Yield = epoch
	}
	reply, err := o.ask(ctx, claim.Address, question)
	ended := err == nil && reply.Lifetime != claim.Lifetime || errors.Is(err, unix.ECONNREFUSED)
	switch {
	case ended:
		// Nothing listens at the address, or another process does.
		o.markGone(claim.Lifetime)
	case err != nil:
		o.lost(claim.Node)
	default:
		o.answered(claim.Node)
	}
	if waits && !claim.Waits && (ended || err == nil) {
		o.stopWaiting(epoch, reply.Levels)
	}
}

func (o *poolOwner) stopWaiting(epoch spool.Epoch, levels json.RawMessage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.epoch == epoch {
		o.grant(levels)
	}
}

// answer tells another gateway the lifetime of this one, after it has stopped
// granting in favour of a newer claim where that is asked.
func (o *poolOwner) answer(request aliveRequest, handOver func(stream spool.Stream, epoch spool.Epoch) json.RawMessage) aliveReply {
	reply := aliveReply{Lifetime: o.self.Lifetime}
	o.mu.Lock()
	o.grants()
	epoch := o.granted
	o.yieldedTo = max(o.yieldedTo, request.Yield)
	o.mu.Unlock()
	if epoch != 0 && epoch < request.Yield {
		reply.Levels = handOver(spool.ProgramStream(0), epoch)
	}
	return reply
}

func (o *poolOwner) markGone(lifetime string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.gone[lifetime] = true
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
	for o.mayGrant() {
		next := successor(candidates())
		if next.Lifetime == "" {
			return
		}
		next.Waits = true
		err := o.write(ctx, next)
		if err == nil {
			o.nudge()
			return
		}
		o.log.Warn("handover was not written", zap.String("to", string(next.Node)), zap.Error(err))
		if !clock.Pause(ctx, retryPause) {
			return
		}
	}
}

func (o *poolOwner) mayGrant() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.grants()
}

// write makes a claim the newest one.
func (o *poolOwner) write(ctx context.Context, claim claimRecord) error {
	value, err := json.Marshal(claim)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	return o.store.AppendKeyed(ctx, spool.TopicMembers, ownerKey, value)
}

// successor returns the first candidate of the gateways that are given.
func successor(candidates []claimRecord) (best claimRecord) {
	for _, candidate := range candidates {
		if best.Node == "" || candidateScore(candidate.Node) > candidateScore(best.Node) {
			best = candidate
		}
	}
	return best
}
