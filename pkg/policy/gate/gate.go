// Package gate holds the gates in front of one endpoint: fixed is the baseline,
// adaptive starts with little concurrency and grows by evidence.
//
// Ways weighed. A ramp by uptime needs the endpoint's word, which lags and is
// wrong after an unannounced restart. Latency gradients alone mistake a long
// prompt for a loaded engine. Counting completions at healthy latency needs no
// knowledge of the engine and stands still when the evidence does.
package gate

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Names of the gates.
const (
	Fixed    = "fixed"
	Adaptive = "adaptive"
)

const (
	defaultMaxConcurrency  = 16
	defaultColdConcurrency = 1
)

func init() {
	spool.Gates.Register(Fixed, func(_ uint64, options spool.Options) spool.Gate {
		return fixed{window: int(max(1, options.Get("gate.maxConcurrency", defaultMaxConcurrency)))}
	})
	spool.Gates.Register(Adaptive, newAdaptive)
}

// fixed admits gate.maxConcurrency calls whatever happens.
type fixed struct {
	window int
}

// Window returns the fixed number.
func (g fixed) Window(clock.Millis) int { return g.window }

// Observe does nothing.
func (fixed) Observe(clock.Millis, spool.GateEvent) {}

// Cold is never true.
func (fixed) Cold(clock.Millis) bool { return false }
