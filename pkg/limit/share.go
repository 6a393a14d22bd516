package limit

import (
	"math"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// demandWindow is the time constant of the average of demand, in milliseconds.
	demandWindow = 1000.0
	// prefetchLeases is the number of lease durations for which tokens are
	// requested ahead of demand.
	prefetchLeases = 1.0
)

// Decision is the answer to a request for admission.
type Decision struct {
	// Admitted is true if the tokens have been taken.
	Admitted bool
	// Request must be sent to the owner of the pool unless it is nil.
	Request *Request
	// RetryAfter is the delay after which another attempt may succeed.
	RetryAfter clock.Millis
}

// lease is a number of tokens that may be used until expiresAt on
// elapsedBounds.upper.
type lease struct {
	tokens    float64
	epoch     spool.Epoch
	expiresAt clock.Millis
}

// Share admits the requests of one account at one entry. It takes tokens from the
// entry's static allocation and from leases of the pool. Every method takes the
// time of the entry's clock; call Tick at least every Timing.MaxGap/4.
type Share struct {
	account spool.AccountID
	node    spool.NodeID
	timing  Timing
	config  Config
	view    []spool.NodeID
	elapsed elapsedBounds
	// allocation is in force; targetAllocation replaces it at growAt on
	// elapsed.lower.
	allocation, targetAllocation StaticAllocation
	growAt                       clock.Millis
	freshUntil                   clock.Millis
	staticBucket                 bucket
	// leases are in the order of their grants, which is the order of their expiry
	// unless the lease duration changes.
	leases []lease
	// leaseDuration is the duration of the last granted lease.
	leaseDuration clock.Millis
	// demand is the average number of tokens requested per millisecond.
	demand   float64
	demandAt clock.Millis
	// shortfall is the number of tokens that have been missing since the last
	// request to the owner.
	shortfall float64
	sequence  uint64
	// pending is the request to the owner that awaits an answer, sent at
	// pendingSince on elapsed.upper.
	pending      *Request
	pendingSince clock.Millis
	// nextRequestAt is the earliest time of the next request, on elapsed.upper;
	// nextUrgentRequestAt is that of the next request for alarms.
	nextRequestAt       clock.Millis
	nextUrgentRequestAt clock.Millis
	// urgentOnly is true if shortfall counts alarms only.
	urgentOnly bool
}

// NewShare returns the share of a node that knows no view yet and has no tokens.
func NewShare(now clock.Millis, account spool.AccountID, node spool.NodeID, timing Timing, config Config) *Share {
	share := &Share{
		account: account, node: node, timing: timing, config: config,
		elapsed:       elapsedBounds{maxGap: timing.MaxGap},
		leaseDuration: PoolOf(config, timing).Lease,
		sequence:      uint64(max(0, now)),
	}
	share.advance(now)
	return share
}

// Configure applies the next settings of the account.
func (s *Share) Configure(now clock.Millis, config Config) {
	s.advance(now)
	s.config = config
	s.updateTarget()
}

// SetView applies the next agreed membership view.
func (s *Share) SetView(now clock.Millis, view []spool.NodeID) {
	s.advance(now)
	s.view = view
	s.updateTarget()
}

// SetFreshUntil allows the use of the static allocation until the given instant of
// the entry's clock. The caller computes the instant as the time at which it polled
// the control stream plus Timing.View.
func (s *Share) SetFreshUntil(now, until clock.Millis) {
	s.advance(now)
	s.freshUntil = s.elapsed.deadline(now, until, s.timing.View)
}

// Admit takes tokens for a request. isRetry is true for another attempt of a
// waiting request, which does not count as new demand.
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

// Tick applies the passage of time and returns a request to send to the owner of
// the pool, or nil.
func (s *Share) Tick(now clock.Millis) *Request {
	s.advance(now)
	return s.nextRequest()
}

// HandleGrant applies the answer to a request. An answer to any request other than
// the pending one is dropped, and its tokens are lost.
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
	if grant.LeaseDuration > 0 {
		s.leaseDuration = grant.LeaseDuration
	}
	if grant.Granted > 0 {
		s.leases = append(s.leases, lease{grant.Granted, grant.Epoch, s.pendingSince + grant.LeaseDuration})
		s.dropExpiredLeases()
	}
}

// HandleLoss reports that the request with this sequence has failed or was not
// answered.
func (s *Share) HandleLoss(now clock.Millis, sequence uint64) {
	s.advance(now)
	if s.pending != nil && s.pending.Sequence == sequence {
		s.pending = nil
		s.nextRequestAt = s.elapsed.upper + minRetryDelay
	}
}

// Available returns the number of tokens that can be taken now.
func (s *Share) Available(now clock.Millis) float64 {
	s.advance(now)
	return s.leasedTokens() + s.usableStaticTokens()
}

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

func (s *Share) updateTarget() {
	s.targetAllocation = StaticAllocationOf(s.account, s.node, s.view, s.config)
	s.setAllocation(StaticAllocation{Rate: min(s.allocation.Rate, s.targetAllocation.Rate), Burst: min(s.allocation.Burst, s.targetAllocation.Burst)})
	s.growAt = s.elapsed.lower + s.timing.growthDelay()
}

// Resume applies the allocation of the current view at once, with an empty bucket.
// Call it if this node held the same allocation before its process was restarted.
// The earlier process no longer admits anything, and the empty bucket makes up for
// what it may have admitted.
func (s *Share) Resume(now clock.Millis) {
	s.advance(now)
	s.setAllocation(s.targetAllocation)
	s.staticBucket.level = 0
}

func (s *Share) setAllocation(allocation StaticAllocation) {
	s.allocation = allocation
	s.staticBucket.resize(allocation.Rate, allocation.Burst)
}

// dropExpiredLeases also removes leases that have no tokens left.
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

func (s *Share) usableStaticTokens() float64 {
	if s.elapsed.upper >= s.freshUntil {
		return 0
	}
	return s.staticBucket.level
}

// takeTokens uses the static allocation down to half of its burst, then leases,
// then the rest of the static allocation. The static bucket refills whether or not
// it is used, so leaving it full would waste tokens. The lower half is kept for the
// time in which the pool has no owner.
func (s *Share) takeTokens(tokens float64) bool {
	static := s.usableStaticTokens()
	if static+s.leasedTokens()+roundingTolerance < tokens {
		return false
	}
	fromStatic := 0.0
	if static-s.allocation.Burst/2 >= tokens/2 {
		fromStatic = min(static, tokens)
	}
	fromStatic = max(fromStatic, min(static, tokens-s.leasedTokens()))
	s.staticBucket.level -= fromStatic
	s.takeLeasedTokens(tokens - fromStatic)
	return true
}

func (s *Share) takeLeasedTokens(tokens float64) {
	for i := range s.leases {
		used := min(tokens, s.leases[i].tokens)
		s.leases[i].tokens -= used
		tokens -= used
	}
	s.dropExpiredLeases()
}

// nextRequest returns a request to the owner of the pool, or nil. A request is due
// if tokens are missing, if less than half of the prefetched tokens are left, or if
// tokens are about to expire unused.
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
		Urgent: s.urgentOnly,
	}
	s.pendingSince = s.elapsed.upper
	request := *s.pending
	return &request
}

// expiringTokens returns all tokens of the oldest lease, and the epoch that granted
// them, when at most half of a lease duration is left.
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

func (s *Share) retryDelay(tokens float64) clock.Millis {
	wait := max(minRetryDelay, s.nextRequestAt-s.elapsed.upper)
	if s.allocation.Rate > 0 && s.elapsed.upper < s.freshUntil {
		refillTime := max(0, tokens-s.staticBucket.level) / s.allocation.Rate * float64(clock.Second)
		wait = min(wait, max(1, clock.Millis(math.Ceil(refillTime))))
	}
	return wait
}
