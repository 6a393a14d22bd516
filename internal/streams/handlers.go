package streams

import (
	"context"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/journal"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Handlers returns the handlers of the methods that this entry serves to other
// entries.
func (m *Manager) Handlers() wire.Mux {
	return wire.Mux{
		wire.MethodHeartbeat:    queryHandler(m, (*controller).handleHeartbeat),
		wire.MethodProbe:        wire.Handle(m.handleProbe),
		wire.MethodHandover:     queryHandler(m, (*controller).handleHandover),
		wire.MethodReplicate:    queryHandler(m, (*controller).handleReplicate),
		wire.MethodFence:        queryHandler(m, (*controller).handleFence),
		wire.MethodReplicaLease: queryHandler(m, (*controller).handleLeaseRequest),
		wire.MethodDiscard:      queryHandler(m, (*controller).handleDiscard),
	}
}

// handleReplicate stores units of another owner as a replica.
func (c *controller) handleReplicate(_ clock.Millis, request wire.ReplicateRequest) (reply wire.ReplicateReply, err error) {
	units, err := journal.DecodeUnits(request.Batch.Records)
	if err != nil {
		return reply, spool.Refuse(spool.CodeBadRequest, "%v", err)
	}
	if err := c.replicas.Store(request.Stream, request.Epoch, request.Committed, units); err != nil {
		return reply, c.replicaRefusal(err)
	}
	reply.Incarnation = c.replicas.Incarnation()
	if len(units) > 0 {
		reply.LastContiguous = units[len(units)-1].Sequence
	}
	return reply, nil
}

// handleFence fences the lower epochs of a stream for a new owner and returns the
// units that this node stores.
func (c *controller) handleFence(now clock.Millis, request wire.FenceRequest) (reply wire.FenceReply, err error) {
	s, ok := c.ensureStream(request.Stream)
	if !ok {
		return reply, spool.Refuse(spool.CodeBadRequest, "stream %q does not exist", request.Stream)
	}
	// A journal that loses its stream to the fence request retains its units in the
	// replica store, from which the reply is built.
	c.executeJournal(s, s.journal.HandleFence(now, request.Epoch))
	fenceReply, err := c.replicas.FenceBelow(now, request.Stream, request.Epoch)
	if err != nil {
		return reply, c.replicaRefusal(err)
	}
	reply.Incarnation = fenceReply.Incarnation
	if units := fenceReply.Units; len(units) > 0 {
		reply.Batches = []spool.Batch{{ID: units[0].Batch.ID, Epoch: request.Epoch, Records: journal.EncodeUnits(units)}}
	}
	return reply, nil
}

// handleDiscard discards the copies of lower epochs, which are on the log.
func (c *controller) handleDiscard(_ clock.Millis, request wire.DiscardRequest) (struct{}, error) {
	c.replicas.Discard(request.Stream, request.Epoch)
	return struct{}{}, nil
}

// replicaRefusal converts an error of the replica store to a refusal.
func (c *controller) replicaRefusal(err error) error {
	if isFenced(err) {
		return spool.Refuse(spool.CodeFenced, "%v", err)
	}
	if errors.Is(err, journal.ErrLeaseActive) {
		return spool.Refuse(spool.CodeConflict, "%v", err)
	}
	return spool.Refuse(spool.CodeOverloaded, "%v", err).WithRetryAfter(clock.Second)
}

func (c *controller) handleHeartbeat(now clock.Millis, request wire.HeartbeatRequest) (reply wire.HeartbeatReply, err error) {
	c.membership.RecordMessage(request.Node, request.Leaving)
	c.learnOwners(now, request.Node, request.Owned, request.Changes)
	heartbeat := c.newHeartbeat(now)
	return wire.HeartbeatReply{
		Node: heartbeat.Node, ControlOffset: heartbeat.ControlOffset, Owned: heartbeat.Owned,
		Leaving: heartbeat.Leaving, Changes: heartbeat.Changes,
	}, nil
}

// handleProbe sends a heartbeat to another entry on behalf of the requesting entry and
// reports whether that entry answered.
func (m *Manager) handleProbe(ctx context.Context, request wire.ProbeRequest, _ wire.Send) (any, error) {
	heartbeat, err := runQuery(ctx, m, struct{}{}, func(c *controller, now clock.Millis, _ struct{}) (wire.HeartbeatRequest, error) {
		return c.newHeartbeat(now), nil
	})
	if err != nil {
		return nil, err
	}
	// The requesting entry waits for PeerTimeout, so the heartbeat gets a shorter
	// timeout.
	ctx, cancel := context.WithTimeout(ctx, (m.config.PeerTimeout * 2 / 3).Duration())
	defer cancel()
	var reply wire.HeartbeatReply
	err = m.caller.Call(ctx, request.Address, wire.MethodHeartbeat, heartbeat, &reply, nil)
	return wire.ProbeReply{Alive: err == nil && reply.Node == request.Node}, nil
}

// handleHandover answers an entry that requests a stream of this one. It starts the
// release of the stream if the membership view grants the request.
func (c *controller) handleHandover(now clock.Millis, request wire.HandoverRequest) (none struct{}, err error) {
	s, ok := c.ensureStream(request.Stream)
	if !ok {
		return none, spool.Refuse(spool.CodeBadRequest, "stream %q does not exist", request.Stream)
	}
	c.membership.RecordMessage(request.To, false)
	if !s.journal.Serving() {
		return none, spool.Refuse(spool.CodeNotOwner, "this entry does not own stream %s", request.Stream)
	}
	if !c.membership.GrantHandover(now, s.index, request.To) {
		return none, spool.Refuse(spool.CodeConflict, "stream %s stays here for now", request.Stream).
			WithRetryAfter(c.manager.config.HandoverEvery)
	}
	c.releaseStream(now, s)
	return none, nil
}

// releaseStream starts the release of a stream. The published state is updated before
// the release is appended, so that Confirmed no longer relies on leases of replicas:
// they do not bind the next owner, which asks no replica after a release.
func (c *controller) releaseStream(now clock.Millis, s *streamState) {
	commands := s.journal.ReleaseStream(now)
	c.publish()
	c.executeJournal(s, commands)
}
