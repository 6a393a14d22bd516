// Package gatekeeper implements the decisions of the agent in front of one
// endpoint: which calls it admits, when they start, which dispatches it refuses
// so that a non-idempotent call runs at most once, and which engine memory it
// frees. It is a deterministic state machine: it takes typed messages and the
// current time and returns commands.
package gatekeeper

import (
	"container/heap"
	"strconv"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// tokenTimeSampleWeight is the weight of the latest call in the moving average of
// the time between chunks, Kernel.meanTokenTime.
const tokenTimeSampleWeight = 0.1

// Kernel is the state machine of one agent. It is not safe for concurrent use.
type Kernel struct {
	config      Config
	queue       spool.Queue
	gate        spool.Gate
	pause       spool.PausePolicy
	incarnation string

	// now is the latest time passed to Step; commands are the results of the
	// present step.
	now        clock.Millis
	commands   []Command
	lastTicket Ticket

	// highestEpochs holds the highest epoch seen for each stream.
	highestEpochs map[spool.Stream]spool.Epoch
	// calls holds the waiting and running calls.
	calls map[Ticket]*call
	// waiting holds the waiting calls by correlation ID. Each of them is also in
	// queue.
	waiting map[string]*call
	// deadlines holds the calls with a deadline. Calls that have ended stay in
	// the heap and are skipped when their deadline passes.
	deadlines deadlineHeap
	// running counts the running calls.
	running int
	// waitEstimator estimates how long calls wait.
	waitEstimator WaitEstimator
	// meanTokenTime is the moving average of the time between two chunks of an
	// answer in milliseconds; 0 before the first answer of at least two chunks.
	meanTokenTime float64

	records  records
	programs map[spool.ProgramID]*program
	// historyBytes is the total size of all cached histories.
	historyBytes int
	engine       engineState
	// exports holds, by ID, the exports that the engine keeps or may keep.
	exports map[string]*export
	// lastExportNumber is the number of the latest export of this incarnation of
	// the agent.
	lastExportNumber uint64
	// nextSweepAt is the earliest time of the next sweep. A Tick message before it
	// causes none.
	nextSweepAt clock.Millis

	// draining is true during a drain, shuttingDown once Shutdown was received.
	draining bool
	// drainingSince is when the latest drain began.
	drainingSince clock.Millis
	shuttingDown  bool
}

// New returns a kernel without calls. incarnation identifies the agent process and
// must be unique to each start of an agent.
func New(config Config, incarnation string, queue spool.Queue, gate spool.Gate, pause spool.PausePolicy) *Kernel {
	return &Kernel{
		config:        config,
		queue:         queue,
		gate:          gate,
		pause:         pause,
		exports:       map[string]*export{},
		incarnation:   incarnation,
		highestEpochs: map[spool.Stream]spool.Epoch{},
		calls:         map[Ticket]*call{},
		waiting:       map[string]*call{},
		waitEstimator: NewWaitEstimator(float64(config.InitialServiceTime)),
		records:       newRecords(),
		programs:      map[spool.ProgramID]*program{},
	}
}

// Step processes one message and returns the resulting commands. The slice is valid
// until the next call of Step. Time never goes back: if now is earlier than in a
// previous call, Step uses the latest time given so far.
func (k *Kernel) Step(now clock.Millis, message Message) []Command {
	k.now = max(k.now, now)
	k.commands = k.commands[:0]
	k.expireRecords()
	switch m := message.(type) {
	case CallArrived:
		k.handleCallArrived(m)
	case Cancel:
		k.cancel(m.Ticket, spool.CodeCancelled, "caller has gone away")
	case Finished:
		k.handleFinished(m)
	case OutcomeQuery:
		k.handleOutcomeQuery(m)
	case RenewLeases:
		k.handleRenewLeases(m)
	case LoadReport:
		k.handleLoadReport(m.Load)
	case Unreachable:
		k.handleUnreachable()
	case CacheEvents:
		k.handleCacheEvents(m)
	case SessionList:
		k.handleSessionList(m)
	case MemoryFreed:
		k.handleMemoryFreed(m)
	case Exported:
		k.handleExported(m)
	case ExportFreed:
		k.handleExportFreed(m)
	case Drain:
		k.setDraining(m.On)
	case Shutdown:
		k.shuttingDown = true
	case Tick:
		k.sweep()
	}
	k.expireCalls()
	k.schedule()
	return k.commands
}

// Idle reports whether no call is waiting or running.
func (k *Kernel) Idle() bool { return len(k.calls) == 0 }

// Status is a snapshot of the kernel's view of its endpoint.
type Status struct {
	// Window is the number of calls that may run at the same time. Running and
	// Queued count the running and the waiting calls.
	Window, Running, Queued int
	// QueuedFirstCalls counts the waiting first calls of programs. FirstCallWait is
	// the expected wait of a first call that arrives now.
	QueuedFirstCalls int
	FirstCallWait    clock.Millis
	// Cold is true while the gate treats the engine as cold. Draining is true
	// during a drain and after Shutdown.
	Cold, Draining bool
	// MillisPerCall is the mean service time of calls in milliseconds.
	MillisPerCall float64
	// Mark identifies this incarnation of the agent and the highest ticket
	// received.
	Mark spool.AgentMark
}

// Status returns the present view of the endpoint.
func (k *Kernel) Status() Status {
	return Status{
		Window:           k.gate.Window(k.now),
		Running:          k.running,
		Queued:           len(k.waiting),
		QueuedFirstCalls: k.waitEstimator.FirstCalls(),
		FirstCallWait:    k.expectedWait(spool.CallView{}),
		Cold:             k.gate.Cold(k.now),
		Draining:         k.draining || k.shuttingDown,
		MillisPerCall:    k.waitEstimator.MillisPerCall(),
		Mark:             spool.AgentMark{Boot: k.incarnation, Admitted: uint64(k.lastTicket)},
	}
}

// LastCacheEventSequence returns the sequence number of the last cache event
// processed. It returns 0 if the kernel has processed none since its start or since
// a load report last showed a restart of the engine.
func (k *Kernel) LastCacheEventSequence() uint64 { return k.engine.lastCacheEventSequence }

func (k *Kernel) emit(command Command) { k.commands = append(k.commands, command) }

func (k *Kernel) refuse(ticket Ticket, refusal *spool.Refusal) {
	k.emit(Reply{Ticket: ticket, Refusal: refusal})
}

func (k *Kernel) setDraining(on bool) {
	if on && !k.draining {
		k.drainingSince = k.now
	}
	k.draining = on
}

// expireCalls cancels calls whose deadline has passed, drops expired records and
// refuses all waiting calls once a drain has lasted for Config.DrainGracePeriod.
// After Shutdown, it refuses no waiting call because of a drain.
func (k *Kernel) expireCalls() {
	for len(k.deadlines) > 0 && k.deadlines[0].deadline <= k.now {
		due := heap.Pop(&k.deadlines).(*call)
		if k.calls[due.ticket] == due {
			k.cancel(due.ticket, spool.CodeDeadlineExceeded, "deadline of the call has passed")
		}
	}
	k.expireRecords()
	if k.draining && !k.shuttingDown && len(k.waiting) > 0 && k.now-k.drainingSince >= k.config.DrainGracePeriod {
		for _, ticket := range k.waitingTickets() {
			k.refuseWaiting(k.calls[ticket], spool.Refuse(spool.CodeDraining, "endpoint is draining"))
		}
	}
}

// raiseEpoch returns false if epoch is below the highest epoch seen for the stream.
// If epoch is above it, raiseEpoch stores the new highest epoch and refuses the
// waiting calls of the stream with lower epochs, so that none of them starts.
func (k *Kernel) raiseEpoch(stream spool.Stream, epoch spool.Epoch) bool {
	highest := k.highestEpochs[stream]
	if epoch <= highest {
		return epoch == highest
	}
	k.highestEpochs[stream] = epoch
	for _, ticket := range k.waitingTickets() {
		c := k.calls[ticket]
		if c.Stream == stream && c.Epoch < epoch {
			k.refuseWaiting(c, fencedRefusal("epoch %d of %s is followed by %d", c.Epoch, stream, epoch))
		}
	}
	return true
}

func fencedRefusal(format string, args ...any) *spool.Refusal {
	return spool.Refuse(spool.CodeFenced, format, args...)
}

// correlationID returns the ID of a call in the queue and at the engine.
func (k *Kernel) correlationID(ticket Ticket) string {
	return k.incarnation + "-" + strconv.FormatUint(uint64(ticket), 36)
}

// deadlineHeap is a heap of calls ordered by deadline, then by ticket.
type deadlineHeap []*call

func (d deadlineHeap) Len() int { return len(d) }
func (d deadlineHeap) Less(i, j int) bool {
	if d[i].deadline != d[j].deadline {
		return d[i].deadline < d[j].deadline
	}
	return d[i].ticket < d[j].ticket
}
func (d deadlineHeap) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deadlineHeap) Push(x any)   { *d = append(*d, x.(*call)) }
func (d *deadlineHeap) Pop() any {
	old := *d
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return last
}
