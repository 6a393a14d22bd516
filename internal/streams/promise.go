package streams

import (
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// round asks every other member for promises while the log does not answer.
type round struct {
	sentAt  clock.Millis
	members int
	// promises counts the members that have promised, by stream.
	promises map[spool.Stream]int
}

// promiseDone is a member's answer to a round.
type promiseDone struct {
	round    *round
	promised []spool.Stream
}

func (e promiseDone) handle(c *control, _ clock.Millis) {
	for _, stream := range e.promised {
		e.round.promises[stream]++
		if e.round.promises[stream] == e.round.members {
			c.confirmed[stream] = max(c.confirmed[stream], e.round.sentAt+c.m.config.PromiseFor)
		}
	}
}

// askPromises keeps the authority over the streams that this entry serves while
// the log is down: until the promises end no other member claims them. Members
// that are believed dead are asked too, since they may only be cut off.
func (c *control) askPromises(now clock.Millis) {
	if c.round != nil && now-c.round.sentAt < c.m.config.PromiseFor/3 {
		return
	}
	var streams []spool.Stream
	for name, s := range c.streams {
		if s.journal.Serving() && s.journal.LogDown() {
			streams = append(streams, name)
		}
	}
	if len(streams) == 0 {
		return
	}
	others := c.view.Others()
	r := &round{sentAt: now, members: len(others), promises: map[spool.Stream]int{}}
	c.round = r
	request := c.heartbeat(now)
	request.Promise, request.PromiseFor = streams, c.m.config.PromiseFor
	if len(others) == 0 {
		for _, stream := range streams {
			c.confirmed[stream] = now
		}
	}
	m := c.m
	for _, node := range others {
		call := peerCall(c, node, wire.MethodHeartbeat, (*control).handleHeartbeat)
		m.peers.Go(func() {
			if reply, err := call(request); err == nil {
				m.send(promiseDone{r, reply.Promised})
			}
		})
	}
}

// promise answers another entry's request. A node that has been sealed by a newer
// claim, or knows of one, promises nothing.
func (c *control) promise(now clock.Millis, request wire.HeartbeatRequest) (promised []spool.Stream) {
	for _, name := range request.Promise {
		s, ok := c.stream(name)
		epoch, owned := request.Owned[name]
		if !ok || !owned || c.holder.Fence(name) > epoch {
			continue
		}
		if _, known, ok := s.journal.Owner(); ok && known > epoch {
			continue
		}
		if s.journal.Promise(now + request.PromiseFor) {
			promised = append(promised, name)
		}
	}
	return promised
}
