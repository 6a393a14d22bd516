package roster

import (
	"math/rand/v2"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Errors of a reply or a list that is not taken in.
var (
	// ErrOlder means that the list may be older than the one in force.
	ErrOlder = errors.New("VM list is older than the one in force")
	// ErrNoList means that the answering node has no list yet.
	ErrNoList = errors.New("peer has no VM list yet")
)

// clockStep is the resolution of clock.Millis, by which an age may be wrong at
// either end.
const clockResolution clock.Millis = 1

// Config describes a node. New replaces zero values of the times by defaults.
type Config struct {
	// Node, Role and FailureDomain describe this process as the list does.
	Node          spool.NodeID
	Role          spool.Role
	FailureDomain spool.FailureDomain
	// Readers is how many entries of each failure domain read the platform's
	// list; with 0 every process does.
	Readers int
	// ReadEvery paces the reads of a reader.
	ReadEvery clock.Millis
	// Wait bounds a long poll at a parent.
	Wait clock.Millis
	// LostAfter is the time without an answer of a parent after which a node
	// reads the platform's list itself, at most once every FallbackEvery. It is
	// also the age from which a list counts as stale.
	LostAfter     clock.Millis
	FallbackEvery clock.Millis
	// FirstSpread is the time over which the first reads of a cold start are
	// spread.
	FirstSpread clock.Millis
}

// Defaults of the times.
const (
	// DefaultReadEvery and DefaultReaderEvery pace the reads when every process
	// reads, and when only readers do.
	DefaultReadEvery     clock.Millis = 500
	DefaultReaderEvery                = 1 * clock.Second
	DefaultWait                       = 2 * clock.Second
	DefaultLostAfter                  = 3 * clock.Second
	DefaultFallbackEvery              = 5 * clock.Second
	// DefaultEntrySpread and DefaultAgentSpread are those of FirstSpread.
	DefaultEntrySpread = 1 * clock.Second
	DefaultAgentSpread = 5 * clock.Second
)

const (
	// maxFallbackEvery bounds the pause between reads that fail.
	maxFallbackInterval = clock.Minute
	// retryAfter is the pause after an answer that could not be used.
	retryDelay clock.Millis = 250
	// degradedWait bounds the long poll of a node that has to look for another
	// parent as well. exploreEvery, which doubles up to maxExploreEvery, is the
	// pause between the parents that it tries.
	staleMaxWait       clock.Millis = 500
	minExploreInterval clock.Millis = 500
	maxExploreInterval              = 30 * clock.Second
	// jitterStream separates this generator from others with the same seed.
	jitterStream = 1
)

func (c Config) withDefaults() Config {
	readEvery, spread := DefaultReadEvery, clock.Millis(0)
	if c.Readers > 0 {
		readEvery, spread = DefaultReaderEvery, DefaultEntrySpread
		if c.Role != spool.RoleEntry {
			spread = DefaultAgentSpread
		}
	}
	for value, fallback := range map[*clock.Millis]clock.Millis{
		&c.ReadEvery: readEvery, &c.Wait: DefaultWait, &c.LostAfter: DefaultLostAfter,
		&c.FallbackEvery: DefaultFallbackEvery, &c.FirstSpread: spread,
	} {
		if *value == 0 {
			*value = fallback
		}
	}
	return c
}

// Node is one process's copy of the VM list. It decides what to ask whom, takes
// in the answers, and answers its children. Time is an argument. It is not safe
// for concurrent use.
type Node struct {
	config Config
	random *rand.Rand
	// all holds every row; nil at an agent, which keeps the entries and its own
	// row only.
	all     *table
	entries *table
	ownRow  spool.VM
	// known means that a list has been taken in. The instant at which the
	// platform was asked for it lies between low and high on this node's clock.
	// A list with other rows is taken in only if it was surely read after high.
	hasList                      bool
	readAtEarliest, readAtLatest clock.Millis
	// last is the platform's latest answer, by which one that has not changed is
	// recognised; nil when the rows are a parent's.
	lastPlatformList []spool.VM

	// readAt is when the platform is asked next; 0 while that is not planned.
	nextReadAt clock.Millis
	// askedAt is when the platform was last asked, failures count how often in a
	// row it did not answer.
	lastReadAt   clock.Millis
	readFailures int

	// answeredAt is when a parent last answered.
	parentAnsweredAt clock.Millis
	// pullAt is the earliest instant of the next request to a parent.
	nextPullAt clock.Millis
	avoidance  membership.Avoidance
	// asker is the parent that wants digests.
	digestParent spool.NodeID
	// exploreAt and explorePause pace the search for a parent with a fresh list;
	// explored counts its attempts. found is the parent that it has found, used
	// until foundUntil.
	nextExploreAt    clock.Millis
	exploreInterval  clock.Millis
	explorations     int
	freshParent      spool.NodeID
	freshParentUntil clock.Millis
	// readers caches which entries read the platform's list; nil when out of date.
	readers map[spool.NodeID]bool
}

// New returns a node that has no list yet. seed is that of the jitter.
func New(config Config, now clock.Millis, seed uint64) *Node {
	n := &Node{
		config: config.withDefaults(), random: rand.New(rand.NewPCG(seed, jitterStream)),
		entries: &table{}, parentAnsweredAt: now,
	}
	if config.Role == spool.RoleEntry {
		n.all = &table{}
	}
	n.nextReadAt = now + n.jitter(n.config.FirstSpread)
	return n
}

// jitter returns a random part of a duration.
func (n *Node) jitter(limit clock.Millis) clock.Millis {
	if limit <= 0 {
		return 0
	}
	return clock.Millis(n.random.Int64N(int64(limit)))
}

// Known reports whether the node has a list.
func (n *Node) Known() bool { return n.hasList }

// ReadAt returns the earliest instant at which the platform can have been asked
// for the list in force. It never goes back.
func (n *Node) ReadAt() clock.Millis { return n.readAtEarliest }

// Rows returns all rows that the node keeps, in order of their ID. They must not
// be changed.
func (n *Node) Rows() []spool.VM {
	if n.all != nil {
		return n.all.rows()
	}
	return n.entries.rows()
}

// Entries returns the rows of the entries in order of their ID. They must not be
// changed.
func (n *Node) Entries() []spool.VM { return n.entries.rows() }

// Own returns the node's own row, and false when it is not listed.
func (n *Node) Own() (spool.VM, bool) { return n.ownRow, n.ownRow.ID != "" }

// Reads reports whether the node is one of those that read the platform's list.
func (n *Node) Reads() bool {
	if n.config.Readers == 0 {
		return true
	}
	return n.config.Role == spool.RoleEntry &&
		membership.RankIn(n.config.FailureDomain, n.config.Node, n.entries.rows()) < n.config.Readers
}

// TakeList takes in the platform's answer to a read. vms must not be changed
// afterwards. It fails with ErrOlder.
func (n *Node) TakeList(sent, received clock.Millis, vms []spool.VM) (changed bool, err error) {
	n.readFailures = 0
	n.scheduleRead(received)
	if n.hasList && sent < n.readAtLatest {
		return false, ErrOlder
	}
	if !n.hasList || !sharesMemory(vms, n.lastPlatformList) {
		changed = n.replace(vms)
	}
	n.recordReadTime(sent, received)
	n.lastPlatformList = vms
	return changed, nil
}

// sameSlice reports whether both are the same list in memory, which a client
// returns when the platform's answer is the same as before.
func sharesMemory(a, b []spool.VM) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

func (n *Node) replace(vms []spool.VM) (changed bool) {
	entries := []spool.VM{}
	own := spool.VM{}
	for _, vm := range vms {
		if vm.Role == spool.RoleEntry {
			entries = append(entries, vm)
		}
		if vm.ID == n.config.Node {
			own = vm
		}
	}
	changed = n.entries.replace(entries) || n.ownRow != own
	if n.all != nil {
		changed = n.all.replace(vms) || changed
	}
	n.ownRow, n.readers = own, nil
	return changed
}

func (n *Node) recordReadTime(earliest, latest clock.Millis) {
	n.hasList, n.readAtEarliest, n.readAtLatest = true, max(n.readAtEarliest, earliest), max(n.readAtLatest, latest)
}

// ReadFailed records that the platform did not answer.
func (n *Node) ReadFailed(now clock.Millis) {
	n.readFailures++
	n.scheduleRead(now)
}

// planRead sets the time of the next read of a reader, or of a node without a
// list. That of another node is set when it has lost its parents.
func (n *Node) scheduleRead(now clock.Millis) {
	switch {
	case n.hasList && n.Reads() && n.readFailures == 0:
		n.nextReadAt = max(now, n.lastReadAt+n.config.ReadEvery)
	case n.hasList && n.Reads():
		// Leaves time for asking another entry.
		n.nextReadAt = now + n.config.ReadEvery/2 + n.jitter(n.config.ReadEvery/2)
	case !n.hasList && n.readFailures > 0:
		n.nextReadAt = now + n.fallbackInterval()/2 + n.jitter(n.fallbackInterval()/2)
	default:
		n.nextReadAt = 0
	}
}

// fallbackPause doubles while the platform does not answer, so that nodes do not
// all return at the same time when it does.
func (n *Node) fallbackInterval() clock.Millis {
	return min(maxFallbackInterval, n.config.FallbackEvery<<min(n.readFailures, 8))
}

// request returns what the node asks a parent.
func (n *Node) pullRequest(parent spool.NodeID, wait clock.Millis) PullRequest {
	digests := n.pulledTable().digests()
	request := PullRequest{Node: n.config.Node, EntriesOnly: n.all == nil, Wait: wait}
	if n.all == nil {
		request.Root = digests.rootHash(n.ownRow)
	} else {
		request.Root = digests.rootHash(spool.VM{})
	}
	if n.digestParent == parent {
		request.Digests, request.Wait = &digests, 0
	}
	return request
}

// table returns the rows that the node pulls.
func (n *Node) pulledTable() *table {
	if n.all != nil {
		return n.all
	}
	return n.entries
}

// PullFailed records that a parent did not answer, or not as it should.
func (n *Node) PullFailed(now clock.Millis, parent spool.VM) {
	n.digestParent = ""
	n.clearFreshParent(parent.ID)
	n.avoidance.Failed(now, parent.Address)
}

// TakeReply takes in a parent's answer to a request that was sent at sent. It
// fails with ErrOlder, ErrNoList or ErrDamaged; then nothing has changed.
func (n *Node) TakeReply(sent, received clock.Millis, parent spool.VM, reply PullReply) (changed bool, err error) {
	n.digestParent = ""
	if reply.Age < 0 {
		n.avoidance.Stale(received, parent.Address)
		return false, ErrNoList
	}
	n.recordAnswer(received, parent, reply)
	// The parent answered between sent+Held and received.
	earliest := sent + max(0, reply.Held) - reply.Age - clockResolution
	latest := received - reply.Age + max(0, reply.Spread) + clockResolution
	unchanged := !reply.NeedDigests && reply.Digests == nil
	switch {
	case unchanged && n.hasList:
		n.recordReadTime(earliest, latest)
		return false, nil
	case n.hasList && earliest < n.readAtLatest:
		n.nextPullAt = received + retryDelay
		return false, ErrOlder
	case reply.Digests == nil:
		n.digestParent = parent.ID
		return false, nil
	}
	if changed, err = n.merge(reply); err != nil {
		n.avoidance.Failed(received, parent.Address)
		return false, err
	}
	n.recordReadTime(earliest, latest)
	return changed, nil
}

// noteAnswer notes what an answer tells of the parent. An agent does not mind a
// list that is stale as long as some entry answers: all entries have the same
// one while the platform does not answer, and 11,000 agents must not ask it.
func (n *Node) recordAnswer(now clock.Millis, parent spool.VM, reply PullReply) {
	n.avoidance.Answered(parent.Address)
	stale := reply.Age > n.config.LostAfter
	if !stale || n.config.Role != spool.RoleEntry {
		n.parentAnsweredAt = now
	}
	switch {
	case stale:
		n.clearFreshParent(parent.ID)
	case n.isStale(now) && n.freshParent != parent.ID:
		n.freshParent, n.freshParentUntil = parent.ID, now+maxExploreInterval
	}
}

func (n *Node) clearFreshParent(parent spool.NodeID) {
	if n.freshParent == parent {
		n.freshParent = ""
	}
}

// stale reports whether the list is so old that something is wrong between the
// platform and this node.
func (n *Node) isStale(now clock.Millis) bool { return now-n.readAtEarliest > n.config.LostAfter }

func (n *Node) merge(reply PullReply) (changed bool, err error) {
	if changed, err = n.pulledTable().merge(reply.Rows, *reply.Digests); err != nil {
		return false, err
	}
	own := spool.VM{}
	if reply.Own != nil {
		own = *reply.Own
	}
	n.lastPlatformList, n.readers = nil, nil
	if n.all != nil {
		// The entries and the own row are a part of all rows.
		n.replace(n.all.rows())
		return changed, nil
	}
	changed = changed || n.ownRow != own
	n.ownRow = own
	return changed, nil
}

// Answer returns what a child lacks. ready is false when that is nothing; the
// caller then waits for a change and sends the reply when the wait is over.
func (n *Node) Answer(now clock.Millis, request PullRequest) (reply PullReply, ready bool, err error) {
	if !n.hasList {
		return PullReply{Age: -1}, true, nil
	}
	reply = PullReply{Age: max(0, now-n.readAtEarliest), Spread: n.readAtLatest - n.readAtEarliest}
	table := n.all
	own := spool.VM{}
	if request.EntriesOnly || table == nil {
		table = n.entries
		if n.all != nil {
			own = n.all.row(request.Node)
		}
	}
	digests := table.digests()
	if request.Root == digests.rootHash(own) {
		return reply, false, nil
	}
	if request.Digests == nil {
		reply.NeedDigests = true
		return reply, true, nil
	}
	if reply.Rows, err = table.differingRows(*request.Digests); err != nil {
		return PullReply{}, false, err
	}
	reply.Digests = &digests
	if own.ID != "" {
		reply.Own = &own
	}
	return reply, true, nil
}
