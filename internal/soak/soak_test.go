package soak_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/fixedseed"
	"github.com/baobabspool/baobabspool/internal/standin"
)

var (
	firstSeed = flag.Uint64("soak.first", 1, "first seed")
	seedCount = flag.Int("soak.seeds", 2, "number of seeds")
	faultTime = flag.Duration("soak.faults", 8*time.Second, "how long faults are injected with each seed")
	logFolder = flag.String("soak.logs", "", "folder that keeps the logs of the gateways, one folder a seed")
)

func TestMain(m *testing.M) { fixedseed.Main(m, nil) }

func TestSoak(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "soak")
}

const callerCount = 12

// injector injects faults drawn from a seed, in series that overlap.
type injector struct {
	deployment *deployment
	random     *rand.Rand
	running    sync.WaitGroup
	// busy holds the gateways that a signal is being applied to.
	mu   sync.Mutex
	busy map[*gatewayProcess]bool
}

// between returns a duration from low to high in milliseconds.
func (i *injector) between(low, high int) time.Duration {
	return time.Duration(low+i.random.IntN(high-low)) * time.Millisecond
}

// onGateway runs a fault on a gateway in the background, unless another one is on it.
func (i *injector) onGateway(fault func(g *gatewayProcess)) {
	g := i.deployment.gateways[i.random.IntN(gatewayCount)]
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.busy[g] {
		return
	}
	i.busy[g] = true
	i.running.Go(func() {
		defer ginkgo.GinkgoRecover()
		fault(g)
		i.mu.Lock()
		defer i.mu.Unlock()
		i.busy[g] = false
	})
}

// inject starts one fault.
func (i *injector) inject() {
	d, duration := i.deployment, i.between(200, 2000)
	switch i.random.IntN(10) {
	case 0:
		i.onGateway(func(g *gatewayProcess) {
			g.signal(syscall.SIGSTOP)
			time.Sleep(duration)
			d.checker.departures.forgetGateway(g.front)
			g.signal(syscall.SIGCONT)
		})
	case 1:
		i.onGateway(func(g *gatewayProcess) {
			g.end(syscall.SIGKILL)
			time.Sleep(duration / 2)
			g.start()
		})
	case 2:
		i.onGateway(func(g *gatewayProcess) {
			if !g.end(syscall.SIGTERM) {
				d.checker.fail("%s did not stop in time", g.name)
			}
			g.start()
		})
	case 3:
		i.onGateway(func(g *gatewayProcess) {
			g.awaitRuntime()
			g.signal(syscall.SIGHUP)
		})
	case 4:
		g := d.gateways[i.random.IntN(gatewayCount)]
		i.withFault(duration, func(on bool) { setStoreFault(g, on, []string{"silent", "busy", "lost"}[int(duration)%3]) })
	case 5:
		i.withFault(duration, func(on bool) {
			for _, g := range d.gateways {
				setStoreFault(g, on, "silent")
			}
		})
	case 6:
		r := d.endpoints[i.random.IntN(len(d.endpoints))].relay
		mode := []relayMode{slow, oneWay, silent}[i.random.IntN(3)]
		i.withFault(duration, func(on bool) { setRelayFault(r, on, mode) })
	case 7:
		d.endpoints[i.random.IntN(len(d.endpoints))].relay.reset()
		d.gateways[i.random.IntN(gatewayCount)].store.reset()
	case 8:
		d.publish()
	case 9:
		i.leave(d.endpoints[i.random.IntN(len(d.endpoints))], drainTime+duration)
	}
}

// leave lets the answers of an endpoint say that it leaves, while its record says that it
// is ready, and starts it again after duration.
func (i *injector) leave(e *endpoint, duration time.Duration) {
	if !e.setLeaving(true) {
		return
	}
	i.running.Go(func() {
		time.Sleep(duration)
		e.setLeaving(false)
		i.deployment.checker.departures.forgetEndpoint(e.id)
		e.announce(i.deployment.topics)
	})
}

// withFault switches a fault on and, after duration, off.
func (i *injector) withFault(duration time.Duration, set func(on bool)) {
	set(true)
	i.running.Go(func() {
		time.Sleep(duration)
		set(false)
	})
}

func setStoreFault(g *gatewayProcess, on bool, mode string) {
	if !on {
		mode = ""
	}
	g.faults.SetFaults(standin.TopicFaults{Mode: mode})
}

// setRelayFault sets the mode of a relay. At the end of a fault it resets the connections,
// on which bytes were dropped.
func setRelayFault(r *relay, on bool, mode relayMode) {
	if on {
		r.setMode(mode)
		return
	}
	r.setMode(forward)
	r.reset()
}

// run injects faults for a time and returns when all of them have ended.
func (i *injector) run(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(i.between(100, 500))
		i.inject()
		for _, g := range i.deployment.gateways {
			if state, ended := g.endedByItself(); ended {
				i.running.Wait()
				ginkgo.Fail(fmt.Sprintf("%s ended by itself: %s", g.name, state))
			}
		}
	}
	i.running.Wait()
}

// newFolder returns the folder for settings and logs of one seed.
func newFolder(seed uint64) string {
	if *logFolder == "" {
		return ginkgo.GinkgoT().TempDir()
	}
	folder := fmt.Sprintf("%s/seed-%d", *logFolder, seed)
	gomega.Expect(os.MkdirAll(folder, 0o700)).To(gomega.Succeed())
	return folder
}

func awaitService(d *deployment, c *caller) {
	for _, g := range d.gateways {
		gomega.Eventually(func() bool {
			if state, ended := g.endedByItself(); ended {
				ginkgo.Fail(fmt.Sprintf("%s ended by itself: %s, and wrote last:\n%s", g.name, state, g.lastOutput()))
			}
			return g.isReady()
		}, restartTimeout, "50ms").Should(gomega.BeTrue(), g.name)
		gomega.Eventually(func() int { return c.callPlain(g.front, "charge", "key-1") }, restartTimeout, "50ms").Should(gomega.Equal(http.StatusOK), g.name)
	}
	gomega.Eventually(func() int { return c.chat(3) }, restartTimeout, "50ms").Should(gomega.Equal(3))
}

// checkWithdrawnKey withdraws a key and checks that it is refused everywhere in time, and
// also by a gateway that starts without the store.
func checkWithdrawnKey(d *deployment, c *caller) {
	d.withdrawKeys("key-1")
	time.Sleep(2500 * time.Millisecond)
	restarted := d.gateways[0]
	restarted.end(syscall.SIGKILL)
	restarted.faults.SetFaults(standin.TopicFaults{Mode: "silent"})
	restarted.start()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, g := range d.gateways {
			if status := c.callPlain(g.front, "charge", "key-2"); status == http.StatusOK {
				d.checker.fail("%s served a key that was withdrawn", g.name)
				return
			}
		}
	}
}

// The specs guard the promises of gateways under faults that overlap: a request that must
// not be repeated runs at most once, and not at all when its caller was told so; answers
// and histories belong to their request; limits hold; withdrawn keys stay withdrawn; turns
// that were answered are found; service returns; no process ends by itself.
var _ = ginkgo.Describe("Gateways under random faults", func() {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		ginkgo.It(fmt.Sprintf("keep their promises with seed %d", seed), func() {
			random := rand.New(rand.NewPCG(seed, 0))
			d := newDeployment(newFolder(seed), random)
			probe := newCaller(d, random.Uint64())
			awaitService(d, probe)
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for range callerCount {
				c := newCaller(d, random.Uint64())
				c.sendsUploads = true
				callers.Go(func() { c.run(stop) })
			}
			injector := &injector{deployment: d, random: random, busy: map[*gatewayProcess]bool{}}
			injector.run(*faultTime)
			close(stop)
			callers.Wait()
			awaitService(d, probe)
			checkWithdrawnKey(d, probe)
			time.Sleep(requestDeadline)
			d.checker.checkRuns()
			ginkgo.GinkgoWriter.Println(d.checker.outcomes)
			gomega.Expect(d.checker.violations).To(gomega.BeEmpty())
		})
	}
})
