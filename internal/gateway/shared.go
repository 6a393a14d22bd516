package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// operatorPollWait is how long a read of the operator topic waits for a change. It
	// also bounds the time until a dead connection is noticed.
	operatorPollWait = clock.Second
	// endpointInterval is the time between two reads of the endpoint records.
	endpointInterval = 400 * clock.Millis(1)
	// memberInterval is the time between two reads of the gateway records.
	memberInterval = 500 * clock.Millis(1)
	// claimInterval is the time between two checks of the claim on the limit pools.
	claimInterval = 150 * clock.Millis(1)
	// gatewaysPerIntervalStep is the number of gateways for which the poll interval is
	// lengthened by its base value once more, up to maxIntervalFactor times the base
	// value. The longest interval must stay below the time within which a leaving
	// endpoint has to stop receiving requests.
	gatewaysPerIntervalStep = 100
	maxIntervalFactor       = 3
)

// sharedState mirrors the records that operators, endpoints and gateways write to the
// store.
type sharedState struct {
	gateway     *Gateway
	store       spool.Store
	log         *zap.Logger
	members     *memberTable
	operator    *operatorSink
	followers   []*follower
	incarnation string
	// heartbeats numbers this gateway's own records. leaving is set when the gateway
	// shuts down.
	heartbeats atomic.Int64
	leaving    atomic.Bool
	// gatewayCount is the number of gateways in the deployment.
	gatewayCount atomic.Int64
	// backgroundQueries tracks the queries started by startQuery.
	backgroundQueries sync.WaitGroup
}

func newSharedState(g *Gateway, store spool.Store, incarnation string, members *memberTable, bootClock clock.Clock) *sharedState {
	s := &sharedState{gateway: g, store: store, log: g.log, members: members, incarnation: incarnation}
	s.operator = &operatorSink{gateway: g, log: g.log, evacuated: map[spool.FailureDomain]bool{}}
	s.followers = []*follower{
		{topic: spool.TopicOperator, pollWait: operatorPollWait, sink: s.operator},
		{topic: spool.TopicEndpoints, pollInterval: endpointInterval, sink: &endpointSink{gateway: g, log: g.log}},
		{topic: spool.TopicMembers, pollInterval: memberInterval, sink: members},
	}
	for _, f := range s.followers {
		f.store, f.bootClock, f.log, f.readFromPeer, f.intervalFactor = store, bootClock, g.log, s.readFromPeer, s.intervalFactor
		f.records, f.next, f.pollRequested = map[string]spool.KeyedRecord{}, -1, make(chan struct{}, 1)
		if f.topic == spool.TopicMembers {
			members.owner.readPosition, members.owner.pollMembers = f.position, f.pollNow
		}
	}
	return s
}

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

// age returns the age of the configuration or of the member records, whichever is
// older; negative before both are known.
func (s *sharedState) age(now clock.Millis) clock.Millis {
	members, known := s.members.confirmed()
	operator, read := s.operator.confirmed()
	if !known || !read {
		return -1
	}
	return max(0, now-min(members, operator))
}

// intervalFactor returns the factor by which the poll interval grows with the number
// of gateways, so that the reads of all gateways stay within the capacity of the
// store. The owner of the limit pools always polls at the base interval, because its
// reads confirm its authority to grant.
func (s *sharedState) intervalFactor() clock.Millis {
	if s.members.owner.isOwner() {
		return 1
	}
	return clock.Millis(min(maxIntervalFactor, 1+s.gatewayCount.Load()/gatewaysPerIntervalStep))
}

// runHeartbeat writes this gateway's record every heartbeatInterval.
func (s *sharedState) runHeartbeat(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.writeMemberRecord(ctx)
		if err != nil && ctx.Err() == nil {
			s.log.Debug("member record of this gateway was not written", zap.Error(err))
		}
		clock.Pause(ctx, heartbeatInterval)
	}
}

func (s *sharedState) writeMemberRecord(ctx context.Context) error {
	record, err := json.Marshal(memberRecord{
		FailureDomain: s.gateway.settings.FailureDomain, Address: s.gateway.settings.ControlListen,
		Incarnation: s.incarnation, Heartbeat: s.heartbeats.Add(1), Leaving: s.leaving.Load(),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	return s.store.AppendKeyed(ctx, spool.TopicMembers, memberKeyPrefix+string(s.gateway.settings.Node), record)
}

// runPoolOwnership passes membership changes on to the limiter and the endpoint table,
// keeps in contact with the owner of the limit pools, and claims the pools when nobody
// owns them.
func (s *sharedState) runPoolOwnership(ctx context.Context) {
	var view []spool.NodeID
	var probing, requestingVotes atomic.Bool
	first := true
	timer := time.NewTimer(memberInterval.Duration())
	defer timer.Stop()
	for ctx.Err() == nil {
		if _, known := s.members.confirmed(); known {
			members := s.members.seenWithin(memberViewTimeout)
			if first || !slices.Equal(view, members) {
				s.gateway.limits.setMembers(members, first && (s.members.isResumed() || s.gateway.settings.FirstStart), false)
				s.gateway.endpointTable.SetGatewayCount(len(members))
				s.gatewayCount.Store(int64(len(members)))
				view, first = members, false
			}
			s.startQuery(ctx, &requestingVotes, s.gateway.limits.owner.requestVotes)
			s.startQuery(ctx, &probing, s.gateway.limits.owner.probe)
			s.gateway.limits.owner.claimIfVacant(ctx, s.members.liveMembers())
		}
		timer.Reset(claimInterval.Duration())
		select {
		case <-timer.C:
		case <-s.gateway.limits.owner.wake:
		case <-ctx.Done():
		}
	}
}

// startQuery runs query in the background, unless the previous run of the same query
// has not ended.
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

// operatorSink applies the records that operators write.
type operatorSink struct {
	gateway *Gateway
	log     *zap.Logger

	mu          sync.Mutex
	evacuated   map[spool.FailureDomain]bool
	confirmedAt clock.Millis
	hasRead     bool
}

var _ sink = (*operatorSink)(nil)

func (s *operatorSink) reset(records []spool.KeyedRecord) {
	s.mu.Lock()
	s.evacuated = map[spool.FailureDomain]bool{}
	s.mu.Unlock()
	for _, record := range records {
		s.apply(record)
	}
	s.setEvacuated("", false)
}

func (s *operatorSink) apply(record spool.KeyedRecord) {
	change, err := s.gateway.codec.DecodeOperator(record.Key, record.Value)
	switch {
	case err != nil:
		s.log.Warn("malformed operator record was ignored", zap.String("key", record.Key), zap.Error(err))
	case change.Catalog != nil:
		s.gateway.install(change.Catalog)
	case change.EvacuationDomain != "":
		s.log.Info("evacuation changes", zap.String("failureDomain", string(change.EvacuationDomain)), zap.Bool("evacuated", len(record.Value) > 0))
		s.setEvacuated(change.EvacuationDomain, len(record.Value) > 0)
	}
}

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

func (s *operatorSink) confirmed() (clock.Millis, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmedAt, s.hasRead
}

// endpointSink applies the records that endpoints write.
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
}

func (s *endpointSink) updateStoreState() clock.Millis {
	now := s.gateway.clock.Now()
	s.gateway.endpointTable.SetStoreUnavailable(now, s.gateway.health.isUnavailable())
	return now
}

func (s *endpointSink) apply(record spool.KeyedRecord) {
	now := s.updateStoreState()
	if len(record.Value) == 0 {
		s.log.Info("endpoint's record is gone", zap.String("endpoint", record.Key))
		s.gateway.endpointTable.Drop(now, spool.EndpointID(record.Key))
		return
	}
	endpoint, err := s.gateway.codec.DecodeEndpoint(record.Key, record.Value)
	if err != nil {
		s.log.Warn("malformed endpoint record was ignored", zap.Error(err))
		return
	}
	if s.gateway.endpointTable.Put(now, endpoint) {
		s.log.Info("endpoint changes", zap.String("endpoint", record.Key), zap.String("service", string(endpoint.Service)),
			zap.Bool("draining", endpoint.Draining), zap.Int64("coldMs", int64(endpoint.ColdFor)))
	}
}

func (s *endpointSink) confirm(clock.Millis) { s.updateStoreState() }
