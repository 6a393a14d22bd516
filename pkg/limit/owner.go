package limit

import (
	"math"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Request is sent by an entry to the owner of a pool. It requests tokens and may
// return tokens that the entry does not need.
type Request struct {
	// Account identifies the pool.
	Account spool.AccountID
	// Node is the entry that sends the request.
	Node spool.NodeID
	// Sequence increases with each request of a node.
	Sequence uint64
	// Requested is the number of tokens requested; it may be 0.
	Requested float64
	// Returned is the number of tokens given back. They were granted under the
	// claim with the epoch Epoch. The sender no longer uses them, even if the
	// request is lost.
	Returned float64
	Epoch    spool.Epoch
	// Urgent is true if Requested contains only the tokens that are missing for
	// queued alarms.
	Urgent bool
	// MaxDelay is how long the sender would wait for a token if the pool has none; 0 for
	// not at all.
	MaxDelay clock.Millis
}

// Grant is the answer to a Request.
type Grant struct {
	// Sequence is the sequence of the request.
	Sequence uint64
	// Epoch is the epoch of the owner's claim.
	Epoch spool.Epoch
	// Granted is the number of tokens granted; 0 if none are available. They may be
	// used for LeaseDuration after the request was sent.
	Granted       float64
	LeaseDuration clock.Millis
	// UsableIn is the delay after which the tokens may be used; LeaseDuration is then
	// longer by the same time. It is 0 if they may be used at once.
	UsableIn clock.Millis
	// RetryAfter is the delay after which another request may get more tokens; 0 if
	// all requested tokens were granted, or if one was granted with a delay.
	RetryAfter clock.Millis
	// Withheld reports that the owner may not grant at present, which says nothing of the
	// level of the pool.
	Withheld bool
}

// minRetryDelay is the shortest RetryAfter, in milliseconds, of a grant that is
// smaller than requested.
const minRetryDelay clock.Millis = 10

const (
	// alarmReserve is the number of tokens that only alarms may take while the
	// reserve is in force. It is in force for alarmReserveDuration after the last
	// request for alarms.
	alarmReserve         = 1.0
	alarmReserveDuration = clock.Hour
)

// Owner is the pool of one account at an entry that owns it or may own it later.
// The owner of the account's stream owns the pool. The argument now of every method
// is the time by the entry's clock. Some method must be called at least every
// Timing.MaxGap/2; call Tick if there is no other call. An Owner is not safe for
// concurrent use.
type Owner struct {
	timing  Timing
	elapsed elapsedBounds
	// limits are in force. They are replaced by targetLimits when elapsed.lower
	// reaches growAt.
	limits, targetLimits Pool
	growAt               clock.Millis
	// bucket contains the tokens that may be granted.
	bucket bucket
	// epoch is that of the claim under which this entry last took over the pool.
	// owns is true from then until the release.
	epoch spool.Epoch
	owns  bool
	// Grants are allowed while owns is true, elapsed.lower is at least grantsFrom,
	// and elapsed.upper is below authorityUntil and freshUntil.
	grantsFrom     clock.Millis
	authorityUntil clock.Millis
	freshUntil     clock.Millis
	// lastSequence is the highest sequence received from each node in this epoch.
	lastSequence map[spool.NodeID]uint64
	// alarmReserveUntil is the time on elapsed.lower at which the reserve for
	// alarms ends.
	alarmReserveUntil clock.Millis
	// startLimiter gets times on elapsed.lower.
	startLimiter *StartLimiter
}

// NewOwner returns the pool of an account. It grants nothing until TakeOver or
// TakeOverReleased is called.
func NewOwner(timing Timing, config Config) *Owner {
	limits := PoolOf(config, timing)
	return &Owner{
		timing: timing, elapsed: elapsedBounds{maxGap: timing.MaxGap},
		limits: limits, targetLimits: limits,
		bucket:       bucket{rate: limits.Rate, capacity: limits.Cap},
		lastSequence: map[spool.NodeID]uint64{}, startLimiter: NewStartLimiter(config.startRate()),
	}
}

// Configure applies new limits. If they make the pool smaller, it shrinks at once.
// If they make it larger, it grows after the delay of Timing.GrowthDelay, when
// every entry has stopped using a static allocation of the old limits.
func (o *Owner) Configure(now clock.Millis, config Config) {
	o.advance(now)
	o.targetLimits = PoolOf(config, o.timing)
	o.setLimits(minPool(o.limits, o.targetLimits))
	o.growAt = o.elapsed.lower + o.timing.growthDelay()
	o.startLimiter.SetRate(config.startRate())
}

// AdmitStart decides whether a program may start whose account is short of tokens;
// see StartLimiter.Admit. It refuses every program while the owner may not grant.
func (o *Owner) AdmitStart(now clock.Millis, start StartRequest) (admitted bool, retryAfter clock.Millis) {
	o.advance(now)
	if !o.canGrant() {
		return false, max(minRetryDelay, o.grantsFrom-o.elapsed.lower)
	}
	return o.startLimiter.Admit(o.elapsed.lower, start, o.bucket.level/max(1, o.bucket.capacity))
}

// TakeOver makes this entry the owner of the pool in the epoch of its claim, which
// other entries must already be able to see. The pool starts empty, and the owner
// does not grant before Timing.Authority has passed, when the authority of the
// previous owner has certainly ended. Leases of that owner may still be in use;
// Pool.Cap is smaller than the account's burst to leave room for them.
func (o *Owner) TakeOver(now clock.Millis, epoch spool.Epoch) {
	o.TakeOverReleased(now, epoch, 0)
	o.grantsFrom = o.elapsed.lower + o.timing.Authority
}

// TakeOverReleased makes this entry the owner like TakeOver, but without the wait
// and with a pool that starts with level tokens, which may be negative. The previous
// owner must have stopped granting and recorded this in its release record, together with
// level, the result of Release. Only the first owner after the release may call it,
// because a second one would grant the tokens of level again.
func (o *Owner) TakeOverReleased(now clock.Millis, epoch spool.Epoch, level float64) {
	o.advance(now)
	o.epoch, o.owns = epoch, true
	o.grantsFrom, o.authorityUntil = o.elapsed.lower, o.elapsed.upper
	o.bucket.level = min(level, o.bucket.capacity)
	clear(o.lastSequence)
}

// Release ends the ownership and returns the pool's level in tokens, which the
// caller then publishes for the next owner. ok is false if this owner may not grant
// now, for example because it still waits for the end of its predecessor's
// authority. The level must then not be published, and the next owner must call
// TakeOver.
func (o *Owner) Release(now clock.Millis) (level float64, ok bool) {
	ok = o.CanGrant(now)
	o.owns = false
	return o.bucket.level, ok
}

// SetAuthorityUntil allows grants until the time until, by the entry's clock. The
// caller computes it as the time at which it requested a proof that no newer claim
// exists, plus Timing.Authority. A time later than now + Timing.Authority is
// reduced to that.
func (o *Owner) SetAuthorityUntil(now, until clock.Millis) {
	o.advance(now)
	o.authorityUntil = o.elapsed.deadline(now, until, o.timing.Authority)
}

// SetFreshUntil allows grants until the time until, by the entry's clock, as far as
// the age of the limits is concerned. The caller computes it as the time at which
// the limits were current, plus Timing.View.
func (o *Owner) SetFreshUntil(now, until clock.Millis) {
	o.advance(now)
	o.freshUntil = o.elapsed.deadline(now, until, o.timing.View)
}

// Tick applies the passage of time: it refills the pool and lets it grow when that
// is due.
func (o *Owner) Tick(now clock.Millis) { o.advance(now) }

// CanGrant reports whether the owner may grant now.
func (o *Owner) CanGrant(now clock.Millis) bool {
	o.advance(now)
	return o.canGrant()
}

// Lease answers a request for tokens. It grants whole tokens, at most half of the
// usable ones, so that a single entry does not drain the pool; if fewer than two
// are usable, it may grant one. If there is none, it may grant one with a delay. It
// first adds returned tokens to the pool if their epoch is the current one. It grants nothing, and ignores returned tokens, while
// the owner may not grant and for a request that is repeated or older than another
// of the same node.
func (o *Owner) Lease(now clock.Millis, request Request) Grant {
	o.advance(now)
	grant := Grant{Sequence: request.Sequence, Epoch: o.epoch, LeaseDuration: o.limits.Lease}
	if !o.canGrant() {
		grant.RetryAfter, grant.Withheld = max(minRetryDelay, o.grantsFrom-o.elapsed.lower), true
		return grant
	}
	if request.Sequence <= o.lastSequence[request.Node] {
		grant.RetryAfter = minRetryDelay
		return grant
	}
	o.lastSequence[request.Node] = request.Sequence
	if request.Epoch == o.epoch {
		o.bucket.level = min(o.bucket.capacity, o.bucket.level+max(0, request.Returned))
	}
	usable := o.usableTokens(request.Urgent)
	grant.Granted = wholeTokens(max(0, min(request.Requested, max(usable/2, min(1, usable)))))
	if delay, ok := o.tokenDelay(usable, request.MaxDelay); ok && grant.Granted == 0 && request.Requested >= 1 {
		grant.Granted, grant.UsableIn = 1, delay
		grant.LeaseDuration += delay
	}
	o.bucket.level -= grant.Granted
	if grant.Granted < request.Requested && grant.UsableIn == 0 {
		grant.RetryAfter = o.retryDelay(usable - grant.Granted + o.delayedTokens(request.MaxDelay))
	}
	return grant
}

// tokenDelay returns the time after which the pool can pay for the next token, for a
// request that waits for at most maxDelay. ok is false if that takes longer, or if the
// authority of this owner may end before.
func (o *Owner) tokenDelay(usable float64, maxDelay clock.Millis) (delay clock.Millis, ok bool) {
	if maxDelay <= 0 || o.bucket.rate <= 0 {
		return 0, false
	}
	delay = 1 + clock.Millis(math.Ceil((1-usable)/o.bucket.rate*float64(clock.Second)))
	return delay, delay <= maxDelay && o.elapsed.upper+delay < min(o.authorityUntil, o.freshUntil)
}

// delayedTokens returns how many tokens arrive at the pool within maxDelay.
func (o *Owner) delayedTokens(maxDelay clock.Millis) float64 {
	return o.bucket.rate * float64(maxDelay) / float64(clock.Second)
}

// usableTokens returns how many of the pool's tokens a request may take. An urgent
// request may take all of them and puts the alarm reserve into force. While it is
// in force, other requests cannot take the last alarmReserve tokens, provided that
// the capacity is at least four times alarmReserve. Without the reserve, an account
// that sends at or above its rate would delay its own alarms.
func (o *Owner) usableTokens(urgent bool) float64 {
	if urgent {
		o.alarmReserveUntil = o.elapsed.lower + alarmReserveDuration
		return o.bucket.level
	}
	if o.elapsed.lower < o.alarmReserveUntil && o.bucket.capacity >= 4*alarmReserve {
		return max(0, o.bucket.level-alarmReserve)
	}
	return o.bucket.level
}

func (o *Owner) canGrant() bool {
	return o.owns && o.elapsed.lower >= o.grantsFrom &&
		o.elapsed.upper < o.authorityUntil && o.elapsed.upper < o.freshUntil
}

func (o *Owner) retryDelay(usable float64) clock.Millis {
	if o.bucket.rate <= 0 {
		return clock.Second
	}
	refillTime := max(0, 1-usable) / o.bucket.rate * float64(clock.Second)
	return max(minRetryDelay, clock.Millis(math.Ceil(refillTime)))
}

func (o *Owner) advance(now clock.Millis) {
	o.elapsed.advance(now)
	o.refill()
	if o.limits != o.targetLimits && o.elapsed.lower >= o.growAt {
		o.setLimits(o.targetLimits)
	}
}

// refill adds tokens only for the time in which the entry owns the pool and after
// grantsFrom. Earlier, the level does not change.
func (o *Owner) refill() {
	if !o.owns || o.elapsed.lower < o.grantsFrom {
		o.bucket.refilledAt = o.elapsed.lower
		return
	}
	o.bucket.refilledAt = max(o.bucket.refilledAt, o.grantsFrom)
	o.bucket.refill(o.elapsed.lower)
}

func (o *Owner) setLimits(limits Pool) {
	o.limits = limits
	o.bucket.resize(limits.Rate, limits.Cap)
}

// minPool returns the smaller of a and b in each field.
func minPool(a, b Pool) Pool {
	return Pool{Rate: min(a.Rate, b.Rate), Cap: min(a.Cap, b.Cap), Lease: min(a.Lease, b.Lease)}
}
