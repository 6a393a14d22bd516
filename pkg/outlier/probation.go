package outlier

import (
	"github.com/cespare/xxhash/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
)

const (
	// firstEjection is the duration of a first ejection. It doubles with each further one, up
	// to maxEjection.
	firstEjection = clock.Second
	maxEjection   = 32 * clock.Second
	// calmTime is the time in use after which a next ejection is shorter by half.
	calmTime = 10 * clock.Second
	// probesToReturn is the number of own good results, and sharedProbesToReturn that of good
	// results of all gateways without a failure, that end the probation. sharedProbesToShorten
	// is the number of the latter that end an ejection early, if they took steadyTime: at a
	// failing share of 0.43, so many in a row have a probability of 0.004, and endpoints that
	// flap fail again within 2 s.
	probesToReturn        = 3
	sharedProbesToReturn  = 4.0
	sharedProbesToShorten = 10.0
	steadyTime            = 3 * clock.Second
	// trustTime is the time without failures in the view after which earlier ones no longer
	// delay the end of a probation, and own good results on probation no longer outweigh the
	// results of other gateways.
	trustTime = 10 * clock.Second
	// repeatDelay is how long an instance on probation waits for a request that can be
	// repeated elsewhere before it gets another one.
	repeatDelay = clock.Second
	// probationLimit ends a probation in which there was no failure. If the choice of an
	// endpoint avoids the instance, it gets no requests that could end it.
	probationLimit = 10 * clock.Second
	// spacingPerGateway and maxProbeSpacing set the time between two requests of one gateway
	// to an instance on probation: all gateways together send about 20 a second.
	spacingPerGateway = 50 * clock.Millis(1)
	maxProbeSpacing   = clock.Second
	// maxExtensions is the number of ejections in a row that may rest on the results of other
	// gateways. Then an own request decides, so that a false view has a bounded effect.
	maxExtensions = 2
)

// probeSpacing is the time between two probes of one gateway.
func (d *Detector) probeSpacing() clock.Millis {
	return min(maxProbeSpacing, spacingPerGateway*clock.Millis(d.gateways-1))
}

// advance begins and ends the probation of an instance.
func (d *Detector) advance(now clock.Millis, s *service, i *instance) {
	if i.state == InUse {
		return
	}
	isCommon := s.commonDomains[i.domain]
	isRecovered := i.cause == CauseFailures || i.ratio < lateFactor
	if i.cause == CauseFailures && i.isShared && isCommon || isRecovered && i.sharedProbes >= sharedProbesToShorten && now >= i.sharedFailureAt+steadyTime {
		d.release(now, s, i, KindReturned)
		return
	}
	if i.stateAt(now) != Probation {
		return
	}
	i.state = Probation
	switch {
	case i.hasSharedFailure && !isCommon && i.goodProbes == 0 && i.extensions < maxExtensions:
		i.extensions++
		i.isShared = true
		d.eject(now, s, i, i.cause)
	case i.hasSharedFailure && now < i.sharedFailureAt+trustTime:
	case isRecovered && i.sharedProbes >= sharedProbesToReturn,
		i.inFlight == 0 && now >= i.until+probationLimit:
		d.release(now, s, i, KindReturned)
	}
}

// recordProbe records an own result on probation.
func (d *Detector) recordProbe(now clock.Millis, s *service, i *instance, sample load.Sample) {
	eventMillis, callMillis := timesOf(sample)
	isLate := ratioOf(eventMillis, s.eventMillis) >= lateFactor || ratioOf(callMillis/i.queueFactor(), s.callMillis) >= lateFactor
	if sample.Outcome == load.Failed || i.cause == CauseLateness && isLate {
		i.extensions, i.isShared = 0, false
		cause := i.cause
		if sample.Outcome == load.Failed {
			cause = CauseFailures
		}
		d.eject(now, s, i, cause)
		return
	}
	i.goodProbes++
	if i.goodProbes >= probesToReturn {
		d.release(now, s, i, KindReturned)
		i.isTrusted = true
	}
}

// eject ejects an instance, for longer the more often that has happened lately.
func (d *Detector) eject(now clock.Millis, s *service, i *instance, cause Cause) {
	if i.state == InUse && i.returnedAt != 0 {
		i.level = max(0, i.level-int((now-i.returnedAt)/calmTime))
	}
	duration := min(maxEjection, firstEjection<<min(i.level, 8))
	spread := d.probeSpacing()
	if spread > 0 {
		spread = clock.Millis(xxhash.Sum64String(string(i.id.ID)+d.seed) % uint64(spread))
	}
	i.state, i.cause, i.ejectedAt, i.until = Ejected, cause, now, now+duration+spread
	d.report(i.event(now, KindEjected, s))
	i.level = min(i.level+1, 8)
	i.nextProbe = i.until
	i.own.score.value, i.shared.score.value = 0, 0
	i.lateSince, i.answersLate = 0, 0
	i.goodProbes, i.sharedProbes, i.hasSharedFailure, i.isTrusted = 0, 0, false, false
}

// release puts an instance in use again.
func (d *Detector) release(now clock.Millis, s *service, i *instance, kind Kind) {
	d.report(i.event(now, kind, s))
	i.state, i.cause, i.until, i.extensions = InUse, "", 0, 0
	i.returnedAt = now
	i.own.score.value, i.shared.score.value = 0, 0
	i.own.eventMillis, i.own.callMillis = 0, 0
	i.lateSince, i.answersLate = 0, 0
}

func (i *instance) event(now clock.Millis, kind Kind, s *service) Event {
	return Event{
		Kind: kind, Service: s.name, Instance: i.id, Cause: i.cause, At: now, Until: i.until, Level: i.level,
		OwnScore: i.own.score.value, SharedScore: i.shared.score.value, Ratio: i.ratio,
	}
}
