package streams

import (
	"context"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/journal"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// executeJournal executes the commands of a stream's journal. It does not wait for
// requests or for the Applier; their results arrive later as events.
func (c *controller) executeJournal(s *streamState, commands []journal.Command) {
	m, name := c.manager, s.name
	for _, command := range commands {
		switch command := command.(type) {
		case journal.Append:
			m.appendBatch(name, command)
		case journal.Read:
			m.readLog(name, command)
		case journal.Replicate:
			c.sendReplicate(name, command)
		case journal.Fence:
			c.sendFence(name, command)
		case journal.RequestLease:
			c.sendLeaseRequest(name, command)
		case journal.Discard:
			c.sendDiscard(name, command)
		case journal.Retain:
			c.replicas.Retain(name, command.Units)
		case journal.Answer:
			c.completeSubmission(s, command)
		case journal.Reset:
			s.calls.enqueue(func() { m.applier.Reset(name, command.Epoch) })
		case journal.Apply:
			s.calls.enqueue(func() { m.applier.Apply(name, command.Batch) })
		case journal.Serving:
			c.startServing(s, command)
		case journal.Handover:
			s.calls.enqueue(func() {
				m.send(handoverReady{name, command.Epoch, m.handover(name, command.Epoch)})
			})
		case journal.Lost:
			c.handleLoss(s, command.Cause)
		case journal.Snapshot:
			s.calls.enqueue(func() {
				m.send(snapshotReady{name, command.Epoch, m.applier.Snapshot(name)})
			})
		}
	}
}

// completeSubmission passes the answer to the Submit call, through the call queue of the
// stream. It does nothing if the submission is no longer pending.
func (c *controller) completeSubmission(s *streamState, command journal.Answer) {
	submission := c.submissions[command.Ticket]
	if submission == nil {
		return
	}
	delete(c.submissions, command.Ticket)
	// The queue guarantees that the Applier has applied the batch before Submit
	// returns.
	s.calls.enqueue(func() { submission.done <- command.Refusal })
}

// startServing queues a call of StreamServing. After that call the stream is in served,
// so that Epoch, OwnerOf and heartbeats report this entry as the owner. If the stream is
// lost before that, StreamServing is still called but served stays unchanged.
func (c *controller) startServing(s *streamState, command journal.Serving) {
	m := c.manager
	m.mu.RLock()
	losses := m.losses[s.name]
	m.mu.RUnlock()
	c.countEvent("streams.serving")
	s.calls.enqueue(func() {
		m.applier.StreamServing(s.name, command.Epoch)
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.losses[s.name] == losses {
			m.served[s.name], m.handoverData[s.name] = command.Epoch, command.HandoverData
		}
	})
}

// handleLoss removes a stream from served at once and queues a call of StreamLost. The
// cause decides which event is counted. Only after a claim of another entry is the
// membership view told of the loss.
func (c *controller) handleLoss(s *streamState, cause journal.LossCause) {
	m := c.manager
	m.mu.Lock()
	m.losses[s.name]++
	delete(m.served, s.name)
	delete(m.handoverData, s.name)
	m.mu.Unlock()
	switch cause {
	case journal.LossClaimed:
		c.countEvent("streams.lost")
		c.membership.StreamLost(c.manager.clock.Now(), s.index)
	case journal.LossReleased:
		c.countEvent("streams.released")
	}
	s.calls.enqueue(func() { m.applier.StreamLost(s.name) })
}

// appendBatch appends a batch to the log, for at most LogTimeout. It reports each error
// other than ErrLogUnavailable as ErrOutcomeUnknown, because the batch may be on the log.
func (m *Manager) appendBatch(name spool.Stream, command journal.Append) {
	m.logPool.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, m.config.LogTimeout.Duration())
		defer cancel()
		_, err := m.log.Append(ctx, name, command.Batch)
		if err != nil && !errors.Is(err, spool.ErrLogUnavailable) {
			err = errors.Wrap(spool.ErrOutcomeUnknown, err.Error())
		}
		m.send(appendDone{name, command.Batch.ID, err})
	})
}

func (m *Manager) readLog(name spool.Stream, command journal.Read) {
	m.logPool.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, (command.Wait + m.config.LogTimeout).Duration())
		defer cancel()
		page, err := m.log.Read(ctx, name, command.After, command.Wait)
		m.send(readDone{name, command.Serial, page, err})
	})
}

func (c *controller) sendReplicate(name spool.Stream, command journal.Replicate) {
	request := wire.ReplicateRequest{
		Stream: name, Epoch: command.Epoch, Committed: command.Committed,
		Batch: spool.Batch{Writer: c.manager.config.Node, Epoch: command.Epoch},
	}
	units := command.Units
	if len(units) > 0 {
		request.Sequence = units[0].Sequence
		request.Batch.ID = units[0].Batch.ID
	}
	m := c.manager
	call := peerCall(c, command.Node, wire.MethodReplicate, (*controller).handleReplicate)
	m.peerPool.Go(func() {
		request.Batch.Records = journal.EncodeUnits(units)
		reply, err := call(request)
		m.send(replicateDone{name, command, reply.Incarnation, err})
	})
}

func (c *controller) sendFence(name spool.Stream, command journal.Fence) {
	m := c.manager
	call := peerCall(c, command.Node, wire.MethodFence, (*controller).handleFence)
	m.peerPool.Go(func() {
		reply, err := call(wire.FenceRequest{Stream: name, Epoch: command.Epoch})
		fenceReply := &journal.FenceReply{Incarnation: reply.Incarnation}
		for _, batch := range reply.Batches {
			var units []journal.Unit
			if units, err = journal.DecodeUnits(batch.Records); err != nil {
				break
			}
			fenceReply.Units = append(fenceReply.Units, units...)
		}
		if err != nil {
			fenceReply = nil
		}
		m.send(fenceDone{name, command, fenceReply, err})
	})
}

func (c *controller) sendDiscard(name spool.Stream, command journal.Discard) {
	m := c.manager
	call := peerCall(c, command.Node, wire.MethodDiscard, (*controller).handleDiscard)
	m.peerPool.Go(func() {
		if _, err := call(wire.DiscardRequest{Stream: name, Epoch: command.Epoch}); err == nil {
			m.send(discardDone{name, command})
		}
	})
}

// peerCall returns a function that sends a request to a node and waits for the reply,
// for at most PeerTimeout. A request to this node itself is answered by local instead
// of over the network. peerCall must be called on the controller goroutine; the returned
// function blocks and must be called on another one.
func peerCall[Request, Reply any](c *controller, node spool.NodeID, method string, local func(*controller, clock.Millis, Request) (Reply, error)) func(Request) (Reply, error) {
	m, address := c.manager, c.addresses[node]
	c.messagesSent++
	return func(request Request) (reply Reply, err error) {
		ctx, cancel := context.WithTimeout(m.ctx, m.config.PeerTimeout.Duration())
		defer cancel()
		switch {
		case node == m.config.Node:
			return runQuery(ctx, m, request, local)
		case address == "":
			return reply, errors.Wrapf(spool.ErrNotSent, "address of %s is not known", node)
		}
		err = m.caller.Call(ctx, address, method, request, &reply, nil)
		return reply, err
	}
}
