package roster

import (
	"strconv"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/membership"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Step is the next action of a node. It is one of the types below.
type Step interface{ step() }

type (
	// Wait asks the caller to call Next again at the time Until.
	Wait struct{ Until clock.Millis }

	// Read asks the caller to read the platform's list and to pass the result to
	// ApplyList or ReadFailed.
	Read struct {
		// Fallback reports that the node has a list, is not a reader, and reads only
		// because no parent has answered for Config.StaleAfter.
		Fallback bool
	}

	// Pull asks the caller to send Request to Parent and to pass the result to ApplyReply
	// or PullFailed.
	Pull struct {
		Parent  spool.VM
		Request PullRequest
	}
)

func (Wait) step() {}
func (Read) step() {}
func (Pull) step() {}

// Next returns the next action: a Wait, a Read or a Pull. The caller must pass on the
// result of a Read or Pull before it calls Next again, so that a node never has two
// requests in flight.
func (n *Node) Next(now clock.Millis) Step {
	isReader := n.hasList && n.IsReader()
	n.scheduleFallbackRead(now, isReader)
	if n.nextReadAt != 0 && now >= n.nextReadAt {
		n.lastReadAt, n.nextReadAt = now, 0
		return Read{Fallback: n.hasList && !isReader}
	}
	until := now + retryDelay
	if n.nextReadAt != 0 {
		until = min(until, n.nextReadAt)
	}
	// A reader whose list is stale cannot reach the platform. It also pulls, because
	// another entry may be able to reach the platform.
	if n.hasList && (!isReader || n.isStale(now)) {
		if pull, ok := n.nextPull(now, isReader); ok {
			return pull
		}
	}
	return Wait{Until: until}
}

// scheduleFallbackRead schedules or cancels the fallback read of a node that is not a
// reader: a read of the platform's list when the node's own list is stale and no parent
// has answered for StaleAfter. For a reader it schedules the regular read instead, if
// none is scheduled. It does nothing while the node has no list.
func (n *Node) scheduleFallbackRead(now clock.Millis, isReader bool) {
	switch {
	case !n.hasList:
	case isReader:
		if n.nextReadAt == 0 {
			n.scheduleRead(now)
		}
	case now-n.parentAnsweredAt <= n.config.StaleAfter || !n.isStale(now):
		n.nextReadAt = 0
	case n.nextReadAt == 0:
		n.nextReadAt = max(now, n.lastReadAt+n.fallbackInterval()) + n.jitter(n.fallbackInterval())
	}
}

// nextPull returns the next request to a parent, or false when it is too early for a
// request or no parent is available.
func (n *Node) nextPull(now clock.Millis, isReader bool) (Pull, bool) {
	if now < n.nextPullAt {
		return Pull{}, false
	}
	explore := n.startExploration(now)
	parent, ok := n.chooseParent(now, explore)
	if !ok {
		return Pull{}, false
	}
	wait := n.config.MaxWait
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

// startExploration reports whether the next request should be an exploration: a request
// to a parent other than the usual one, because the list is stale. If so, it schedules
// the next exploration. Between explorations the node asks its usual parent. The
// interval doubles from minExploreInterval to maxExploreInterval, because otherwise an
// outage of the platform's list would make every node connect to every entry.
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

// parentRank orders the candidates for the parent. The candidate with the greatest rank
// is chosen. A field decides only if all fields before it are equal; true ranks above
// false.
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

// chooseParent returns the parent for the next request, or false when no entry is
// available. It leaves out entries that have failed recently. An entry prefers readers,
// those of its own failure domain first, because two entries that are not readers could
// otherwise choose each other. An agent prefers the entries of its own failure domain
// and, as long as that entry answers, chooses the same one every time. An agent does
// not prefer readers, because the readers could not serve all agents within the network
// limit of 15 KB/s per node, and because the agent already has a connection to the
// chosen entry for the control stream. With explore, the choice also depends on the
// number of explorations, and every second exploration prefers the entries of other
// failure domains.
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
		if vm.ID == n.config.Node || vm.Address == "" || (n.peerPenalties.Excludes(now, vm.Address) && !isDigestParent) {
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

// readerSet returns the set of entries that are readers according to this node's list.
// It caches the set until the rows change.
func (n *Node) readerSet() map[spool.NodeID]bool {
	if n.readers == nil {
		n.readers = map[spool.NodeID]bool{}
		rows := n.entries.rows()
		for _, vm := range rows {
			n.readers[vm.ID] = vm.State == spool.VMLive && membership.RankInDomain(vm.FailureDomain, vm.ID, rows) < n.config.ReadersPerDomain
		}
	}
	return n.readers
}
