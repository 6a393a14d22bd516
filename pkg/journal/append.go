package journal

import (
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// attempt is the one append that may be under way.
type attempt struct {
	batch spool.Batch
	at    clock.Millis
	// entries are the submissions in the batch; fresh counts those at the end
	// that were staged before.
	entries []*entry
	fresh   int
	// returned is set once the log has answered, well or not.
	returned bool
	// readAfter is set once a read has started after the answer. Only when such
	// a read reaches the end of the stream without the batch may the units be
	// appended again; the fold drops the repeat if the first append still takes
	// effect.
	readAfter bool
	// part is the number of the snapshot part in the batch; 0 for none.
	part int
	// adopted are the holders that the batch names; they had answered before.
	adopted []spool.NodeID
}

// pacing spaces the appends of a stream. It keeps one append in reserve for what
// waits for the log itself: at the target size the interval is seconds long, and
// turns that holders have acknowledged would otherwise use up every slot.
type pacing struct {
	interval clock.Millis
	// fullAt is the instant from which both the due append and the reserve are
	// available; the reserve alone is available an interval earlier.
	fullAt clock.Millis
	// retryAt is the earliest instant after a failure.
	retryAt clock.Millis
}

func (p *pacing) allows(now clock.Millis, urgent bool) bool {
	from := p.fullAt
	if urgent {
		from -= p.interval
	}
	return now >= from && now >= p.retryAt
}

// expedite makes the reserve available now, for a claim.
func (p *pacing) expedite(now clock.Millis) {
	p.fullAt = min(p.fullAt, now+p.interval)
	p.retryAt = now
}

func (p *pacing) spend(now clock.Millis) { p.fullAt = max(p.fullAt, now) + p.interval }

// urgent reports whether something waits that only the log can settle: a change
// of owner, or a submission that no holder can make durable.
func (j *Journal) urgent() bool {
	return j.phase != PhaseServing || len(j.staged) > 0
}

// appendDue starts an append when one is due.
func (j *Journal) appendDue(now clock.Millis) {
	if j.attempt != nil || !j.pace.allows(now, j.urgent()) || j.logDown || j.phase < PhaseClaiming || j.phase == PhaseSealing {
		return
	}
	next := &attempt{at: now}
	var records []spool.Record
	switch j.phase {
	case PhaseClaiming:
		records = []spool.Record{encode(KindClaim, Claim{Holders: j.order})}
	case PhaseRestoring:
		records = j.restoreRecords()
	default:
		records = j.dueRecords(next)
	}
	if len(records) == 0 {
		return
	}
	next.batch = j.batch(now, records)
	j.attempt = next
	j.pace.spend(now)
	j.stats.Appends++
	j.stats.Bytes += Size(records)
	j.emit(Append{Batch: next.batch})
}

// dueRecords fills a batch with what waits: a part of a snapshot, or units, and
// with the last of them the release.
func (j *Journal) dueRecords(next *attempt) []spool.Record {
	waiting := len(j.units)+len(j.staged) > 0
	if j.snapshots.due(waiting, j.committed) && j.phase == PhaseServing {
		return j.snapshots.take(next)
	}
	units := j.collect(next)
	records := EncodeUnits(units)
	if adopted := j.adopting(); len(adopted) > 0 {
		next.adopted = adopted
		records = append([]spool.Record{encode(KindHolders, Claim{Holders: adopted, Incarnations: j.opened(adopted)})}, records...)
	}
	if dropped := j.dropDue(next.at); len(dropped.Holders) > 0 {
		// Last in the batch, since a reader of an earlier version skips what
		// follows a kind of record that it does not know.
		records = append(records, encode(KindDropped, dropped))
	}
	if j.phase == PhaseReleasing && j.handover.taken && len(next.entries) == len(j.units) && len(j.staged) == 0 {
		records = append(records, encode(KindRelease, releaseData{Handover: j.handover.data}))
	}
	return records
}

func (j *Journal) collect(next *attempt) (units []Unit) {
	size := 0
	add := func(e *entry) bool {
		if size += e.size; size > j.config.BatchBytes && len(units) > 0 {
			return false
		}
		units = append(units, e.unit)
		next.entries = append(next.entries, e)
		return true
	}
	for _, e := range j.units {
		if !add(e) {
			return units
		}
	}
	for len(j.staged) > 0 {
		e := j.staged[0]
		if size+e.size > j.config.BatchBytes && len(units) > 0 {
			return units
		}
		j.staged = j.staged[1:]
		j.number(e)
		j.hidden = true
		add(e)
		next.fresh++
	}
	return units
}

// Appended takes the answer to an Append command.
func (j *Journal) Appended(now clock.Millis, id string, err error) []Command {
	if j.attempt == nil || j.attempt.batch.ID != id {
		return j.Tick(now)
	}
	j.attempt.returned = true
	switch {
	case err == nil:
		j.mark(j.attempt)
	case errors.Is(err, spool.ErrLogUnavailable):
		j.withdraw()
		j.attempt = nil
		j.logDown = true
		j.pace.retryAt = now + j.config.RetryAfter
	default:
		j.mark(j.attempt)
		j.exposeAll()
		j.pace.retryAt = now + j.config.RetryAfter
	}
	return j.Tick(now)
}

// mark notes that the units of an append may be on the stream.
func (j *Journal) mark(a *attempt) {
	for _, e := range a.entries {
		e.appended = true
	}
}

// withdraw puts the staged units of an append without effect back, unless
// holders have them by now. They get a new place in the order later.
func (j *Journal) withdraw() {
	fresh := j.attempt.entries[len(j.attempt.entries)-j.attempt.fresh:]
	if len(fresh) == 0 || fresh[0].exposed {
		return
	}
	keep := j.units[:0:0]
	for _, e := range j.units {
		if e.unit.Sequence < fresh[0].unit.Sequence || e.unit.Sequence > fresh[len(fresh)-1].unit.Sequence {
			keep = append(keep, e)
		}
	}
	j.units = keep
	j.staged = append(fresh, j.staged...)
}

// expose lets holders have the units of an append that takes long, and what
// waits only because no holder answered.
func (j *Journal) expose(now clock.Millis) {
	late := j.attempt != nil && now-j.attempt.at >= j.config.ExposeAfter
	if !j.usable() {
		return
	}
	if late || j.logDown {
		j.exposeAll()
	}
	j.promote()
}

// promote moves submissions that wait only because no holder answered.
func (j *Journal) promote() {
	if !j.loose {
		return
	}
	j.loose = false
	waiting := j.staged
	j.staged = nil
	for _, e := range waiting {
		if e.needsLog {
			j.staged = append(j.staged, e)
			continue
		}
		j.number(e)
		e.exposed = true
	}
}

func (j *Journal) exposeAll() {
	if !j.hidden || !j.usable() {
		return
	}
	j.hidden = false
	for _, e := range j.units {
		e.exposed = true
	}
}

// read starts a read when none is under way. One read always waits at the tail,
// so a newer claim and the own batches are noticed as they appear.
func (j *Journal) read(now clock.Millis) {
	if j.reading || now < j.readAt {
		return
	}
	j.reading, j.readStart = true, now
	j.serial++
	wait := j.config.PollWait
	if j.phase == PhaseReading || j.logDown {
		wait = 0
	}
	if j.attempt != nil && j.attempt.returned {
		j.attempt.readAfter, wait = true, 0
	}
	j.emit(Read{Serial: j.serial, After: j.position(), Wait: wait})
}

func (j *Journal) position() spool.Offset {
	if j.replay != nil {
		return j.replay.Offset()
	}
	return j.fold.Offset()
}

// ReadDone takes the answer to a Read command.
func (j *Journal) ReadDone(now clock.Millis, serial uint64, page spool.Page, err error) []Command {
	if !j.reading || serial != j.serial {
		return j.flush()
	}
	j.reading = false
	switch {
	case j.phase == PhaseIdle:
		return j.flush()
	case errors.Is(err, spool.ErrTrimmed):
		j.behind(page)
	case err != nil:
		j.logDown = true
		j.readAt = now + j.config.RetryAfter
	default:
		j.logDown = false
		j.page(now, page)
	}
	return j.Tick(now)
}

// behind handles a reader that retention has overtaken. An owner cannot know
// what it missed, so it gives up.
func (j *Journal) behind(page spool.Page) {
	if j.phase == PhaseReady {
		j.phase = PhaseReading
	}
	if j.phase != PhaseReading {
		j.lose(spool.NotRunUnknown)
		return
	}
	j.replay = NewReplay(max(page.First, 2))
	j.emit(Reset{})
}

func (j *Journal) page(now clock.Millis, page spool.Page) {
	before := j.position()
	for _, batch := range page.Batches {
		if batch.Offset <= j.position() {
			continue
		}
		if j.phase == PhaseReading {
			for _, unit := range j.replay.Add(batch) {
				j.apply(unit)
			}
			continue
		}
		if !j.follow(now, batch) {
			return
		}
	}
	j.atTail = j.position() >= page.Last
	if !j.atTail {
		if j.position() == before {
			// A page that leaves out what it says exists must not cause a busy loop.
			j.readAt = now + j.config.RetryAfter
		}
		return
	}
	if j.phase == PhaseReading {
		j.finishReading()
		return
	}
	j.confirmed = j.readStart
	if j.attempt != nil && j.attempt.readAfter {
		j.attempt = nil
	}
}
