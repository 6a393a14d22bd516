package streams

import (
	"context"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/journal"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Handlers returns the methods that this entry answers to others.
func (m *Manager) Handlers() wire.Mux {
	return wire.Mux{
		wire.MethodHeartbeat: handler(m, (*control).handleHeartbeat),
		wire.MethodProbe:     wire.Handle(m.handleProbe),
		wire.MethodHandover:  handler(m, (*control).handleHandover),
		wire.MethodHold:      handler(m, (*control).handleHold),
		wire.MethodSeal:      handler(m, (*control).handleSeal),
		wire.MethodPromise:   handler(m, (*control).handlePromise),
		wire.MethodRelease:   handler(m, (*control).handleRelease),
	}
}

func (c *control) handleHold(_ clock.Millis, request wire.HoldRequest) (reply wire.HoldReply, err error) {
	units, err := journal.DecodeUnits(request.Batch.Records)
	if err != nil {
		return reply, spool.Refuse(spool.CodeBadRequest, "%v", err)
	}
	if err := c.holder.Hold(request.Stream, request.Epoch, request.Committed, units); err != nil {
		return reply, c.refusal(err)
	}
	reply.Incarnation = c.holder.Incarnation()
	if len(units) > 0 {
		reply.Held = units[len(units)-1].Sequence
	}
	return reply, nil
}

func (c *control) handleSeal(now clock.Millis, request wire.SealRequest) (reply wire.SealReply, err error) {
	s, ok := c.stream(request.Stream)
	if !ok {
		return reply, spool.Refuse(spool.CodeBadRequest, "stream %q does not exist", request.Stream)
	}
	// A journal that is sealed retains its units in the holder.
	c.execute(s, s.journal.Sealed(now, request.Epoch))
	answer, err := c.holder.Seal(now, request.Stream, request.Epoch)
	if err != nil {
		return reply, c.refusal(err)
	}
	reply.Incarnation = answer.Incarnation
	if units := answer.Units; len(units) > 0 {
		reply.Batches = []spool.Batch{{ID: units[0].Batch.ID, Epoch: request.Epoch, Records: journal.EncodeUnits(units)}}
	}
	return reply, nil
}

func (c *control) handleRelease(_ clock.Millis, request wire.ReleaseRequest) (struct{}, error) {
	c.holder.Release(request.Stream, request.Epoch)
	return struct{}{}, nil
}

func (c *control) refusal(err error) error {
	if isFenced(err) {
		return spool.Refuse(spool.CodeFenced, "%v", err)
	}
	if errors.Is(err, journal.ErrPromised) {
		return spool.Refuse(spool.CodeConflict, "%v", err)
	}
	return spool.Refuse(spool.CodeOverloaded, "%v", err).WithRetryAfter(clock.Second)
}

func (c *control) handleHeartbeat(now clock.Millis, request wire.HeartbeatRequest) (reply wire.HeartbeatReply, err error) {
	c.view.Heard(request.Node, request.Leaving)
	c.learn(now, request.Node, request.Owned, request.Changes)
	own := c.heartbeat(now)
	return wire.HeartbeatReply{
		Node: own.Node, ControlOffset: own.ControlOffset, Owned: own.Owned,
		Leaving: own.Leaving, Changes: own.Changes,
	}, nil
}

// handleProbe tries to reach a third member with a heartbeat.
func (m *Manager) handleProbe(ctx context.Context, request wire.ProbeRequest, _ wire.Send) (any, error) {
	heartbeat, err := ask(ctx, m, struct{}{}, func(c *control, now clock.Millis, _ struct{}) (wire.HeartbeatRequest, error) {
		return c.heartbeat(now), nil
	})
	if err != nil {
		return nil, err
	}
	// The asking member waits for a whole PeerTimeout, so this has to be quicker.
	ctx, cancel := context.WithTimeout(ctx, (m.config.PeerTimeout * 2 / 3).Duration())
	defer cancel()
	var reply wire.HeartbeatReply
	err = m.caller.Call(ctx, request.Address, wire.MethodHeartbeat, heartbeat, &reply, nil)
	return wire.ProbeReply{Alive: err == nil && reply.Node == request.Node}, nil
}

func (c *control) handleHandover(now clock.Millis, request wire.HandoverRequest) (none struct{}, err error) {
	s, ok := c.stream(request.Stream)
	if !ok {
		return none, spool.Refuse(spool.CodeBadRequest, "stream %q does not exist", request.Stream)
	}
	c.view.Heard(request.To, false)
	if !s.journal.Serving() {
		return none, spool.Refuse(spool.CodeNotOwner, "this entry does not own stream %s", request.Stream)
	}
	if !c.view.Grant(now, s.index, request.To) {
		return none, spool.Refuse(spool.CodeConflict, "stream %s stays here for now", request.Stream).
			WithRetryAfter(c.m.config.HandoverEvery)
	}
	c.handOver(now, s)
	return none, nil
}

// handOver starts the release of a stream. Promises that it was confirmed by end
// for every reader before the release is appended.
func (c *control) handOver(now clock.Millis, s *streamState) {
	commands := s.journal.HandOver(now)
	c.publish()
	c.execute(s, commands)
}
