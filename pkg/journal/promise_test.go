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
const authority = 250 * clock.Millis(1)

// authorities watches who may grant from the pools of a stream.
type authorities struct {
	w *world
	// lied are nodes that are reported gone although they are not: one owner and
	// one holder at most, since nothing can tell when every holder is.
	lied []spool.NodeID
	// both counts the instants with two nodes that have authority, promised those
	// at which a promise alone gave it.
	both, promised, served int
}

// has reports whether a node may grant at this instant. A paused node counts: it
// may go on before it learns of anything.
func (a *authorities) has(n *site) bool {
	if !n.alive || n.serving == 0 || a.w.now < n.servingAt+authority {
		return false
	}
	until, ok := n.journal.Confirmed()
	if ok && until > a.w.now {
		a.promised++
	}
	return ok && a.w.now < until+authority
}

func (a *authorities) advance(d clock.Millis) {
	for end := a.w.now + d; a.w.now < end; {
		a.w.advance(5)
		count := 0
		for _, n := range a.w.nodes {
			if a.has(n) {
				count++
			}
			if !n.alive || n.paused {
				continue
			}
			for _, awaited := range n.journal.Awaited() {
				if slices.Contains(a.lied, awaited) || !a.w.find(awaited).alive {
					a.w.execute(n, n.journal.Gone(a.w.now, awaited))
				}
			}
		}
		a.served += min(1, count)
		if count > 1 {
			a.both++
		}
	}
}

// fault begins one fault at a node.
func (a *authorities) fault(kind int, n, other *site) {
	w := a.w
	switch kind {
	case 0:
		n.paused = n.alive
	case 1:
		w.deaf[n.index] = true
	case 2:
		n.alive, n.paused = false, false
	case 3:
		owner := a.owner()
		if len(a.lied) == 0 && owner != n {
			a.lied = []spool.NodeID{owner.id, n.id}[w.random.IntN(2):]
		}
	case 4:
		w.cut[[2]int{n.index, other.index}], w.cut[[2]int{other.index, n.index}] = true, true
	}
}

func (a *authorities) owner() *site {
	return a.w.nodes[max(0, slices.IndexFunc(a.w.nodes, func(n *site) bool { return n.serving != 0 }))]
}

func (a *authorities) mend() {
	w := a.w
	a.lied = nil
	w.deaf, w.cut = map[int]bool{}, map[[2]int]bool{}
	for _, n := range w.nodes {
		w.wake(n)
		if !n.alive {
			w.start(n)
		}
	}
}

// release hands the stream over after some time without the log, and pauses the
// owner while its release is on the way.
func (a *authorities) release(owner *site) {
	w := a.w
	w.deaf[owner.index] = true
	a.advance(clock.Millis(w.random.IntN(1500)))
	w.execute(owner, owner.journal.HandOver(w.now))
	w.deaf[owner.index] = false
	a.advance(clock.Millis(50 + w.random.IntN(150)))
	owner.paused = true
	next := w.nodes[(owner.index+1+w.random.IntN(3))%4]
	if next.alive && !next.paused {
		w.follow(next, "")
	}
	a.advance(clock.Millis(w.random.IntN(2500)))
	w.wake(owner)
}

// runAuthorities plays owners, faults and claims. With forgetful, holders say
// that they promise and do not.
func runAuthorities(seed uint64, forgetful bool) *authorities {
	w := newWorld(seed, journal.Config{
		AppendInterval: 30, BatchBytes: 1200, BacklogBytes: 9000, PollWait: 100, RetryAfter: 60,
		OpenWait: 60, ExposeAfter: 40, Retention: clock.Minute, PromiseFor: 900,
	})
	w.forgetful = forgetful
	a := &authorities{w: w}
	w.follow(w.nodes[0], "")
	a.advance(800)
	for range 12 {
		owner := a.owner()
		if w.random.IntN(2) == 0 {
			a.fault(1, owner, owner)
			a.advance(clock.Millis(w.random.IntN(1500)))
		}
		for range 1 + w.random.IntN(2) {
			n := w.nodes[w.random.IntN(4)]
			a.fault(w.random.IntN(5), n, w.nodes[(n.index+1+w.random.IntN(3))%4])
			a.advance(clock.Millis(w.random.IntN(300)))
		}
		if next := w.nodes[w.random.IntN(4)]; next.alive && !next.paused {
			w.follow(next, owner.id)
		}
		a.advance(clock.Millis(w.random.IntN(2500)))
		if w.random.IntN(3) == 0 {
			a.mend()
		}
		if owner = a.owner(); owner.alive && !owner.paused && w.random.IntN(4) == 0 {
			a.release(owner)
		}
	}
	return a
}

// TestOneAuthority guards against two owners that may grant at the same instant:
// with owners paused or without the log on one side only, holders dead, restarted
// or falsely reported gone, links cut and nodes claiming, several at once.
func TestOneAuthority(t *testing.T) {
	served, promised := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		a := runAuthorities(seed, false)
		if a.both > 0 {
			t.Fatalf("two nodes had authority at %d instants", a.both)
		}
		served += a.served
		promised += a.promised
	})
	t.Logf("authority at %d instants, by a promise at %d", served, promised)
	if promised < 1000 {
		t.Fatalf("promises gave authority at %d instants only", promised)
	}
}

// TestOneAuthorityNeedsPromises shows that TestOneAuthority would notice holders
// that answer a seal before their promise has ended.
func TestOneAuthorityNeedsPromises(t *testing.T) {
	for seed := range uint64(200) {
		if runAuthorities(seed, true).both > 0 {
			return
		}
	}
	t.Fatal("holders that keep no promise were not noticed")
}
