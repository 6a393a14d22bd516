package cli_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/cli"
)

// The specs guard against a command that needs a running deployment to explain a failure
// from its logs, and against an unclear answer to wrong input.
var _ = ginkgo.Describe("explain --logs", func() {
	const line = `{"level":"info","ts":101.5,"msg":"[gateway] request refused","node":"g1","request":"r1","program":"p1","reason":"storeAway"}`

	run := func(input string, args ...string) (output string, err error) {
		command := cli.NewExplain()
		var out bytes.Buffer
		command.SetOut(&out)
		command.SetErr(&out)
		command.SetIn(strings.NewReader(input))
		command.SetArgs(args)
		err = command.Execute()
		return out.String(), err
	}

	ginkgo.It("tells the cause of a failure from files and standard input", func() {
		file := filepath.Join(ginkgo.GinkgoT().TempDir(), "g1.log")
		gomega.Expect(os.WriteFile(file, []byte(line+"\n"), 0o600)).To(gomega.Succeed())
		output, err := run("", "p1", "--logs", file)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(output).To(gomega.ContainSubstring("request r1 failed at g1"))
		output, err = run(line, "r1", "--logs", "-")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(output).To(gomega.ContainSubstring("store did not answer"))
	})

	ginkgo.It("says which file cannot be read, and that no line names the identifier", func() {
		_, err := run("", "p1", "--logs", "/nowhere/g1.log")
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("/nowhere/g1.log")))
		_, err = run(line, "p2", "--logs", "-")
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(`names "p2"`)))
	})
})
