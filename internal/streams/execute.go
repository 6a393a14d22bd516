package streams

import (
	"context"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/journal"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// execute carries out the commands of one stream's journal. Nothing here waits.
func (c *control) execute(s *streamState, commands []journal.Command) {
	m, name := c.m, s.name
	for _, command := range commands {
		switch command := command.(type) {
		case journal.Append:
			m.append(name, command)
		case journal.Read:
			m.read(name, command)
		case journal.Hold:
			c.sendHold(name, command)
		case journal.Seal:
			c.sendSeal(name, command)
		case journal.Promise:
			c.sendPromise(name, command)
		case journal.Release:
			c.sendRelease(name, command)
		case journal.Retain:
			c.holder.Retain(name, command.Units)
		case journal.Answer:
			c.answer(s, command)
		case journal.Reset:
			s.lane.add(func() { m.applier.Reset(name, command.Epoch) })
		case journal.Apply:
			s.lane.add(func() { m.applier.Apply(name, command.Batch) })
		case journal.Serving:
			c.serving(s, command)
		case journal.Handover:
			s.lane.add(func() {
				m.send(handoverTaken{name, command.Epoch, m.handover(name, command.Epoch)})
			})
		case journal.Lost:
			c.lost(s, command.Cause)
		case journal.Snapshot:
			s.lane.add(func() {
				m.send(snapshotTaken{name, command.Epoch, m.applier.Snapshot(name)})
			})
		}
	}
}

func (c *control) answer(s *streamState, command journal.Answer) {
	submission := c.waiting[command.Ticket]
	if submission == nil {
		return
	}
	delete(c.waiting, command.Ticket)
	// The answer follows the applied batch on the same goroutine.
	s.lane.add(func() { submission.answer <- command.Refusal })
}

func (c *control) serving(s *streamState, command journal.Serving) {
	m := c.m
	m.mu.RLock()
	losses := m.losses[s.name]
	m.mu.RUnlock()
	c.event("streams.serving")
	s.lane.add(func() {
		m.applier.Serving(s.name, command.Epoch)
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.losses[s.name] == losses {
			m.served[s.name], m.inherited[s.name] = command.Epoch, command.Inherited
		}
	})
}

func (c *control) lost(s *streamState, cause journal.LossCause) {
	m := c.m
	m.mu.Lock()
	m.losses[s.name]++
	delete(m.served, s.name)
	delete(m.inherited, s.name)
	m.mu.Unlock()
	switch cause {
	case journal.LossTaken:
		c.event("streams.lost")
		c.view.Lost(c.m.clock.Now(), s.index)
	case journal.LossReleased:
		c.event("streams.released")
	}
	s.lane.add(func() { m.applier.Lost(s.name) })
}

func (m *Manager) append(name spool.Stream, command journal.Append) {
	m.logPool.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, m.config.LogTimeout.Duration())
		defer cancel()
		_, err := m.log.Append(ctx, name, command.Batch)
		if err != nil && !errors.Is(err, spool.ErrLogUnavailable) {
			err = errors.Wrap(spool.ErrOutcomeUnknown, err.Error())
		}
		m.send(appended{name, command.Batch.ID, err})
	})
}

func (m *Manager) read(name spool.Stream, command journal.Read) {
	m.logPool.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, (command.Wait + m.config.LogTimeout).Duration())
		defer cancel()
		page, err := m.log.Read(ctx, name, command.After, command.Wait)
		m.send(readDone{name, command.Serial, page, err})
	})
}

func (c *control) sendHold(name spool.Stream, command journal.Hold) {
	request := wire.HoldRequest{
		Stream: name, Epoch: command.Epoch, Committed: command.Committed,
		Batch: spool.Batch{Writer: c.m.config.Node, Epoch: command.Epoch},
	}
	units := command.Units
	if len(units) > 0 {
		request.Sequence = units[0].Sequence
		request.Batch.ID = units[0].Batch.ID
	}
	m := c.m
	call := peerCall(c, command.Node, wire.MethodHold, (*control).handleHold)
	m.peers.Go(func() {
		request.Batch.Records = journal.EncodeUnits(units)
		reply, err := call(request)
		m.send(holdDone{name, command, reply.Incarnation, err})
	})
}

func (c *control) sendSeal(name spool.Stream, command journal.Seal) {
	m := c.m
	call := peerCall(c, command.Node, wire.MethodSeal, (*control).handleSeal)
	m.peers.Go(func() {
		reply, err := call(wire.SealRequest{Stream: name, Epoch: command.Epoch})
		answer := &journal.Sealing{Incarnation: reply.Incarnation}
		for _, batch := range reply.Batches {
			var more []journal.Unit
			if more, err = journal.DecodeUnits(batch.Records); err != nil {
				break
			}
			answer.Units = append(answer.Units, more...)
		}
		if err != nil {
			answer = nil
		}
		m.send(sealDone{name, command, answer, err})
	})
}

func (c *control) sendRelease(name spool.Stream, command journal.Release) {
	m := c.m
	call := peerCall(c, command.Node, wire.MethodRelease, (*control).handleRelease)
	m.peers.Go(func() {
		if _, err := call(wire.ReleaseRequest{Stream: name, Epoch: command.Epoch}); err == nil {
			m.send(releaseDone{name, command})
		}
	})
}

// peerCall returns a function that sends a request to a node. A request to this
// node itself does not use the network.
func peerCall[Request, Reply any](c *control, node spool.NodeID, method string, local func(*control, clock.Millis, Request) (Reply, error)) func(Request) (Reply, error) {
	m, address := c.m, c.addresses[node]
	c.messages++
	return func(request Request) (reply Reply, err error) {
		ctx, cancel := context.WithTimeout(m.ctx, m.config.PeerTimeout.Duration())
		defer cancel()
		switch {
		case node == m.config.Node:
			return ask(ctx, m, request, local)
		case address == "":
			return reply, errors.Wrapf(spool.ErrNotSent, "address of %s is not known", node)
		}
		err = m.caller.Call(ctx, address, method, request, &reply, nil)
		return reply, err
	}
}
