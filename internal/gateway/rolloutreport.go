package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/rollout"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// methodRollout reports to the controller of a rollout and requests grants from it.
	methodRollout = "gateway.rollout"
	// rolloutTimeout bounds one call of methodRollout.
	rolloutTimeout = 300 * clock.Millis(1)
	// rolloutTick is the time between two decisions of a controller.
	rolloutTick = 100 * clock.Millis(1)
)

// errNotRolloutOwner means that this gateway may not control rollouts, or does not know the
// order, or that no gateway is known to control them.
var errNotRolloutOwner = errors.New("rollout is controlled by another gateway")

// handlers returns the handler of methodRollout.
func (t *rolloutTable) handlers() wire.Mux {
	if t == nil {
		return nil
	}
	return wire.Mux{
		methodRollout: wire.Handle(func(_ context.Context, report rollout.Report, _ wire.Send) (any, error) {
			return t.handle(report)
		}),
	}
}

// run reports and controls until ctx ends. Without a rollout it only looks at the list of
// services.
func (t *rolloutTable) run(ctx context.Context) {
	if t == nil {
		return
	}
	defer t.calls.Wait()
	ticker := time.NewTicker(rolloutTick.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		t.mu.Lock()
		for name, s := range t.services {
			t.logPhaseLocked(name, s)
			t.startReportLocked(ctx, s)
			t.controlLocked(ctx, name, s)
		}
		t.mu.Unlock()
	}
}

// startReportLocked sends a report if one is due. The caller holds mu.
func (t *rolloutTable) startReportLocked(ctx context.Context, s *serviceRollout) {
	now := t.bootClock.Now()
	if s.order == nil || s.isAsking || s.holder.Phase().IsFinal() {
		return
	}
	isDue := now-s.askedAt >= rollout.AskInterval-rolloutTick/2 || s.holder.IsPaused(now)
	if !isDue {
		return
	}
	s.isAsking, s.askedAt = true, now
	holder, report := s.holder, t.reportLocked(s, now)
	t.calls.Add(1)
	go func() {
		defer t.calls.Done()
		reply, err := t.send(ctx, report)
		t.endReport(s, holder, report.Sequence, now, reply, err)
		t.onReported()
	}()
}

// endReport takes in the result of a report that was sent at sentAt.
func (t *rolloutTable) endReport(s *serviceRollout, holder *rollout.Holder, sequence int64, sentAt clock.Millis, reply rollout.Reply, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.isAsking = false
	switch {
	case err == nil:
		holder.Apply(sentAt, sequence, reply)
	case t.hasMembers:
		// Before the first read of the member topic, the phase may be a later one.
		holder.ReportFailed(sentAt)
	}
}

// reportLocked returns the next report. The caller holds mu.
func (t *rolloutTable) reportLocked(s *serviceRollout, now clock.Millis) rollout.Report {
	report := s.holder.Report(now)
	inFlight := int64(0)
	for version, count := range s.inFlight {
		if version != s.order.To {
			inFlight += count
		}
	}
	report.OldInFlight = max(report.OldInFlight, inFlight)
	return report
}

// send passes a report on to the controller: here, or on the gateway that owns the pools.
func (t *rolloutTable) send(ctx context.Context, report rollout.Report) (reply rollout.Reply, err error) {
	node, address, known := t.poolOwnership.OwnerOf(spool.ProgramStream(0))
	switch {
	case !known:
		return reply, errNotRolloutOwner
	case node == t.poolOwnership.self.Node:
		return t.handle(report)
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout.Duration())
	defer cancel()
	err = t.call(ctx, address, methodRollout, report, &reply)
	return reply, err
}

// logPhaseLocked logs a new phase of this gateway. The caller holds mu.
func (t *rolloutTable) logPhaseLocked(name spool.ServiceName, s *serviceRollout) {
	if s.holder == nil || s.holder.Phase() == s.phase {
		return
	}
	s.phase = s.holder.Phase()
	t.log.Info("rollout phase is in force here", zap.String("service", string(name)), zap.String("to", s.holder.Order().To), zap.String("phase", string(s.phase)))
}
