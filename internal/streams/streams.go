// Package streams manages the program streams at one entry. It runs the state machines
// of the packages journal and membership, and executes their commands on the platform's
// log and at the other entries. A Manager claims, serves and releases the streams.
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

// Config describes an entry. New replaces each number and duration that is 0, except
// StreamCount, by its default.
type Config struct {
	// Node, Address, FailureDomain and Region are the values of this entry in the VM
	// list.
	Node          spool.NodeID
	Address       string
	FailureDomain spool.FailureDomain
	Region        spool.Region
	// StreamCount is the number of program streams of the whole system, at least 1.
	StreamCount int
	// AppendsPerSecond bounds the appends per second to the program streams of the
	// whole system; each stream gets an equal share.
	AppendsPerSecond int
	// These are limits in bytes: BatchBytes for one append, BacklogBytes for the units
	// of one stream that are not yet on the log, and ReplicaBytes for all copies that
	// this entry stores as a replica.
	BatchBytes   int
	BacklogBytes int
	ReplicaBytes int
	// ReplicaCount is the number of replicas of a stream: other entries that store
	// copies of the units that are not yet on the log.
	ReplicaCount int
	// Retention is the time for which the log keeps records.
	Retention clock.Millis
	// PollWait bounds the wait of one long poll at the end of a stream.
	PollWait clock.Millis
	// LogTimeout is the timeout of one request to the log; for a long poll its wait is
	// added. PeerTimeout is the timeout of one request to another entry.
	LogTimeout  clock.Millis
	PeerTimeout clock.Millis
	// TickEvery is the interval at which the current time is passed to the state
	// machines.
	TickEvery clock.Millis
	// ListEvery is the minimum time between the reads of two VM lists that are
	// handled, so that consecutive lists are not copies of the same read.
	ListEvery clock.Millis
	// HeartbeatEvery is the interval between two heartbeats to the same entry. Fanout
	// is the number of entries that get heartbeats whatever their rank for streams.
	// SuspectAfter is the time without an answer to heartbeats after which an entry is
	// suspected to have failed.
	HeartbeatEvery clock.Millis
	SuspectAfter   clock.Millis
	Fanout         int
	// HandoverEvery is the minimum time between two handovers that this entry
	// requests, and between two handovers that it grants.
	HandoverEvery clock.Millis
	// SettleAfter is the time for which this entry must rank first for a stream
	// before it requests the stream from its owner.
	SettleAfter clock.Millis
	// LeaveAfter is the time for which ReleaseAll waits for the next owner of a stream
	// to request the stream. After that it releases the stream without a request.
	LeaveAfter clock.Millis
	// LeaseDuration is the duration of the leases that replicas grant to the owner of a
	// stream while the log is unavailable. During a lease, a replica answers no fence
	// request of a new owner. The value must be the same at all entries, because an
	// entry refuses to grant a longer lease than its own value.
	LeaseDuration clock.Millis
}

// Applier maintains the state that results from the records on the streams. The calls
// for one stream are made in order on one goroutine, those for different streams
// concurrently.
type Applier interface {
	// Reset drops the state of the stream, because the stream is about to be read from
	// the first batch that the log has. epoch is always 0.
	Reset(stream spool.Stream, epoch spool.Epoch)
	// Apply applies the next unit, which is one submission, or the records of a
	// snapshot. The offset of the batch is 0 for a snapshot and for a unit that is not
	// yet on the log. If Submit succeeds, Apply has returned for its records before.
	Apply(stream spool.Stream, batch spool.Batch)
	// StreamServing reports that this entry has begun to serve the stream with the
	// given epoch. All earlier units of the stream have been applied. Epoch and OwnerOf
	// report this entry as the owner only after StreamServing has returned.
	StreamServing(stream spool.Stream, epoch spool.Epoch)
	// StreamLost reports that this entry no longer serves the stream, or no longer
	// follows a stream that it has not served.
	StreamLost(stream spool.Stream)
	// Snapshot returns records from which Apply can restore the state of the stream
	// after all previous calls of Apply.
	Snapshot(stream spool.Stream) []spool.Record
}

// Caller sends a request to the process at an address and decodes the reply into
// result. *wire.Clients implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, request, result any, onChunk func(json.RawMessage) error) error
}

// VMLists provides the VM list.
type VMLists interface {
	// Latest returns the rows of the latest list, ordered by ID, and the time at which
	// the list was read. The time is 0 if no list was read yet. Neither the caller nor
	// the implementation may change the rows afterwards.
	Latest() (rows []spool.VM, readAt clock.Millis)
}

// Option configures a Manager.
type Option func(*Manager)

// WithLog sets the platform's log. This option is required.
func WithLog(log spool.Log) Option { return func(m *Manager) { m.log = log } }

// WithVMLists sets the source of the VM list. This option is required.
func WithVMLists(lists VMLists) Option { return func(m *Manager) { m.vmLists = lists } }

// WithCaller sets the connections to other entries. This option is required.
func WithCaller(caller Caller) Option { return func(m *Manager) { m.caller = caller } }

// WithApplier sets the Applier. By default, an Applier is used that ignores all calls.
func WithApplier(applier Applier) Option { return func(m *Manager) { m.applier = applier } }

// WithClock replaces the system clock.
func WithClock(c clock.Clock) Option { return func(m *Manager) { m.clock = c } }

// WithTelemetry sets the destination of event counters.
func WithTelemetry(t *telemetry.Telemetry) Option { return func(m *Manager) { m.telemetry = t } }

// WithHandover sets a function that returns the data to pass to the next owner of a
// stream that this entry is about to release. Before the function returns, this entry
// must have stopped using the resources that the data hands over. By default, no data is
// passed.
func WithHandover(handover func(stream spool.Stream, epoch spool.Epoch) json.RawMessage) Option {
	return func(m *Manager) { m.handover = handover }
}

// WithControlOffset sets a function that returns the offset of this entry's control
// state. Heartbeats report this offset; by default they report 0.
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
	// served holds the streams that this entry serves, with the epochs of its claims.
	served map[spool.Stream]spool.Epoch
	// handoverData holds, for each served stream, the data that the previous owner
	// passed on.
	handoverData map[spool.Stream]json.RawMessage
	// losses holds the number of losses of each stream. If it changes between the
	// queueing and the run of a StreamServing call, the stream is not added to served.
	losses    map[spool.Stream]int
	published publishedState
}

// publishedState is a copy of parts of the controller's state, for the methods of
// Manager that run on other goroutines.
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
	// Appends is the number of appends that were started, and Bytes the estimated size
	// of their records. Units is the number of submissions that were read back from the
	// log, and ReplicaAcks the number of those that succeeded before that because a
	// replica had stored them.
	Appends     int `json:"appends"`
	Bytes       int `json:"bytes"`
	Units       int `json:"units"`
	ReplicaAcks int `json:"heldAcks"`
	// Claims is the number of successful claims of this entry, and Lost the number of
	// times that it gave up a stream because another entry had claimed the stream.
	Claims int `json:"claims"`
	Lost   int `json:"lost"`
	// Owned is the number of streams that this entry serves, and Backlog the size in
	// bytes of the submissions that were not yet read back from the log.
	Owned   int `json:"owned"`
	Backlog int `json:"backlogBytes"`
	// ReplicaUnits and ReplicaBytes are the number and size of the units that this
	// entry stores as a replica.
	ReplicaUnits int `json:"held"`
	ReplicaBytes int `json:"heldBytes"`
	// Invalid is the number of invalid batches and records that were read from the
	// streams, and Duplicates the number of repeated units. MissingSnapshots is the
	// number of replays that found neither the start of the stream nor a complete
	// snapshot.
	Invalid          int `json:"void"`
	Duplicates       int `json:"repeats"`
	MissingSnapshots int `json:"noState"`
	// Messages is the number of requests to other entries. It includes requests of
	// this entry to itself, which do not use the network, but not the heartbeats that
	// this entry sends to answer probes.
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

// New returns a running manager, which the caller must close. The manager claims streams
// once VMLists has returned a list.
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
	// Each stream has at most one append and one read in progress, so that no request to
	// the log waits for another one.
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

// Close stops the manager without releasing its streams, like a crash. Call
// ReleaseAll first for a graceful shutdown.
func (m *Manager) Close() {
	m.cancel()
	m.wg.Wait()
	m.logPool.StopAndWait()
	m.peerPool.StopAndWait()
}

// Epoch returns the epoch of the claim with which this entry serves a stream, or false
// if this entry does not serve the stream.
func (m *Manager) Epoch(stream spool.Stream) (spool.Epoch, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	epoch, ok := m.served[stream]
	return epoch, ok
}

// HandoverData returns the data that the previous owner passed on when it released the
// stream, see WithHandover. The result is nil if the previous owner passed no data, or
// if this entry does not serve the stream with the given epoch.
func (m *Manager) HandoverData(stream spool.Stream, epoch spool.Epoch) json.RawMessage {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.served[stream] != epoch {
		return nil
	}
	return m.handoverData[stream]
}

// OwnerOf returns the owner of a stream as far as this entry knows. If no owner is known
// or the known owner has failed, it returns the entry that should claim the stream. ok
// is false if there is none either. The address is empty if the returned entry is
// considered dead or its address is not known.
func (m *Manager) OwnerOf(stream spool.Stream) (node spool.NodeID, address string, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if _, served := m.served[stream]; served {
		return m.config.Node, m.config.Address, true
	}
	node, ok = m.published.owners[stream]
	return node, m.published.addresses[node], ok
}

// LiveMembers returns the entries that the membership view of this entry considers
// live, sorted by ID.
func (m *Manager) LiveMembers() []spool.VM {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return append([]spool.VM(nil), m.published.members...)
}

// Endpoints returns the VMs of the endpoints of a service, sorted by ID. It includes
// only VMs that are live in the last handled VM list, not those that are leaving.
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

// ConfirmedUntil returns the time, on this entry's clock, until which no other entry
// can serve the stream. This is the later of two times: the start of the last read that
// reached the end of the stream and showed no newer claim, and the end of the leases
// that the replicas have granted. ok is false if this entry does not serve the stream.
func (m *Manager) ConfirmedUntil(stream spool.Stream) (until clock.Millis, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if _, served := m.served[stream]; !served {
		return 0, false
	}
	until, ok = m.published.confirmed[stream]
	return until, ok
}

// Stats returns the counters and sizes of this entry. They can be about 50 ms old, see
// publishEvery.
func (m *Manager) Stats() Stats {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.published.stats
}

// Submit appends records to a stream that this entry serves. It returns nil once the
// records are durable and the Applier has applied them. Records are durable when they
// were read back from the log or, if needsLog is false, when a replica in another
// failure domain has stored them. The error is a *spool.Refusal. Its NotRun is "true"
// only if the records are not on the stream and never will be.
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

// ReleaseAll releases each stream once the submissions of the stream are on the log. The
// manager claims no streams after the call. ReleaseAll returns nil when all streams are
// released, and an error if ctx ends or the manager is closed before.
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

// send passes an event to the controller goroutine, and waits while the event queue is
// full. It returns false if the manager is closed.
func (m *Manager) send(e event) bool {
	select {
	case m.events <- e:
		return true
	case <-m.ctx.Done():
		return false
	}
}

// streamIndex returns the index of a program stream from its name, or false if the name
// is not that of one of the StreamCount program streams.
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
