package routing

import (
	"math/rand/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// defaultMillisPerCall is the service time assumed while no endpoint has
	// reported one.
	defaultMillisPerCall = 1000.0
	// defaultPrefillTokensPerMilli is the speed of computing a prompt, in tokens
	// per millisecond, assumed for an endpoint that has not reported one.
	defaultPrefillTokensPerMilli = 10.0
	// defaultStaleMs is the default of routing.staleMs, the age from which a report
	// is ignored, in milliseconds.
	defaultStaleMs = 2000.0
	// assumedWindow is the window assumed for an endpoint that has not reported
	// yet. It is small because the endpoint may be in cold start.
	assumedWindow = 1.0
	// batchSlowdown is the share of its service time by which a full batch delays a
	// call. It makes the less loaded of two endpoints without a queue the cheaper
	// one.
	batchSlowdown = 0.25
	// delayedShare is the assumed share of the calls at an endpoint that are
	// delayed while the endpoint computes a prompt. Without this term, at a load of
	// twice the capacity, programs move between long queues and recompute more than
	// half of their prompts. A value of 1 gave no better latencies than 0.5.
	delayedShare = 0.5
)

// newRandom returns a PCG random source that is determined by seed.
func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))
}

// estimator estimates waiting times at endpoints from their reports.
type estimator struct {
	// staleMs is the age, in milliseconds, from which the load in a report is
	// ignored.
	staleMs float64
}

// averages holds averages over the candidate endpoints of a call.
type averages struct {
	// occupancy is the total number of calls at the endpoints, without waiting
	// first calls, divided by the total window.
	occupancy float64
	// millisPerCall is the mean, in milliseconds, of the service times that the
	// endpoints reported; defaultMillisPerCall if none did.
	millisPerCall float64
}

// averages computes the averages over the given endpoints. Waiting first calls of
// programs are not part of the load, because later calls are served before them.
func (m estimator) averages(endpoints []spool.EndpointView) averages {
	var load, window, millis, reporting float64
	for _, e := range endpoints {
		load += float64(e.Running + e.Queued - e.QueuedStarts)
		window += effectiveWindow(e)
		if e.MillisPerCall > 0 {
			millis += e.MillisPerCall
			reporting++
		}
	}
	result := averages{occupancy: load / window, millisPerCall: defaultMillisPerCall}
	if reporting > 0 {
		result.millisPerCall = millis / reporting
	}
	return result
}

// staleness returns 0 for a report younger than half of staleMs. For older ones it
// rises linearly, up to 1 for a report of age staleMs or more.
func (m estimator) staleness(now clock.Millis, e spool.EndpointView) float64 {
	age := float64(now-e.ReportedAt) - m.staleMs/2
	return min(1, max(0, age/(m.staleMs/2)))
}

// expectedLoad estimates the number of calls at an endpoint, without waiting first
// calls of programs. As the report becomes stale, the mean occupancy replaces its
// numbers. Calls sent since the report are added.
func (m estimator) expectedLoad(now clock.Millis, e spool.EndpointView, mean averages) float64 {
	stale := m.staleness(now, e)
	reported := (1-stale)*float64(e.Running+e.Queued-e.QueuedStarts) + stale*mean.occupancy*effectiveWindow(e)
	return reported + float64(e.SentSinceReport)
}

// expectedWaitMs estimates by how many milliseconds queueing and batching would
// delay another call at the endpoint.
func (m estimator) expectedWaitMs(now clock.Millis, e spool.EndpointView, mean averages) float64 {
	window := effectiveWindow(e)
	load := m.expectedLoad(now, e, mean)
	millis := e.MillisPerCall
	if millis <= 0 {
		millis = mean.millisPerCall
	}
	queued := max(0, load+1-window)
	return millis * (queued/window + batchSlowdown*min(1, load/window))
}

// firstCallWaitMs estimates how many milliseconds the first call of a program would
// wait at the endpoint. The wait of first calls in the report is given less weight
// as the report becomes stale.
func (m estimator) firstCallWaitMs(now clock.Millis, e spool.EndpointView, mean averages) float64 {
	perCall := e.MillisPerCall / effectiveWindow(e)
	return max(m.expectedWaitMs(now, e, mean), (1-m.staleness(now, e))*float64(e.StartWait)+perCall*float64(e.SentSinceReport))
}

// effectiveWindow returns the window of an endpoint, multiplied by its share of the
// load, at most 1.
func effectiveWindow(e spool.EndpointView) float64 {
	window := float64(e.Window)
	if window <= 0 {
		window = assumedWindow
	}
	return window * min(1, e.Share)
}

// recomputeMs estimates how many milliseconds the endpoint needs to compute the
// part of the prompt that it has not cached.
func recomputeMs(call spool.CallView, e spool.EndpointView) float64 {
	speed := e.PrefillTokensPerMilli
	if speed <= 0 {
		speed = defaultPrefillTokensPerMilli
	}
	return float64(max(0, call.PromptTokens-e.CachedTokens)) / speed
}
