package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	defaultPollWait  = 1 * clock.Second
	defaultRetention = 1 * clock.Hour
	// replyTimeoutMargin is added to the wait of a long poll to get the timeout of
	// the request.
	replyTimeoutMargin = 1 * clock.Second
	// idlePoll is the interval at which readLog and pullFromPeers, while they are not
	// needed, check whether they are.
	idlePoll clock.Millis = 200
)

// Config describes a node and how it follows the control stream.
type Config struct {
	// Node is the ID of this process; it must not be empty. Role, FailureDomain and
	// Region are those of its VM.
	Node          spool.NodeID
	Role          spool.Role
	FailureDomain spool.FailureDomain
	Region        spool.Region
	// PollWait bounds the wait of one long poll at the log or at a peer. 0 means 1 s.
	PollWait clock.Millis
	// LogReaders is the number of entries of each failure domain that read the log.
	// The other entries pull from peers, and read the log only while their state is
	// stale. 0 means that all entries read the log.
	LogReaders int
	// Retention is the time for which the log keeps records. 0 means 1 h. The node
	// that appends the snapshots does so at least once in half of this time.
	Retention clock.Millis
	// RelayBytes bounds the memory for the recent batches that this node keeps to
	// answer pull requests. 0 means 1 MiB.
	RelayBytes int
}

// Option configures a Reader.
type Option func(*Reader)

// WithLog lets the node read the log, and append snapshots to it if
// SetAppendsSnapshots is set.
func WithLog(log spool.Log) Option { return func(r *Reader) { r.log = log } }

// WithPeers sets the function that returns the current VM list, from which the node
// selects the entry to pull from. Without it the node does not pull from peers.
func WithPeers(peers func() []spool.VM) Option { return func(r *Reader) { r.peers = peers } }

// WithClients sets the connections to other nodes. Without them the node does not
// pull from peers.
func WithClients(clients *wire.Clients) Option { return func(r *Reader) { r.clients = clients } }

// WithClock replaces the system clock.
func WithClock(source clock.Clock) Option { return func(r *Reader) { r.clock = source } }

// WithTelemetry sets the destination of event counters, gauges and log lines.
func WithTelemetry(t *telemetry.Telemetry) Option { return func(r *Reader) { r.telemetry = t } }

// WithObserver sets a function that is called with each new state, before StateAge and
// Ready take the state into account.
func WithObserver(observe Observer) Option { return func(r *Reader) { r.observe = observe } }

// Reader keeps the control state of one process up to date and answers queries from
// it. It is safe for concurrent use.
type Reader struct {
	config        Config
	log           spool.Log
	peers         func() []spool.VM
	clients       *wire.Clients
	clock         clock.Clock
	telemetry     *telemetry.Telemetry
	processStatus func() any
	observe       Observer
	logger        *zap.Logger
	ctx           context.Context
	cancel        context.CancelFunc
	wg            sync.WaitGroup

	mu   sync.RWMutex
	node *Node
	// changed is closed and replaced each time the offset of the state increases.
	changed chan struct{}
	// appendsSnapshots is set by SetAppendsSnapshots.
	appendsSnapshots bool

	randomMu sync.Mutex
	random   *rand.Rand

	// snapshotMu guards the cached snapshot for peers. cachedSnapshot is the
	// compressed state at cachedSnapshotOffset, encoded as a JSON string (base64); nil
	// before the first request for a snapshot.
	snapshotMu           sync.Mutex
	cachedSnapshotOffset spool.Offset
	cachedSnapshot       []byte
}

// NewReader returns a reader that follows the control stream until it is closed. It
// requires a log, or both peers and clients. A node with all of them pulls from peers
// while Node.NeedsPeers is true.
func NewReader(config Config, options ...Option) (reader *Reader, err error) {
	defer func() { err = errors.Wrapf(err, "start control reader of node %q", config.Node) }()
	if config.Node == "" {
		return nil, errors.New("node is empty")
	}
	seed := xxhash.Sum64String(string(config.Node))
	r := &Reader{
		changed: make(chan struct{}), clock: clock.System(), logger: zap.NewNop(),
		random: rand.New(rand.NewPCG(seed, seed)),
	}
	for _, option := range options {
		option(r)
	}
	if r.log == nil && !r.canPull() {
		return nil, errors.New("a log, or both peers and clients, are required")
	}
	r.node = NewNode(config, r.clock.Now())
	r.node.observe = r.observe
	r.config = r.node.config
	if r.telemetry != nil {
		r.logger = r.telemetry.Logger("control")
		if err := r.registerGauges(); err != nil {
			return nil, err
		}
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	if r.log != nil {
		r.wg.Add(1)
		go func() { defer r.wg.Done(); r.readLog() }()
	}
	if r.canPull() {
		r.wg.Add(1)
		go func() { defer r.wg.Done(); r.pullFromPeers() }()
	}
	r.wg.Add(1)
	go func() { defer r.wg.Done(); r.runHousekeeping() }()
	return r, nil
}

// canPull reports whether the node can pull from peers.
func (r *Reader) canPull() bool { return r.peers != nil && r.clients != nil }

func (r *Reader) registerGauges() error {
	if err := r.telemetry.RegisterGauge("baobabspool_control_offset", func() int64 { return int64(r.Offset()) }); err != nil {
		return err
	}
	return r.telemetry.RegisterGauge("baobabspool_control_fresh_ms", func() int64 {
		r.mu.RLock()
		defer r.mu.RUnlock()
		return int64(r.node.StateAge(r.clock.Now()))
	})
}

// Close stops the reader and waits for its goroutines. The methods that query the
// state can still be called and use the last state.
func (r *Reader) Close() {
	r.cancel()
	r.wg.Wait()
}

// Authenticate returns the account and the identifier of a key, see Node.Authenticate.
// Its error is a *spool.Refusal, which never contains the secret of the key.
func (r *Reader) Authenticate(key string) (account spool.AccountID, id string, err error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.node.Authenticate(r.clock.Now(), key)
}

// Isolated reports whether the node refuses requests with a key, because its state was
// never complete, or because the node was cut off for longer than the setting
// control.isolationMs. See Node.Isolated.
func (r *Reader) Isolated() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.node.Isolated(r.clock.Now())
}

// Withdrawn returns a channel that is closed once the key is no longer in force: it
// was withdrawn or has expired, its account was closed, or the node is isolated. The
// channel is already closed if the key is not in force now.
func (r *Reader) Withdrawn(keyID string) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Withdrawn(r.clock.Now(), keyID)
}

// Settings returns the current values for a scope. Later changes do not affect the
// returned values; use Changed to learn of them.
func (r *Reader) Settings(at settings.Scope) settings.Values {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.node.state.tree.ValuesFor(at)
}

// Draining reports whether a drain setting of the failure domain or of the endpoint is
// true. The endpoint then gets no new work.
func (r *Reader) Draining(domain spool.FailureDomain, endpoint spool.EndpointID) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.node.state.Draining(domain, endpoint)
}

// Services returns the services by name, without removed ones. The caller owns the map.
func (r *Reader) Services() map[spool.ServiceName]Service {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.node.state.Services()
}

// Accounts returns all accounts, including closed ones.
func (r *Reader) Accounts() []Account {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.node.state.Accounts()
}

// Orders returns the latest order on each subject for an endpoint, in ascending order
// of their fencing numbers. ahead is the number of endpoints that should load before
// this one, see State.EndpointsLoadingBefore.
func (r *Reader) Orders(endpoint spool.EndpointID) (orders []spool.EngineOrder, ahead int) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	orders = append(orders, r.node.state.Orders(endpoint)...)
	return orders, r.node.state.EndpointsLoadingBefore(endpoint)
}

// Offset returns the offset of the last applied batch; 0 before the first batch.
func (r *Reader) Offset() spool.Offset {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.node.state.offset
}

// Changed returns a channel that is closed when the offset of the state next
// increases. To miss no change, call Changed before reading the state.
func (r *Reader) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// StateAge returns the age of the state: the time, on this node's clock, since the
// state was last known to match the log. It is negative if the state was never
// complete.
func (r *Reader) StateAge() clock.Millis {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.node.StateAge(r.clock.Now())
}

// Members returns the entries for which the setting entry.member is true. Each account's
// static rate is divided among these entries.
func (r *Reader) Members() []spool.NodeID {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var members []spool.NodeID
	for _, key := range r.node.state.tree.KeysSetToTrue(settings.EntryMember) {
		members = append(members, spool.NodeID(key))
	}
	return members
}

// Ready reports whether the state has been fully loaded once: it has reached the end of
// the log, or the offset of a peer whose own state was fully loaded.
func (r *Reader) Ready() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.node.freshness.loaded
}

// MarshalState returns the state and its offset as JSON; RestoreState decodes it.
func (r *Reader) MarshalState() ([]byte, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.node.state.MarshalJSON()
}

// CopyState returns a copy of the state, for example for WithState. The copy does not
// know the latest snapshot on the stream.
func (r *Reader) CopyState() (*State, error) {
	if r.Offset() == 0 {
		return NewState(), nil
	}
	image, err := r.MarshalState()
	if err != nil {
		return nil, err
	}
	return RestoreState(image)
}

// SetAppendsSnapshots sets whether this node appends the snapshots when they are due.
// Exactly one node of the system should do so at any time. If several nodes do, the only
// effect is that the log has superfluous snapshots.
func (r *Reader) SetAppendsSnapshots(responsible bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appendsSnapshots = responsible
}

func (r *Reader) countEvent(name string) {
	if r.telemetry != nil {
		r.telemetry.CountEvent(name)
	}
}

// pause waits for d and returns true. It returns false early if the reader is closed.
func (r *Reader) pause(d clock.Millis) bool {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// jitter returns a random number in [0,1).
func (r *Reader) jitter() float64 {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return r.random.Float64()
}
