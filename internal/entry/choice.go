package entry

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Choice explains to operators why the router chose an endpoint for a call.
type Choice struct {
	// Candidates is the number of endpoints that the router chose from.
	Candidates int `json:"candidates"`
	// Chosen is the endpoint that the router chose.
	Chosen EndpointSnapshot `json:"chosen"`
	// LongestPrefix is the candidate with the longest cached prefix of the
	// prompt, if that is longer than the one of the chosen endpoint.
	// LeastLoaded is the candidate with the fewest calls per slot, if those are
	// fewer than at the chosen endpoint. Either is nil otherwise.
	LongestPrefix *EndpointSnapshot `json:"longestPrefix,omitempty"`
	LeastLoaded   *EndpointSnapshot `json:"leastLoaded,omitempty"`
}

// Seen is the state of an endpoint as the entry knew it when it routed a call.
type EndpointSnapshot struct {
	Endpoint spool.EndpointID `json:"endpoint"`
	// CachedTokens is the estimated length of the prompt prefix in its cache.
	CachedTokens int `json:"cachedTokens"`
	// Calls counts the calls that run, are queued or were sent since the last
	// load report. Window is the number of calls that may run at once; 0 if
	// unknown.
	Calls  int `json:"calls"`
	Window int `json:"window"`
	// ReportAge is the age of the last load report; negative if there is none.
	ReportAge clock.Millis `json:"reportAgeMs"`
}

// newSeen returns the state that a view shows at the time now.
func newSeen(now clock.Millis, view spool.EndpointView) EndpointSnapshot {
	age := clock.Millis(-1)
	if view.ReportedAt > 0 {
		age = now - view.ReportedAt
	}
	return EndpointSnapshot{
		Endpoint: view.ID, CachedTokens: view.CachedTokens, Calls: view.Running + view.Queued + view.SentSinceReport,
		Window: view.Window, ReportAge: age,
	}
}

// callsPerSlot returns the number of calls per concurrency slot.
func (s EndpointSnapshot) callsPerSlot() float64 { return float64(s.Calls) / float64(max(1, s.Window)) }

// newChoice describes the choice of the endpoint id from views.
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
