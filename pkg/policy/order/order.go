// Package order implements the queue orders. fcfs is the baseline: first come,
// first served. fair serves alarms first, then accounts by weighted fair queueing,
// and within an account the program with the least attained service, the tokens it
// has consumed so far.
//
// Alternatives considered: Deficit round robin is O(1) but serves an account in
// bursts of its quantum, which is a whole call here. Start-time fair queueing needs
// one tag per account and a heap, and an account falls behind its share by at most
// one call. Shortest remaining time needs the total work of a program, which is
// unknown, whereas its attained service is known.
package order

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Registered names of the queue orders.
const (
	FCFS = "fcfs"
	Fair = "fair"
)

func init() {
	spool.Queues.Register(FCFS, func(uint64, spool.Options) spool.Queue { return newFCFS() })
	spool.Queues.Register(Fair, newFairQueue)
}

// fcfs serves calls in the order in which they were pushed.
type fcfs struct {
	// calls holds the calls in the order in which they were pushed, including calls
	// that were removed since. waiting holds the correlation IDs of the calls that
	// are still waiting.
	calls   []spool.CallView
	waiting map[string]struct{}
}

func newFCFS() *fcfs { return &fcfs{waiting: map[string]struct{}{}} }

// Push appends a call.
func (q *fcfs) Push(_ clock.Millis, call spool.CallView) {
	q.calls = append(q.calls, call)
	q.waiting[call.Correlation] = struct{}{}
}

// Pop removes and returns the oldest waiting call.
func (q *fcfs) Pop(clock.Millis) (spool.CallView, bool) {
	for len(q.calls) > 0 {
		call := q.calls[0]
		q.calls[0] = spool.CallView{}
		q.calls = q.calls[1:]
		if q.Remove(call.Correlation) {
			return call, true
		}
	}
	return spool.CallView{}, false
}

// Remove removes a call and reports whether it was waiting. The call stays in
// q.calls until Pop reaches it and skips it.
func (q *fcfs) Remove(correlation string) bool {
	_, ok := q.waiting[correlation]
	delete(q.waiting, correlation)
	return ok
}

// Served does nothing, because the order does not depend on the cost of calls.
func (q *fcfs) Served(clock.Millis, spool.CallView, int) {}

// Ahead returns the number of waiting calls, all of which are served earlier.
func (q *fcfs) Ahead(spool.CallView) int { return len(q.waiting) }

// Len returns the number of waiting calls.
func (q *fcfs) Len() int { return len(q.waiting) }
