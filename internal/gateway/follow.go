package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// operatorWait is how long a read of the operator's topic waits for a change.
	// It also bounds the time in which a silent connection is noticed.
	operatorWait = clock.Second
	// endpointInterval is the time between two reads of the endpoints' records.
	endpointInterval = 400 * clock.Millis(1)
	// memberInterval is the time between two reads of the gateways' records.
	memberInterval = clock.Second
	// memberBeat is the time between two writes of this gateway's record.
	memberBeat = 2 * clock.Second
	// memberLife is how long a gateway counts after its last record.
	memberLife = 8 * clock.Second
	// callTimeout bounds one call to the store beyond the time that it may wait.
	callTimeout = 700 * clock.Millis(1)
	// retryPause is the time between two tries of a failed call.
	retryPause = 150 * clock.Millis(1)
)

// follower mirrors a topic that keeps the newest record of each key.
type follower struct {
	store    spool.Store
	topic    spool.Topic
	wait     clock.Millis
	interval clock.Millis
	// reset takes all records in; the topic holds no others.
	reset func(records []spool.KeyedRecord)
	// change takes one record in; an empty value drops the key.
	change func(key string, value []byte)
	log    *zap.Logger
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		next, err := f.load(ctx)
		if err != nil {
			clock.Pause(ctx, retryPause)
			continue
		}
		f.follow(ctx, next)
	}
}

func (f *follower) load(ctx context.Context) (next int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, (2 * callTimeout).Duration())
	defer cancel()
	records, end, err := f.store.Newest(ctx, f.topic)
	if err != nil {
		return 0, err
	}
	f.reset(records)
	return end, nil
}

// follow reads changes until the log no longer holds what comes next.
func (f *follower) follow(ctx context.Context, next int64) {
	partition := spool.Partition{Topic: f.topic}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, (f.wait + callTimeout).Duration())
		page, err := f.store.Read(callCtx, partition, next, f.wait)
		cancel()
		if errors.Is(err, spool.ErrTrimmed) {
			f.log.Warn("log was trimmed, reading it anew", zap.String("topic", string(f.topic)), zap.Int64("next", next))
			return
		}
		if err != nil {
			clock.Pause(ctx, retryPause)
			continue
		}
		if page.End < next {
			// The log was made anew.
			return
		}
		for _, record := range page.Records {
			f.apply(record)
		}
		next += int64(len(page.Records))
		clock.Pause(ctx, f.interval)
	}
}

func (f *follower) apply(record []byte) {
	key, value, ok := f.store.SplitKeyed(record)
	if !ok {
		f.log.Warn("record without a key is left out", zap.String("topic", string(f.topic)))
		return
	}
	f.change(key, value)
}

// sharedState mirrors what operators, endpoints and gateways write to the store.
type sharedState struct {
	gateway *Gateway
	store   spool.Store
	log     *zap.Logger

	mu        sync.Mutex
	evacuated map[spool.FailureDomain]bool
	members   map[spool.NodeID]member
}

// member is a gateway as its record describes it.
type member struct {
	record memberRecord
	// seenAt is the own clock at the last change of the record.
	seenAt clock.Millis
}

// memberRecord is what a gateway writes about itself.
type memberRecord struct {
	FailureDomain spool.FailureDomain `json:"failureDomain"`
	Address       string              `json:"address"`
	// StartedAt tells the lifetimes of a process apart.
	StartedAt clock.Millis `json:"startedAtMs"`
	Beat      int64        `json:"beat"`
}

func newSharedState(g *Gateway, store spool.Store) *sharedState {
	return &sharedState{
		gateway: g, store: store, log: g.log,
		evacuated: map[spool.FailureDomain]bool{}, members: map[spool.NodeID]member{},
	}
}

func (s *sharedState) run(ctx context.Context) {
	var wg sync.WaitGroup
	followers := []*follower{
		{topic: spool.TopicOperator, wait: operatorWait, reset: s.resetOperator, change: s.changeOperator},
		{topic: spool.TopicEndpoints, interval: endpointInterval, reset: s.resetEndpoints, change: s.changeEndpoint},
		{topic: spool.TopicMembers, interval: memberInterval, reset: s.resetMembers, change: s.changeMember},
	}
	for _, f := range followers {
		f.store, f.log = s.store, s.log
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.run(ctx)
		}()
	}
	s.beat(ctx)
	wg.Wait()
}

func (s *sharedState) resetOperator(records []spool.KeyedRecord) {
	evacuated := map[spool.FailureDomain]bool{}
	for _, record := range records {
		change, err := s.gateway.codec.DecodeOperator(record.Key, record.Value)
		switch {
		case err != nil:
			s.log.Warn("operator's record is left out", zap.String("key", record.Key), zap.Error(err))
		case change.Catalog != nil:
			s.gateway.install(change.Catalog)
		case change.Evacuated != "" && len(record.Value) > 0:
			evacuated[change.Evacuated] = true
		}
	}
	s.setEvacuated(evacuated)
}

func (s *sharedState) changeOperator(key string, value []byte) {
	change, err := s.gateway.codec.DecodeOperator(key, value)
	switch {
	case err != nil:
		s.log.Warn("operator's record is left out", zap.String("key", key), zap.Error(err))
	case change.Catalog != nil:
		s.gateway.install(change.Catalog)
	case change.Evacuated != "":
		s.log.Info("evacuation changes", zap.String("failureDomain", string(change.Evacuated)), zap.Bool("evacuated", len(value) > 0))
		s.mu.Lock()
		evacuated := map[spool.FailureDomain]bool{}
		for domain := range s.evacuated {
			evacuated[domain] = true
		}
		s.mu.Unlock()
		delete(evacuated, change.Evacuated)
		if len(value) > 0 {
			evacuated[change.Evacuated] = true
		}
		s.setEvacuated(evacuated)
	}
}

func (s *sharedState) setEvacuated(evacuated map[spool.FailureDomain]bool) {
	s.mu.Lock()
	s.evacuated = evacuated
	s.mu.Unlock()
	s.gateway.table.SetEvacuated(evacuated)
}

func (s *sharedState) resetEndpoints(records []spool.KeyedRecord) {
	now := s.gateway.clock.Now()
	s.gateway.table.StoreAway(now, s.gateway.health.isAway())
	ids := map[spool.EndpointID]bool{}
	for _, record := range records {
		if len(record.Value) == 0 {
			continue
		}
		ids[spool.EndpointID(record.Key)] = true
		s.changeEndpoint(record.Key, record.Value)
	}
	s.gateway.table.Keep(now, ids)
}

func (s *sharedState) changeEndpoint(key string, value []byte) {
	now := s.gateway.clock.Now()
	s.gateway.table.StoreAway(now, s.gateway.health.isAway())
	if len(value) == 0 {
		s.log.Info("endpoint's record is gone", zap.String("endpoint", key))
		s.gateway.table.Drop(now, spool.EndpointID(key))
		return
	}
	record, err := s.gateway.codec.DecodeEndpoint(key, value)
	if err != nil {
		s.log.Warn("endpoint's record is left out", zap.Error(err))
		return
	}
	if s.gateway.table.Put(now, record) {
		s.log.Info("endpoint changes", zap.String("endpoint", key), zap.String("service", string(record.Service)),
			zap.Bool("draining", record.Draining), zap.Int64("coldMs", int64(record.ColdFor)))
	}
}

func (s *sharedState) resetMembers(records []spool.KeyedRecord) {
	for _, record := range records {
		s.changeMember(record.Key, record.Value)
	}
}

func (s *sharedState) changeMember(key string, value []byte) {
	var record memberRecord
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(value) == 0 {
		delete(s.members, spool.NodeID(key))
		return
	}
	if err := json.Unmarshal(value, &record); err != nil {
		s.log.Warn("gateway's record is left out", zap.String("gateway", key), zap.Error(err))
		return
	}
	s.members[spool.NodeID(key)] = member{record: record, seenAt: s.gateway.clock.Now()}
}

// beat writes this gateway's record and counts the others.
func (s *sharedState) beat(ctx context.Context) {
	startedAt := clock.Millis(time.Now().UnixMilli())
	for beat := int64(1); ctx.Err() == nil; beat++ {
		record, err := json.Marshal(memberRecord{
			FailureDomain: s.gateway.settings.FailureDomain, Address: s.gateway.settings.ControlListen,
			StartedAt: startedAt, Beat: beat,
		})
		if err == nil {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
			err = s.store.AppendKeyed(callCtx, spool.TopicMembers, string(s.gateway.settings.Node), record)
			cancel()
		}
		if err != nil && ctx.Err() == nil {
			s.log.Debug("own record was not written", zap.Error(err))
		}
		s.gateway.table.SetGateways(s.countMembers())
		s.gateway.limits.setGateways(s.countMembers())
		clock.Pause(ctx, memberBeat)
	}
}

// countMembers returns the number of gateways that may be running, at least 1.
func (s *sharedState) countMembers() int {
	now := s.gateway.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for id, member := range s.members {
		if id != s.gateway.settings.Node && now-member.seenAt > memberLife {
			continue
		}
		count++
	}
	return max(1, count)
}
