package entry

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Choice explains to operators why the router chose an endpoint for a call.
type Choice struct {
	// Candidates is the number of endpoints that the router chose from.
	Candidates int `json:"candidates"`
	// Chosen is the state, when the call was routed, of the endpoint that the
	// router chose.
	Chosen EndpointSnapshot `json:"chosen"`
	// LongestPrefix is the candidate with the longest cached prefix of the
	// prompt; nil if no candidate has a longer one than the chosen endpoint.
	// LeastLoaded is the candidate with the fewest calls per concurrency slot; nil
	// if no candidate has fewer than the chosen endpoint.
	LongestPrefix *EndpointSnapshot `json:"longestPrefix,omitempty"`
	LeastLoaded   *EndpointSnapshot `json:"leastLoaded,omitempty"`
}

// EndpointSnapshot is the state of an endpoint as the entry knew it when it
// routed a call.
type EndpointSnapshot struct {
	Endpoint spool.EndpointID `json:"endpoint"`
	// CachedTokens is the estimated length, in tokens, of the part of the
	// program's history that is in the endpoint's prefix cache.
	CachedTokens int `json:"cachedTokens"`
	// Calls is the number of calls that were running or queued in the last load
	// report, plus those that this entry has sent since. Window is the number of
	// calls that the endpoint runs at once, its concurrency slots; 0 if unknown.
	Calls  int `json:"calls"`
	Window int `json:"window"`
	// ReportAge is the age of the last load report in milliseconds; -1 if there is
	// none.
	ReportAge clock.Millis `json:"reportAgeMs"`
}

// newEndpointSnapshot converts the router policy's view of an endpoint to a
// snapshot. now is the time of the routing, from which the age of the load report
// is computed.
func newEndpointSnapshot(now clock.Millis, view spool.EndpointView) EndpointSnapshot {
	age := clock.Millis(-1)
	if view.ReportedAt > 0 {
		age = now - view.ReportedAt
	}
	return EndpointSnapshot{
		Endpoint: view.ID, CachedTokens: view.CachedTokens, Calls: view.Running + view.Queued + view.SentSinceReport,
		Window: view.Window, ReportAge: age,
	}
}

// callsPerSlot returns the number of calls per concurrency slot. An unknown Window
// is taken as one slot.
func (s EndpointSnapshot) callsPerSlot() float64 { return float64(s.Calls) / float64(max(1, s.Window)) }

// newChoice describes, for operators, that the router chose the endpoint id from
// views.
func newChoice(now clock.Millis, id spool.EndpointID, views []spool.EndpointView) *Choice {
	choice := &Choice{Candidates: len(views)}
	for _, view := range views {
		if view.ID == id {
			choice.Chosen = newEndpointSnapshot(now, view)
		}
	}
	longestPrefix, leastLoaded := choice.Chosen, choice.Chosen
	for _, view := range views {
		candidate := newEndpointSnapshot(now, view)
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
