package gate

import (
	"math"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// healthyFactor is how far above the usual latency a completion may lie and
	// still let the window grow.
	healthyFactor = 1.5
	// defaultJumpFactor is the rise of latency that closes the window. Batching
	// alone raises the latency of a full engine by two to three times.
	defaultJumpFactor = 5.0
	// latencyMemory is the weight of a new sample in the usual latency.
	latencyMemory = 0.05
	// defaultIdleMs is how long an endpoint may be without calls before its state
	// counts as unknown: a restart breaks no connection then.
	defaultIdleMs = 250
	// defaultProof is the number of healthy completions at the cold concurrency
	// before the window grows. Engines end their cold start after some work, and
	// the gate cannot see when.
	defaultProof = 12
	// noiseFactor is how many mean deviations above the usual latency a jump must
	// lie as well: a long prompt with a short answer is slow for each token.
	noiseFactor = 6.0
	// defaultGrowth is how much the window grows for each window of completions.
	defaultGrowth = 1.0
)

// adaptive opens by one call for each window of healthy completions and closes
// to the cold concurrency at the first sign of a restart.
type adaptive struct {
	cold, limit, jump, growth float64
	idleMs                    clock.Millis
	window                    float64
	// usual is the moving average of latency; 0 before the first completion.
	usual float64
	// deviation is the moving average of the distance from usual.
	deviation float64
	// proof counts the completions that are still needed before growth.
	proof, needed int
	isCold        bool
	generation    uint64
	uptime        clock.Millis
	reported      bool
	// running counts calls from GateStarted events; it is used only when the
	// process sends such events.
	running   int
	tracks    bool
	idleSince clock.Millis
	// unproven holds the window at the cold concurrency after idle time until a
	// call has completed.
	unproven bool
}

// newAdaptive reads gate.coldConcurrency, gate.maxConcurrency, gate.jumpFactor,
// gate.growth, gate.idleMs and gate.coldCompletions.
func newAdaptive(_ uint64, options spool.Options) spool.Gate {
	limit := max(1, options.Get("gate.maxConcurrency", defaultMaxConcurrency))
	cold := min(limit, max(1, options.Get("gate.coldConcurrency", defaultColdConcurrency)))
	proof := int(options.Get("gate.coldCompletions", defaultProof))
	return &adaptive{
		proof: proof, needed: proof,
		cold: cold, limit: limit, window: cold, isCold: cold < limit,
		jump:   options.Get("gate.jumpFactor", defaultJumpFactor),
		growth: options.Get("gate.growth", defaultGrowth),
		idleMs: clock.Millis(options.Get("gate.idleMs", defaultIdleMs)),
	}
}

// Window returns the whole calls that fit into the window.
func (g *adaptive) Window(now clock.Millis) int {
	g.noteIdle(now)
	if g.unproven {
		return int(g.cold)
	}
	return int(g.window)
}

// Cold is true from a close until the window has grown to half of the limit.
// The distance keeps one close from being reported as several.
func (g *adaptive) Cold(clock.Millis) bool { return g.isCold }

// Observe takes an event in.
func (g *adaptive) Observe(now clock.Millis, event spool.GateEvent) {
	switch event.Kind {
	case spool.GateStarted:
		g.noteIdle(now)
		g.tracks = true
		g.running++
	case spool.GateCompleted:
		g.ended(now)
		g.completed(event.Latency)
	case spool.GateFailed:
		g.ended(now)
		g.close()
	case spool.GateEnded:
		g.ended(now)
	case spool.GateCacheEmptied:
		g.close()
	case spool.GateReport:
		g.report(event.Load)
	}
}

func (g *adaptive) noteIdle(now clock.Millis) {
	if g.tracks && g.running == 0 && now-g.idleSince > g.idleMs {
		g.unproven = true
	}
}

func (g *adaptive) ended(now clock.Millis) {
	if g.running > 0 {
		g.running--
	}
	g.idleSince = now
}

func (g *adaptive) completed(latency float64) {
	if g.usual == 0 {
		g.usual = latency
	}
	if latency > max(g.jump*g.usual, g.usual+noiseFactor*g.deviation) {
		g.learn(g.jump * g.usual)
		g.close()
		return
	}
	healthy := latency <= healthyFactor*g.usual
	g.learn(latency)
	g.unproven = false
	if !healthy {
		return
	}
	if g.proof > 0 {
		g.proof--
		return
	}
	g.window = min(g.limit, g.window+g.growth/g.window)
	if g.window >= max(g.cold, g.limit/2) {
		g.isCold = false
	}
}

func (g *adaptive) learn(latency float64) {
	g.deviation += latencyMemory * (math.Abs(latency-g.usual) - g.deviation)
	g.usual += latencyMemory * (latency - g.usual)
}

func (g *adaptive) report(load spool.EngineLoad) {
	restarted := g.reported && (load.Generation != g.generation || load.Uptime < g.uptime)
	g.generation, g.uptime, g.reported = load.Generation, load.Uptime, true
	if restarted {
		g.close()
	}
}

func (g *adaptive) close() {
	g.window = g.cold
	g.proof = g.needed
	g.isCold = g.cold < g.limit
}
