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
	defaultWait      = 1 * clock.Second
	defaultRetention = 1 * clock.Hour
	// replyGrace is added to the wait of a long poll before the request counts
	// as failed.
	replyTimeoutMargin = 1 * clock.Second
	// idlePoll is how often a loop that has nothing to do looks again.
	idlePoll clock.Millis = 200
)

// Config says where a node runs and how it reads.
type Config struct {
	// Node, Role, FailureDomain and Region describe this process.
	Node          spool.NodeID
	Role          spool.Role
	FailureDomain spool.FailureDomain
	Region        spool.Region
	// Wait bounds one long poll; 0 for 1 s.
	Wait clock.Millis
	// LogReaders is how many entries of each failure domain read the log while
	// the others pull from them; 0 for all.
	LogReaders int
	// Retention is how long the log keeps records; 0 for 1 h. A node that is
	// responsible for snapshots appends one after half of it.
	Retention clock.Millis
	// RelayBytes bounds the recent records kept for other nodes; 0 for 1 MiB.
	RelayBytes int
}

// Option adds a collaborator to a Reader.
type Option func(*Reader)

// WithLog makes the node read the log.
func WithLog(log spool.Log) Option { return func(r *Reader) { r.log = log } }

// WithPeers gives the node the VM list, from which it picks entries to pull from.
func WithPeers(peers func() []spool.VM) Option { return func(r *Reader) { r.peers = peers } }

// WithClients gives the node its connections; without them it does not pull.
func WithClients(clients *wire.Clients) Option { return func(r *Reader) { r.clients = clients } }

// WithClock replaces the system clock.
func WithClock(source clock.Clock) Option { return func(r *Reader) { r.clock = source } }

// WithTelemetry makes the node count and log what happens.
func WithTelemetry(t *telemetry.Telemetry) Option { return func(r *Reader) { r.telemetry = t } }

// WithObserver makes the node show every state to observe before it counts as
// fresh.
func WithObserver(observe Observer) Option { return func(r *Reader) { r.observe = observe } }

// Reader keeps the control state of one process up to date and answers from
// it. It is safe for concurrent use.
type Reader struct {
	config    Config
	log       spool.Log
	peers     func() []spool.VM
	clients   *wire.Clients
	clock     clock.Clock
	telemetry *telemetry.Telemetry
	processStatus   func() any
	observe   Observer
	logger    *zap.Logger
	ctx       context.Context
	cancel    context.CancelFunc
	wg   sync.WaitGroup

	mu   sync.RWMutex
	node *Node
	// changed is closed, and replaced, with each change of state.
	changed chan struct{}
	// responsible is set while this node appends snapshots.
	appendsSnapshots bool

	randomMu sync.Mutex
	random   *rand.Rand

	// snapshotMu guards the cached snapshot for peers.
	snapshotMu sync.Mutex
	cachedSnapshotOffset spool.Offset
	cachedSnapshot   []byte
}

// NewReader starts following the control stream. It needs a log, or peers and
// clients, or both.
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
		return nil, errors.New("neither a log nor peers are given")
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

// pulls reports whether the node can pull from peers.
func (r *Reader) canPull() bool { return r.peers != nil && r.clients != nil }

func (r *Reader) registerGauges() error {
	if err := r.telemetry.Gauge("baobabspool_control_offset", func() int64 { return int64(r.Offset()) }); err != nil {
		return err
	}
	return r.telemetry.Gauge("baobabspool_control_fresh_ms", func() int64 {
		r.mu.RLock()
		defer r.mu.RUnlock()
		return int64(r.node.FreshFor(r.clock.Now()))
	})
}

// Close stops the reader and waits for its goroutines. What it has read stays
// available.
func (r *Reader) Close() {
	r.cancel()
	r.wg.Wait()
}

// Authenticate returns the account and the identifier of a key. It fails with
// a *spool.Refusal, which never contains the key.
func (r *Reader) Authenticate(key string) (account spool.AccountID, id string, err error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.node.Authenticate(r.clock.Now(), key)
}

// Isolated reports whether the node refuses keyed requests because it has lost
// touch with the log and all peers, or has not loaded the state yet.
func (r *Reader) Isolated() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.node.Isolated(r.clock.Now())
}

// Withdrawn returns a channel that is closed when the key is withdrawn or
// expires or its account is closed, and at once when it is not in force.
func (r *Reader) Withdrawn(keyID string) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Withdrawn(r.clock.Now(), keyID)
}

// Settings returns the values for a scope. They do not change; call again after
// Changed.
func (r *Reader) Settings(at settings.Scope) settings.Values {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.node.state.tree.At(at)
}

// Draining reports whether the failure domain or the endpoint is taken out.
func (r *Reader) Draining(domain spool.FailureDomain, endpoint spool.EndpointID) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.node.state.Draining(domain, endpoint)
}

// Services returns the services by name.
func (r *Reader) Services() map[spool.ServiceName]Service {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.node.state.Services()
}

// Accounts lists the accounts, closed ones included.
func (r *Reader) Accounts() []Account {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.node.state.Accounts()
}

// Orders returns the orders in force for an endpoint by ascending fence, and how
// many endpoints load before it.
func (r *Reader) Orders(endpoint spool.EndpointID) (orders []spool.EngineOrder, ahead int) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	orders = append(orders, r.node.state.Orders(endpoint)...)
	return orders, r.node.state.LoadsAhead(endpoint)
}

// Offset returns the highest offset that is in force.
func (r *Reader) Offset() spool.Offset {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.node.state.offset
}

// Changed returns a channel that is closed with the next change.
func (r *Reader) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// FreshFor returns how long ago the state was known to be complete, on this
// node's clock; negative when it never was.
func (r *Reader) FreshFor() clock.Millis {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.node.FreshFor(r.clock.Now())
}

// Members lists the entries that share the static parts of the accounts' rates,
// as agreed on the log.
func (r *Reader) Members() []spool.NodeID {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var members []spool.NodeID
	for _, key := range r.node.state.tree.Flagged(settings.EntryMember) {
		members = append(members, spool.NodeID(key))
	}
	return members
}

// Ready reports whether the state has been loaded.
func (r *Reader) Ready() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.node.freshness.loaded
}

// Image returns the JSON form of the state with its offset.
func (r *Reader) Image() ([]byte, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.node.state.MarshalJSON()
}

// Copy returns a copy of the state, for a Publisher.
func (r *Reader) Copy() (*State, error) {
	if r.Offset() == 0 {
		return NewState(), nil
	}
	image, err := r.Image()
	if err != nil {
		return nil, err
	}
	return RestoreState(image)
}

// SetResponsible tells the node whether it appends the snapshots. At any time
// one node of the system should be told so; several do no harm.
func (r *Reader) SetResponsible(responsible bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appendsSnapshots = responsible
}

func (r *Reader) countEvent(name string) {
	if r.telemetry != nil {
		r.telemetry.Event(name)
	}
}

// pause waits for d or until the reader is closed; it reports false then.
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

func (r *Reader) jitter() float64 {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return r.random.Float64()
}
