package gateway

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/rollout"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// rolloutLogInterval is the time between two lines with the evidence of a rollout.
	rolloutLogInterval = 2 * clock.Second
	// rolloutWriteTries bounds the tries to write a record while other gateways write to
	// the member topic.
	rolloutWriteTries = 6
)

// errOwnerChanged means that the member topic contains a claim that this gateway has not
// applied yet.
var errOwnerChanged = errors.New("another gateway has claimed the pools")

// handle answers a report if this gateway controls the rollout.
func (t *rolloutTable) handle(report rollout.Report) (reply rollout.Reply, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[report.Service]
	if s == nil || !t.controlsLocked(s) || s.controller.Order().Offset != report.Order {
		return reply, errNotRolloutOwner
	}
	reply = s.controller.Ask(t.bootClock.Now(), report, true)
	t.telemetry.CountEvents("rolloutGranted", max(0, reply.Ceiling-report.Ceiling))
	t.logControllerLocked(report.Service, s)
	return reply, nil
}

// controlsLocked reports whether this gateway may control the rollout of a service at
// present, and creates the controller if there is none. A gateway that owns the pools has
// applied all records that earlier owners could write: a claim is written, like the records,
// only if its writer has read the whole topic. The caller holds mu.
func (t *rolloutTable) controlsLocked(s *serviceRollout) bool {
	epoch, ok := t.poolOwnership.Epoch(spool.ProgramStream(0))
	confirmedAt, _ := t.poolOwnership.ConfirmedUntil(spool.ProgramStream(0))
	now := t.bootClock.Now()
	if !ok || now >= confirmedAt+ownerAuthority || !t.hasMembers {
		return false
	}
	if s.epoch != epoch {
		s.controller, s.epoch = nil, epoch
	}
	if s.controller != nil {
		return true
	}
	order, age := t.orderLocked(s, now)
	if order == nil {
		return false
	}
	s.controller = rollout.NewController(now, rollout.NewConfig(t.settings.Rollout), *order, s.record, age, now-s.recordAt)
	s.loggedPhase = ""
	return true
}

// orderLocked returns the order that needs a controller, and its age: the newest one, or one
// that was withdrawn before its end. The caller holds mu.
func (t *rolloutTable) orderLocked(s *serviceRollout, now clock.Millis) (*rollout.Order, clock.Millis) {
	if s.order != nil {
		return s.order, now - s.orderedAt
	}
	if s.record == nil || s.record.Phase.IsFinal() {
		return nil, 0
	}
	return &rollout.Order{To: s.record.To, Duration: s.record.Duration, Offset: s.record.Order}, 0
}

// controlLocked lets the controller decide, and starts to write what it decides. The caller
// holds mu.
func (t *rolloutTable) controlLocked(ctx context.Context, name spool.ServiceName, s *serviceRollout) {
	if s.order == nil && s.controller == nil && s.record == nil || s.isWriting || !t.controlsLocked(s) {
		return
	}
	if s.order == nil {
		s.controller.Withdraw()
	}
	now, controller := t.bootClock.Now(), s.controller
	next := controller.Tick(now, t.surroundings(name, controller.Order().To))
	t.logControllerLocked(name, s)
	status, isDue := t.statusLocked(name, s)
	if next == nil && !isDue {
		return
	}
	s.isWriting = true
	t.calls.Add(1)
	go func() {
		defer t.calls.Done()
		if next != nil {
			t.writeRecord(ctx, name, s, controller, *next)
		} else {
			t.writeStatus(ctx, s, controller, status)
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		s.isWriting = false
	}()
}

// surroundings returns what the controller needs to know of endpoints and gateways.
func (t *rolloutTable) surroundings(name spool.ServiceName, to string) rollout.Surroundings {
	around := rollout.Surroundings{Live: t.liveMembers()}
	for _, candidate := range t.endpoints.Candidates(t.clock.Now(), name) {
		switch {
		case candidate.Version != to:
			around.Old++
		case candidate.IsCold:
			around.Cold++
		default:
			around.New++
		}
	}
	return around
}

// statusLocked returns the status for the written record, and whether it must be written.
// The caller holds mu.
func (t *rolloutTable) statusLocked(name spool.ServiceName, s *serviceRollout) (status spool.RolloutStatus, isDue bool) {
	record, ok := s.controller.Record()
	if !ok {
		return status, false
	}
	status = spool.RolloutStatus{Service: name, To: record.To, State: spool.RolloutActive}
	switch record.Phase {
	case rollout.Completed:
		status.State = spool.RolloutCompleted
	case rollout.RolledBack:
		status.State = spool.RolloutRolledBack
	case rollout.Trial, rollout.Shifting:
	}
	return status, s.status != status.State || s.statusOrder != record.Order
}

func (t *rolloutTable) writeRecord(ctx context.Context, name spool.ServiceName, s *serviceRollout, controller *rollout.Controller, record rollout.Record) {
	value, err := json.Marshal(record)
	if err == nil {
		err = t.write(ctx, rolloutKeyPrefix+string(name), value)
	}
	if err != nil {
		t.log.Warn("record of the rollout was not written", zap.String("service", string(name)), zap.Error(err))
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.bootClock.Now()
	controller.Written(now, record)
	if s.record == nil || s.record.Order <= record.Order {
		s.record, s.recordAt = &record, now
	}
	if s.controller == controller {
		t.logControllerLocked(name, s)
	}
}

func (t *rolloutTable) writeStatus(ctx context.Context, s *serviceRollout, controller *rollout.Controller, status spool.RolloutStatus) {
	key, value, err := t.codec.EncodeRolloutStatus(status)
	if err == nil {
		err = t.write(ctx, key, value)
	}
	if err != nil {
		t.log.Warn("status of the rollout was not written", zap.String("service", string(status.Service)), zap.Error(err))
		return
	}
	t.log.Info("status of the rollout was written", zap.String("service", string(status.Service)), zap.String("to", status.To), zap.String("state", string(status.State)))
	t.mu.Lock()
	defer t.mu.Unlock()
	s.status, s.statusOrder = status.State, controller.Order().Offset
}

// write writes a record to the member topic if no claim of another gateway precedes it. A
// record that is delayed on its way to the store has no effect, because the topic has then
// grown.
func (t *rolloutTable) write(ctx context.Context, key string, value []byte) (err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	for range rolloutWriteTries {
		from := t.poolOwnership.readPosition()
		page, readErr := t.store.Read(ctx, spool.ReadRequest{Partition: spool.Partition{Topic: spool.TopicMembers}, From: from})
		if readErr != nil {
			return readErr
		}
		for _, raw := range page.Records {
			if found, _, ok := t.store.SplitKeyed(raw); ok && found == ownerKey {
				t.pollMembers()
				return errOwnerChanged
			}
		}
		if end := from + int64(len(page.Records)); end != page.End {
			t.pollMembers()
			return errors.Errorf("topic was read up to %d of %d", end, page.End)
		}
		err = t.store.AppendKeyedAt(ctx, spool.TopicMembers, key, value, page.End)
		if !errors.Is(err, spool.ErrConditionFailed) {
			return err
		}
	}
	return err
}

// logControllerLocked logs and counts a new phase of the controller with the evidence, and
// the evidence in between. The caller holds mu.
func (t *rolloutTable) logControllerLocked(name spool.ServiceName, s *serviceRollout) {
	now, phase := t.bootClock.Now(), s.controller.Phase()
	isNew := phase != s.loggedPhase
	if !isNew && (phase.IsFinal() || now-s.loggedAt < rolloutLogInterval) {
		return
	}
	message := "rollout goes on"
	if isNew {
		message = "rollout enters a phase"
		t.telemetry.CountEvent("rolloutPhase." + string(phase))
	}
	s.loggedAt, s.loggedPhase = now, phase
	t.log.Info(message, zap.String("service", string(name)), zap.String("to", s.controller.Order().To), zap.String("phase", string(phase)),
		zap.String("reason", s.controller.Reason()), zap.String("evidence", s.controller.Evidence()))
}
