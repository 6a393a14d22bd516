package limit

import (
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// Class orders the requests that a Line holds.
type Class int

// The classes, the least urgent first.
const (
	// ClassStart is the first call of a program. While tokens are short it is
	// better to start fewer programs than to slow all of them down.
	ClassStart Class = iota
	// ClassCall is any other call.
	ClassCall
	// ClassAlarm goes before all others and is held even when the line is full.
	ClassAlarm
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

// Line admits the requests of one account by class and in their order, and holds
// those that find no token for a time between Timing.MinHold and MaxHold. A request within the
// account's rate then waits for a lease or a refill and is not refused.
type Line struct {
	share *Share
	// held is ordered by class, then by arrival.
	held []heldRequest
	// busySince is when held was last seen empty.
	busySince clock.Millis
}

type heldRequest struct {
	id    string
	since clock.Millis
	class Class
}

// holdTokens is the number of tokens for which a request may wait. With 4 the
// bench refused twice as many requests within the rate while an entry was gone.
const holdTokens = 8.0

// NewLine returns an empty line in front of share. Requests for admission then
// go to the line only; the other inputs of share stay with the caller.
func NewLine(share *Share) *Line { return &Line{share: share} }

// Len counts the held requests.
func (l *Line) Len() int { return len(l.held) }

// Enter is EnterAs for a request of ClassCall.
func (l *Line) Enter(now clock.Millis, id string) (decision Decision, held bool) {
	return l.EnterAs(now, id, ClassCall)
}

// EnterAs admits a request, refuses it or holds it. held is true when a later
// Advance will return its outcome.
func (l *Line) EnterAs(now clock.Millis, id string, class Class) (decision Decision, held bool) {
	s := l.share
	s.advance(now)
	s.demand += 1 / demandMemory
	l.note(now)
	place := l.place(class)
	if place == 0 && s.take(1) {
		return Decision{Admitted: true, Ask: s.ask()}, false
	}
	if class < ClassAlarm && place >= l.longest() || class == ClassStart && l.overRate(now) {
		return Decision{Ask: s.ask(), RetryAfter: l.drainTime()}, false
	}
	l.held = slices.Insert(l.held, place, heldRequest{id: id, since: now, class: class})
	l.count()
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
		late := now-r.since >= l.holdFor()
		if late {
			outcomes = append(outcomes, Outcome{ID: r.id, RetryAfter: l.drainTime()})
		}
		return late
	})
	l.note(now)
	l.count()
	return outcomes, s.ask()
}

// count tells the share what is missing: tokens for the alarms alone, while any
// is held.
func (l *Line) count() {
	alarms := l.place(ClassAlarm)
	l.share.urgent = alarms > 0
	l.share.short = float64(alarms)
	if alarms == 0 {
		l.share.short = float64(len(l.held))
	}
}

func (l *Line) note(now clock.Millis) {
	if len(l.held) == 0 {
		l.busySince = now
	}
}

// overRate tells that requests have been held for longer than any burst takes.
// The account then sends more than its rate, and a program that begins slows
// down those that have begun.
func (l *Line) overRate(now clock.Millis) bool { return now-l.busySince > l.holdFor() }

// Remove takes out a request that was cancelled and reports whether it was held.
func (l *Line) Remove(id string) bool {
	before := len(l.held)
	l.held = slices.DeleteFunc(l.held, func(r heldRequest) bool { return r.id == id })
	return len(l.held) < before
}

// place is the number of held requests that go before a new one of class.
func (l *Line) place(class Class) int {
	for i, request := range l.held {
		if request.class < class {
			return i
		}
	}
	return len(l.held)
}

// holdFor is long enough for a few tokens to come in, within bounds: an account
// with a low rate waits seconds for one token.
func (l *Line) holdFor() clock.Millis {
	timing := l.share.timing
	if l.share.config.Rate <= 0 {
		return timing.MinHold
	}
	fewTokens := clock.Millis(holdTokens / l.share.config.Rate * float64(clock.Second))
	return min(timing.MaxHold, max(timing.MinHold, fewTokens))
}

// longest is what the account's rate admits within the hold. More requests than
// that would be refused at the end of the hold.
func (l *Line) longest() int {
	return 1 + int(l.share.config.Rate*float64(l.holdFor())/float64(clock.Second))
}

func (l *Line) drainTime() clock.Millis {
	if l.share.config.Rate <= 0 {
		return clock.Minute
	}
	return max(minRetry, clock.Millis(float64(len(l.held)+1)/l.share.config.Rate*float64(clock.Second)))
}
