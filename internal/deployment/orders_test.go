package deployment_test

import (
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/adapters"
	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

var _ = ginkgo.Describe("Engines behind agents in separate processes", ginkgo.Label("third"), func() {
	// Guards against an order that never reaches its engine, and against an order that is
	// undone when the engine restarts or when an agent resumes that was paused and replaced
	// meanwhile.
	ginkgo.It("end in the state that operators ordered last", func() {
		ctx := withTimeout(60 * time.Second)
		s := newSystem()
		s.startStandin("log", "log")
		s.startStandin("vms", "vms")
		publishConfiguration(ctx, adapters.NewLog(s.addresses["log"]))
		s.startEntry("e1", "a")
		s.startStandin("engine", "engine1")
		engineSettings := standin.DefaultEngineSettings()
		engineSettings.HonoursFence = false
		s.postControl("engine1", "/", engineSettings)
		s.startAgent("m1", "a", modelService, "--engine-address", "engine1")
		operator := func() *control.Publisher {
			publisher := control.NewPublisher(adapters.NewLog(s.addresses["log"]), "test")
			gomega.Expect(publisher.Refresh(ctx)).To(gomega.Succeed())
			return publisher
		}
		load := func(base spool.Offset, version string) control.Order {
			return control.Order{Endpoint: "m1", Base: base, Order: spool.EngineOrder{Kind: spool.OrderLoad, Model: modelName, Version: version}}
		}
		loaded := func() string {
			stats := standin.EngineStats{}
			s.readStats("engine1", &stats)
			if len(stats.State.Loaded) != 1 {
				return ""
			}
			return stats.State.Loaded[0].Version
		}
		first, err := operator().Publish(ctx, load(0, "1"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(loaded, "10s", "50ms").Should(gomega.Equal("1"))

		// When two operators publish on the same base offset, only one must succeed.
		_, err = operator().Publish(ctx, load(first, "2"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = operator().Publish(ctx, load(first, "3"))
		conflict := &settings.ConflictError{}
		gomega.Expect(errors.As(err, &conflict)).To(gomega.BeTrue(), "%v", err)
		gomega.Eventually(loaded, "10s", "50ms").Should(gomega.Equal("2"))

		// A second agent replaces a paused one.
		s.signal("m1", syscall.SIGSTOP)
		s.run("baobabspool", "m1-next", "endpoint", "--node", "m1", "--region", "r", "--failure-domain", "a",
			"--listen", standin.FreeAddress(), "--vms-address", s.addresses["vms"], "--engine-address", s.addresses["engine1"])
		publisher := operator()
		_, err = publisher.Publish(ctx, load(publisher.State().Offset(), "4"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(loaded, "10s", "50ms").Should(gomega.Equal("4"))
		s.signal("m1", syscall.SIGCONT)
		s.postControl("engine1", "/restart", struct{}{})
		gomega.Eventually(loaded, "10s", "50ms").Should(gomega.Equal("4"))
		gomega.Consistently(loaded, "2s", "50ms").Should(gomega.Equal("4"))
	})
})
