package gate_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/clock"
	_ "github.com/baobabspool/baobabspool/pkg/policy/gate"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func newAdaptiveGate(t *testing.T) spool.Gate {
	gate, err := spool.Gates.New("adaptive", 1, spool.Options{"gate.coldConcurrency": 2, "gate.maxConcurrency": 12})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return gate
}

// observeCompletions reports n completions with the given latency, in milliseconds,
// to the gate and returns the window after them.
func observeCompletions(gate spool.Gate, n int, latency float64) int {
	for range n {
		gate.Observe(0, spool.GateEvent{Kind: spool.GateCompleted, Latency: latency})
	}
	return gate.Window(0)
}

func observeReport(gate spool.Gate, generation uint64, uptime clock.Millis) {
	gate.Observe(0, spool.GateEvent{Kind: spool.GateReport, Load: spool.EngineLoad{Generation: generation, Uptime: uptime}})
}

// TestWarmUp guards against a full window on a cold engine, against a window that
// never grows, and against growth while completions are slow.
func TestWarmUp(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := newAdaptiveGate(t)
	g.Expect(gate.Window(0)).To(gomega.Equal(2))
	g.Expect(observeCompletions(gate, 12, 10)).To(gomega.Equal(2), "before the required number of healthy completions")
	g.Expect(gate.Cold(0)).To(gomega.BeTrue())
	before := observeCompletions(gate, 10, 10)
	g.Expect(before).To(gomega.BeNumerically(">", 2))
	g.Expect(observeCompletions(gate, 3, 25)).To(gomega.Equal(before), "slow, but below the jump factor")
	g.Expect(observeCompletions(gate, 200, 10)).To(gomega.Equal(12))
	g.Expect(gate.Cold(0)).To(gomega.BeFalse())
}

// TestClose guards against a full window on an engine after an unannounced restart.
// Each sign of a restart must reset the window to the cold concurrency.
func TestClose(t *testing.T) {
	g := gomega.NewWithT(t)
	for name, sign := range map[string]func(spool.Gate){
		"generation": func(gate spool.Gate) { observeReport(gate, 2, 90_000) },
		"uptime":     func(gate spool.Gate) { observeReport(gate, 1, 10) },
		"cache":      func(gate spool.Gate) { gate.Observe(0, spool.GateEvent{Kind: spool.GateCacheEmptied}) },
		"reset":      func(gate spool.Gate) { gate.Observe(0, spool.GateEvent{Kind: spool.GateFailed}) },
		"latency":    func(gate spool.Gate) { observeCompletions(gate, 1, 500) },
	} {
		gate := newAdaptiveGate(t)
		observeReport(gate, 1, 60_000)
		g.Expect(observeCompletions(gate, 200, 10)).To(gomega.Equal(12))
		observeReport(gate, 1, 61_000)
		g.Expect(gate.Window(0)).To(gomega.Equal(12), "no sign of a restart")
		sign(gate)
		g.Expect(gate.Window(0)).To(gomega.Equal(2), name)
		g.Expect(gate.Cold(0)).To(gomega.BeTrue(), name)
		g.Expect(observeCompletions(gate, 200, 10)).To(gomega.Equal(12), name)
	}
}

// TestIdle guards against a burst of calls to an engine that restarted while it was
// idle. Such a restart breaks no connection, so the gate cannot observe it.
func TestIdle(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := newAdaptiveGate(t)
	started := spool.GateEvent{Kind: spool.GateStarted}
	for range 200 {
		gate.Observe(0, started)
		gate.Observe(0, spool.GateEvent{Kind: spool.GateCompleted, Latency: 10})
	}
	g.Expect(gate.Window(100)).To(gomega.Equal(12))
	g.Expect(gate.Window(60_000)).To(gomega.Equal(2))
	gate.Observe(60_000, started)
	gate.Observe(60_000, started)
	g.Expect(gate.Window(60_001)).To(gomega.Equal(2))
	gate.Observe(60_100, spool.GateEvent{Kind: spool.GateCompleted, Latency: 10})
	g.Expect(gate.Window(60_200)).To(gomega.Equal(12))
}
