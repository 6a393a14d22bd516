package order

import (
	"container/heap"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// defaultAgeing is the attained service, in tokens, that a millisecond of
	// waiting makes up for.
	defaultAgeing = 1.0
	// promptCost is the cost of a prompt token in generated tokens, used for the
	// estimate that is charged when a call is taken; most of a prompt is cached.
	promptCost = 0.125
	// defaultStartPatienceMs is the wait after which the first call of a program
	// counts as one of a program that has begun, so that programs that have begun
	// cannot keep it waiting for good. In the bench at load 2 with faults, 50 s
	// lowered the worst-served account from 0.94 to 0.85 of its due, as more
	// programs at a time pushed each other's prefixes out of the caches.
	defaultStartPatienceMs = 105_000
)

// fair is a queue with four levels. Alarms go first, the oldest first. Then the
// calls of programs that have begun, then the first calls of programs; in both,
// the account with the smallest virtual start tag goes first. A tag advances by
// the cost of each call over the account's weight. Within the account, the call
// with the least attained service, less the ageing for its wait.
type fair struct {
	ageing   float64
	patience clock.Millis
	virtual  float64
	sequence uint64
	alarms   itemHeap[*waitingCall]
	backlogs [levels]itemHeap[*lane]
	// starts lists the first calls of programs in the order of their arrival here;
	// some may have left the queue or have been promoted.
	starts []*waitingCall
	// queuedStarts counts the calls at levelStart.
	queuedStarts int
	// accounts also holds accounts without a backlog whose tag lies ahead of
	// virtual: they have been served in advance.
	accounts map[spool.AccountID]*account
	waiting  map[string]*waitingCall
}

// The levels below the alarms.
const (
	levelBegun = iota
	levelStart
	levels
)

type account struct {
	id    spool.AccountID
	tag   float64
	lanes [levels]lane
}

// lane holds the calls of an account at one level.
type lane struct {
	owner *account
	calls itemHeap[*waitingCall]
	// place is the index in the backlog heap, -1 without a backlog.
	place int
}

type waitingCall struct {
	call     spool.CallView
	level    int
	since    clock.Millis
	key      float64
	sequence uint64
	place    int
}

// newFair reads order.ageing, in tokens per millisecond, and
// order.startPatienceMs, the wait after which the first call of a program counts
// as one of a program that has begun.
func newFair(_ uint64, options spool.Options) spool.Queue {
	return &fair{
		ageing:   options.Get("order.ageing", defaultAgeing),
		patience: clock.Millis(options.Get("order.startPatienceMs", defaultStartPatienceMs)),
		accounts: map[spool.AccountID]*account{},
		waiting:  map[string]*waitingCall{},
	}
}

// Push adds call. The key within an account does not depend on the time of the
// comparison, since all waiting calls age at the same speed.
func (q *fair) Push(now clock.Millis, call spool.CallView) {
	arrived := call.ArrivedAt
	if arrived <= 0 || arrived > now {
		arrived = now
	}
	q.sequence++
	item := &waitingCall{call: call, since: now, key: q.ageing * float64(arrived), sequence: q.sequence}
	q.waiting[call.Correlation] = item
	if call.Alarm {
		heap.Push(&q.alarms, item)
		return
	}
	item.key += float64(call.Attained)
	if call.Start() {
		item.level = levelStart
		q.starts = append(q.starts, item)
	}
	q.enlist(item)
}

func (q *fair) enlist(item *waitingCall) {
	owner := q.account(item.call.Account)
	into := &owner.lanes[item.level]
	if owner.idle() {
		owner.tag = max(owner.tag, q.virtual)
	}
	heap.Push(&into.calls, item)
	if item.level == levelStart {
		q.queuedStarts++
	}
	if into.place < 0 {
		heap.Push(&q.backlogs[item.level], into)
	}
}

// unlist takes a call that is not an alarm out of its lane.
func (q *fair) unlist(item *waitingCall) {
	from := &q.accounts[item.call.Account].lanes[item.level]
	heap.Remove(&from.calls, item.place)
	if item.level == levelStart {
		q.queuedStarts--
	}
	if len(from.calls) == 0 {
		heap.Remove(&q.backlogs[item.level], from.place)
	}
}

// promote lets the first calls that have waited for too long wait with those of
// programs that have begun.
func (q *fair) promote(now clock.Millis) {
	for len(q.starts) > 0 {
		oldest := q.starts[0]
		waits := q.waiting[oldest.call.Correlation] == oldest
		if waits && now-oldest.since < q.patience {
			return
		}
		q.starts[0] = nil
		q.starts = q.starts[1:]
		if waits {
			q.unlist(oldest)
			oldest.level = levelBegun
			q.enlist(oldest)
		}
	}
}

// Pop takes the next call and charges its estimated cost to its account.
func (q *fair) Pop(now clock.Millis) (spool.CallView, bool) {
	q.promote(now)
	if len(q.alarms) > 0 {
		item := heap.Pop(&q.alarms).(*waitingCall)
		delete(q.waiting, item.call.Correlation)
		q.charge(q.account(item.call.Account), estimate(item.call)/weight(item.call))
		return item.call, true
	}
	for _, backlog := range q.backlogs {
		if len(backlog) == 0 {
			continue
		}
		owner := backlog[0].owner
		item := backlog[0].calls[0]
		delete(q.waiting, item.call.Correlation)
		q.virtual = max(q.virtual, owner.tag)
		q.unlist(item)
		q.charge(owner, estimate(item.call)/weight(item.call))
		return item.call, true
	}
	return spool.CallView{}, false
}

// Remove takes out one call.
func (q *fair) Remove(correlation string) bool {
	item, ok := q.waiting[correlation]
	if !ok {
		return false
	}
	delete(q.waiting, correlation)
	if item.call.Alarm {
		heap.Remove(&q.alarms, item.place)
		return true
	}
	q.unlist(item)
	q.forget(q.accounts[item.call.Account])
	return true
}

// Served replaces the estimate by the real cost.
func (q *fair) Served(_ clock.Millis, call spool.CallView, tokens int) {
	q.charge(q.account(call.Account), (float64(tokens)-estimate(call))/weight(call))
}

// Len counts the waiting calls.
func (q *fair) Len() int { return len(q.waiting) }

// Ahead counts the waiting calls of the levels above that of call, and those of
// its own.
func (q *fair) Ahead(call spool.CallView) int {
	switch {
	case call.Alarm:
		return len(q.alarms)
	case call.Start():
		return len(q.waiting)
	default:
		return len(q.waiting) - q.queuedStarts
	}
}

func (q *fair) account(id spool.AccountID) *account {
	owner, ok := q.accounts[id]
	if !ok {
		owner = &account{id: id, tag: q.virtual}
		for level := range owner.lanes {
			owner.lanes[level] = lane{owner: owner, place: -1}
		}
		q.accounts[id] = owner
	}
	return owner
}

// idle tells that the account has no backlog.
func (a *account) idle() bool {
	for level := range a.lanes {
		if a.lanes[level].place >= 0 {
			return false
		}
	}
	return true
}

func (q *fair) charge(owner *account, cost float64) {
	owner.tag += cost
	for level := range owner.lanes {
		if place := owner.lanes[level].place; place >= 0 {
			heap.Fix(&q.backlogs[level], place)
		}
	}
	q.forget(owner)
}

// forget drops an account that waits for nothing and has had no service in
// advance; it would come back with the same tag.
func (q *fair) forget(owner *account) {
	if owner.idle() && owner.tag <= q.virtual {
		delete(q.accounts, owner.id)
	}
}

// estimate is a function of the call alone, so that Served can take back exactly
// what Pop has charged.
func estimate(call spool.CallView) float64 {
	return float64(call.MaxTokens) + promptCost*float64(call.PromptTokens)
}

func weight(call spool.CallView) float64 {
	if call.Weight <= 0 {
		return 1
	}
	return call.Weight
}
