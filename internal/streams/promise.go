package streams

import (
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/journal"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// promiseDone is a holder's answer to a request for a promise.
type leaseDone struct {
	stream      spool.Stream
	command     journal.Promise
	incarnation string
	err         error
}

func (e leaseDone) handle(c *controller, now clock.Millis) {
	s, _ := c.ensureStream(e.stream)
	c.executeJournal(s, s.journal.PromiseDone(now, e.command, e.incarnation, e.err == nil, isFenced(e.err)))
}

func (c *controller) sendLeaseRequest(name spool.Stream, command journal.Promise) {
	m := c.manager
	call := peerCall(c, command.Node, wire.MethodPromise, (*controller).handleLeaseRequest)
	m.peerPool.Go(func() {
		reply, err := call(wire.PromiseRequest{Stream: name, Epoch: command.Epoch, For: command.For})
		m.send(leaseDone{name, command, reply.Incarnation, err})
	})
}

// handlePromise answers an owner. Its epoch is fenced when this node knows of a
// newer claim, even if no seal has come yet.
func (c *controller) handleLeaseRequest(now clock.Millis, request wire.PromiseRequest) (reply wire.PromiseReply, err error) {
	s, ok := c.ensureStream(request.Stream)
	if !ok {
		return reply, spool.Refuse(spool.CodeBadRequest, "stream %q does not exist", request.Stream)
	}
	if _, known, ok := s.journal.Owner(); ok && known > request.Epoch {
		return reply, spool.Refuse(spool.CodeFenced, "stream %s has been claimed with epoch %d", request.Stream, known)
	}
	if limit := c.manager.config.PromiseFor; request.For > limit {
		// It could outlast the silence after a restart.
		return reply, spool.Refuse(spool.CodeBadRequest, "promise of %d ms exceeds the limit of %d ms", request.For, limit)
	}
	if err := c.replicas.Promise(now, request.Stream, request.Epoch, request.For); err != nil {
		return reply, c.replicaRefusal(err)
	}
	reply.Incarnation = c.replicas.Incarnation()
	return reply, nil
}
