package journal

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Phase is what a journal is doing.
type Phase int

// The phases in the order in which a claim passes through them.
const (
	// PhaseIdle means that the node neither owns nor claims the stream.
	PhaseIdle Phase = iota
	// PhaseReading means that the stream is read before a claim.
	PhaseReading
	// PhaseReady means that the stream is followed and not yet claimed, since its
	// owner has neither released it nor been allowed to be replaced.
	PhaseReady
	// PhaseClaiming means that the claim is appended and not yet read back.
	PhaseClaiming
	// PhaseSealing means that previous holders are asked for what they hold.
	PhaseSealing
	// PhaseRestoring means that what they returned is being appended.
	PhaseRestoring
	// PhaseServing means that submissions are taken.
	PhaseServing
	// PhaseReleasing means that the rest is appended before the release.
	PhaseReleasing
)

// Config holds the numbers of a journal. New replaces zero values by defaults.
type Config struct {
	// Stream is the stream and Node is this process.
	Stream spool.Stream
	Node   spool.NodeID
	// AppendInterval is the time between two appends over a long time. One append
	// may run ahead of it, for what only the log can settle.
	AppendInterval clock.Millis
	// BatchBytes bounds one append and one message to a holder.
	BatchBytes int
	// BacklogBytes bounds what is submitted and not yet on the stream.
	BacklogBytes int
	// PollWait is the long poll on the tail of the stream.
	PollWait clock.Millis
	// RetryAfter is the wait after a failed append, read, hold or seal.
	RetryAfter clock.Millis
	// OpenWait is how long a new owner waits for its holders to answer.
	OpenWait clock.Millis
	// ExposeAfter is how long an append may take before its units go to holders
	// as well, so that later submissions need not wait for it.
	ExposeAfter clock.Millis
	// PromiseFor is the time for which holders promise not to answer a seal while
	// the log is down.
	PromiseFor clock.Millis
	// Retention is how long the log keeps records; a snapshot is due at half.
	Retention clock.Millis
}

const (
	defaultAppendInterval = 89 * clock.Millis(1) // 8 streams stay at 90 appends a second
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
		&c.RetryAfter: defaultRetryAfter, &c.OpenWait: defaultOpenWait,
		&c.ExposeAfter: defaultExposeAfter, &c.Retention: defaultRetention,
		&c.PromiseFor: defaultPromiseFor,
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

// Stats counts what a journal has done.
type Stats struct {
	Appends  int `json:"appends"`
	Bytes    int `json:"bytes"`
	Units    int `json:"units"`
	HeldAcks int `json:"heldAcks"`
	Claims   int `json:"claims"`
	Lost     int `json:"lost"`
	Backlog  int `json:"backlogBytes"`
	Void     int `json:"void"`
	Repeats  int `json:"repeats"`
	NoState  int `json:"noState"`
}

// entry is a submission on its way to the stream.
type submission struct {
	unit     Unit
	ticket   Ticket
	needsLog bool
	size     int
	// answered is true once the caller has its answer, or there is none.
	answered bool
	// exposed means that holders may have the unit.
	replicable bool
	// appended means that an append that contained the unit may have taken
	// effect.
	appended bool
}

// Journal is one stream at one node. It is not safe for concurrent use.
type Journal struct {
	config Config
	phase  Phase
	epoch  spool.Epoch
	fold   *Fold
	replay *Replay

	// units have a sequence and are not known to be on the stream; in order.
	unitQueue []*submission
	// staged wait for an append to take them along.
	staged []*submission
	// hidden means that some of units are not exposed.
	hasLogOnlyUnits bool
	// loose means that some of staged need no append but lacked a holder.
	hasPromotable bool
	// backlog is the size of units and staged.
	backlogBytes int
	// sequence is the last one given out; applied and committed are the highest
	// passed to the user and found on the stream.
	lastSequence  uint64
	appliedSequence   uint64
	committedSequence uint64

	pendingAppend  *pendingAppend
	batchCounter uint64
	pacer     appendPacer
	removals    replicaRemovals
	// logDown is set by a failed append or read and cleared by a good read.
	logDown bool

	readInFlight   bool
	readSerial    uint64
	nextReadAt    clock.Millis
	readStartedAt clock.Millis
	confirmedAt clock.Millis

	replicas map[spool.NodeID]*replica
	// promisers are the holders since the log last answered, all of which have to
	// promise. promises is the latest round; promised is the end of the promises
	// that all of them have given.
	leaseReplicas []spool.NodeID
	leaseRound  leaseRequestRound
	leaseUntil  clock.Millis
	// allowed is the owner that may be replaced; atTail means that the last read
	// reached the end of the stream.
	replaceableOwner spool.NodeID
	atTail  bool
	// order lists the peers in the order of the claim, for stable iteration.
	replicaIDs  []spool.NodeID
	replicaDeadline clock.Millis
	fenceTargets  map[spool.NodeID]*fenceTarget
	// incarnations are those of the previous holders whose copies counted.
	previousIncarnations map[spool.NodeID]string
	unitsToRestore      []Unit
	discards     map[spool.NodeID]*discardRequest

	// inherited is what the previous owner left; handover what this one leaves.
	inheritedHandover json.RawMessage
	handover  handoverState

	snapshot *snapshotProgress
	stats     Stats
	commands       []Command
}

// New returns an idle journal.
func New(config Config) *Journal {
	config = config.withDefaults()
	return &Journal{config: config, pacer: appendPacer{interval: config.AppendInterval}}
}

// Phase returns what the journal is doing.
func (j *Journal) Phase() Phase { return j.phase }

// Epoch returns the node's claim while it is at least claiming.
func (j *Journal) Epoch() spool.Epoch { return j.epoch }

// Owner returns the owner that the stream names as far as it has been followed;
// ok is false when there is none.
func (j *Journal) Owner() (node spool.NodeID, epoch spool.Epoch, ok bool) {
	if j.fold == nil || j.fold.state.Released || j.fold.state.Epoch == 0 {
		return "", 0, false
	}
	return j.fold.state.Owner, j.fold.state.Epoch, true
}

// Serving reports whether submissions are taken.
func (j *Journal) Serving() bool { return j.phase == PhaseServing }

// Confirmed returns the instant up to which provably no other node serves the
// stream: the start of the last read that showed no newer claim, or the end of
// the holders' promises.
func (j *Journal) Confirmed() (clock.Millis, bool) {
	return max(j.confirmedAt, j.leaseUntil), j.phase >= PhaseServing
}

// Stats returns the counters.
func (j *Journal) Stats() Stats {
	stats := j.stats
	stats.Backlog = j.backlogBytes
	if j.fold != nil {
		stats.Void, stats.Repeats = j.fold.Void(), j.fold.Repeats()
	}
	return stats
}

// Pending returns the units that holders may have and that are not known to be on
// the stream.
func (j *Journal) Pending() []Unit { return j.replicableUnits() }

// LogDown reports whether the last contact with the log failed.
func (j *Journal) LogDown() bool { return j.logDown }

// Submit takes records that are to be applied together. The answer may come at
// once. With needsLog the submission counts as durable only when it is on the
// stream; otherwise a holder in another failure domain is enough.
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

// drainTime estimates how long the backlog takes at the append interval.
func (j *Journal) drainTime() clock.Millis {
	return j.config.RetryAfter + clock.Millis(j.backlogBytes/j.config.BatchBytes)*j.config.AppendInterval
}

// Cancel withdraws a submission whose caller no longer waits. The answer says
// truthfully whether the records can still reach the stream.
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

// number gives a submission its place in the order.
func (j *Journal) assignSequence(sub *submission) {
	j.lastSequence++
	sub.unit.Sequence = j.lastSequence
	sub.unit.Batch.ID = UnitID(j.config.Node, j.epoch, j.lastSequence)
	j.unitQueue = append(j.unitQueue, sub)
}

// Tick lets time pass: it retries, sends to holders and appends what is due.
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

// advance passes units to the user, in order, as far as they are durable.
func (j *Journal) applyReplicated() {
	replicated := j.replicatedSequence()
	for _, sub := range j.unitsAfter(j.appliedSequence) {
		if !sub.replicable || sub.unit.Sequence > replicated {
			return
		}
		j.applyUnit(sub.unit)
		if !sub.needsLog {
			j.stats.HeldAcks++
			j.answer(sub, nil)
		}
	}
}

// after returns the units above a sequence.
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

// batch returns a batch of this node's epoch with a unique identifier.
func (j *Journal) newBatch(now clock.Millis, records []spool.Record) spool.Batch {
	j.batchCounter++
	return spool.Batch{
		ID:     fmt.Sprintf("%s/%d-%d-%d", j.config.Node, j.epoch, now, j.batchCounter),
		Writer: j.config.Node, Epoch: j.epoch, At: now, Records: records,
	}
}
