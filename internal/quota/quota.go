// Package quota enforces the rate limits of accounts at an entry. A single loop
// holds the pools that this entry owns and its shares of all accounts' limits;
// package limit makes the decisions.
package quota

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// tickInterval is the time between ticks while requests are queued. Each tick
	// checks the queued requests.
	tickInterval = 10 * clock.Millis(1)
	// idleTickInterval is the time between ticks while no request is queued. Shares
	// and pools need a tick at least every quarter of limit.Timing.MaxGap.
	idleTickInterval = 200 * clock.Millis(1)
	// leaseTimeout bounds one call to the owner of a pool.
	leaseTimeout = 1 * clock.Second
	// maxLeaseRequests bounds the concurrent lease requests to owners.
	maxLeaseRequests = 256
	// inboxSize is the number of messages that handlers can send ahead of the loop.
	inboxSize = 1024
)

// Version is the part of one change of the control state that concerns limits.
// Versions must reach the manager one by one in the order of the log, because a
// skipped one may have had the smallest allocation.
type Version struct {
	// Skipped is true if earlier versions were missed. Every allocation is then
	// cleared first, and grows as after a change.
	Skipped bool
	// Members are the entries of the agreed membership view; nil if they did not
	// change.
	Members []spool.NodeID
	// Limits holds the accounts whose limits may have changed.
	Limits map[spool.AccountID]limit.Config
	// Resumed is true if this entry held the same allocations before it was
	// restarted.
	Resumed bool
	// DefaultLimits are the limits of accounts that no version has named.
	DefaultLimits limit.Config
}

// Streams reports which entries own the pools.
type Streams interface {
	// Epoch returns the epoch of this entry's claim on a stream while the entry
	// serves the stream.
	Epoch(stream spool.Stream) (spool.Epoch, bool)
	// ConfirmedUntil returns the instant until which no other entry can serve the
	// stream.
	ConfirmedUntil(stream spool.Stream) (clock.Millis, bool)
	// HandoverData returns the result of HandOver at the previous owner if that
	// owner released the stream to this entry's claim.
	HandoverData(stream spool.Stream, epoch spool.Epoch) json.RawMessage
	// OwnerOf returns the owner of a stream and its address.
	OwnerOf(stream spool.Stream) (spool.NodeID, string, bool)
}

// Config configures the manager of one entry.
type Config struct {
	// Node is the ID of this entry.
	Node spool.NodeID
	// StreamCount is the number of program streams.
	StreamCount int
	// Timing holds the durations; they are the same at all entries.
	Timing limit.Timing
	// OnOwnerLost, unless nil, is called with each owner that did not answer, and
	// OnOwnerAnswered with each that did. Neither may block.
	OnOwnerLost     func(owner spool.NodeID)
	OnOwnerAnswered func(owner spool.NodeID)
	// OnShortGrant, unless nil, is called with each account whose owner granted
	// fewer tokens than were requested. It must not block.
	OnShortGrant func(id spool.AccountID)
}

// Manager enforces the limits at one entry. It is safe for concurrent use.
type Manager struct {
	config    Config
	clock     clock.Clock
	stateAge  func() clock.Millis
	streams   Streams
	clients   *wire.Clients
	telemetry *telemetry.Telemetry
	workers   pond.Pool
	inbox     chan message
	ctx       context.Context
	cancel    context.CancelFunc

	// The fields below belong to the loop.

	accounts map[spool.AccountID]*account
	// members, limits and defaultLimits are those of the latest version.
	members       []spool.NodeID
	limits        map[spool.AccountID]limit.Config
	defaultLimits limit.Config
	// queued holds the requests for admission that wait for an outcome, by ID.
	queued map[string]*admission
	// released holds the epochs of claims that are being released. Their pools no
	// longer grant tokens.
	released map[spool.Stream]spool.Epoch
	lastID   uint64

	versionsMu sync.Mutex
	// versions holds the versions that the loop has not applied yet.
	versions []Version
}

// New starts a manager. source must be the clock of streams. stateAge returns the
// age of the control state; it is negative if the state has never been complete.
// Each state must be passed to Observe before stateAge counts it as fresh.
func New(config Config, source clock.Clock, stateAge func() clock.Millis, streams Streams, clients *wire.Clients, t *telemetry.Telemetry) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		config: config, clock: source, stateAge: stateAge, streams: streams, limits: map[spool.AccountID]limit.Config{}, clients: clients, telemetry: t,
		workers: pond.NewPool(maxLeaseRequests), inbox: make(chan message, inboxSize), ctx: ctx, cancel: cancel,
		accounts: map[spool.AccountID]*account{}, queued: map[string]*admission{}, released: map[spool.Stream]spool.Epoch{},
	}
	go func() {
		timer := time.NewTimer(idleTickInterval.Duration())
		defer timer.Stop()
		for {
			hadQueued := len(m.queued) > 0
			select {
			case <-timer.C:
				m.tick(m.clock.Now())
				timer.Reset(m.tickDelay().Duration())
			case received := <-m.inbox:
				received.apply(m, m.clock.Now())
				if !hadQueued && len(m.queued) > 0 {
					timer.Reset(tickInterval.Duration())
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return m
}

func (m *Manager) tickDelay() clock.Millis {
	if len(m.queued) > 0 {
		return tickInterval
	}
	return idleTickInterval
}

// Observe queues the next version. It never blocks on the loop.
func (m *Manager) Observe(version Version) {
	m.versionsMu.Lock()
	defer m.versionsMu.Unlock()
	m.versions = append(m.versions, version)
}

// Close stops the manager. Requests for admission are refused from then on.
func (m *Manager) Close() { m.cancel() }

// Handlers returns the methods that this entry serves to other entries.
func (m *Manager) Handlers() wire.Mux {
	return wire.Mux{
		wire.MethodLease: wire.Handle(func(ctx context.Context, request wire.LeaseRequest, _ wire.Send) (any, error) {
			return m.serveLease(ctx, request)
		}),
		wire.MethodStart: wire.Handle(func(ctx context.Context, request wire.StartRequest, _ wire.Send) (any, error) {
			return m.serveStart(ctx, request)
		}),
	}
}

// Admit admits one request of an account. The request may be queued for a short
// time while a token is expected. Errors are of type *spool.Refusal.
func (m *Manager) Admit(ctx context.Context, id spool.AccountID, class limit.Class) error {
	request := &admission{account: id, class: class, done: make(chan error, 1)}
	if !m.enqueue(ctx, request) {
		return m.rateLimitRefusal(id, tickInterval)
	}
	select {
	case err := <-request.done:
		return err
	case <-ctx.Done():
		m.enqueue(m.ctx, cancellation{admission: request})
		return spool.Refuse(spool.CodeCancelled, "caller left before the request was admitted")
	case <-m.ctx.Done():
		return spool.Refuse(spool.CodeShuttingDown, "entry is shutting down")
	}
}

func (m *Manager) rateLimitRefusal(id spool.AccountID, retryAfter clock.Millis) *spool.Refusal {
	return spool.Refuse(spool.CodeRateLimited, "account %q is over its rate", id).WithRetryAfter(max(retryAfter, 1))
}

// serveLease answers a request for tokens from a pool that this entry owns.
func (m *Manager) serveLease(ctx context.Context, request wire.LeaseRequest) (wire.LeaseReply, error) {
	call := leaseCall{request: request, reply: make(chan limit.Grant, 1)}
	if !m.enqueue(ctx, call) {
		return wire.LeaseReply{}, spool.Refuse(spool.CodeShuttingDown, "entry is shutting down")
	}
	select {
	case grant := <-call.reply:
		return wire.LeaseReply{
			Sequence: grant.Sequence, Epoch: grant.Epoch, Granted: grant.Granted,
			LeaseDuration: grant.LeaseDuration, RetryAfter: grant.RetryAfter,
		}, nil
	case <-ctx.Done():
		return wire.LeaseReply{}, ctx.Err()
	case <-m.ctx.Done():
		return wire.LeaseReply{}, spool.Refuse(spool.CodeShuttingDown, "entry is shutting down")
	}
}

func (m *Manager) enqueue(ctx context.Context, msg message) bool {
	select {
	case m.inbox <- msg:
		return true
	case <-ctx.Done():
		return false
	case <-m.ctx.Done():
		return false
	}
}

// requestLease requests tokens from the pool's owner in the background.
func (m *Manager) requestLease(request limit.Request) {
	m.telemetry.CountEvent("leaseAsked")
	m.workers.Submit(func() {
		ctx, cancel := context.WithTimeout(m.ctx, leaseTimeout.Duration())
		defer cancel()
		reply, err := m.fetchLease(ctx, request)
		if err != nil {
			m.telemetry.CountEvent("leaseLost")
			m.enqueue(m.ctx, leaseFailed{account: request.Account, sequence: request.Sequence})
			return
		}
		m.enqueue(m.ctx, grantReceived{account: request.Account, grant: limit.Grant{
			Sequence: reply.Sequence, Epoch: reply.Epoch, Granted: reply.Granted,
			LeaseDuration: reply.LeaseDuration, RetryAfter: reply.RetryAfter,
		}})
	})
}

func (m *Manager) fetchLease(ctx context.Context, request limit.Request) (reply wire.LeaseReply, err error) {
	leaseRequest := wire.LeaseRequest{
		Account: request.Account, Node: request.Node, Sequence: request.Sequence,
		Requested: request.Requested, Returned: request.Returned, Epoch: request.Epoch, Urgent: request.Urgent,
	}
	return callOwner(ctx, m, request.Account, wire.MethodLease, leaseRequest, m.serveLease)
}

// callOwner sends a request to the owner of an account's pool. If this entry is the
// owner, serveLocally answers the request.
func callOwner[Request, Reply any](ctx context.Context, m *Manager, id spool.AccountID, method string, request Request, serveLocally func(ctx context.Context, request Request) (Reply, error)) (reply Reply, err error) {
	stream := spool.StreamOfAccount(id, m.config.StreamCount)
	owner, address, ok := m.streams.OwnerOf(stream)
	switch {
	case !ok:
		return reply, spool.Refuse(spool.CodeNoOwner, "stream %s has no owner", stream)
	case owner == m.config.Node:
		return serveLocally(ctx, request)
	}
	err = m.clients.Call(ctx, address, method, request, &reply, nil)
	m.reportOwner(owner, err)
	return reply, err
}

// reportOwner calls the configured callback with the owner and whether it answered.
func (m *Manager) reportOwner(owner spool.NodeID, err error) {
	notify := m.config.OnOwnerAnswered
	if err != nil {
		notify = m.config.OnOwnerLost
	}
	if notify != nil {
		notify(owner)
	}
}

func (m *Manager) nextID() string {
	m.lastID++
	return strconv.FormatUint(m.lastID, 36)
}
