package outlier

import (
	"cmp"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// minPeers is the least number of instances with a known time for a median.
	minPeers = 3
	// commonFailedShare is the median of the failed shares from which failures are no sign of
	// a single instance: the cause lies elsewhere, such as a cut link or bad requests.
	commonFailedShare = 0.2
	// suspectScore is the score of failures from which an instance counts as failing when
	// its failure domain is judged. It is below maxScore, because the first instance of a
	// domain reaches that before the others do.
	suspectScore = 0.9
)

// service is what the detector knows of the instances of a service.
type service struct {
	name      spool.ServiceName
	instances map[load.Instance]*instance
	// members are the instances of the last judgement.
	members []*instance
	// load is the part of their slots that is in use.
	load     float64
	judgedAt clock.Millis
	// isUrgent is set before the first judgement, and when own results suffice for an
	// ejection.
	isUrgent bool
	// eventMillis and callMillis are the medians of the members; 0 if unknown.
	eventMillis, callMillis float64
	// failsInCommon is set while at least half of the members fail. commonDomains contains
	// the failure domains in which, by the results of all gateways, at least half do.
	failsInCommon bool
	commonDomains map[spool.FailureDomain]bool
}

func newService(name spool.ServiceName) *service {
	return &service{name: name, instances: map[load.Instance]*instance{}, commonDomains: map[spool.FailureDomain]bool{}, isUrgent: true}
}

func (s *service) isDue(now clock.Millis) bool {
	return s.isUrgent || now >= s.judgedAt+judgeInterval
}

func (s *service) instance(now clock.Millis, id load.Instance) *instance {
	i := s.instances[id]
	if i == nil {
		i = &instance{id: id, seenAt: now}
		s.instances[id] = i
	}
	return i
}

func (s *service) updateMedians() {
	var events, calls []float64
	for _, i := range s.members {
		eventMillis, callMillis := i.times()
		if eventMillis > 0 {
			events = append(events, eventMillis)
		}
		if callMillis > 0 {
			calls = append(calls, callMillis)
		}
	}
	s.eventMillis, s.callMillis = medianOf(events), medianOf(calls)
}

// medianOf returns the median of the values, the higher one of two, and 0 if there are fewer
// than minPeers. It changes the order of the values.
func medianOf(values []float64) float64 {
	if len(values) < minPeers {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

func (s *service) updateCommonFailures(now clock.Millis) {
	var shares []float64
	for _, i := range s.members {
		if share, isKnown := i.failedShare(now); isKnown {
			shares = append(shares, share)
		}
	}
	s.failsInCommon = medianOf(shares) >= commonFailedShare
	suspects, total := map[spool.FailureDomain]int{}, map[spool.FailureDomain]int{}
	for _, i := range s.members {
		total[i.domain]++
		if i.shared.score.value >= suspectScore || i.state != InUse && i.cause == CauseFailures {
			suspects[i.domain]++
		}
	}
	clear(s.commonDomains)
	for domain, count := range suspects {
		s.commonDomains[domain] = total[domain] >= minPeers && 2*count >= total[domain]
	}
}

// isFailing reports whether own results, or those of all gateways, show that an instance
// fails. The latter do not count while its failure domain fails in common, which is the case
// for gateways beyond a cut link, and while own results contradict them.
func (s *service) isFailing(now clock.Millis, i *instance) bool {
	if i.own.score.value >= maxScore {
		return true
	}
	return i.shared.score.value >= maxScore && !s.commonDomains[i.domain] && !i.isTrusted && !i.own.contradicts(now)
}

// causeAgainst returns why an instance in use should be ejected; empty if it should not.
func (s *service) causeAgainst(now clock.Millis, i *instance) Cause {
	switch {
	case s.isFailing(now, i) && !s.failsInCommon:
		return CauseFailures
	case i.isLate(now):
		return CauseLateness
	default:
		return ""
	}
}

// compareSeverity orders candidates by what speaks against them.
func (s *service) compareSeverity(now clock.Millis, a, b *instance) int {
	aShare, _ := a.failedShare(now)
	bShare, _ := b.failedShare(now)
	return cmp.Or(compareCauses(s.causeAgainst(now, a), s.causeAgainst(now, b)), cmp.Compare(aShare, bShare), cmp.Compare(a.ratio, b.ratio))
}

func (s *service) forgetOld(now clock.Millis) {
	for id, i := range s.instances {
		if now-i.seenAt > stateRetention && i.inFlight == 0 {
			delete(s.instances, id)
		}
	}
}

// maxEjected returns the number of members that may be ejected or on probation: at most
// MaxEjectedShare, and only as many as leave the others at usableLoad.
func (s *service) maxEjected() int {
	spare := max(0, 1-s.load/usableLoad)
	return int(min(MaxEjectedShare, spare) * float64(len(s.members)))
}
