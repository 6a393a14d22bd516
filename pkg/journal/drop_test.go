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
	// Guards against a new owner that waits for a dead former replica until the VM
	// list omits it, after the previous owner had replaced that replica and died.
	ginkgo.It("are not asked once their copies are on the stream", func() {
		sim := newServingSimulation()
		owner, dead, next := sim.nodes[0], sim.nodes[1], sim.nodes[3]
		sim.submit(owner, false)
		sim.advance(200)
		dead.alive = false
		sim.execute(owner, owner.journal.SetReplicas(sim.now, []spool.NodeID{"n2", "n3"}))
		sim.advance(1000)
		gomega.Expect(owner.journal.ActiveReplicas()).To(gomega.ConsistOf(spool.NodeID("n2"), spool.NodeID("n3")))
		owner.alive = false
		sim.claimStream(next, owner.id)
		sim.advance(3000)
		gomega.Expect(next.journal.AwaitedNodes()).To(gomega.BeEmpty())
		gomega.Expect(next.journal.Serving()).To(gomega.BeTrue())
		gomega.Expect(sim.violations).To(gomega.BeEmpty())
	})

	// Guards against the loss of units that no live node has except a former
	// replica.
	ginkgo.It("are asked while the stream lacks units that they hold", func() {
		sim := newServingSimulation()
		owner, next := sim.nodes[0], sim.nodes[3]
		sim.logDown = true
		sim.advance(300)
		sim.submit(owner, false)
		sim.advance(300)
		sim.execute(owner, owner.journal.SetReplicas(sim.now, []spool.NodeID{"n2"}))
		sim.advance(300)
		owner.alive, sim.nodes[2].alive = false, false
		sim.logDown = false
		sim.claimStream(next, owner.id)
		sim.advance(1000)
		gomega.Expect(next.journal.AwaitedNodes()).To(gomega.ContainElement(spool.NodeID("n2")))
		gomega.Expect(sim.nodes[1].journal.Phase()).To(gomega.Equal(journal.PhaseIdle))
	})

	// Guards against an active replica that the stream does not name, so that the
	// next owner would not fence it. This can happen if an append with a removal
	// record has an unknown outcome and takes effect after the same process has
	// become a replica again.
	ginkgo.It("count again only while the stream names them, even if answers are lost", func() {
		again := 0
		for seed := range uint64(200) {
			sim := newSimulation(seed, journal.Config{AppendInterval: 30, PollWait: 100, RetryAfter: 60, ReplicaWait: 60, ReplicateAfter: 40})
			owner := sim.nodes[0]
			sim.claimStream(owner, "")
			sim.advance(600)
			sim.loseOneAppendIn = 2
			for range 30 {
				first := 1 + sim.random.IntN(3)
				nodes := []spool.NodeID{sim.nodes[first].id, sim.nodes[1+first%3].id}
				sim.execute(owner, owner.journal.SetReplicas(sim.now, nodes))
				sim.advance(clock.Millis(50 + sim.random.IntN(400)))
				f := journal.NewFold(journal.State{}, 0)
				for _, appended := range sim.fullLog {
					f.Add(appended)
				}
				for _, replica := range owner.journal.ActiveReplicas() {
					again++
					gomega.Expect(f.State().Replicas).To(gomega.ContainElement(replica), "seed %d", seed)
				}
			}
		}
		gomega.Expect(again).To(gomega.BeNumerically(">", 2000))
	})

	record := func(kind spool.RecordKind, node spool.NodeID, incarnation string) spool.Record {
		data, _ := json.Marshal(journal.Claim{
			Replicas: []spool.NodeID{node}, Incarnations: map[spool.NodeID]string{node: incarnation},
		})
		return spool.Record{Kind: kind, Data: data}
	}

	// Guards against a fold that removes a replica because of a late removal record
	// of an earlier incarnation, after the replica was named again.
	ginkgo.It("stay if they were named again before a late removal record", func() {
		f := journal.NewFold(journal.State{}, 0)
		f.Add(claimBatch("a", 1))
		f.Add(newBatch("a", 1, record(journal.KindReplicas, "h", "first")))
		f.Add(newBatch("a", 1, record(journal.KindReplicasRemoved, "h", "first")))
		gomega.Expect(f.State().Replicas).To(gomega.BeEmpty())
		f.Add(newBatch("a", 1, record(journal.KindReplicas, "h", "second")))
		f.Add(newBatch("a", 1, record(journal.KindReplicasRemoved, "h", "first")))
		gomega.Expect(f.State().Replicas).To(gomega.Equal([]spool.NodeID{"h"}))
	})
})
