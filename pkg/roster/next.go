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
	reads := n.known && n.Reads()
	n.planFallback(now, reads)
	if n.readAt != 0 && now >= n.readAt {
		n.askedAt, n.readAt = now, 0
		return Read{Fallback: n.known && !reads}
	}
	until := now + retryAfter
	if n.readAt != 0 {
		until = min(until, n.readAt)
	}
	// A reader whose list is stale cannot reach the platform, but may reach an
	// entry that can.
	if n.known && (!reads || n.stale(now)) {
		if pull, ok := n.pull(now, reads); ok {
			return pull
		}
	}
	return Wait{Until: until}
}

// planFallback plans a read of the platform's list when no parent answers, and
// drops the plan when one does.
func (n *Node) planFallback(now clock.Millis, reads bool) {
	switch {
	case !n.known:
	case reads:
		if n.readAt == 0 {
			n.planRead(now)
		}
	case now-n.answeredAt <= n.config.LostAfter || !n.stale(now):
		n.readAt = 0
	case n.readAt == 0:
		n.readAt = max(now, n.askedAt+n.fallbackPause()) + n.jitter(n.fallbackPause())
	}
}

func (n *Node) pull(now clock.Millis, reads bool) (Pull, bool) {
	if now < n.pullAt {
		return Pull{}, false
	}
	explore := n.explores(now)
	parent, ok := n.choose(now, explore)
	if !ok {
		return Pull{}, false
	}
	wait := n.config.Wait
	switch {
	case explore:
		wait = 0
	case reads:
		wait = min(wait, degradedWait)
	case n.stale(now):
		wait = min(wait, max(degradedWait, n.exploreAt-now))
	}
	return Pull{Parent: parent, Request: n.request(parent.ID, wait)}, true
}

// explores reports whether to ask another parent than usual, because the list is
// stale. Between such attempts the usual parent is asked, and the pause between
// them grows, so that an outage of the platform's list does not make every node
// connect to every entry.
func (n *Node) explores(now clock.Millis) bool {
	switch {
	case !n.stale(now):
		n.exploreAt, n.explorePause = 0, 0
		return false
	case now < n.exploreAt || n.asker != "":
		return false
	}
	n.explored++
	n.explorePause = min(maxExploreEvery, max(exploreEvery, 2*n.explorePause))
	n.exploreAt = now + n.explorePause
	return true
}

// preference orders the parents; the greatest is asked.
type preference struct {
	special, live, reader, near bool
	score                       uint64
}

func (p preference) less(other preference) bool {
	for _, pair := range [][2]bool{
		{p.special, other.special},
		{p.live, other.live},
		{p.reader, other.reader},
		{p.near, other.near},
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
func (n *Node) choose(now clock.Millis, explore bool) (best spool.VM, ok bool) {
	key, far := string(n.config.Node), false
	if explore {
		key, far = key+strconv.Itoa(n.explored), n.explored%2 == 1
	}
	found := n.found != "" && now < n.foundUntil && n.asker == "" && !explore
	readers := n.readersOf()
	chosen := preference{}
	for _, vm := range n.entries.rows() {
		asker := vm.ID == n.asker
		if vm.ID == n.config.Node || vm.Address == "" || (n.avoided.Avoids(now, vm.Address) && !asker) {
			continue
		}
		candidate := preference{
			special: asker || (found && vm.ID == n.found), live: vm.State == spool.VMLive,
			near:   (vm.FailureDomain == n.config.FailureDomain) != far,
			reader: n.config.Role == spool.RoleEntry && readers[vm.ID],
			score:  membership.Score(key, vm.ID),
		}
		if !ok || chosen.less(candidate) {
			best, chosen, ok = vm, candidate, true
		}
	}
	return best, ok
}

// readersOf returns the entries that read the platform's list.
func (n *Node) readersOf() map[spool.NodeID]bool {
	if n.readers == nil {
		n.readers = map[spool.NodeID]bool{}
		rows := n.entries.rows()
		for _, vm := range rows {
			n.readers[vm.ID] = vm.State == spool.VMLive && membership.RankIn(vm.FailureDomain, vm.ID, rows) < n.config.Readers
		}
	}
	return n.readers
}
