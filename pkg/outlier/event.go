package outlier

import (
	"cmp"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Cause is why an instance is ejected.
type Cause string

const (
	// CauseFailures means that too large a share of its requests failed.
	CauseFailures Cause = "failures"
	// CauseLateness means that it was several times slower than the median of its peers.
	CauseLateness Cause = "lateness"
)

// compareCauses orders causes by their weight; failures are the heaviest.
func compareCauses(a, b Cause) int { return cmp.Compare(weightOf(a), weightOf(b)) }

func weightOf(cause Cause) int {
	if cause == CauseFailures {
		return 1
	}
	return 0
}

// Kind is the kind of an Event.
type Kind string

const (
	// KindEjected means that an instance has been ejected, for the first time or again.
	KindEjected Kind = "ejected"
	// KindReturned means that an instance is in use again after good answers.
	KindReturned Kind = "returned"
	// KindDisplaced means that an instance is in use again because MaxEjectedShare does not
	// allow it to stay ejected.
	KindDisplaced Kind = "displaced"
)

// Event is a change of the state of an instance, with the evidence for it.
type Event struct {
	Kind     Kind
	Service  spool.ServiceName
	Instance load.Instance
	Cause    Cause
	// At is the time of the change. Until is the end of the ejection, and Level the number
	// of ejections before it that made it longer.
	At    clock.Millis
	Until clock.Millis
	Level int
	// OwnScore and SharedScore are the scores of failures from the own requests and from
	// the view; see score.
	OwnScore, SharedScore float64
	// Ratio is the time of the instance, divided by the median of its peers; 0 if unknown.
	Ratio float64
}
