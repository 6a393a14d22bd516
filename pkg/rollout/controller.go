package rollout

import (
	"fmt"
	"math"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Surroundings is what the controller knows apart from reports.
type Surroundings struct {
	// Live are the gateways that run.
	Live []spool.NodeID
	// Old and New are the numbers of endpoints of the old versions and of the new one that
	// take requests. New contains only those that are warm, Cold the others.
	Old, New, Cold int
}

// Controller decides on one rollout. At most one controller of an order may call Written.
// It is not safe for concurrent use.
type Controller struct {
	config Config
	order  Order
	// startedAt is when the order was first seen, on the clock of this controller, and
	// ownedAt when this controller began.
	startedAt, ownedAt clock.Millis
	// written is the newest record that the store has confirmed; its phase is in effect.
	// isWritten is false while the store has none of this order.
	written   Record
	isWritten bool
	// next is the phase that is decided, which takes effect when it is written. A rollback
	// takes effect at once, because it only takes requests away from the new version.
	next   Phase
	reason string
	ledger *ledger
	judge  *judge
	// flow is the number of requests that may be granted by the pace, updated at flowAt.
	flow   float64
	flowAt clock.Millis
	// shiftedAt is when the phase became Shifting, and shiftedAnswers the number of
	// answers at that time.
	shiftedAt      clock.Millis
	shiftedAnswers int64
	surroundings   Surroundings
}

// NewController returns the controller of an order. previous is the newest record of the
// service in the store, nil if there is none; age is the time since this gateway first saw
// the order, and recordAge the time since it read previous.
func NewController(now clock.Millis, config Config, order Order, previous *Record, age, recordAge clock.Millis) *Controller {
	c := &Controller{
		config: config, order: order, ownedAt: now, next: Trial, judge: newJudge(),
		written: Record{Order: order.Offset, To: order.To, Duration: order.Duration, Phase: Trial},
	}
	switch {
	case previous == nil:
	case previous.Order == order.Offset:
		c.written, c.isWritten = *previous, true
		c.next, c.reason = previous.Phase, previous.Reason
		age = max(age, previous.Elapsed+recordAge)
	default:
		c.written.Barred = BarredAfter(*previous, order.To)
		if previous.Phase == Completed && previous.To == order.To {
			// The version already has all requests, so there is nothing to compare it with.
			c.next, c.reason = Completed, "version is in use"
		}
	}
	c.startedAt, c.shiftedAt, c.flowAt = now-age, now, now
	c.ledger = newLedger(c.written.Charged, c.written.Requests)
	return c
}

// BarredAfter returns the versions that get no requests in an order to a version that
// follows another order: those that were not completed.
func BarredAfter(previous Record, to string) (barred []string) {
	for _, version := range append(slices.Clone(previous.Barred), previous.To) {
		isUnproven := version != previous.To || previous.Phase != Completed
		if isUnproven && version != to && !slices.Contains(barred, version) {
			barred = append(barred, version)
		}
	}
	return barred
}

// Phase returns the phase in effect.
func (c *Controller) Phase() Phase {
	if c.next == RolledBack {
		return RolledBack
	}
	return c.written.Phase
}

// Order returns the order.
func (c *Controller) Order() Order { return c.order }

// Reason returns why the phase was decided.
func (c *Controller) Reason() string { return c.reason }

// Evidence describes the answers so far and the granted requests, for the log.
func (c *Controller) Evidence() string {
	return fmt.Sprintf("%sgranted %d of %d requests", c.judge.summary(), c.ledger.granted(), c.ledger.total())
}

// Withdraw ends the rollout because its order no longer stands.
func (c *Controller) Withdraw() { c.decide(RolledBack, "order was withdrawn") }

// decide sets the next phase, unless a final one was decided. A completion that may have
// been written is never taken back.
func (c *Controller) decide(next Phase, reason string) {
	if !c.next.IsFinal() && next.rank() > c.next.rank() {
		c.next, c.reason = next, reason
	}
}

// age returns the time since the order as a part of its duration.
func (c *Controller) age(now clock.Millis) float64 {
	return float64(now-c.startedAt) / float64(max(1, c.order.Duration))
}

// Ask takes in a report and answers it. mayGrant is false if this gateway may not grant.
func (c *Controller) Ask(now clock.Millis, report Report, mayGrant bool) Reply {
	known := c.ledger.peers[report.Incarnation]
	if known != nil && report.Sequence <= known.last.Sequence {
		// A delayed report: a later one was answered.
		return Reply{Phase: c.Phase(), Ceiling: report.Sent}
	}
	if known == nil {
		known = &peer{node: report.Gateway, firstSent: report.Sent, firstAnswered: report.answered()}
		c.ledger.peers[report.Incarnation] = known
	}
	isLoaded := c.age(now) >= loadFrom
	added := map[string]RouteCounts{}
	for route, counts := range report.Routes {
		earlier := known.last.Routes[route]
		added[route] = RouteCounts{Old: counts.Old.minus(earlier.Old), New: counts.New.minus(earlier.New)}
	}
	if report.answered() > known.last.answered() || report.Sent > known.last.Sent {
		known.busyAt = now
	}
	// What is left of the previous reply is replaced by this one.
	c.flow += float64(max(0, known.ceiling-report.Sent))
	c.judge.add(now, added, isLoaded)
	known.last, known.askedAt, known.ceiling = report, now, report.Sent
	if report.Phase.IsFinal() {
		c.decide(report.Phase, "gateway "+string(report.Gateway)+" knows the phase")
	}
	c.ledger.updateRate(now)
	c.judgeNow(now)
	reply := Reply{Phase: c.Phase(), Ceiling: report.Sent}
	if mayGrant && reply.Phase == Trial && c.next == Trial {
		var pace float64
		pace, reply.Focus = c.pace(now)
		reply.Ceiling += c.grant(now, pace, now-known.busyAt < busyFor)
		reply.Prefer = c.judge.wanted()
	}
	known.ceiling = reply.Ceiling
	return reply
}

// judgeNow rolls the version back if it has shown to be bad.
func (c *Controller) judgeNow(now clock.Millis) {
	settled := now - settleFor
	if c.written.Phase == Shifting {
		settled = now
	}
	c.judge.settle(settled)
	if verdict := c.judge.verdict(); verdict != "" {
		c.decide(RolledBack, verdict)
	}
}

// limit returns the number of requests that may have been granted by now.
func (c *Controller) limit(now clock.Millis) int64 {
	budget := c.config.budget(c.ledger.total())
	if c.age(now) < loadFrom {
		return int64(earlyShare * float64(budget))
	}
	return budget
}

// pace returns the number of requests per second for the new version, and the number of
// endpoints that they go to, so that each is loaded like an old one.
func (c *Controller) pace(now clock.Millis) (perSecond float64, focus int) {
	if c.surroundings.New == 0 {
		return 0, 0
	}
	end := c.order.decideFrom()
	if c.age(now) < loadFrom {
		end = loadFrom
	}
	left := max(clock.Second, clock.Millis((end-c.age(now))*float64(c.order.Duration)))
	remaining := max(0, c.limit(now)-c.ledger.granted()+c.ledger.unused())
	perSecond = float64(remaining) / (float64(left) / float64(clock.Second))
	perEndpoint := max(0.5, loadFactor*c.ledger.rate/float64(max(1, c.surroundings.Old)))
	focus = max(1, int(math.Round(focusShare*float64(c.surroundings.New))))
	if c.age(now) >= loadFrom {
		perSecond = max(perSecond, perEndpoint*float64(focus))
	}
	focus = min(c.surroundings.New, max(focus, int(math.Ceil(perSecond/perEndpoint))))
	return min(perSecond, 4*perEndpoint*float64(focus)), focus
}

// grant returns the number of requests that a gateway is granted. One without traffic gets
// none, since unused grants count as used until the gateway reports again.
func (c *Controller) grant(now clock.Millis, pace float64, isBusy bool) int64 {
	passed := float64(now-c.flowAt) / float64(clock.Second)
	c.flow, c.flowAt = min(c.flow+pace*passed, max(4, pace)), now
	if !isBusy || !c.isWritten || c.flow < -maxDebt {
		return 0
	}
	gateways := 0
	for _, p := range c.ledger.peers {
		if now-p.busyAt < busyFor {
			gateways++
		}
	}
	share := int64(math.Ceil(2 * c.flow / float64(max(1, gateways))))
	free := min(c.limit(now), c.written.Charged) - c.ledger.granted()
	// Each busy gateway holds one request for a route that lacks answers.
	count := max(0, min(max(1, min(share, int64(c.flow))), free))
	c.flow -= float64(count)
	return count
}

// Tick takes in the surroundings and decides on the next phase. It returns a record that
// must be written; nil if there is none.
func (c *Controller) Tick(now clock.Millis, surroundings Surroundings) *Record {
	c.surroundings = surroundings
	c.judgeNow(now)
	switch c.Phase() {
	case Trial:
		c.tickTrial(now)
	case Shifting:
		c.tickShifting(now)
	case Completed, RolledBack:
	}
	return c.pending(now)
}

func (c *Controller) tickTrial(now clock.Millis) {
	age := c.age(now)
	if age < c.order.decideFrom() {
		return
	}
	missing := c.judge.missing()
	if c.surroundings.New == 0 {
		missing = "no endpoint takes requests"
	}
	if c.surroundings.Cold > c.surroundings.New {
		missing = "most endpoints are cold"
	}
	isLate := age >= c.order.decideFrom()+decideFor && now-c.ownedAt >= clock.Second
	switch {
	case missing == "" && age < 1:
		c.decide(Shifting, "evidence is sufficient")
	case isLate:
		c.decide(RolledBack, "evidence is not sufficient: "+missing)
	}
}

func (c *Controller) tickShifting(now clock.Millis) {
	isWatched := now-c.shiftedAt >= watchFor && c.newAnswers()-c.shiftedAnswers >= watchAnswers
	switch {
	case c.surroundings.New == 0:
		c.decide(RolledBack, "no endpoint takes requests")
	case isWatched && c.isConfirmed(now):
		c.decide(Completed, "all gateways have stopped sending to old versions")
	}
}

// newAnswers returns the number of answers of the new version.
func (c *Controller) newAnswers() int64 { return c.judge.routes[allRoutes].new.ended() }

// isConfirmed reports whether no gateway sends to old endpoints or waits for their
// answers. Each gateway that runs must have confirmed this. A process that has not must have
// been silent for so long that it asks before it sends again.
func (c *Controller) isConfirmed(now clock.Millis) bool {
	confirmed := map[spool.NodeID]bool{}
	for _, p := range c.ledger.peers {
		hasConfirmed := p.last.Phase == Shifting && p.last.OldInFlight == 0
		if !hasConfirmed && now-p.askedAt < goneAfter {
			return false
		}
		confirmed[p.node] = confirmed[p.node] || hasConfirmed
	}
	for _, node := range c.surroundings.Live {
		if !confirmed[node] {
			return false
		}
	}
	// A gateway that reported to an earlier controller only reports to this one meanwhile.
	return len(confirmed) > 0 && now-c.ownedAt >= clock.Second
}

// pending returns the record that must be written; nil if there is none.
func (c *Controller) pending(now clock.Millis) *Record {
	charged := c.written.Charged
	if c.next == Trial && c.surroundings.New > 0 {
		ahead := chargeAhead + int64(c.ledger.rate*shareMargin*c.config.settings.ExposeShare)
		if granted := c.ledger.granted(); charged < granted+ahead/2 {
			charged = max(charged, min(c.config.budget(c.ledger.total()), granted+ahead))
		}
	}
	if c.isWritten && c.next == c.written.Phase && charged == c.written.Charged {
		return nil
	}
	next := c.written
	next.Phase, next.Reason, next.Charged = c.next, c.reason, charged
	next.Requests, next.Elapsed = c.ledger.total(), now-c.startedAt
	return &next
}

// Written puts a record of Tick in effect that the store has confirmed.
func (c *Controller) Written(now clock.Millis, record Record) {
	if record.Phase == Shifting && c.written.Phase != Shifting {
		c.shiftedAt, c.shiftedAnswers = now, c.newAnswers()
	}
	c.written, c.isWritten = record, true
}

// Record returns the newest written record; ok is false if there is none.
func (c *Controller) Record() (record Record, ok bool) { return c.written, c.isWritten }
