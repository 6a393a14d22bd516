package rollout

import (
	"maps"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Access says to which endpoints a request may go.
type Access int

const (
	// AccessNone is for no endpoint.
	AccessNone Access = iota
	// AccessOld is for endpoints of the versions in use before the order.
	AccessOld
	// AccessGranted is for endpoints of the new version, by a grant.
	AccessGranted
	// AccessNew is for endpoints of the new version, without a grant.
	AccessNew
)

// Sample is the result of one request.
type Sample struct {
	// Failed is a missing or broken answer, or a server error; Cut a request whose caller
	// left.
	Failed, Cut bool
	// First is the time to the first event or, without events, to the whole answer; -1 if it
	// says nothing, as that of a cold endpoint. Pace is the time between two events; -1 if
	// there are not two.
	First, Pace clock.Millis
}

// Holder is the part of a rollout that runs on each gateway. Times are those of a clock that
// goes on while the VM is paused. It is not safe for concurrent use.
type Holder struct {
	order       Order
	gateway     spool.NodeID
	incarnation string
	phase       Phase
	// isWithdrawn is true if the phase is RolledBack because the order was withdrawn. The
	// controller may have completed the rollout before it knew that.
	isWithdrawn bool
	barred      []string
	sequence    int64
	// sent is the number of granted requests that were sent, and ceiling the number up to
	// which they may be sent until expiresAt.
	sent, ceiling int64
	expiresAt     clock.Millis
	focus         int
	prefer        []string
	oldInFlight   int64
	routes        map[string]RouteCounts
	// triedAt is when the newest report was sent that was answered or has failed; learntAt
	// the newest time at which the controller or the store is known to have had the phase.
	triedAt, learntAt clock.Millis
}

// NewHolder returns the holder of an order that was read now. isRunning is true if the
// gateway was already serving, so that it may go on with the old versions at once.
func NewHolder(now clock.Millis, order Order, gateway spool.NodeID, incarnation string, isRunning bool) *Holder {
	h := &Holder{order: order, gateway: gateway, incarnation: incarnation, phase: Trial, routes: map[string]RouteCounts{}, triedAt: -stallLimit - 1}
	if isRunning {
		h.triedAt = now
	}
	return h
}

// Order returns the order.
func (h *Holder) Order() Order { return h.order }

// Phase returns the phase that this gateway has learnt.
func (h *Holder) Phase() Phase { return h.phase }

// Focus returns the number of new endpoints that granted requests go to.
func (h *Holder) Focus() int { return h.focus }

// Allows reports whether a version may get a request with the given access.
func (h *Holder) Allows(access Access, version string) bool {
	switch access {
	case AccessOld:
		return version != h.order.To && !slices.Contains(h.barred, version)
	case AccessGranted, AccessNew:
		return version == h.order.To
	default:
		return false
	}
}

// Barred returns the versions of earlier orders that get no requests.
func (h *Holder) Barred() []string { return h.barred }

// Follow takes in the newest record of an earlier order.
func (h *Holder) Follow(previous Record) {
	h.barred = BarredAfter(previous, h.order.To)
	if previous.Phase == Completed && previous.To == h.order.To {
		h.phase = Completed
	}
}

// Withdraw ends the rollout because its order no longer stands.
func (h *Holder) Withdraw() {
	if h.phase != Completed {
		h.phase, h.isWithdrawn = RolledBack, true
	}
}

// Choose returns to which endpoints a request of a route may go. The caller must call
// GiveBack or Ended with the result. AccessGranted uses one granted request. A request at an
// old endpoint counts from here on, so that a report after Choose includes it.
// mayUseGrant is false for a request that must not go to the new version by a grant.
func (h *Holder) Choose(now clock.Millis, route string, mayUseGrant bool) Access {
	access := h.choose(now, route, mayUseGrant)
	switch access {
	case AccessOld:
		h.oldInFlight++
	case AccessGranted:
		h.sent++
	case AccessNew, AccessNone:
	}
	return access
}

func (h *Holder) choose(now clock.Millis, route string, mayUseGrant bool) Access {
	switch {
	case h.phase == Completed:
		return AccessNew
	case h.phase == RolledBack:
		return AccessOld
	case h.phase == Shifting && now-h.learntAt > ShiftLife:
		return AccessNone
	case h.phase == Shifting:
		return AccessNew
	case h.IsPaused(now):
		return AccessNone
	case mayUseGrant && now < h.expiresAt && h.sent+h.reserved(route) < h.ceiling:
		return AccessGranted
	default:
		return AccessOld
	}
}

// reserved returns the number of granted requests that are kept for other routes.
func (h *Holder) reserved(route string) int64 {
	if len(h.prefer) == 0 || slices.Contains(h.prefer, route) {
		return 0
	}
	return 1
}

// IsPaused reports whether the gateway must report before it sends anything, because it has
// just started or was paused.
func (h *Holder) IsPaused(now clock.Millis) bool {
	return h.phase == Trial && now-h.triedAt > stallLimit
}

// GiveBack ends a request that Choose allowed and that was not sent.
func (h *Holder) GiveBack(access Access) {
	switch access {
	case AccessOld:
		h.oldInFlight--
	case AccessGranted:
		h.sent--
	case AccessNew, AccessNone:
	}
}

// Ended records the end of a request that was sent. sample is nil if it says nothing.
func (h *Holder) Ended(access Access, route string, sample *Sample) {
	if access == AccessOld {
		h.oldInFlight--
	}
	if sample == nil {
		return
	}
	counts, known := h.routes[route]
	if !known {
		counts = RouteCounts{Old: newCounts(), New: newCounts()}
	}
	if access == AccessOld {
		counts.Old.record(*sample)
	} else {
		counts.New.record(*sample)
	}
	h.routes[route] = counts
}

func (c *Counts) record(sample Sample) {
	switch {
	case sample.Cut:
		c.Cut[bucketOf(sample.First)]++
		return
	case sample.Failed:
		c.Failed++
		return
	}
	c.Good++
	if sample.First >= 0 {
		c.First[bucketOf(sample.First)]++
	}
	if sample.Pace >= 0 {
		c.Pace[bucketOf(sample.Pace)]++
	}
}

// Report returns the next report. Replies to earlier ones are ignored from now on.
func (h *Holder) Report(now clock.Millis) Report {
	h.sequence++
	if now >= h.expiresAt {
		h.ceiling = h.sent
	}
	routes := maps.Clone(h.routes)
	for route, counts := range routes {
		routes[route] = RouteCounts{Old: counts.Old.clone(), New: counts.New.clone()}
	}
	return Report{
		Service: h.order.Service, Order: h.order.Offset, Gateway: h.gateway, Incarnation: h.incarnation, Sequence: h.sequence,
		Phase: h.phase, Sent: h.sent, Ceiling: max(h.sent, h.ceiling), OldInFlight: h.oldInFlight, Routes: routes,
	}
}

// Apply takes in the reply to the report of a sequence, which was sent at sentAt.
func (h *Holder) Apply(sentAt clock.Millis, sequence int64, reply Reply) {
	if sequence != h.sequence {
		return
	}
	h.triedAt = max(h.triedAt, sentAt)
	h.learn(reply.Phase, sentAt)
	if h.phase == Trial {
		h.ceiling, h.expiresAt, h.focus, h.prefer = reply.Ceiling, sentAt+GrantLife, reply.Focus, reply.Prefer
	}
}

// ReportFailed records that a report that was sent at sentAt was not answered.
func (h *Holder) ReportFailed(sentAt clock.Millis) { h.triedAt = max(h.triedAt, sentAt) }

// Observe takes in a record of the controller that the store still had at a time.
func (h *Holder) Observe(at clock.Millis, record Record) {
	if record.Order == h.order.Offset {
		h.barred = record.Barred
		h.learn(record.Phase, at)
	}
}

// learn takes in the phase at a time. It never goes back to an earlier one.
func (h *Holder) learn(phase Phase, at clock.Millis) {
	switch {
	case h.isWithdrawn && phase == Completed:
		h.phase, h.isWithdrawn = Completed, false
	case h.phase.IsFinal():
	case phase.rank() > h.phase.rank():
		h.phase, h.learntAt = phase, at
	case phase == h.phase:
		h.learntAt = max(h.learntAt, at)
	}
}
