package cli_test

import (
	"bytes"
	"os"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/cli"
)

// Guards against a gateway that starts with a price or a bound that makes no sense.
var _ = ginkgo.Describe("gateway", func() {
	ginkgo.It("names every value of balancing that is out of range", func() {
		path := ginkgo.GinkgoT().TempDir() + "/settings.toml"
		gomega.Expect(os.WriteFile(path, []byte("node_name = \"n\"\n"), 0o600)).To(gomega.Succeed())
		ginkgo.GinkgoT().Setenv("BAOBABSPOOL_MAX_RECEIVE_LOAD", "1.5")
		var out bytes.Buffer
		command := cli.NewRoot()
		command.SetOut(&out)
		command.SetErr(&out)
		command.SetArgs([]string{"gateway", "--settings-file", path, "--crossing-millis-per-kb", "-1"})
		err := command.Execute()
		gomega.Expect(err).To(gomega.MatchError(gomega.And(
			gomega.ContainSubstring("--crossing-millis-per-kb: is -1"), gomega.ContainSubstring("--max-receive-load: is 1.5"))))
	})
})
