package roster

import (
	"strconv"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Step is what a node does next. It is one of the types below.
type Step interface{ step() }

type (
	// Wait does nothing until an instant.
	Wait struct{ Until clock.Millis }

	// Read asks the platform for its list. The answer goes to TakeList or
	// ReadFailed.
	Read struct {
		// Fallback means that the node is no reader and has lost its parents.
		Fallback bool
	}

	// Pull asks a parent. The answer goes to TakeReply or PullFailed.
	Pull struct {
		Parent  spool.VM
		Request PullRequest
	}
)

func (Wait) step() {}
func (Read) step() {}
func (Pull) step() {}

// Next returns what to do now. The caller reports the outcome before it asks
// again, so that one node never has two requests under way.
func (n *Node) Next(now clock.Millis) Step {
	isReader := n.hasList && n.Reads()
	n.scheduleFallbackRead(now, isReader)
	if n.nextReadAt != 0 && now >= n.nextReadAt {
		n.lastReadAt, n.nextReadAt = now, 0
		return Read{Fallback: n.hasList && !isReader}
	}
	until := now + retryDelay
	if n.nextReadAt != 0 {
		until = min(until, n.nextReadAt)
	}
	// A reader whose list is stale cannot reach the platform, but may reach an
	// entry that can.
	if n.hasList && (!isReader || n.isStale(now)) {
		if pull, ok := n.nextPull(now, isReader); ok {
			return pull
		}
	}
	return Wait{Until: until}
}

// planFallback plans a read of the platform's list when no parent answers, and
// drops the plan when one does.
func (n *Node) scheduleFallbackRead(now clock.Millis, isReader bool) {
	switch {
	case !n.hasList:
	case isReader:
		if n.nextReadAt == 0 {
			n.scheduleRead(now)
		}
	case now-n.parentAnsweredAt <= n.config.LostAfter || !n.isStale(now):
		n.nextReadAt = 0
	case n.nextReadAt == 0:
		n.nextReadAt = max(now, n.lastReadAt+n.fallbackInterval()) + n.jitter(n.fallbackInterval())
	}
}

func (n *Node) nextPull(now clock.Millis, isReader bool) (Pull, bool) {
	if now < n.nextPullAt {
		return Pull{}, false
	}
	explore := n.startExploration(now)
	parent, ok := n.chooseParent(now, explore)
	if !ok {
		return Pull{}, false
	}
	wait := n.config.Wait
	switch {
	case explore:
		wait = 0
	case isReader:
		wait = min(wait, staleMaxWait)
	case n.isStale(now):
		wait = min(wait, max(staleMaxWait, n.nextExploreAt-now))
	}
	return Pull{Parent: parent, Request: n.pullRequest(parent.ID, wait)}, true
}

// explores reports whether to ask another parent than usual, because the list is
// stale. Between such attempts the usual parent is asked, and the pause between
// them grows, so that an outage of the platform's list does not make every node
// connect to every entry.
func (n *Node) startExploration(now clock.Millis) bool {
	switch {
	case !n.isStale(now):
		n.nextExploreAt, n.exploreInterval = 0, 0
		return false
	case now < n.nextExploreAt || n.digestParent != "":
		return false
	}
	n.explorations++
	n.exploreInterval = min(maxExploreInterval, max(minExploreInterval, 2*n.exploreInterval))
	n.nextExploreAt = now + n.exploreInterval
	return true
}

// preference orders the parents; the greatest is asked.
type parentRank struct {
	pinned, live, reader, preferredDomain bool
	score                                 uint64
}

func (p parentRank) less(other parentRank) bool {
	for _, pair := range [][2]bool{
		{p.pinned, other.pinned},
		{p.live, other.live},
		{p.reader, other.reader},
		{p.preferredDomain, other.preferredDomain},
	} {
		if pair[0] != pair[1] {
			return pair[1]
		}
	}
	return p.score < other.score
}

// choose picks the parent. An entry prefers the readers of its failure domain,
// then those of others, since entries that are no readers could ask each other.
// An agent takes any entry there, always the same while it answers: the readers
// could not serve all agents within 15 KB/s, and agents use the connection that
// they have for the control stream. Exploring picks another parent each time, by
// turns near and far.
func (n *Node) chooseParent(now clock.Millis, explore bool) (best spool.VM, ok bool) {
	key, otherDomain := string(n.config.Node), false
	if explore {
		key, otherDomain = key+strconv.Itoa(n.explorations), n.explorations%2 == 1
	}
	pinFreshParent := n.freshParent != "" && now < n.freshParentUntil && n.digestParent == "" && !explore
	readers := n.readerSet()
	bestRank := parentRank{}
	for _, vm := range n.entries.rows() {
		isDigestParent := vm.ID == n.digestParent
		if vm.ID == n.config.Node || vm.Address == "" || (n.avoidance.Avoids(now, vm.Address) && !isDigestParent) {
			continue
		}
		rank := parentRank{
			pinned: isDigestParent || (pinFreshParent && vm.ID == n.freshParent), live: vm.State == spool.VMLive,
			preferredDomain: (vm.FailureDomain == n.config.FailureDomain) != otherDomain,
			reader:          n.config.Role == spool.RoleEntry && readers[vm.ID],
			score:           membership.Score(key, vm.ID),
		}
		if !ok || bestRank.less(rank) {
			best, bestRank, ok = vm, rank, true
		}
	}
	return best, ok
}

// readersOf returns the entries that read the platform's list.
func (n *Node) readerSet() map[spool.NodeID]bool {
	if n.readers == nil {
		n.readers = map[spool.NodeID]bool{}
		rows := n.entries.rows()
		for _, vm := range rows {
			n.readers[vm.ID] = vm.State == spool.VMLive && membership.RankIn(vm.FailureDomain, vm.ID, rows) < n.config.Readers
		}
	}
	return n.readers
}
