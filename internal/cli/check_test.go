package cli_test

import (
	"bytes"
	"os"
	"path/filepath"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/cli"
)

var _ = ginkgo.Describe("check", func() {
	run := func(settings, configuration string) (string, error) {
		folder := ginkgo.GinkgoT().TempDir()
		write := func(name, text string) string {
			path := filepath.Join(folder, name)
			gomega.Expect(os.WriteFile(path, []byte(text), 0o600)).To(gomega.Succeed())
			return path
		}
		var out bytes.Buffer
		command := cli.NewCheck()
		command.SetOut(&out)
		command.SetErr(&out)
		command.SetArgs([]string{"--settings-file", write("settings.toml", settings), "--configuration", write("config.json", configuration)})
		err := command.Execute()
		return out.String(), err
	}
	const configuration = `{"version":1,"routes":[{"name":"a","host":"h","path_prefix":"/a/","service":"s"}],"services":[{"name":"s"}]}`

	ginkgo.It("names every problem at once", func() {
		out, err := run("node_name = \"n\"\n", `{"version":0}`)
		gomega.Expect(cli.ExitCode(err)).To(gomega.Equal(cli.ExitInvalid))
		for _, problem := range []string{"listen address is empty", "store address is empty", "number of partitions is 0", "time to stop", "version is 0"} {
			gomega.Expect(out).To(gomega.ContainSubstring(problem))
		}
	})

	ginkgo.It("accepts files that a gateway can use", func() {
		settings := "node_name = \"n\"\n[listen]\nfront = \"127.0.0.1:1\"\nready = \"127.0.0.1:2\"\n[bounds]\ngrace_s = 8\n[platform]\naddress = \"127.0.0.1:3\"\nparts = 4\n"
		out, err := run(settings, configuration)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(out).To(gomega.ContainSubstring("no problem found"))
	})
})
