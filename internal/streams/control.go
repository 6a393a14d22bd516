package streams

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/journal"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// control is the state of the control goroutine.
type control struct {
	m       *Manager
	streams map[spool.Stream]*streamState
	holder  *journal.Holder
	waiting map[journal.Ticket]*submission
	// addresses holds the last known address of every node.
	addresses map[spool.NodeID]string
	entries   []spool.VM
	listing   bool
	listAt    clock.Millis
	leaving   []chan struct{}
	messages  int
}

// streamState is one stream at this node.
type streamState struct {
	name    spool.Stream
	journal *journal.Journal
	lane    *lane
}

func newControl(m *Manager) *control {
	// The wall clock makes the incarnation differ from that of an earlier start.
	incarnation := fmt.Sprintf("%s-%x", m.config.Node, time.Now().UnixNano())
	return &control{
		m: m, streams: map[spool.Stream]*streamState{}, waiting: map[journal.Ticket]*submission{},
		holder:    journal.NewHolder(incarnation, m.config.HolderBytes),
		addresses: map[spool.NodeID]string{m.config.Node: m.config.Address},
	}
}

func (c *control) stream(name spool.Stream) (*streamState, bool) {
	if s := c.streams[name]; s != nil {
		return s, true
	}
	if _, ok := c.m.config.streamIndex(name); !ok {
		return nil, false
	}
	config := c.m.config
	s := &streamState{name: name, lane: newLane(c.m), journal: journal.New(journal.Config{
		Stream: name, Node: config.Node, AppendInterval: config.appendInterval(),
		BatchBytes: config.BatchBytes, BacklogBytes: config.BacklogBytes,
		PollWait: config.PollWait, Retention: config.Retention,
	})}
	c.streams[name] = s
	return s, true
}

// tick gives the time to every state machine and publishes the view.
func (c *control) tick(now clock.Millis) {
	c.readList(now)
	for _, s := range c.streams {
		c.execute(s, s.journal.Tick(now))
	}
	c.leave(now)
	c.publish()
}

func (c *control) readList(now clock.Millis) {
	if c.listing || now < c.listAt {
		return
	}
	c.listing, c.listAt = true, now+c.m.config.ListEvery
	m := c.m
	m.logPool.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, m.config.LogTimeout.Duration())
		defer cancel()
		vms, err := m.list.VMs(ctx)
		m.send(listDone{vms, err})
	})
}

func (c *control) listed(now clock.Millis, vms []spool.VM, err error) {
	c.listing = false
	if err != nil {
		return
	}
	var endpoints []spool.VM
	c.entries = nil
	for _, vm := range vms {
		if vm.Role == spool.RoleEndpoint && vm.State == spool.VMLive {
			endpoints = append(endpoints, vm)
		}
		if vm.Role == spool.RoleEntry {
			c.addresses[vm.ID] = vm.Address
			if vm.State == spool.VMLive {
				c.entries = append(c.entries, vm)
			}
		}
	}
	byID := func(a, b spool.VM) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(endpoints, byID)
	slices.SortFunc(c.entries, byID)
	c.m.mu.Lock()
	c.m.view.endpoints = endpoints
	c.m.mu.Unlock()
	c.claimDue(now)
}

func (c *control) self() spool.VM {
	config := c.m.config
	return spool.VM{
		ID: config.Node, Role: spool.RoleEntry, State: spool.VMLive, Address: config.Address,
		FailureDomain: config.FailureDomain, Region: config.Region,
	}
}

func (c *control) claimDue(now clock.Millis) {
	if len(c.leaving) > 0 {
		return
	}
	ids := make([]spool.NodeID, 0, len(c.entries))
	for _, vm := range c.entries {
		ids = append(ids, vm.ID)
	}
	for i := range c.m.config.StreamCount {
		name := spool.ProgramStream(i)
		if winner, ok := membership.Winner(string(name), ids); ok && winner == c.m.config.Node {
			s, _ := c.stream(name)
			if s.journal.Phase() == journal.PhaseIdle {
				c.execute(s, s.journal.Claim(now, membership.Holders(name, c.self(), c.entries, c.m.config.Holders)))
			}
		}
	}
}

func (c *control) leave(now clock.Millis) {
	if len(c.leaving) == 0 {
		return
	}
	for _, s := range c.streams {
		c.execute(s, s.journal.HandOver(now))
	}
	for _, s := range c.streams {
		if s.journal.Phase() != journal.PhaseIdle {
			return
		}
	}
	for _, done := range c.leaving {
		close(done)
	}
	c.leaving = []chan struct{}{}
}

func (c *control) publish() {
	stats := Stats{Messages: c.messages}
	stats.HeldBytes, stats.Held = c.holder.Used()
	confirmed := make(map[spool.Stream]clock.Millis, len(c.streams))
	owners := make(map[spool.Stream]spool.NodeID, len(c.streams))
	for name, s := range c.streams {
		stats.add(s.journal.Stats())
		if s.journal.Serving() {
			stats.Owned++
		}
		if until, ok := s.journal.Confirmed(); ok {
			confirmed[name] = until
		}
	}
	ids := make([]spool.NodeID, 0, len(c.entries))
	for _, vm := range c.entries {
		ids = append(ids, vm.ID)
	}
	for i := range c.m.config.StreamCount {
		name := spool.ProgramStream(i)
		if winner, ok := membership.Winner(string(name), ids); ok {
			owners[name] = winner
		}
	}
	addresses := make(map[spool.NodeID]string, len(c.addresses))
	for node, address := range c.addresses {
		addresses[node] = address
	}
	m := c.m
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.stats, m.view.confirmed, m.view.owners = stats, confirmed, owners
	m.view.members, m.view.addresses = c.entries, addresses
}

func (c *control) event(name string) {
	if c.m.telemetry != nil {
		c.m.telemetry.Event(name)
	}
}

// stop ends the submissions that still wait; their fate is unknown.
func (c *control) stop() { c.waiting = nil }

// Handlers returns the methods that this entry answers to others.
func (m *Manager) Handlers() wire.Mux {
	return wire.Mux{
		wire.MethodHold:    handler(m, (*control).handleHold),
		wire.MethodSeal:    handler(m, (*control).handleSeal),
		wire.MethodRelease: handler(m, (*control).handleRelease),
	}
}

func (c *control) handleHold(_ clock.Millis, request wire.HoldRequest) (reply wire.HoldReply, err error) {
	units, err := journal.DecodeUnits(request.Batch.Records)
	if err != nil {
		return reply, spool.Refuse(spool.CodeBadRequest, "%v", err)
	}
	if err := c.holder.Hold(request.Stream, request.Epoch, request.Committed, units); err != nil {
		return reply, c.refusal(err)
	}
	reply.Incarnation = c.holder.Incarnation()
	if len(units) > 0 {
		reply.Held = units[len(units)-1].Sequence
	}
	return reply, nil
}

func (c *control) handleSeal(now clock.Millis, request wire.SealRequest) (reply wire.SealReply, err error) {
	s, ok := c.stream(request.Stream)
	if !ok {
		return reply, spool.Refuse(spool.CodeBadRequest, "stream %q does not exist", request.Stream)
	}
	// A journal that is sealed retains its units in the holder.
	c.execute(s, s.journal.Sealed(now, request.Epoch))
	units, err := c.holder.Seal(request.Stream, request.Epoch)
	if err != nil {
		return reply, c.refusal(err)
	}
	if len(units) > 0 {
		reply.Batches = []spool.Batch{{ID: units[0].Batch.ID, Epoch: request.Epoch, Records: journal.EncodeUnits(units)}}
	}
	return reply, nil
}

func (c *control) handleRelease(_ clock.Millis, request wire.ReleaseRequest) (struct{}, error) {
	c.holder.Release(request.Stream, request.Epoch)
	return struct{}{}, nil
}

func (c *control) refusal(err error) error {
	if isFenced(err) {
		return spool.Refuse(spool.CodeFenced, "%v", err)
	}
	return spool.Refuse(spool.CodeOverloaded, "%v", err).WithRetryAfter(clock.Second)
}
