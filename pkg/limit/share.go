package limit

import (
	"math"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// demandMemory is the time, in milliseconds, over which demand is averaged.
	demandMemory = 1000.0
	// aheadOf is the number of leases for which tokens are asked ahead.
	aheadOf = 1.0
)

// Decision answers a request for admission.
type Decision struct {
	// Admitted says that the tokens have been taken.
	Admitted bool
	// Ask is to be sent to the pool's owner, unless nil.
	Ask *Request
	// RetryAfter is the wait after which another attempt may succeed.
	RetryAfter clock.Millis
}

// lease is a number of tokens that may be used until ends on time.most.
type lease struct {
	tokens float64
	epoch  spool.Epoch
	ends   clock.Millis
}

// Share is one account's part at one entry. Every method takes the time of the
// entry's clock; Tick is to be called every Timing.MaxGap/4 or more often.
type Share struct {
	account spool.AccountID
	node    spool.NodeID
	timing  Timing
	config  Config
	view    []spool.NodeID
	time    elapsed
	// part is in force; target is reached at growAt on time.least.
	part, target Part
	growAt       clock.Millis
	freshEnds    clock.Millis
	static       bucket
	// leases are ordered by their ends.
	leases []lease
	// leaseFor is the lease of the last grant.
	leaseFor clock.Millis
	// demand is the average of tokens asked for per millisecond.
	demand   float64
	demandAt clock.Millis
	// short counts the tokens that were missing since the last request.
	short    float64
	sequence uint64
	// asked is the request under way, sent at askedAt on time.most.
	asked   *Request
	askedAt clock.Millis
	// askAfter is the earliest next request, on time.most; urgentAfter that of the
	// next request for alarms.
	askAfter    clock.Millis
	urgentAfter clock.Millis
	// urgent says that short counts alarms only.
	urgent bool
}

// NewShare returns the part of a node that knows no view yet and holds nothing.
func NewShare(now clock.Millis, account spool.AccountID, node spool.NodeID, timing Timing, config Config) *Share {
	share := &Share{
		account: account, node: node, timing: timing, config: config,
		time:     elapsed{maxGap: timing.MaxGap},
		leaseFor: PoolOf(config, timing).Lease,
		sequence: uint64(max(0, now)),
	}
	share.advance(now)
	return share
}

// Configure takes the next settings of the account in.
func (s *Share) Configure(now clock.Millis, config Config) {
	s.advance(now)
	s.config = config
	s.retarget()
}

// View takes the next agreed view of the entries in.
func (s *Share) View(now clock.Millis, view []spool.NodeID) {
	s.advance(now)
	s.view = view
	s.retarget()
}

// Fresh allows the use of the static part until the given instant of the entry's
// clock. The caller computes it as the instant at which it asked the control
// stream for news, plus Timing.View.
func (s *Share) Fresh(now, until clock.Millis) {
	s.advance(now)
	s.freshEnds = s.time.until(now, until, s.timing.View)
}

// Admit takes tokens for a new request. repeat is true for a further attempt of
// a request that is being held, which is not new demand.
func (s *Share) Admit(now clock.Millis, tokens float64, repeat bool) Decision {
	s.advance(now)
	if !repeat {
		s.demand += tokens / demandMemory
	}
	if s.take(tokens) {
		return Decision{Admitted: true, Ask: s.ask()}
	}
	s.short += tokens
	return Decision{Ask: s.ask(), RetryAfter: s.untilMore(tokens)}
}

// Tick lets time pass and returns a request to send, or nil.
func (s *Share) Tick(now clock.Millis) *Request {
	s.advance(now)
	return s.ask()
}

// Granted takes the answer to a request in. An answer to any other request than
// the one under way is dropped; its tokens are lost.
func (s *Share) Granted(now clock.Millis, grant Grant) {
	s.advance(now)
	if s.asked == nil || s.asked.Sequence != grant.Sequence {
		return
	}
	if s.asked.Urgent {
		s.urgentAfter = s.time.most + grant.RetryAfter
	} else {
		s.askAfter = s.time.most + grant.RetryAfter
	}
	s.asked = nil
	if grant.LeaseFor > 0 {
		s.leaseFor = grant.LeaseFor
	}
	if grant.Granted > 0 {
		s.leases = append(s.leases, lease{grant.Granted, grant.Epoch, s.askedAt + grant.LeaseFor})
		s.drop()
	}
}

// Lost says that the request with this sequence has failed or was not answered.
func (s *Share) Lost(now clock.Millis, sequence uint64) {
	s.advance(now)
	if s.asked != nil && s.asked.Sequence == sequence {
		s.asked = nil
		s.askAfter = s.time.most + minRetry
	}
}

// Available returns the tokens that an admission could take now.
func (s *Share) Available(now clock.Millis) float64 {
	s.advance(now)
	return s.leased() + s.usableStatic()
}

func (s *Share) advance(now clock.Millis) {
	before := s.time.least
	s.time.advance(now)
	s.static.refill(s.time.least)
	if s.part != s.target && s.time.least >= s.growAt {
		s.reshape(s.target)
	}
	s.demand *= math.Exp(-float64(s.time.least-before) / demandMemory)
	s.drop()
	if s.asked != nil && s.time.most-s.askedAt > s.leaseFor {
		s.asked = nil
	}
}

func (s *Share) retarget() {
	s.target = PartOf(s.account, s.node, s.view, s.config)
	s.reshape(Part{Rate: min(s.part.Rate, s.target.Rate), Burst: min(s.part.Burst, s.target.Burst)})
	s.growAt = s.time.least + s.timing.grow()
}

// Resume puts the part in force that the view gives, with an empty bucket. It is
// for a node that held the same part before its process was restarted: the earlier
// process is gone, and what it may have admitted is made up for by the empty bucket.
func (s *Share) Resume(now clock.Millis) {
	s.advance(now)
	s.reshape(s.target)
	s.static.level = 0
}

func (s *Share) reshape(part Part) {
	s.part = part
	s.static.reshape(part.Rate, part.Burst)
}

// drop removes leases that have lapsed.
func (s *Share) drop() {
	kept := s.leases[:0]
	for _, l := range s.leases {
		if l.ends > s.time.most && l.tokens > 0 {
			kept = append(kept, l)
		}
	}
	s.leases = kept
}

func (s *Share) leased() (tokens float64) {
	for _, l := range s.leases {
		tokens += l.tokens
	}
	return tokens
}

func (s *Share) usableStatic() float64 {
	if s.time.most >= s.freshEnds {
		return 0
	}
	return s.static.level
}

// take uses the static part down to half of its burst, then leases, then the
// rest of the static part. The static part refills whether or not it is used, so
// leaving it full would waste it; the lower half is kept for the time when the
// pool's owner is gone.
func (s *Share) take(tokens float64) bool {
	static := s.usableStatic()
	if static+s.leased()+rounding < tokens {
		return false
	}
	fromStatic := 0.0
	if static-s.part.Burst/2 >= tokens/2 {
		fromStatic = min(static, tokens)
	}
	fromStatic = max(fromStatic, min(static, tokens-s.leased()))
	s.static.level -= fromStatic
	s.spend(tokens - fromStatic)
	return true
}

func (s *Share) spend(tokens float64) {
	for i := range s.leases {
		used := min(tokens, s.leases[i].tokens)
		s.leases[i].tokens -= used
		tokens -= used
	}
	s.drop()
}

// ask builds a request when tokens are missing, when less than half of what the
// next lease needs is left, or when tokens are about to lapse unused.
func (s *Share) ask() *Request {
	after := s.askAfter
	if s.urgent {
		after = s.urgentAfter
	}
	if s.asked != nil || s.time.most < after {
		return nil
	}
	ahead := aheadOf * s.demand * float64(s.leaseFor)
	returned, epoch := s.lapsing()
	held := s.leased() - returned
	want := math.Floor(ahead) + s.short - held
	if s.urgent {
		want = s.short
	}
	if s.short == 0 && held >= ahead/2 {
		want = 0
	}
	if want < 1 && returned == 0 {
		return nil
	}
	s.giveBack(epoch, returned)
	s.sequence++
	s.short = 0
	s.asked = &Request{
		Account: s.account, Node: s.node, Sequence: s.sequence,
		Want: max(0, math.Ceil(want)), Returned: returned, Epoch: epoch,
		Urgent: s.urgent,
	}
	s.askedAt = s.time.most
	request := *s.asked
	return &request
}

// lapsing returns the whole tokens of the oldest lease when less than half of its
// time is left.
func (s *Share) lapsing() (float64, spool.Epoch) {
	if len(s.leases) == 0 || s.leases[0].ends-s.time.most > s.leaseFor/2 {
		return 0, 0
	}
	return s.leases[0].tokens, s.leases[0].epoch
}

func (s *Share) giveBack(epoch spool.Epoch, tokens float64) {
	if tokens > 0 && s.leases[0].epoch == epoch {
		s.leases[0].tokens = 0
		s.drop()
	}
}

func (s *Share) untilMore(tokens float64) clock.Millis {
	wait := max(minRetry, s.askAfter-s.time.most)
	if s.part.Rate > 0 && s.time.most < s.freshEnds {
		missing := max(0, tokens-s.static.level) / s.part.Rate * float64(clock.Second)
		wait = min(wait, max(1, clock.Millis(math.Ceil(missing))))
	}
	return wait
}
