package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/pkg/catalog"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/rollout"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// rolloutKeyPrefix and a service form the key, in the member topic, of the record of a
// rollout's controller.
const rolloutKeyPrefix = "rolloutState/"

// serviceRollout is what a gateway knows of the rollout of one service.
type serviceRollout struct {
	// order is the newest order; nil if there is none, also after it was withdrawn.
	// orderedAt is when this gateway first read it.
	order     *rollout.Order
	orderedAt clock.Millis
	// holder is that of order, or of the order that was withdrawn last.
	holder *rollout.Holder
	// record is the newest record of the controller, read at recordAt; nil if there is none.
	record   *rollout.Record
	recordAt clock.Millis
	// inFlight counts the requests of this gateway by the version of their endpoint, also
	// without an order: a completion must wait for those that began before the order.
	inFlight map[string]int64
	// isAsking is set while a report is on its way, and askedAt when the last one was sent.
	isAsking bool
	askedAt  clock.Millis
	// phase is the last phase of holder that was logged.
	phase rollout.Phase

	// controller is that of this gateway, if it owns the limit pools since epoch; nil if
	// there is none. isWriting is set while its record is written.
	controller *rollout.Controller
	epoch      spool.Epoch
	isWriting  bool
	// status is the last status that the store has confirmed for statusOrder.
	status      spool.RolloutState
	statusOrder int64
	loggedAt    clock.Millis
	// loggedPhase is the last phase of the controller that was logged.
	loggedPhase rollout.Phase
}

// rolloutTable runs the rollouts of all services on this gateway. It is nil if rollouts are
// off; each method that requests use accepts that. It is safe for concurrent use.
type rolloutTable struct {
	settings      spool.GatewaySettings
	incarnation   string
	bootClock     clock.Clock
	clock         clock.Clock
	poolOwnership *poolOwnership
	endpoints     *endpoints.Table
	store         spool.Store
	codec         Codec
	telemetry     *telemetry.Telemetry
	log           *zap.Logger
	// call calls a method of the gateway at an address. liveMembers returns the gateways
	// that run.
	call        func(ctx context.Context, address, method string, request, reply any) error
	liveMembers func() []spool.NodeID
	pollMembers func()
	// onReported is called after each report.
	onReported func()

	mu       sync.Mutex
	services map[spool.ServiceName]*serviceRollout
	// hasMembers is true after the first read of the member topic. confirmedAt is when the
	// newest one was sent.
	hasMembers  bool
	confirmedAt clock.Millis
	calls       sync.WaitGroup
}

// service returns the state of a service. The caller holds mu.
func (t *rolloutTable) service(name spool.ServiceName) *serviceRollout {
	s := t.services[name]
	if s == nil {
		s = &serviceRollout{inFlight: map[string]int64{}}
		t.services[name] = s
	}
	return s
}

// observeOrder applies the record of an order at an offset, or its withdrawal if order is
// nil. isRunning is false during the first read of the topic.
func (t *rolloutTable) observeOrder(name spool.ServiceName, order *catalog.RolloutOrder, offset int64, isRunning bool) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	if order == nil {
		t.withdrawLocked(name, s)
		return
	}
	if s.order != nil && s.order.Offset >= offset {
		return
	}
	now := t.bootClock.Now()
	if previous := s.holder; previous != nil && (s.record == nil || s.record.Order < previous.Order().Offset) {
		// The record of the previous order has not been read, or was never written.
		s.record = &rollout.Record{Order: previous.Order().Offset, To: previous.Order().To, Phase: previous.Phase(), Barred: previous.Barred()}
		s.recordAt = now
	}
	s.order = &rollout.Order{Service: name, To: order.To, Duration: order.Duration, Offset: offset}
	s.orderedAt, s.controller, s.phase = now, nil, ""
	s.holder = rollout.NewHolder(now, *s.order, t.settings.Node, t.incarnation, isRunning)
	t.applyRecordLocked(s, t.confirmedAt)
	t.log.Info("rollout was ordered", zap.String("service", string(name)), zap.String("to", order.To),
		zap.Int64("durationMs", int64(order.Duration)), zap.Int64("offset", offset))
}

// retainOrders withdraws the orders of services that are not in names.
func (t *rolloutTable) retainOrders(names map[spool.ServiceName]bool) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.services {
		if !names[name] {
			t.withdrawLocked(name, s)
		}
	}
}

func (t *rolloutTable) withdrawLocked(name spool.ServiceName, s *serviceRollout) {
	if s.order == nil {
		return
	}
	t.log.Info("rollout was withdrawn", zap.String("service", string(name)), zap.String("to", s.order.To))
	s.order = nil
	s.holder.Withdraw()
}

// applyRecordLocked passes the newest record of the controller on to the holder. at is a
// time at which the store still had it. The caller holds mu.
func (t *rolloutTable) applyRecordLocked(s *serviceRollout, at clock.Millis) {
	switch {
	case s.record == nil || s.holder == nil:
	case s.record.Order == s.holder.Order().Offset:
		s.holder.Observe(at, *s.record)
	case s.record.Order < s.holder.Order().Offset:
		s.holder.Follow(*s.record)
	}
}

// observeRecord keeps a record of the member topic, which confirm applies. It ignores other
// keys.
func (t *rolloutTable) observeRecord(record spool.KeyedRecord) {
	if t == nil {
		return
	}
	name, ok := strings.CutPrefix(record.Key, rolloutKeyPrefix)
	if !ok || len(record.Value) == 0 {
		return
	}
	var value rollout.Record
	if err := json.Unmarshal(record.Value, &value); err != nil {
		t.log.Warn("malformed rollout record was ignored", zap.String("service", name), zap.Error(err))
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(spool.ServiceName(name))
	s.record, s.recordAt = &value, t.bootClock.Now()
}

// confirm records that all records that were in the member topic at sentAt were applied.
func (t *rolloutTable) confirm(sentAt clock.Millis) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasMembers, t.confirmedAt = true, max(t.confirmedAt, sentAt)
	for _, s := range t.services {
		t.applyRecordLocked(s, sentAt)
	}
}

// isReady reports whether this gateway knows the phases of all rollouts that are ordered,
// and has tried to report to their controllers.
func (t *rolloutTable) isReady() bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.bootClock.Now()
	for _, s := range t.services {
		if s.order != nil && (!t.hasMembers || s.holder.IsPaused(now)) {
			return false
		}
	}
	return true
}

// focus returns the endpoints that granted requests go to: the first ones of the new
// version in an order that is the same on all gateways.
func (t *rolloutTable) focus(name spool.ServiceName, to string, count int) map[spool.EndpointID]bool {
	var ids []spool.EndpointID
	for _, candidate := range t.endpoints.Candidates(t.clock.Now(), name) {
		if candidate.Version == to && !candidate.IsCold {
			ids = append(ids, candidate.ID)
		}
	}
	slices.SortFunc(ids, func(a, b spool.EndpointID) int {
		scoreA, scoreB := xxhash.Sum64String(to+"\x00"+string(a)), xxhash.Sum64String(to+"\x00"+string(b))
		if scoreA < scoreB {
			return -1
		}
		return 1
	})
	focus := map[spool.EndpointID]bool{}
	for _, id := range ids[:min(len(ids), max(1, count))] {
		focus[id] = true
	}
	return focus
}
