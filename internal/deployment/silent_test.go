package deployment_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/caller"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

var _ = ginkgo.Describe("Separate processes whose connections go silent", ginkgo.Label("third"), func() {
	const programs = 12

	// Guards against connections that pass no bytes any more without this being detected,
	// and against calls on such connections that are lost or run twice. Each entry has its
	// own region here, so that all connections between entries, from entries to agents of
	// other regions, and from entries to the log pass through relays.
	ginkgo.It("lose and double nothing and go on within seconds", func() {
		ctx := withTimeout(90 * time.Second)
		s, key := startDeploymentWith(ctx, func(s *system) {
			s.network.regions = map[spool.FailureDomain]spool.Region{"a": "ra", "b": "rb", "c": "rc"}
			s.network.vmListNodes = map[spool.Region]string{"ra": "vms", "rb": "vms-b", "rc": "vms-c"}
			s.startStandin("vms", "vms-b")
			s.startStandin("vms", "vms-c")
		})
		clientLedger := runTurns(ctx, s, key, programs, 16, func(clientLedger *caller.Ledger) {
			// The last rounds of this loop coincide with the payout calls at the end of the
			// programs.
			for range 4 {
				before := clientLedger.Totals()
				s.network.silenceConnections()
				// Heartbeats time out after 2 s, reads of the log after 4 s.
				gomega.Eventually(func() bool {
					now := clientLedger.Totals()
					return now.Turns >= before.Turns+programs || now.Completed == programs
				}, "8s", "20ms").Should(gomega.BeTrue())
			}
		})
		expectConsistent(s, clientLedger, programs)
	})
})
