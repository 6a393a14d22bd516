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
	// failingTime is the time constant with which failures are forgotten, so that the way
	// is tried again.
	failingTime = 3 * clock.Second
)

// crossing is what this gateway has seen of the way to another failure domain.
type crossing struct {
	failing float64
	at      clock.Millis
}

// record adds the result of a request to a failure domain.
func (s *serviceState) record(now clock.Millis, domain spool.FailureDomain, failed bool) {
	known := s.crossings[domain]
	known.failing = known.failingAt(now) * (1 - failureWeight)
	if failed {
		known.failing += failureWeight
	}
	known.at = now
	s.crossings[domain] = known
}

func (c crossing) failingAt(now clock.Millis) float64 {
	return c.failing * math.Exp(-float64(max(0, now-c.at))/float64(failingTime))
}

// isOpen reports whether requests may go to a failure domain. The own domain is always open.
func (s *serviceState) isOpen(now clock.Millis, domain spool.FailureDomain) bool {
	known, ok := s.crossings[domain]
	return !ok || known.failingAt(now) < maxFailing
}
