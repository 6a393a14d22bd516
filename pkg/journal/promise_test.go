package journal_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/journal"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// grantPeriod is how long an owner may still grant from its pools after the
// time that ConfirmedUntil returns. A new owner does not grant for the same
// time after it starts to serve.
const grantPeriod = 250 * clock.Millis(1)

// grantChecker samples every 5 ms of a simulation which nodes may grant from
// the pools of the stream.
type grantChecker struct {
	sim *simulation
	// falselyGone lists the nodes that are reported gone although they are alive.
	// It never has more than the owner and one other node: if the owner and all
	// its replicas are wrongly reported gone, nothing can prevent a second owner.
	falselyGone []spool.NodeID
	// overlapping counts the samples at which two or more nodes may grant,
	// granting those at which at least one may. byLease counts the nodes and
	// samples at which a lease proves ownership up to a later time than the
	// sample.
	overlapping, byLease, granting int
}

// mayGrant reports whether a node may grant now, and counts byLease. A paused
// node may grant as well, because it can resume and grant before it learns of a
// new owner.
func (checker *grantChecker) mayGrant(n *simNode) bool {
	if !n.alive || n.servingEpoch == 0 || checker.sim.now < n.servingSince+grantPeriod {
		return false
	}
	until, ok := n.journal.ConfirmedUntil()
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
			for _, awaited := range n.journal.AwaitedNodes() {
				if slices.Contains(checker.falselyGone, awaited) || !checker.sim.nodeByID(awaited).alive {
					checker.sim.execute(n, n.journal.NodeGone(checker.sim.now, awaited))
				}
			}
		}
		checker.granting += min(1, granting)
		if granting > 1 {
			checker.overlapping++
		}
	}
}

// injectFault starts a fault at node n, according to kind: 0 pauses it, 1 cuts
// it off from the log, 2 stops it, 3 adds n, or the owner and n, to falselyGone
// if that is empty and n is not the owner, and 4 cuts the link to other in both
// directions.
func (checker *grantChecker) injectFault(kind int, n, other *simNode) {
	sim := checker.sim
	switch kind {
	case 0:
		n.paused = n.alive
	case 1:
		sim.logUnreachable[n.index] = true
	case 2:
		n.alive, n.paused = false, false
	case 3:
		owner := checker.owner()
		if len(checker.falselyGone) == 0 && owner != n {
			checker.falselyGone = []spool.NodeID{owner.id, n.id}[sim.random.IntN(2):]
		}
	case 4:
		sim.cutLinks[[2]int{n.index, other.index}], sim.cutLinks[[2]int{other.index, n.index}] = true, true
	}
}

func (checker *grantChecker) owner() *simNode {
	return checker.sim.nodes[max(0, slices.IndexFunc(checker.sim.nodes, func(n *simNode) bool { return n.servingEpoch != 0 }))]
}

func (checker *grantChecker) repair() {
	sim := checker.sim
	checker.falselyGone = nil
	sim.logUnreachable, sim.cutLinks = map[int]bool{}, map[[2]int]bool{}
	for _, n := range sim.nodes {
		sim.resume(n)
		if !n.alive {
			sim.startNode(n)
		}
	}
}

// release makes the owner release the stream after up to 1.5 s without the log,
// and pauses it while the append of the release may be in flight. Another node
// claims the stream meanwhile, and then the owner resumes.
func (checker *grantChecker) release(owner *simNode) {
	sim := checker.sim
	sim.logUnreachable[owner.index] = true
	checker.advance(clock.Millis(sim.random.IntN(1500)))
	sim.execute(owner, owner.journal.ReleaseStream(sim.now))
	sim.logUnreachable[owner.index] = false
	checker.advance(clock.Millis(50 + sim.random.IntN(150)))
	owner.paused = true
	next := sim.nodes[(owner.index+1+sim.random.IntN(3))%4]
	if next.alive && !next.paused {
		sim.claimStream(next, "")
	}
	checker.advance(clock.Millis(sim.random.IntN(2500)))
	sim.resume(owner)
}

// runGrantSimulation runs a simulation with random faults, claims and releases,
// and returns the checker with its counts. ignoreLeases is
// simulation.ignoreLeases.
func runGrantSimulation(seed uint64, ignoreLeases bool) *grantChecker {
	sim := newSimulation(seed, journal.Config{
		AppendInterval: 30, BatchBytes: 1200, BacklogBytes: 9000, PollWait: 100, RetryAfter: 60,
		ReplicaWait: 60, ReplicateAfter: 40, Retention: clock.Minute, LeaseDuration: 900,
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

// TestOneAuthority guards against two nodes that may grant at the same time.
// Several faults overlap: owners pause or lose the log on their side only,
// replicas die, restart or are falsely reported gone, links are cut and nodes
// claim the stream.
func TestOneAuthority(t *testing.T) {
	granting, byLease := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		checker := runGrantSimulation(seed, false)
		if checker.overlapping > 0 {
			t.Fatalf("two nodes were able to grant at %d samples", checker.overlapping)
		}
		granting += checker.granting
		byLease += checker.byLease
	})
	t.Logf("a node was able to grant at %d samples, by a lease alone at %d", granting, byLease)
	if byLease < 1000 {
		t.Fatalf("leases permitted grants at only %d samples", byLease)
	}
}

// TestOneAuthorityFailsWithoutLeases guards against a TestOneAuthority that
// cannot fail: it must detect replicas that answer fence requests before their
// leases end.
func TestOneAuthorityFailsWithoutLeases(t *testing.T) {
	for seed := range uint64(200) {
		if runGrantSimulation(seed, true).overlapping > 0 {
			return
		}
	}
	t.Fatal("replicas that ignore their leases were not detected")
}
