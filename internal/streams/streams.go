// Package streams manages the program streams of one entry. It runs the state machines
// of the packages journal and membership and executes their commands, with the
// platform's log, the VM list and connections to the other entries.
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

// Config describes an entry. New replaces zero numbers by defaults, except
// StreamCount.
type Config struct {
	// Node, Address, FailureDomain and Region are the values of this entry in the VM
	// list.
	Node          spool.NodeID
	Address       string
	FailureDomain spool.FailureDomain
	Region        spool.Region
	// StreamCount is the number of program streams of the whole system, at least 1.
	StreamCount int
	// AppendsPerSecond bounds the appends of the whole system; each stream gets
	// an equal share.
	AppendsPerSecond int
	// BatchBytes bounds one append, BacklogBytes the units of one stream that are
	// not yet on the log, and HolderBytes the copies stored as a replica for other
	// owners.
	BatchBytes   int
	BacklogBytes int
	ReplicaBytes int
	// Holders is the number of replicas of a stream, which store copies of the
	// units that are not yet on the log.
	ReplicaCount int
	// Retention is how long the log keeps records.
	Retention clock.Millis
	// PollWait bounds one long poll at the tail of a stream.
	PollWait clock.Millis
	// LogTimeout bounds one request to the log, in addition to the wait of a long
	// poll. PeerTimeout bounds one request to another entry.
	LogTimeout  clock.Millis
	PeerTimeout clock.Millis
	// TickEvery is the interval at which the current time is passed to the state
	// machines.
	TickEvery clock.Millis
	// ListEvery is the minimum time between the reads of two VM lists that are
	// handled, so that consecutive lists are not copies of the same read.
	ListEvery clock.Millis
	// HeartbeatEvery is the interval between heartbeats to an entry and Fanout the
	// number of entries that get them. DeadAfter is the time without an answer after
	// which an entry is suspected to have failed.
	HeartbeatEvery clock.Millis
	SuspectAfter   clock.Millis
	Fanout         int
	// HandoverEvery is the minimum time between two handovers that this entry
	// requests or grants.
	HandoverEvery clock.Millis
	// SettleAfter is the time for which this entry must rank first for a stream
	// before it requests the stream from its owner.
	SettleAfter clock.Millis
	// LeaveAfter is the time for which Leave waits for the next owner to request a
	// stream. It then releases the stream anyway.
	LeaveAfter clock.Millis
	// PromiseFor is the duration of the leases that replicas grant to the owner of a
	// stream while the log is unavailable. During a lease, a replica answers no fence
	// request of a new owner. The value must be the same at all entries.
	LeaseDuration clock.Millis
}

// Applier maintains the state that is stored on the streams. The calls for one stream
// are made in order, on one goroutine.
type Applier interface {
	// Reset drops the state of the stream, which is about to be read from its start.
	Reset(stream spool.Stream, epoch spool.Epoch)
	// Apply applies the next valid batch, or the records of a snapshot. The offset
	// of the batch is 0 while replicas store it and it is not yet on the log. Apply
	// is called before Submit returns for the same batch.
	Apply(stream spool.Stream, batch spool.Batch)
	// Serving reports that this entry accepts submissions from now on.
	StreamServing(stream spool.Stream, epoch spool.Epoch)
	// Lost reports that this entry no longer serves the stream.
	StreamLost(stream spool.Stream)
	// Snapshot returns records that represent the state after all batches applied so
	// far.
	Snapshot(stream spool.Stream) []spool.Record
}

// Caller sends requests to other processes. *wire.Clients implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, request, result any, onChunk func(json.RawMessage) error) error
}

// Lists provides the VM list.
type VMLists interface {
	// Latest returns the rows ordered by ID and the time at which they were read, 0
	// before there is a list. The rows must not be changed afterwards.
	Latest() (rows []spool.VM, readAt clock.Millis)
}

// Option configures a Manager.
type Option func(*Manager)

// WithLog sets the platform's log. It is required.
func WithLog(log spool.Log) Option { return func(m *Manager) { m.log = log } }

// WithLists sets the source of the VM list. It is required.
func WithVMLists(lists VMLists) Option { return func(m *Manager) { m.vmLists = lists } }

// WithCaller sets the connections to other entries. It is required.
func WithCaller(caller Caller) Option { return func(m *Manager) { m.caller = caller } }

// WithApplier sets the Applier. By default, batches are ignored.
func WithApplier(applier Applier) Option { return func(m *Manager) { m.applier = applier } }

// WithClock replaces the system clock.
func WithClock(c clock.Clock) Option { return func(m *Manager) { m.clock = c } }

// WithTelemetry sets the destination of event counters.
func WithTelemetry(t *telemetry.Telemetry) Option { return func(m *Manager) { m.telemetry = t } }

// WithHandover sets a function that returns the data to pass to the next owner of a
// stream that this entry is about to release. Before it returns, the function must end
// this entry's use of the resources that the data hands over.
func WithHandover(handover func(stream spool.Stream, epoch spool.Epoch) json.RawMessage) Option {
	return func(m *Manager) { m.handover = handover }
}

// WithControlOffset sets a function that returns the offset of the control state of
// this entry, which heartbeats report.
func WithControlOffset(controlOffset func() spool.Offset) Option {
	return func(m *Manager) { m.controlOffset = controlOffset }
}

// Manager claims, serves and releases the streams of one entry. It is safe for
// concurrent use.
type Manager struct {
	config        Config
	log           spool.Log
	vmLists       VMLists
	caller        Caller
	applier       Applier
	clock         clock.Clock
	telemetry     *telemetry.Telemetry
	controlOffset func() spool.Offset
	handover      func(spool.Stream, spool.Epoch) json.RawMessage

	ctx      context.Context
	cancel   context.CancelFunc
	events   chan event
	logPool  pond.Pool
	peerPool pond.Pool
	wg       sync.WaitGroup

	// controller is used by the controller goroutine only.
	controller *controller
	tickets    atomic.Uint64

	mu sync.RWMutex
	// served holds the streams that this entry serves, with its epochs.
	served map[spool.Stream]spool.Epoch
	// handoverData holds the data that the previous owners of served streams have
	// passed on.
	handoverData map[spool.Stream]json.RawMessage
	// losses counts the losses of each stream. A queued Serving call is outdated if
	// the count has changed in the meantime.
	losses    map[spool.Stream]int
	published publishedState
}

// publishedState is a copy of the controller's state for readers on other goroutines.
type publishedState struct {
	members   []spool.VM
	endpoints []spool.VM
	owners    map[spool.Stream]spool.NodeID
	addresses map[spool.NodeID]string
	confirmed map[spool.Stream]clock.Millis
	stats     Stats
}

// Stats holds counters and sizes of a Manager.
type Stats struct {
	// Appends and Bytes count the appends to the log and their bytes. Units counts
	// the submissions that are on the log, and HeldAcks those that were acknowledged
	// by replicas before.
	Appends     int `json:"appends"`
	Bytes       int `json:"bytes"`
	Units       int `json:"units"`
	ReplicaAcks int `json:"heldAcks"`
	// Claims counts the streams that this entry claimed, and Lost those that it gave
	// up because another entry had claimed them.
	Claims int `json:"claims"`
	Lost   int `json:"lost"`
	// Owned is the number of served streams, Backlog the number of bytes that are
	// not yet on the log.
	Owned   int `json:"owned"`
	Backlog int `json:"backlogBytes"`
	// Held and HeldBytes are the number and size of the units stored as a replica
	// for other owners.
	ReplicaUnits int `json:"held"`
	ReplicaBytes int `json:"heldBytes"`
	// Void counts invalid batches and records, Repeats duplicate units, and NoState
	// the replays of a trimmed stream without a complete snapshot.
	Invalid          int `json:"void"`
	Duplicates       int `json:"repeats"`
	MissingSnapshots int `json:"noState"`
	// Messages counts requests to other entries.
	Messages int `json:"messages"`
}

func (s *Stats) add(j journal.Stats) {
	s.Appends += j.Appends
	s.Bytes += j.Bytes
	s.Units += j.Units
	s.ReplicaAcks += j.ReplicaAcks
	s.Claims += j.Claims
	s.Lost += j.Lost
	s.Backlog += j.Backlog
	s.Invalid += j.Invalid
	s.Duplicates += j.Duplicates
	s.MissingSnapshots += j.MissingSnapshots
}

// New returns a running manager. It claims streams once there is a VM list.
func New(config Config, options ...Option) (m *Manager, err error) {
	defer func() { err = errors.Wrap(err, "start streams") }()
	m = &Manager{
		config: config.withDefaults(), clock: clock.System(), applier: noApplier{},
		controlOffset: func() spool.Offset { return 0 },
		events:        make(chan event, eventQueueSize),
		handover:      func(spool.Stream, spool.Epoch) json.RawMessage { return nil },
		handoverData:  map[spool.Stream]json.RawMessage{},
		served:        map[spool.Stream]spool.Epoch{}, losses: map[spool.Stream]int{},
	}
	for _, option := range options {
		option(m)
	}
	if err := m.validateConfig(); err != nil {
		return nil, err
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	// Each stream has at most one append and one read in progress.
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

// Close stops the manager without releasing its streams, like a crash. Call Leave
// first for a graceful shutdown.
func (m *Manager) Close() {
	m.cancel()
	m.wg.Wait()
	m.logPool.StopAndWait()
	m.peerPool.StopAndWait()
}

// Epoch returns the epoch with which this entry serves a stream, or false if it does
// not serve the stream.
func (m *Manager) Epoch(stream spool.Stream) (spool.Epoch, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	epoch, ok := m.served[stream]
	return epoch, ok
}

// Inherited returns the data that the previous owner passed on when it released the
// stream, see WithHandover. It returns nil if there is none or if this entry does not
// serve the stream with the given epoch.
func (m *Manager) HandoverData(stream spool.Stream, epoch spool.Epoch) json.RawMessage {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.served[stream] != epoch {
		return nil
	}
	return m.handoverData[stream]
}

// OwnerOf returns the owner of a stream as far as this entry knows. The address is
// empty if the owner has failed or its address is not known.
func (m *Manager) OwnerOf(stream spool.Stream) (node spool.NodeID, address string, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if _, served := m.served[stream]; served {
		return m.config.Node, m.config.Address, true
	}
	node, ok = m.published.owners[stream]
	return node, m.published.addresses[node], ok
}

// Members returns the entries that are considered alive, sorted by ID.
func (m *Manager) LiveMembers() []spool.VM {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return append([]spool.VM(nil), m.published.members...)
}

// Endpoints returns the endpoints of a service whose VM is live, sorted by ID. VMs that
// are leaving are not included.
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

// Confirmed returns the time, on this entry's clock, until which no other entry can
// serve the stream. It is the start of the last read of the stream's tail that showed
// no newer claim, or the end of the leases that all replicas have granted. ok is false
// if this entry does not serve the stream.
func (m *Manager) ConfirmedUntil(stream spool.Stream) (until clock.Millis, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if _, served := m.served[stream]; !served {
		return 0, false
	}
	until, ok = m.published.confirmed[stream]
	return until, ok
}

// Stats returns the counters as of the last update of the published state.
func (m *Manager) Stats() Stats {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.published.stats
}

// Submit appends records to a stream that this entry serves and returns once they are
// durable: on the log or, if needsLog is false, at a replica in another failure domain.
// Its error is a *spool.Refusal. NotRun of the refusal is "true" only if the records
// are not on the stream and never will be.
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

// asError converts a refusal to an error, and a nil refusal to a nil error.
func asError(refusal *spool.Refusal) error {
	if refusal == nil {
		return nil
	}
	return refusal
}

// Leave releases all streams after their submissions are on the log, and claims none
// from then on. It returns once all streams are released, or with an error if ctx ends
// before.
func (m *Manager) ReleaseAll(ctx context.Context) (err error) {
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

// send passes an event to the controller goroutine. It returns false if the manager is
// closed.
func (m *Manager) send(e event) bool {
	select {
	case m.events <- e:
		return true
	case <-m.ctx.Done():
		return false
	}
}

// streamIndex returns the index of a program stream, or false if there is no such
// stream.
func (c Config) streamIndex(stream spool.Stream) (int, bool) {
	const prefix = "programs-"
	if len(stream) <= len(prefix) || stream[:len(prefix)] != prefix {
		return 0, false
	}
	i, err := strconv.Atoi(string(stream[len(prefix):]))
	return i, err == nil && i >= 0 && i < c.StreamCount && stream == spool.ProgramStream(i)
}

// noApplier is the default Applier, which ignores all calls.
type noApplier struct{}

func (noApplier) Reset(spool.Stream, spool.Epoch)         {}
func (noApplier) Apply(spool.Stream, spool.Batch)         {}
func (noApplier) StreamServing(spool.Stream, spool.Epoch) {}
func (noApplier) StreamLost(spool.Stream)                 {}
func (noApplier) Snapshot(spool.Stream) []spool.Record    { return nil }
