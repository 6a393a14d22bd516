package journal

import (
	"cmp"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// fenceTarget is one node that a new owner fences before it serves.
type fenceTarget struct {
	// isReplica is true for a previous replica. Its answer is required unless the
	// node is gone. The answer of a previous owner that is not a replica is
	// required only if a replica is gone or has lost its copies: every unit that
	// the owner acknowledged is on the stream or was stored by a replica.
	isReplica bool
	// answered means that the node has been fenced and has returned its units. gone
	// means that the platform no longer lists the node.
	answered bool
	gone     bool
	// isIntact means that the answer came from the incarnation that the stream
	// recorded, or that it recorded none. Otherwise the node has restarted and lost
	// copies.
	isIntact bool
	// requestInFlight means that a Fence command is in flight. retryAt is the
	// earliest time of the next one; attempts is the number of failed ones.
	requestInFlight bool
	retryAt         clock.Millis
	attempts        int
}

// maxOwnerFenceAttempts is the number of failed fence requests after which a new
// owner no longer waits for a previous owner whose answer is not required.
const maxOwnerFenceAttempts = 2

// Follow starts to read the stream in order to claim it with the given
// replicas. The journal claims it at the end of the stream, once the stream has
// no owner, its owner is this node, or AllowTakeover was called for the owner.
// Follow does nothing unless the journal is idle.
func (j *Journal) Follow(now clock.Millis, replicas []spool.NodeID) []Command {
	if j.phase != PhaseIdle {
		return j.flush()
	}
	stats := j.Stats()
	*j = Journal{config: j.config, pacer: j.pacer, phase: PhaseReading, replay: NewReplay(0), stats: stats, batchCounter: j.batchCounter, readSerial: j.readSerial}
	j.resetReplicas(replicas)
	j.emit(Reset{})
	return j.Tick(now)
}

// AllowTakeover permits the journal to claim the stream although owner has not
// released it. The caller has evidence that the owner has failed. If the
// evidence is wrong, the only damage is an unnecessary change of owner, because
// the claim fences the old one. AllowTakeover has no effect after the claim or
// while idle.
func (j *Journal) AllowTakeover(now clock.Millis, owner spool.NodeID) []Command {
	if j.phase == PhaseReading || j.phase == PhaseReady {
		j.replaceableOwner = owner
	}
	return j.Tick(now)
}

// Abandon stops following a stream that this node should no longer claim. It
// does nothing in PhaseClaiming and later phases, because the claim may then be
// on the stream.
func (j *Journal) Abandon() []Command {
	if j.phase == PhaseReading || j.phase == PhaseReady {
		j.reset()
		j.emit(Lost{Cause: LossAbandoned})
	}
	return j.flush()
}

// claimStream starts a claim if the journal has read the stream to its end and
// the log is not down, unless another node owns the stream and AllowTakeover
// was not called for it.
func (j *Journal) claimStream(now clock.Millis) {
	if j.phase != PhaseReady || !j.atTail || j.logDown {
		return
	}
	owner, _, owned := j.Owner()
	if owned && owner != j.config.Node && owner != j.replaceableOwner {
		return
	}
	// An epoch never exceeds the offset of its claim. An epoch above the last
	// offset is therefore above all earlier ones, even if retention has removed
	// every earlier claim.
	j.epoch = max(j.fold.Epoch(), spool.Epoch(j.fold.Offset())) + 1
	j.phase = PhaseClaiming
	j.pacer.expedite(now)
}

// finishReading ends the replay at the end of the stream and enters PhaseReady.
// It passes the snapshot and the buffered units of a trimmed stream to the
// user.
func (j *Journal) finishReading() {
	fold, start, units, found := j.replay.Finish()
	j.fold, j.replay = fold, nil
	if !found {
		j.stats.MissingSnapshots++
	}
	if len(start) > 0 {
		j.emit(Apply{Batch: spool.Batch{Epoch: fold.Epoch(), Records: start}})
	}
	for _, unit := range units {
		j.emit(Apply{Batch: unit.Batch})
	}
	j.phase = PhaseReady
}

// followBatch folds a batch that was read after PhaseReading, and does what
// follows from it: settle the pending append, pass on units, change the phase.
// It returns false if the journal has become idle, because it lost or released
// the stream.
func (j *Journal) followBatch(now clock.Millis, batch spool.Batch) bool {
	before := j.fold.State()
	units := j.fold.Add(batch)
	if a := j.pendingAppend; a != nil && a.batch.ID == batch.ID {
		j.snapshot.confirmAppend(a.snapshotPart)
		j.activateReplicas(a.addedReplicas)
		j.pendingAppend = nil
	}
	// In PhaseClaiming, a claim of another node with a lower epoch is no loss: this
	// node's claim has a higher epoch and is valid when it follows on the stream.
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

// wonClaim reports whether this node's claim is the latest valid one.
func (j *Journal) wonClaim() bool {
	return j.fold.state.Epoch == j.epoch && j.fold.state.Owner == j.config.Node
}

// handleCommitted handles a unit that was read from the stream and that the fold
// accepted. It passes the unit to the user unless that was done before. If this
// node submitted the unit in its present epoch, it also acknowledges the
// submission and removes it from unitQueue.
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

// startFencing enters PhaseFencing after this node's claim was read back.
// before is the state immediately before the claim. If the stream was released,
// nothing has to be fenced; otherwise all owners and replicas in before become
// fence targets.
func (j *Journal) startFencing(now clock.Millis, before State) {
	j.stats.Claims++
	j.phase = PhaseFencing
	j.replicaDeadline = now + j.config.ReplicaWait
	j.fenceTargets = map[spool.NodeID]*fenceTarget{}
	j.previousIncarnations = before.Incarnations
	j.discards = map[spool.NodeID]*discardRequest{}
	for _, node := range union(before.Owners, before.Replicas) {
		j.discards[node] = &discardRequest{epoch: j.epoch}
	}
	if before.Released {
		j.inheritedHandover = before.Handover
		return
	}
	for _, node := range before.Owners {
		j.fenceTargets[node] = &fenceTarget{}
	}
	for _, node := range before.Replicas {
		j.fenceTargets[node] = &fenceTarget{isReplica: true}
	}
}

// advanceTakeover sends the fence requests that are due, and contacts the
// replicas of this claim. It enters PhaseRestoring once every required fence
// answer has arrived and either all replicas have answered or ReplicaWait has
// passed.
func (j *Journal) advanceTakeover(now clock.Millis) {
	if j.phase != PhaseFencing {
		return
	}
	deadlinePassed := now >= j.replicaDeadline
	for _, node := range sortedKeys(j.fenceTargets) {
		target := j.fenceTargets[node]
		if !target.answered && !target.gone && !target.requestInFlight && now >= target.retryAt {
			target.requestInFlight = true
			j.emit(Fence{Node: node, Epoch: j.epoch})
		}
	}
	j.sendToReplicas(now)
	if len(j.AwaitedNodes()) == 0 && (deadlinePassed || j.allContacted()) {
		slices.SortStableFunc(j.unitsToRestore, compareUnits)
		j.phase = PhaseRestoring
	}
}

func compareUnits(a, b Unit) int {
	return cmp.Or(cmp.Compare(a.Batch.Epoch, b.Batch.Epoch), cmp.Compare(a.Sequence, b.Sequence))
}

// FenceReply is a node's answer to a Fence command.
type FenceReply struct {
	// Units are the stored units of lower epochs, ordered by epoch and sequence.
	Units []Unit
	// Incarnation identifies the node's process; see ReplicaStore.Incarnation.
	Incarnation string
}

// FenceDone handles the result of a Fence command. answer is nil if the node
// did not answer or answered with an error, such as ErrLeaseActive; the request
// is then repeated after RetryAfter. fenced means that a higher epoch has
// fenced the node; the journal then gives up the stream.
func (j *Journal) FenceDone(now clock.Millis, command Fence, answer *FenceReply, fenced bool) []Command {
	target := j.fenceTargets[command.Node]
	if target == nil || j.phase != PhaseFencing || command.Epoch != j.epoch {
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

// NodeGone reports that the platform no longer lists a node. The journal then no
// longer waits for its answer to a fence request. NodeGone has no effect outside
// PhaseFencing.
func (j *Journal) NodeGone(now clock.Millis, node spool.NodeID) []Command {
	if target := j.fenceTargets[node]; target != nil && j.phase == PhaseFencing {
		target.gone = true
	}
	return j.Tick(now)
}

// AwaitedNodes returns the nodes whose answer to a fence request is still
// missing and awaited: replicas and previous owners that are not gone. A
// previous owner is left out if all replicas have answered with their copies
// intact and either AllowTakeover was called for it or maxOwnerFenceAttempts
// requests have failed.
func (j *Journal) AwaitedNodes() (nodes []spool.NodeID) {
	if j.phase != PhaseFencing {
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

// restoreRecords returns the records of the next batch in PhaseRestoring: as
// many of unitsToRestore as fit into BatchBytes. The batch with the last of
// them ends with the KindRecovered record.
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

// removeRestored removes duplicates from unitsToRestore, which are common
// because each unit is sent to every replica. It also removes units that are
// already on the stream and units of epochs below State.Recovered, which the
// fold would drop.
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

// startServing enters PhaseServing after the KindRecovered record was read
// back. It decides which replicas are active.
func (j *Journal) startServing(now clock.Millis) {
	j.phase = PhaseServing
	j.unitsToRestore = nil
	j.confirmedAt = j.readStartedAt
	// The next owner can detect a restart only of a replica whose incarnation is on
	// the stream. No other replica becomes active.
	for node, r := range j.replicas {
		incarnation, named := j.fold.state.Incarnations[node]
		r.active = r.contacted && named && incarnation == r.incarnation
	}
	for _, discard := range j.discards {
		discard.nextAt = now
	}
	j.fenceTargets = nil
	j.snapshot = &snapshotProgress{}
	j.removals = newReplicaRemovals()
	j.emit(Serving{Epoch: j.epoch, HandoverData: j.inheritedHandover})
}

// discardRequest tracks the Discard commands to one node until it answers.
type discardRequest struct {
	// epoch is the epoch of the command: copies of lower epochs are discarded.
	// afterSequence is the sequence of this node's epoch that must be on the stream
	// before the first command; 0 if the command can be sent at once.
	epoch         spool.Epoch
	afterSequence uint64
	// nextAt is the earliest time of the next command; attempts is the number of
	// commands sent.
	nextAt   clock.Millis
	attempts int
}

// maxDiscardAttempts bounds the Discard commands to one node. The delay between
// them starts at RetryAfter and doubles each time.
const maxDiscardAttempts = 10

// sendDiscards asks previous replicas and owners to discard their copies, until
// they have answered or maxDiscardAttempts is reached. A copy that is never
// discarded would use the node's memory until its process ends.
func (j *Journal) sendDiscards(now clock.Millis) {
	for _, node := range sortedKeys(j.discards) {
		discard := j.discards[node]
		if now < discard.nextAt || j.committedSequence < discard.afterSequence {
			continue
		}
		discard.nextAt = now + j.config.RetryAfter<<discard.attempts
		j.emit(Discard{Node: node, Epoch: discard.epoch})
		if discard.attempts++; discard.attempts == maxDiscardAttempts {
			delete(j.discards, node)
		}
	}
}

// DiscardDone handles the answer to a Discard command, so that it is not
// repeated.
func (j *Journal) DiscardDone(command Discard) {
	if discard := j.discards[command.Node]; discard != nil && command.Epoch == discard.epoch {
		delete(j.discards, command.Node)
	}
}

// HandleFence handles a fence request of a new owner to this node. If this node
// has claimed the stream with a lower epoch, it gives up the stream, refuses
// the submissions in progress and emits Retain for the units of Pending. It
// must be called before the FenceBelow of the ReplicaStore, which then returns
// these units to the new owner.
func (j *Journal) HandleFence(_ clock.Millis, epoch spool.Epoch) []Command {
	if j.phase >= PhaseClaiming && epoch > j.epoch {
		j.loseStream(spool.NotRunUnknown)
	}
	return j.flush()
}

// replicableUnits returns the units in unitQueue that replicas may have, in
// order.
func (j *Journal) replicableUnits() (units []Unit) {
	for _, sub := range j.unitQueue {
		if sub.replicable {
			units = append(units, sub.unit)
		}
	}
	return units
}

// loseStream gives the stream up because another node has claimed it, or may
// have. It refuses all submissions that were not answered and emits Retain for
// the units that replicas may have. appendedNotRun is the outcome of
// submissions that were appended but not read back, and that replicas cannot
// have. It is NotRunTrue if the stream was read up to the other claim: they do
// not precede the claim, and after it they are invalid.
func (j *Journal) loseStream(appendedNotRun spool.NotRun) {
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
			notRun = appendedNotRun
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

// reset returns the journal to PhaseIdle. The results of a read or append in
// flight will be ignored. The counters and the fold are kept, so that Owner
// still returns the owner known so far.
func (j *Journal) reset() {
	fold := j.fold
	if fold == nil {
		fold = NewFold(State{}, 0)
	}
	*j = Journal{config: j.config, pacer: j.pacer, fold: fold, stats: j.stats, batchCounter: j.batchCounter, readSerial: j.readSerial, commands: j.commands}
}
