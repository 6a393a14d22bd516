package routing

import (
	"math/rand/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Defaults for what an endpoint has not reported yet.
const (
	defaultMillisPerCall         = 1000.0
	defaultPrefillTokensPerMilli = 10.0
	defaultStaleMs               = 2000.0
	// unknownWindow is what an endpoint that never reported is taken to admit:
	// it may be in cold start.
	unknownWindow = 1.0
	// crowding is the part of a call's time that a full batch adds to it. It
	// makes an emptier endpoint the cheaper one while neither has a queue.
	crowding = 0.25
	// heldUp is the part of an endpoint's calls that the computing of a prompt
	// delays as much as the call itself. Without it, programs move between long
	// queues and recompute more than half of their prompts at twice the capacity;
	// 1 gave no better latencies than 0.5.
	heldUp = 0.5
)

// source returns the policy's own random source.
func source(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))
}

// estimator turns reports into expected waiting times.
type estimator struct {
	staleMs float64
}

// fleet holds what is known of all candidates together.
type fleet struct {
	occupancy     float64
	millisPerCall float64
}

func (m estimator) fleet(endpoints []spool.EndpointView) fleet {
	var load, window, millis, known float64
	for _, e := range endpoints {
		load += float64(e.Running + e.Queued - e.QueuedStarts)
		window += effectiveWindow(e)
		if e.MillisPerCall > 0 {
			millis += e.MillisPerCall
			known++
		}
	}
	result := fleet{occupancy: load / window, millisPerCall: defaultMillisPerCall}
	if known > 0 {
		result.millisPerCall = millis / known
	}
	return result
}

// staleness is 0 for a report just received and 1 for one that tells nothing.
func (m estimator) staleness(now clock.Millis, e spool.EndpointView) float64 {
	age := float64(now-e.ReportedAt) - m.staleMs/2
	return min(1, max(0, age/(m.staleMs/2)))
}

// load estimates the calls at an endpoint. The older a report is, the more it
// gives way to the mean of the fleet.
func (m estimator) load(now clock.Millis, e spool.EndpointView, all fleet) float64 {
	stale := m.staleness(now, e)
	reported := (1-stale)*float64(e.Running+e.Queued-e.QueuedStarts) + stale*all.occupancy*effectiveWindow(e)
	return reported + float64(e.SentSince)
}

// wait estimates the milliseconds that one more call waits and is slowed down.
func (m estimator) wait(now clock.Millis, e spool.EndpointView, all fleet) float64 {
	window := effectiveWindow(e)
	load := m.load(now, e, all)
	millis := e.MillisPerCall
	if millis <= 0 {
		millis = all.millisPerCall
	}
	queued := max(0, load+1-window)
	return millis * (queued/window + crowding*min(1, load/window))
}

// startWait estimates the milliseconds that the first call of a program waits.
func (m estimator) startWait(now clock.Millis, e spool.EndpointView, all fleet) float64 {
	perCall := e.MillisPerCall / effectiveWindow(e)
	return max(m.wait(now, e, all), (1-m.staleness(now, e))*float64(e.StartWait)+perCall*float64(e.SentSince))
}

func effectiveWindow(e spool.EndpointView) float64 {
	window := float64(e.Window)
	if window <= 0 {
		window = unknownWindow
	}
	return window * min(1, e.Share)
}

// recompute estimates the milliseconds of computing the part of the prompt that
// the endpoint does not hold.
func recompute(call spool.CallView, e spool.EndpointView) float64 {
	speed := e.PrefillTokensPerMilli
	if speed <= 0 {
		speed = defaultPrefillTokensPerMilli
	}
	return float64(max(0, call.PromptTokens-e.CachedTokens)) / speed
}
