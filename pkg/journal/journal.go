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
	// PhaseReading means that the journal reads the stream before a claim.
	PhaseReading
	// PhaseReady means that the journal follows the stream and has not claimed
	// it, because the owner has not released it and Allow was not called for that
	// owner.
	PhaseReady
	// PhaseClaiming means that the claim is being appended and was not read back
	// yet.
	PhaseClaiming
	// PhaseSealing means that the journal fences the previous owners and replicas
	// and collects the units that they hold.
	PhaseFencing
	// PhaseRestoring means that the collected units are being appended.
	PhaseRestoring
	// PhaseServing means that submissions are accepted.
	PhaseServing
	// PhaseReleasing means that the remaining units are appended before the
	// release.
	PhaseReleasing
)

// Config holds the parameters of a journal. New replaces zero values with
// defaults.
type Config struct {
	// Stream is the stream and Node is the ID of this node.
	Stream spool.Stream
	Node   spool.NodeID
	// AppendInterval is the average time between two appends. One append may
	// start early if it carries records that only the log can make durable.
	AppendInterval clock.Millis
	// BatchBytes bounds the size of a submission, of an append and of a Hold
	// message.
	BatchBytes int
	// BacklogBytes bounds the size of the submissions that are not yet known to
	// be on the stream.
	BacklogBytes int
	// PollWait is the long-poll timeout of a read at the tail of the stream.
	PollWait clock.Millis
	// RetryAfter is the delay before a failed append, read, Hold or Seal is
	// retried.
	RetryAfter clock.Millis
	// OpenWait is how long a new owner waits for the first answers of its
	// replicas.
	ReplicaWait clock.Millis
	// ExposeAfter is how long an append may take before its units are sent to
	// replicas as well, so that later submissions need not wait for the append.
	ReplicateAfter clock.Millis
	// PromiseFor is the duration of the leases that replicas grant while the log
	// is down. A replica answers no fence request of a higher epoch before its
	// lease ends.
	LeaseDuration clock.Millis
	// Retention is how long the log keeps records. A new snapshot is requested
	// after half of this time.
	Retention clock.Millis
}

const (
	defaultAppendInterval = 89 * clock.Millis(1) // 8 streams together make at most 90 appends per second
	defaultBatchBytes     = 512 << 10
	defaultBacklogBytes   = 8 << 20
	defaultPollWait       = 500 * clock.Millis(1)
	defaultRetryAfter     = 200 * clock.Millis(1)
	defaultOpenWait       = 300 * clock.Millis(1)
	defaultExposeAfter    = 100 * clock.Millis(1)
	defaultPromiseFor     = 3 * clock.Second
	defaultRetention      = clock.Hour
)

func (c Config) withDefaults() Config {
	for value, defaultValue := range map[*clock.Millis]clock.Millis{
		&c.AppendInterval: defaultAppendInterval, &c.PollWait: defaultPollWait,
		&c.RetryAfter: defaultRetryAfter, &c.ReplicaWait: defaultOpenWait,
		&c.ReplicateAfter: defaultExposeAfter, &c.Retention: defaultRetention,
		&c.LeaseDuration: defaultPromiseFor,
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

// Stats holds the counters of a journal.
type Stats struct {
	Appends          int `json:"appends"`
	Bytes            int `json:"bytes"`
	Units            int `json:"units"`
	ReplicaAcks      int `json:"heldAcks"`
	Claims           int `json:"claims"`
	Lost             int `json:"lost"`
	Backlog          int `json:"backlogBytes"`
	Invalid          int `json:"void"`
	Duplicates       int `json:"repeats"`
	MissingSnapshots int `json:"noState"`
}

// submission is a set of records that is not yet known to be on the stream.
type submission struct {
	unit     Unit
	ticket   Ticket
	needsLog bool
	size     int
	// answered means that the caller has been answered.
	answered bool
	// replicable means that the unit may be sent to replicas, which may already
	// have it.
	replicable bool
	// appended means that an append with the unit may have taken effect.
	appended bool
}

// Journal manages one stream at one node. It is not safe for concurrent use.
type Journal struct {
	config Config
	phase  Phase
	epoch  spool.Epoch
	fold   *Fold
	replay *Replay

	// unitQueue holds the units that have a sequence and are not known to be on
	// the stream, in order.
	unitQueue []*submission
	// staged holds the submissions without a sequence, which wait for the next
	// append.
	staged []*submission
	// hasLogOnlyUnits means that some units in unitQueue are not replicable.
	hasLogOnlyUnits bool
	// hasPromotable means that some staged submissions do not need the log and
	// were staged only because no replica was available.
	hasPromotable bool
	// backlogBytes is the total size of unitQueue and staged.
	backlogBytes int
	// lastSequence is the last sequence assigned. appliedSequence and
	// committedSequence are the highest sequences that were passed to the user
	// and found on the stream.
	lastSequence      uint64
	appliedSequence   uint64
	committedSequence uint64

	pendingAppend *pendingAppend
	batchCounter  uint64
	pacer         appendPacer
	removals      replicaRemovals
	// logDown is set when the log is unavailable for an append or a read fails.
	// It is cleared by the next successful read.
	logDown bool

	readInFlight  bool
	readSerial    uint64
	nextReadAt    clock.Millis
	readStartedAt clock.Millis
	confirmedAt   clock.Millis

	replicas map[spool.NodeID]*replica
	// leaseReplicas are the replicas at the time when the log last answered; all
	// of them must grant a lease. leaseRound is the latest round of requests.
	// leaseUntil is the end of the lease that all of them have granted.
	leaseReplicas []spool.NodeID
	leaseRound    leaseRequestRound
	leaseUntil    clock.Millis
	// replaceableOwner is the owner that may be replaced without a release.
	// atTail means that the last read reached the end of the stream.
	replaceableOwner spool.NodeID
	atTail           bool
	// replicaIDs lists the keys of replicas in the order in which they were
	// named, for stable iteration.
	replicaIDs      []spool.NodeID
	replicaDeadline clock.Millis
	fenceTargets    map[spool.NodeID]*fenceTarget
	// previousIncarnations are those of the previous replicas whose copies
	// counted.
	previousIncarnations map[spool.NodeID]string
	unitsToRestore       []Unit
	discards             map[spool.NodeID]*discardRequest

	// inheritedHandover is the handover data of the previous owner. handover
	// holds the data that this node passes to the next one.
	inheritedHandover json.RawMessage
	handover          handoverState

	snapshot *snapshotProgress
	stats    Stats
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

// Owner returns the owner of the stream according to the batches read so far;
// ok is false if there is none.
func (j *Journal) Owner() (node spool.NodeID, epoch spool.Epoch, ok bool) {
	if j.fold == nil || j.fold.state.Released || j.fold.state.Epoch == 0 {
		return "", 0, false
	}
	return j.fold.state.Owner, j.fold.state.Epoch, true
}

// Serving reports whether submissions are accepted.
func (j *Journal) Serving() bool { return j.phase == PhaseServing }

// Confirmed returns the time up to which it is proven that no other node serves
// the stream: the start of the last read without a newer claim, or the end of
// the lease granted by the replicas. The result is false unless this node
// serves or releases the stream.
func (j *Journal) ConfirmedUntil() (clock.Millis, bool) {
	return max(j.confirmedAt, j.leaseUntil), j.phase >= PhaseServing
}

// Stats returns the counters.
func (j *Journal) Stats() Stats {
	stats := j.stats
	stats.Backlog = j.backlogBytes
	if j.fold != nil {
		stats.Invalid, stats.Duplicates = j.fold.InvalidCount(), j.fold.DuplicateCount()
	}
	return stats
}

// Pending returns the units that replicas may have and that are not known to be
// on the stream.
func (j *Journal) Pending() []Unit { return j.replicableUnits() }

// LogDown reports whether the last access to the log failed.
func (j *Journal) LogDown() bool { return j.logDown }

// Submit accepts records that are applied together. The returned commands may
// already contain the answer. With needsLog, the submission is durable only
// once it is on the stream; otherwise one copy at a replica in another failure
// domain is enough.
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

// drainTime estimates the time until the backlog is on the stream, at one batch
// per append interval.
func (j *Journal) drainTime() clock.Millis {
	return j.config.RetryAfter + clock.Millis(j.backlogBytes/j.config.BatchBytes)*j.config.AppendInterval
}

// Cancel answers a submission whose caller no longer waits. The refusal states
// whether the records can still reach the stream.
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

// assignSequence gives a submission the next sequence and adds it to unitQueue.
func (j *Journal) assignSequence(sub *submission) {
	j.lastSequence++
	sub.unit.Sequence = j.lastSequence
	sub.unit.Batch.ID = UnitID(j.config.Node, j.epoch, j.lastSequence)
	j.unitQueue = append(j.unitQueue, sub)
}

// Tick advances the journal to now: it retries, sends units to replicas and
// starts the append that is due.
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

// applyReplicated passes units to the user, in order, as far as replicas have
// stored them.
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

// unitsAfter returns the queued units with a higher sequence.
func (j *Journal) unitsAfter(sequence uint64) []*submission {
	at, _ := slices.BinarySearchFunc(j.unitQueue, sequence+1, func(sub *submission, sequence uint64) int {
		return cmp.Compare(sub.unit.Sequence, sequence)
	})
	return j.unitQueue[at:]
}

func (j *Journal) applyUnit(unit Unit) {
	if unit.Batch.Epoch == j.epoch {
		j.appliedSequence = unit.Sequence
	}
	j.emit(Apply{Batch: unit.Batch})
}

func (j *Journal) answer(sub *submission, refusal *spool.Refusal) {
	if sub.answered {
		return
	}
	sub.answered = true
	j.emit(Answer{Ticket: sub.ticket, Refusal: refusal})
}

func (j *Journal) emit(command Command) { j.commands = append(j.commands, command) }

func (j *Journal) flush() []Command {
	out := j.commands
	j.commands = nil
	return out
}

// newBatch returns a batch of this node's epoch with a unique ID.
func (j *Journal) newBatch(now clock.Millis, records []spool.Record) spool.Batch {
	j.batchCounter++
	return spool.Batch{
		ID:     fmt.Sprintf("%s/%d-%d-%d", j.config.Node, j.epoch, now, j.batchCounter),
		Writer: j.config.Node, Epoch: j.epoch, At: now, Records: records,
	}
}
