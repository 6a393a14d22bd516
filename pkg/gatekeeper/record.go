package gatekeeper

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// recordState is the known state of a call.
type recordState int

const (
	// recordNotRun means that the call has not run. The record only holds a fence.
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
	// call is the active dispatch; set while the state is recordActive.
	call *call
	// outcome is set when the state is recordDone.
	outcome Outcome
	// runs counts the runs that were started, except those that provably did not
	// execute; at most 1 for a non-idempotent call.
	runs int
	// idempotent is true while all dispatches of the call have been idempotent.
	idempotent bool
	// retained records are kept for their whole retention time. They are the
	// records of non-idempotent calls and those with a fence.
	retained bool
	// ticket is that of the latest admitted dispatch or outcome query of the call.
	ticket Ticket
	// fence refuses late dispatches; nil if the outcome has not been queried.
	fence *fence
}

// fence refuses the dispatches of a call up to (epoch, attempt).
type fence struct {
	epoch   spool.Epoch
	attempt uint64
}

func (f *fence) blocks(epoch spool.Epoch, attempt uint64) bool {
	return f != nil && (epoch < f.epoch || epoch == f.epoch && attempt <= f.attempt)
}

// expiry is the scheduled expiry of one record.
type expiry struct {
	key    Key
	ticket Ticket
	at     clock.Millis
}

// records holds the record of each call by key. Retained records are kept for
// their whole retention time. The others are not needed for correctness and may
// be evicted early.
type records struct {
	byKey map[Key]*record
	// retained and evictable list the expiries of inactive records in the order of
	// time. An entry whose ticket differs from that of its record is stale.
	retained, evictable []expiry
	// retainedCount counts the retained records, including active ones.
	retainedCount int
	// lastDroppedRetained and lastDroppedEvictable are the highest tickets of the
	// dropped records of each kind. If the owner of a call knew a mark at or above
	// the ticket before it sent the call, the record of the call has not been
	// dropped.
	lastDroppedRetained, lastDroppedEvictable Ticket
	// lastDroppedFence is the highest ticket of the dropped records with a fence.
	lastDroppedFence Ticket
}

func newRecords() records { return records{byKey: map[Key]*record{}} }

// full reports whether there is no room for another retained record.
func (r *records) full(bound int) bool { return r.retainedCount >= bound }

// nextRetainedExpiry returns when the next retained record expires; 0 if none is
// scheduled.
func (r *records) nextRetainedExpiry() clock.Millis {
	if len(r.retained) == 0 {
		return 0
	}
	return r.retained[0].at
}

// getOrCreate returns the record of a key. If retained is set, the record is kept
// for its whole retention time.
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

// markActive makes c the active dispatch of its call.
func (r *records) markActive(c *call) {
	rec := r.getOrCreate(c.Key, !c.Idempotent)
	rec.idempotent = rec.idempotent && c.Idempotent
	rec.state, rec.call, rec.outcome = recordActive, c, Outcome{}
	rec.ticket = c.ticket
	c.record = rec
}

// isFirstRun reports whether c is the active dispatch of its call and no earlier
// dispatch may have run.
func (r *records) isFirstRun(c *call) bool {
	rec := r.byKey[c.Key]
	return rec != nil && rec.state == recordActive && rec.call == c && rec.runs == 0
}

// current returns the record of the call if c is its active dispatch, otherwise
// nil.
func (r *records) current(c *call) *record {
	if rec := r.byKey[c.Key]; rec != nil && rec.call == c {
		return rec
	}
	return nil
}

// markNotRun records that c has not run. It keeps the record until the given time
// if the record has a fence or an earlier dispatch may have run, and removes it
// otherwise.
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

// expire drops the record of an entry unless the entry is stale.
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
// evictable records beyond Config.MaxReplays.
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

// handleRepeat answers a dispatch of a call that the agent has a record of, or may
// have dropped the record of. It reports whether it answered the dispatch. If not,
// the dispatch goes on to the admission check.
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

// supersede cancels the active dispatch of an idempotent call in favour of c. If c
// is older than the active dispatch, it refuses c instead and returns true.
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

// refuseStale refuses a dispatch that a dropped fence may have covered, and a
// non-idempotent dispatch that may repeat a run whose record has been dropped. It
// reports whether it refused the dispatch.
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
