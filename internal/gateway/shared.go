package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// operatorPollWait is how long a read of the operator topic waits for a new record.
	// A read that lasts longer than this time plus storeTimeout fails, which detects a
	// dead connection.
	operatorPollWait = clock.Second
	// endpointInterval is the base time between two reads of the endpoint topic.
	endpointInterval = 400 * clock.Millis(1)
	// memberInterval is the base time between two reads of the member topic.
	memberInterval = 500 * clock.Millis(1)
	// claimInterval is the longest time between two decisions whether to claim the
	// limit pools.
	claimInterval = 150 * clock.Millis(1)
	// gatewaysPerIntervalStep is the number of gateways per unit of the factor that
	// multiplies the poll intervals: the factor is 1 for fewer gateways, 2 from this
	// number on, and at most maxIntervalFactor. The longest interval must stay below
	// GatewaySettings.DrainWithin, the time within which a leaving endpoint has to stop
	// receiving requests.
	gatewaysPerIntervalStep = 100
	maxIntervalFactor       = 3
)

// sharedState keeps a copy of the records that operators, endpoints and gateways write
// to the store, and writes the records of this gateway.
type sharedState struct {
	gateway     *Gateway
	store       spool.Store
	log         *zap.Logger
	members     *memberTable
	lateness    *latenessMonitor
	operator    *operatorSink
	followers   []*follower
	incarnation string
	// heartbeats is the number of the last record that this gateway has tried to write
	// to the member topic. leaving is set when the gateway shuts down.
	heartbeats atomic.Int64
	leaving    atomic.Bool
	// gatewayCount is the number of gateways seen within memberViewTimeout, including
	// this one; 0 before the first read of the member topic.
	gatewayCount atomic.Int64
	// backgroundQueries counts the running queries of startQuery.
	backgroundQueries sync.WaitGroup
}

func newSharedState(g *Gateway, store spool.Store, incarnation string, members *memberTable, lateness *latenessMonitor, bootClock clock.Clock) *sharedState {
	s := &sharedState{gateway: g, store: store, log: g.log, members: members, lateness: lateness, incarnation: incarnation}
	s.operator = &operatorSink{gateway: g, log: g.log, bootClock: bootClock, evacuated: map[spool.FailureDomain]bool{}}
	s.followers = []*follower{
		{topic: spool.TopicOperator, pollWait: operatorPollWait, sink: s.operator},
		{topic: spool.TopicEndpoints, pollInterval: endpointInterval, sink: &endpointSink{gateway: g, log: g.log}},
		{topic: spool.TopicMembers, pollInterval: memberInterval, sink: members},
	}
	for _, f := range s.followers {
		f.store, f.bootClock, f.log, f.readFromPeer, f.intervalFactor = store, bootClock, g.log, s.readFromPeer, s.intervalFactor
		f.records, f.next, f.pollRequested = map[string]spool.KeyedRecord{}, -1, make(chan struct{}, 1)
		if f.topic == spool.TopicMembers {
			members.poolOwnership.readPosition, members.poolOwnership.pollMembers = f.position, f.pollNow
		}
	}
	return s
}

// run reads the topics and maintains the claim of the pools until ctx ends. It returns
// when everything that it has started has ended.
func (s *sharedState) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range s.followers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.run(ctx)
		}()
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		s.runHeartbeat(ctx)
	}()
	s.runPoolOwnership(ctx)
	s.backgroundQueries.Wait()
	wg.Wait()
}

// age returns the time since the newest read of the operator topic or of the member
// topic was sent, whichever is longer; -1 until both topics have been read.
func (s *sharedState) age(now clock.Millis) clock.Millis {
	members, known := s.members.confirmed()
	operator, read := s.operator.confirmed()
	if !known || !read {
		return -1
	}
	return max(0, now-min(members, operator))
}

// intervalFactor returns the factor, from 1 to maxIntervalFactor, that multiplies the
// poll intervals. It grows with the number of gateways, so that the reads of all
// gateways stay within the capacity of the store. It is always 1 for the owner of the
// limit pools, because the owner's reads confirm its authority to grant.
func (s *sharedState) intervalFactor() clock.Millis {
	if s.members.poolOwnership.isOwner() {
		return 1
	}
	return clock.Millis(min(maxIntervalFactor, 1+s.gatewayCount.Load()/gatewaysPerIntervalStep))
}

// runHeartbeat writes this gateway's member record, and pauses for heartbeatInterval
// after each write, until ctx ends.
func (s *sharedState) runHeartbeat(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.writeMemberRecord(ctx)
		if err != nil && ctx.Err() == nil {
			s.log.Debug("member record of this gateway was not written", zap.Error(err))
		}
		clock.Pause(ctx, heartbeatInterval)
	}
}

// writeMemberRecord writes this gateway's record to the member topic once.
func (s *sharedState) writeMemberRecord(ctx context.Context) error {
	record, err := json.Marshal(memberRecord{
		FailureDomain: s.gateway.settings.FailureDomain, Address: s.gateway.settings.ControlListen,
		Incarnation: s.incarnation, Heartbeat: s.heartbeats.Add(1), Leaving: s.leaving.Load(),
		Size: s.gateway.settings.Size, Late: s.lateness.isLate(),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	return s.store.AppendKeyed(ctx, spool.TopicMembers, memberKeyPrefix+string(s.gateway.settings.Node), record)
}

// runPoolOwnership runs until ctx ends. Once the member topic has been read, it passes
// membership changes on to the limiter and the endpoint table, probes the owner of the
// limit pools, requests votes if this gateway is the owner, hands the pools over if this
// gateway cannot bear them, and claims the pools when they have no owner that answers.
func (s *sharedState) runPoolOwnership(ctx context.Context) {
	var view []spool.NodeID
	var probing, requestingVotes, steppingDown atomic.Bool
	first := true
	timer := time.NewTimer(memberInterval.Duration())
	defer timer.Stop()
	for ctx.Err() == nil {
		if _, known := s.members.confirmed(); known {
			members := s.members.seenWithin(memberViewTimeout)
			if first || !slices.Equal(view, members) {
				s.gateway.limits.setMembers(members, first && (s.members.isResumed() || s.gateway.settings.FirstStart), false)
				s.gateway.endpointTable.SetGatewayCount(len(members))
				s.gateway.endpointTable.SetPosition(s.members.domainPosition(members))
				s.gatewayCount.Store(int64(len(members)))
				view, first = members, false
			}
			s.startQuery(ctx, &requestingVotes, s.gateway.limits.poolOwnership.requestVotes)
			s.startQuery(ctx, &probing, func(ctx context.Context) {
				s.gateway.limits.poolOwnership.probe(ctx, s.members.liveMembers)
			})
			s.startQuery(ctx, &steppingDown, func(ctx context.Context) {
				s.gateway.limits.poolOwnership.stepDown(ctx, s.members.liveMembers, s.members.successors)
			})
			s.gateway.limits.poolOwnership.claimIfVacant(ctx, s.members.liveMembers)
		}
		timer.Reset(claimInterval.Duration())
		s.lateness.setTimer(claimInterval)
		select {
		case <-timer.C:
			s.lateness.timerFired()
		case <-s.gateway.limits.poolOwnership.wake:
		case <-ctx.Done():
		}
	}
}

// startQuery runs query in the background. It does nothing while running is set, that
// is, while the previous run of the same query has not ended.
func (s *sharedState) startQuery(ctx context.Context, running *atomic.Bool, query func(ctx context.Context)) {
	if !running.CompareAndSwap(false, true) {
		return
	}
	s.backgroundQueries.Add(1)
	go func() {
		defer s.backgroundQueries.Done()
		defer running.Store(false)
		query(ctx)
	}()
}

// operatorSink applies the records of the operator topic: configurations, orders of
// rollouts and evacuations of failure domains.
type operatorSink struct {
	gateway   *Gateway
	log       *zap.Logger
	bootClock clock.Clock

	mu sync.Mutex
	// evacuated holds the evacuated failure domains. confirmedAt is when the newest
	// read of the topic was sent; hasRead is false before the first one.
	evacuated   map[spool.FailureDomain]bool
	confirmedAt clock.Millis
	hasRead     bool
}

var _ sink = (*operatorSink)(nil)

func (s *operatorSink) reset(records []spool.KeyedRecord) {
	s.mu.Lock()
	s.evacuated = map[spool.FailureDomain]bool{}
	s.mu.Unlock()
	ordered := map[spool.ServiceName]bool{}
	for _, record := range records {
		// A malformed order is ignored: it does not withdraw the one before it.
		if change, err := s.gateway.codec.DecodeOperator(record.Key, record.Value); change.Rollout != nil || err != nil && change.RolloutService != "" {
			ordered[change.RolloutService] = true
		}
		s.apply(record)
	}
	s.gateway.rollouts.retainOrders(ordered)
	s.setEvacuated("", false)
}

func (s *operatorSink) apply(record spool.KeyedRecord) {
	defer ignorePanickingRecord(s.log, record)
	change, err := s.gateway.codec.DecodeOperator(record.Key, record.Value)
	switch {
	case err != nil:
		s.log.Warn("malformed operator record was ignored", zap.String("key", record.Key), zap.Error(err))
	case change.Catalog != nil:
		s.gateway.install(change.Catalog, s.unconfirmedFor())
	case change.RolloutService != "":
		_, hasRead := s.confirmed()
		s.gateway.rollouts.observeOrder(change.RolloutService, change.Rollout, record.Offset, hasRead)
	case change.EvacuationDomain != "":
		s.log.Info("evacuation changes", zap.String("failureDomain", string(change.EvacuationDomain)), zap.Bool("evacuated", len(record.Value) > 0))
		s.setEvacuated(change.EvacuationDomain, len(record.Value) > 0)
	}
}

// setEvacuated sets whether a failure domain is evacuated and passes the whole set to
// the endpoint table. With an empty domain and false, it only passes the set.
func (s *operatorSink) setEvacuated(domain spool.FailureDomain, evacuated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[spool.FailureDomain]bool{}
	for known := range s.evacuated {
		next[known] = true
	}
	delete(next, domain)
	if evacuated {
		next[domain] = true
	}
	s.evacuated = next
	s.gateway.endpointTable.SetEvacuated(next)
}

func (s *operatorSink) confirm(sentAt clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt, s.hasRead = max(s.confirmedAt, sentAt), true
}

// unconfirmedFor returns the time since the newest read of the operator topic was sent;
// 0 before the first one.
func (s *operatorSink) unconfirmedFor() clock.Millis {
	confirmedAt, hasRead := s.confirmed()
	if !hasRead {
		return 0
	}
	return s.bootClock.Now() - confirmedAt
}

// confirmed returns when the newest read of the operator topic was sent, and whether
// there has been one.
func (s *operatorSink) confirmed() (clock.Millis, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmedAt, s.hasRead
}

// maxClockDifference bounds how far the clock of an endpoint may be ahead of that of this
// VM. It is long, because a clock that is wrong by hours must not end all service.
const maxClockDifference = 24 * clock.Hour

// endpointSink applies the records of the endpoint topic to the endpoint table.
type endpointSink struct {
	gateway *Gateway
	log     *zap.Logger
}

var _ sink = (*endpointSink)(nil)

func (s *endpointSink) reset(records []spool.KeyedRecord) {
	ids := map[spool.EndpointID]bool{}
	for _, record := range records {
		if len(record.Value) == 0 {
			continue
		}
		ids[spool.EndpointID(record.Key)] = true
		s.apply(record)
	}
	s.gateway.endpointTable.DropMissing(s.updateStoreState(), ids)
	s.gateway.endpointsRead.Store(true)
	s.gateway.updateStartup()
}

// updateStoreState tells the endpoint table whether the store is unavailable, and
// returns the present time.
func (s *endpointSink) updateStoreState() clock.Millis {
	now := s.gateway.clock.Now()
	s.gateway.endpointTable.SetStoreUnavailable(now, s.gateway.health.isUnavailable())
	return now
}

func (s *endpointSink) apply(record spool.KeyedRecord) {
	defer ignorePanickingRecord(s.log, record)
	now := s.updateStoreState()
	if len(record.Value) == 0 {
		s.log.Info("endpoint's record is gone", zap.String("endpoint", record.Key))
		s.gateway.endpointTable.Drop(now, spool.EndpointID(record.Key))
		return
	}
	endpoint, err := s.decode(now, record)
	if err != nil {
		// The record takes the place of earlier ones and names no endpoint.
		s.log.Warn("malformed endpoint record, the endpoint is not used", zap.Error(err))
		s.gateway.endpointTable.Drop(now, spool.EndpointID(record.Key))
		return
	}
	if s.gateway.endpointTable.Put(now, endpoint) {
		s.log.Info("endpoint changes", zap.String("endpoint", record.Key), zap.String("service", string(endpoint.Service)),
			zap.Bool("draining", endpoint.Draining), zap.Int64("coldMs", int64(endpoint.ColdFor)))
	}
}

// decode decodes a record. It fails if the endpoint claims to have started in the future,
// since its later records would be taken for earlier ones.
func (s *endpointSink) decode(now clock.Millis, record spool.KeyedRecord) (endpoint spool.EndpointRecord, err error) {
	endpoint, err = s.gateway.codec.DecodeEndpoint(record.Key, record.Value)
	if err == nil && endpoint.StartedAt > now+maxClockDifference {
		err = errors.Errorf("endpoint %q starts %d ms in the future", record.Key, endpoint.StartedAt-now)
	}
	return endpoint, err
}

func (s *endpointSink) confirm(clock.Millis) { s.updateStoreState() }
