package journal

import (
	"cmp"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// fenceTarget is one node that a new owner fences before it serves.
type fenceTarget struct {
	// isReplica is true for a replica, whose answer is always required. The
	// answer of a previous owner is required only if a replica has lost its
	// copies, since every unit that the owner acknowledged is at a replica as
	// well.
	isReplica bool
	// answered means that the node has been fenced. gone means that the platform
	// no longer lists it.
	answered bool
	gone     bool
	// isIntact means that the replica has not restarted since its copies count.
	isIntact        bool
	requestInFlight bool
	retryAt         clock.Millis
	attempts        int
}

// maxOwnerFenceAttempts bounds the requests to a previous owner whose answer is
// not required.
const maxOwnerFenceAttempts = 2

// Follow starts to read the stream in order to claim it with the given replicas.
// The claim follows once the stream has no owner, or AllowTakeover was called for
// its owner. Follow does nothing unless the journal is idle.
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

// AllowTakeover permits the journal to replace owner without a release. The
// caller has evidence that the owner is gone. If it is wrong, the only cost is a
// needless change of owner.
func (j *Journal) AllowTakeover(now clock.Millis, owner spool.NodeID) []Command {
	if j.phase == PhaseReading || j.phase == PhaseReady {
		j.replaceableOwner = owner
	}
	return j.Tick(now)
}

// Abandon stops following a stream that this node should no longer claim. It
// does nothing once the claim may be on the stream.
func (j *Journal) Abandon() []Command {
	if j.phase == PhaseReading || j.phase == PhaseReady {
		j.reset()
		j.emit(Lost{Cause: LossAbandoned})
	}
	return j.flush()
}

// claimStream starts a claim at the tail of the stream unless the stream has
// another owner that may not be replaced.
func (j *Journal) claimStream(now clock.Millis) {
	if j.phase != PhaseReady || !j.atTail || j.logDown {
		return
	}
	owner, _, owned := j.Owner()
	if owned && owner != j.config.Node && owner != j.replaceableOwner {
		return
	}
	// An epoch never exceeds the offset of its claim, so an epoch above the last
	// offset is new even if retention has removed every earlier claim.
	j.epoch = max(j.fold.Epoch(), spool.Epoch(j.fold.Offset())) + 1
	j.phase = PhaseClaiming
	j.pacer.expedite(now)
}

// finishReading ends the replay. From now on the journal follows the tail.
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

// followBatch folds one batch at the tail and reports whether the journal
// continues to follow the stream.
func (j *Journal) followBatch(now clock.Millis, batch spool.Batch) bool {
	before := j.fold.State()
	units := j.fold.Add(batch)
	if a := j.pendingAppend; a != nil && a.batch.ID == batch.ID {
		j.snapshot.confirmAppend(a.snapshotPart)
		j.activateReplicas(a.addedReplicas)
		j.pendingAppend = nil
	}
	// While claiming, a lower epoch of another node is no loss: this node's claim
	// still takes over the stream when it appears.
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

// handleCommitted handles a valid unit that was read from the stream.
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

// startFencing starts to fence the previous owners and replicas and to collect
// the units that they hold.
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

// advanceTakeover sends the fence requests and starts to restore units once
// every required answer has arrived.
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
	// Units are the stored units of lower epochs, in order.
	Units []Unit
	// Incarnation is that of the node's process.
	Incarnation string
}

// FenceDone handles the result of a Fence command; answer is nil if there was
// none. fenced means that a higher epoch has fenced the node.
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

// NodeGone reports that the platform no longer lists a node, so that nothing
// stored there can be recovered.
func (j *Journal) NodeGone(now clock.Millis, node spool.NodeID) []Command {
	if target := j.fenceTargets[node]; target != nil && j.phase == PhaseFencing {
		target.gone = true
	}
	return j.Tick(now)
}

// AwaitedNodes returns the nodes whose answer to a fence request is missing and
// required.
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

// restoreRecords returns the next collected units and, with the last of them,
// the record that ends the recovery.
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

// removeRestored removes duplicates and the collected units that are already on
// the stream. Two replicas usually return the same units.
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
	// Only copies of replicas that the stream names with their incarnation count.
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

// discardRequest tracks a request to one node to discard copies that are on the
// stream.
type discardRequest struct {
	// epoch is the lowest epoch whose copies the node keeps. afterSequence is the
	// sequence that must be on the stream before the request is sent.
	epoch         spool.Epoch
	afterSequence uint64
	nextAt        clock.Millis
	attempts      int
}

// maxDiscardAttempts bounds the requests to one node; the delay doubles with
// each one.
const maxDiscardAttempts = 10

// sendDiscards asks previous replicas to discard their copies until they have
// answered. A copy that is never discarded would take up the replica's memory
// permanently.
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

// DiscardDone records that a node has discarded the copies of lower epochs.
func (j *Journal) DiscardDone(command Discard) {
	if discard := j.discards[command.Node]; discard != nil && command.Epoch == discard.epoch {
		delete(j.discards, command.Node)
	}
}

// HandleFence handles a fence request that reached this node as the previous
// owner. For the new owner, it retains the units that replicas may have and that
// are not known to be on the stream.
func (j *Journal) HandleFence(_ clock.Millis, epoch spool.Epoch) []Command {
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

// loseStream gives the stream up because another node has claimed it.
// appendedNotRun is the outcome of submissions that were appended and not read
// back: after the tail was read up to the other claim, they are not on the
// stream and can no longer become valid.
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

// reset returns the journal to idle. The result of a read or append in flight
// is ignored.
func (j *Journal) reset() {
	fold := j.fold
	if fold == nil {
		fold = NewFold(State{}, 0)
	}
	*j = Journal{config: j.config, pacer: j.pacer, fold: fold, stats: j.stats, batchCounter: j.batchCounter, readSerial: j.readSerial, commands: j.commands}
}
