// Package rollout decides how the traffic of a service moves to a new version. A Controller,
// which runs on one gateway, grants requests to the new version and judges it; a Holder, on
// each gateway, uses the grants. Both take the time as an argument and do no input or output.
package rollout

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// AskInterval is the time between two reports of a gateway while a rollout is active.
	AskInterval = 250 * clock.Millis(1)
	// GrantLife is how long a grant is valid, counted from the sending of the report that it
	// answers. A version that is rolled back gets no request after this time.
	GrantLife = clock.Second
	// ShiftLife is how long a gateway sends to the new version while the rollout is shifting,
	// after it last learnt from the controller or the store that this is so. With the time of
	// a report it stays below the usual bound of 5 s for a rollback.
	ShiftLife = 3500 * clock.Millis(1)
	// stallLimit is the time without a try to report after which a gateway has been paused.
	// It then sends nothing until its next try has ended, because the rollout may have been
	// completed meanwhile. It is well above AskInterval plus the timeout of a report.
	stallLimit = 1500 * clock.Millis(1)
	// goneAfter is the time without a report after which a gateway no longer delays the
	// completion. A gateway that was paused for so long sends nothing, by stallLimit.
	goneAfter = 6 * clock.Second

	// shareMargin and slackMargin are the parts of the bounds that are granted. The rest
	// covers requests that the gateways and the endpoints count differently.
	shareMargin = 0.85
	slackMargin = 0.8
	// chargeAhead is the number of requests that a record of the controller covers beyond
	// those granted. A change of the controller loses at most as many.
	chargeAhead = 8
	// maxDebt is the number of requests that are granted ahead of the pace, so that gateways
	// with little traffic hold one when a request of a rare route arrives.
	maxDebt = 4
	// busyFor is the time without requests after which a gateway is granted none.
	busyFor = 3 * clock.Second

	// Parts of the duration of an order. Until loadFrom at most earlyShare of the budget is
	// granted; then the rest is granted so fast that endpoints of the new version are loaded
	// like old ones. The version is accepted from shiftTime before the end on, but between
	// earliestDecision and latestDecision, and rolled back if the evidence is not sufficient
	// decideFor later. A shift takes some 2.2 s, and a late decision notices more versions
	// that become bad late.
	loadFrom         = 0.52
	earlyShare       = 0.6
	shiftTime        = 5 * clock.Second
	earliestDecision = 0.70
	latestDecision   = 0.80
	decideFor        = 0.10
	// loadFactor is the load of a new endpoint in relation to the mean of the old ones. It
	// is below 1, so that a full service does not make the new version slow.
	loadFactor = 0.9
	// focusShare is the part of the new endpoints that get the requests of a trial.
	focusShare = 0.1
	// watchFor is the least time in which the whole traffic goes to the new version before
	// the rollout is completed, and watchAnswers the number of its answers.
	watchFor     = 1500 * clock.Millis(1)
	watchAnswers = 10
)

// Config bounds the requests to a version under trial.
type Config struct {
	settings spool.RolloutSettings
}

// NewConfig returns the bounds of the settings.
func NewConfig(settings spool.RolloutSettings) Config { return Config{settings: settings} }

// budget returns the number of requests that may be granted after a number of requests to
// the service.
func (c Config) budget(requests int64) int64 {
	return int64(shareMargin*c.settings.ExposeShare*float64(requests) + slackMargin*float64(c.settings.ExposeSlack))
}

// Order is an operator's order to move a service to a version.
type Order struct {
	Service  spool.ServiceName
	To       string
	Duration clock.Millis
	// Offset is that of the order's record. An order that is written again is a new one.
	Offset int64
}

// decideFrom returns the part of the duration from which on the version may be accepted.
func (o Order) decideFrom() float64 {
	return min(latestDecision, max(earliestDecision, 1-float64(shiftTime)/float64(max(1, o.Duration))))
}

// Phase is the state of a rollout. Phases follow each other in the order of the constants;
// Completed and RolledBack are final.
type Phase string

// The phases.
const (
	Trial      Phase = "trial"
	Shifting   Phase = "shifting"
	Completed  Phase = "completed"
	RolledBack Phase = "rolledBack"
)

// IsFinal reports whether the phase does not change any more.
func (p Phase) IsFinal() bool { return p == Completed || p == RolledBack }

// rank orders the phases.
func (p Phase) rank() int {
	switch p {
	case Shifting:
		return 1
	case Completed, RolledBack:
		return 2
	default:
		return 0
	}
}

// Record is the durable state of a rollout. The controller writes it before what it covers
// takes effect.
type Record struct {
	Order    int64        `json:"order"`
	To       string       `json:"to"`
	Duration clock.Millis `json:"durationMs"`
	Phase    Phase        `json:"phase"`
	// Charged is the number of requests that all controllers so far may have granted.
	Charged int64 `json:"charged"`
	// Requests is the number of requests to the service that were reported.
	Requests int64 `json:"requests"`
	// Elapsed is the age of the order when the record was made.
	Elapsed clock.Millis `json:"elapsedMs"`
	// Barred are versions of earlier orders that were not completed. They get no requests.
	Barred []string `json:"barred,omitempty"`
	Reason string   `json:"reason,omitempty"`
}
