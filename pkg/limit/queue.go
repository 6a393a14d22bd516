package limit

import (
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// Class is the priority class of a request in a Queue.
type Class int

// The classes, least urgent first.
const (
	// ClassStart is the first call of a program. It is refused at once while the
	// account exceeds its rate, because starting fewer programs is better than
	// slowing all of them down.
	ClassStart Class = iota
	// ClassCall is any other call.
	ClassCall
	// ClassAlarm precedes all other classes. It is queued even if the queue has
	// reached its longest length.
	ClassAlarm
)

// Outcome is the result of a queued request.
type Outcome struct {
	// ID is the identifier that the caller passed to Submit or SubmitAs.
	ID string
	// Admitted reports whether the request was admitted. If it is false, the
	// request is refused, because it waited for maxWait or because its entry left a
	// Fleet.
	Admitted bool
	// RetryAfter is the suggested delay before a retry; 0 if the request was
	// admitted.
	RetryAfter clock.Millis
}

// Queue is the admission queue of one account at one entry. It admits requests by
// class, and in the order of arrival within a class. A request that finds no token
// is queued, unless the queue is full or the request starts a program while the
// account exceeds its rate. It is refused if it gets no token within maxWait, unless the
// owner has granted one with a delay or is about to grant. A request within the account's
// rate thus waits for a lease or a refill and is not refused at once.
type Queue struct {
	share *Share
	// queued is ordered by class, most urgent first, and within a class by arrival.
	queued []queuedRequest
	// lastEmptyAt is the last time at which Advance or SubmitAs found the queue
	// empty.
	lastEmptyAt clock.Millis
}

type queuedRequest struct {
	id       string
	queuedAt clock.Millis
	class    Class
}

// maxWaitTokens bounds the wait of a request: it may be queued for as long as the
// account's rate takes to refill this many tokens. With 4, internal/bench refused
// twice as many requests within the rate while an entry was missing.
const maxWaitTokens = 8.0

// NewQueue returns an empty queue that takes its tokens from share. After this
// call, request admissions from the queue instead of Share.Admit, and call
// Queue.Advance instead of Share.Tick; the caller still calls the other methods of
// share.
func NewQueue(share *Share) *Queue { return &Queue{share: share} }

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.queued) }

// Submit calls SubmitAs with ClassCall.
func (q *Queue) Submit(now clock.Millis, id string) (decision Decision, queued bool) {
	return q.SubmitAs(now, id, ClassCall)
}

// SubmitAs admits, queues or refuses a request at once. The request is admitted if
// decision.Admitted is true, and queued if queued is true; a later call of Advance
// then returns its outcome under id. Otherwise it is refused.
func (q *Queue) SubmitAs(now clock.Millis, id string, class Class) (decision Decision, queued bool) {
	s := q.share
	s.advance(now)
	s.demand += 1 / demandWindow
	q.recordIfEmpty(now)
	index := q.insertIndex(class)
	if index == 0 && s.takeTokens(1) {
		return Decision{Admitted: true, Request: s.nextRequest()}, false
	}
	if class < ClassAlarm && index >= q.maxLength() || class == ClassStart && q.exceedsRate(now) {
		return Decision{Request: s.nextRequest(), RetryAfter: q.drainTime()}, false
	}
	q.queued = slices.Insert(q.queued, index, queuedRequest{id: id, queuedAt: now, class: class})
	q.updateShortfall()
	return Decision{Request: s.nextRequest()}, true
}

// Advance admits queued requests while tokens are available and refuses those that
// have waited for maxWait. It returns their outcomes, and a request to send to the
// owner of the pool, or nil. Call it in place of Share.Tick, and after
// Share.HandleGrant.
func (q *Queue) Advance(now clock.Millis) (outcomes []Outcome, request *Request) {
	s := q.share
	s.advance(now)
	for len(q.queued) > 0 && s.takeTokens(1) {
		outcomes = append(outcomes, Outcome{ID: q.queued[0].id, Admitted: true})
		q.queued = q.queued[1:]
	}
	// The first requests wait for the tokens that were granted with a delay.
	covered, position := int(wholeTokens(s.delayedTokens())), 0
	q.queued = slices.DeleteFunc(q.queued, func(r queuedRequest) bool {
		position++
		expired := q.isExpired(now-r.queuedAt) && position > covered
		if expired {
			outcomes = append(outcomes, Outcome{ID: r.id, RetryAfter: q.drainTime()})
		}
		return expired
	})
	q.recordIfEmpty(now)
	q.updateShortfall()
	return outcomes, s.nextRequest()
}

// isExpired reports whether a request that has waited for this long is refused, unless a
// token is on its way. While an owner is about to grant, it waits for longer.
func (q *Queue) isExpired(waited clock.Millis) bool {
	if q.share.awaitsOwner() {
		return waited >= max(q.maxWait(), q.share.timing.OwnerWait)
	}
	return waited >= q.maxWait()
}

// updateShortfall sets the number of tokens that the share requests from the pool.
// While alarms are queued, it is the number of alarms; otherwise it is the number
// of queued requests.
func (q *Queue) updateShortfall() {
	q.share.maxDelay = 0
	if calls := q.insertIndex(ClassCall); calls > 0 {
		q.share.maxDelay = q.share.timing.MaxTokenDelay
	}
	alarms := q.insertIndex(ClassAlarm)
	q.share.urgentOnly = alarms > 0
	q.share.shortfall = float64(alarms)
	if alarms == 0 {
		q.share.shortfall = float64(len(q.queued))
	}
}

func (q *Queue) recordIfEmpty(now clock.Millis) {
	if len(q.queued) == 0 {
		q.lastEmptyAt = now
	}
}

// exceedsRate reports whether the queue has been non-empty for longer than maxWait.
// The queue of a burst drains in less time, so the account then sends above its
// rate, and starting another program would slow down the running ones. While an owner is
// about to grant, the queue says nothing about the rate.
func (q *Queue) exceedsRate(now clock.Millis) bool {
	return now-q.lastEmptyAt > q.maxWait() && !q.share.awaitsOwner()
}

// Remove removes a request, because its caller cancelled it, and reports whether it
// was still queued.
func (q *Queue) Remove(id string) bool {
	before := len(q.queued)
	q.queued = slices.DeleteFunc(q.queued, func(r queuedRequest) bool { return r.id == id })
	return len(q.queued) < before
}

// insertIndex returns the index in queued at which a new request of class belongs:
// after all requests of this class and of more urgent ones.
func (q *Queue) insertIndex(class Class) int {
	for i, request := range q.queued {
		if request.class < class {
			return i
		}
	}
	return len(q.queued)
}

// maxWait returns how long a request may be queued: the time in which maxWaitTokens
// tokens arrive at the rate, but at least Timing.MinQueueWait and at most
// Timing.MaxQueueWait. The time depends on the rate, because an account with a low
// rate waits for seconds for one token.
func (q *Queue) maxWait() clock.Millis {
	timing := q.share.timing
	if q.share.config.Rate <= 0 {
		return timing.MinQueueWait
	}
	tokenWait := clock.Millis(maxWaitTokens / q.share.config.Rate * float64(clock.Second))
	return min(timing.MaxQueueWait, max(timing.MinQueueWait, tokenWait))
}

// maxLength returns the number of requests ahead of a new one at which SubmitAs
// refuses it, unless it is an alarm: one more than the tokens that can arrive within
// maxWait. The request would be refused after its wait anyway. These are the refill, and
// the burst unless the owner has lately answered that the pool has no more tokens. So
// calls that a program makes at the same time wait together for one answer of the owner.
func (q *Queue) maxLength() int {
	tokens := q.share.config.Rate * float64(q.maxWait()) / float64(clock.Second)
	if !q.share.isPoolShort() {
		tokens = max(tokens, q.share.config.Burst)
	}
	return 1 + int(tokens)
}

// drainTime returns the time in which the rate admits all queued requests and one
// more.
func (q *Queue) drainTime() clock.Millis {
	if q.share.config.Rate <= 0 {
		return clock.Minute
	}
	return max(minRetryDelay, clock.Millis(float64(len(q.queued)+1)/q.share.config.Rate*float64(clock.Second)))
}
