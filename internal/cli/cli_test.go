package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/spf13/cobra"

	"github.com/baobabspool/baobabspool/internal/cli"
	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/internal/entry"
	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
	"github.com/baobabspool/baobabspool/pkg/usage"
)

func TestCLI(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "cli")
}

var _ = ginkgo.Describe("Operator commands", func() {
	var log *standin.Log

	// run executes a command line and returns its output and exit code.
	run := func(line ...string) (string, int) {
		withLog := cli.WithOpenLog(func(string) spool.Log { return log })
		root := &cobra.Command{Use: "baobabspool", SilenceErrors: true}
		root.AddCommand(cli.NewSettings(withLog), cli.NewKey(withLog), cli.NewAccount(withLog), cli.NewService(withLog),
			cli.NewDrain(withLog), cli.NewOrder(withLog), cli.NewStatus(withLog), cli.NewExplain(withLog), cli.NewReport(withLog))
		var out bytes.Buffer
		root.SetOut(&out)
		root.SetErr(&out)
		root.SetArgs(line)
		err := root.ExecuteContext(ginkgo.GinkgoT().Context())
		if err != nil {
			out.WriteString(err.Error())
		}
		return out.String(), cli.ExitCode(err)
	}
	// runOK executes a command line that must succeed and returns its output.
	runOK := func(line ...string) string {
		out, code := run(line...)
		gomega.ExpectWithOffset(1, code).To(gomega.Equal(cli.ExitOK), out)
		return out
	}

	ginkgo.BeforeEach(func() {
		log = standin.NewLog(1)
		ginkgo.GinkgoT().Setenv("BAOBABSPOOL_LOG_ADDRESS", "127.0.0.1:1")
		ginkgo.GinkgoT().Setenv("BAOBABSPOOL_TIMEOUT_MS", "300")
	})

	ginkgo.It("sets, explains, reverts and lists the history of a value", func() {
		runOK("settings", "set", "fleet/limit.burst", "10", "account/acme/limit.burst", "20")
		runOK("settings", "set", "account/acme/limit.burst", "30")
		gomega.Expect(runOK("settings", "get", "limit.burst", "--account", "acme", "--explain")).
			To(gomega.And(gomega.MatchRegexp(`account acme\s+30\s+offset 2\s+in force`), gomega.MatchRegexp(`fleet\s+10\s+offset 1`)))
		runOK("settings", "revert", "account/acme/limit.burst")
		gomega.Expect(runOK("settings", "get", "account/acme/limit.burst")).To(gomega.ContainSubstring("20"))
		var events []control.Event
		gomega.Expect(json.Unmarshal([]byte(runOK("settings", "history", "account/acme/limit.burst", "--json")), &events)).To(gomega.Succeed())
		gomega.Expect(events).To(gomega.HaveLen(3))
		runOK("settings", "revert", "fleet/limit.burst")
		_, code := run("settings", "get", "fleet/limit.burst")
		gomega.Expect(code).To(gomega.Equal(cli.ExitNotFound))
		runOK("settings", "unset", "account/acme/limit.burst")
		_, code = run("settings", "get", "account/acme/limit.burst")
		gomega.Expect(code).To(gomega.Equal(cli.ExitNotFound))
	})

	// Guards against a change that overwrites a later one which its author has not seen.
	ginkgo.It("refuses a change that is based on an old offset and names the author of the later change", func() {
		runOK("settings", "set", "fleet/limit.burst", "10")
		runOK("settings", "set", "fleet/limit.burst", "11", "--writer", "binta")
		out, code := run("settings", "set", "fleet/limit.burst", "12", "--base", "1")
		gomega.Expect(code).To(gomega.Equal(cli.ExitConflict))
		gomega.Expect(out).To(gomega.ContainSubstring("binta"))
	})

	ginkgo.It("applies a file whole or not at all", func() {
		name := filepath.Join(ginkgo.GinkgoT().TempDir(), "fleet.yaml")
		write := func(text string) { gomega.Expect(os.WriteFile(name, []byte(text), 0o600)).To(gomega.Succeed()) }
		write("version: 1\nsettings:\n  fleet/limit.burst: 0\n  fleet/policy.router: 3\n  nowhere/limit.burst: 1\n")
		out, code := run("settings", "apply", name)
		gomega.Expect(code).To(gomega.Equal(cli.ExitInvalid))
		gomega.Expect(out).To(gomega.And(gomega.ContainSubstring("outside the range"), gomega.ContainSubstring("must be a text"), gomega.ContainSubstring("line 5")))
		write("version: 1\nsettings:\n  fleet/limit.burst: 9\n  fleet/retry.budgetShare: 0.2\n")
		gomega.Expect(runOK("settings", "apply", name, "--dry-run")).To(gomega.ContainSubstring("2 of 2"))
		gomega.Expect(log.Batches(spool.ControlStream)).To(gomega.BeEmpty())
		runOK("settings", "apply", name)
		gomega.Expect(runOK("settings", "apply", name)).To(gomega.ContainSubstring("0 of 2"))
		gomega.Expect(log.Batches(spool.ControlStream)).To(gomega.HaveLen(1))
	})

	// Guards against a secret on the platform's log or in the output of later commands.
	ginkgo.It("shows a key once and never stores it", func() {
		_, code := run("key", "issue", "acme")
		gomega.Expect(code).To(gomega.Equal(cli.ExitInvalid))
		runOK("account", "add", "acme")
		var issued struct{ Key, ID string }
		gomega.Expect(json.Unmarshal([]byte(runOK("key", "issue", "acme", "--expires-in", "2h", "--json")), &issued)).To(gomega.Succeed())
		gomega.Expect(issued.Key).To(gomega.HavePrefix("bsk_" + issued.ID + "_"))
		secret := strings.TrimPrefix(issued.Key, "bsk_"+issued.ID+"_")
		rotated := runOK("key", "rotate", issued.ID, "--overlap", "1h")
		gomega.Expect(rotated).NotTo(gomega.ContainSubstring(secret))
		runOK("key", "withdraw", issued.Key)
		list := runOK("key", "list", "--account", "acme")
		gomega.Expect(list).To(gomega.MatchRegexp(issued.ID + `\s+acme\s+withdrawn`))
		gomega.Expect(list).To(gomega.ContainSubstring("in force"))
		out, code := run("key", "rotate", issued.ID)
		gomega.Expect(code).To(gomega.Equal(cli.ExitInvalid), out)
		stored, err := json.Marshal(log.Batches(spool.ControlStream))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(stored) + list).NotTo(gomega.ContainSubstring(secret))
	})

	ginkgo.It("drains, describes services and orders engines", func() {
		runOK("drain", "start", "--failure-domain", "ndar-a", "--endpoint", "dkr-b-1")
		gomega.Expect(runOK("drain", "list")).To(gomega.Equal("failureDomain/ndar-a/drain.failureDomain\nfleet/drain.endpoint[dkr-b-1]\n"))
		runOK("drain", "end", "--failure-domain", "ndar-a", "--endpoint", "dkr-b-1")
		gomega.Expect(runOK("drain", "list", "--json")).To(gomega.MatchJSON("[]"))
		runOK("service", "set", "mist-models", "--kind", "model", "--model", "fog-7b")
		_, code := run("service", "set", "x", "--kind", "strange")
		gomega.Expect(code).To(gomega.Equal(cli.ExitInvalid))
		runOK("service", "remove", "mist-models")
		runOK("order", "load", "ep-1", "--model", "fog-7b")
		gomega.Expect(runOK("order", "list")).To(gomega.ContainSubstring("fence 5"))
		_, code = run("order", "role", "ep-1", "prefill", "--base", "1")
		gomega.Expect(code).To(gomega.Equal(cli.ExitConflict))
	})

	// Guards against a command that reports a failure although its change was published,
	// when only the responses of the log are lost.
	ginkgo.It("tells an outage from an unknown outcome by the exit code", func() {
		log.SetFaults(standin.LogFaults{Down: true})
		_, code := run("settings", "set", "fleet/limit.burst", "10")
		gomega.Expect(code).To(gomega.Equal(cli.ExitLogUnavailable))
		log.SetFaults(standin.LogFaults{ResponseLossRate: 1})
		runOK("settings", "set", "fleet/limit.burst", "10")
	})

	ginkgo.It("has its reference of settings up to date in docs/OPERATIONS.md", func() {
		page, err := os.ReadFile("../../docs/OPERATIONS.md")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		copied := filepath.Join(ginkgo.GinkgoT().TempDir(), "OPERATIONS.md")
		gomega.Expect(os.WriteFile(copied, page, 0o600)).To(gomega.Succeed())
		runOK("settings", "reference", "--write", copied)
		written, err := os.ReadFile(copied)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(written)).To(gomega.Equal(string(page)), "run: go run ./cmd/baobabspool settings reference --write docs/OPERATIONS.md")
	})

	ginkgo.It("has a registered policy as the default of each policy setting", func() {
		for _, spec := range settings.Specs() {
			if spec.Choices != nil {
				gomega.Expect(spec.Choices()).To(gomega.ContainElement(spec.Default.String()), spec.Name)
			}
		}
	})

	ginkgo.It("reports every error of a command line at once", func() {
		ginkgo.GinkgoT().Setenv("BAOBABSPOOL_LOG_ADDRESS", "")
		out, code := run("settings", "get", "--timeout-ms", "-1", "--writer", "a b")
		gomega.Expect(code).To(gomega.Equal(cli.ExitInvalid))
		gomega.Expect(out).To(gomega.And(gomega.ContainSubstring("log-address"), gomega.ContainSubstring("timeout-ms"), gomega.ContainSubstring("writer")))
		_, code = run("settings", "nonsense")
		gomega.Expect(code).To(gomega.Equal(cli.ExitInvalid))
	})

	ginkgo.It("shows the offset of each entry and names those that do not answer", func() {
		runOK("settings", "set", "fleet/limit.burst", "10")
		reader, err := control.NewReader(control.Config{Node: "e1", Role: spool.RoleEntry}, control.WithLog(log),
			control.WithStatus(func() any { return map[string]int{"streams": 3} }))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(reader.Close)
		gomega.Eventually(reader.Offset).Should(gomega.Equal(spool.Offset(1)))
		server, err := wire.Listen("127.0.0.1:0", reader.Handlers(), nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(server.Close)
		gomega.Expect(runOK("status", "--entries", server.Address())).To(gomega.And(gomega.ContainSubstring("offset 1"), gomega.ContainSubstring(`"streams":3`)))
		_, code := run("status", "--entries", server.Address()+",127.0.0.1:1")
		gomega.Expect(code).To(gomega.Equal(cli.ExitUnreachable))
		_, code = run("explain", "p1", "--entries", server.Address())
		gomega.Expect(code).To(gomega.Equal(cli.ExitNotFound))
	})

	ginkgo.It("explains in sentences why a call went where it did", func() {
		server, err := wire.Listen("127.0.0.1:0", wire.Mux{
			entry.MethodExplain: wire.Handle(func(_ context.Context, request entry.ExplainRequest, _ wire.Send) (any, error) {
				return entry.ExplainReply{
					Program: program.View{ID: request.Program, Account: "fog", Turns: 2, Endpoint: "m1"},
					Decisions: []entry.Decision{{Call: "turn-3", Attempt: 1, Endpoint: "m1", Reason: "dispatched", Choice: &entry.Choice{
						Candidates:  3,
						Chosen:      entry.EndpointSnapshot{Endpoint: "m1", CachedTokens: 900, Calls: 4, Window: 8, ReportAge: 120},
						LeastLoaded: &entry.EndpointSnapshot{Endpoint: "m2", Calls: 1, Window: 8, ReportAge: -1},
					}}, {Call: "turn-3", Attempt: 1, Endpoint: "m1", Reason: "silent", Message: "connection to the endpoint failed"}},
				}, nil
			}),
		}, nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(server.Close)
		gomega.Expect(runOK("explain", "p1", "--entries", server.Address())).To(gomega.And(
			gomega.ContainSubstring("sent to m1 (900 tokens cached, 4 calls for 8 slots, report 120ms old), one of 3; less load at m2 (0 tokens cached, 1 calls for 8 slots, no report)"),
			gomega.ContainSubstring("silent at m1: connection to the endpoint failed"),
		))
	})

	// Guards against a report that leaves out an entry without saying so.
	ginkgo.It("reports what accounts were given in a window, and which entries are missing", func() {
		recorder := usage.NewRecorder("e1", 0)
		sampledAt := clock.Millis(0)
		server, err := wire.Listen("127.0.0.1:0", wire.Mux{
			entry.MethodUsage: wire.Handle(func(context.Context, struct{}, wire.Send) (any, error) {
				sampledAt += clock.Second
				defer func() { recorder.Answered("fog"); recorder.Refused("fog", spool.CodeRateLimited) }()
				sample := recorder.Sample(sampledAt)
				sample.Limits = map[spool.AccountID]usage.Limit{"fog": {RatePerSecond: 1, Burst: 3}}
				return sample, nil
			}),
		}, nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(server.Close)
		out := runOK("report", "--for", "10ms", "--json", "--entries", server.Address())
		report := usage.Report{}
		gomega.Expect(json.Unmarshal([]byte(out), &report)).To(gomega.Succeed())
		gomega.Expect(report.Window).To(gomega.Equal(clock.Second))
		gomega.Expect(report.Accounts).To(gomega.HaveLen(1))
		gomega.Expect(report.Accounts[0].ServedShare).To(gomega.Equal(0.5))
		gomega.Expect(report.LowestServed).To(gomega.Equal(spool.AccountID("fog")))
		out, code := run("report", "--entries", server.Address()+",127.0.0.1:1")
		gomega.Expect(code).To(gomega.Equal(cli.ExitUnreachable))
		gomega.Expect(out).To(gomega.And(gomega.ContainSubstring("served worst: fog"), gomega.ContainSubstring("1 of 2 entries did not answer")))
		_, code = run("report", "--for", "2h", "--entries", server.Address())
		gomega.Expect(code).To(gomega.Equal(cli.ExitInvalid))
	})
})
