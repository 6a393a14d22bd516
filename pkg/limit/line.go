package limit

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
)

// Outcome is the end of a request that a Line has held.
type Outcome struct {
	// ID is that given to Enter.
	ID string
	// Admitted is false when the request is refused.
	Admitted bool
	// RetryAfter goes with a refusal.
	RetryAfter clock.Millis
}

// Line admits the requests of one account in their order and holds those that
// find no token for at most Timing.MaxHold. A request within the account's rate
// then waits for a lease or a refill and is not refused.
type Line struct {
	share *Share
	held  []heldRequest
}

type heldRequest struct {
	id    string
	since clock.Millis
}

// NewLine returns an empty line in front of share. Requests for admission then
// go to the line only; the other inputs of share stay with the caller.
func NewLine(share *Share) *Line { return &Line{share: share} }

// Len counts the held requests.
func (l *Line) Len() int { return len(l.held) }

// Enter admits a request, refuses it or holds it. held is true when a later
// Advance will return its outcome.
func (l *Line) Enter(now clock.Millis, id string) (decision Decision, held bool) {
	s := l.share
	s.advance(now)
	s.demand += 1 / demandMemory
	if len(l.held) == 0 && s.take(1) {
		return Decision{Admitted: true, Ask: s.ask()}, false
	}
	if len(l.held) >= l.longest() {
		return Decision{Ask: s.ask(), RetryAfter: l.drainTime()}, false
	}
	l.held = append(l.held, heldRequest{id: id, since: now})
	s.short = float64(len(l.held))
	return Decision{Ask: s.ask()}, true
}

// Advance lets time pass, returns the outcomes of held requests in order and a
// request to send, or nil. It is to be called after Share.Granted as well, and
// in place of Share.Tick.
func (l *Line) Advance(now clock.Millis) (outcomes []Outcome, ask *Request) {
	s := l.share
	s.advance(now)
	for len(l.held) > 0 && s.take(1) {
		outcomes = append(outcomes, Outcome{ID: l.held[0].id, Admitted: true})
		l.held = l.held[1:]
	}
	for len(l.held) > 0 && now-l.held[0].since >= s.timing.MaxHold {
		outcomes = append(outcomes, Outcome{ID: l.held[0].id, RetryAfter: l.drainTime()})
		l.held = l.held[1:]
	}
	s.short = float64(len(l.held))
	return outcomes, s.ask()
}

// Remove takes out a request that was cancelled and reports whether it was held.
func (l *Line) Remove(id string) bool {
	for i, request := range l.held {
		if request.id == id {
			l.held = append(l.held[:i:i], l.held[i+1:]...)
			return true
		}
	}
	return false
}

// longest is what the account's rate admits within the hold. More requests than
// that would be refused at the end of the hold.
func (l *Line) longest() int {
	return 1 + int(l.share.config.Rate*float64(l.share.timing.MaxHold)/float64(clock.Second))
}

func (l *Line) drainTime() clock.Millis {
	if l.share.config.Rate <= 0 {
		return clock.Minute
	}
	return max(minRetry, clock.Millis(float64(len(l.held)+1)/l.share.config.Rate*float64(clock.Second)))
}
