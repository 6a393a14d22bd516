package streams

import (
	"fmt"
	"time"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/journal"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// controller is the state of the controller goroutine, which handles all events and
// ticks of a Manager. No other goroutine uses it.
type controller struct {
	manager     *Manager
	streams     map[spool.Stream]*streamState
	replicas    *journal.ReplicaStore
	submissions map[journal.Ticket]*submission
	// addresses holds the last known address of each entry, including this one. An
	// entry that has left the VM list stays for 100 lists, see countMissedLists.
	addresses  map[spool.NodeID]string
	membership *membership.View
	// listReadAt is the time at which the last handled VM list was read; 0 before the
	// first one.
	listReadAt clock.Millis
	// vms holds the rows of the last handled VM list, and listedEntries the IDs of the
	// entries among them.
	vms           []spool.VM
	listedEntries map[spool.NodeID]bool
	// nextPublish is the earliest time at which tick calls publish again.
	nextPublish clock.Millis
	// missedLists holds, for each entry that is not in the last handled VM list but in
	// addresses, the number of consecutive lists without that entry.
	missedLists map[spool.NodeID]int
	// leaveWaiters holds one channel for each waiting call of ReleaseAll. They are
	// closed once every stream is released. releaseDeadline is the time from which a
	// stream is released without a request of its next owner; 0 before ReleaseAll is
	// called.
	leaveWaiters    []chan struct{}
	releaseDeadline clock.Millis
	messagesSent    int
}

// streamState is the state of one stream at this entry, whether the entry owns the
// stream or not.
type streamState struct {
	name    spool.Stream
	index   int
	journal *journal.Journal
	calls   *callQueue
}

func newController(m *Manager) *controller {
	// The start time makes the incarnation differ from those of earlier processes of
	// this node, whose replica copies are lost.
	incarnation := fmt.Sprintf("%s-%x", m.config.Node, time.Now().UnixNano())
	c := &controller{
		manager: m, streams: map[spool.Stream]*streamState{}, submissions: map[journal.Ticket]*submission{},
		replicas:    journal.NewReplicaStore(incarnation, m.config.ReplicaBytes),
		addresses:   map[spool.NodeID]string{m.config.Node: m.config.Address},
		missedLists: map[spool.NodeID]int{},
		membership: membership.New(membership.Config{
			Self: spool.VM{
				ID: m.config.Node, Role: spool.RoleEntry, State: spool.VMLive, Address: m.config.Address,
				FailureDomain: m.config.FailureDomain, Region: m.config.Region,
			},
			StreamCount: m.config.StreamCount, Fanout: m.config.Fanout, ReplicaCount: m.config.ReplicaCount,
			HeartbeatEvery: m.config.HeartbeatEvery, SuspectAfter: m.config.SuspectAfter,
			SettleAfter: m.config.SettleAfter, HandoverEvery: m.config.HandoverEvery,
		}),
	}
	c.replicas.SetStartupLease(m.clock.Now() + m.config.LeaseDuration)
	return c
}

// ensureStream returns the state of a stream, and creates it on first use. It returns
// false if name is not one of the StreamCount program streams.
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
		PollWait: config.PollWait, Retention: config.Retention, LeaseDuration: config.LeaseDuration,
	})}
	c.streams[name] = s
	return s, true
}

// tick handles the latest VM list if it is due, passes the time to all journals and the
// membership view, executes their commands, advances a ReleaseAll and, every
// publishEvery, updates the published state.
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

// pollVMList handles the latest VM list if it was read at least ListEvery after the
// last one that was handled.
func (c *controller) pollVMList(now clock.Millis) {
	vms, readAt := c.manager.vmLists.Latest()
	if readAt == 0 || (c.listReadAt != 0 && readAt-c.listReadAt < c.manager.config.ListEvery) {
		return
	}
	c.listReadAt = readAt
	c.handleVMList(now, vms)
}

func (c *controller) countEvent(name string) {
	if c.manager.telemetry != nil {
		c.manager.telemetry.CountEvent(name)
	}
}

// dropSubmissions drops the pending submissions when the manager is closed. Their
// Submit calls return a refusal with an unknown outcome.
func (c *controller) dropSubmissions() { c.submissions = nil }
