// Package quota applies the accounts' rate limits in an entry. One loop owns the
// pools that this entry grants from and its parts of all accounts; package limit
// makes the decisions.
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
	// tickEvery is how often time passes for the limits while requests are held,
	// which are looked at with each tick.
	tickEvery = 10 * clock.Millis(1)
	// restTick is the time between ticks while none is held. Parts and pools must be
	// told the time every quarter of limit.Timing.MaxGap or more often.
	restTick = 200 * clock.Millis(1)
	// leaseTimeout bounds one request to a pool's owner.
	leaseTimeout = 1 * clock.Second
	// maxAsking bounds the requests to owners that are under way.
	maxAsking = 256
	// inboxSize lets handlers run ahead of the loop.
	inboxSize = 1024
)

// Version is what one change of the control state says about limits. Versions
// must reach the manager one by one in the order of the log: one that is skipped
// may have held the smallest part of a rate.
type Version struct {
	// Skipped means that earlier versions were not seen. Every part is then
	// emptied first, and grows as after a change.
	Skipped bool
	// Members are the entries of the agreed view; nil when they did not change.
	Members []spool.NodeID
	// Limits holds the accounts whose limits may have changed.
	Limits map[spool.AccountID]limit.Config
	// Resumed says that this entry held the same parts before it was restarted.
	Resumed bool
	// Others are the limits of accounts that no version has named.
	Others limit.Config
}

// Streams tells who owns the pools.
type Streams interface {
	// Epoch returns this entry's claim on a stream while it serves it.
	Epoch(stream spool.Stream) (spool.Epoch, bool)
	// Confirmed returns the instant until which no other entry can serve the
	// stream.
	Confirmed(stream spool.Stream) (clock.Millis, bool)
	// Inherited returns what HandOver of the previous owner returned, if it has
	// released the stream to this entry's claim.
	Inherited(stream spool.Stream, epoch spool.Epoch) json.RawMessage
	// OwnerOf returns the owner of a stream and its address.
	OwnerOf(stream spool.Stream) (spool.NodeID, string, bool)
}

// Config describes the entry.
type Config struct {
	// Node names this entry.
	Node spool.NodeID
	// StreamCount is the number of program streams.
	StreamCount int
	// Timing holds the durations, which are the same at all entries.
	Timing limit.Timing
	// Lost, unless nil, is told of each owner that did not answer, Answered of each
	// that did. They must not block.
	Lost     func(owner spool.NodeID)
	Answered func(owner spool.NodeID)
	// Short, unless nil, is told of each account whose owner granted less than was
	// asked for. It must not block.
	Short func(id spool.AccountID)
}

// Manager holds the limits of one entry. It is safe for concurrent use.
type Manager struct {
	config    Config
	clock     clock.Clock
	freshFor  func() clock.Millis
	streams   Streams
	clients   *wire.Clients
	telemetry *telemetry.Telemetry
	pool      pond.Pool
	inbox     chan message
	ctx       context.Context
	cancel    context.CancelFunc

	// The fields below belong to the loop.

	accounts map[spool.AccountID]*account
	// members, limits and others are those of the latest version.
	members []spool.NodeID
	limits  map[spool.AccountID]limit.Config
	others  limit.Config
	// waiting holds the requests for admission that have no outcome yet.
	waiting map[string]*admission
	// left holds the claims that are being released; their pools grant no more.
	left map[spool.Stream]spool.Epoch
	next uint64

	versionsMu sync.Mutex
	// versions are those that the loop has not taken in yet.
	versions []Version
}

// New starts a manager. source must be the clock of streams. freshFor returns the
// age of the control state, negative when it has never been complete; a state
// that it counts as fresh must have been passed to Observe before.
func New(config Config, source clock.Clock, freshFor func() clock.Millis, streams Streams, clients *wire.Clients, t *telemetry.Telemetry) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		config: config, clock: source, freshFor: freshFor, streams: streams, limits: map[spool.AccountID]limit.Config{}, clients: clients, telemetry: t,
		pool: pond.NewPool(maxAsking), inbox: make(chan message, inboxSize), ctx: ctx, cancel: cancel,
		accounts: map[spool.AccountID]*account{}, waiting: map[string]*admission{}, left: map[spool.Stream]spool.Epoch{},
	}
	go func() {
		timer := time.NewTimer(restTick.Duration())
		defer timer.Stop()
		for {
			held := len(m.waiting) > 0
			select {
			case <-timer.C:
				m.tick(m.clock.Now())
				timer.Reset(m.untilTick().Duration())
			case received := <-m.inbox:
				received.apply(m, m.clock.Now())
				if !held && len(m.waiting) > 0 {
					timer.Reset(tickEvery.Duration())
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return m
}

func (m *Manager) untilTick() clock.Millis {
	if len(m.waiting) > 0 {
		return tickEvery
	}
	return restTick
}

// Observe takes the next version in. It never blocks on the loop.
func (m *Manager) Observe(version Version) {
	m.versionsMu.Lock()
	defer m.versionsMu.Unlock()
	m.versions = append(m.versions, version)
}

// Close stops the manager. Requests for admission are refused from then on.
func (m *Manager) Close() { m.cancel() }

// Handlers returns the methods that this entry answers to others.
func (m *Manager) Handlers() wire.Mux {
	return wire.Mux{
		wire.MethodLease: wire.Handle(func(ctx context.Context, request wire.LeaseRequest, _ wire.Send) (any, error) {
			return m.lease(ctx, request)
		}),
		wire.MethodStart: wire.Handle(func(ctx context.Context, request wire.StartRequest, _ wire.Send) (any, error) {
			return m.start(ctx, request)
		}),
	}
}

// Take admits one request of an account. It may hold the request for a short
// time when a token is on its way. It fails with a *spool.Refusal.
func (m *Manager) Take(ctx context.Context, id spool.AccountID, class limit.Class) error {
	request := &admission{account: id, class: class, done: make(chan error, 1)}
	if !m.post(ctx, request) {
		return m.refuse(id, tickEvery)
	}
	select {
	case err := <-request.done:
		return err
	case <-ctx.Done():
		m.post(m.ctx, departure{admission: request})
		return spool.Refuse(spool.CodeCancelled, "caller left before the request was admitted")
	case <-m.ctx.Done():
		return spool.Refuse(spool.CodeShuttingDown, "entry is shutting down")
	}
}

func (m *Manager) refuse(id spool.AccountID, retryAfter clock.Millis) *spool.Refusal {
	return spool.Refuse(spool.CodeRateLimited, "account %q is over its rate", id).WithRetryAfter(max(retryAfter, 1))
}

// lease answers a request for tokens from the pool that this entry owns.
func (m *Manager) lease(ctx context.Context, request wire.LeaseRequest) (wire.LeaseReply, error) {
	question := leaseQuestion{request: request, answer: make(chan limit.Grant, 1)}
	if !m.post(ctx, question) {
		return wire.LeaseReply{}, spool.Refuse(spool.CodeShuttingDown, "entry is shutting down")
	}
	select {
	case grant := <-question.answer:
		return wire.LeaseReply{
			Sequence: grant.Sequence, Epoch: grant.Epoch, Granted: grant.Granted,
			LeaseFor: grant.LeaseFor, RetryAfter: grant.RetryAfter,
		}, nil
	case <-ctx.Done():
		return wire.LeaseReply{}, ctx.Err()
	case <-m.ctx.Done():
		return wire.LeaseReply{}, spool.Refuse(spool.CodeShuttingDown, "entry is shutting down")
	}
}

func (m *Manager) post(ctx context.Context, sent message) bool {
	select {
	case m.inbox <- sent:
		return true
	case <-ctx.Done():
		return false
	case <-m.ctx.Done():
		return false
	}
}

// ask sends a request for tokens to the pool's owner.
func (m *Manager) ask(request limit.Request) {
	m.telemetry.Event("leaseAsked")
	m.pool.Submit(func() {
		ctx, cancel := context.WithTimeout(m.ctx, leaseTimeout.Duration())
		defer cancel()
		reply, err := m.fetch(ctx, request)
		if err != nil {
			m.telemetry.Event("leaseLost")
			m.post(m.ctx, leaseLost{account: request.Account, sequence: request.Sequence})
			return
		}
		m.post(m.ctx, granted{account: request.Account, grant: limit.Grant{
			Sequence: reply.Sequence, Epoch: reply.Epoch, Granted: reply.Granted,
			LeaseFor: reply.LeaseFor, RetryAfter: reply.RetryAfter,
		}})
	})
}

func (m *Manager) fetch(ctx context.Context, request limit.Request) (reply wire.LeaseReply, err error) {
	message := wire.LeaseRequest{
		Account: request.Account, Node: request.Node, Sequence: request.Sequence,
		Want: request.Want, Returned: request.Returned, Epoch: request.Epoch, Urgent: request.Urgent,
	}
	return askOwner(ctx, m, request.Account, wire.MethodLease, message, m.lease)
}

// askOwner puts a request to the owner of an account's pool; own answers it when that is
// this entry.
func askOwner[Request, Reply any](ctx context.Context, m *Manager, id spool.AccountID, method string, request Request, own func(ctx context.Context, request Request) (Reply, error)) (reply Reply, err error) {
	stream := spool.StreamOfAccount(id, m.config.StreamCount)
	owner, address, ok := m.streams.OwnerOf(stream)
	switch {
	case !ok:
		return reply, spool.Refuse(spool.CodeNoOwner, "stream %s has no owner", stream)
	case owner == m.config.Node:
		return own(ctx, request)
	}
	err = m.clients.Call(ctx, address, method, request, &reply, nil)
	m.heard(owner, err)
	return reply, err
}

// heard passes on whether an owner has answered.
func (m *Manager) heard(owner spool.NodeID, err error) {
	told := m.config.Answered
	if err != nil {
		told = m.config.Lost
	}
	if told != nil {
		told(owner)
	}
}

func (m *Manager) nextID() string {
	m.next++
	return strconv.FormatUint(m.next, 36)
}
