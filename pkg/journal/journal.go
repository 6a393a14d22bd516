package journal

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Phase is the state of a journal.
type Phase int

// The phases, in the order in which a claim passes through them.
const (
	// PhaseIdle means that the node neither owns nor claims the stream.
	PhaseIdle Phase = iota
	// PhaseReading means that the journal reads the stream from its first retained
	// batch and has not reached the end.
	PhaseReading
	// PhaseReady means that the journal has read the stream to its end and keeps
	// reading. It claims the stream once the stream has no owner or AllowTakeover
	// was called for the owner.
	PhaseReady
	// PhaseClaiming means that the claim is about to be appended, or was appended
	// and has not been read back from the stream.
	PhaseClaiming
	// PhaseFencing means that the journal asks the previous owners and replicas to
	// reject lower epochs and to return the units that they have stored.
	PhaseFencing
	// PhaseRestoring means that the units returned during PhaseFencing are being
	// appended.
	PhaseRestoring
	// PhaseServing means that this node owns the stream and accepts submissions.
	PhaseServing
	// PhaseReleasing means that new submissions are refused, and that the units
	// accepted earlier are appended, followed by the release record.
	PhaseReleasing
)

// Config holds the parameters of a journal. New replaces zero values with
// defaults.
type Config struct {
	// Stream is the stream and Node is the ID of this node.
	Stream spool.Stream
	Node   spool.NodeID
	// AppendInterval is the minimum average time between two appends. One append
	// may start up to one interval early if it carries records that only the log
	// can make durable.
	AppendInterval clock.Millis
	// BatchBytes bounds the estimated size (see Size) of a submission, of the
	// units in an append and of the units in a Replicate message, in bytes.
	BatchBytes int
	// BacklogBytes bounds the total size in bytes of the submissions that have not
	// been read back from the stream.
	BacklogBytes int
	// PollWait is the long-poll timeout of a read at the tail of the stream.
	PollWait clock.Millis
	// RetryAfter is the delay before a failed append, read, Replicate or Fence
	// command is retried. It is also the first delay between Discard commands.
	RetryAfter clock.Millis
	// ReplicaWait is how long a new owner waits, after its claim is read back, for
	// the first answer of each of its own replicas. It then continues without
	// those that have not answered.
	ReplicaWait clock.Millis
	// ReplicateAfter is how long an append may take before its units are sent to
	// replicas as well. Replicas store units in order, so later submissions could
	// otherwise not be acknowledged before the append ends.
	ReplicateAfter clock.Millis
	// LeaseDuration is the duration of the leases that replicas grant to the owner
	// while the log is down. A replica answers no fence request of a higher epoch
	// before the lease that it granted ends.
	LeaseDuration clock.Millis
	// Retention is how long the log keeps records. The owner requests a snapshot
	// when the latest one is older than half of this time.
	Retention clock.Millis
}

const (
	defaultAppendInterval = 89 * clock.Millis(1) // 8 streams together make at most 90 appends per second
	defaultBatchBytes     = 512 << 10
	defaultBacklogBytes   = 8 << 20
	defaultPollWait       = 500 * clock.Millis(1)
	defaultRetryAfter     = 200 * clock.Millis(1)
	defaultReplicaWait    = 300 * clock.Millis(1)
	defaultReplicateAfter = 100 * clock.Millis(1)
	defaultLeaseDuration  = 3 * clock.Second
	defaultRetention      = clock.Hour
)

func (c Config) withDefaults() Config {
	for value, defaultValue := range map[*clock.Millis]clock.Millis{
		&c.AppendInterval: defaultAppendInterval, &c.PollWait: defaultPollWait,
		&c.RetryAfter: defaultRetryAfter, &c.ReplicaWait: defaultReplicaWait,
		&c.ReplicateAfter: defaultReplicateAfter, &c.Retention: defaultRetention,
		&c.LeaseDuration: defaultLeaseDuration,
	} {
		if *value == 0 {
			*value = defaultValue
		}
	}
	if c.BatchBytes == 0 {
		c.BatchBytes = defaultBatchBytes
	}
	if c.BacklogBytes == 0 {
		c.BacklogBytes = defaultBacklogBytes
	}
	return c
}

// Stats holds the counters of a journal since New. Backlog is a present value,
// and Invalid and Duplicates start again with each Follow.
type Stats struct {
	// Appends is the number of appends started, and Bytes the estimated size of
	// their records.
	Appends int `json:"appends"`
	Bytes   int `json:"bytes"`
	// Units is the number of units of this node's epochs that were read back.
	Units int `json:"units"`
	// ReplicaAcks is the number of submissions that were acknowledged when a
	// replica had stored them, before they were read back.
	ReplicaAcks int `json:"heldAcks"`
	// Claims is the number of successful claims. Lost is the number of times that
	// the stream was lost to another node.
	Claims int `json:"claims"`
	Lost   int `json:"lost"`
	// Backlog is the size in bytes of the submissions that have not been read
	// back.
	Backlog int `json:"backlogBytes"`
	// Invalid and Duplicates are Fold.InvalidCount and Fold.DroppedUnitCount. All
	// JSON names are kept, even those that differ from the Go names.
	Invalid    int `json:"void"`
	Duplicates int `json:"repeats"`
	// MissingSnapshots is the number of replays that found neither the beginning
	// of the stream nor a complete snapshot.
	MissingSnapshots int `json:"noState"`
}

// submission is one call of Submit whose records have not been read back from
// the stream.
type submission struct {
	// unit has no sequence and no ID while the submission is staged.
	unit   Unit
	ticket Ticket
	// needsLog means that copies at replicas are not enough for an
	// acknowledgement.
	needsLog bool
	// size is the size of the records in bytes, as estimated by Size.
	size int
	// answered means that an Answer was emitted, so that no second one follows.
	answered bool
	// replicable means that the unit may be sent to replicas. Once it is set,
	// replicas may already have the unit.
	replicable bool
	// appended means that an append of the unit ended without an error or with
	// an unknown outcome, so the unit may be on the stream.
	appended bool
}

// Journal is the state machine of one node for one stream. It follows and claims
// the stream, and as the owner it appends submissions. It is not safe for
// concurrent use.
type Journal struct {
	config Config
	phase  Phase
	epoch  spool.Epoch
	fold   *Fold
	replay *Replay

	// unitQueue holds the submissions that have a sequence and were not read back
	// from the stream, in the order of their sequences.
	unitQueue []*submission
	// staged holds the submissions without a sequence, in the order of their
	// arrival. They get one when an append includes them, or when a replica
	// becomes available for those that do not need the log.
	staged []*submission
	// hasLogOnlyUnits means that unitQueue may have units that are not replicable.
	hasLogOnlyUnits bool
	// hasPromotable means that staged may have submissions that do not need the
	// log. They were staged because no replica was available.
	hasPromotable bool
	// backlogBytes is the total size of unitQueue and staged.
	backlogBytes int
	// lastSequence is the last sequence assigned in this epoch. appliedSequence is
	// the highest one whose unit was passed to the user, committedSequence the
	// highest one whose unit was read back from the stream.
	lastSequence      uint64
	appliedSequence   uint64
	committedSequence uint64

	pendingAppend *pendingAppend
	batchCounter  uint64
	pacer         appendPacer
	removals      replicaRemovals
	// logDown is set when an append fails with ErrLogUnavailable, and when a read
	// fails with any error except ErrTrimmed. The next successful read clears it.
	logDown bool

	readInFlight bool
	// readSerial is the serial of the latest read. readStartedAt is its start, and
	// nextReadAt the earliest start of the next read.
	readSerial    uint64
	nextReadAt    clock.Millis
	readStartedAt clock.Millis
	// confirmedAt is the start of the latest read that reached the end of the
	// stream without finding a newer claim.
	confirmedAt clock.Millis

	replicas map[spool.NodeID]*replica
	// leaseReplicas are the replicas at the latest Tick with logDown unset. A lease
	// is valid only if all of them grant it. leaseRound is the latest round of
	// requests. leaseUntil is the end of the latest valid lease; 0 if there was
	// none.
	leaseReplicas []spool.NodeID
	leaseRound    leaseRequestRound
	leaseUntil    clock.Millis
	// replaceableOwner is the owner that AllowTakeover permits to replace without a
	// release; empty if there is none. atTail means that the latest read reached
	// the end of the stream.
	replaceableOwner spool.NodeID
	atTail           bool
	// replicaIDs lists the keys of replicas in the order in which they were
	// named, for stable iteration.
	replicaIDs []spool.NodeID
	// replicaDeadline is the end of ReplicaWait. fenceTargets are the previous
	// owners and replicas; it is used only in PhaseFencing.
	replicaDeadline clock.Millis
	fenceTargets    map[spool.NodeID]*fenceTarget
	// previousIncarnations is State.Incarnations immediately before this node's
	// claim.
	previousIncarnations map[spool.NodeID]string
	// unitsToRestore are the units that the fence targets returned and that are
	// not known to be on the stream.
	unitsToRestore []Unit
	// discards maps previous replicas and owners to the Discard requests that they
	// have not answered.
	discards map[spool.NodeID]*discardRequest

	// inheritedHandover is the data that the previous owner passed to this node.
	// handover is the data that this node passes to the next owner.
	inheritedHandover json.RawMessage
	handover          handoverState

	snapshot *snapshotProgress
	stats    Stats
	// commands are the commands that flush returns next.
	commands []Command
}

// New returns an idle journal.
func New(config Config) *Journal {
	config = config.withDefaults()
	return &Journal{config: config, pacer: appendPacer{interval: config.AppendInterval}}
}

// Phase returns the current phase.
func (j *Journal) Phase() Phase { return j.phase }

// Epoch returns the epoch of the node's claim, or 0 before the node claims the
// stream.
func (j *Journal) Epoch() spool.Epoch { return j.epoch }

// Owner returns the owner of the stream according to the batches read so far. ok
// is false if the stream was never claimed, is released, or is being read for
// the first time.
func (j *Journal) Owner() (node spool.NodeID, epoch spool.Epoch, ok bool) {
	if j.fold == nil || j.fold.state.Released || j.fold.state.Epoch == 0 {
		return "", 0, false
	}
	return j.fold.state.Owner, j.fold.state.Epoch, true
}

// Serving reports whether the journal is in PhaseServing, the only phase in
// which Submit accepts records.
func (j *Journal) Serving() bool { return j.phase == PhaseServing }

// ConfirmedUntil returns the time up to which it is proven that no other node
// serves the stream: the start of the last read that reached the end without a
// newer claim, or the end of the lease granted by the replicas, whichever is
// later. The second result is false, and the time has no meaning, unless this
// node serves or releases the stream.
func (j *Journal) ConfirmedUntil() (clock.Millis, bool) {
	return max(j.confirmedAt, j.leaseUntil), j.phase >= PhaseServing
}

// Stats returns a copy of the counters.
func (j *Journal) Stats() Stats {
	stats := j.stats
	stats.Backlog = j.backlogBytes
	if j.fold != nil {
		stats.Invalid, stats.Duplicates = j.fold.InvalidCount(), j.fold.DroppedUnitCount()
	}
	return stats
}

// Pending returns, in order, the units that replicas may have and that were not
// read back from the stream.
func (j *Journal) Pending() []Unit { return j.replicableUnits() }

// LogDown reports whether an access to the log has failed and no read has
// succeeded since. An append of unknown outcome is not such a failure.
func (j *Journal) LogDown() bool { return j.logDown }

// Submit accepts records that are applied together, or refuses them with an
// Answer. An Answer without a refusal follows once the records are durable: with
// needsLog when they were read back from the stream, otherwise also when one
// active replica has stored them. Replicas are in other failure domains than the
// owner.
func (j *Journal) Submit(now clock.Millis, ticket Ticket, records []spool.Record, needsLog bool) []Command {
	if refusal := j.checkSubmission(records, needsLog); refusal != nil {
		return append(j.flush(), Answer{Ticket: ticket, Refusal: refusal})
	}
	sub := &submission{ticket: ticket, needsLog: needsLog, size: Size(records)}
	sub.unit.Batch = spool.Batch{Writer: j.config.Node, Epoch: j.epoch, At: now, Records: records}
	j.backlogBytes += sub.size
	if needsLog || !j.hasAvailableReplica() {
		j.staged = append(j.staged, sub)
		j.hasPromotable = j.hasPromotable || !needsLog
	} else {
		j.assignSequence(sub)
		sub.replicable = true
	}
	return j.Tick(now)
}

// checkSubmission returns the reason to refuse a submission, or nil.
func (j *Journal) checkSubmission(records []spool.Record, needsLog bool) *spool.Refusal {
	size := Size(records)
	switch {
	case j.phase != PhaseServing:
		return j.notServingRefusal()
	case len(records) == 0:
		return spool.Refuse(spool.CodeBadRequest, "a submission needs at least one record")
	case size > j.config.BatchBytes:
		return spool.Refuse(spool.CodeTooLarge, "submission of %d bytes exceeds the limit of %d", size, j.config.BatchBytes)
	case j.backlogBytes+size > j.config.BacklogBytes:
		return spool.Refuse(spool.CodeOverloaded, "stream %s has %d bytes that are not yet on the log", j.config.Stream, j.backlogBytes).
			WithRetryAfter(j.drainTime())
	case j.logDown && !needsLog && !j.hasAvailableReplica():
		return spool.Refuse(spool.CodeLogUnavailable, "log is unavailable and no holder of stream %s answers", j.config.Stream).
			WithRetryAfter(j.config.RetryAfter)
	}
	return nil
}

func (j *Journal) notServingRefusal() *spool.Refusal {
	if j.phase != PhaseIdle {
		return spool.Refuse(spool.CodeNoOwner, "stream %s is changing its owner", j.config.Stream).
			WithRetryAfter(j.config.RetryAfter)
	}
	refusal := spool.Refuse(spool.CodeNotOwner, "this node does not own stream %s", j.config.Stream)
	if j.fold != nil && !j.fold.state.Released && j.fold.state.Owner != j.config.Node {
		refusal.Owner = j.fold.state.Owner
	}
	return refusal.WithRetryAfter(j.config.RetryAfter)
}

// drainTime estimates the time until the backlog is on the stream: RetryAfter
// plus one append interval for each full batch.
func (j *Journal) drainTime() clock.Millis {
	return j.config.RetryAfter + clock.Millis(j.backlogBytes/j.config.BatchBytes)*j.config.AppendInterval
}

// Cancel refuses a submission whose caller no longer waits. A staged submission
// is dropped, with NotRunTrue. One that has a sequence is still appended, so
// its outcome is NotRunUnknown. Cancel does nothing if the submission was
// answered.
func (j *Journal) Cancel(now clock.Millis, ticket Ticket) []Command {
	for i, sub := range j.staged {
		if sub.ticket == ticket {
			j.staged = append(j.staged[:i:i], j.staged[i+1:]...)
			j.backlogBytes -= sub.size
			j.answer(sub, j.cancelRefusal(spool.NotRunTrue))
			return j.Tick(now)
		}
	}
	for _, sub := range j.unitQueue {
		if sub.ticket == ticket && !sub.answered {
			j.answer(sub, j.cancelRefusal(spool.NotRunUnknown))
		}
	}
	return j.flush()
}

func (j *Journal) cancelRefusal(notRun spool.NotRun) *spool.Refusal {
	if j.logDown {
		return spool.Refuse(spool.CodeLogUnavailable, "log is unavailable and the caller no longer waits").
			WithNotRun(notRun).WithRetryAfter(j.config.RetryAfter)
	}
	return spool.Refuse(spool.CodeDeadlineExceeded, "submission is not durable yet and the caller no longer waits").WithNotRun(notRun)
}

// assignSequence gives a submission the next sequence and the ID that follows
// from it, and adds it to unitQueue.
func (j *Journal) assignSequence(sub *submission) {
	j.lastSequence++
	sub.unit.Sequence = j.lastSequence
	sub.unit.Batch.ID = UnitID(j.config.Node, j.epoch, j.lastSequence)
	j.unitQueue = append(j.unitQueue, sub)
}

// Tick starts everything that is due at now: reads, a claim, requests to other
// nodes, retries and an append. It must be called at regular intervals.
func (j *Journal) Tick(now clock.Millis) []Command {
	if j.phase == PhaseIdle {
		return j.flush()
	}
	j.startRead(now)
	j.claimStream(now)
	j.advanceTakeover(now)
	if j.phase >= PhaseServing {
		j.allowReplication(now)
		j.sendToReplicas(now)
		j.applyReplicated()
		j.requestSnapshot(now)
		j.sendDiscards(now)
		j.requestLease(now)
	}
	j.startAppend(now)
	return j.flush()
}

// applyReplicated passes queued units to the user, in order, up to the last one
// that an active replica has stored. It acknowledges those of them that do not
// need the log.
func (j *Journal) applyReplicated() {
	replicated := j.replicatedSequence()
	for _, sub := range j.unitsAfter(j.appliedSequence) {
		if !sub.replicable || sub.unit.Sequence > replicated {
			return
		}
		j.applyUnit(sub.unit)
		if !sub.needsLog {
			j.stats.ReplicaAcks++
			j.answer(sub, nil)
		}
	}
}

// unitsAfter returns the submissions in unitQueue with a sequence above the
// given one.
func (j *Journal) unitsAfter(sequence uint64) []*submission {
	at, _ := slices.BinarySearchFunc(j.unitQueue, sequence+1, func(sub *submission, sequence uint64) int {
		return cmp.Compare(sub.unit.Sequence, sequence)
	})
	return j.unitQueue[at:]
}

// applyUnit passes a unit to the user and, if it belongs to the present epoch,
// advances appliedSequence.
func (j *Journal) applyUnit(unit Unit) {
	if unit.Batch.Epoch == j.epoch {
		j.appliedSequence = unit.Sequence
	}
	j.emit(Apply{Batch: unit.Batch})
}

// answer emits the answer to a submission unless it was answered before. A nil
// refusal acknowledges it.
func (j *Journal) answer(sub *submission, refusal *spool.Refusal) {
	if sub.answered {
		return
	}
	sub.answered = true
	j.emit(Answer{Ticket: sub.ticket, Refusal: refusal})
}

func (j *Journal) emit(command Command) { j.commands = append(j.commands, command) }

// flush returns the commands emitted since the previous flush.
func (j *Journal) flush() []Command {
	out := j.commands
	j.commands = nil
	return out
}

// newBatch returns a batch of this node's epoch. Its ID contains the time, so
// that it differs from the IDs that an earlier process of this node used.
func (j *Journal) newBatch(now clock.Millis, records []spool.Record) spool.Batch {
	j.batchCounter++
	return spool.Batch{
		ID:     fmt.Sprintf("%s/%d-%d-%d", j.config.Node, j.epoch, now, j.batchCounter),
		Writer: j.config.Node, Epoch: j.epoch, At: now, Records: records,
	}
}
