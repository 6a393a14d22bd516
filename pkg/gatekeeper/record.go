package gatekeeper

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// recordState is the state of a call as far as its record shows.
type recordState int

const (
	// recordNotRun means that the call has not run. The record exists only because
	// of its fence.
	recordNotRun recordState = iota
	// recordActive means that a dispatch of the call is waiting or running.
	recordActive
	// recordDone means that the call ran and its outcome is stored.
	recordDone
	// recordUnknown means that the call may have run.
	recordUnknown
)

// record is the at-most-once record of one call.
type record struct {
	state recordState
	// call is the active dispatch; nil unless the state is recordActive.
	call *call
	// outcome is set when the state is recordDone.
	outcome Outcome
	// runs counts the runs that were started, except those that certainly did not
	// execute; at most 1 for a non-idempotent call.
	runs int
	// idempotent is true while all admitted dispatches and fencing queries of the
	// call have been idempotent.
	idempotent bool
	// retained is true for the record of a non-idempotent call and for a record
	// with a fence. It is kept for its whole retention time; other records may be
	// evicted earlier.
	retained bool
	// ticket is the ticket of the latest admitted dispatch or fencing query of the
	// call.
	ticket Ticket
	// fence refuses late dispatches; nil if no outcome query has set one.
	fence *fence
}

// fence makes the kernel refuse the dispatches of a call up to (epoch, attempt).
type fence struct {
	epoch   spool.Epoch
	attempt uint64
}

func (f *fence) blocks(epoch spool.Epoch, attempt uint64) bool {
	return f != nil && (epoch < f.epoch || epoch == f.epoch && attempt <= f.attempt)
}

// expiry is the scheduled expiry of one record. ticket is the ticket that the
// record had at that time.
type expiry struct {
	key    Key
	ticket Ticket
	at     clock.Millis
}

// records holds the at-most-once record of each call by key. Retained records are
// kept for their whole retention time. The others are not needed for correctness
// and may be evicted earlier.
type records struct {
	byKey map[Key]*record
	// retained and evictable list the expiries of inactive records, soonest first.
	// An expiry is stale, and has no effect, if the ticket of the record has
	// changed since.
	retained, evictable []expiry
	// retainedCount counts the retained records, including active ones.
	retainedCount int
	// lastDroppedRetained and lastDroppedEvictable are the highest tickets of the
	// dropped records of each kind. If Mark.Admitted of a call is at or above that
	// ticket, every dispatch of the call has a higher ticket, so the record of the
	// call has not been dropped.
	lastDroppedRetained, lastDroppedEvictable Ticket
	// lastDroppedFence is the highest ticket of the dropped records with a fence.
	lastDroppedFence Ticket
}

func newRecords() records { return records{byKey: map[Key]*record{}} }

// full reports whether the retained records have reached bound.
func (r *records) full(bound int) bool { return r.retainedCount >= bound }

// nextRetainedExpiry returns the time of the next scheduled expiry of a retained
// record, which may be stale; 0 if none is scheduled.
func (r *records) nextRetainedExpiry() clock.Millis {
	if len(r.retained) == 0 {
		return 0
	}
	return r.retained[0].at
}

// getOrCreate returns the record of a key. If retained is true, the record becomes
// a retained one; if not, a record that already is one stays so.
func (r *records) getOrCreate(key Key, retained bool) *record {
	rec := r.byKey[key]
	if rec == nil {
		rec = &record{idempotent: true}
		r.byKey[key] = rec
	}
	if retained && !rec.retained {
		rec.retained = true
		r.retainedCount++
	}
	return rec
}

// markActive makes c the active dispatch of its call and drops the outcome of an
// earlier one.
func (r *records) markActive(c *call) {
	rec := r.getOrCreate(c.Key, !c.Idempotent)
	rec.idempotent = rec.idempotent && c.Idempotent
	rec.state, rec.call, rec.outcome = recordActive, c, Outcome{}
	rec.ticket = c.ticket
	c.record = rec
}

// isFirstRun reports whether c is the active dispatch of its call and no run of the
// call may have executed yet.
func (r *records) isFirstRun(c *call) bool {
	rec := r.byKey[c.Key]
	return rec != nil && rec.state == recordActive && rec.call == c && rec.runs == 0
}

// current returns the record of the call if c is the active dispatch, otherwise
// nil.
func (r *records) current(c *call) *record {
	if rec := r.byKey[c.Key]; rec != nil && rec.call == c {
		return rec
	}
	return nil
}

// markNotRun records that c has not run. If an earlier dispatch may have run, or
// the record has a fence, the record is kept until the given time. Otherwise it is
// removed.
func (r *records) markNotRun(c *call, until clock.Millis) {
	rec := r.current(c)
	if rec == nil {
		return
	}
	rec.state, rec.call = recordNotRun, nil
	if rec.runs > 0 {
		rec.state = recordUnknown
	}
	if rec.fence == nil && rec.runs == 0 {
		r.remove(c.Key, rec)
		return
	}
	r.scheduleExpiry(c.Key, rec, until)
}

// markDone stores the outcome of c until the given time.
func (r *records) markDone(c *call, outcome Outcome, until clock.Millis) {
	if rec := r.current(c); rec != nil {
		rec.state, rec.call, rec.outcome = recordDone, nil, outcome
		r.scheduleExpiry(c.Key, rec, until)
	}
}

// markUnknown records, until the given time, that c may have run.
func (r *records) markUnknown(c *call, until clock.Millis) {
	if rec := r.current(c); rec != nil {
		rec.state, rec.call = recordUnknown, nil
		r.scheduleExpiry(c.Key, rec, until)
	}
}

// scheduleExpiry schedules the expiry of an inactive record.
func (r *records) scheduleExpiry(key Key, rec *record, until clock.Millis) {
	entry := expiry{key: key, ticket: rec.ticket, at: until}
	if rec.retained {
		r.retained = append(r.retained, entry)
		return
	}
	r.evictable = append(r.evictable, entry)
}

func (r *records) remove(key Key, rec *record) {
	delete(r.byKey, key)
	if rec.retained {
		r.retainedCount--
	}
}

// expire drops the record of an expiry and notes its ticket in the lastDropped
// fields. It does nothing if the expiry is stale or the record is active.
func (r *records) expire(entry expiry) {
	rec := r.byKey[entry.key]
	if rec == nil || rec.ticket != entry.ticket || rec.state == recordActive {
		return
	}
	if rec.fence != nil {
		r.lastDroppedFence = max(r.lastDroppedFence, rec.ticket)
	}
	if rec.retained {
		r.lastDroppedRetained = max(r.lastDroppedRetained, rec.ticket)
	} else {
		r.lastDroppedEvictable = max(r.lastDroppedEvictable, rec.ticket)
	}
	r.remove(entry.key, rec)
}

// expireRecords drops the records past their retention time, and the oldest
// evictable records beyond Config.MaxIdempotentOutcomes.
func (k *Kernel) expireRecords() {
	r := &k.records
	for len(r.retained) > 0 && r.retained[0].at <= k.now {
		r.expire(r.retained[0])
		r.retained = r.retained[1:]
	}
	for len(r.evictable) > 0 && (r.evictable[0].at <= k.now || len(r.evictable) > k.config.MaxIdempotentOutcomes) {
		r.expire(r.evictable[0])
		r.evictable = r.evictable[1:]
	}
}

// handleRepeat answers a dispatch that must not run again or is fenced: it replies
// with the stored outcome or refuses the dispatch. It returns false, without an
// answer, if the dispatch may go on to the admission check. A later dispatch of an
// active idempotent call may, and cancels the active one.
func (k *Kernel) handleRepeat(c *call) bool {
	rec := k.records.byKey[c.Key]
	if rec == nil {
		return k.refuseStale(c)
	}
	if rec.fence.blocks(c.Epoch, c.Attempt) {
		k.refuse(c.ticket, fencedRefusal("attempt %d of epoch %d was given up by its owner", c.Attempt, c.Epoch))
		return true
	}
	if c.Idempotent && rec.idempotent {
		return k.supersede(c, rec) || k.refuseStale(c)
	}
	switch rec.state {
	case recordActive:
		k.refuse(c.ticket, spool.Refuse(spool.CodeConflict, "call is under way").WithNotRun(spool.NotRunUnknown))
	case recordDone:
		k.emit(Reply{Ticket: c.ticket, Outcome: rec.outcome, Recorded: true})
	case recordUnknown:
		k.refuse(c.ticket, unknownOutcome("an earlier dispatch of the call may have run"))
	default:
		return k.refuseStale(c)
	}
	return true
}

// supersede cancels the active dispatch of an idempotent call, if there is one, so
// that c can replace it. If the active dispatch is newer than c, supersede refuses
// c instead and returns true.
func (k *Kernel) supersede(c *call, rec *record) bool {
	if rec.state != recordActive {
		return false
	}
	earlier := rec.call
	if c.Epoch < earlier.Epoch || c.Epoch == earlier.Epoch && c.Attempt < earlier.Attempt {
		k.refuse(c.ticket, fencedRefusal("attempt %d of epoch %d is under way", earlier.Attempt, earlier.Epoch))
		return true
	}
	k.cancel(rec.call.ticket, spool.CodeCancelled, "call was dispatched again")
	return false
}

// refuseStale refuses a dispatch that may have been covered by a fence that has
// been dropped, and a non-idempotent dispatch that may repeat a run whose record
// has been dropped. It reports whether it refused the dispatch, and never refuses
// one without a mark.
func (k *Kernel) refuseStale(c *call) bool {
	if c.Mark.Boot == "" {
		return false
	}
	switch {
	case !c.Idempotent && uint64(k.records.lastDroppedRetained) > c.Mark.Admitted:
		k.refuse(c.ticket, unknownOutcome("outcomes as old as the call have been dropped"))
	case uint64(k.records.lastDroppedFence) > c.Mark.Admitted:
		k.refuse(c.ticket, fencedRefusal("call is too old to tell whether its owner has given it up"))
	default:
		return false
	}
	return true
}

func unknownOutcome(reason string) *spool.Refusal {
	return spool.Refuse(spool.CodeOutcomeUnknown, "%s", reason).WithNotRun(spool.NotRunUnknown)
}
