package streams

import (
	"fmt"
	"time"

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
	view      *membership.View
	// listedAt is when the latest VM list was read.
	listedAt clock.Millis
	// rows are those of the latest list, present the entries among them.
	rows      []spool.VM
	present   map[spool.NodeID]bool
	publishAt clock.Millis
	// absent counts the lists in a row that lacked a node.
	absent map[spool.NodeID]int
	// leaving are those who wait for the end of a Leave; leaveBy is when streams
	// are released without waiting for their next owner.
	leaving  []chan struct{}
	leaveBy  clock.Millis
	messages int
}

// streamState is one stream at this node.
type streamState struct {
	name    spool.Stream
	index   int
	journal *journal.Journal
	lane    *lane
}

func newControl(m *Manager) *control {
	// The wall clock makes the incarnation differ from that of an earlier start.
	incarnation := fmt.Sprintf("%s-%x", m.config.Node, time.Now().UnixNano())
	c := &control{
		m: m, streams: map[spool.Stream]*streamState{}, waiting: map[journal.Ticket]*submission{},
		holder:    journal.NewHolder(incarnation, m.config.HolderBytes),
		addresses: map[spool.NodeID]string{m.config.Node: m.config.Address},
		absent:    map[spool.NodeID]int{},
		view: membership.New(membership.Config{
			Self: spool.VM{
				ID: m.config.Node, Role: spool.RoleEntry, State: spool.VMLive, Address: m.config.Address,
				FailureDomain: m.config.FailureDomain, Region: m.config.Region,
			},
			StreamCount: m.config.StreamCount, Fanout: m.config.Fanout, Holders: m.config.Holders,
			HeartbeatEvery: m.config.HeartbeatEvery, DeadAfter: m.config.DeadAfter,
			SettleAfter: m.config.SettleAfter, HandoverEvery: m.config.HandoverEvery,
		}),
	}
	c.holder.StartedAt(m.clock.Now() + m.config.PromiseFor)
	return c
}

func (c *control) stream(name spool.Stream) (*streamState, bool) {
	if s := c.streams[name]; s != nil {
		return s, true
	}
	index, ok := c.m.config.streamIndex(name)
	if !ok {
		return nil, false
	}
	config := c.m.config
	s := &streamState{name: name, index: index, lane: newLane(c.m), journal: journal.New(journal.Config{
		Stream: name, Node: config.Node, AppendInterval: config.appendInterval(),
		BatchBytes: config.BatchBytes, BacklogBytes: config.BacklogBytes,
		PollWait: config.PollWait, Retention: config.Retention, PromiseFor: config.PromiseFor,
	})}
	c.streams[name] = s
	return s, true
}

// tick gives the time to every state machine and publishes the view.
func (c *control) tick(now clock.Millis) {
	c.takeList(now)
	for _, s := range c.streams {
		c.execute(s, s.journal.Tick(now))
	}
	c.stages(now)
	c.members(c.view.Tick(now), now)
	c.leave(now)
	if now >= c.publishAt {
		c.publishAt = now + publishEvery
		c.publish()
	}
}

// takeList takes in a VM list that is newer than the one before.
func (c *control) takeList(now clock.Millis) {
	rows, readAt := c.m.lists.Latest()
	if readAt == 0 || (c.listedAt != 0 && readAt-c.listedAt < c.m.config.ListEvery) {
		return
	}
	c.listedAt = readAt
	c.listed(now, rows)
}

func (c *control) event(name string) {
	if c.m.telemetry != nil {
		c.m.telemetry.Event(name)
	}
}

// stop ends the submissions that still wait; their fate is unknown.
func (c *control) stop() { c.waiting = nil }
