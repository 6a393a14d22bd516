package journal

import (
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// pendingAppend is an append in flight. A journal has at most one.
type pendingAppend struct {
	batch     spool.Batch
	startedAt clock.Millis
	// submissions are those in the batch. The last stagedCount of them were
	// staged before.
	submissions []*submission
	stagedCount int
	// returned means that the log has answered, with or without an error.
	returned bool
	// readStarted means that a read started after the answer. The units may be
	// appended again only if such a read reaches the end of the stream without
	// finding the batch. If the first append still takes effect later, the fold
	// drops the duplicate units.
	readStarted bool
	// snapshotPart is the number of the snapshot part in the batch; 0 for none.
	snapshotPart int
	// addedReplicas are the new replicas that the batch names. They answered
	// before the batch was built.
	addedReplicas []spool.NodeID
}

// appendPacer limits the append rate of a stream. It keeps one append in
// reserve for records that only the log can make durable: at the target size
// the interval is seconds long, and turns that replicas have already
// acknowledged would otherwise use every slot.
type appendPacer struct {
	interval clock.Millis
	// fullAt is the time from which both the regular append and the reserve are
	// available. The reserve alone is available one interval earlier.
	fullAt clock.Millis
	// retryAt is the earliest time of an append after a failure.
	retryAt clock.Millis
}

func (p *appendPacer) allows(now clock.Millis, urgent bool) bool {
	from := p.fullAt
	if urgent {
		from -= p.interval
	}
	return now >= from && now >= p.retryAt
}

// expedite makes the reserve available now, for a claim.
func (p *appendPacer) expedite(now clock.Millis) {
	p.fullAt = min(p.fullAt, now+p.interval)
	p.retryAt = now
}

func (p *appendPacer) consume(now clock.Millis) { p.fullAt = max(p.fullAt, now) + p.interval }

// hasUrgentAppend reports whether something waits that only the log can
// complete: a change of owner, or a submission that no replica can make
// durable.
func (j *Journal) hasUrgentAppend() bool {
	return j.phase != PhaseServing || len(j.staged) > 0
}

// startAppend starts an append if one is due.
func (j *Journal) startAppend(now clock.Millis) {
	if j.pendingAppend != nil || !j.pacer.allows(now, j.hasUrgentAppend()) || j.logDown || j.phase < PhaseClaiming || j.phase == PhaseFencing {
		return
	}
	pending := &pendingAppend{startedAt: now}
	var records []spool.Record
	switch j.phase {
	case PhaseClaiming:
		records = []spool.Record{encode(KindClaim, Claim{Replicas: j.replicaIDs})}
	case PhaseRestoring:
		records = j.restoreRecords()
	default:
		records = j.nextRecords(pending)
	}
	if len(records) == 0 {
		return
	}
	pending.batch = j.newBatch(now, records)
	j.pendingAppend = pending
	j.pacer.consume(now)
	j.stats.Appends++
	j.stats.Bytes += Size(records)
	j.emit(Append{Batch: pending.batch})
}

// nextRecords returns the records of the next batch: a part of a snapshot, or
// the waiting units with any changes of replicas. The release follows the last
// unit.
func (j *Journal) nextRecords(pending *pendingAppend) []spool.Record {
	waiting := len(j.unitQueue)+len(j.staged) > 0
	if j.snapshot.isPartDue(waiting, j.committedSequence) && j.phase == PhaseServing {
		return j.snapshot.takePart(pending)
	}
	units := j.collectUnits(pending)
	records := EncodeUnits(units)
	if added := j.joiningReplicas(); len(added) > 0 {
		pending.addedReplicas = added
		records = append([]spool.Record{encode(KindReplicas, Claim{Replicas: added, Incarnations: j.contactedIncarnations(added)})}, records...)
	}
	if removed := j.removableReplicas(pending.startedAt); len(removed.Replicas) > 0 {
		// This record is the last of the batch, because readers of an earlier
		// version skip everything after a kind of record that they do not know.
		records = append(records, encode(KindReplicasRemoved, removed))
	}
	if j.phase == PhaseReleasing && j.handover.received && len(pending.submissions) == len(j.unitQueue) && len(j.staged) == 0 {
		records = append(records, encode(KindRelease, releaseData{Handover: j.handover.data}))
	}
	return records
}

func (j *Journal) collectUnits(pending *pendingAppend) (units []Unit) {
	size := 0
	add := func(sub *submission) bool {
		if size += sub.size; size > j.config.BatchBytes && len(units) > 0 {
			return false
		}
		units = append(units, sub.unit)
		pending.submissions = append(pending.submissions, sub)
		return true
	}
	for _, sub := range j.unitQueue {
		if !add(sub) {
			return units
		}
	}
	for len(j.staged) > 0 {
		sub := j.staged[0]
		if size+sub.size > j.config.BatchBytes && len(units) > 0 {
			return units
		}
		j.staged = j.staged[1:]
		j.assignSequence(sub)
		j.hasLogOnlyUnits = true
		add(sub)
		pending.stagedCount++
	}
	return units
}

// Appended handles the result of an Append command.
func (j *Journal) Appended(now clock.Millis, id string, err error) []Command {
	if j.pendingAppend == nil || j.pendingAppend.batch.ID != id {
		return j.Tick(now)
	}
	j.pendingAppend.returned = true
	switch {
	case err == nil:
		j.markAppended(j.pendingAppend)
	case errors.Is(err, spool.ErrLogUnavailable):
		j.restageUnits()
		j.pendingAppend = nil
		j.logDown = true
		j.pacer.retryAt = now + j.config.RetryAfter
	default:
		j.markAppended(j.pendingAppend)
		j.markAllReplicable()
		j.pacer.retryAt = now + j.config.RetryAfter
	}
	return j.Tick(now)
}

// markAppended records that the units of an append may be on the stream.
func (j *Journal) markAppended(pending *pendingAppend) {
	for _, sub := range pending.submissions {
		sub.appended = true
	}
}

// restageUnits moves the units that were staged before an append without effect
// back to staged, unless replicas may have them by now. They get a new sequence
// later.
func (j *Journal) restageUnits() {
	staged := j.pendingAppend.submissions[len(j.pendingAppend.submissions)-j.pendingAppend.stagedCount:]
	if len(staged) == 0 || staged[0].replicable {
		return
	}
	remaining := j.unitQueue[:0:0]
	for _, sub := range j.unitQueue {
		if sub.unit.Sequence < staged[0].unit.Sequence || sub.unit.Sequence > staged[len(staged)-1].unit.Sequence {
			remaining = append(remaining, sub)
		}
	}
	j.unitQueue = remaining
	j.staged = append(staged, j.staged...)
}

// allowReplication makes all queued units replicable if an append is slow or
// the log is down. It also promotes submissions that were staged only because
// no replica was available.
func (j *Journal) allowReplication(now clock.Millis) {
	slow := j.pendingAppend != nil && now-j.pendingAppend.startedAt >= j.config.ReplicateAfter
	if !j.hasAvailableReplica() {
		return
	}
	if slow || j.logDown {
		j.markAllReplicable()
	}
	j.promoteStaged()
}

// promoteStaged moves submissions that do not need the log from staged to
// unitQueue.
func (j *Journal) promoteStaged() {
	if !j.hasPromotable {
		return
	}
	j.hasPromotable = false
	staged := j.staged
	j.staged = nil
	for _, sub := range staged {
		if sub.needsLog {
			j.staged = append(j.staged, sub)
			continue
		}
		j.assignSequence(sub)
		sub.replicable = true
	}
}

func (j *Journal) markAllReplicable() {
	if !j.hasLogOnlyUnits || !j.hasAvailableReplica() {
		return
	}
	j.hasLogOnlyUnits = false
	for _, sub := range j.unitQueue {
		sub.replicable = true
	}
}

// startRead starts a read if none is in flight. One read always waits at the
// tail, so that a newer claim and this node's own batches are noticed as soon
// as they appear.
func (j *Journal) startRead(now clock.Millis) {
	if j.readInFlight || now < j.nextReadAt {
		return
	}
	j.readInFlight, j.readStartedAt = true, now
	j.readSerial++
	wait := j.config.PollWait
	if j.phase == PhaseReading || j.logDown {
		wait = 0
	}
	if j.pendingAppend != nil && j.pendingAppend.returned {
		j.pendingAppend.readStarted, wait = true, 0
	}
	j.emit(Read{Serial: j.readSerial, After: j.readOffset(), Wait: wait})
}

func (j *Journal) readOffset() spool.Offset {
	if j.replay != nil {
		return j.replay.Offset()
	}
	return j.fold.Offset()
}

// ReadDone handles the result of a Read command.
func (j *Journal) ReadDone(now clock.Millis, serial uint64, page spool.Page, err error) []Command {
	if !j.readInFlight || serial != j.readSerial {
		return j.flush()
	}
	j.readInFlight = false
	switch {
	case j.phase == PhaseIdle:
		return j.flush()
	case errors.Is(err, spool.ErrTrimmed):
		j.handleTrimmed(page)
	case err != nil:
		j.logDown = true
		j.nextReadAt = now + j.config.RetryAfter
	default:
		j.logDown = false
		j.handlePage(now, page)
	}
	return j.Tick(now)
}

// handleTrimmed handles a read position that retention has already removed. An
// owner cannot know which batches it missed, so it gives up the stream.
func (j *Journal) handleTrimmed(page spool.Page) {
	if j.phase == PhaseReady {
		j.phase = PhaseReading
	}
	if j.phase != PhaseReading {
		j.loseStream(spool.NotRunUnknown)
		return
	}
	j.replay = NewReplay(max(page.First, 2))
	j.emit(Reset{})
}

func (j *Journal) handlePage(now clock.Millis, page spool.Page) {
	before := j.readOffset()
	for _, batch := range page.Batches {
		if batch.Offset <= j.readOffset() {
			continue
		}
		if j.phase == PhaseReading {
			for _, unit := range j.replay.Add(batch) {
				j.applyUnit(unit)
			}
			continue
		}
		if !j.followBatch(now, batch) {
			return
		}
	}
	j.atTail = j.readOffset() >= page.Last
	if !j.atTail {
		if j.readOffset() == before {
			// A page without the batches that it announces must not cause a busy
			// loop.
			j.nextReadAt = now + j.config.RetryAfter
		}
		return
	}
	if j.phase == PhaseReading {
		j.finishReading()
		return
	}
	j.confirmedAt = j.readStartedAt
	if j.pendingAppend != nil && j.pendingAppend.readStarted {
		j.pendingAppend = nil
	}
}
