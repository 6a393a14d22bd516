package streams

import (
	"maps"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/journal"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// goneAfter is the number of lists in a row that must lack a holder before what
// it held is given up, since a list can miss a VM that has just started.
const goneAfter = 2

// beatDone is the answer to a heartbeat.
type beatDone struct {
	node  spool.NodeID
	reply wire.HeartbeatReply
	err   error
}

func (e beatDone) handle(c *control, now clock.Millis) {
	ok := e.err == nil && e.reply.Node == e.node
	if ok {
		c.learn(now, e.node, e.reply.Owned, e.reply.Changes)
	}
	c.members(c.view.Answered(now, e.node, ok, e.reply.Leaving), now)
}

// probeDone is the answer to a probe.
type probeDone struct {
	command membership.Probe
	alive   bool
	err     error
}

func (e probeDone) handle(c *control, now clock.Millis) {
	c.members(c.view.Probed(now, e.command.Via, e.command.Target, e.err == nil, e.alive), now)
}

// listed takes the VM list, whose rows are in order of their ID.
func (c *control) listed(now clock.Millis, vms []spool.VM) {
	if len(vms) != len(c.rows) || (len(vms) > 0 && &vms[0] != &c.rows[0]) {
		c.takeRows(vms)
	}
	c.countAbsent(c.present)
	c.members(c.view.Listed(now, vms), now)
	for _, s := range c.streams {
		c.replaceHolders(now, s)
	}
}

// takeRows takes rows that are not the same slice as before, which most lists
// are at rest.
func (c *control) takeRows(vms []spool.VM) {
	var endpoints []spool.VM
	c.rows, c.present = vms, map[spool.NodeID]bool{}
	for _, vm := range vms {
		if vm.Role == spool.RoleEndpoint && vm.State == spool.VMLive {
			endpoints = append(endpoints, vm)
		}
		if vm.Role == spool.RoleEntry {
			c.present[vm.ID] = true
			c.addresses[vm.ID] = vm.Address
		}
	}
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	c.m.view.endpoints = endpoints
}

func (c *control) countAbsent(present map[spool.NodeID]bool) {
	for node := range c.addresses {
		if present[node] || node == c.m.config.Node {
			delete(c.absent, node)
			continue
		}
		c.absent[node]++
	}
	const forget = 100
	maps.DeleteFunc(c.absent, func(node spool.NodeID, count int) bool {
		if count > forget {
			delete(c.addresses, node)
		}
		return count > forget
	})
}

// replaceHolders reports holders that are gone and chooses others.
func (c *control) replaceHolders(now clock.Millis, s *streamState) {
	for _, node := range s.journal.Awaited() {
		if _, known := c.addresses[node]; !known || c.absent[node] >= goneAfter {
			c.execute(s, s.journal.Gone(now, node))
		}
	}
	if s.journal.Phase() != journal.PhaseIdle {
		c.execute(s, s.journal.SetHolders(now, c.view.Holders(s.name, s.journal.Named())))
	}
}

// members carries out the commands of the view.
func (c *control) members(commands []membership.Command, now clock.Millis) {
	for _, command := range commands {
		switch command := command.(type) {
		case membership.Heartbeat:
			c.sendHeartbeat(command.To, now)
		case membership.Probe:
			c.sendProbe(command)
		case membership.AskHandover:
			c.sendHandover(command)
		case membership.Follow:
			s, _ := c.stream(command.Stream)
			c.execute(s, s.journal.Follow(now, command.Holders))
		case membership.Abandon:
			s, _ := c.stream(command.Stream)
			c.execute(s, s.journal.Abandon())
		case membership.Allow:
			s, _ := c.stream(command.Stream)
			c.execute(s, s.journal.Allow(now, command.Owner))
		}
	}
}

// stages tells the view what this entry does with each stream.
func (c *control) stages(now clock.Millis) {
	for _, s := range c.streams {
		owner, epoch, ok := s.journal.Owner()
		phase := s.journal.Phase()
		if phase == journal.PhaseIdle {
			ok = false
		}
		if !ok {
			owner = ""
		}
		c.view.Stage(s.index, stageOf(phase), owner)
		if ok {
			c.view.Learn(now, s.name, owner, epoch)
		}
	}
}

func stageOf(phase journal.Phase) membership.Stage {
	switch phase {
	case journal.PhaseIdle:
		return membership.StageNone
	case journal.PhaseReading:
		return membership.StageReading
	case journal.PhaseReady:
		return membership.StageReady
	case journal.PhaseServing, journal.PhaseReleasing:
		return membership.StageOwned
	default:
		return membership.StageTaking
	}
}

func (c *control) learn(now clock.Millis, node spool.NodeID, owned map[spool.Stream]spool.Epoch, changes []wire.OwnerChange) {
	for stream, epoch := range owned {
		if _, ok := c.m.config.streamIndex(stream); ok {
			c.view.Learn(now, stream, node, epoch)
			// An owner serves only after everything of lower epochs is on the log.
			c.holder.Release(stream, epoch)
		}
	}
	for _, change := range changes {
		if _, ok := c.m.config.streamIndex(change.Stream); ok {
			c.view.Learn(now, change.Stream, change.Node, change.Epoch)
		}
	}
}

// heartbeat returns what this entry tells others.
func (c *control) heartbeat(now clock.Millis) wire.HeartbeatRequest {
	m := c.m
	request := wire.HeartbeatRequest{
		Node: m.config.Node, FailureDomain: m.config.FailureDomain,
		ControlOffset: m.controlOffset(), Leaving: c.view.Leaves(),
	}
	m.mu.RLock()
	request.Owned = maps.Clone(m.served)
	m.mu.RUnlock()
	for _, change := range c.view.Changes(now) {
		request.Changes = append(request.Changes, wire.OwnerChange{
			Stream: change.Stream, Node: change.Node, Epoch: change.Epoch,
		})
	}
	return request
}

func (c *control) sendHeartbeat(to spool.NodeID, now clock.Millis) {
	m, request := c.m, c.heartbeat(now)
	call := peerCall(c, to, wire.MethodHeartbeat, (*control).handleHeartbeat)
	m.peers.Go(func() {
		reply, err := call(request)
		m.send(beatDone{to, reply, err})
	})
}

func (c *control) sendProbe(command membership.Probe) {
	m, request := c.m, wire.ProbeRequest{Node: command.Target, Address: c.addresses[command.Target]}
	call := peerCall[wire.ProbeRequest, wire.ProbeReply](c, command.Via, wire.MethodProbe, nil)
	m.peers.Go(func() {
		reply, err := call(request)
		m.send(probeDone{command, reply.Alive, err})
	})
}

func (c *control) sendHandover(command membership.AskHandover) {
	call := peerCall(c, command.Owner, wire.MethodHandover, (*control).handleHandover)
	request := wire.HandoverRequest{Stream: command.Stream, To: c.m.config.Node}
	c.m.peers.Go(func() {
		// The release shows on the stream; a refusal is repeated later.
		_, _ = call(request)
	})
}

// leave releases the streams of an entry that is about to stop. A next owner
// that asks gets its stream at once; the others are released after a while.
func (c *control) leave(now clock.Millis) {
	if len(c.leaving) == 0 {
		return
	}
	c.view.Leave()
	if c.leaveBy == 0 {
		c.leaveBy = now + c.m.config.LeaveAfter
	}
	idle := true
	for _, s := range c.streams {
		if _, next := c.view.Winner(s.index); now >= c.leaveBy || !next {
			c.handOver(now, s)
		}
		idle = idle && s.journal.Phase() == journal.PhaseIdle
	}
	if !idle {
		return
	}
	for _, done := range c.leaving {
		close(done)
	}
	c.leaving = nil
}

// publish copies what readers on other goroutines may see.
func (c *control) publish() {
	config := c.m.config
	stats := Stats{Messages: c.messages}
	stats.HeldBytes, stats.Held = c.holder.Used()
	confirmed := make(map[spool.Stream]clock.Millis, len(c.streams))
	for name, s := range c.streams {
		stats.add(s.journal.Stats())
		if s.journal.Serving() {
			stats.Owned++
		}
		if until, ok := s.journal.Confirmed(); ok {
			confirmed[name] = until
		}
	}
	owners := make(map[spool.Stream]spool.NodeID, config.StreamCount)
	for i := range config.StreamCount {
		if node, ok := c.view.OwnerOf(i); ok {
			owners[spool.ProgramStream(i)] = node
		}
	}
	members, addresses := c.view.Members(), maps.Clone(c.addresses)
	maps.DeleteFunc(addresses, func(node spool.NodeID, _ string) bool { return c.view.Verdict(node) == membership.Dead })
	m := c.m
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.stats, m.view.confirmed, m.view.owners = stats, confirmed, owners
	m.view.members, m.view.addresses = members, addresses
}
