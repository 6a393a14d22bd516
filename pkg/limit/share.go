package limit

import (
	"math"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// demandWindow is the time constant of the exponential average Share.demand, in
	// milliseconds.
	demandWindow = 1000.0
	// prefetchLeases is the number of lease durations for whose expected demand
	// tokens are requested in advance.
	prefetchLeases = 1.0
)

// Decision is the result of Share.Admit or Queue.Submit.
type Decision struct {
	// Admitted is true if the request is admitted and its tokens have been taken.
	Admitted bool
	// Request, unless nil, must be sent to the owner of the pool.
	Request *Request
	// RetryAfter is the delay after which another attempt may succeed; 0 if the
	// request is admitted or queued.
	RetryAfter clock.Millis
}

// lease is a number of granted tokens that this entry may use from the time at which
// elapsed.lower reaches usableAt until elapsed.upper reaches expiresAt. epoch is the
// epoch of the owner that granted them.
type lease struct {
	tokens    float64
	epoch     spool.Epoch
	usableAt  clock.Millis
	expiresAt clock.Millis
}

// Share admits the requests of one account at one entry. It takes tokens from the
// entry's static allocation and from leases of the pool. The argument now of every
// method is the time by the entry's clock; call Tick at least every
// Timing.MaxGap/4. A Share is not safe for concurrent use.
type Share struct {
	account spool.AccountID
	node    spool.NodeID
	timing  Timing
	config  Config
	view    []spool.NodeID
	elapsed elapsedBounds
	// allocation is in force. It is replaced by targetAllocation when elapsed.lower
	// reaches growAt.
	allocation, targetAllocation StaticAllocation
	growAt                       clock.Millis
	// freshUntil is the time on elapsed.upper until which the static allocation may
	// be used.
	freshUntil   clock.Millis
	staticBucket bucket
	// leases are in the order in which they were granted. They also expire in this
	// order unless the lease duration changes.
	leases []lease
	// leaseDuration is the lease duration in the last answer of the owner, or that
	// of PoolOf before the first answer.
	leaseDuration clock.Millis
	// demand is the average number of tokens requested per millisecond.
	demand   float64
	demandAt clock.Millis
	// shortfall is the number of tokens that requests found missing and that have
	// not been requested from the owner since. A Queue sets it to the number of
	// queued requests.
	shortfall float64
	sequence  uint64
	// pending is the last request to the owner until it is answered or has failed;
	// nil if there is none. It was sent at pendingSince on elapsed.upper.
	pending      *Request
	pendingSince clock.Millis
	// nextRequestAt is the earliest time of the next request to the owner, on
	// elapsed.upper; nextUrgentRequestAt is the same for a request for alarms.
	nextRequestAt       clock.Millis
	nextUrgentRequestAt clock.Millis
	// urgentOnly is true if shortfall contains only the tokens that are missing for
	// queued alarms.
	urgentOnly bool
	// maxDelay is Request.MaxDelay of the next request.
	maxDelay clock.Millis
	// ownerExpectedBy is the time, on elapsed.upper, by which an owner is expected to
	// grant that does not grant yet; 0 if none is expected.
	ownerExpectedBy clock.Millis
}

// NewShare returns the share of node. It has no tokens. Its static allocation is 0
// until SetView has been called and the delay of Timing.GrowthDelay has passed.
func NewShare(now clock.Millis, account spool.AccountID, node spool.NodeID, timing Timing, config Config) *Share {
	share := &Share{
		account: account, node: node, timing: timing, config: config,
		elapsed:       elapsedBounds{maxGap: timing.MaxGap},
		leaseDuration: PoolOf(config, timing).Lease,
		sequence:      uint64(max(0, now)),
	}
	share.advance(now)
	share.ownerExpectedBy = share.elapsed.upper + timing.OwnerWait
	return share
}

// Configure applies new limits. The static allocation shrinks at once or grows
// after the delay of Timing.GrowthDelay.
func (s *Share) Configure(now clock.Millis, config Config) {
	s.advance(now)
	s.config = config
	s.updateTarget()
}

// SetView applies the next membership view of the control stream: the IDs of all
// entries among which the static portion is divided. The static allocation shrinks
// at once or grows after the delay of Timing.GrowthDelay.
func (s *Share) SetView(now clock.Millis, view []spool.NodeID) {
	s.advance(now)
	s.view = view
	s.updateTarget()
}

// SetFreshUntil allows the use of the static allocation until the time until, by
// the entry's clock. The caller computes it as the time at which it polled the
// control stream, plus Timing.View. A time later than now + Timing.View is reduced
// to that.
func (s *Share) SetFreshUntil(now, until clock.Millis) {
	s.advance(now)
	s.freshUntil = s.elapsed.deadline(now, until, s.timing.View)
}

// Admit takes tokens for a request if there are enough; otherwise it takes none and
// adds them to the next request to the owner. isRetry is true if the request has
// been refused before, so that it is not added to the demand again.
func (s *Share) Admit(now clock.Millis, tokens float64, isRetry bool) Decision {
	s.advance(now)
	if !isRetry {
		s.demand += tokens / demandWindow
	}
	if s.takeTokens(tokens) {
		return Decision{Admitted: true, Request: s.nextRequest()}
	}
	s.shortfall += tokens
	return Decision{Request: s.nextRequest(), RetryAfter: s.retryDelay(tokens)}
}

// Tick applies the passage of time. It returns a request that must be sent to the
// owner of the pool, or nil.
func (s *Share) Tick(now clock.Millis) *Request {
	s.advance(now)
	return s.nextRequest()
}

// HandleGrant applies the answer to the pending request and adds its lease. An
// answer to any other request is ignored, and its tokens are lost.
func (s *Share) HandleGrant(now clock.Millis, grant Grant) {
	s.advance(now)
	if s.pending == nil || s.pending.Sequence != grant.Sequence {
		return
	}
	if s.pending.Urgent {
		s.nextUrgentRequestAt = s.elapsed.upper + grant.RetryAfter
	} else {
		s.nextRequestAt = s.elapsed.upper + grant.RetryAfter
	}
	s.pending = nil
	s.updateOwnerExpected(grant)
	if grant.LeaseDuration > 0 {
		s.leaseDuration = grant.LeaseDuration - grant.UsableIn
	}
	if grant.Granted > 0 {
		s.leases = append(s.leases, lease{
			tokens: grant.Granted, epoch: grant.Epoch,
			usableAt: s.elapsed.lower + grant.UsableIn, expiresAt: s.pendingSince + grant.LeaseDuration,
		})
		s.dropExpiredLeases()
	}
}

// updateOwnerExpected sets ownerExpectedBy from an answer of the owner. The answer to the
// first request after the owner may grant arrives within Timing.MinQueueWait of that time.
func (s *Share) updateOwnerExpected(grant Grant) {
	s.ownerExpectedBy = 0
	if grant.Withheld && grant.RetryAfter <= s.timing.OwnerWait {
		s.ownerExpectedBy = s.elapsed.upper + grant.RetryAfter + s.timing.MinQueueWait
	}
}

// awaitsOwner reports whether an owner is expected to grant soon that does not grant yet.
func (s *Share) awaitsOwner() bool { return s.elapsed.upper < s.ownerExpectedBy }

// HandleLoss reports that the request with this sequence has failed or was not
// answered. If it is the pending one, the next request that is not for alarms is
// sent minRetryDelay later at the earliest.
func (s *Share) HandleLoss(now clock.Millis, sequence uint64) {
	s.advance(now)
	if s.pending != nil && s.pending.Sequence == sequence {
		s.pending = nil
		s.nextRequestAt = s.elapsed.upper + minRetryDelay
	}
}

// Available returns the number of tokens that Admit can take now, from the static
// allocation and from leases.
func (s *Share) Available(now clock.Millis) float64 {
	s.advance(now)
	return s.usableLeasedTokens() + s.usableStaticTokens()
}

// advance applies the passage of time: it refills the static bucket, lets the
// allocation grow when that is due, decays demand, removes expired leases, and
// drops a pending request that is older than a lease duration.
func (s *Share) advance(now clock.Millis) {
	previous := s.elapsed.lower
	s.elapsed.advance(now)
	s.staticBucket.refill(s.elapsed.lower)
	if s.allocation != s.targetAllocation && s.elapsed.lower >= s.growAt {
		s.setAllocation(s.targetAllocation)
	}
	s.demand *= math.Exp(-float64(s.elapsed.lower-previous) / demandWindow)
	s.dropExpiredLeases()
	if s.pending != nil && s.elapsed.upper-s.pendingSince > s.leaseDuration {
		s.pending = nil
	}
}

// updateTarget computes the allocation after a change of view or limits. A smaller
// rate or burst applies at once, a larger one at growAt.
func (s *Share) updateTarget() {
	s.targetAllocation = StaticAllocationOf(s.account, s.node, s.view, s.config)
	s.setAllocation(StaticAllocation{Rate: min(s.allocation.Rate, s.targetAllocation.Rate), Burst: min(s.allocation.Burst, s.targetAllocation.Burst)})
	s.growAt = s.elapsed.lower + s.timing.growthDelay()
}

// Resume puts the allocation of the current view in force at once, without the
// growth delay, and empties its bucket. Call it only if this node had the same
// allocation before its process was restarted. The previous process admits nothing
// any more, and the empty bucket makes up for the requests that it may have
// admitted.
func (s *Share) Resume(now clock.Millis) {
	s.advance(now)
	s.setAllocation(s.targetAllocation)
	s.staticBucket.level = 0
}

func (s *Share) setAllocation(allocation StaticAllocation) {
	s.allocation = allocation
	s.staticBucket.resize(allocation.Rate, allocation.Burst)
}

// dropExpiredLeases removes leases that have expired or have no tokens left.
func (s *Share) dropExpiredLeases() {
	kept := s.leases[:0]
	for _, l := range s.leases {
		if l.expiresAt > s.elapsed.upper && l.tokens > 0 {
			kept = append(kept, l)
		}
	}
	s.leases = kept
}

func (s *Share) leasedTokens() (tokens float64) {
	for _, l := range s.leases {
		tokens += l.tokens
	}
	return tokens
}

// usableLeasedTokens returns the leased tokens that may be used now.
func (s *Share) usableLeasedTokens() (tokens float64) {
	for _, l := range s.leases {
		if s.elapsed.lower >= l.usableAt {
			tokens += l.tokens
		}
	}
	return tokens
}

// delayedTokens returns the leased tokens that may be used later.
func (s *Share) delayedTokens() float64 { return s.leasedTokens() - s.usableLeasedTokens() }

func (s *Share) usableStaticTokens() float64 {
	if s.elapsed.upper >= s.freshUntil {
		return 0
	}
	return s.staticBucket.level
}

// takeTokens takes the tokens and returns true, or takes none if there are not
// enough. It uses the static allocation down to half of its burst, then leases,
// then the rest of the static allocation. The static bucket refills even if it is
// not used, so a full one wastes tokens. Its lower half is kept for times in which
// the pool has no owner.
func (s *Share) takeTokens(tokens float64) bool {
	static := s.usableStaticTokens()
	leased := s.usableLeasedTokens()
	if static+leased+roundingTolerance < tokens {
		return false
	}
	fromStatic := 0.0
	if static-s.allocation.Burst/2 >= tokens/2 {
		fromStatic = min(static, tokens)
	}
	fromStatic = max(fromStatic, min(static, tokens-leased))
	s.staticBucket.level -= fromStatic
	s.takeLeasedTokens(tokens - fromStatic)
	return true
}

func (s *Share) takeLeasedTokens(tokens float64) {
	for i := range s.leases {
		if s.elapsed.lower < s.leases[i].usableAt {
			continue
		}
		used := min(tokens, s.leases[i].tokens)
		s.leases[i].tokens -= used
		tokens -= used
	}
	s.dropExpiredLeases()
}

// nextRequest returns a request to the owner of the pool, or nil if none is due or
// another one is pending. A request is due if tokens are missing, if the leases
// contain less than half of the expected demand of prefetchLeases lease durations,
// or if a lease is about to expire with unused tokens, which the request then
// returns.
func (s *Share) nextRequest() *Request {
	notBefore := s.nextRequestAt
	if s.urgentOnly {
		notBefore = s.nextUrgentRequestAt
	}
	if s.pending != nil || s.elapsed.upper < notBefore {
		return nil
	}
	prefetch := prefetchLeases * s.demand * float64(s.leaseDuration)
	returned, epoch := s.expiringTokens()
	remaining := s.leasedTokens() - returned
	want := math.Floor(prefetch) + s.shortfall - remaining
	if s.urgentOnly {
		want = s.shortfall
	}
	if s.shortfall == 0 && remaining >= prefetch/2 {
		want = 0
	}
	if want < 1 && returned == 0 {
		return nil
	}
	s.removeReturned(epoch, returned)
	s.sequence++
	s.shortfall = 0
	s.pending = &Request{
		Account: s.account, Node: s.node, Sequence: s.sequence,
		Requested: max(0, math.Ceil(want)), Returned: returned, Epoch: epoch,
		Urgent: s.urgentOnly, MaxDelay: s.maxDelay,
	}
	s.pendingSince = s.elapsed.upper
	request := *s.pending
	return &request
}

// isPoolShort reports whether the owner has answered that it has no more tokens, and the
// time for the next request to it has not come.
func (s *Share) isPoolShort() bool { return s.elapsed.upper < s.nextRequestAt }

// expiringTokens returns the tokens of the oldest lease and the epoch that granted
// them if at most half of a lease duration is left until it expires; otherwise 0.
func (s *Share) expiringTokens() (float64, spool.Epoch) {
	if len(s.leases) == 0 || s.leases[0].expiresAt-s.elapsed.upper > s.leaseDuration/2 {
		return 0, 0
	}
	return s.leases[0].tokens, s.leases[0].epoch
}

func (s *Share) removeReturned(epoch spool.Epoch, tokens float64) {
	if tokens > 0 && s.leases[0].epoch == epoch {
		s.leases[0].tokens = 0
		s.dropExpiredLeases()
	}
}

// retryDelay returns the time until the static allocation can be expected to cover
// tokens or until the next request to the owner is allowed, whichever is earlier.
func (s *Share) retryDelay(tokens float64) clock.Millis {
	wait := max(minRetryDelay, s.nextRequestAt-s.elapsed.upper)
	if s.allocation.Rate > 0 && s.elapsed.upper < s.freshUntil {
		refillTime := max(0, tokens-s.staticBucket.level) / s.allocation.Rate * float64(clock.Second)
		wait = min(wait, max(1, clock.Millis(math.Ceil(refillTime))))
	}
	return wait
}
