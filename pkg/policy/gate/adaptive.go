package gate

import (
	"math"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// healthyLatencyFactor is the highest ratio to the mean latency at which a
	// completion is healthy, so that the window may grow.
	healthyLatencyFactor = 1.5
	// defaultJumpFactor is the ratio to the mean latency above which the window is
	// reset. It is well above the rise that batching alone causes in a full engine,
	// a factor of two to three.
	defaultJumpFactor = 5.0
	// latencySampleWeight is the weight of the latest sample in the moving averages
	// of the latency and its deviation.
	latencySampleWeight = 0.05
	// defaultIdleMs is how long an endpoint may be without calls, in milliseconds,
	// before the gate assumes that it may have restarted. A restart of an idle
	// endpoint breaks no connection and goes unnoticed.
	defaultIdleMs = 250
	// defaultColdCompletions is the number of healthy completions that are required
	// at the cold concurrency before the window grows. An engine needs some work to
	// end its cold start, and the gate cannot observe when that happens.
	defaultColdCompletions = 12
	// deviationFactor is the second threshold of a latency jump: the latency must
	// also exceed the mean latency by this many mean deviations. Otherwise a long
	// prompt with a short answer, which has a high latency per token, would be
	// treated as a jump.
	deviationFactor = 6.0
	// defaultGrowth is the number of calls by which the window grows when as many
	// healthy calls have completed as fit in the window.
	defaultGrowth = 1.0
)

// adaptive grows its window by a fixed amount for each window of healthy
// completions. It resets the window to the cold concurrency at the first sign of a
// restart: a failed call, a lost cache, a latency jump, or a report with another
// generation or a shorter uptime.
type adaptive struct {
	// coldWindow and maxWindow bound the window, in calls.
	coldWindow, maxWindow, jumpFactor, growth float64
	// idleLimit is the longest idle time after which the window stays open.
	idleLimit clock.Millis
	window    float64
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
	// generation and uptime are those of the latest load report; valid only if
	// hasReport is true.
	generation uint64
	uptime     clock.Millis
	hasReport  bool
	// running counts the running calls. It is used only if tracksRunning is true.
	// The first GateStarted event sets tracksRunning, because not every process
	// sends these events.
	running       int
	tracksRunning bool
	// idleSince is when a call last ended.
	idleSince clock.Millis
	// awaitsProbe is true from the end of an idle period longer than idleLimit
	// until a call has completed without a latency jump. Meanwhile Window returns
	// the cold concurrency, but the window itself is kept.
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

// Window returns the current window, rounded down to whole calls. After an idle
// period it returns the cold concurrency until a call has completed.
func (g *adaptive) Window(now clock.Millis) int {
	g.checkIdle(now)
	if g.awaitsProbe {
		return int(g.coldWindow)
	}
	return int(g.window)
}

// Cold is true from the start, or from a reset, until the window has grown to half
// of its maximum. The distance between the cold concurrency and half of the maximum
// keeps one cold start from being reported as several.
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

// checkIdle sets awaitsProbe if the endpoint has been idle for longer than
// idleLimit.
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

// noteCompletion resets the window after a latency jump and grows it after a
// healthy completion.
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

// noteReport resets the window if a load report shows a restart of the engine.
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
