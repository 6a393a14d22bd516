// Package gatekeeper decides what the agent in front of one endpoint does: which
// calls it admits, when they start, which dispatches it refuses so that an
// action runs at most once, and which engine memory it releases. It is
// deterministic: typed messages in, commands out, time passed in.
package gatekeeper

import (
	"container/heap"
	"strconv"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// tokenTimeWeight is the weight of the newest call in the moving average of the
// time between tokens.
const tokenTimeWeight = 0.1

// Kernel is the state of one agent. It is not safe for concurrent use.
type Kernel struct {
	config Config
	queue  spool.Queue
	gate   spool.Gate
	pause  spool.PausePolicy
	boot   string

	now      clock.Millis
	commands []Command
	last     Ticket

	// epochs holds the highest epoch seen of each stream.
	epochs map[spool.Stream]spool.Epoch
	// calls holds the waiting and the running calls.
	calls map[Ticket]*call
	// waiting maps the queue's identifier of each waiting call to it.
	waiting map[string]*call
	// deadlines holds calls with a deadline; ended ones are skipped when due.
	deadlines deadlines
	running   int
	// backlog estimates how long calls wait.
	backlog Backlog
	// perToken is the moving average of the time between tokens; 0 before the
	// first answer.
	perToken float64

	records  records
	programs map[spool.ProgramID]*program
	// historyBytes is the size of all cached histories.
	historyBytes int
	engine       engineView
	exports      map[string]*export
	// nextExport numbers the exports of this start of the agent.
	nextExport uint64
	// sweepAt is when lapsed leases are looked for next.
	sweepAt clock.Millis

	draining   bool
	drainingAt clock.Millis
	leaving    bool
}

// New returns a kernel. boot must be unique for each start of an agent.
func New(config Config, boot string, queue spool.Queue, gate spool.Gate, pause spool.PausePolicy) *Kernel {
	return &Kernel{
		config:   config,
		queue:    queue,
		gate:     gate,
		pause:    pause,
		exports:  map[string]*export{},
		boot:     boot,
		epochs:   map[spool.Stream]spool.Epoch{},
		calls:    map[Ticket]*call{},
		waiting:  map[string]*call{},
		backlog:  NewBacklog(float64(config.ExpectedCall)),
		records:  newRecords(),
		programs: map[spool.ProgramID]*program{},
	}
}

// Step takes one message in and returns the commands that follow from it. The
// slice is valid until the next Step.
func (k *Kernel) Step(now clock.Millis, message Message) []Command {
	k.now = max(k.now, now)
	k.commands = k.commands[:0]
	k.expireRecords()
	switch m := message.(type) {
	case Arrive:
		k.arrive(m)
	case Cancel:
		k.cancel(m.Ticket, spool.CodeCancelled, "caller has gone away")
	case Finished:
		k.finish(m)
	case Fate:
		k.fate(m)
	case Renew:
		k.renew(m)
	case Report:
		k.report(m.Load)
	case Unreachable:
		k.unreachable()
	case Events:
		k.events(m)
	case Sessions:
		k.sessions(m)
	case Freed:
		k.freed(m)
	case Exported:
		k.exported(m)
	case ExportFreed:
		k.exportFreed(m)
	case Drain:
		k.drain(m.On)
	case Leave:
		k.leaving = true
	case Tick:
		k.sweep()
	}
	k.expire()
	k.schedule()
	return k.commands
}

// Idle reports whether no call waits or runs.
func (k *Kernel) Idle() bool { return len(k.calls) == 0 }

// Status is the kernel's view of its endpoint.
type Status struct {
	Window, Running, Queued int
	// QueuedStarts counts those of the queued calls that begin a program;
	// StartWait is how long one more would wait.
	QueuedStarts   int
	StartWait      clock.Millis
	Cold, Draining bool
	MillisPerCall  float64
	Mark           spool.AgentMark
}

// Status returns the state without the programs held.
func (k *Kernel) Status() Status {
	return Status{
		Window:        k.gate.Window(k.now),
		Running:       k.running,
		Queued:        len(k.waiting),
		QueuedStarts:  k.backlog.Starts(),
		StartWait:     k.expectedWait(spool.CallView{}),
		Cold:          k.gate.Cold(k.now),
		Draining:      k.draining || k.leaving,
		MillisPerCall: k.backlog.MillisPerCall(),
		Mark:          spool.AgentMark{Boot: k.boot, Admitted: uint64(k.last)},
	}
}

// EventsAfter is the sequence number of the last cache event taken in.
func (k *Kernel) EventsAfter() uint64 { return k.engine.sequence }

func (k *Kernel) emit(command Command) { k.commands = append(k.commands, command) }

func (k *Kernel) refuse(ticket Ticket, refusal *spool.Refusal) {
	k.emit(Reply{Ticket: ticket, Refusal: refusal})
}

func (k *Kernel) drain(on bool) {
	if on && !k.draining {
		k.drainingAt = k.now
	}
	k.draining = on
}

// expire ends calls whose deadline has passed and, in a drain, calls that have
// waited too long to start.
func (k *Kernel) expire() {
	for len(k.deadlines) > 0 && k.deadlines[0].deadline <= k.now {
		due := heap.Pop(&k.deadlines).(*call)
		if k.calls[due.ticket] == due {
			k.cancel(due.ticket, spool.CodeDeadlineExceeded, "deadline of the call has passed")
		}
	}
	k.expireRecords()
	if k.draining && !k.leaving && len(k.waiting) > 0 && k.now-k.drainingAt >= k.config.DrainQueueFor {
		for _, ticket := range k.waitingTickets() {
			k.dequeue(k.calls[ticket], spool.Refuse(spool.CodeDraining, "endpoint is draining"))
		}
	}
}

// raise records the epoch of a stream and reports false when it is old. Waiting
// calls of lower epochs are refused, so that none of them starts.
func (k *Kernel) raise(stream spool.Stream, epoch spool.Epoch) bool {
	highest := k.epochs[stream]
	if epoch <= highest {
		return epoch == highest
	}
	k.epochs[stream] = epoch
	for _, ticket := range k.waitingTickets() {
		c := k.calls[ticket]
		if c.Stream == stream && c.Epoch < epoch {
			k.dequeue(c, fenced("epoch %d of %s is followed by %d", c.Epoch, stream, epoch))
		}
	}
	return true
}

func fenced(format string, args ...any) *spool.Refusal {
	return spool.Refuse(spool.CodeFenced, format, args...)
}

// identifier names a call in the queue and at the engine.
func (k *Kernel) identifier(ticket Ticket) string {
	return k.boot + "-" + strconv.FormatUint(uint64(ticket), 36)
}

// deadlines is a heap of calls by deadline, then ticket.
type deadlines []*call

func (d deadlines) Len() int { return len(d) }
func (d deadlines) Less(i, j int) bool {
	if d[i].deadline != d[j].deadline {
		return d[i].deadline < d[j].deadline
	}
	return d[i].ticket < d[j].ticket
}
func (d deadlines) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deadlines) Push(x any)   { *d = append(*d, x.(*call)) }
func (d *deadlines) Pop() any {
	old := *d
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return last
}
