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
	"github.com/baobabspool/baobabspool/pkg/spend"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// ownerKey is the key of the claim on the pools of all accounts, in the members'
	// topic. The offset of the record is the epoch of the claim.
	ownerKey = "limitOwner"
	// suspectAfter is the time for which an owner does not answer before the first
	// candidate takes its place. An owner that was only slow hands its pools over when
	// it is asked.
	suspectAfter = 600 * clock.Millis(1)
	// candidateDelay is added for each candidate that should have come first.
	candidateDelay = 250 * clock.Millis(1)
	// ownerAuthority is how long an owner grants after it was confirmed, by the store or
	// by the promises of all gateways, and how long a gateway that promised does not
	// grant itself. An owner that is gone without a trace is replaced after it.
	ownerAuthority = 1500 * clock.Millis(1)
	// strangerWait is how long an owner may grant by promises alone, and how long a new
	// owner waits that the owner before may not have asked for a promise. It bridges
	// most outages of the store.
	strangerWait = 10 * clock.Second
	// contactEvery is the time between two questions of a gateway to the owner. One that
	// the owner has answered within contactFor is asked for promises, until contactKept
	// after its last question.
	contactEvery = clock.Second
	contactFor   = 4 * clock.Second
	contactKept  = 5 * clock.Second
	// promiseAfter is the time without a confirmation by the store after which an owner
	// asks for promises.
	promiseAfter = 600 * clock.Millis(1)
	// probeInterval is the time without an answer after which the owner is asked,
	// probeTimeout bounds the question.
	probeInterval = 300 * clock.Millis(1)
	probeTimeout  = 400 * clock.Millis(1)
	// claimPause is the time between two claims of this gateway.
	claimPause = clock.Second
	// movedPause is the time for a read of the topic, before a handover is written
	// again.
	movedPause = 15 * clock.Millis(1)
)

// Errors of the reserve.
var (
	// errNotOwner means that this gateway does not hold the reserve.
	errNotOwner = errors.New("reserve is held by another gateway")
	// errNoPromise means that the store confirms the owner, or that not all gateways
	// have promised not to follow it.
	errNoPromise = errors.New("reserve is not in use")
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
	// Generation is that of the reserve of budgets that this owner holds unless it
	// inherits one. It exceeds that of the claim before, which the append's condition
	// ensures, or is the inherited one.
	Generation int `json:"generation,omitempty"`
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
	// predecessor is the claim before the newest one.
	predecessor claimRecord
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
	wait := o.waitAfter(previous)
	unused := wait == ownerAuthority && o.unused
	o.claim, o.epoch, o.tenure, o.silentSince, o.vacantSince, o.contactAt = record, epoch, epoch, 0, 0, 0
	o.release()
	o.unused = false
	if unused && o.owns() {
		o.reserve = spend.NewReserve(o.clock.Now(), previous.Generation, nil)
	}
	o.inherited, o.grantsFrom, o.predecessor = nil, o.clock.Now()+wait, previous
	if !known && !record.Waits || known && o.gone[previous.Lifetime] && !previous.Waits {
		o.grantsFrom = 0
	}
	if o.owns() {
		signal(o.changed)
	}
	o.log.Info("limit owner changes", zap.String("owner", string(record.Node)), zap.Int64("epoch", int64(epoch)),
		zap.Bool("waits", o.grantsFrom > o.clock.Now()))
}

// waitAfter returns how long the owner before may grant from now on. It asks every
// gateway that it has lately answered for a promise; another one waits longer.
func (o *poolOwner) waitAfter(previous claimRecord) clock.Millis {
	if previous.Waits || o.contactAt == 0 || o.clock.Now()-o.contactAt > contactFor {
		return strangerWait
	}
	return ownerAuthority
}

// release ends the use of the reserve and keeps it for the next owner.
func (o *poolOwner) release() {
	if o.reserve != nil {
		o.left, o.reserve = o.reserve, nil
	}
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

// touched takes in that the owner of an epoch has answered a question sent at a time.
// While a promise lasts the owner may grant of its reserve at any moment.
func (o *poolOwner) touched(epoch spool.Epoch, sentAt clock.Millis, unused bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.epoch == epoch && !o.owns() {
		o.contactAt = sentAt
		o.unused = unused && sentAt >= o.promisedUntil
	}
}

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
		record.Waits, record.Generation = !o.grants(), o.claim.Generation
		if !record.Waits {
			record.Generation = o.reserve.Generation()
		}
	case o.epoch != 0:
		record.Waits = o.claim.Waits || !o.gone[o.claim.Lifetime]
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
		if grants := o.grants(); o.claim.Waits == grants || grants && o.claim.Generation != o.reserve.Generation() {
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
	due := waits || epoch != 0 && !o.owns() && (now-o.answeredAt >= probeInterval || now-o.contactAt >= contactEvery)
	if waits {
		claim = o.predecessor
	}
	o.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	question := aliveRequest{Address: o.self.Address}
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
		o.silent(claim.Node, now)
	default:
		o.answered(claim.Node)
		o.touched(epoch, now, reply.Unused)
	}
	switch {
	case !waits || claim.Waits || err != nil && !ended:
	case ended:
		o.stopWaiting(epoch, aliveReply{})
	default:
		o.stopWaiting(epoch, reply)
	}
}

// stopWaiting ends the wait for the owner before, which grants no more. left is what
// it has left, as far as that is known.
func (o *poolOwner) stopWaiting(epoch spool.Epoch, left aliveReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.epoch != epoch || o.clock.Now() >= o.grantsFrom {
		return
	}
	o.grantsFrom, o.inherited = 0, left.Levels
	if left.Reserve != nil {
		o.reserve = spend.NewReserve(o.clock.Now(), left.Generation, left.Reserve)
	}
	signal(o.changed)
}

// takeReserve grants tokens of a program's budget from the reserve. It fails with
// errNotOwner unless this gateway holds the reserve, durably, and with errNoPromise
// unless every gateway that may follow knows that the reserve is in use.
func (o *poolOwner) takeReserve(id spool.ProgramID, need, budget int64) (granted bool, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	switch {
	case !o.grants() || o.claim.Waits || o.claim.Generation != o.reserve.Generation():
		return false, errNotOwner
	case o.promisedAt <= o.confirmedAt || now >= o.confirmed()+ownerAuthority:
		return false, errNoPromise
	}
	return o.reserve.Take(now, id, need, budget), nil
}

// returnReserve takes tokens back that were granted from the reserve and not used.
func (o *poolOwner) returnReserve(id spool.ProgramID, tokens int64) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.grants() {
		return errNotOwner
	}
	o.reserve.Return(o.clock.Now(), id, tokens)
	return nil
}

// expire forgets programs that have long ended.
func (o *poolOwner) expire() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reserve != nil {
		o.reserve.Expire(o.clock.Now())
	}
}

// promise reports whether this gateway does not grant, and does not claim the pools,
// for the time of ownerAuthority. It does not while it knows of a newer claim.
func (o *poolOwner) promise(request aliveRequest) bool {
	if request.Promise == 0 || request.Promise < o.epoch {
		return false
	}
	o.promisedUntil = max(o.promisedUntil, o.clock.Now()+ownerAuthority)
	o.unused = false
	return true
}

// extend asks the gateways that may claim the pools soon for promises, while the store
// does not confirm this one's claim. A gateway whose process does not run needs to make
// none: when it runs again, it waits as one that this owner does not know. An authority
// that has ended is not extended.
func (o *poolOwner) extend(ctx context.Context) {
	now := o.clock.Now()
	o.mu.Lock()
	epoch := o.epoch
	due := o.grants() && now-o.confirmedAt >= promiseAfter && now < o.confirmed()+ownerAuthority
	addresses := o.inContact(now)
	o.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	answers := make(chan string, len(addresses))
	for _, address := range addresses {
		go func() {
			reply, err := o.ask(ctx, address, aliveRequest{Promise: epoch})
			if err == nil && reply.Promised || errors.Is(err, unix.ECONNREFUSED) {
				address = ""
			}
			answers <- address
		}()
	}
	var missing []string
	for range addresses {
		if address := <-answers; address != "" {
			missing = append(missing, address)
		}
	}
	promised := len(missing) == 0
	o.mu.Lock()
	defer o.mu.Unlock()
	if promised != o.promised {
		o.promised = promised
		o.log.Info("gateways in contact promise not to take the limits over", zap.Int64("epoch", int64(epoch)),
			zap.Int("asked", len(addresses)), zap.Strings("missing", missing))
	}
	if promised && o.epoch == epoch {
		o.promisedAt = max(o.promisedAt, now)
	}
}

// inContact returns the addresses of the gateways that asked lately.
func (o *poolOwner) inContact(now clock.Millis) (addresses []string) {
	for address, at := range o.contacts {
		if now-at > contactKept {
			delete(o.contacts, address)
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

// answer tells another gateway the lifetime of this one, after it has stopped
// granting in favour of a newer claim where that is asked.
func (o *poolOwner) answer(request aliveRequest, handOver func(stream spool.Stream, epoch spool.Epoch) json.RawMessage) aliveReply {
	reply := aliveReply{Lifetime: o.self.Lifetime}
	o.mu.Lock()
	o.grants()
	if request.Address != "" && request.Address != o.self.Address {
		o.contacts[request.Address] = o.clock.Now()
	}
	reply.Promised = o.promise(request)
	reply.Unused = o.reserve != nil && o.reserve.Unused()
	epoch := o.granted
	o.yieldedTo = max(o.yieldedTo, request.Yield)
	if epoch < request.Yield {
		o.release()
	}
	if o.left != nil && epoch < request.Yield {
		reply.Generation, reply.Reserve = o.left.Generation(), o.left.Spent()
	}
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
		next.Waits, next.Generation = true, o.generation()+1
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

// successor returns the first candidate of the gateways that are given.
func successor(candidates []claimRecord) (best claimRecord) {
	for _, candidate := range candidates {
		if best.Node == "" || candidateScore(candidate.Node) > candidateScore(best.Node) {
			best = candidate
		}
	}
	return best
}
