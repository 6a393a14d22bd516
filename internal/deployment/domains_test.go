package deployment_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/caller"
	"github.com/baobabspool/baobabspool/internal/standin"
)

var _ = ginkgo.Describe("Failure domains of separate processes that die", ginkgo.Label("third"), func() {
	const programs = 12

	killAndRemove := func(s *system, entry string) {
		s.kill(entry)
		s.removeVM(entry)
	}
	startReplacements := func(s *system) {
		s.startEntry("e4", "a")
		s.startEntry("e5", "b")
	}

	// Guards against the loss of a turn that was acknowledged before it was on the log and
	// that the only remaining entry does not have.
	ginkgo.It("lose nothing when two die together while the log is up", func() {
		ctx := withTimeout(90 * time.Second)
		s, key := startDeployment(ctx)
		clientLedger := runPrograms(ctx, s, key, programs, func(*caller.Ledger) {
			killAndRemove(s, "e1")
			killAndRemove(s, "e2")
			startReplacements(s)
		})
		expectConsistent(s, clientLedger, programs)
	})

	// Guards against acknowledged turns that are stored at one entry only: while the log is
	// down, two entries must have the acknowledged turns of each stream.
	ginkgo.It("lose nothing when two die one by one while the log is down", func() {
		ctx := withTimeout(90 * time.Second)
		s, key := startDeployment(ctx)
		clientLedger := runPrograms(ctx, s, key, programs, func(clientLedger *caller.Ledger) {
			s.postControl("log", "/", standin.LogFaults{Down: true})
			before := clientLedger.Totals().Turns
			gomega.Eventually(func() int { return clientLedger.Totals().Turns }, "10s", "20ms").Should(gomega.BeNumerically(">=", before+programs))
			killAndRemove(s, "e1")
			time.Sleep(2 * time.Second)
			killAndRemove(s, "e2")
			startReplacements(s)
			s.postControl("log", "/", standin.LogFaults{})
		})
		expectConsistent(s, clientLedger, programs)
	})
})
