// Package gate implements the gates, which limit the number of concurrent calls at
// one endpoint. The fixed gate is the baseline. The adaptive gate starts with a low
// limit and raises it as calls complete with healthy latency.
//
// Alternatives considered: Raising the limit with the uptime relies on the
// endpoint's report, which lags and is wrong after an unannounced restart. A limit
// based only on latency gradients mistakes a long prompt for a loaded engine.
// Counting completions with healthy latency needs no knowledge of the engine, and
// the limit stops growing when calls stop completing.
package gate

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Registered names of the gates.
const (
	Fixed    = "fixed"
	Adaptive = "adaptive"
)

const (
	// defaultMaxConcurrency is the maximum number of concurrent calls, and
	// defaultColdConcurrency the number on a cold engine.
	defaultMaxConcurrency  = 16
	defaultColdConcurrency = 1
)

func init() {
	spool.Gates.Register(Fixed, func(_ uint64, options spool.Options) spool.Gate {
		return fixed{window: int(max(1, options.Get("gate.maxConcurrency", defaultMaxConcurrency)))}
	})
	spool.Gates.Register(Adaptive, newAdaptive)
}

// fixed is a gate with a constant window of gate.maxConcurrency calls.
type fixed struct {
	window int
}

// Window returns the constant window.
func (g fixed) Window(clock.Millis) int { return g.window }

// Observe does nothing.
func (fixed) Observe(clock.Millis, spool.GateEvent) {}

// Cold always returns false.
func (fixed) Cold(clock.Millis) bool { return false }
