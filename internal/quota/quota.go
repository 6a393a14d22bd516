// Package quota enforces the rate limits of client accounts at one process, an entry
// or a gateway; both are called entries here. A single goroutine, the loop, manages
// the pools that this entry owns and its shares of all accounts' limits. Package
// limit makes the decisions.
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
	// tickInterval is the time between two ticks of the loop while requests are
	// queued. Each tick admits or refuses the queued requests for which this is
	// due.
	tickInterval = 10 * clock.Millis(1)
	// idleTickInterval is the time between two ticks while no request is queued. It
	// must be less than a quarter of limit.Timing.MaxGap, the longest time that a
	// limit.Share may go without a call.
	idleTickInterval = 200 * clock.Millis(1)
	// leaseTimeout bounds one call to the owner of a pool, for tokens or for the
	// start of a program.
	leaseTimeout = 1 * clock.Second
	// maxLeaseRequests bounds the requests for tokens that are sent to owners at
	// the same time.
	maxLeaseRequests = 256
	// inboxSize is the number of messages that can wait for the loop. Senders block
	// while the inbox is full.
	inboxSize = 1024
)

// Version is the part of one change of the control state that concerns limits. The
// versions must be passed to Manager.Observe one by one in the order of the log,
// because a skipped one may have had the smallest allocation.
type Version struct {
	// Skipped is true if the manager may have missed earlier versions. All
	// allocations and pools are then reset to zero before the version is applied,
	// and grow again with the delay that follows any change that makes them larger.
	Skipped bool
	// Members are the node IDs of all members of the control state: the entries, or
	// the gateways, among which static portions are divided. It is nil if the
	// members did not change.
	Members []spool.NodeID
	// Limits contains the limits of the accounts whose limits may have changed;
	// they replace those of earlier versions.
	Limits map[spool.AccountID]limit.Config
	// Resumed is true if this entry had the same static allocations before it was
	// restarted. They are then put in force at once, with empty buckets.
	Resumed bool
	// DefaultLimits are the limits of accounts that are not in Limits of this or an
	// earlier version. They replace those of earlier versions.
	DefaultLimits limit.Config
}

// Streams reports which entry owns the pools. The owner of a stream owns the pools
// of the accounts that spool.StreamOfAccount assigns to it.
type Streams interface {
	// Epoch returns the epoch of this entry's claim on a stream; false if this
	// entry does not own the stream.
	Epoch(stream spool.Stream) (spool.Epoch, bool)
	// ConfirmedUntil returns the time up to which this entry's ownership of the
	// stream is confirmed; false if it is unknown. The manager lets the pools grant
	// for Timing.Authority after this time, because a new owner waits as long before
	// it grants.
	ConfirmedUntil(stream spool.Stream) (clock.Millis, bool)
	// HandoverData returns what HandOver returned at the previous owner, if that
	// owner released the stream and the claim with epoch is the first after the
	// release; otherwise nil.
	HandoverData(stream spool.Stream, epoch spool.Epoch) json.RawMessage
	// OwnerOf returns the node ID and the address of the owner of a stream; false
	// if it has none.
	OwnerOf(stream spool.Stream) (spool.NodeID, string, bool)
}

// Config configures the manager of one entry.
type Config struct {
	// Node is the ID of this entry.
	Node spool.NodeID
	// StreamCount is the number of program streams.
	StreamCount int
	// Timing contains the durations of package limit; they must be the same at all
	// entries.
	Timing limit.Timing
	// OnOwnerLost, unless nil, is called after each failed call to the owner of a
	// pool at another entry, and OnOwnerAnswered after each successful one. Neither
	// may block.
	OnOwnerLost     func(owner spool.NodeID, sentAt clock.Millis)
	OnOwnerAnswered func(owner spool.NodeID)
	// OnShortGrant, unless nil, is called in the loop with the account of each
	// grant that has fewer tokens than were requested, unless its owner may not grant.
	// It must not block.
	OnShortGrant func(id spool.AccountID)
}

// Manager enforces the rate limits of accounts at one entry. It is safe for
// concurrent use.
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
	// members, limits and defaultLimits are the latest values that a version has
	// set.
	members       []spool.NodeID
	limits        map[spool.AccountID]limit.Config
	defaultLimits limit.Config
	// queued contains the admissions that wait in the queue of their account, by
	// ID.
	queued map[string]*admission
	// released contains, for each stream, the epoch of the claim that was last
	// passed to HandOver. Pools grant nothing more under that claim.
	released map[spool.Stream]spool.Epoch
	// lastID is the number of the last ID that nextID returned.
	lastID uint64

	versionsMu sync.Mutex
	// versions contains the versions that the loop has not applied yet, oldest
	// first.
	versions []Version
}

// New starts a manager. source is its clock; streams must use the same one.
// stateAge returns the time since the control state was last known to be current;
// it is negative if the state has never been complete. A version must be passed to
// Observe before stateAge returns the age of the state that contains it.
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

// Observe passes the next version to the manager, which applies it before its next
// decision. It does not wait for the loop.
func (m *Manager) Observe(version Version) {
	m.versionsMu.Lock()
	defer m.versionsMu.Unlock()
	m.versions = append(m.versions, version)
}

// Close stops the manager. It refuses the admission requests that are waiting and
// all later ones.
func (m *Manager) Close() { m.cancel() }

// Handlers returns the handlers for the calls of other entries to the pools that
// this entry owns.
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

// Admit takes one token for a request of an account. If there is none, the request
// is refused or waits in the queue of the account, which admits or refuses it
// later; see limit.Queue. If ctx or the manager ends before the request has been
// passed to the loop, it is refused with CodeRateLimited; if ctx ends later, with
// CodeCancelled, and if the manager does, with CodeShuttingDown. Errors are of type
// *spool.Refusal.
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
			LeaseDuration: grant.LeaseDuration, UsableIn: grant.UsableIn, RetryAfter: grant.RetryAfter, Withheld: grant.Withheld,
		}, nil
	case <-ctx.Done():
		return wire.LeaseReply{}, ctx.Err()
	case <-m.ctx.Done():
		return wire.LeaseReply{}, spool.Refuse(spool.CodeShuttingDown, "entry is shutting down")
	}
}

// enqueue passes msg to the loop and blocks while the inbox is full. It returns
// false if ctx or the manager ended first.
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

// requestLease sends a request to the owner of the pool in the background. The
// answer or the failure is passed to the loop.
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
			LeaseDuration: reply.LeaseDuration, UsableIn: reply.UsableIn, RetryAfter: reply.RetryAfter, Withheld: reply.Withheld,
		}})
	})
}

func (m *Manager) fetchLease(ctx context.Context, request limit.Request) (reply wire.LeaseReply, err error) {
	leaseRequest := wire.LeaseRequest{
		Account: request.Account, Node: request.Node, Sequence: request.Sequence,
		Requested: request.Requested, Returned: request.Returned, Epoch: request.Epoch, Urgent: request.Urgent, MaxDelay: request.MaxDelay,
	}
	return callOwner(ctx, m, request.Account, wire.MethodLease, leaseRequest, m.serveLease)
}

// callOwner sends a request to the owner of the pool of account id. If this entry
// is the owner, serveLocally answers the request instead.
func callOwner[Request, Reply any](ctx context.Context, m *Manager, id spool.AccountID, method string, request Request, serveLocally func(ctx context.Context, request Request) (Reply, error)) (reply Reply, err error) {
	stream := spool.StreamOfAccount(id, m.config.StreamCount)
	owner, address, ok := m.streams.OwnerOf(stream)
	switch {
	case !ok:
		return reply, spool.Refuse(spool.CodeNoOwner, "stream %s has no owner", stream)
	case owner == m.config.Node:
		return serveLocally(ctx, request)
	}
	sentAt := m.clock.Now()
	err = m.clients.Call(ctx, address, method, request, &reply, nil)
	m.reportOwner(owner, sentAt, err)
	return reply, err
}

// reportOwner calls OnOwnerAnswered if err, the result of a call to owner that was sent
// at sentAt, is nil, and OnOwnerLost otherwise.
func (m *Manager) reportOwner(owner spool.NodeID, sentAt clock.Millis, err error) {
	switch {
	case err != nil && m.config.OnOwnerLost != nil:
		m.config.OnOwnerLost(owner, sentAt)
	case err == nil && m.config.OnOwnerAnswered != nil:
		m.config.OnOwnerAnswered(owner)
	}
}

func (m *Manager) nextID() string {
	m.lastID++
	return strconv.FormatUint(m.lastID, 36)
}
