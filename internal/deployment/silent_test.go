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

	// Guards against a silent connection that is not noticed, and against a call on
	// it that is lost or run twice. Each entry is a region of its own here, so that
	// relays are between entries, between entries and the agents of others, and
	// between entries and the log.
	ginkgo.It("lose and double nothing and go on within seconds", func() {
		ctx := withTimeout(90 * time.Second)
		s, key := startDeploymentWith(ctx, func(s *system) {
			s.network.regions = map[spool.FailureDomain]spool.Region{"a": "ra", "b": "rb", "c": "rc"}
			s.network.vmListNodes = map[spool.Region]string{"ra": "vms", "rb": "vms-b", "rc": "vms-c"}
			s.standin("vms", "vms-b")
			s.standin("vms", "vms-c")
		})
		clientLedger := runTurns(ctx, s, key, programs, 16, func(book *caller.Ledger) {
			// The last rounds meet the payouts at the end of the programs.
			for range 4 {
				before := book.Totals()
				s.network.silenceConnections()
				// A heartbeat is missed after 2 s, a read of the log after 4 s.
				gomega.Eventually(func() bool {
					now := book.Totals()
					return now.Turns >= before.Turns+programs || now.Completed == programs
				}, "8s", "20ms").Should(gomega.BeTrue())
			}
		})
		expectConsistent(s, clientLedger, programs)
	})
})
