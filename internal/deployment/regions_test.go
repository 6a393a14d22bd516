package deployment_test

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/internal/adapters"
	"github.com/baobabspool/baobabspool/internal/caller"
	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/pkg/keyring"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	north spool.Region = "north"
	south spool.Region = "south"
)

// startRegions starts two entries and two engines with their agents in each of two
// regions, and one plain service with an agent in each region.
func startRegions(ctx context.Context) (s *system, key string) {
	s = newSystem()
	s.network.regions = map[spool.FailureDomain]spool.Region{"a": north, "b": north, "c": south, "d": south}
	s.network.vmListNodes = map[spool.Region]string{north: "vms-north", south: "vms-south"}
	s.startStandin("log", "log")
	s.startStandin("vms", "vms-north")
	s.startStandin("vms", "vms-south")
	s.startStandin("service", "ledger")
	key = publishConfiguration(ctx, adapters.NewLog(s.addresses["log"]))
	domains := []spool.FailureDomain{"a", "b", "c", "d"}
	for i, domain := range domains {
		s.startEntry(fmt.Sprintf("e%d", i+1), domain)
	}
	for i, domain := range domains {
		engine := fmt.Sprintf("engine%d", i+1)
		s.startStandin("engine", engine)
		s.startAgent(fmt.Sprintf("m%d", i+1), domain, modelService, "--engine-address", engine)
	}
	s.startAgent("l1", "a", ledgerService, "--service-address", "ledger")
	s.startAgent("l2", "c", ledgerService, "--service-address", "ledger")
	return s, key
}

// issueKey publishes an additional key of the account. It returns the key and a
// function that withdraws it.
func issueKey(ctx context.Context, s *system) (key string, withdraw func()) {
	publisher := control.NewPublisher(adapters.NewLog(s.addresses["log"]), "test")
	gomega.Expect(publisher.Refresh(ctx)).To(gomega.Succeed())
	shown, stored, err := keyring.Issue(account, publisher.Now(), 0)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = publisher.Publish(ctx, stored)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return shown.Reveal(), func() {
		gomega.Expect(publisher.Refresh(ctx)).To(gomega.Succeed())
		withdrawn, at, found := publisher.State().Keys().Get(stored.ID)
		gomega.Expect(found).To(gomega.BeTrue())
		withdrawn.Withdrawn, withdrawn.Base = true, at
		_, err := publisher.Publish(ctx, withdrawn)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	}
}

// answerCode returns a function that asks the given entry for a program that does not
// exist and returns the error code of the response: notFound while the entry accepts the
// key.
func answerCode(ctx context.Context, s *system, entry, key string) func() spool.Code {
	httpAddress := s.balancerAddresses[entry]
	client := caller.NewClient(func() []string { return []string{httpAddress} }, key)
	return func() spool.Code {
		err := client.Send(ctx, fasthttp.MethodGet, "/v1/programs/none", nil, &struct{}{})
		if failure, ok := err.(*caller.Failure); ok {
			return failure.Code
		}
		return spool.Code(fmt.Sprint(err))
	}
}

var _ = ginkgo.Describe("Two regions of separate processes", ginkgo.Label("second"), func() {
	const programs = 12

	// Guards against two owners of one stream, and against an isolated entry that still
	// accepts a key although the entry cannot learn that the key is withdrawn.
	ginkgo.It("lose and double nothing while they are cut off from each other and one of them from the log", func() {
		ctx := withTimeout(90 * time.Second)
		s, key := startRegions(ctx)
		withdrawnKey, withdraw := issueKey(ctx, s)
		for _, entry := range []string{"e1", "e2", "e3", "e4"} {
			gomega.Eventually(answerCode(ctx, s, entry, withdrawnKey), "5s", "50ms").Should(gomega.Equal(spool.CodeNotFound))
		}
		clientLedger := runTurns(ctx, s, key, programs, 25, func(*caller.Ledger) {
			s.network.partition(north, south, true)
			s.network.partition(south, logRegion, true)
			withdraw()
			gomega.Eventually(answerCode(ctx, s, "e1", withdrawnKey), "3s", "50ms").Should(gomega.Equal(spool.CodeKeyWithdrawn))
			for _, entry := range []string{"e3", "e4"} {
				gomega.Eventually(answerCode(ctx, s, entry, withdrawnKey), "6s", "50ms").Should(gomega.Equal(spool.CodeIsolated))
			}
			time.Sleep(3 * time.Second)
			s.network.partition(south, logRegion, false)
			for _, entry := range []string{"e3", "e4"} {
				gomega.Eventually(answerCode(ctx, s, entry, withdrawnKey), "5s", "50ms").Should(gomega.Equal(spool.CodeKeyWithdrawn))
			}
			s.network.partition(north, south, false)
		})
		expectConsistent(s, clientLedger, programs)
	})

	// Guards against streams without a stable owner: both regions can append claims of
	// ownership to the log, so they could keep taking streams from each other. Also guards
	// against delayed requests that arrive after the partition and run a second time.
	ginkgo.DescribeTable("lose and double nothing while both reach the log and packets between them are lost",
		func(holdTraffic func(s *system, on bool)) {
			ctx := withTimeout(90 * time.Second)
			s, key := startRegions(ctx)
			clientLedger := runTurns(ctx, s, key, programs, 25, func(clientLedger *caller.Ledger) {
				holdTraffic(s, true)
				time.Sleep(5 * time.Second)
				before := clientLedger.Totals().Turns
				gomega.Eventually(func() int { return clientLedger.Totals().Turns }, "5s", "50ms").Should(gomega.BeNumerically(">=", before+programs))
				holdTraffic(s, false)
			})
			expectConsistent(s, clientLedger, programs)
		},
		ginkgo.Entry("both ways", func(s *system, on bool) { s.network.partition(north, south, on) }),
		ginkgo.Entry("from north to south", func(s *system, on bool) { s.network.holdTraffic(north, south, on) }),
	)
})
