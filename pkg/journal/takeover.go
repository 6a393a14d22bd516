package journal

import (
	"cmp"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// sealing is one node that a new owner asks before it serves.
type fenceTarget struct {
	// holder is true for a holder, whose answer is always needed. That of a
	// previous owner is needed only when a holder has lost its copies, since
	// everything that the owner acknowledged is at a holder as well.
	isReplica bool
	// answered means that the node has been sealed, gone that the platform does
	// not list it any more.
	answered bool
	gone     bool
	// whole means that the holder has not restarted since its copies count.
	isIntact   bool
	requestInFlight   bool
	retryAt clock.Millis
	attempts   int
}

// ownerTries is how often a previous owner is asked that need not answer.
const maxOwnerFenceAttempts = 2

// Follow starts to read the stream in order to claim it, naming the holders to
// use. The claim follows when the stream has no owner, or Allow was called for
// its owner. It is ignored unless the journal is idle.
func (j *Journal) Follow(now clock.Millis, holders []spool.NodeID) []Command {
	if j.phase != PhaseIdle {
		return j.flush()
	}
	stats := j.Stats()
	*j = Journal{config: j.config, pacer: j.pacer, phase: PhaseReading, replay: NewReplay(0), stats: stats, batchCounter: j.batchCounter, readSerial: j.readSerial}
	j.resetReplicas(holders)
	j.emit(Reset{})
	return j.Tick(now)
}

// Allow permits to replace owner without a release. The caller has evidence that
// it is gone; a wrong verdict costs a change of owner and nothing else.
func (j *Journal) Allow(now clock.Millis, owner spool.NodeID) []Command {
	if j.phase == PhaseReading || j.phase == PhaseReady {
		j.replaceableOwner = owner
	}
	return j.Tick(now)
}

// Abandon stops following when the stream is no longer wanted. It is ignored
// once the claim may be on the stream.
func (j *Journal) Abandon() []Command {
	if j.phase == PhaseReading || j.phase == PhaseReady {
		j.reset()
		j.emit(Lost{Cause: LossAbandoned})
	}
	return j.flush()
}

// claim decides at the tail of the stream whether to claim it.
func (j *Journal) claimStream(now clock.Millis) {
	if j.phase != PhaseReady || !j.atTail || j.logDown {
		return
	}
	owner, _, owned := j.Owner()
	if owned && owner != j.config.Node && owner != j.replaceableOwner {
		return
	}
	// An epoch never exceeds the offset of its claim, so an epoch above the last
	// offset is new even when retention has removed every earlier claim.
	j.epoch = max(j.fold.Epoch(), spool.Epoch(j.fold.Offset())) + 1
	j.phase = PhaseClaiming
	j.pacer.expedite(now)
}

// finishReading ends the replay. From now on the tail is followed.
func (j *Journal) finishReading() {
	fold, start, units, found := j.replay.Finish()
	j.fold, j.replay = fold, nil
	if !found {
		j.stats.NoState++
	}
	if len(start) > 0 {
		j.emit(Apply{Batch: spool.Batch{Epoch: fold.Epoch(), Records: start}})
	}
	for _, unit := range units {
		j.emit(Apply{Batch: unit.Batch})
	}
	j.phase = PhaseReady
}

// follow folds one batch at the tail and reports whether the journal goes on.
func (j *Journal) followBatch(now clock.Millis, batch spool.Batch) bool {
	before := j.fold.State()
	units := j.fold.Add(batch)
	if a := j.pendingAppend; a != nil && a.batch.ID == batch.ID {
		j.snapshot.confirmAppend(a.snapshotPart)
		j.activateReplicas(a.addedReplicas)
		j.pendingAppend = nil
	}
	// While claiming, a lower epoch of another node is no loss: the own claim
	// still takes the stream when it appears.
	if after := j.fold.Epoch(); j.phase >= PhaseClaiming && after >= j.epoch && !j.wonClaim() {
		j.loseStream(spool.NotRunTrue)
		return false
	}
	for _, unit := range units {
		j.handleCommitted(unit)
	}
	switch {
	case j.phase == PhaseClaiming && j.wonClaim():
		j.startFencing(now, before)
	case j.phase == PhaseRestoring && j.fold.state.Recovered == j.epoch:
		j.startServing(now)
	case j.phase == PhaseReleasing && j.fold.state.Released:
		j.finishRelease()
		return false
	}
	return true
}

func (j *Journal) wonClaim() bool {
	return j.fold.state.Epoch == j.epoch && j.fold.state.Owner == j.config.Node
}

// committedUnit handles a unit that was found valid on the stream.
func (j *Journal) handleCommitted(unit Unit) {
	if unit.Batch.Epoch != j.epoch || j.phase < PhaseServing {
		j.emit(Apply{Batch: unit.Batch})
		return
	}
	j.stats.Units++
	j.committedSequence = unit.Sequence
	if unit.Sequence > j.appliedSequence {
		j.applyUnit(unit)
	}
	for len(j.unitQueue) > 0 && j.unitQueue[0].unit.Sequence <= unit.Sequence {
		sub := j.unitQueue[0]
		j.unitQueue[0] = nil
		j.unitQueue = j.unitQueue[1:]
		j.backlogBytes -= sub.size
		j.answer(sub, nil)
	}
}

// startSealing fences the previous holders and asks for what they hold.
func (j *Journal) startFencing(now clock.Millis, before State) {
	j.stats.Claims++
	j.phase = PhaseSealing
	j.replicaDeadline = now + j.config.OpenWait
	j.fenceTargets = map[spool.NodeID]*fenceTarget{}
	j.previousIncarnations = before.Incarnations
	j.discards = map[spool.NodeID]*discardRequest{}
	for _, node := range union(before.Owners, before.Holders) {
		j.discards[node] = &discardRequest{epoch: j.epoch}
	}
	if before.Released {
		j.inheritedHandover = before.Handover
		return
	}
	for _, node := range before.Owners {
		j.fenceTargets[node] = &fenceTarget{}
	}
	for _, node := range before.Holders {
		j.fenceTargets[node] = &fenceTarget{isReplica: true}
	}
}

// takeover drives the phases between the claim and serving.
func (j *Journal) advanceTakeover(now clock.Millis) {
	if j.phase != PhaseSealing {
		return
	}
	deadlinePassed := now >= j.replicaDeadline
	for _, node := range sortedKeys(j.fenceTargets) {
		target := j.fenceTargets[node]
		if !target.answered && !target.gone && !target.requestInFlight && now >= target.retryAt {
			target.requestInFlight = true
			j.emit(Seal{Node: node, Epoch: j.epoch})
		}
	}
	j.sendToReplicas(now)
	if len(j.Awaited()) == 0 && (deadlinePassed || j.allContacted()) {
		slices.SortStableFunc(j.unitsToRestore, compareUnits)
		j.phase = PhaseRestoring
	}
}

func compareUnits(a, b Unit) int {
	return cmp.Or(cmp.Compare(a.Batch.Epoch, b.Batch.Epoch), cmp.Compare(a.Sequence, b.Sequence))
}

// Sealing is a node's answer to a Seal command.
type Sealing struct {
	// Units are those held of lower epochs, in order.
	Units []Unit
	// Incarnation is that of the node's process.
	Incarnation string
}

// SealDone takes the answer to a Seal command; answer is nil when there was
// none. fenced means that the node has been sealed by a higher epoch.
func (j *Journal) SealDone(now clock.Millis, command Seal, answer *Sealing, fenced bool) []Command {
	target := j.fenceTargets[command.Node]
	if target == nil || j.phase != PhaseSealing || command.Epoch != j.epoch {
		return j.Tick(now)
	}
	target.requestInFlight = false
	switch {
	case fenced:
		j.loseStream(spool.NotRunUnknown)
	case answer != nil:
		target.answered = true
		known, counted := j.previousIncarnations[command.Node]
		target.isIntact = !counted || known == answer.Incarnation
		j.unitsToRestore = append(j.unitsToRestore, answer.Units...)
	default:
		target.retryAt = now + j.config.RetryAfter
		target.attempts++
	}
	return j.Tick(now)
}

// Gone tells that the platform no longer lists a node, so that nothing held
// there can be recovered.
func (j *Journal) Gone(now clock.Millis, node spool.NodeID) []Command {
	if target := j.fenceTargets[node]; target != nil && j.phase == PhaseSealing {
		target.gone = true
	}
	return j.Tick(now)
}

// Awaited lists the nodes whose answer to a seal is missing and needed.
func (j *Journal) Awaited() (nodes []spool.NodeID) {
	if j.phase != PhaseSealing {
		return nil
	}
	allIntact := true
	for _, target := range j.fenceTargets {
		allIntact = allIntact && (!target.isReplica || (target.answered && target.isIntact))
	}
	for _, node := range sortedKeys(j.fenceTargets) {
		target := j.fenceTargets[node]
		optional := !target.isReplica && allIntact && (node == j.replaceableOwner || target.attempts >= maxOwnerFenceAttempts)
		if !target.answered && !target.gone && !optional {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// restoreRecords returns the next recovered units and, with the last of them,
// the marker that ends the recovery.
func (j *Journal) restoreRecords() []spool.Record {
	j.removeRestored()
	var units []Unit
	size := 0
	for _, unit := range j.unitsToRestore {
		if size += Size(unit.Batch.Records); size > j.config.BatchBytes && len(units) > 0 {
			return EncodeUnits(units)
		}
		units = append(units, unit)
	}
	return append(EncodeUnits(units), encode(KindRecovered, Claim{Incarnations: j.contactedIncarnations(j.replicaIDs)}))
}

// dropRestored removes the recovered units that are on the stream by now; two
// holders usually return the same ones.
func (j *Journal) removeRestored() {
	remaining := j.unitsToRestore[:0:0]
	for i, unit := range j.unitsToRestore {
		repeated := i > 0 && compareUnits(j.unitsToRestore[i-1], unit) == 0
		if !repeated && unit.Sequence > j.fold.state.Applied[unit.Batch.Epoch] && unit.Batch.Epoch >= j.fold.state.Recovered {
			remaining = append(remaining, unit)
		}
	}
	j.unitsToRestore = remaining
}

func (j *Journal) startServing(now clock.Millis) {
	j.phase = PhaseServing
	j.unitsToRestore = nil
	j.confirmedAt = j.readStartedAt
	// Only copies of holders that the stream names with their incarnation count.
	for node, p := range j.replicas {
		incarnation, named := j.fold.state.Incarnations[node]
		p.active = p.contacted && named && incarnation == p.incarnation
	}
	for _, discard := range j.discards {
		discard.nextAt = now
	}
	j.fenceTargets = nil
	j.snapshot = &snapshotProgress{}
	j.removals = newReplicaRemovals()
	j.emit(Serving{Epoch: j.epoch, Inherited: j.inheritedHandover})
}

// releasing is a node that may hold copies of lower epochs, which are all on the
// stream.
type discardRequest struct {
	// epoch is the lowest whose copies the node keeps; after is the sequence that
	// must be on the stream first.
	epoch spool.Epoch
	afterSequence uint64
	nextAt    clock.Millis
	attempts int
}

// maxReleases bounds the attempts to tell a node; the wait doubles each time.
const maxDiscardAttempts = 10

// release tells previous holders to drop their copies until they have answered.
// A copy that is never released would take up the holder's memory for good.
func (j *Journal) sendDiscards(now clock.Millis) {
	for _, node := range sortedKeys(j.discards) {
		r := j.discards[node]
		if now < r.nextAt || j.committedSequence < r.afterSequence {
			continue
		}
		r.nextAt = now + j.config.RetryAfter<<r.attempts
		j.emit(Release{Node: node, Epoch: r.epoch})
		if r.attempts++; r.attempts == maxDiscardAttempts {
			delete(j.discards, node)
		}
	}
}

// ReleaseDone notes that a node has dropped the copies of lower epochs.
func (j *Journal) ReleaseDone(command Release) {
	if r := j.discards[command.Node]; r != nil && command.Epoch == r.epoch {
		delete(j.discards, command.Node)
	}
}

// Sealed handles a seal by a new owner that reached this node as the previous
// owner. It retains what is acknowledged or may be held, and is not known to be
// on the stream, for the new owner.
func (j *Journal) Sealed(_ clock.Millis, epoch spool.Epoch) []Command {
	if j.phase >= PhaseClaiming && epoch > j.epoch {
		j.loseStream(spool.NotRunUnknown)
	}
	return j.flush()
}

func (j *Journal) replicableUnits() (units []Unit) {
	for _, sub := range j.unitQueue {
		if sub.replicable {
			units = append(units, sub.unit)
		}
	}
	return units
}

// lose gives the stream up because another node has claimed it. appended says
// what is known of appends without an answer: after the tail was read up to the
// other claim, they are not on the stream and never will be valid.
func (j *Journal) loseStream(unansweredNotRun spool.NotRun) {
	if j.phase == PhaseIdle {
		return
	}
	j.stats.Lost++
	retained := j.replicableUnits()
	for _, sub := range slices.Concat(j.unitQueue, j.staged) {
		notRun := spool.NotRunTrue
		if sub.replicable {
			notRun = spool.NotRunUnknown
		} else if sub.appended || j.isInFlight(sub) {
			notRun = unansweredNotRun
		}
		refusal := spool.Refuse(spool.CodeNotOwner, "stream %s has a new owner", j.config.Stream).WithNotRun(notRun)
		if j.fold.state.Owner != j.config.Node {
			refusal.Owner = j.fold.state.Owner
		}
		j.answer(sub, refusal)
	}
	if len(retained) > 0 {
		j.emit(Retain{Epoch: j.epoch, Units: retained})
	}
	j.reset()
	j.emit(Lost{})
}

func (j *Journal) isInFlight(sub *submission) bool {
	return j.pendingAppend != nil && slices.Contains(j.pendingAppend.submissions, sub)
}

// reset returns to idle. A read or append under way is answered later and
// ignored.
func (j *Journal) reset() {
	fold := j.fold
	if fold == nil {
		fold = NewFold(State{}, 0)
	}
	*j = Journal{config: j.config, pacer: j.pacer, fold: fold, stats: j.stats, batchCounter: j.batchCounter, readSerial: j.readSerial, commands: j.commands}
}
