package limit

import (
	"maps"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// tickEvery is how often a Fleet lets its entries act.
	tickEvery clock.Millis = 50
)

// Fleet runs the owners, shares and lines of several entries in one process and
// in virtual time, with a delay for each message. The bench and outside
// measurements use it; a process holds only its own parts.
type Fleet struct {
	timing   Timing
	delay    clock.Millis
	detect   clock.Millis
	configs  map[spool.AccountID]Config
	accounts []spool.AccountID
	nodes    map[spool.NodeID]*fleetNode
	live     []spool.NodeID
	pools    map[spool.AccountID]*fleetPool
	mail     []fleetMail
	nextTick clock.Millis
	ended    []Outcome
}

type fleetNode struct {
	shares map[spool.AccountID]*Share
	lines  map[spool.AccountID]*Line
}

type fleetPool struct {
	node  spool.NodeID
	epoch spool.Epoch
	owner *Owner
	// vacantAt is when the owner left; taken over after the time of detection.
	vacant   bool
	vacantAt clock.Millis
}

type fleetMail struct {
	at      clock.Millis
	node    spool.NodeID
	account spool.AccountID
	request *Request
	grant   *Grant
}

// NewFleet returns a fleet of entries, sorted by ID, that has run long enough
// for every bucket to be full. delay is the time of a message between entries;
// detect is the time until another entry takes over from one that left.
func NewFleet(now clock.Millis, nodes []spool.NodeID, configs map[spool.AccountID]Config, timing Timing, delay, detect clock.Millis) *Fleet {
	fleet := &Fleet{
		timing: timing, delay: delay, detect: detect, configs: configs,
		accounts: slices.Sorted(maps.Keys(configs)),
		nodes:    map[spool.NodeID]*fleetNode{},
		pools:    map[spool.AccountID]*fleetPool{},
		nextTick: now,
	}
	start := now - timing.View - timing.Lease - clock.Minute
	for _, account := range fleet.accounts {
		fleet.pools[account] = &fleetPool{vacant: true, vacantAt: start - detect}
	}
	fleet.nextTick = start
	for _, node := range nodes {
		fleet.join(start, node)
	}
	fleet.newView(start)
	fleet.Advance(now)
	return fleet
}

// Enter asks entry node to admit a request of account; see Line.EnterAs. When it is held, its
// outcome comes from Advance.
func (f *Fleet) Enter(now clock.Millis, node spool.NodeID, account spool.AccountID, id string, class Class) (decision Decision, held bool) {
	decision, held = f.nodes[node].lines[account].EnterAs(now, id, class)
	f.post(now, account, decision.Ask)
	return decision, held
}

// Advance delivers messages, lets entries act and returns the outcomes of held
// requests since the last call.
func (f *Fleet) Advance(now clock.Millis) []Outcome {
	for {
		at := f.Next()
		if at > now {
			break
		}
		if at == f.nextTick {
			f.tick(at)
			f.nextTick += tickEvery
			continue
		}
		letter := f.mail[0]
		f.mail = f.mail[1:]
		f.deliver(letter)
	}
	ended := f.ended
	f.ended = nil
	return ended
}

// Next returns the instant of the next message or tick.
func (f *Fleet) Next() clock.Millis {
	if len(f.mail) > 0 {
		return min(f.nextTick, f.mail[0].at)
	}
	return f.nextTick
}

// Leave ends an entry without notice. Requests that it held are refused.
func (f *Fleet) Leave(now clock.Millis, node spool.NodeID) {
	for _, account := range f.accounts {
		for _, request := range f.nodes[node].lines[account].held {
			f.ended = append(f.ended, Outcome{ID: request.id, RetryAfter: minRetry})
		}
		if pool := f.pools[account]; pool.node == node {
			pool.vacant, pool.vacantAt = true, now
		}
	}
	delete(f.nodes, node)
	f.newView(now)
}

// Join starts an entry.
func (f *Fleet) Join(now clock.Millis, node spool.NodeID) {
	f.join(now, node)
	f.newView(now)
}

func (f *Fleet) join(now clock.Millis, node spool.NodeID) {
	entry := &fleetNode{shares: map[spool.AccountID]*Share{}, lines: map[spool.AccountID]*Line{}}
	for _, account := range f.accounts {
		entry.shares[account] = NewShare(now, account, node, f.timing, f.configs[account])
		entry.lines[account] = NewLine(entry.shares[account])
	}
	f.nodes[node] = entry
}

func (f *Fleet) newView(now clock.Millis) {
	f.live = slices.Sorted(maps.Keys(f.nodes))
	for _, node := range f.live {
		for _, account := range f.accounts {
			f.nodes[node].shares[account].View(now, f.live)
		}
	}
}

func (f *Fleet) tick(now clock.Millis) {
	for _, account := range f.accounts {
		f.tickPool(now, account)
		for _, node := range f.live {
			f.nodes[node].shares[account].Fresh(now, now+f.timing.View)
			f.act(now, node, account)
		}
	}
}

func (f *Fleet) tickPool(now clock.Millis, account spool.AccountID) {
	pool := f.pools[account]
	if pool.vacant && now-pool.vacantAt >= f.detect && len(f.live) > 0 {
		for _, node := range f.live {
			if rank(account, node, f.live) == 0 {
				pool.node = node
			}
		}
		pool.vacant = false
		pool.epoch++
		pool.owner = NewOwner(f.timing, f.configs[account])
		pool.owner.Take(now, pool.epoch)
	}
	if !pool.vacant {
		pool.owner.Authority(now, now+f.timing.Authority)
		pool.owner.Fresh(now, now+f.timing.View)
	}
}

func (f *Fleet) act(now clock.Millis, node spool.NodeID, account spool.AccountID) {
	outcomes, ask := f.nodes[node].lines[account].Advance(now)
	f.ended = append(f.ended, outcomes...)
	f.post(now, account, ask)
}

func (f *Fleet) post(now clock.Millis, account spool.AccountID, request *Request) {
	if request != nil {
		f.mail = append(f.mail, fleetMail{at: now + f.delay, account: account, request: request})
	}
}

func (f *Fleet) deliver(letter fleetMail) {
	if letter.request == nil {
		if entry, ok := f.nodes[letter.node]; ok {
			entry.shares[letter.account].Granted(letter.at, *letter.grant)
			f.act(letter.at, letter.node, letter.account)
		}
		return
	}
	pool := f.pools[letter.account]
	if pool.vacant {
		return
	}
	grant := pool.owner.Lease(letter.at, *letter.request)
	f.mail = append(f.mail, fleetMail{at: letter.at + f.delay, node: letter.request.Node, account: letter.account, grant: &grant})
}
