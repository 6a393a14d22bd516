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

// handleReplicate stores units of the owner of a stream as a replica, and discards the
// copies that are no longer needed. It refuses the request with CodeFenced if the
// replica store has seen a request with a higher epoch of the stream.
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

// handleFence makes this node refuse requests of all epochs of a stream below that of
// the new owner, and returns the units of these epochs that this node stores. While a
// lease of a lower epoch or the startup lease is active, it still fences these epochs
// but refuses the request, so that the new owner gets no units yet.
func (c *controller) handleFence(now clock.Millis, request wire.FenceRequest) (reply wire.FenceReply, err error) {
	s, ok := c.ensureStream(request.Stream)
	if !ok {
		return reply, spool.Refuse(spool.CodeBadRequest, "stream %q does not exist", request.Stream)
	}
	// If this node owns the stream, its journal gives up the stream here and passes its
	// units that are not on the log to the replica store, which returns them below.
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

// handleDiscard discards the copies of units with lower epochs than the one of the
// request, because these units are on the log.
func (c *controller) handleDiscard(_ clock.Millis, request wire.DiscardRequest) (struct{}, error) {
	c.replicas.Discard(request.Stream, request.Epoch)
	return struct{}{}, nil
}

// replicaRefusal converts an error of the replica store to a refusal: a fenced epoch to
// CodeFenced, an active lease to CodeConflict and any other error to CodeOverloaded.
func (c *controller) replicaRefusal(err error) error {
	if isFenced(err) {
		return spool.Refuse(spool.CodeFenced, "%v", err)
	}
	if errors.Is(err, journal.ErrLeaseActive) {
		return spool.Refuse(spool.CodeConflict, "%v", err)
	}
	return spool.Refuse(spool.CodeOverloaded, "%v", err).WithRetryAfter(clock.Second)
}

// handleHeartbeat records that the sender is alive and which streams it owns, and
// answers with the data of this entry's own heartbeat.
func (c *controller) handleHeartbeat(now clock.Millis, request wire.HeartbeatRequest) (reply wire.HeartbeatReply, err error) {
	c.membership.RecordMessage(request.Node, request.Leaving)
	c.learnOwners(now, request.Node, request.Owned, request.Changes)
	heartbeat := c.newHeartbeat(now)
	return wire.HeartbeatReply{
		Node: heartbeat.Node, ControlOffset: heartbeat.ControlOffset, Owned: heartbeat.Owned,
		Leaving: heartbeat.Leaving, Changes: heartbeat.Changes,
	}, nil
}

// handleProbe sends a heartbeat to the entry that the request names, on behalf of the
// requesting entry, and reports whether the named entry answered.
func (m *Manager) handleProbe(ctx context.Context, request wire.ProbeRequest, _ wire.Send) (any, error) {
	heartbeat, err := runQuery(ctx, m, struct{}{}, func(c *controller, now clock.Millis, _ struct{}) (wire.HeartbeatRequest, error) {
		return c.newHeartbeat(now), nil
	})
	if err != nil {
		return nil, err
	}
	// The requesting entry waits for PeerTimeout. The heartbeat gets two thirds of it,
	// so that the reply to the probe arrives in time.
	ctx, cancel := context.WithTimeout(ctx, (m.config.PeerTimeout * 2 / 3).Duration())
	defer cancel()
	var reply wire.HeartbeatReply
	err = m.caller.Call(ctx, request.Address, wire.MethodHeartbeat, heartbeat, &reply, nil)
	return wire.ProbeReply{Alive: err == nil && reply.Node == request.Node}, nil
}

// handleHandover handles the request of another entry to take over a stream that this
// entry serves. It starts the release of the stream if the membership view grants the
// request, and returns before the stream is released. Otherwise it refuses with
// CodeNotOwner or CodeConflict.
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

// releaseStream starts the release of a stream; it does nothing unless this entry serves
// the stream. The published state is updated before the release is appended, so that
// ConfirmedUntil no longer relies on leases of replicas. These leases do not delay the
// next owner, because it sends no fence requests to replicas after a release.
func (c *controller) releaseStream(now clock.Millis, s *streamState) {
	commands := s.journal.ReleaseStream(now)
	c.publish()
	c.executeJournal(s, commands)
}
