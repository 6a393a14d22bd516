package deployment_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/adapters"
	"github.com/baobabspool/baobabspool/internal/caller"
	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/pkg/keyring"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// shards holds the label filters of the test processes that run in parallel, one for each
// process. This saves time, because test cases mostly wait. The first process runs all
// cases that have neither label.
var shards = []string{"!second && !third", "second", "third"}

// shardVariable and binariesVariable are the environment variables in which a test
// process gets its label filter and the folder of the binaries.
const (
	shardVariable    = "BAOBABSPOOL_TEST_SHARD"
	binariesVariable = "BAOBABSPOOL_TEST_BINARIES"
)

func TestDeployment(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	if shard := os.Getenv(shardVariable); shard != "" {
		suite.LabelFilter = shard
	}
	if suite.LabelFilter != "" || len(suite.FocusStrings) > 0 {
		ginkgo.RunSpecs(t, "deployment", suite, reporter)
		return
	}
	gomega.RegisterTestingT(t)
	folder := binaries()
	for _, shard := range shards {
		t.Run(shard, func(t *testing.T) {
			t.Parallel()
			// The go command reads the file -test.testlogfile of this process, so the
			// child processes must not overwrite it.
			args := slices.DeleteFunc(slices.Clone(os.Args[1:]), func(arg string) bool {
				return strings.HasPrefix(arg, "-test.testlogfile")
			})
			command := exec.Command(os.Args[0], args...)
			command.Env = append(os.Environ(), shardVariable+"="+shard, binariesVariable+"="+folder)
			output, err := command.CombinedOutput()
			t.Log(string(output))
			if err != nil {
				t.Error(err)
			}
		})
	}
}

const (
	account       = "weavers"
	modelService  = "appraiser-models"
	ledgerService = "ledger-app"
	modelName     = "appraiser"
)

var accountLimits = caller.Limits{Rate: 200, Burst: 200}

// publishConfiguration publishes the account, its limits and the services. It returns
// the account's key.
func publishConfiguration(ctx context.Context, log spool.Log) string {
	publisher := control.NewPublisher(log, "test")
	gomega.Expect(publisher.Refresh(ctx)).To(gomega.Succeed())
	key, stored, err := keyring.Issue(account, publisher.Now(), 0)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	limit := func(name settings.Number, value float64) settings.Change {
		raw, _ := json.Marshal(value)
		return settings.Change{
			Path:  settings.Path{Target: settings.Target{Level: settings.LevelAccount, ID: account}, Name: string(name)},
			Value: raw,
		}
	}
	_, err = publisher.Publish(ctx,
		control.Service{Name: modelService, Kind: control.ServiceModel, Models: []spool.ModelName{modelName}},
		control.Service{Name: ledgerService, Kind: control.ServicePlain},
		control.Account{ID: account}, stored,
		limit(settings.LimitRatePerSecond, accountLimits.Rate), limit(settings.LimitBurst, accountLimits.Burst))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return key.Reveal()
}

// startDeployment starts three entries and three engines with their agents in three
// failure domains, and one plain service with two agents.
func startDeployment(ctx context.Context) (s *system, key string) {
	return startDeploymentWith(ctx, func(*system) {})
}

// startDeploymentWith is like startDeployment, but applies change to the system before
// it starts the processes.
func startDeploymentWith(ctx context.Context, change func(*system)) (s *system, key string) {
	s = newSystem()
	change(s)
	s.startStandin("log", "log")
	s.startStandin("vms", "vms")
	s.startStandin("service", "ledger")
	key = publishConfiguration(ctx, adapters.NewLog(s.addresses["log"]))
	domains := []spool.FailureDomain{"a", "b", "c"}
	for i, domain := range domains {
		s.startEntry(fmt.Sprintf("e%d", i+1), domain)
	}
	for i, domain := range domains {
		engine := fmt.Sprintf("engine%d", i+1)
		s.startStandin("engine", engine)
		s.startAgent(fmt.Sprintf("m%d", i+1), domain, modelService, "--engine-address", engine)
	}
	s.startAgent("l1", "a", ledgerService, "--service-address", "ledger")
	s.startAgent("l2", "b", ledgerService, "--service-address", "ledger")
	return s, key
}

// runPrograms runs count programs of ten turns that end with a payout call. It calls
// faults once the programs together have 2*count answered turns. It returns the ledger
// when faults has returned and all programs have ended.
func runPrograms(ctx context.Context, s *system, key string, count int, faults func(*caller.Ledger)) *caller.Ledger {
	return runTurns(ctx, s, key, count, 10, faults)
}

// runTurns is like runPrograms, but with the given number of turns per program.
func runTurns(ctx context.Context, s *system, key string, count, turns int, faults func(*caller.Ledger)) *caller.Ledger {
	clientLedger := caller.NewLedger()
	var running sync.WaitGroup
	for i := range count {
		program := caller.NewProgram(s.client(key), clientLedger, caller.Spec{
			Account: account, Name: fmt.Sprintf("p%d", i), Seed: uint64(i), Model: modelName, Service: ledgerService,
		})
		running.Go(func() {
			err := program.Run(ctx, caller.Plan{Turns: turns, Pause: 400 * time.Millisecond, SubAgent: i%4 == 0, Payout: true})
			if err != nil {
				clientLedger.RecordProblem(err.Error())
			}
		})
	}
	gomega.Eventually(func() int { return clientLedger.Totals().Turns }, "30s", "10ms").Should(gomega.BeNumerically(">=", 2*count), func() string { return fmt.Sprintf("%+v", clientLedger.Totals()) })
	faults(clientLedger)
	running.Wait()
	return clientLedger
}

// expectConsistent checks that all programs completed, that no turn was lost, doubled or
// out of order, that each payout was executed at most once, that the account's limits
// were kept, and that no key reached the plain service.
func expectConsistent(s *system, clientLedger *caller.Ledger, count int) {
	totals := clientLedger.Totals()
	gomega.Expect(totals.Problems).To(gomega.BeEmpty())
	gomega.Expect(totals.Completed).To(gomega.Equal(count))
	gomega.Expect(totals.OutOfOrder + totals.Mismatches).To(gomega.BeZero())
	gomega.Expect(clientLedger.RateViolations(account, accountLimits)).To(gomega.BeZero())
	stats := standin.ServiceStats{}
	s.readStats("ledger", &stats)
	for call, runs := range stats.Executions {
		gomega.Expect(runs).To(gomega.Equal(1), call)
	}
	gomega.Expect(stats.KeysSeen).To(gomega.BeZero())
	gomega.Expect(len(stats.Executions)).To(gomega.BeNumerically(">=", totals.AnsweredPayouts))
	gomega.Expect(totals.AnsweredPayouts + totals.UnknownOutcomes).To(gomega.Equal(count))
}

var _ = ginkgo.Describe("A deployment of separate processes", func() {
	const programs = 12

	// Guards against the loss of turns that an entry acknowledged before it died,
	// and against a new owner that runs calls again.
	ginkgo.It("loses and doubles nothing when an entry is killed and replaced", func() {
		ctx := withTimeout(90 * time.Second)
		s, key := startDeployment(ctx)
		clientLedger := runPrograms(ctx, s, key, programs, func(*caller.Ledger) {
			s.kill("e1")
			s.removeVM("e1")
			time.Sleep(2 * time.Second)
			s.startEntry("e4", "a")
		})
		expectConsistent(s, clientLedger, programs)
	})

	// Guards against calls that hang or are lost when an agent or an engine dies.
	ginkgo.It("loses and doubles nothing when agents and an engine are killed", func() {
		ctx := withTimeout(90 * time.Second)
		s, key := startDeployment(ctx)
		clientLedger := runPrograms(ctx, s, key, programs, func(*caller.Ledger) {
			s.kill("m1")
			time.Sleep(time.Second)
			s.kill("l1")
			time.Sleep(time.Second)
			s.restart("m1")
			s.restart("l1")
			s.kill("engine2")
		})
		expectConsistent(s, clientLedger, programs)
	})

	// Guards against an owner that is paused and replaced, and that still completes a turn
	// when it resumes although it is no longer the owner.
	ginkgo.It("loses and doubles nothing when an owner is paused and wakes up", func() {
		ctx := withTimeout(90 * time.Second)
		s, key := startDeployment(ctx)
		clientLedger := runPrograms(ctx, s, key, programs, func(*caller.Ledger) {
			s.signal("e2", syscall.SIGSTOP)
			httpAddress := s.removeFromBalancer("e2")
			time.Sleep(6 * time.Second)
			s.signal("e2", syscall.SIGCONT)
			s.addToBalancer("e2", httpAddress)
		})
		expectConsistent(s, clientLedger, programs)
	})

	// Guards against the loss of turns that were acknowledged while the log was down but
	// that only the owner, which then died, had stored.
	ginkgo.It("loses and doubles nothing when an entry dies while the log is down", func() {
		ctx := withTimeout(90 * time.Second)
		s, key := startDeployment(ctx)
		clientLedger := runPrograms(ctx, s, key, programs, func(clientLedger *caller.Ledger) {
			s.postControl("log", "/", standin.LogFaults{Down: true})
			time.Sleep(500 * time.Millisecond)
			before := clientLedger.Totals().Turns
			time.Sleep(1500 * time.Millisecond)
			// Turns must go on while the log is down, stored at other entries instead.
			// Otherwise there would be no turn that the kill could lose.
			gomega.Expect(clientLedger.Totals().Turns).To(gomega.BeNumerically(">", before))
			s.kill("e3")
			s.removeVM("e3")
			time.Sleep(2 * time.Second)
			s.postControl("log", "/", standin.LogFaults{ResponseLossRate: 0.3, SlowMs: 50})
		})
		expectConsistent(s, clientLedger, programs)
	})

	// Guards against requests that a graceful shutdown aborts: every request must
	// be answered and no stream may end early.
	ginkgo.It("cuts no request when every process is stopped and replaced in turn", func() {
		ctx := withTimeout(120 * time.Second)
		s, key := startDeployment(ctx)
		clientLedger := runPrograms(ctx, s, key, programs, func(*caller.Ledger) {
			for i, domain := range []spool.FailureDomain{"a", "b", "c"} {
				entry, agent := fmt.Sprintf("e%d", i+1), fmt.Sprintf("m%d", i+1)
				s.startEntry(fmt.Sprintf("f%d", i+1), domain)
				s.removeFromBalancer(entry)
				time.Sleep(100 * time.Millisecond)
				s.stop(entry)
				s.removeVM(entry)
				s.stop(agent)
				s.restart(agent)
			}
		})
		expectConsistent(s, clientLedger, programs)
		gomega.Expect(clientLedger.Totals().Retries).NotTo(gomega.HaveKey("noAnswer"))
	})

	// Guards against recovery that works after a single fault but not when entries, agents
	// and the log fail at the same time.
	ginkgo.It("loses and doubles nothing when an entry, two agents and answers of the log are lost together", func() {
		ctx := withTimeout(90 * time.Second)
		s, key := startDeployment(ctx)
		clientLedger := runPrograms(ctx, s, key, programs, func(*caller.Ledger) {
			s.postControl("log", "/", standin.LogFaults{ResponseLossRate: 0.3, SlowMs: 100})
			for _, node := range []string{"e1", "m2", "l1"} {
				s.kill(node)
			}
			s.removeVM("e1")
			s.signal("e2", syscall.SIGSTOP)
			time.Sleep(2 * time.Second)
			s.signal("e2", syscall.SIGCONT)
			s.restart("m2")
			s.restart("l1")
			s.startEntry("e4", "a")
		})
		expectConsistent(s, clientLedger, programs)
	})
})
