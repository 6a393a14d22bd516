package streams

import (
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/journal"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// promiseDone is a holder's answer to a request for a promise.
type promiseDone struct {
	stream      spool.Stream
	command     journal.Promise
	incarnation string
	err         error
}

func (e promiseDone) handle(c *control, now clock.Millis) {
	s, _ := c.stream(e.stream)
	c.execute(s, s.journal.PromiseDone(now, e.command, e.incarnation, e.err == nil, isFenced(e.err)))
}

func (c *control) sendPromise(name spool.Stream, command journal.Promise) {
	m := c.m
	call := peerCall(c, command.Node, wire.MethodPromise, (*control).handlePromise)
	m.peers.Go(func() {
		reply, err := call(wire.PromiseRequest{Stream: name, Epoch: command.Epoch, For: command.For})
		m.send(promiseDone{name, command, reply.Incarnation, err})
	})
}

// handlePromise answers an owner. Its epoch is fenced when this node knows of a
// newer claim, even if no seal has come yet.
func (c *control) handlePromise(now clock.Millis, request wire.PromiseRequest) (reply wire.PromiseReply, err error) {
	s, ok := c.stream(request.Stream)
	if !ok {
		return reply, spool.Refuse(spool.CodeBadRequest, "stream %q does not exist", request.Stream)
	}
	if _, known, ok := s.journal.Owner(); ok && known > request.Epoch {
		return reply, spool.Refuse(spool.CodeFenced, "stream %s has been claimed with epoch %d", request.Stream, known)
	}
	if longest := c.m.config.PromiseFor; request.For > longest {
		// It could outlast the silence after a restart.
		return reply, spool.Refuse(spool.CodeBadRequest, "promise of %d ms exceeds the limit of %d ms", request.For, longest)
	}
	if err := c.holder.Promise(now, request.Stream, request.Epoch, request.For); err != nil {
		return reply, c.refusal(err)
	}
	reply.Incarnation = c.holder.Incarnation()
	return reply, nil
}
