package deployment_test

import (
	"os/exec"
	"path/filepath"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/caller"
	"github.com/baobabspool/baobabspool/internal/standin"
)

// runOperatorCommand runs an operator's command with the TLS files of the authority files
// and returns its exit code and combined output.
func (s *system) runOperatorCommand(files *authority, args ...string) (code int, output string) {
	args = append(append(args, "--vms-address", s.addresses["vms"]), files.flags("tls")...)
	command := exec.Command(filepath.Join(binaries(), "baobabspool"), args...)
	raw, _ := command.CombinedOutput()
	return command.ProcessState.ExitCode(), string(raw)
}

var _ = ginkgo.Describe("A deployment over TLS", ginkgo.Label("third"), func() {
	const programs = 12

	// Guards against connections that fail once the first certificate has expired,
	// against streams that a reload aborts, and against connections from a process
	// with a certificate of another authority.
	ginkgo.It("goes on when certificates are replaced and the old ones expire", func() {
		ctx := withTimeout(100 * time.Second)
		trusted, foreign := newAuthority(), newAuthority()
		expiry := time.Now().Add(20 * time.Second)
		trusted.issue(expiry)
		foreign.issue(time.Now().Add(time.Hour))
		// Processes with a certificate of the foreign authority trust the certificates of
		// the deployment. The processes of the deployment must not trust the foreign ones.
		foreign.write("ca.pem", "CERTIFICATE", trusted.cert.Raw)
		s, key := startDeploymentWith(ctx, func(s *system) { s.authority = trusted })
		s.startStandin("engine", "engineX")
		s.authority = foreign
		s.startAgent("mx", "c", modelService, "--engine-address", "engineX")
		s.authority = trusted
		for _, engine := range []string{"engine1", "engine2", "engine3"} {
			s.postControl(engine, "/", map[string]any{"tokenMs": 20})
		}
		code, output := s.runOperatorCommand(foreign, "status", "--endpoints")
		gomega.Expect(code).To(gomega.Equal(7), output)
		clientLedger := runTurns(ctx, s, key, programs, 30, func(*caller.Ledger) {
			trusted.issue(time.Now().Add(time.Hour))
			gomega.Eventually(func() bool { return time.Now().After(expiry) }, "30s", "50ms").Should(gomega.BeTrue())
			s.stop("m1")
			s.restart("m1")
		})
		s.removeVM("mx")
		expectConsistent(s, clientLedger, programs)
		gomega.Expect(clientLedger.Totals().Retries).NotTo(gomega.HaveKey("noAnswer"))
		stats := standin.EngineStats{}
		s.readStats("engineX", &stats)
		gomega.Expect(stats.Calls).To(gomega.BeZero())
		// New connections to every process work, also from an operator.
		gomega.Eventually(func() int {
			code, output = s.runOperatorCommand(trusted, "status", "--endpoints")
			return code
		}, "10s", "100ms").Should(gomega.BeZero(), func() string { return output })
		lastProgram := caller.NewProgram(s.client(key), clientLedger, caller.Spec{Account: account, Name: "last", Model: modelName, Service: ledgerService})
		gomega.Expect(lastProgram.Start(ctx)).To(gomega.Succeed())
		code, output = s.runOperatorCommand(trusted, "explain", string(lastProgram.ID()))
		gomega.Expect(code).To(gomega.BeZero(), output)
	})
})
