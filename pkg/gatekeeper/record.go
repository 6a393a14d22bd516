package gatekeeper

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// recordState is what is known of an action.
type recordState int

const (
	// recordNone: the action has not run; the record only holds a fence.
	recordNone recordState = iota
	// recordLive: a dispatch waits or runs.
	recordLive
	// recordDone: the action ran and its outcome is kept.
	recordDone
	// recordLost: the action may have run.
	recordLost
)

// record is the agent's memory of one action.
type record struct {
	state recordState
	// call is set while the state is recordLive.
	call *call
	// outcome is set when the state is recordDone.
	outcome Outcome
	// runs counts the runs that were started, except those that provably did not
	// reach the endpoint; at most 1 for a non-idempotent action.
	runs int
	// idempotent is false once any dispatch of the action is not.
	idempotent bool
	// strict records stay for their whole retention: those of non-idempotent
	// actions and those with a fence.
	strict bool
	// ticket is the highest ticket of the messages that this record stems from.
	ticket Ticket
	// fence refuses dispatches up to (epoch, attempt); nil when no fate was asked.
	fence *fence
}

type fence struct {
	epoch   spool.Epoch
	attempt uint64
}

func (f *fence) blocks(epoch spool.Epoch, attempt uint64) bool {
	return f != nil && (epoch < f.epoch || epoch == f.epoch && attempt <= f.attempt)
}

// expiry is one entry of a list in the order of time.
type expiry struct {
	key    Key
	ticket Ticket
	at     clock.Millis
}

// records remembers actions. Strict records stay for their whole retention; the
// others are a convenience and may be dropped early.
type records struct {
	byKey map[Key]*record
	// strict and loose list the ended records in the order in which they expire;
	// an entry whose ticket differs from that of its record is stale.
	strict, loose []expiry
	// strictCount counts the strict records, live ones included.
	strictCount int
	// forgotten is the highest ticket of a strict record that has been dropped,
	// forgottenLoose the same for the others. A call that was sent after its
	// owner had seen a mark at or above it cannot have been forgotten.
	forgotten, forgottenLoose Ticket
	// forgottenFence is the highest ticket of a record with a fence that has been
	// dropped.
	forgottenFence Ticket
}

func newRecords() records { return records{byKey: map[Key]*record{}} }

// full reports whether there is no room for another strict record.
func (r *records) full(bound int) bool { return r.strictCount >= bound }

// nextExpiry is when the next strict record may be dropped.
func (r *records) nextExpiry() clock.Millis {
	if len(r.strict) == 0 {
		return 0
	}
	return r.strict[0].at
}

// ensure returns the record of a key. strict makes it stay for its retention.
func (r *records) ensure(key Key, strict bool) *record {
	rec := r.byKey[key]
	if rec == nil {
		rec = &record{idempotent: true}
		r.byKey[key] = rec
	}
	if strict && !rec.strict {
		rec.strict = true
		r.strictCount++
	}
	return rec
}

func (r *records) live(c *call) {
	rec := r.ensure(c.Key, !c.Idempotent)
	rec.idempotent = rec.idempotent && c.Idempotent
	rec.state, rec.call, rec.outcome = recordLive, c, Outcome{}
	rec.ticket = c.ticket
	c.record = rec
}

// mayStart reports whether no other dispatch of the action has run.
func (r *records) mayStart(c *call) bool {
	rec := r.byKey[c.Key]
	return rec != nil && rec.state == recordLive && rec.call == c && rec.runs == 0
}

// current returns the record if c is its latest dispatch.
func (r *records) current(c *call) *record {
	if rec := r.byKey[c.Key]; rec != nil && rec.call == c {
		return rec
	}
	return nil
}

// clear notes that c has not run. A fence, and the fact that an earlier dispatch
// of the action may have run, are kept until the given time.
func (r *records) clear(c *call, until clock.Millis) {
	rec := r.current(c)
	if rec == nil {
		return
	}
	rec.state, rec.call = recordNone, nil
	if rec.runs > 0 {
		rec.state = recordLost
	}
	if rec.fence == nil && rec.runs == 0 {
		r.remove(c.Key, rec)
		return
	}
	r.keep(c.Key, rec, until)
}

func (r *records) done(c *call, outcome Outcome, until clock.Millis) {
	if rec := r.current(c); rec != nil {
		rec.state, rec.call, rec.outcome = recordDone, nil, outcome
		r.keep(c.Key, rec, until)
	}
}

func (r *records) lost(c *call, until clock.Millis) {
	if rec := r.current(c); rec != nil {
		rec.state, rec.call = recordLost, nil
		r.keep(c.Key, rec, until)
	}
}

func (r *records) keep(key Key, rec *record, until clock.Millis) {
	entry := expiry{key: key, ticket: rec.ticket, at: until}
	if rec.strict {
		r.strict = append(r.strict, entry)
		return
	}
	r.loose = append(r.loose, entry)
}

func (r *records) remove(key Key, rec *record) {
	delete(r.byKey, key)
	if rec.strict {
		r.strictCount--
	}
}

// forget drops the record of an entry unless the entry is stale.
func (r *records) forget(entry expiry) {
	rec := r.byKey[entry.key]
	if rec == nil || rec.ticket != entry.ticket || rec.state == recordLive {
		return
	}
	if rec.fence != nil {
		r.forgottenFence = max(r.forgottenFence, rec.ticket)
	}
	if rec.strict {
		r.forgotten = max(r.forgotten, rec.ticket)
	} else {
		r.forgottenLoose = max(r.forgottenLoose, rec.ticket)
	}
	r.remove(entry.key, rec)
}

// expireRecords drops what is past its retention, and the oldest records that
// are not strict above their bound.
func (k *Kernel) expireRecords() {
	r := &k.records
	for len(r.strict) > 0 && r.strict[0].at <= k.now {
		r.forget(r.strict[0])
		r.strict = r.strict[1:]
	}
	for len(r.loose) > 0 && (r.loose[0].at <= k.now || len(r.loose) > k.config.MaxReplays) {
		r.forget(r.loose[0])
		r.loose = r.loose[1:]
	}
}

// repeated handles a dispatch of an action that the agent has seen, or may have
// seen and forgotten, and reports whether that settled it.
func (k *Kernel) repeated(c *call) bool {
	rec := k.records.byKey[c.Key]
	if rec == nil {
		return k.tooOld(c)
	}
	if rec.fence.blocks(c.Epoch, c.Attempt) {
		k.refuse(c.ticket, fenced("attempt %d of epoch %d was given up by its owner", c.Attempt, c.Epoch))
		return true
	}
	if c.Idempotent && rec.idempotent {
		return k.superseded(c, rec) || k.tooOld(c)
	}
	switch rec.state {
	case recordLive:
		k.refuse(c.ticket, spool.Refuse(spool.CodeConflict, "call is under way").WithNotRun(spool.NotRunUnknown))
	case recordDone:
		k.emit(Reply{Ticket: c.ticket, Outcome: rec.outcome, Recorded: true})
	case recordLost:
		k.refuse(c.ticket, unknownFate("an earlier dispatch of the call may have run"))
	default:
		return k.tooOld(c)
	}
	return true
}

// superseded cancels an earlier dispatch of an idempotent call. It refuses a
// dispatch that is older than the one under way and reports whether it did.
func (k *Kernel) superseded(c *call, rec *record) bool {
	if rec.state != recordLive {
		return false
	}
	earlier := rec.call
	if c.Epoch < earlier.Epoch || c.Epoch == earlier.Epoch && c.Attempt < earlier.Attempt {
		k.refuse(c.ticket, fenced("attempt %d of epoch %d is under way", earlier.Attempt, earlier.Epoch))
		return true
	}
	k.cancel(rec.call.ticket, spool.CodeCancelled, "call was dispatched again")
	return false
}

// tooOld refuses a dispatch that may have been given up by a fate answer that is
// forgotten, and a non-idempotent one that may repeat a forgotten run.
func (k *Kernel) tooOld(c *call) bool {
	if c.Mark.Boot == "" {
		return false
	}
	switch {
	case !c.Idempotent && uint64(k.records.forgotten) > c.Mark.Admitted:
		k.refuse(c.ticket, unknownFate("outcomes as old as the call have been dropped"))
	case uint64(k.records.forgottenFence) > c.Mark.Admitted:
		k.refuse(c.ticket, fenced("call is too old to tell whether its owner has given it up"))
	default:
		return false
	}
	return true
}

func unknownFate(reason string) *spool.Refusal {
	return spool.Refuse(spool.CodeUnknownFate, "%s", reason).WithNotRun(spool.NotRunUnknown)
}
