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
)

// fair is a queue with three levels. Alarms go first, the oldest first. Then the
// account with the smallest virtual start tag; a tag advances by the cost of
// each call over the account's weight. Within the account, the call with the
// least attained service, less the ageing for its wait.
type fair struct {
	ageing   float64
	virtual  float64
	sequence uint64
	alarms   itemHeap[*waitingCall]
	backlog  itemHeap[*account]
	// accounts also holds accounts without a backlog whose tag lies ahead of
	// virtual: they have been served in advance.
	accounts map[spool.AccountID]*account
	waiting  map[string]*waitingCall
}

type account struct {
	id    spool.AccountID
	tag   float64
	calls itemHeap[*waitingCall]
	// place is the index in the backlog heap, -1 without a backlog.
	place int
}

type waitingCall struct {
	call     spool.CallView
	key      float64
	sequence uint64
	place    int
}

// newFair reads order.ageing, in tokens per millisecond.
func newFair(_ uint64, options spool.Options) spool.Queue {
	return &fair{
		ageing:   options.Get("order.ageing", defaultAgeing),
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
	item := &waitingCall{call: call, key: q.ageing * float64(arrived), sequence: q.sequence}
	q.waiting[call.Correlation] = item
	if call.Alarm {
		heap.Push(&q.alarms, item)
		return
	}
	item.key += float64(call.Attained)
	owner := q.account(call.Account)
	heap.Push(&owner.calls, item)
	if owner.place < 0 {
		owner.tag = max(owner.tag, q.virtual)
		heap.Push(&q.backlog, owner)
	}
}

// Pop takes the next call and charges its estimated cost to its account.
func (q *fair) Pop(clock.Millis) (spool.CallView, bool) {
	if len(q.alarms) > 0 {
		item := heap.Pop(&q.alarms).(*waitingCall)
		delete(q.waiting, item.call.Correlation)
		q.charge(q.account(item.call.Account), estimate(item.call)/weight(item.call))
		return item.call, true
	}
	if len(q.backlog) == 0 {
		return spool.CallView{}, false
	}
	owner := q.backlog[0]
	item := heap.Pop(&owner.calls).(*waitingCall)
	delete(q.waiting, item.call.Correlation)
	q.virtual = max(q.virtual, owner.tag)
	if len(owner.calls) == 0 {
		heap.Remove(&q.backlog, owner.place)
	}
	q.charge(owner, estimate(item.call)/weight(item.call))
	return item.call, true
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
	owner := q.accounts[item.call.Account]
	heap.Remove(&owner.calls, item.place)
	if len(owner.calls) == 0 {
		heap.Remove(&q.backlog, owner.place)
		q.forget(owner)
	}
	return true
}

// Served replaces the estimate by the real cost.
func (q *fair) Served(_ clock.Millis, call spool.CallView, tokens int) {
	q.charge(q.account(call.Account), (float64(tokens)-estimate(call))/weight(call))
}

// Len counts the waiting calls.
func (q *fair) Len() int { return len(q.waiting) }

func (q *fair) account(id spool.AccountID) *account {
	owner, ok := q.accounts[id]
	if !ok {
		owner = &account{id: id, tag: q.virtual, place: -1}
		q.accounts[id] = owner
	}
	return owner
}

func (q *fair) charge(owner *account, cost float64) {
	owner.tag += cost
	if owner.place >= 0 {
		heap.Fix(&q.backlog, owner.place)
		return
	}
	q.forget(owner)
}

// forget drops an account that waits for nothing and has had no service in
// advance; it would come back with the same tag.
func (q *fair) forget(owner *account) {
	if owner.place < 0 && owner.tag <= q.virtual {
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
