package gate

import (
	"math"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// healthyLatencyFactor is the highest ratio to the mean latency at which a
	// completion still counts towards growth of the window.
	healthyLatencyFactor = 1.5
	// defaultJumpFactor is the ratio to the mean latency above which the window is
	// reset. Batching alone raises the latency of a full engine by a factor of two
	// to three.
	defaultJumpFactor = 5.0
	// latencySampleWeight is the weight of the latest sample in the moving averages
	// of the latency and its deviation.
	latencySampleWeight = 0.05
	// defaultIdleMs is how long an endpoint may be without calls, in milliseconds,
	// before its state counts as unknown. A restart of an idle endpoint breaks no
	// connection and goes unnoticed.
	defaultIdleMs = 250
	// defaultColdCompletions is the number of healthy completions at the cold
	// concurrency before the window grows. An engine ends its cold start after some
	// work, and the gate cannot observe when.
	defaultColdCompletions = 12
	// deviationFactor is the number of mean deviations above the mean latency that
	// a latency jump must exceed as well. A long prompt with a short answer has a
	// high latency per token and would otherwise count as a jump.
	deviationFactor = 6.0
	// defaultGrowth is the growth of the window, in calls, per window of
	// completions.
	defaultGrowth = 1.0
)

// adaptive grows its window by a fixed amount for each window of healthy
// completions and resets it to the cold concurrency at the first sign of a restart.
type adaptive struct {
	coldWindow, maxWindow, jumpFactor, growth float64
	idleLimit                                 clock.Millis
	window                                    float64
	// meanLatency is the moving average of the latency; 0 before the first
	// completion.
	meanLatency float64
	// meanDeviation is the moving average of the absolute deviation from
	// meanLatency.
	meanDeviation float64
	// completionsLeft is the number of healthy completions still required before
	// the window grows. A reset sets it to coldCompletions.
	completionsLeft, coldCompletions int
	inColdStart                      bool
	generation                       uint64
	uptime                           clock.Millis
	hasReport                        bool
	// running counts the running calls. It is used only after a first GateStarted
	// event, which sets tracksRunning, because not every process sends them.
	running       int
	tracksRunning bool
	idleSince     clock.Millis
	// awaitsProbe keeps the window at the cold concurrency after idle time until a
	// call has completed.
	awaitsProbe bool
}

// newAdaptive returns an adaptive gate. It reads the options gate.coldConcurrency,
// gate.maxConcurrency, gate.jumpFactor, gate.growth, gate.idleMs and
// gate.coldCompletions.
func newAdaptive(_ uint64, options spool.Options) spool.Gate {
	maxWindow := max(1, options.Get("gate.maxConcurrency", defaultMaxConcurrency))
	coldWindow := min(maxWindow, max(1, options.Get("gate.coldConcurrency", defaultColdConcurrency)))
	coldCompletions := int(options.Get("gate.coldCompletions", defaultColdCompletions))
	return &adaptive{
		completionsLeft: coldCompletions, coldCompletions: coldCompletions,
		coldWindow: coldWindow, maxWindow: maxWindow, window: coldWindow, inColdStart: coldWindow < maxWindow,
		jumpFactor: options.Get("gate.jumpFactor", defaultJumpFactor),
		growth:     options.Get("gate.growth", defaultGrowth),
		idleLimit:  clock.Millis(options.Get("gate.idleMs", defaultIdleMs)),
	}
}

// Window returns the current window, rounded down to whole calls.
func (g *adaptive) Window(now clock.Millis) int {
	g.checkIdle(now)
	if g.awaitsProbe {
		return int(g.coldWindow)
	}
	return int(g.window)
}

// Cold is true from the start or a reset until the window has grown to half of its
// maximum. The distance between the two keeps a single reset from being reported
// as several.
func (g *adaptive) Cold(clock.Millis) bool { return g.inColdStart }

// Observe updates the window with an event.
func (g *adaptive) Observe(now clock.Millis, event spool.GateEvent) {
	switch event.Kind {
	case spool.GateStarted:
		g.checkIdle(now)
		g.tracksRunning = true
		g.running++
	case spool.GateCompleted:
		g.noteEnd(now)
		g.noteCompletion(event.Latency)
	case spool.GateFailed:
		g.noteEnd(now)
		g.resetToCold()
	case spool.GateEnded:
		g.noteEnd(now)
	case spool.GateCacheEmptied:
		g.resetToCold()
	case spool.GateReport:
		g.noteReport(event.Load)
	}
}

func (g *adaptive) checkIdle(now clock.Millis) {
	if g.tracksRunning && g.running == 0 && now-g.idleSince > g.idleLimit {
		g.awaitsProbe = true
	}
}

func (g *adaptive) noteEnd(now clock.Millis) {
	if g.running > 0 {
		g.running--
	}
	g.idleSince = now
}

func (g *adaptive) noteCompletion(latency float64) {
	if g.meanLatency == 0 {
		g.meanLatency = latency
	}
	if latency > max(g.jumpFactor*g.meanLatency, g.meanLatency+deviationFactor*g.meanDeviation) {
		g.addLatencySample(g.jumpFactor * g.meanLatency)
		g.resetToCold()
		return
	}
	healthy := latency <= healthyLatencyFactor*g.meanLatency
	g.addLatencySample(latency)
	g.awaitsProbe = false
	if !healthy {
		return
	}
	if g.completionsLeft > 0 {
		g.completionsLeft--
		return
	}
	g.window = min(g.maxWindow, g.window+g.growth/g.window)
	if g.window >= max(g.coldWindow, g.maxWindow/2) {
		g.inColdStart = false
	}
}

func (g *adaptive) addLatencySample(latency float64) {
	g.meanDeviation += latencySampleWeight * (math.Abs(latency-g.meanLatency) - g.meanDeviation)
	g.meanLatency += latencySampleWeight * (latency - g.meanLatency)
}

func (g *adaptive) noteReport(load spool.EngineLoad) {
	restarted := g.hasReport && (load.Generation != g.generation || load.Uptime < g.uptime)
	g.generation, g.uptime, g.hasReport = load.Generation, load.Uptime, true
	if restarted {
		g.resetToCold()
	}
}

func (g *adaptive) resetToCold() {
	g.window = g.coldWindow
	g.completionsLeft = g.coldCompletions
	g.inColdStart = g.coldWindow < g.maxWindow
}
