package endpoints

import (
	"math"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// failureWeight is the weight of a new result in the failing part of the requests to a
	// failure domain: two failures in a row close the way to it.
	failureWeight = 0.5
	// maxFailing is the failing part above which no request goes to a failure domain. It is
	// above the part that one bad endpoint among several causes.
	maxFailing = 0.6
	// trialFailing is the failing part above which one request at a time goes to a failure
	// domain. A request into a cut link may take long to fail.
	trialFailing = 0.3
	// failingTime is the time constant with which failures are forgotten, so that the way
	// is tried again.
	failingTime = 6 * clock.Second
)

// crossing is what this gateway has seen of the way to another failure domain.
type crossing struct {
	// failing is the failing part of the last requests at the time at.
	failing float64
	at      clock.Millis
	// inFlight is the number of requests of this gateway there.
	inFlight int
}

// begin records that a request was sent to a failure domain.
func (s *serviceState) begin(domain spool.FailureDomain) {
	known := s.crossings[domain]
	known.inFlight++
	s.crossings[domain] = known
}

// end records the end of a request that was sent to a failure domain.
func (s *serviceState) end(now clock.Millis, domain spool.FailureDomain, outcome Outcome) {
	known := s.crossings[domain]
	known.inFlight--
	if outcome == Answered || outcome == Failed {
		known.failing = known.failingAt(now) * (1 - failureWeight)
		if outcome == Failed {
			known.failing += failureWeight
		}
		known.at = now
	}
	s.crossings[domain] = known
}

func (c crossing) failingAt(now clock.Millis) float64 {
	return c.failing * math.Exp(-float64(max(0, now-c.at))/float64(failingTime))
}

// isOpen reports whether requests may go to a failure domain. The own domain is always open.
func (s *serviceState) isOpen(now clock.Millis, domain spool.FailureDomain) bool {
	known := s.crossings[domain]
	failing := known.failingAt(now)
	return failing < trialFailing || failing < maxFailing && known.inFlight == 0
}
