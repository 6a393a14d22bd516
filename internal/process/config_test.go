package process_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/process"
)

var _ = ginkgo.Describe("Config", func() {
	// Guards against an accepted negative number of readers, with which no process would
	// read the list of VMs or the control stream.
	ginkgo.It("refuses negative numbers of readers", func() {
		entry := process.DefaultEntryConfig()
		entry.VMReaders, entry.LogReaders = -1, -1
		gomega.Expect(entry.Validate()).To(gomega.MatchError(gomega.And(
			gomega.ContainSubstring("vm-readers: must not be negative"), gomega.ContainSubstring("log-readers: must not be negative"))))
		agent := process.EndpointConfig{VMReaders: -1}
		gomega.Expect(agent.Validate()).To(gomega.MatchError(gomega.ContainSubstring("vm-readers: must not be negative")))
	})
})
