package journal_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/journal"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// authority is how long a pool's owner may grant after a proof, and how long a
// new owner waits once it serves.
const grantPeriod = 250 * clock.Millis(1)

// authorities watches who may grant from the pools of a stream.
type grantChecker struct {
	sim *simulation
	// lied are nodes that are reported gone although they are not: one owner and
	// one holder at most, since nothing can tell when every holder is.
	falselyGone []spool.NodeID
	// both counts the instants with two nodes that have authority, promised those
	// at which a promise alone gave it.
	overlapping, byLease, granting int
}

// has reports whether a node may grant at this instant. A paused node counts: it
// may go on before it learns of anything.
func (checker *grantChecker) mayGrant(n *simNode) bool {
	if !n.alive || n.servingEpoch == 0 || checker.sim.now < n.servingSince+grantPeriod {
		return false
	}
	until, ok := n.journal.Confirmed()
	if ok && until > checker.sim.now {
		checker.byLease++
	}
	return ok && checker.sim.now < until+grantPeriod
}

func (checker *grantChecker) advance(d clock.Millis) {
	for end := checker.sim.now + d; checker.sim.now < end; {
		checker.sim.advance(5)
		granting := 0
		for _, n := range checker.sim.nodes {
			if checker.mayGrant(n) {
				granting++
			}
			if !n.alive || n.paused {
				continue
			}
			for _, awaited := range n.journal.Awaited() {
				if slices.Contains(checker.falselyGone, awaited) || !checker.sim.nodeByID(awaited).alive {
					checker.sim.execute(n, n.journal.Gone(checker.sim.now, awaited))
				}
			}
		}
		checker.granting += min(1, granting)
		if granting > 1 {
			checker.overlapping++
		}
	}
}

// fault begins one fault at a node.
func (checker *grantChecker) injectFault(kind int, n, other *simNode) {
	w := checker.sim
	switch kind {
	case 0:
		n.paused = n.alive
	case 1:
		w.logUnreachable[n.index] = true
	case 2:
		n.alive, n.paused = false, false
	case 3:
		owner := checker.owner()
		if len(checker.falselyGone) == 0 && owner != n {
			checker.falselyGone = []spool.NodeID{owner.id, n.id}[w.random.IntN(2):]
		}
	case 4:
		w.cutLinks[[2]int{n.index, other.index}], w.cutLinks[[2]int{other.index, n.index}] = true, true
	}
}

func (checker *grantChecker) owner() *simNode {
	return checker.sim.nodes[max(0, slices.IndexFunc(checker.sim.nodes, func(n *simNode) bool { return n.servingEpoch != 0 }))]
}

func (checker *grantChecker) repair() {
	w := checker.sim
	checker.falselyGone = nil
	w.logUnreachable, w.cutLinks = map[int]bool{}, map[[2]int]bool{}
	for _, n := range w.nodes {
		w.resume(n)
		if !n.alive {
			w.startNode(n)
		}
	}
}

// release hands the stream over after some time without the log, and pauses the
// owner while its release is on the way.
func (checker *grantChecker) release(owner *simNode) {
	w := checker.sim
	w.logUnreachable[owner.index] = true
	checker.advance(clock.Millis(w.random.IntN(1500)))
	w.execute(owner, owner.journal.HandOver(w.now))
	w.logUnreachable[owner.index] = false
	checker.advance(clock.Millis(50 + w.random.IntN(150)))
	owner.paused = true
	next := w.nodes[(owner.index+1+w.random.IntN(3))%4]
	if next.alive && !next.paused {
		w.claimStream(next, "")
	}
	checker.advance(clock.Millis(w.random.IntN(2500)))
	w.resume(owner)
}

// runAuthorities plays owners, faults and claims. With forgetful, holders say
// that they promise and do not.
func runGrantSimulation(seed uint64, ignoreLeases bool) *grantChecker {
	sim := newSimulation(seed, journal.Config{
		AppendInterval: 30, BatchBytes: 1200, BacklogBytes: 9000, PollWait: 100, RetryAfter: 60,
		OpenWait: 60, ExposeAfter: 40, Retention: clock.Minute, PromiseFor: 900,
	})
	sim.ignoreLeases = ignoreLeases
	checker := &grantChecker{sim: sim}
	sim.claimStream(sim.nodes[0], "")
	checker.advance(800)
	for range 12 {
		owner := checker.owner()
		if sim.random.IntN(2) == 0 {
			checker.injectFault(1, owner, owner)
			checker.advance(clock.Millis(sim.random.IntN(1500)))
		}
		for range 1 + sim.random.IntN(2) {
			n := sim.nodes[sim.random.IntN(4)]
			checker.injectFault(sim.random.IntN(5), n, sim.nodes[(n.index+1+sim.random.IntN(3))%4])
			checker.advance(clock.Millis(sim.random.IntN(300)))
		}
		if next := sim.nodes[sim.random.IntN(4)]; next.alive && !next.paused {
			sim.claimStream(next, owner.id)
		}
		checker.advance(clock.Millis(sim.random.IntN(2500)))
		if sim.random.IntN(3) == 0 {
			checker.repair()
		}
		if owner = checker.owner(); owner.alive && !owner.paused && sim.random.IntN(4) == 0 {
			checker.release(owner)
		}
	}
	return checker
}

// TestOneAuthority guards against two owners that may grant at the same instant:
// with owners paused or without the log on one side only, holders dead, restarted
// or falsely reported gone, links cut and nodes claiming, several at once.
func TestOneAuthority(t *testing.T) {
	served, promised := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		checker := runGrantSimulation(seed, false)
		if checker.overlapping > 0 {
			t.Fatalf("two nodes had authority at %d instants", checker.overlapping)
		}
		served += checker.granting
		promised += checker.byLease
	})
	t.Logf("authority at %d instants, by a promise at %d", served, promised)
	if promised < 1000 {
		t.Fatalf("promises gave authority at %d instants only", promised)
	}
}

// TestOneAuthorityNeedsPromises shows that TestOneAuthority would notice holders
// that answer a seal before their promise has ended.
func TestOneAuthorityFailsWithoutLeases(t *testing.T) {
	for seed := range uint64(200) {
		if runGrantSimulation(seed, true).overlapping > 0 {
			return
		}
	}
	t.Fatal("holders that keep no promise were not noticed")
}
