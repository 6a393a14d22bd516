package journal

import (
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// pendingAppend is an append that has started and whose effect is not settled:
// its batch was not read back, and it is not known to be missing from the
// stream. A journal has at most one.
type pendingAppend struct {
	batch     spool.Batch
	startedAt clock.Millis
	// submissions are those whose units are in the batch. The last stagedCount of
	// them were moved from staged to unitQueue for this append.
	submissions []*submission
	stagedCount int
	// returned means that the result of the append has arrived: success or an
	// unknown outcome.
	returned bool
	// readStarted means that a read started after the result arrived. The units
	// may be appended again only if such a read reaches the end of the stream
	// without finding the batch. If the first append takes effect even later, the
	// fold drops the duplicate units.
	readStarted bool
	// snapshotPart is the number of the snapshot part in the batch, counted from
	// 1; 0 if the batch has none.
	snapshotPart int
	// addedReplicas are the new replicas that the batch names. Each of them
	// answered a Replicate command before the batch was built.
	addedReplicas []spool.NodeID
}

// appendPacer limits a stream to one append per interval on average. It keeps
// one append in reserve for urgent records, which only the log can make
// durable. At the target size the interval is seconds long, and without the
// reserve every append would be used by units that replicas have already made
// durable.
type appendPacer struct {
	interval clock.Millis
	// fullAt is the time from which the regular append and the reserved one are
	// both available. From one interval earlier, only the reserved one is.
	fullAt clock.Millis
	// retryAt is the earliest time of the next append after a failed one; 0 if none
	// has failed.
	retryAt clock.Millis
}

func (p *appendPacer) allows(now clock.Millis, urgent bool) bool {
	from := p.fullAt
	if urgent {
		from -= p.interval
	}
	return now >= from && now >= p.retryAt
}

// expedite makes the reserved append available now and ignores an earlier
// failure, so that a claim need not wait.
func (p *appendPacer) expedite(now clock.Millis) {
	p.fullAt = min(p.fullAt, now+p.interval)
	p.retryAt = now
}

func (p *appendPacer) consume(now clock.Millis) { p.fullAt = max(p.fullAt, now) + p.interval }

// hasUrgentAppend reports whether the next append may use the reserve: a change
// of owner is in progress, or a staged submission waits for the log.
func (j *Journal) hasUrgentAppend() bool {
	return j.phase != PhaseServing || len(j.staged) > 0
}

// startAppend starts an append if there are records to append, the pacer allows
// it, no other append is pending and the log is not down.
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

// nextRecords returns the records of the next batch of an owner: either a part
// of a snapshot, or units together with changes of replicas. The batch that
// contains the last unit of a stream in PhaseReleasing ends with the release
// record. nextRecords also sets the fields of pending that describe this
// content.
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
		// This record follows the units, because readers of an earlier version skip
		// the rest of a batch after a kind of record that they do not know.
		records = append(records, encode(KindReplicasRemoved, removed))
	}
	if j.phase == PhaseReleasing && j.handover.ready && len(pending.submissions) == len(j.unitQueue) && len(j.staged) == 0 {
		records = append(records, encode(KindRelease, releaseData{Handover: j.handover.data}))
	}
	return records
}

// collectUnits returns the units of the next batch, up to BatchBytes but at
// least one: first those in unitQueue, then staged ones, which it moves to
// unitQueue.
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

// Appended handles the result of an Append command; id is the ID of its batch.
// After success or an unknown outcome, the append stays pending until a read
// settles it. After ErrLogUnavailable it had no effect and is dropped.
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

// markAppended sets appended for the units of an append that may have taken
// effect.
func (j *Journal) markAppended(pending *pendingAppend) {
	for _, sub := range pending.submissions {
		sub.appended = true
	}
}

// restageUnits undoes the staging of the pending append, which had no effect:
// the submissions that it took from staged return there and get a new sequence
// later. It does nothing if replicas may already have their units.
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

// allowReplication makes all queued units replicable if the pending append
// takes longer than ReplicateAfter or the log is down. It also promotes
// submissions that were staged only because no replica was available. It does
// nothing while none is available.
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
// unitQueue and makes them replicable.
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

// markAllReplicable makes all units in unitQueue replicable if a replica is
// available.
func (j *Journal) markAllReplicable() {
	if !j.hasLogOnlyUnits || !j.hasAvailableReplica() {
		return
	}
	j.hasLogOnlyUnits = false
	for _, sub := range j.unitQueue {
		sub.replicable = true
	}
}

// startRead starts a read if none is in flight and no retry delay applies. At
// the end of the stream, the read waits up to PollWait for new batches, so that
// a newer claim and this node's own batches are noticed as soon as they appear.
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

// ReadDone handles the result of a Read command. It ignores the result of any
// read but the latest.
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

// handleTrimmed handles a read whose start retention has already removed. The
// journal does not know which batches it missed. Before a claim it starts a new
// replay at the first retained batch; after one it gives up the stream.
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

// handlePage handles the batches of a successful read. If the read reached the
// end of the stream, it ends PhaseReading, or else updates confirmedAt and
// settles an append whose batch was not found.
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
			// The page announces later batches and contains none of them. Without the
			// delay, the next read would start at once, in a busy loop.
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
