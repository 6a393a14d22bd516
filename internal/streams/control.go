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
type controller struct {
	manager       *Manager
	streams map[spool.Stream]*streamState
	replicas  *journal.Holder
	submissions map[journal.Ticket]*submission
	// addresses holds the last known address of every node.
	addresses map[spool.NodeID]string
	membership      *membership.View
	// listedAt is when the latest VM list was read.
	listReadAt clock.Millis
	// rows are those of the latest list, present the entries among them.
	vms      []spool.VM
	listedEntries   map[spool.NodeID]bool
	nextPublish clock.Millis
	// absent counts the lists in a row that lacked a node.
	missedLists map[spool.NodeID]int
	// leaving are those who wait for the end of a Leave; leaveBy is when streams
	// are released without waiting for their next owner.
	leaveWaiters  []chan struct{}
	releaseDeadline  clock.Millis
	messagesSent int
}

// streamState is one stream at this node.
type streamState struct {
	name    spool.Stream
	index   int
	journal *journal.Journal
	calls    *callQueue
}

func newController(m *Manager) *controller {
	// The wall clock makes the incarnation differ from that of an earlier start.
	incarnation := fmt.Sprintf("%s-%x", m.config.Node, time.Now().UnixNano())
	c := &controller{
		manager: m, streams: map[spool.Stream]*streamState{}, submissions: map[journal.Ticket]*submission{},
		replicas:    journal.NewHolder(incarnation, m.config.HolderBytes),
		addresses: map[spool.NodeID]string{m.config.Node: m.config.Address},
		missedLists:    map[spool.NodeID]int{},
		membership: membership.New(membership.Config{
			Self: spool.VM{
				ID: m.config.Node, Role: spool.RoleEntry, State: spool.VMLive, Address: m.config.Address,
				FailureDomain: m.config.FailureDomain, Region: m.config.Region,
			},
			StreamCount: m.config.StreamCount, Fanout: m.config.Fanout, Holders: m.config.Holders,
			HeartbeatEvery: m.config.HeartbeatEvery, DeadAfter: m.config.DeadAfter,
			SettleAfter: m.config.SettleAfter, HandoverEvery: m.config.HandoverEvery,
		}),
	}
	c.replicas.StartedAt(m.clock.Now() + m.config.PromiseFor)
	return c
}

func (c *controller) ensureStream(name spool.Stream) (*streamState, bool) {
	if s := c.streams[name]; s != nil {
		return s, true
	}
	index, ok := c.manager.config.streamIndex(name)
	if !ok {
		return nil, false
	}
	config := c.manager.config
	s := &streamState{name: name, index: index, calls: newCallQueue(c.manager), journal: journal.New(journal.Config{
		Stream: name, Node: config.Node, AppendInterval: config.appendInterval(),
		BatchBytes: config.BatchBytes, BacklogBytes: config.BacklogBytes,
		PollWait: config.PollWait, Retention: config.Retention, PromiseFor: config.PromiseFor,
	})}
	c.streams[name] = s
	return s, true
}

// tick gives the time to every state machine and publishes the view.
func (c *controller) tick(now clock.Millis) {
	c.pollVMList(now)
	for _, s := range c.streams {
		c.executeJournal(s, s.journal.Tick(now))
	}
	c.updateStages(now)
	c.executeMembership(c.membership.Tick(now), now)
	c.continueLeave(now)
	if now >= c.nextPublish {
		c.nextPublish = now + publishEvery
		c.publish()
	}
}

// takeList takes in a VM list that is newer than the one before.
func (c *controller) pollVMList(now clock.Millis) {
	rows, readAt := c.manager.vmLists.Latest()
	if readAt == 0 || (c.listReadAt != 0 && readAt-c.listReadAt < c.manager.config.ListEvery) {
		return
	}
	c.listReadAt = readAt
	c.handleVMList(now, rows)
}

func (c *controller) countEvent(name string) {
	if c.manager.telemetry != nil {
		c.manager.telemetry.Event(name)
	}
}

// stop ends the submissions that still wait; their fate is unknown.
func (c *controller) dropSubmissions() { c.submissions = nil }
