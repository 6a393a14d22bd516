package order

import (
	"container/heap"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// defaultAgeing is the attained service, in tokens, that one millisecond of
	// waiting offsets.
	defaultAgeing = 1.0
	// promptTokenCost is the estimated cost of a prompt token in generated tokens.
	// Pop charges the estimate. The cost is low because most of a prompt is cached.
	promptTokenCost = 0.125
	// defaultStartPatienceMs is the wait, in milliseconds, after which the first
	// call of a program is queued like a later call, so that the programs in
	// progress cannot starve it. In the benchmark with faults and a load of twice
	// the capacity, a value of 50 s lowered the worst-served account from 0.94 to
	// 0.85 of its due share, because more concurrent programs evicted each other's
	// prefixes from the caches.
	defaultStartPatienceMs = 105_000
)

// fairQueue is a queue with three levels: alarms are served first, in order of
// arrival, then the later calls of programs, then the first calls of programs. Between the
// accounts of a level it uses start-time fair queueing: the account with the
// smallest start tag is served first, and a tag advances by the cost of each call
// divided by its weight. Within an account, the call with the least attained
// service is served first. Each millisecond of waiting offsets some attained
// service (option order.ageing).
type fairQueue struct {
	// ageing is the attained service, in tokens, that a millisecond of waiting
	// offsets.
	ageing float64
	// promoteAfter is the wait after which a first call is queued like a later
	// call.
	promoteAfter clock.Millis
	// virtualTime is the highest start tag that an account had when Pop took one of
	// its calls, alarms aside.
	virtualTime float64
	// lastSequence is the sequence number of the last call pushed.
	lastSequence uint64
	alarms       itemHeap[*waitingCall]
	// backlogged holds, for each level, the queues of the accounts with waiting
	// calls.
	backlogged [levelCount]itemHeap[*accountQueue]
	// firstCalls lists the first calls of programs in the order in which they were
	// pushed. Calls that leave the queue stay in the list until promote skips them.
	firstCalls []*waitingCall
	// firstCallLevelCount counts the waiting calls at levelFirstCall. It does not
	// include first calls that were promoted.
	firstCallLevelCount int
	// accounts holds the accounts with waiting calls at any level. It also holds
	// accounts without such calls whose start tag is ahead of virtualTime, because
	// they were charged for more than their share.
	accounts map[spool.AccountID]*accountState
	waiting  map[string]*waitingCall
}

// The levels of the calls that are not alarms, in the order in which they are
// served.
const (
	levelInProgress = iota
	levelFirstCall
	levelCount
)

// accountState is the scheduling state of one client account.
type accountState struct {
	id spool.AccountID
	// startTag is the service charged so far, in tokens divided by the weight,
	// raised to fairQueue.virtualTime after idle time.
	startTag float64
	queues   [levelCount]accountQueue
}

// accountQueue is the queue of the waiting calls of one account at one level.
type accountQueue struct {
	account *accountState
	calls   itemHeap[*waitingCall]
	// index is the position in the heap fairQueue.backlogged[level]; -1 while no
	// call is waiting in this queue.
	index int
}

// waitingCall is a call in the queue.
type waitingCall struct {
	call  spool.CallView
	level int
	// queuedAt is when the call was pushed.
	queuedAt clock.Millis
	// sortKey orders the calls of one account queue, or the alarms; the lowest is
	// served first. sequence, the number of the push, breaks ties.
	sortKey  float64
	sequence uint64
	// index is the position in the heap of calls.
	index int
}

// newFairQueue returns a fair queue. It reads the options order.ageing, the tokens of
// attained service that a millisecond of waiting offsets, and
// order.startPatienceMs, the wait after which the first call of a program is queued
// like a later call.
func newFairQueue(_ uint64, options spool.Options) spool.Queue {
	return &fairQueue{
		ageing:       options.Get("order.ageing", defaultAgeing),
		promoteAfter: clock.Millis(options.Get("order.startPatienceMs", defaultStartPatienceMs)),
		accounts:     map[spool.AccountID]*accountState{},
		waiting:      map[string]*waitingCall{},
	}
}

// Push adds a call. Its sort key stays the same while it waits, because all waiting
// calls age at the same rate.
func (q *fairQueue) Push(now clock.Millis, call spool.CallView) {
	arrived := call.ArrivedAt
	if arrived <= 0 || arrived > now {
		arrived = now
	}
	q.lastSequence++
	item := &waitingCall{call: call, queuedAt: now, sortKey: q.ageing * float64(arrived), sequence: q.lastSequence}
	q.waiting[call.Correlation] = item
	if call.Alarm {
		heap.Push(&q.alarms, item)
		return
	}
	item.sortKey += float64(call.Attained)
	if call.IsFirst() {
		item.level = levelFirstCall
		q.firstCalls = append(q.firstCalls, item)
	}
	q.enqueue(item)
}

// enqueue adds a call that is not an alarm to the queue of its account. If no other
// call of the account is waiting, it raises the start tag of the account to the
// virtual time, so that idle time earns no credit.
func (q *fairQueue) enqueue(item *waitingCall) {
	account := q.getOrCreateAccount(item.call.Account)
	queue := &account.queues[item.level]
	if account.hasNoBacklog() {
		account.startTag = max(account.startTag, q.virtualTime)
	}
	heap.Push(&queue.calls, item)
	if item.level == levelFirstCall {
		q.firstCallLevelCount++
	}
	if queue.index < 0 {
		heap.Push(&q.backlogged[item.level], queue)
	}
}

// dequeue removes a call that is not an alarm from the queue of its account.
func (q *fairQueue) dequeue(item *waitingCall) {
	queue := &q.accounts[item.call.Account].queues[item.level]
	heap.Remove(&queue.calls, item.index)
	if item.level == levelFirstCall {
		q.firstCallLevelCount--
	}
	if len(queue.calls) == 0 {
		heap.Remove(&q.backlogged[item.level], queue.index)
	}
}

// promote moves the waiting first calls that were pushed at least promoteAfter ago
// to levelInProgress.
func (q *fairQueue) promote(now clock.Millis) {
	for len(q.firstCalls) > 0 {
		oldest := q.firstCalls[0]
		isWaiting := q.waiting[oldest.call.Correlation] == oldest
		if isWaiting && now-oldest.queuedAt < q.promoteAfter {
			return
		}
		q.firstCalls[0] = nil
		q.firstCalls = q.firstCalls[1:]
		if isWaiting {
			q.dequeue(oldest)
			oldest.level = levelInProgress
			q.enqueue(oldest)
		}
	}
}

// Pop removes and returns the next call and charges its estimated cost to its
// account. It returns false if no call is waiting.
func (q *fairQueue) Pop(now clock.Millis) (spool.CallView, bool) {
	q.promote(now)
	if len(q.alarms) > 0 {
		item := heap.Pop(&q.alarms).(*waitingCall)
		delete(q.waiting, item.call.Correlation)
		q.charge(q.getOrCreateAccount(item.call.Account), estimatedCost(item.call)/weight(item.call))
		return item.call, true
	}
	for _, backlog := range q.backlogged {
		if len(backlog) == 0 {
			continue
		}
		owner := backlog[0].account
		item := backlog[0].calls[0]
		delete(q.waiting, item.call.Correlation)
		q.virtualTime = max(q.virtualTime, owner.startTag)
		q.dequeue(item)
		q.charge(owner, estimatedCost(item.call)/weight(item.call))
		return item.call, true
	}
	return spool.CallView{}, false
}

// Remove removes a call and reports whether it was waiting.
func (q *fairQueue) Remove(correlation string) bool {
	item, ok := q.waiting[correlation]
	if !ok {
		return false
	}
	delete(q.waiting, correlation)
	if item.call.Alarm {
		heap.Remove(&q.alarms, item.index)
		return true
	}
	q.dequeue(item)
	q.dropIfIdle(q.accounts[item.call.Account])
	return true
}

// Served corrects the charge of a call from the estimated cost to the actual one.
func (q *fairQueue) Served(_ clock.Millis, call spool.CallView, tokens int) {
	q.charge(q.getOrCreateAccount(call.Account), (float64(tokens)-estimatedCost(call))/weight(call))
}

// Len returns the number of waiting calls.
func (q *fairQueue) Len() int { return len(q.waiting) }

// Ahead returns the number of waiting calls at the level of call and at the levels
// served before it. For a call that is not an alarm, it includes the alarms.
func (q *fairQueue) Ahead(call spool.CallView) int {
	switch {
	case call.Alarm:
		return len(q.alarms)
	case call.IsFirst():
		return len(q.waiting)
	default:
		return len(q.waiting) - q.firstCallLevelCount
	}
}

func (q *fairQueue) getOrCreateAccount(id spool.AccountID) *accountState {
	account, ok := q.accounts[id]
	if !ok {
		account = &accountState{id: id, startTag: q.virtualTime}
		for level := range account.queues {
			account.queues[level] = accountQueue{account: account, index: -1}
		}
		q.accounts[id] = account
	}
	return account
}

// hasNoBacklog reports whether the account has no waiting calls, alarms aside.
func (a *accountState) hasNoBacklog() bool {
	for level := range a.queues {
		if a.queues[level].index >= 0 {
			return false
		}
	}
	return true
}

// charge advances the start tag of an account by cost, which may be negative, and
// restores the heap order. It then drops the account if it is idle.
func (q *fairQueue) charge(account *accountState, cost float64) {
	account.startTag += cost
	for level := range account.queues {
		if index := account.queues[level].index; index >= 0 {
			heap.Fix(&q.backlogged[level], index)
		}
	}
	q.dropIfIdle(account)
}

// dropIfIdle drops the state of an account that has no waiting calls and whose
// start tag is not ahead of the virtual time. The next call of the account would
// raise the tag to the virtual time in any case.
func (q *fairQueue) dropIfIdle(account *accountState) {
	if account.hasNoBacklog() && account.startTag <= q.virtualTime {
		delete(q.accounts, account.id)
	}
}

// estimatedCost returns the cost of a call in generated tokens, before division by
// its weight: its MaxTokens plus promptTokenCost for each prompt token. It depends
// only on the call, so that Served can replace exactly what Pop charged by the real
// cost.
func estimatedCost(call spool.CallView) float64 {
	return float64(call.MaxTokens) + promptTokenCost*float64(call.PromptTokens)
}

func weight(call spool.CallView) float64 {
	if call.Weight <= 0 {
		return 1
	}
	return call.Weight
}
