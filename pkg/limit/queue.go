package limit

import (
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// Class is the priority class of a request in a Queue.
type Class int

// The classes, least urgent first.
const (
	// ClassStart is the first call of a program. While tokens are short, starting
	// fewer programs is better than slowing all of them down.
	ClassStart Class = iota
	// ClassCall is any other call.
	ClassCall
	// ClassAlarm precedes all other classes and is queued even if the queue is
	// full.
	ClassAlarm
)

// Outcome is the result of a queued request.
type Outcome struct {
	// ID is the identifier that was passed to Submit or SubmitAs.
	ID string
	// Admitted is false if the request is refused.
	Admitted bool
	// RetryAfter is the suggested delay before a retry; set if the request is
	// refused.
	RetryAfter clock.Millis
}

// Queue is the admission queue of one account. It admits requests by class, and in
// the order of arrival within a class. A request that finds no token is queued, and
// refused after a wait between Timing.MinQueueWait and Timing.MaxQueueWait. A
// request within the account's rate therefore waits for a lease or a refill instead
// of being refused at once.
type Queue struct {
	share *Share
	// queued is ordered by class, most urgent first, then by arrival.
	queued []queuedRequest
	// lastEmptyAt is the last time at which the queue was seen empty.
	lastEmptyAt clock.Millis
}

type queuedRequest struct {
	id       string
	queuedAt clock.Millis
	class    Class
}

// maxWaitTokens is the number of token intervals for which a request may be queued.
// With 4, internal/bench refused twice as many requests within the rate while an
// entry was missing.
const maxWaitTokens = 8.0

// NewQueue returns an empty queue in front of share. From then on, requests must be
// admitted through the queue only; the caller still passes all other inputs to
// share.
func NewQueue(share *Share) *Queue { return &Queue{share: share} }

// Len returns the number of queued requests.
func (l *Queue) Len() int { return len(l.queued) }

// Submit calls SubmitAs with ClassCall.
func (l *Queue) Submit(now clock.Millis, id string) (decision Decision, queued bool) {
	return l.SubmitAs(now, id, ClassCall)
}

// SubmitAs admits, refuses or queues a request. If queued is true, a later call of
// Advance returns the outcome.
func (l *Queue) SubmitAs(now clock.Millis, id string, class Class) (decision Decision, queued bool) {
	s := l.share
	s.advance(now)
	s.demand += 1 / demandWindow
	l.recordIfEmpty(now)
	index := l.insertIndex(class)
	if index == 0 && s.takeTokens(1) {
		return Decision{Admitted: true, Request: s.nextRequest()}, false
	}
	if class < ClassAlarm && index >= l.maxLength() || class == ClassStart && l.exceedsRate(now) {
		return Decision{Request: s.nextRequest(), RetryAfter: l.drainTime()}, false
	}
	l.queued = slices.Insert(l.queued, index, queuedRequest{id: id, queuedAt: now, class: class})
	l.updateShortfall()
	return Decision{Request: s.nextRequest()}, true
}

// Advance applies the passage of time. It returns the outcomes of queued requests
// in order, and a request to send to the owner of the pool, or nil. Call it in
// place of Share.Tick, and also after Share.HandleGrant.
func (l *Queue) Advance(now clock.Millis) (outcomes []Outcome, request *Request) {
	s := l.share
	s.advance(now)
	for len(l.queued) > 0 && s.takeTokens(1) {
		outcomes = append(outcomes, Outcome{ID: l.queued[0].id, Admitted: true})
		l.queued = l.queued[1:]
	}
	l.queued = slices.DeleteFunc(l.queued, func(r queuedRequest) bool {
		expired := now-r.queuedAt >= l.maxWait()
		if expired {
			outcomes = append(outcomes, Outcome{ID: r.id, RetryAfter: l.drainTime()})
		}
		return expired
	})
	l.recordIfEmpty(now)
	l.updateShortfall()
	return outcomes, s.nextRequest()
}

// updateShortfall passes the number of missing tokens to the share. While alarms
// are queued, only they count.
func (l *Queue) updateShortfall() {
	alarms := l.insertIndex(ClassAlarm)
	l.share.urgentOnly = alarms > 0
	l.share.shortfall = float64(alarms)
	if alarms == 0 {
		l.share.shortfall = float64(len(l.queued))
	}
}

func (l *Queue) recordIfEmpty(now clock.Millis) {
	if len(l.queued) == 0 {
		l.lastEmptyAt = now
	}
}

// exceedsRate reports whether the queue has been non-empty for longer than maxWait,
// which is longer than any burst takes to drain. The account then sends above its
// rate, and starting another program would slow down the running ones.
func (l *Queue) exceedsRate(now clock.Millis) bool { return now-l.lastEmptyAt > l.maxWait() }

// Remove drops a cancelled request and reports whether it was queued.
func (l *Queue) Remove(id string) bool {
	before := len(l.queued)
	l.queued = slices.DeleteFunc(l.queued, func(r queuedRequest) bool { return r.id == id })
	return len(l.queued) < before
}

// insertIndex returns the position in the queue at which a new request of class is
// inserted.
func (l *Queue) insertIndex(class Class) int {
	for i, request := range l.queued {
		if request.class < class {
			return i
		}
	}
	return len(l.queued)
}

// maxWait returns how long a request may be queued: the time in which maxWaitTokens
// tokens arrive, within the bounds of Timing. An account with a low rate waits
// seconds for one token.
func (l *Queue) maxWait() clock.Millis {
	timing := l.share.timing
	if l.share.config.Rate <= 0 {
		return timing.MinQueueWait
	}
	tokenWait := clock.Millis(maxWaitTokens / l.share.config.Rate * float64(clock.Second))
	return min(timing.MaxQueueWait, max(timing.MinQueueWait, tokenWait))
}

// maxLength returns the number of requests that the account's rate admits within
// the longest wait. Requests beyond that would be refused at the end of their wait
// anyway.
func (l *Queue) maxLength() int {
	return 1 + int(l.share.config.Rate*float64(l.maxWait())/float64(clock.Second))
}

func (l *Queue) drainTime() clock.Millis {
	if l.share.config.Rate <= 0 {
		return clock.Minute
	}
	return max(minRetryDelay, clock.Millis(float64(len(l.queued)+1)/l.share.config.Rate*float64(clock.Second)))
}
