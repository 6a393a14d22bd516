package entry

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Choice is what was known when a call was sent to an endpoint, for operators.
type Choice struct {
	// Candidates is the number of endpoints that could be chosen.
	Candidates int `json:"candidates"`
	// Chosen is the endpoint that the router took.
	Chosen Seen `json:"chosen"`
	// LongestPrefix is the candidate that is believed to hold more of the prompt
	// than the chosen one, LeastLoaded one with fewer calls per slot; each is
	// empty when there is none.
	LongestPrefix *Seen `json:"longestPrefix,omitempty"`
	LeastLoaded   *Seen `json:"leastLoaded,omitempty"`
}

// Seen is what an entry knew of an endpoint.
type Seen struct {
	Endpoint spool.EndpointID `json:"endpoint"`
	// CachedTokens is the part of the prompt that it is believed to hold.
	CachedTokens int `json:"cachedTokens"`
	// Calls counts those that run, wait or were sent since the last report,
	// Window the calls that may run at once; 0 while unknown.
	Calls  int `json:"calls"`
	Window int `json:"window"`
	// ReportAge is the age of the last report; negative without one.
	ReportAge clock.Millis `json:"reportAgeMs"`
}

func newSeen(now clock.Millis, view spool.EndpointView) Seen {
	age := clock.Millis(-1)
	if view.ReportedAt > 0 {
		age = now - view.ReportedAt
	}
	return Seen{
		Endpoint: view.ID, CachedTokens: view.CachedTokens, Calls: view.Running + view.Queued + view.SentSince,
		Window: view.Window, ReportAge: age,
	}
}

// load is the number of calls per slot.
func (s Seen) callsPerSlot() float64 { return float64(s.Calls) / float64(max(1, s.Window)) }

// choiceOf describes the choice of an endpoint among views.
func newChoice(now clock.Millis, id spool.EndpointID, views []spool.EndpointView) *Choice {
	choice := &Choice{Candidates: len(views)}
	for _, view := range views {
		if view.ID == id {
			choice.Chosen = newSeen(now, view)
		}
	}
	longestPrefix, leastLoaded := choice.Chosen, choice.Chosen
	for _, view := range views {
		candidate := newSeen(now, view)
		if candidate.CachedTokens > longestPrefix.CachedTokens {
			longestPrefix = candidate
		}
		if candidate.callsPerSlot() < leastLoaded.callsPerSlot() {
			leastLoaded = candidate
		}
	}
	if longestPrefix.Endpoint != id {
		choice.LongestPrefix = &longestPrefix
	}
	if leastLoaded.Endpoint != id {
		choice.LeastLoaded = &leastLoaded
	}
	return choice
}
