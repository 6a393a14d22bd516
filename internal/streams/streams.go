// Package streams drives the journals, holders and membership of one entry with
// the platform's log, the VM list and connections to the other entries.
package streams

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/journal"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Config describes the entry. New replaces zero values of the numbers by
// defaults.
type Config struct {
	// Node, Address, FailureDomain and Region describe this entry as the VM list
	// does.
	Node          spool.NodeID
	Address       string
	FailureDomain spool.FailureDomain
	Region        spool.Region
	// StreamCount is the number of program streams of the whole system.
	StreamCount int
	// AppendsPerSecond bounds the appends of the whole system; each stream gets
	// an equal share.
	AppendsPerSecond int
	// BatchBytes bounds one append, BacklogBytes what a stream has not yet on the
	// log, HolderBytes the copies held for other owners.
	BatchBytes   int
	BacklogBytes int
	HolderBytes  int
	// Holders is the number of copies of what is not yet on the log.
	Holders int
	// Retention is how long the log keeps records.
	Retention clock.Millis
	// PollWait is the long poll at the tail of a stream.
	PollWait clock.Millis
	// LogTimeout and PeerTimeout bound one request.
	LogTimeout  clock.Millis
	PeerTimeout clock.Millis
	// TickEvery is how often the state machines are given the time.
	TickEvery clock.Millis
	// ListEvery is the least time between the reads of two VM lists that are
	// taken in, so that lists in a row are not two copies of the same read.
	ListEvery clock.Millis
	// HeartbeatEvery and DeadAfter pace the heartbeats and the verdict on a
	// silent member; Fanout is the number of members that get heartbeats.
	HeartbeatEvery clock.Millis
	DeadAfter      clock.Millis
	Fanout         int
	// HandoverEvery is the least time between two handovers that this entry asks
	// for or grants.
	HandoverEvery clock.Millis
	// SettleAfter is how long this entry must rank first for a stream before it
	// asks the owner for it.
	SettleAfter clock.Millis
	// LeaveAfter is how long Leave waits for the next owner of a stream to ask for
	// it before it releases the stream anyway.
	LeaveAfter clock.Millis
	// PromiseFor is the time for which holders promise to leave the seal of a new
	// owner unanswered while the log is down. It must be the same at all entries.
	PromiseFor clock.Millis
}

// Applier is the user of the streams. The methods for one stream are called on
// one goroutine, in order.
type Applier interface {
	// Reset drops all state of the stream; it is about to be read again.
	Reset(stream spool.Stream, epoch spool.Epoch)
	// Apply takes the next valid batch, or the records of a snapshot. The batch
	// has no offset while it is held but not yet on the log. It is called before
	// Submit returns for the same batch.
	Apply(stream spool.Stream, batch spool.Batch)
	// Serving tells that submissions are taken from now on.
	Serving(stream spool.Stream, epoch spool.Epoch)
	// Lost tells that this entry no longer serves the stream.
	Lost(stream spool.Stream)
	// Snapshot returns the compact state after every batch applied so far.
	Snapshot(stream spool.Stream) []spool.Record
}

// Caller sends one request to another process; *wire.Clients is one.
type Caller interface {
	Call(ctx context.Context, address, method string, request, result any, onChunk func(json.RawMessage) error) error
}

// Lists is where the manager takes the VM list from.
type Lists interface {
	// Latest returns the rows in order of their ID, which are not changed, and the
	// instant at which they were read; 0 before there is a list.
	Latest() (rows []spool.VM, readAt clock.Millis)
}

// Option gives a part that the manager works with.
type Option func(*Manager)

// WithLog gives the platform's log. It is required.
func WithLog(log spool.Log) Option { return func(m *Manager) { m.log = log } }

// WithLists gives the VM list. It is required.
func WithLists(lists Lists) Option { return func(m *Manager) { m.vmLists = lists } }

// WithCaller gives the connections to other entries. It is required.
func WithCaller(caller Caller) Option { return func(m *Manager) { m.caller = caller } }

// WithApplier gives the user of the streams.
func WithApplier(applier Applier) Option { return func(m *Manager) { m.applier = applier } }

// WithClock replaces the system clock.
func WithClock(c clock.Clock) Option { return func(m *Manager) { m.clock = c } }

// WithTelemetry gives the counters and the logger.
func WithTelemetry(t *telemetry.Telemetry) Option { return func(m *Manager) { m.telemetry = t } }

// WithHandover asks what this entry leaves to the next owner of a stream that it
// is about to release. The function must have stopped using what it returns.
func WithHandover(handover func(stream spool.Stream, epoch spool.Epoch) json.RawMessage) Option {
	return func(m *Manager) { m.handover = handover }
}

// WithControlOffset gives the offset of the control stream that this entry has
// applied; heartbeats carry it.
func WithControlOffset(controlOffset func() spool.Offset) Option {
	return func(m *Manager) { m.controlOffset = controlOffset }
}

// Manager owns the streams of one entry. It is safe for concurrent use.
type Manager struct {
	config        Config
	log           spool.Log
	vmLists         Lists
	caller        Caller
	applier       Applier
	clock         clock.Clock
	telemetry     *telemetry.Telemetry
	controlOffset func() spool.Offset
	handover      func(spool.Stream, spool.Epoch) json.RawMessage

	ctx     context.Context
	cancel  context.CancelFunc
	events  chan event
	logPool pond.Pool
	peerPool   pond.Pool
	wg sync.WaitGroup

	// control is owned by the control goroutine.
	controller *controller
	tickets atomic.Uint64

	mu sync.RWMutex
	// served holds the streams that submissions are taken for.
	served map[spool.Stream]spool.Epoch
	// inherited is what the previous owners of served streams have left.
	handoverData map[spool.Stream]json.RawMessage
	// losses counts the losses of each stream, so that a late Serving is ignored.
	losses map[spool.Stream]int
	published   publishedState
}

// view is what the control goroutine publishes for readers.
type publishedState struct {
	members   []spool.VM
	endpoints []spool.VM
	owners    map[spool.Stream]spool.NodeID
	addresses map[spool.NodeID]string
	confirmed map[spool.Stream]clock.Millis
	stats     Stats
}

// Stats counts what the manager has done.
type Stats struct {
	// Appends and Bytes count what was sent to the log, Units the submissions
	// that are on it, HeldAcks those acknowledged by holders before.
	Appends  int `json:"appends"`
	Bytes    int `json:"bytes"`
	Units    int `json:"units"`
	HeldAcks int `json:"heldAcks"`
	// Claims and Lost count ownership changes.
	Claims int `json:"claims"`
	Lost   int `json:"lost"`
	// Owned is the number of streams served, Backlog the bytes not yet on the log.
	Owned   int `json:"owned"`
	Backlog int `json:"backlogBytes"`
	// Held and HeldBytes count the copies kept for other owners.
	Held      int `json:"held"`
	HeldBytes int `json:"heldBytes"`
	// Void and Repeats count invalid batches and duplicate units, NoState
	// streams whose snapshot was missing.
	Void    int `json:"void"`
	Repeats int `json:"repeats"`
	NoState int `json:"noState"`
	// Messages counts requests to other entries.
	Messages int `json:"messages"`
}

func (s *Stats) add(j journal.Stats) {
	s.Appends += j.Appends
	s.Bytes += j.Bytes
	s.Units += j.Units
	s.HeldAcks += j.HeldAcks
	s.Claims += j.Claims
	s.Lost += j.Lost
	s.Backlog += j.Backlog
	s.Void += j.Void
	s.Repeats += j.Repeats
	s.NoState += j.NoState
}

// New starts a manager. It begins to claim streams as soon as there is a VM list.
func New(config Config, options ...Option) (m *Manager, err error) {
	defer func() { err = errors.Wrap(err, "start streams") }()
	m = &Manager{
		config: config.withDefaults(), clock: clock.System(), applier: noApplier{},
		controlOffset: func() spool.Offset { return 0 },
		events:        make(chan event, eventQueueSize),
		handover:      func(spool.Stream, spool.Epoch) json.RawMessage { return nil },
		handoverData:     map[spool.Stream]json.RawMessage{},
		served:        map[spool.Stream]spool.Epoch{}, losses: map[spool.Stream]int{},
	}
	for _, option := range options {
		option(m)
	}
	if err := m.validateConfig(); err != nil {
		return nil, err
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	// One append and one read of each stream.
	m.logPool = pond.NewPool(2 * m.config.StreamCount)
	m.peerPool = pond.NewPool(maxPeerRequests)
	m.controller = newController(m)
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		ticker := time.NewTicker(m.config.TickEvery.Duration())
		defer ticker.Stop()
		for {
			select {
			case <-m.ctx.Done():
				m.controller.dropSubmissions()
				return
			case e := <-m.events:
				e.handle(m.controller, m.clock.Now())
			case <-ticker.C:
				m.controller.tick(m.clock.Now())
			}
		}
	}()
	return m, nil
}

func (m *Manager) validateConfig() error {
	switch {
	case m.log == nil || m.vmLists == nil || m.caller == nil:
		return errors.New("log, VM list and caller are required")
	case m.config.Node == "":
		return errors.New("node is empty")
	case m.config.StreamCount < 1:
		return errors.New("stream count must be at least 1")
	}
	return nil
}

// Close stops the manager at once, as a crash would. Leave is the graceful way.
func (m *Manager) Close() {
	m.cancel()
	m.wg.Wait()
	m.logPool.StopAndWait()
	m.peerPool.StopAndWait()
}

// Epoch returns this entry's claim on a stream while it serves it.
func (m *Manager) Epoch(stream spool.Stream) (spool.Epoch, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	epoch, ok := m.served[stream]
	return epoch, ok
}

// Inherited returns what the previous owner left when it released a stream that
// this entry serves with epoch; nil when it left nothing.
func (m *Manager) Inherited(stream spool.Stream, epoch spool.Epoch) json.RawMessage {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.served[stream] != epoch {
		return nil
	}
	return m.handoverData[stream]
}

// OwnerOf returns the owner of a stream to the best of this entry's knowledge.
// The address is empty when the owner cannot be reached from here.
func (m *Manager) OwnerOf(stream spool.Stream) (node spool.NodeID, address string, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if _, served := m.served[stream]; served {
		return m.config.Node, m.config.Address, true
	}
	node, ok = m.published.owners[stream]
	return node, m.published.addresses[node], ok
}

// Members returns the entries that are believed to live, sorted by ID.
func (m *Manager) Members() []spool.VM {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return append([]spool.VM(nil), m.published.members...)
}

// Endpoints returns the endpoints of a service that are live and not leaving,
// sorted by ID.
func (m *Manager) Endpoints(service spool.ServiceName) (endpoints []spool.VM) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, vm := range m.published.endpoints {
		if vm.Service == service {
			endpoints = append(endpoints, vm)
		}
	}
	return endpoints
}

// Confirmed returns the instant, on this entry's clock, until which no other
// entry can serve the stream: the start of the last read of its tail that showed
// no newer claim, or the end of the promises that all its holders have given.
func (m *Manager) Confirmed(stream spool.Stream) (until clock.Millis, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if _, served := m.served[stream]; !served {
		return 0, false
	}
	until, ok = m.published.confirmed[stream]
	return until, ok
}

// Stats returns the counters of the last tick.
func (m *Manager) Stats() Stats {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.published.stats
}

// Submit returns when records are durable: on the log, or with needsLog false
// also when a holder in another failure domain has them. It fails with a
// *spool.Refusal whose NotRun is "true" only when the records are not on the
// stream and never will be.
func (m *Manager) Submit(ctx context.Context, stream spool.Stream, records []spool.Record, needsLog bool) error {
	submission := &submission{
		ticket: journal.Ticket(m.tickets.Add(1)), stream: stream, records: records, needsLog: needsLog,
		done: make(chan *spool.Refusal, 1),
	}
	stopped := spool.Refuse(spool.CodeShuttingDown, "entry %s is shutting down", m.config.Node)
	select {
	case m.events <- submission:
	case <-ctx.Done():
		return spool.Refuse(spool.CodeDeadlineExceeded, "submission waited too long: %v", ctx.Err())
	case <-m.ctx.Done():
		return stopped
	}
	select {
	case refusal := <-submission.done:
		return asError(refusal)
	case <-m.ctx.Done():
		return stopped.WithNotRun(spool.NotRunUnknown)
	case <-ctx.Done():
	}
	m.send(cancellation{submission})
	select {
	case refusal := <-submission.done:
		return asError(refusal)
	case <-m.ctx.Done():
		return stopped.WithNotRun(spool.NotRunUnknown)
	}
}

// asError avoids a non-nil error that holds a nil refusal.
func asError(refusal *spool.Refusal) error {
	if refusal == nil {
		return nil
	}
	return refusal
}

// Leave hands every stream over after what was submitted is on the log, and
// claims none any more. It returns early when ctx ends.
func (m *Manager) Leave(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "leave") }()
	done := make(chan struct{})
	if !m.send(leaveRequest{done}) {
		return errors.New("manager is closed")
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-m.ctx.Done():
		return errors.New("manager is closed")
	}
}

// send passes an event to the control goroutine.
func (m *Manager) send(e event) bool {
	select {
	case m.events <- e:
		return true
	case <-m.ctx.Done():
		return false
	}
}

// streamIndex returns the number of a program stream, or false.
func (c Config) streamIndex(stream spool.Stream) (int, bool) {
	const prefix = "programs-"
	if len(stream) <= len(prefix) || stream[:len(prefix)] != prefix {
		return 0, false
	}
	i, err := strconv.Atoi(string(stream[len(prefix):]))
	return i, err == nil && i >= 0 && i < c.StreamCount && stream == spool.ProgramStream(i)
}

// noApplier ignores everything.
type noApplier struct{}

func (noApplier) Reset(spool.Stream, spool.Epoch)      {}
func (noApplier) Apply(spool.Stream, spool.Batch)      {}
func (noApplier) Serving(spool.Stream, spool.Epoch)    {}
func (noApplier) Lost(spool.Stream)                    {}
func (noApplier) Snapshot(spool.Stream) []spool.Record { return nil }
