package limit

import (
	"math"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Request asks the owner of a pool for tokens and returns tokens that are not
// needed.
type Request struct {
	// Account identifies the pool.
	Account spool.AccountID
	// Node is the entry that sends the request.
	Node spool.NodeID
	// Sequence increases with each request of a node.
	Sequence uint64
	// Requested is the number of tokens requested.
	Requested float64
	// Returned is the number of tokens given back, granted by the owner of epoch
	// Epoch. The sender no longer uses them, even if the request is lost.
	Returned float64
	Epoch    spool.Epoch
	// Urgent is true if Requested counts alarms only.
	Urgent bool
}

// Grant is the answer to a Request.
type Grant struct {
	// Sequence is the sequence of the request.
	Sequence uint64
	// Epoch is the epoch of the owner's claim.
	Epoch spool.Epoch
	// Granted is the number of tokens granted. They may be used for LeaseDuration,
	// counted from the time at which the request was sent.
	Granted       float64
	LeaseDuration clock.Millis
	// RetryAfter is the delay after which another request may get more tokens; 0 if
	// the request was granted in full.
	RetryAfter clock.Millis
}

// minRetryDelay is the shortest delay between requests of an entry for an empty
// pool.
const minRetryDelay clock.Millis = 10

const (
	// alarmReserve is the number of tokens that a pool reserves for alarms after
	// its account has sent one.
	alarmReserve = 1.0
	// alarmReserveDuration is how long the reserve is kept after an alarm.
	alarmReserveDuration = clock.Hour
)

// Owner is the pool of one account, held by the owner of the account's stream.
// Every method takes the time of the owner's clock. A method must be called at
// least every Timing.MaxGap/2; call Tick if there is no other input.
type Owner struct {
	timing  Timing
	elapsed elapsedBounds
	// limits is in force; targetLimits replaces it at growAt on elapsed.lower.
	limits, targetLimits Pool
	growAt               clock.Millis
	bucket               bucket
	epoch                spool.Epoch
	owns                 bool
	// grantsFrom is on elapsed.lower; authorityUntil and freshUntil are on
	// elapsed.upper.
	grantsFrom     clock.Millis
	authorityUntil clock.Millis
	freshUntil     clock.Millis
	// lastSequence is the highest sequence seen from each node in this epoch.
	lastSequence map[spool.NodeID]uint64
	// alarmReserveUntil is the end of the alarm reserve, on elapsed.lower.
	alarmReserveUntil clock.Millis
	// startLimiter runs on elapsed.lower.
	startLimiter *StartLimiter
}

// NewOwner returns the pool of an account that this entry does not own yet.
func NewOwner(timing Timing, config Config) *Owner {
	limits := PoolOf(config, timing)
	return &Owner{
		timing: timing, elapsed: elapsedBounds{maxGap: timing.MaxGap},
		limits: limits, targetLimits: limits,
		bucket:       bucket{rate: limits.Rate, capacity: limits.Cap},
		lastSequence: map[spool.NodeID]uint64{}, startLimiter: NewStartLimiter(config.Rate),
	}
}

// Configure applies new settings. The pool shrinks at once; it grows after the
// delay of Timing.GrowthDelay, when no entry uses a larger static allocation any
// more.
func (o *Owner) Configure(now clock.Millis, config Config) {
	o.advance(now)
	o.targetLimits = PoolOf(config, o.timing)
	o.setLimits(minPool(o.limits, o.targetLimits))
	o.growAt = o.elapsed.lower + o.timing.growthDelay()
	o.startLimiter.Configure(config.Rate)
}

// AdmitStart decides whether a program of an account that is short of tokens may
// start.
func (o *Owner) AdmitStart(now clock.Millis, start StartRequest) (admitted bool, retryAfter clock.Millis) {
	o.advance(now)
	if !o.canGrant() {
		return false, max(minRetryDelay, o.grantsFrom-o.elapsed.lower)
	}
	return o.startLimiter.Admit(o.elapsed.lower, start, o.bucket.level/max(1, o.bucket.capacity))
}

// TakeOver starts the ownership of epoch; the claim must be visible to other
// entries. The pool starts empty, and grants begin when the previous owner's
// authority has surely ended. Leases of the previous owner may be used for longer:
// Pool.Cap leaves room for them, as it does for the leases of a continuing owner.
func (o *Owner) TakeOver(now clock.Millis, epoch spool.Epoch) {
	o.TakeOverReleased(now, epoch, 0)
	o.grantsFrom = o.elapsed.lower + o.timing.Authority
}

// TakeOverReleased starts the ownership of epoch after the previous owner has
// stopped granting and has recorded this in its release record, together with
// level, the result of Release. Only the first owner after the release may call it.
func (o *Owner) TakeOverReleased(now clock.Millis, epoch spool.Epoch, level float64) {
	o.advance(now)
	o.epoch, o.owns = epoch, true
	o.grantsFrom, o.authorityUntil = o.elapsed.lower, o.elapsed.upper
	o.bucket.level = max(0, min(level, o.bucket.capacity))
	clear(o.lastSequence)
}

// Release ends the ownership and returns the pool's level, which the caller
// publishes afterwards. ok is false if the owner has no right to grant at this
// time. Its predecessor may then still have authority, so the next owner must call
// TakeOver.
func (o *Owner) Release(now clock.Millis) (level float64, ok bool) {
	ok = o.CanGrant(now)
	o.owns = false
	return o.bucket.level, ok
}

// SetAuthorityUntil allows grants until the given instant of the owner's clock. The
// caller computes the instant from the time at which it requested the proof that no
// newer claim exists.
func (o *Owner) SetAuthorityUntil(now, until clock.Millis) {
	o.advance(now)
	o.authorityUntil = o.elapsed.deadline(now, until, o.timing.Authority)
}

// SetFreshUntil reports that the settings were current at until - Timing.View, by
// the owner's clock.
func (o *Owner) SetFreshUntil(now, until clock.Millis) {
	o.advance(now)
	o.freshUntil = o.elapsed.deadline(now, until, o.timing.View)
}

// Tick applies the passage of time.
func (o *Owner) Tick(now clock.Millis) { o.advance(now) }

// CanGrant reports whether the owner may grant now.
func (o *Owner) CanGrant(now clock.Millis) bool {
	o.advance(now)
	return o.canGrant()
}

// Lease grants whole tokens. A request gets at most half of the usable tokens, but
// one token if there is one, so that a single entry does not drain the pool for the
// others.
func (o *Owner) Lease(now clock.Millis, request Request) Grant {
	o.advance(now)
	grant := Grant{Sequence: request.Sequence, Epoch: o.epoch, LeaseDuration: o.limits.Lease}
	if !o.canGrant() {
		grant.RetryAfter = max(minRetryDelay, o.grantsFrom-o.elapsed.lower)
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
	grant.Granted = wholeTokens(min(request.Requested, max(usable/2, min(1, usable))))
	o.bucket.level -= grant.Granted
	if grant.Granted < request.Requested {
		grant.RetryAfter = o.retryDelay(usable - grant.Granted)
	}
	return grant
}

// usableTokens returns the number of tokens in the pool that a request may take.
// Without a reserve, an account that sends at its rate or above it would delay its
// own alarms.
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

// refill adds tokens only from grantsFrom on; before that, the pool is empty.
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

// minPool returns limits that are within both a and b.
func minPool(a, b Pool) Pool {
	return Pool{Rate: min(a.Rate, b.Rate), Cap: min(a.Cap, b.Cap), Lease: min(a.Lease, b.Lease)}
}
