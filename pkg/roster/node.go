package roster

import (
	"math/rand/v2"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Errors of ApplyList and ApplyReply. ApplyReply can also fail with ErrCorrupt.
var (
	// ErrOutdated means that the received list may be older than the node's current one.
	ErrOutdated = errors.New("VM list may be older than the current one")
	// ErrNoList means that the parent has no list yet.
	ErrNoList = errors.New("peer has no VM list yet")
)

// clockResolution is the resolution of clock.Millis. Each computed bound of the read
// time of a list may be wrong by this much.
const clockResolution clock.Millis = 1

// Config describes a node. New replaces each duration that is 0 by its default.
type Config struct {
	// Node, Role and FailureDomain are the same as in the row of this process in the VM
	// list.
	Node          spool.NodeID
	Role          spool.Role
	FailureDomain spool.FailureDomain
	// ReadersPerDomain is the number of entries of each failure domain that read the
	// platform's list. If it is 0, every process reads the list.
	ReadersPerDomain int
	// ReadInterval is the interval between the reads of the platform's list by a reader.
	ReadInterval clock.Millis
	// MaxWait is the maximum duration of a long poll that this node requests from a
	// parent.
	MaxWait clock.Millis
	// StaleAfter is the age beyond which a list is stale. A node that is not a reader
	// reads the platform's list itself when its list is stale and no parent has answered
	// for this time.
	StaleAfter clock.Millis
	// FallbackInterval is the minimum time between two reads by a node that is not a
	// reader. The time doubles with each consecutive failed read, up to
	// maxFallbackInterval.
	FallbackInterval clock.Millis
	// InitialReadSpread is the time after New within which a node first reads the
	// platform's list. Each node chooses a random time, so that a cold start of all nodes
	// does not overload the platform.
	InitialReadSpread clock.Millis
}

// Defaults of the durations in Config.
const (
	// DefaultReadInterval is the default of ReadInterval if every process reads the
	// list, DefaultReaderInterval if only the readers do.
	DefaultReadInterval     clock.Millis = 500
	DefaultReaderInterval                = 1 * clock.Second
	DefaultMaxWait                       = 2 * clock.Second
	DefaultStaleAfter                    = 3 * clock.Second
	DefaultFallbackInterval              = 5 * clock.Second
	// DefaultEntrySpread and DefaultAgentSpread are the defaults of InitialReadSpread if
	// only the readers read the list. Otherwise the default is 0.
	DefaultEntrySpread = 1 * clock.Second
	DefaultAgentSpread = 5 * clock.Second
)

const (
	// maxFallbackInterval bounds the interval between the reads of a node that is not a
	// reader or has no list, when these reads fail.
	maxFallbackInterval = clock.Minute
	// retryDelay is the pause after a reply that failed with ErrOutdated, and the longest
	// Wait that Next returns.
	retryDelay clock.Millis = 250
	// staleMaxWait limits the long poll of a reader, which also has to read the platform's
	// list. The long poll of another node whose list is stale may last until the next
	// exploration, and at least staleMaxWait. The interval between explorations starts at
	// minExploreInterval and doubles up to maxExploreInterval; see startExploration.
	staleMaxWait       clock.Millis = 500
	minExploreInterval clock.Millis = 500
	maxExploreInterval              = 30 * clock.Second
	// jitterStream is the second half of the seed of the random generator. It
	// distinguishes this generator from others with the same first half.
	jitterStream = 1
)

func (c Config) withDefaults() Config {
	readInterval, spread := DefaultReadInterval, clock.Millis(0)
	if c.ReadersPerDomain > 0 {
		readInterval, spread = DefaultReaderInterval, DefaultEntrySpread
		if c.Role != spool.RoleEntry {
			spread = DefaultAgentSpread
		}
	}
	for value, fallback := range map[*clock.Millis]clock.Millis{
		&c.ReadInterval: readInterval, &c.MaxWait: DefaultMaxWait, &c.StaleAfter: DefaultStaleAfter,
		&c.FallbackInterval: DefaultFallbackInterval, &c.InitialReadSpread: spread,
	} {
		if *value == 0 {
			*value = fallback
		}
	}
	return c
}

// Node maintains the copy of the VM list of one process. It decides when to request the
// list from the platform or from a parent, applies the answers, and answers the
// requests of its children. It takes the time as an argument. It is not safe for
// concurrent use.
type Node struct {
	config Config
	random *rand.Rand
	// all contains every row. It is nil in an agent, which keeps only the rows of the
	// entries and its own row. ownRow is the zero value when the platform does not list
	// this node.
	all     *table
	entries *table
	ownRow  spool.VM
	// hasList reports whether the node has a list. The platform was asked for this list
	// between readAtEarliest and readAtLatest on this node's clock. A list with other
	// rows is accepted only if the platform was certainly asked for it at or after
	// readAtLatest.
	hasList                      bool
	readAtEarliest, readAtLatest clock.Millis
	// lastPlatformList is the platform's latest answer; see sharesMemory. It is nil when
	// the rows come from a parent.
	lastPlatformList []spool.VM

	// nextReadAt is the time of the next read of the platform's list; 0 when none is
	// scheduled.
	nextReadAt clock.Millis
	// lastReadAt is the time of the latest read of the platform's list. readFailures is
	// the number of consecutive reads that failed.
	lastReadAt   clock.Millis
	readFailures int

	// parentAnsweredAt is the time of the latest answer of a parent; at first the time of
	// New. An entry ignores answers with a stale list here; see recordAnswer.
	parentAnsweredAt clock.Millis
	// nextPullAt is the earliest time of the next request to a parent.
	nextPullAt    clock.Millis
	peerPenalties membership.PeerPenalties
	// digestParent is the parent whose latest reply asked for digests; empty when it did
	// not. The next request goes to this parent.
	digestParent spool.NodeID
	// nextExploreAt is the time of the next exploration, a search for a parent whose list
	// is not stale; see startExploration. exploreInterval is the current interval between
	// explorations, and explorations is their number. freshParent is the parent that an
	// exploration has found; the node prefers it until freshParentUntil.
	nextExploreAt    clock.Millis
	exploreInterval  clock.Millis
	explorations     int
	freshParent      spool.NodeID
	freshParentUntil clock.Millis
	// readers caches the result of readerSet; nil when it is out of date.
	readers map[spool.NodeID]bool
}

// New returns a node that has no list yet. Its first read of the platform's list is
// scheduled within Config.InitialReadSpread. seed initializes the random generator of
// the jitter.
func New(config Config, now clock.Millis, seed uint64) *Node {
	n := &Node{
		config: config.withDefaults(), random: rand.New(rand.NewPCG(seed, jitterStream)),
		entries: &table{}, parentAnsweredAt: now,
	}
	if config.Role == spool.RoleEntry {
		n.all = &table{}
	}
	n.nextReadAt = now + n.jitter(n.config.InitialReadSpread)
	return n
}

// jitter returns a random duration from 0 up to, but excluding, limit; 0 if limit is
// not positive.
func (n *Node) jitter(limit clock.Millis) clock.Millis {
	if limit <= 0 {
		return 0
	}
	return clock.Millis(n.random.Int64N(int64(limit)))
}

// HasList reports whether the node has a list.
func (n *Node) HasList() bool { return n.hasList }

// ReadAt returns the earliest time, on this node's clock, at which the platform can
// have been asked for the current list; 0 while there is no list. The result never
// decreases.
func (n *Node) ReadAt() clock.Millis { return n.readAtEarliest }

// Rows returns the rows that the node keeps, sorted by ID: all rows in an entry, the
// rows of the entries in an agent. The caller must not modify them.
func (n *Node) Rows() []spool.VM {
	if n.all != nil {
		return n.all.rows()
	}
	return n.entries.rows()
}

// Entries returns the rows of the entries, sorted by ID. The caller must not modify
// them.
func (n *Node) Entries() []spool.VM { return n.entries.rows() }

// Own returns the node's own row, or false when the node is not listed.
func (n *Node) Own() (spool.VM, bool) { return n.ownRow, n.ownRow.ID != "" }

// IsReader reports whether the node is a reader, which polls the platform's list. If
// ReadersPerDomain is 0, every node is a reader. Otherwise the readers are the first
// ReadersPerDomain live entries of each failure domain, in rendezvous order over the
// current list.
func (n *Node) IsReader() bool {
	if n.config.ReadersPerDomain == 0 {
		return true
	}
	return n.config.Role == spool.RoleEntry &&
		membership.RankInDomain(n.config.FailureDomain, n.config.Node, n.entries.rows()) < n.config.ReadersPerDomain
}

// ApplyList applies the platform's answer to a read and schedules the next read. sent
// and received are the times of the request and the answer. The caller must not modify
// vms afterwards. changed reports whether the rows changed. ApplyList fails with
// ErrOutdated, and leaves the list unchanged, if the current list may have been read
// after sent.
func (n *Node) ApplyList(sent, received clock.Millis, vms []spool.VM) (changed bool, err error) {
	n.readFailures = 0
	n.scheduleRead(received)
	if n.hasList && sent < n.readAtLatest {
		return false, ErrOutdated
	}
	if !n.hasList || !sharesMemory(vms, n.lastPlatformList) {
		changed = n.replace(vms)
	}
	n.recordReadTime(sent, received)
	n.lastPlatformList = vms
	return changed, nil
}

// sharesMemory reports whether a and b are the same slice in memory. An implementation
// of spool.VMList may return the same slice again when the platform's list has not
// changed, which makes the comparison of all rows unnecessary.
func sharesMemory(a, b []spool.VM) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// replace replaces all rows by vms and reports whether they changed.
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

// recordReadTime records that the platform was asked for the current list between
// earliest and latest. The recorded bounds never decrease.
func (n *Node) recordReadTime(earliest, latest clock.Millis) {
	n.hasList, n.readAtEarliest, n.readAtLatest = true, max(n.readAtEarliest, earliest), max(n.readAtLatest, latest)
}

// ReadFailed records that a read of the platform's list failed, and schedules the next
// read.
func (n *Node) ReadFailed(now clock.Millis) {
	n.readFailures++
	n.scheduleRead(now)
}

// scheduleRead sets the time of the next read for a reader and, after a failed read,
// for a node without a list. Otherwise it clears the time; scheduleFallbackRead sets it
// again when a read is necessary.
func (n *Node) scheduleRead(now clock.Millis) {
	switch {
	case n.hasList && n.IsReader() && n.readFailures == 0:
		n.nextReadAt = max(now, n.lastReadAt+n.config.ReadInterval)
	case n.hasList && n.IsReader():
		// The pause leaves time to pull from another entry if the list is stale.
		n.nextReadAt = now + n.config.ReadInterval/2 + n.jitter(n.config.ReadInterval/2)
	case !n.hasList && n.readFailures > 0:
		n.nextReadAt = now + n.fallbackInterval()/2 + n.jitter(n.fallbackInterval()/2)
	default:
		n.nextReadAt = 0
	}
}

// fallbackInterval returns the interval between reads of a node that is not a reader
// or has no list. The interval doubles with each consecutive failure, up to
// maxFallbackInterval, so that the nodes do not all read at the same time when the
// platform recovers.
func (n *Node) fallbackInterval() clock.Millis {
	return min(maxFallbackInterval, n.config.FallbackInterval<<min(n.readFailures, 8))
}

// pullRequest returns the request to a parent. If the parent has asked for digests, the
// request carries them and does not wait.
func (n *Node) pullRequest(parent spool.NodeID, wait clock.Millis) PullRequest {
	digests := n.pulledTable().digests()
	request := PullRequest{Node: n.config.Node, EntriesOnly: n.all == nil, MaxWait: wait}
	if n.all == nil {
		request.Root = digests.rootHash(n.ownRow)
	} else {
		request.Root = digests.rootHash(spool.VM{})
	}
	if n.digestParent == parent {
		request.Digests, request.MaxWait = &digests, 0
	}
	return request
}

// pulledTable returns the table that the node synchronizes with its parent.
func (n *Node) pulledTable() *table {
	if n.all != nil {
		return n.all
	}
	return n.entries
}

// PullFailed records that a parent did not answer or returned an error. The node does
// not choose that parent again until its penalty ends; see membership.PeerPenalties.
func (n *Node) PullFailed(now clock.Millis, parent spool.VM) {
	n.digestParent = ""
	n.clearFreshParent(parent.ID)
	n.peerPenalties.Failed(now, parent.Address)
}

// ApplyReply applies a parent's reply. sent and received are the times of the request
// and the reply. changed reports whether the rows changed. If the reply asks for
// digests, ApplyReply only arranges that the next request carries them. It fails with
// ErrOutdated, ErrNoList or ErrCorrupt, and then leaves the list unchanged. After
// ErrNoList or ErrCorrupt the node does not choose that parent for some time, and after
// ErrOutdated it does not pull for retryDelay.
func (n *Node) ApplyReply(sent, received clock.Millis, parent spool.VM, reply PullReply) (changed bool, err error) {
	n.digestParent = ""
	if reply.Age < 0 {
		n.peerPenalties.Stale(received, parent.Address)
		return false, ErrNoList
	}
	n.recordAnswer(received, parent, reply)
	// The parent computed Age between sent+HoldTime and received.
	earliest := sent + max(0, reply.HoldTime) - reply.Age - clockResolution
	latest := received - reply.Age + max(0, reply.AgeUncertainty) + clockResolution
	unchanged := !reply.NeedDigests && reply.Digests == nil
	switch {
	case unchanged && n.hasList:
		n.recordReadTime(earliest, latest)
		return false, nil
	case n.hasList && earliest < n.readAtLatest:
		n.nextPullAt = received + retryDelay
		return false, ErrOutdated
	case reply.Digests == nil:
		n.digestParent = parent.ID
		return false, nil
	}
	if changed, err = n.merge(reply); err != nil {
		n.peerPenalties.Failed(received, parent.Address)
		return false, err
	}
	n.recordReadTime(earliest, latest)
	return changed, nil
}

// recordAnswer updates the state about the parents after an answer. An answer with a
// stale list updates parentAnsweredAt in an agent, but not in an entry. While the
// platform does not answer, the lists of all entries are stale, and this difference
// prevents 11,000 agents from starting fallback reads of the platform's list.
func (n *Node) recordAnswer(now clock.Millis, parent spool.VM, reply PullReply) {
	n.peerPenalties.Answered(parent.Address)
	stale := reply.Age > n.config.StaleAfter
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

// clearFreshParent resets freshParent if it is the given parent.
func (n *Node) clearFreshParent(parent spool.NodeID) {
	if n.freshParent == parent {
		n.freshParent = ""
	}
}

// isStale reports whether the list is older than StaleAfter. That indicates a fault of
// the platform, of this node's connection to it, or of a node in between.
func (n *Node) isStale(now clock.Millis) bool { return now-n.readAtEarliest > n.config.StaleAfter }

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
		// Derive the entries and the own row from all rows.
		n.replace(n.all.rows())
		return changed, nil
	}
	changed = changed || n.ownRow != own
	n.ownRow = own
	return changed, nil
}

// Answer returns the reply to a child's request. If ready is true, the caller sends the
// reply at once. ready is false when the lists of both nodes are equal. The caller then
// calls Answer again after each change of the rows and at the end of the long poll, and
// sends the reply when ready is true or the long poll ends.
func (n *Node) Answer(now clock.Millis, request PullRequest) (reply PullReply, ready bool, err error) {
	if !n.hasList {
		return PullReply{Age: -1}, true, nil
	}
	reply = PullReply{Age: max(0, now-n.readAtEarliest), AgeUncertainty: n.readAtLatest - n.readAtEarliest}
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
