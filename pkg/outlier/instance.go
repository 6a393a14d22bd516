package outlier

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// lateFactor is the multiple of the median from which an instance is late. It is above
	// the ratio of steady speeds, which the choice of an endpoint takes into account: the
	// factors 0.7 and 1.7 give 2.4.
	lateFactor = 4.0
	// minLateMillis is the least difference to the median of a late instance. Below it,
	// network and scheduling decide the ratio.
	minLateMillis = 25.0
	// lateFor and lateAnswers are the time and the number of answers for which an instance
	// must be late. Endpoints are 2.5 times slower for about 600 ms at a time, and a moving
	// average follows with a delay.
	lateFor     = 2 * clock.Second
	lateAnswers = 4.0
)

// instance is what the detector knows of one instance.
type instance struct {
	id     load.Instance
	slots  int
	domain spool.FailureDomain
	// inFlight is the number of requests of this gateway.
	inFlight int
	// seenAt is when the instance was a member last, or had a result.
	seenAt clock.Millis
	own    ownResults
	shared sharedResults

	// ratio is the time of the instance divided by the median of its peers, at the last
	// judgement; 0 if unknown. ownRatio is the same from own answers only.
	ratio, ownRatio float64
	// lateSince is when the instance became late; 0 if it is not. answersLate is the number
	// of answers since then, and ownAnswers the value of own.answers that they include.
	lateSince   clock.Millis
	answersLate float64
	ownAnswers  int

	// state changes from Ejected to Probation when until is reached; use stateAt.
	state State
	cause Cause
	// ejectedAt and until are the begin and the end of the ejection.
	ejectedAt, until clock.Millis
	// level is the number of ejections that lengthen the next one, and returnedAt the time
	// from which it decreases.
	level      int
	returnedAt clock.Millis
	// nextProbe is the earliest time of the next request on probation.
	nextProbe clock.Millis
	// isShared is true if the ejection rests on the results of other gateways.
	isShared bool
	// goodProbes is the number of own good results on probation.
	goodProbes int
	// sharedProbes is the number of good results in the view since the last failure there,
	// from firstEjection after the ejection on. hasSharedFailure is set if there was a
	// failure in the view on probation.
	sharedProbes     float64
	hasSharedFailure bool
	// extensions is the number of ejections in a row that rest on the results of other
	// gateways only.
	extensions int
	// isTrusted is set after a return by own good results, until an own failure or until the
	// view has shown no failure for trustTime. Failures of other gateways do not count then.
	isTrusted       bool
	sharedFailureAt clock.Millis
}

func (i *instance) stateAt(now clock.Millis) State {
	if i.state == Ejected && now >= i.until {
		return Probation
	}
	return i.state
}

// observe takes over what a view says.
func (i *instance) observe(now clock.Millis, stats load.Stats, window clock.Millis) {
	good, failed := i.shared.observe(now, stats, window)
	newAnswers := good + float64(i.own.answers-i.ownAnswers)
	i.ownAnswers = i.own.answers
	if i.lateSince != 0 {
		i.answersLate += newAnswers
	}
	if failed > 0 {
		i.sharedFailureAt, i.sharedProbes = now, 0
		i.hasSharedFailure = i.hasSharedFailure || i.stateAt(now) == Probation
	} else if i.state != InUse && now >= i.ejectedAt+firstEjection {
		i.sharedProbes += good
	}
	if now-max(i.sharedFailureAt, i.returnedAt) > trustTime {
		i.isTrusted = false
	}
}

// times returns the time between two events and the time of a call. Calls that waited for a
// slot are divided by the number of requests per slot, because their wait depends on the
// demand and not on the instance.
func (i *instance) times() (eventMillis, callMillis float64) {
	stats := i.shared.stats
	eventMillis, callMillis = stats.EventMillis, stats.CallMillis
	if eventMillis == 0 {
		eventMillis = i.own.eventMillis
	}
	if callMillis == 0 {
		callMillis = i.own.callMillis
	}
	return eventMillis, callMillis / i.queueFactor()
}

func (i *instance) queueFactor() float64 {
	return max(1, float64(i.shared.stats.InFlight+i.inFlight)/float64(max(1, i.slots)))
}

// updateLateness compares the instance with the medians of its service.
func (i *instance) updateLateness(now clock.Millis, s *service) {
	eventMillis, callMillis := i.times()
	i.ratio = max(ratioOf(eventMillis, s.eventMillis), ratioOf(callMillis, s.callMillis))
	i.ownRatio = max(ratioOf(i.own.eventMillis, s.eventMillis), ratioOf(i.own.callMillis/i.queueFactor(), s.callMillis))
	if i.ratio < lateFactor {
		i.lateSince, i.answersLate = 0, 0
		return
	}
	if i.lateSince == 0 {
		i.lateSince = max(1, now)
	}
}

// ratioOf returns value divided by the median; 0 if either is unknown or they differ by less
// than minLateMillis.
func ratioOf(value, median float64) float64 {
	if value <= 0 || median <= 0 || value-median < minLateMillis {
		return 0
	}
	return value / median
}

// isLate reports whether the instance has been late for long enough, and recent own answers
// do not contradict it.
func (i *instance) isLate(now clock.Millis) bool {
	if i.lateSince == 0 || now-i.lateSince < lateFor || i.answersLate < lateAnswers {
		return false
	}
	return i.ownRatio >= lateFactor || !i.own.contradicts(now)
}

// failedShare returns the share of the recent results that are failures. isKnown is false
// if there are too few.
func (i *instance) failedShare(now clock.Millis) (share float64, isKnown bool) {
	weight := decay(now-i.own.at, ownWindow)
	failed := i.shared.stats.Failed + i.own.failed*weight
	total := failed + i.shared.stats.Good + i.own.good*weight
	if total < 0.5 {
		return 0, false
	}
	return failed / total, true
}
