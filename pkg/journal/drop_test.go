package journal_test

import (
	"encoding/json"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/journal"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

var _ = ginkgo.Describe("Former holders", func() {
	// Guards against a stream that waits for the VM list when its owner dies after
	// one of its holders was replaced.
	ginkgo.It("are not asked once their copies are on the stream", func() {
		w := serving()
		owner, dead, next := w.nodes[0], w.nodes[1], w.nodes[3]
		w.submit(owner, false)
		w.advance(200)
		dead.alive = false
		w.execute(owner, owner.journal.SetHolders(w.now, []spool.NodeID{"n2", "n3"}))
		w.advance(1000)
		gomega.Expect(owner.journal.Holders()).To(gomega.ConsistOf(spool.NodeID("n2"), spool.NodeID("n3")))
		owner.alive = false
		w.follow(next, owner.id)
		w.advance(3000)
		gomega.Expect(next.journal.Awaited()).To(gomega.BeEmpty())
		gomega.Expect(next.journal.Serving()).To(gomega.BeTrue())
		gomega.Expect(w.problems).To(gomega.BeEmpty())
	})

	// Guards against copies that only a holder has while it leaves.
	ginkgo.It("are asked as long as the stream lacks what they hold", func() {
		w := serving()
		owner, next := w.nodes[0], w.nodes[3]
		w.down = true
		w.advance(300)
		w.submit(owner, false)
		w.advance(300)
		w.execute(owner, owner.journal.SetHolders(w.now, []spool.NodeID{"n2"}))
		w.advance(300)
		owner.alive, w.nodes[2].alive = false, false
		w.down = false
		w.follow(next, owner.id)
		w.advance(1000)
		gomega.Expect(next.journal.Awaited()).To(gomega.ContainElement(spool.NodeID("n2")))
		gomega.Expect(w.nodes[1].journal.Phase()).To(gomega.Equal(journal.PhaseIdle))
	})

	// Guards against a record whose answer was lost and that takes effect once the
	// same process is a holder again.
	ginkgo.It("count again only while the stream names them, whatever answers are lost", func() {
		again := 0
		for seed := range uint64(200) {
			w := newWorld(seed, journal.Config{AppendInterval: 30, PollWait: 100, RetryAfter: 60, OpenWait: 60, ExposeAfter: 40})
			owner := w.nodes[0]
			w.follow(owner, "")
			w.advance(600)
			w.loseEvery = 2
			for range 30 {
				first := 1 + w.random.IntN(3)
				nodes := []spool.NodeID{w.nodes[first].id, w.nodes[1+first%3].id}
				w.execute(owner, owner.journal.SetHolders(w.now, nodes))
				w.advance(clock.Millis(50 + w.random.IntN(400)))
				f := journal.NewFold(journal.State{}, 0)
				for _, landed := range w.all {
					f.Add(landed)
				}
				for _, holder := range owner.journal.Holders() {
					again++
					gomega.Expect(f.State().Holders).To(gomega.ContainElement(holder), "seed %d", seed)
				}
			}
		}
		gomega.Expect(again).To(gomega.BeNumerically(">", 2000))
	})

	record := func(kind spool.RecordKind, node spool.NodeID, incarnation string) spool.Record {
		data, _ := json.Marshal(journal.Claim{
			Holders: []spool.NodeID{node}, Incarnations: map[spool.NodeID]string{node: incarnation},
		})
		return spool.Record{Kind: kind, Data: data}
	}

	// Guards against a record that takes effect after the holder was named again.
	ginkgo.It("stay when they were named again before a late record drops them", func() {
		f := journal.NewFold(journal.State{}, 0)
		f.Add(claim("a", 1))
		f.Add(batch("a", 1, record(journal.KindHolders, "h", "first")))
		f.Add(batch("a", 1, record(journal.KindDropped, "h", "first")))
		gomega.Expect(f.State().Holders).To(gomega.BeEmpty())
		f.Add(batch("a", 1, record(journal.KindHolders, "h", "second")))
		f.Add(batch("a", 1, record(journal.KindDropped, "h", "first")))
		gomega.Expect(f.State().Holders).To(gomega.Equal([]spool.NodeID{"h"}))
	})
})
