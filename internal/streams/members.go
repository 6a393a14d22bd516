package streams

import (
	"maps"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/journal"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// goneAfterLists is the number of consecutive VM lists that must lack a replica or a
// previous owner before a journal stops waiting for its answer to a fence request. One
// list is not enough, because it can miss a VM that has just started.
const goneAfterLists = 2

// heartbeatDone is the result of a heartbeat to node. A reply from a node with another
// ID is handled as a failure.
type heartbeatDone struct {
	node  spool.NodeID
	reply wire.HeartbeatReply
	err   error
}

func (e heartbeatDone) handle(c *controller, now clock.Millis) {
	ok := e.err == nil && e.reply.Node == e.node
	if ok {
		c.learnOwners(now, e.node, e.reply.Owned, e.reply.Changes)
	}
	c.executeMembership(c.membership.HeartbeatDone(now, e.node, ok, e.reply.Leaving), now)
}

// probeDone is the result of a probe. alive reports whether the target answered; err is
// set if the entry that was to send the probe did not reply.
type probeDone struct {
	command membership.Probe
	alive   bool
	err     error
}

func (e probeDone) handle(c *controller, now clock.Millis) {
	c.executeMembership(c.membership.ProbeDone(now, e.command.Via, e.command.Target, e.err == nil, e.alive), now)
}

// handleVMList updates the stored VM list, the membership view and the replicas of all
// streams. vms is ordered by ID.
func (c *controller) handleVMList(now clock.Millis, vms []spool.VM) {
	if len(vms) != len(c.vms) || (len(vms) > 0 && &vms[0] != &c.vms[0]) {
		c.replaceVMs(vms)
	}
	c.countMissedLists(c.listedEntries)
	c.executeMembership(c.membership.UpdateVMs(now, vms), now)
	for _, s := range c.streams {
		c.replaceReplicas(now, s)
	}
}

// replaceVMs replaces the stored VM list and the data derived from it: the listed
// entries, their addresses and the published endpoints. handleVMList does not call it
// for a list that is the same slice as before, which is the usual case.
func (c *controller) replaceVMs(vms []spool.VM) {
	var endpoints []spool.VM
	c.vms, c.listedEntries = vms, map[spool.NodeID]bool{}
	for _, vm := range vms {
		if vm.Role == spool.RoleEndpoint && vm.State == spool.VMLive {
			endpoints = append(endpoints, vm)
		}
		if vm.Role == spool.RoleEntry {
			c.listedEntries[vm.ID] = true
			c.addresses[vm.ID] = vm.Address
		}
	}
	c.manager.mu.Lock()
	defer c.manager.mu.Unlock()
	c.manager.published.endpoints = endpoints
}

// countMissedLists updates missedLists after a VM list whose entries are listed. It
// drops the address of an entry that was missing in more than forgetAfterLists (100)
// consecutive lists.
func (c *controller) countMissedLists(listed map[spool.NodeID]bool) {
	for node := range c.addresses {
		if listed[node] || node == c.manager.config.Node {
			delete(c.missedLists, node)
			continue
		}
		c.missedLists[node]++
	}
	const forgetAfterLists = 100
	maps.DeleteFunc(c.missedLists, func(node spool.NodeID, count int) bool {
		if count > forgetAfterLists {
			delete(c.addresses, node)
		}
		return count > forgetAfterLists
	})
}

// replaceReplicas tells the journal of a stream which of the nodes whose answer to a
// fence request it awaits are gone: nodes without a known address, and nodes missing in
// goneAfterLists lists. Unless the journal is idle, it also passes the replicas that the
// membership view chooses to the journal.
func (c *controller) replaceReplicas(now clock.Millis, s *streamState) {
	for _, node := range s.journal.AwaitedNodes() {
		if _, known := c.addresses[node]; !known || c.missedLists[node] >= goneAfterLists {
			c.executeJournal(s, s.journal.NodeGone(now, node))
		}
	}
	if s.journal.Phase() != journal.PhaseIdle {
		c.executeJournal(s, s.journal.SetReplicas(now, c.membership.ChooseReplicas(s.name, s.journal.NamedReplicas())))
	}
}

// executeMembership executes the commands of the membership view. It does not wait for
// the requests that it sends.
func (c *controller) executeMembership(commands []membership.Command, now clock.Millis) {
	for _, command := range commands {
		switch command := command.(type) {
		case membership.Heartbeat:
			c.sendHeartbeat(command.To, now)
		case membership.Probe:
			c.sendProbe(command)
		case membership.RequestHandover:
			c.requestHandover(command)
		case membership.Follow:
			s, _ := c.ensureStream(command.Stream)
			c.executeJournal(s, s.journal.Follow(now, command.Replicas))
		case membership.Abandon:
			s, _ := c.ensureStream(command.Stream)
			c.executeJournal(s, s.journal.Abandon())
		case membership.AllowTakeover:
			s, _ := c.ensureStream(command.Stream)
			c.executeJournal(s, s.journal.AllowTakeover(now, command.Owner))
		}
	}
}

// updateStages passes the stage of each stream at this entry, and the owner that its
// journal has read from the stream, to the membership view.
func (c *controller) updateStages(now clock.Millis) {
	for _, s := range c.streams {
		owner, epoch, ok := s.journal.Owner()
		phase := s.journal.Phase()
		if phase == journal.PhaseIdle {
			ok = false
		}
		if !ok {
			owner = ""
		}
		c.membership.SetStage(s.index, stageForPhase(phase), owner)
		if ok {
			c.membership.LearnOwner(now, s.name, owner, epoch)
		}
	}
}

func stageForPhase(phase journal.Phase) membership.Stage {
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
		return membership.StageClaiming
	}
}

// learnOwners handles the owners in a heartbeat of node: owned holds the streams that
// node itself serves, and changes recent owners of any streams. It passes both to the
// membership view, and discards the replica copies of lower epochs of the served streams.
func (c *controller) learnOwners(now clock.Millis, node spool.NodeID, owned map[spool.Stream]spool.Epoch, changes []wire.OwnerChange) {
	for stream, epoch := range owned {
		if _, ok := c.manager.config.streamIndex(stream); ok {
			c.membership.LearnOwner(now, stream, node, epoch)
			// An owner serves only after all units of lower epochs are on the log,
			// so their copies are no longer needed.
			c.replicas.Discard(stream, epoch)
		}
	}
	for _, change := range changes {
		if _, ok := c.manager.config.streamIndex(change.Stream); ok {
			c.membership.LearnOwner(now, change.Stream, change.Node, change.Epoch)
		}
	}
}

// newHeartbeat returns the heartbeat of this entry, with the streams that it serves and
// the recent changes of owners that it knows of.
func (c *controller) newHeartbeat(now clock.Millis) wire.HeartbeatRequest {
	m := c.manager
	request := wire.HeartbeatRequest{
		Node: m.config.Node, FailureDomain: m.config.FailureDomain,
		ControlOffset: m.controlOffset(), Leaving: c.membership.IsLeaving(),
	}
	m.mu.RLock()
	request.Owned = maps.Clone(m.served)
	m.mu.RUnlock()
	for _, change := range c.membership.RecentOwners(now) {
		request.Changes = append(request.Changes, wire.OwnerChange{
			Stream: change.Stream, Node: change.Owner, Epoch: change.Epoch,
		})
	}
	return request
}

func (c *controller) sendHeartbeat(to spool.NodeID, now clock.Millis) {
	m, request := c.manager, c.newHeartbeat(now)
	call := peerCall(c, to, wire.MethodHeartbeat, (*controller).handleHeartbeat)
	m.peerPool.Go(func() {
		reply, err := call(request)
		m.send(heartbeatDone{to, reply, err})
	})
}

func (c *controller) sendProbe(command membership.Probe) {
	m, request := c.manager, wire.ProbeRequest{Node: command.Target, Address: c.addresses[command.Target]}
	call := peerCall[wire.ProbeRequest, wire.ProbeReply](c, command.Via, wire.MethodProbe, nil)
	m.peerPool.Go(func() {
		reply, err := call(request)
		m.send(probeDone{command, reply.Alive, err})
	})
}

func (c *controller) requestHandover(command membership.RequestHandover) {
	call := peerCall(c, command.Owner, wire.MethodHandover, (*controller).handleHandover)
	request := wire.HandoverRequest{Stream: command.Stream, To: c.manager.config.Node}
	c.manager.peerPool.Go(func() {
		// The reply is ignored: a release shows on the stream, and the membership
		// view repeats the request after a refusal.
		_, _ = call(request)
	})
}

// continueLeave advances a pending ReleaseAll; without one it does nothing. A stream that
// another entry can claim is released when that entry requests the stream (see
// handleHandover), or LeaveAfter after the start. Without such an entry the stream is
// released at once. When all streams are released, the calls of ReleaseAll return.
func (c *controller) continueLeave(now clock.Millis) {
	if len(c.leaveWaiters) == 0 {
		return
	}
	c.membership.Leave()
	if c.releaseDeadline == 0 {
		c.releaseDeadline = now + c.manager.config.LeaveAfter
	}
	allReleased := true
	for _, s := range c.streams {
		if _, next := c.membership.Winner(s.index); now >= c.releaseDeadline || !next {
			c.releaseStream(now, s)
		}
		allReleased = allReleased && s.journal.Phase() == journal.PhaseIdle
	}
	if !allReleased {
		return
	}
	for _, done := range c.leaveWaiters {
		close(done)
	}
	c.leaveWaiters = nil
}

// publish updates publishedState, except for the endpoints, which replaceVMs updates. It
// leaves out the addresses of entries that the membership view considers dead.
func (c *controller) publish() {
	config := c.manager.config
	stats := Stats{Messages: c.messagesSent}
	stats.ReplicaBytes, stats.ReplicaUnits = c.replicas.Used()
	confirmed := make(map[spool.Stream]clock.Millis, len(c.streams))
	for name, s := range c.streams {
		stats.add(s.journal.Stats())
		if s.journal.Serving() {
			stats.Owned++
		}
		if until, ok := s.journal.ConfirmedUntil(); ok {
			confirmed[name] = until
		}
	}
	owners := make(map[spool.Stream]spool.NodeID, config.StreamCount)
	for i := range config.StreamCount {
		if node, ok := c.membership.OwnerOf(i); ok {
			owners[spool.ProgramStream(i)] = node
		}
	}
	members, addresses := c.membership.LiveMembers(), maps.Clone(c.addresses)
	maps.DeleteFunc(addresses, func(node spool.NodeID, _ string) bool { return c.membership.Verdict(node) == membership.Dead })
	m := c.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	m.published.stats, m.published.confirmed, m.published.owners = stats, confirmed, owners
	m.published.members, m.published.addresses = members, addresses
}
