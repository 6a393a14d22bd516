package limit

import (
	"maps"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// defaultTick is the simulated time between two ticks of a Fleet. Each tick
	// advances all owners and queues.
	defaultTick clock.Millis = 50
)

// Fleet simulates several entries with their owners, shares and queues in one
// process and in virtual time. Every message between entries is delayed by
// messageDelay. internal/bench and external measurements use Fleet; a production
// process runs only its own owners, shares and queues.
type Fleet struct {
	timing        Timing
	messageDelay  clock.Millis
	failoverDelay clock.Millis
	configs       map[spool.AccountID]Config
	accounts      []spool.AccountID
	nodes         map[spool.NodeID]*fleetNode
	liveNodes     []spool.NodeID
	pools         map[spool.AccountID]*fleetPool
	// messages contains the messages in transit, in the order of their delivery.
	messages []fleetMessage
	nextTick clock.Millis
	// tickInterval is the time between two ticks.
	tickInterval clock.Millis
	// outcomes contains the outcomes that Advance has not returned yet.
	outcomes []Outcome
}

type fleetNode struct {
	shares map[spool.AccountID]*Share
	queues map[spool.AccountID]*Queue
}

// fleetPool is the pool of one account. node is its last owner.
type fleetPool struct {
	node  spool.NodeID
	epoch spool.Epoch
	owner *Owner
	// vacant is true from the time at which the owner left, vacantAt, until another
	// entry takes over, failoverDelay later.
	vacant   bool
	vacantAt clock.Millis
}

// fleetMessage is either a request to the owner of the pool of account or a grant
// for node; the other pointer is nil.
type fleetMessage struct {
	deliverAt clock.Millis
	node      spool.NodeID
	account   spool.AccountID
	request   *Request
	grant     *Grant
}

// FleetOption changes a Fleet at its creation.
type FleetOption func(*Fleet)

// WithTick sets the simulated time between two ticks. Queued requests wait for a tick, so
// a fleet whose requests wait for less than the default needs a shorter one.
func WithTick(interval clock.Millis) FleetOption {
	return func(f *Fleet) { f.tickInterval = interval }
}

// NewFleet returns a fleet of entries with the given IDs. The simulation starts
// before now, early enough for every bucket to be full at now. messageDelay is the
// latency of a message between entries. failoverDelay is the time from the
// departure of an owner until another entry takes over its pools.
func NewFleet(now clock.Millis, nodes []spool.NodeID, configs map[spool.AccountID]Config, timing Timing, messageDelay, failoverDelay clock.Millis, options ...FleetOption) *Fleet {
	fleet := &Fleet{
		tickInterval: defaultTick,
		timing:       timing, messageDelay: messageDelay, failoverDelay: failoverDelay, configs: configs,
		accounts: slices.Sorted(maps.Keys(configs)),
		nodes:    map[spool.NodeID]*fleetNode{},
		pools:    map[spool.AccountID]*fleetPool{},
		nextTick: now,
	}
	for _, option := range options {
		option(fleet)
	}
	start := now - timing.View - timing.Lease - clock.Minute
	for _, account := range fleet.accounts {
		fleet.pools[account] = &fleetPool{vacant: true, vacantAt: start - failoverDelay}
	}
	fleet.nextTick = start
	for _, node := range nodes {
		fleet.addNode(start, node)
	}
	fleet.updateView(start)
	fleet.Advance(now)
	return fleet
}

// Submit requests the admission of one request of account at the entry node; see
// Queue.SubmitAs. If queued is true, a later call of Advance returns the outcome.
func (f *Fleet) Submit(now clock.Millis, node spool.NodeID, account spool.AccountID, id string, class Class) (decision Decision, queued bool) {
	decision, queued = f.nodes[node].queues[account].SubmitAs(now, id, class)
	f.send(now, account, decision.Request)
	return decision, queued
}

// Advance runs the simulation until now and returns the outcomes since the previous
// call: those of queued requests that were admitted or refused, including requests
// that were queued at an entry that left.
func (f *Fleet) Advance(now clock.Millis) []Outcome {
	for {
		at := f.Next()
		if at > now {
			break
		}
		if at == f.nextTick {
			f.tick(at)
			f.nextTick += f.tickInterval
			continue
		}
		message := f.messages[0]
		f.messages = f.messages[1:]
		f.deliver(message)
	}
	ended := f.outcomes
	f.outcomes = nil
	return ended
}

// Next returns the time of the next event of the simulation, a message or a tick.
func (f *Fleet) Next() clock.Millis {
	if len(f.messages) > 0 {
		return min(f.nextTick, f.messages[0].deliverAt)
	}
	return f.nextTick
}

// Nodes returns the entries that run, sorted.
func (f *Fleet) Nodes() []spool.NodeID { return slices.Clone(f.liveNodes) }

// Owner returns the entry that owns the pool of an account; false if the pool has no
// owner.
func (f *Fleet) Owner(account spool.AccountID) (spool.NodeID, bool) {
	pool := f.pools[account]
	return pool.node, !pool.vacant
}

// Leave stops an entry without a handover of its pools. The next call of Advance
// returns its queued requests as refused.
func (f *Fleet) Leave(now clock.Millis, node spool.NodeID) {
	for _, account := range f.accounts {
		for _, request := range f.nodes[node].queues[account].queued {
			f.outcomes = append(f.outcomes, Outcome{ID: request.id, RetryAfter: minRetryDelay})
		}
		if pool := f.pools[account]; pool.node == node {
			pool.vacant, pool.vacantAt = true, now
		}
	}
	delete(f.nodes, node)
	f.updateView(now)
}

// Join starts an entry. All entries learn of it at once.
func (f *Fleet) Join(now clock.Millis, node spool.NodeID) {
	f.addNode(now, node)
	f.updateView(now)
}

func (f *Fleet) addNode(now clock.Millis, node spool.NodeID) {
	entry := &fleetNode{shares: map[spool.AccountID]*Share{}, queues: map[spool.AccountID]*Queue{}}
	for _, account := range f.accounts {
		entry.shares[account] = NewShare(now, account, node, f.timing, f.configs[account])
		entry.queues[account] = NewQueue(entry.shares[account])
	}
	f.nodes[node] = entry
}

func (f *Fleet) updateView(now clock.Millis) {
	f.liveNodes = slices.Sorted(maps.Keys(f.nodes))
	for _, node := range f.liveNodes {
		for _, account := range f.accounts {
			f.nodes[node].shares[account].SetView(now, f.liveNodes)
		}
	}
}

func (f *Fleet) tick(now clock.Millis) {
	for _, account := range f.accounts {
		f.tickPool(now, account)
		for _, node := range f.liveNodes {
			f.nodes[node].shares[account].SetFreshUntil(now, now+f.timing.View)
			f.advanceQueue(now, node, account)
		}
	}
}

// tickPool lets an entry take over the pool if it has been vacant for
// failoverDelay, and renews the authority of the current owner.
func (f *Fleet) tickPool(now clock.Millis, account spool.AccountID) {
	pool := f.pools[account]
	if pool.vacant && now-pool.vacantAt >= f.failoverDelay && len(f.liveNodes) > 0 {
		for _, node := range f.liveNodes {
			if rendezvousRank(account, node, f.liveNodes) == 0 {
				pool.node = node
			}
		}
		pool.vacant = false
		pool.epoch++
		pool.owner = NewOwner(f.timing, f.configs[account])
		pool.owner.TakeOver(now, pool.epoch)
	}
	if !pool.vacant {
		pool.owner.SetAuthorityUntil(now, now+f.timing.Authority)
		pool.owner.SetFreshUntil(now, now+f.timing.View)
	}
}

func (f *Fleet) advanceQueue(now clock.Millis, node spool.NodeID, account spool.AccountID) {
	outcomes, request := f.nodes[node].queues[account].Advance(now)
	f.outcomes = append(f.outcomes, outcomes...)
	f.send(now, account, request)
}

func (f *Fleet) send(now clock.Millis, account spool.AccountID, request *Request) {
	if request != nil {
		f.messages = append(f.messages, fleetMessage{deliverAt: now + f.messageDelay, account: account, request: request})
	}
}

// deliver passes a grant to the entry that requested it, or a request to the owner
// of the pool. A message without a receiver is lost.
func (f *Fleet) deliver(message fleetMessage) {
	if message.request == nil {
		if entry, ok := f.nodes[message.node]; ok {
			entry.shares[message.account].HandleGrant(message.deliverAt, *message.grant)
			f.advanceQueue(message.deliverAt, message.node, message.account)
		}
		return
	}
	pool := f.pools[message.account]
	if pool.vacant {
		return
	}
	grant := pool.owner.Lease(message.deliverAt, *message.request)
	f.messages = append(f.messages, fleetMessage{deliverAt: message.deliverAt + f.messageDelay, node: message.request.Node, account: message.account, grant: &grant})
}
