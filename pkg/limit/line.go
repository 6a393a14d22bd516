package limit

import (
	"slices"

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
	id     string
	since  clock.Millis
	urgent bool
}

// NewLine returns an empty line in front of share. Requests for admission then
// go to the line only; the other inputs of share stay with the caller.
func NewLine(share *Share) *Line { return &Line{share: share} }

// Len counts the held requests.
func (l *Line) Len() int { return len(l.held) }

// Enter admits a request, refuses it or holds it. held is true when a later
// Advance will return its outcome. An urgent request, such as an alarm, goes
// before all others that are held and is held even when the line is full.
func (l *Line) Enter(now clock.Millis, id string, urgent bool) (decision Decision, held bool) {
	s := l.share
	s.advance(now)
	s.demand += 1 / demandMemory
	first := !slices.ContainsFunc(l.held, func(r heldRequest) bool { return r.urgent || !urgent })
	if first && s.take(1) {
		return Decision{Admitted: true, Ask: s.ask()}, false
	}
	if len(l.held) >= l.longest() && !urgent {
		return Decision{Ask: s.ask(), RetryAfter: l.drainTime()}, false
	}
	place := len(l.held)
	if urgent {
		place = l.urgents()
	}
	l.held = slices.Insert(l.held, place, heldRequest{id: id, since: now, urgent: urgent})
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
	l.held = slices.DeleteFunc(l.held, func(r heldRequest) bool {
		late := now-r.since >= s.timing.MaxHold
		if late {
			outcomes = append(outcomes, Outcome{ID: r.id, RetryAfter: l.drainTime()})
		}
		return late
	})
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

// urgents counts the urgent requests, which are at the front.
func (l *Line) urgents() int {
	for i, request := range l.held {
		if !request.urgent {
			return i
		}
	}
	return len(l.held)
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
