package limit

import (
	"math"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Request asks an owner for tokens and gives back tokens that are not needed.
type Request struct {
	// Account names the pool.
	Account spool.AccountID
	// Node is the asking entry.
	Node spool.NodeID
	// Sequence increases with each request of a node.
	Sequence uint64
	// Want is the number of tokens asked for.
	Want float64
	// Returned tokens were granted by the owner of epoch Epoch. The sender does
	// not use them any more, whatever becomes of the request.
	Returned float64
	Epoch    spool.Epoch
	// Urgent says that Want counts alarms only.
	Urgent bool
}

// Grant answers a Request.
type Grant struct {
	// Sequence is that of the request.
	Sequence uint64
	// Epoch is the owner's claim.
	Epoch spool.Epoch
	// Granted tokens may be used for LeaseFor after the request was sent.
	Granted  float64
	LeaseFor clock.Millis
	// RetryAfter is the wait until another request may get more.
	RetryAfter clock.Millis
}

// minRetry spaces the requests of an entry for a pool that is empty.
const minRetry clock.Millis = 10

const (
	// alarmReserve is the number of tokens that a pool keeps for alarms, once its
	// account has sent one.
	alarmReserve = 1.0
	// alarmMemory is how long a pool keeps them after an alarm.
	alarmMemory = clock.Hour
)

// Owner is the pool of one account at the owner of the account's stream. Every
// method takes the time of the owner's clock and must be called, with Tick at
// the latest, every Timing.MaxGap/2.
type Owner struct {
	timing Timing
	time   elapsed
	// shape is in force; target is reached at growAt on time.least.
	shape, target Pool
	growAt        clock.Millis
	pool          bucket
	epoch         spool.Epoch
	owned         bool
	// servesAt is on time.least; the ends are on time.most.
	servesAt      clock.Millis
	authorityEnds clock.Millis
	freshEnds     clock.Millis
	// last is the highest sequence seen of each node in this epoch.
	last map[spool.NodeID]uint64
	// alarmsUntil, on time.least, is the end of the alarm reserve.
	alarmsUntil clock.Millis
	// starts is on time.least.
	starts *Starts
}

// NewOwner returns the pool of an account that this entry does not own yet.
func NewOwner(timing Timing, config Config) *Owner {
	shape := PoolOf(config, timing)
	return &Owner{
		timing: timing, time: elapsed{maxGap: timing.MaxGap},
		shape: shape, target: shape,
		pool: bucket{rate: shape.Rate, limit: shape.Cap},
		last: map[spool.NodeID]uint64{}, starts: NewStarts(config.Rate),
	}
}

// Configure takes new settings in. The pool shrinks at once and grows when no
// entry uses a larger static part any more.
func (o *Owner) Configure(now clock.Millis, config Config) {
	o.advance(now)
	o.target = PoolOf(config, o.timing)
	o.reshape(smallerPool(o.shape, o.target))
	o.growAt = o.time.least + o.timing.grow()
	o.starts.Configure(config.Rate)
}

// Start decides about a program of an account that is short of tokens.
func (o *Owner) Start(now clock.Millis, start Start) (admitted bool, retryAfter clock.Millis) {
	o.advance(now)
	if !o.serves() {
		return false, max(minRetry, o.servesAt-o.time.least)
	}
	return o.starts.Admit(o.time.least, start, o.pool.level/max(1, o.pool.limit))
}

// Take starts the ownership of epoch after the claim has become visible. It
// grants when the previous owner's authority has surely ended, from an empty
// pool. Leases of the previous owner may be in use for longer: Pool.Cap leaves
// room for them, as it does for the leases of an owner that stays.
func (o *Owner) Take(now clock.Millis, epoch spool.Epoch) {
	o.TakeReleased(now, epoch, 0)
	o.servesAt = o.time.least + o.timing.Authority
}

// TakeReleased is Take after the previous owner has stopped granting and has
// said so in its release record, with the level that Release returned. Only the
// first owner after the release may use it.
func (o *Owner) TakeReleased(now clock.Millis, epoch spool.Epoch, level float64) {
	o.advance(now)
	o.epoch, o.owned = epoch, true
	o.servesAt, o.authorityEnds = o.time.least, o.time.most
	o.pool.level = max(0, min(level, o.pool.limit))
	clear(o.last)
}

// Release ends the ownership and returns the pool's level, which the caller
// publishes afterwards. ok is false when the owner might not grant at this
// instant: its predecessor may still have authority, so the next owner has to use
// Take.
func (o *Owner) Release(now clock.Millis) (level float64, ok bool) {
	ok = o.Serves(now)
	o.owned = false
	return o.pool.level, ok
}

// Authority allows grants until the given instant of the owner's clock. The
// caller computes it from the instant at which it asked for the proof that no
// newer claim exists.
func (o *Owner) Authority(now, until clock.Millis) {
	o.advance(now)
	o.authorityEnds = o.time.until(now, until, o.timing.Authority)
}

// Fresh says that the settings were current at until - Timing.View, by the
// owner's clock.
func (o *Owner) Fresh(now, until clock.Millis) {
	o.advance(now)
	o.freshEnds = o.time.until(now, until, o.timing.View)
}

// Tick lets time pass.
func (o *Owner) Tick(now clock.Millis) { o.advance(now) }

// Serves reports whether the owner may grant now.
func (o *Owner) Serves(now clock.Millis) bool {
	o.advance(now)
	return o.serves()
}

// Lease grants whole tokens. When the pool is low it grants half of it, so that
// one entry does not leave nothing to the others.
func (o *Owner) Lease(now clock.Millis, request Request) Grant {
	o.advance(now)
	grant := Grant{Sequence: request.Sequence, Epoch: o.epoch, LeaseFor: o.shape.Lease}
	if !o.serves() {
		grant.RetryAfter = max(minRetry, o.servesAt-o.time.least)
		return grant
	}
	if request.Sequence <= o.last[request.Node] {
		grant.RetryAfter = minRetry
		return grant
	}
	o.last[request.Node] = request.Sequence
	if request.Epoch == o.epoch {
		o.pool.level = min(o.pool.limit, o.pool.level+max(0, request.Returned))
	}
	usable := o.usable(request.Urgent)
	grant.Granted = wholeTokens(min(request.Want, max(usable/2, min(1, usable))))
	o.pool.level -= grant.Granted
	if grant.Granted < request.Want {
		grant.RetryAfter = o.untilOneToken(usable - grant.Granted)
	}
	return grant
}

// usable is the part of the pool's tokens that a request may have. Without a
// reserve an account that sends at its rate or above it delays its own alarms.
func (o *Owner) usable(urgent bool) float64 {
	if urgent {
		o.alarmsUntil = o.time.least + alarmMemory
		return o.pool.level
	}
	if o.time.least < o.alarmsUntil && o.pool.limit >= 4*alarmReserve {
		return max(0, o.pool.level-alarmReserve)
	}
	return o.pool.level
}

func (o *Owner) serves() bool {
	return o.owned && o.time.least >= o.servesAt &&
		o.time.most < o.authorityEnds && o.time.most < o.freshEnds
}

func (o *Owner) untilOneToken(usable float64) clock.Millis {
	if o.pool.rate <= 0 {
		return clock.Second
	}
	missing := max(0, 1-usable) / o.pool.rate * float64(clock.Second)
	return max(minRetry, clock.Millis(math.Ceil(missing)))
}

func (o *Owner) advance(now clock.Millis) {
	o.time.advance(now)
	o.refill()
	if o.shape != o.target && o.time.least >= o.growAt {
		o.reshape(o.target)
	}
}

// refill adds tokens only while the owner may grant; before, the pool is empty.
func (o *Owner) refill() {
	if !o.owned || o.time.least < o.servesAt {
		o.pool.at = o.time.least
		return
	}
	o.pool.at = max(o.pool.at, o.servesAt)
	o.pool.refill(o.time.least)
}

func (o *Owner) reshape(shape Pool) {
	o.shape = shape
	o.pool.reshape(shape.Rate, shape.Cap)
}

// smallerPool is within the limits of both a and b.
func smallerPool(a, b Pool) Pool {
	return Pool{Rate: min(a.Rate, b.Rate), Cap: min(a.Cap, b.Cap), Lease: min(a.Lease, b.Lease)}
}
