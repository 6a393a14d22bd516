package gatekeeper_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/gatekeeper"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

var _ = ginkgo.Describe("Exports", func() {
	var k *kernel
	first := spool.Message{Role: "user", Content: "how dry is the fog"}

	// exportPrefix runs a call of program p on a new kernel, lets the pause policy
	// export the prefix of the program, and returns the ID of the export. The
	// result of the export is still outstanding.
	exportPrefix := func() string {
		k = newKernel(2, nil)
		k.Step(k.now, k.arrive(modelCall("p", first)))
		k.Step(k.now, modelDone(k.ticket, 0))
		k.now += 300
		commands := stepCommands[gatekeeper.ExportPrefix](k, gatekeeper.Tick{})
		gomega.Expect(commands).To(gomega.ConsistOf(gomega.HaveField("Program", spool.ProgramID("p"))))
		return commands[0].ID
	}
	nextCall := func() gatekeeper.Call {
		second := modelCall("p", first, spool.AnswerMessage("fog"), spool.Message{Role: "user", Content: "and now"})
		second.Key.Call = "2"
		return second
	}
	freesAfterMinute := func() []gatekeeper.FreeExport {
		k.now += clock.Minute
		return stepCommands[gatekeeper.FreeExport](k, gatekeeper.Tick{})
	}

	ginkgo.It("imports an export for the next call and releases it afterwards", func() {
		id := exportPrefix()
		k.Step(k.now, gatekeeper.Exported{ID: id, OK: true, Tokens: 110})
		gomega.Expect(k.Held()).To(gomega.HaveKeyWithValue(spool.ProgramID("p"), 110))
		started := stepCommands[gatekeeper.Start](k, k.arrive(nextCall()))
		gomega.Expect(started).To(gomega.ConsistOf(gomega.HaveField("Import", id)))
		k.gate.events = nil
		freed := stepCommands[gatekeeper.FreeExport](k, modelDone(k.ticket, 0))
		gomega.Expect(freed).To(gomega.ConsistOf(gatekeeper.FreeExport{ID: id}))
		gomega.Expect(k.gate.events).NotTo(gomega.ContainElement(spool.GateCacheEmptied), "a failed import is no evidence of a restart")
	})

	ginkgo.It("keeps an export for the lease of its program and retries a failed free", func() {
		id := exportPrefix()
		k.Step(k.now, gatekeeper.Exported{ID: id, OK: true, Tokens: 110})
		k.Step(k.now, gatekeeper.RenewLeases{Programs: []spool.ProgramID{"p"}, LeaseDuration: 2 * clock.Minute})
		gomega.Expect(freesAfterMinute()).To(gomega.BeEmpty())
		k.now += clock.Minute
		gomega.Expect(freesAfterMinute()).To(gomega.ConsistOf(gatekeeper.FreeExport{ID: id}))
		k.Step(k.now, gatekeeper.ExportFreed{ID: id})
		gomega.Expect(freesAfterMinute()).To(gomega.ConsistOf(gatekeeper.FreeExport{ID: id}))
		k.Step(k.now, gatekeeper.ExportFreed{ID: id, OK: true})
		gomega.Expect(k.Held()).To(gomega.BeEmpty())
	})

	ginkgo.It("frees an export whose result is lost or arrives after the next call or the end of the program", func() {
		id := exportPrefix()
		gomega.Expect(stepCommands[gatekeeper.FreeExport](k, gatekeeper.Exported{ID: id})).To(gomega.ConsistOf(gatekeeper.FreeExport{ID: id}))
		id = exportPrefix()
		gomega.Expect(stepCommands[gatekeeper.Start](k, k.arrive(nextCall()))).To(gomega.ConsistOf(gomega.HaveField("Import", "")))
		gomega.Expect(stepCommands[gatekeeper.FreeExport](k, gatekeeper.Exported{ID: id, OK: true})).To(gomega.ConsistOf(gatekeeper.FreeExport{ID: id}))
		id = exportPrefix()
		k.Step(k.now, gatekeeper.RenewLeases{Ended: []spool.ProgramID{"p"}})
		k.Step(k.now, gatekeeper.MemoryFreed{Program: "p", OK: true})
		gomega.Expect(k.Held()).To(gomega.HaveKey(spool.ProgramID("p")), "its export is still pending")
		gomega.Expect(stepCommands[gatekeeper.FreeExport](k, gatekeeper.Exported{ID: id, OK: true})).To(gomega.ConsistOf(gatekeeper.FreeExport{ID: id}))
	})

	ginkgo.It("adopts the exports of an earlier incarnation of the agent and frees those without an owner", func() {
		k = newKernel(2, nil)
		leftover := []spool.Export{{ID: "old-x1", Program: "p", Tokens: 50}, {ID: "old-x2", Program: "q", Tokens: 50}}
		k.Step(k.now, gatekeeper.SessionList{RequestedAt: k.now, Exports: leftover, ExportsKnown: true})
		k.Step(k.now, gatekeeper.RenewLeases{Programs: []spool.ProgramID{"p"}, LeaseDuration: 5 * clock.Minute})
		gomega.Expect(freesAfterMinute()).To(gomega.ConsistOf(gatekeeper.FreeExport{ID: "old-x2"}))
		gomega.Expect(stepCommands[gatekeeper.Start](k, k.arrive(nextCall()))).To(gomega.ConsistOf(gomega.HaveField("Import", "old-x1")))
	})

	ginkgo.It("keeps exports across an engine restart and forgets those that the engine no longer lists", func() {
		id := exportPrefix()
		k.Step(k.now, gatekeeper.Exported{ID: id, OK: true, Tokens: 110})
		k.Step(k.now, gatekeeper.SessionList{RequestedAt: k.now - 200, ExportsKnown: true})
		k.Step(k.now, gatekeeper.LoadReport{Load: spool.EngineLoad{Generation: 1}})
		k.Step(k.now, gatekeeper.LoadReport{Load: spool.EngineLoad{Generation: 2}})
		gomega.Expect(k.Held()).To(gomega.HaveKeyWithValue(spool.ProgramID("p"), 110))
		k.now += 10
		k.Step(k.now, gatekeeper.SessionList{RequestedAt: k.now})
		gomega.Expect(k.Held()).To(gomega.HaveKey(spool.ProgramID("p")), "the list of exports is unknown")
		k.Step(k.now, gatekeeper.SessionList{RequestedAt: k.now, ExportsKnown: true})
		gomega.Expect(k.Held()).To(gomega.BeEmpty())
	})

	ginkgo.It("delays the next export after a failed one", func() {
		id := exportPrefix()
		k.Step(k.now, gatekeeper.Exported{ID: id, NotRun: true})
		k.now += 9000
		gomega.Expect(stepCommands[gatekeeper.ExportPrefix](k, gatekeeper.Tick{})).To(gomega.BeEmpty())
		k.now += 1000
		gomega.Expect(stepCommands[gatekeeper.ExportPrefix](k, gatekeeper.Tick{})).To(gomega.HaveLen(1))
	})
})
