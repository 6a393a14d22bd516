package admission

import (
	"math"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
)

const (
	// initialSlotRate is the number of requests per second that a slot is assumed to
	// serve before any was observed: a turn takes 160 to 300 ms on an idle engine.
	initialSlotRate = 4.0
	// The slot rate follows faster answers within slotRateRise and slower ones within
	// slotRateFall. The rate of answers lags behind the requests in flight when a burst
	// begins, so a fast fall would underestimate the capacity then.
	slotRateRise = 300 * clock.Millis(1)
	slotRateFall = 1500 * clock.Millis(1)
	// maxRise bounds an observation as a multiple of the slot rate. When slots are lost, the
	// rate of answers is that of more slots for a while.
	maxRise = 1.25
	// minObservedLoad is the part of the slots that must be in use for the slot rate to be
	// observed. With fewer, a few requests that have just begun change the result.
	minObservedLoad = 0.1
	// initialNeed is the number of requests that a program is assumed to send if it does not
	// say it. Programs have 4 to 9 turns.
	initialNeed = 6.0
	// The programs are assumed to send initialRatio times as many requests as expected, with
	// the weight of initialRequests, before any was observed: a higher ratio would refuse
	// programs for which there is room. The ratio stays within minRatio and maxRatio.
	initialRequests = 60.0
	initialRatio    = 0.9
	minRatio        = 0.4
	maxRatio        = 2.5
	// needMemory is the time within which the ratio follows the observations, and
	// needMemoryLimited that while starts are limited: the requests of programs that began
	// before are then answered beside few starts, which looks like a higher ratio.
	needMemory        = 20 * clock.Second
	needMemoryLimited = 120 * clock.Second
	// offeredMemory is the time within which the offered rate follows the observations.
	offeredMemory = 700 * clock.Millis(1)
	// overloadRejected is the part of the requests that must be rejected to count as an
	// overload while there seem to be free slots. It is high, because a few slow endpoints
	// are full while others have room.
	overloadRejected = 0.3
	// maxStep bounds the time for which one observation counts, so that the first one
	// after a pause doesn't replace what was known before.
	maxStep = 500 * clock.Millis(1)
)

// estimate is what is known of a service and the programs that use it.
type estimate struct {
	// slotRate is the number of requests that a slot serves per second; above 0.
	slotRate float64
	// requests and expected are sums with exponential decay: the requests that were answered,
	// and those that the programs that began were expected to send; expected is above 0.
	requests, expected float64
	// offered is the rate at which programs ask to begin, in requests that they are expected
	// to send, per second.
	offered float64
	// stats is the newest observation.
	stats load.ServiceStats
	// observedAt is the time of the newest observation; 0 if there is none.
	observedAt clock.Millis
}

func newEstimate() estimate {
	return estimate{slotRate: initialSlotRate, requests: initialRatio * initialRequests, expected: initialRequests}
}

// observe includes an observation. limited tells whether starts were limited.
func (e *estimate) observe(now clock.Millis, stats load.ServiceStats, limited bool) {
	step := min(maxStep, now-e.observedAt)
	isFirst := e.observedAt == 0
	e.observedAt, e.stats = now, stats
	if isFirst {
		e.offered = stats.OfferedPerSecond
		return
	}
	busy := min(stats.InFlight, stats.Slots)
	if float64(busy) >= max(1, minObservedLoad*float64(stats.Slots)) {
		// The rate of answers lags behind a loss of slots.
		rate := min(maxRise*e.slotRate, stats.EndedPerSecond/float64(busy))
		memory := slotRateFall
		if rate > e.slotRate {
			memory = slotRateRise
		}
		e.slotRate = max(1e-3, e.slotRate+weight(step, memory)*(rate-e.slotRate))
	}
	e.offered += weight(step, offeredMemory) * (stats.OfferedPerSecond - e.offered)
	memory := needMemory
	if limited {
		memory = needMemoryLimited
	}
	// The sums keep their size while the rates are steady, whatever the memory is, so a
	// longer memory means smaller steps.
	fresh := weight(step, memory)
	if stats.StartsPerSecond > 0 {
		e.requests += fresh * (stats.EndedPerSecond*needMemory.Duration().Seconds() - e.requests)
		e.expected = max(1e-3, e.expected+fresh*(stats.StartsPerSecond*needMemory.Duration().Seconds()-e.expected))
	}
}

// weight returns the weight of an observation that applies for a time step in a moving
// average with the given memory.
func weight(step, memory clock.Millis) float64 {
	return 1 - math.Exp(-float64(step)/float64(memory))
}

// ratio returns how many requests programs send for each one that is expected of them.
func (e *estimate) ratio() float64 { return min(maxRatio, max(minRatio, e.requests/e.expected)) }

// capacity returns the number of requests per second that the service can answer.
func (e *estimate) capacity() float64 { return e.slotRate * float64(e.stats.Slots) }

// load returns the requests in flight as a part of the slots. It exceeds 1 while
// requests wait in the queues of the endpoints. Many rejections show a high load also if
// the slots are overestimated, for example because endpoints have died and their records
// have not expired.
func (e *estimate) load() float64 {
	load := float64(e.stats.InFlight) / float64(max(1, e.stats.Slots))
	if rejected := e.rejectedShare(); rejected > overloadRejected {
		load = max(load, 1+2*rejected)
	}
	return load
}

// rejectedShare returns the part of the requests that endpoints refused for lack of
// room.
func (e *estimate) rejectedShare() float64 {
	total := e.stats.RejectedPerSecond + e.stats.EndedPerSecond
	if total <= 0 {
		return 0
	}
	return e.stats.RejectedPerSecond / total
}

// turnTime returns the mean time that a request holds a slot.
func (e *estimate) turnTime() clock.Millis { return clock.Millis(1000 / e.slotRate) }

// queueTime returns the mean time for which a request waits for a slot.
func (e *estimate) queueTime() clock.Millis {
	return clock.Millis(max(0, e.load()-1) * 1000 / e.slotRate)
}
