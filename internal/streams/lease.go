package streams

import (
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/journal"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// leaseDone is the result of a lease request to a replica. incarnation is that of the
// replica, empty if the request failed.
type leaseDone struct {
	stream      spool.Stream
	command     journal.RequestLease
	incarnation string
	err         error
}

func (e leaseDone) handle(c *controller, now clock.Millis) {
	s, _ := c.ensureStream(e.stream)
	c.executeJournal(s, s.journal.LeaseDone(now, e.command, e.incarnation, e.err == nil, isFenced(e.err)))
}

func (c *controller) sendLeaseRequest(name spool.Stream, command journal.RequestLease) {
	m := c.manager
	call := peerCall(c, command.Node, wire.MethodReplicaLease, (*controller).handleLeaseRequest)
	m.peerPool.Go(func() {
		reply, err := call(wire.ReplicaLeaseRequest{Stream: name, Epoch: command.Epoch, Duration: command.Duration})
		m.send(leaseDone{name, command, reply.Incarnation, err})
	})
}

// handleLeaseRequest grants a lease to the owner of a stream: until the lease ends, this
// node answers no fence request of an owner with a higher epoch. The request is refused
// if this node has read a claim with a higher epoch on the stream, even if it has not
// received a fence request for that epoch, and if the duration exceeds LeaseDuration.
func (c *controller) handleLeaseRequest(now clock.Millis, request wire.ReplicaLeaseRequest) (reply wire.ReplicaLeaseReply, err error) {
	s, ok := c.ensureStream(request.Stream)
	if !ok {
		return reply, spool.Refuse(spool.CodeBadRequest, "stream %q does not exist", request.Stream)
	}
	if _, known, ok := s.journal.Owner(); ok && known > request.Epoch {
		return reply, spool.Refuse(spool.CodeFenced, "stream %s has been claimed with epoch %d", request.Stream, known)
	}
	if limit := c.manager.config.LeaseDuration; request.Duration > limit {
		// A restarted node answers no fence requests for LeaseDuration, because it has
		// lost the leases that it had granted. A longer lease could outlast this time.
		return reply, spool.Refuse(spool.CodeBadRequest, "promise of %d ms exceeds the limit of %d ms", request.Duration, limit)
	}
	if err := c.replicas.GrantLease(now, request.Stream, request.Epoch, request.Duration); err != nil {
		return reply, c.replicaRefusal(err)
	}
	reply.Incarnation = c.replicas.Incarnation()
	return reply, nil
}
