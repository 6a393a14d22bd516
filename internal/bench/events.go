package bench

import (
	"container/heap"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// eventQueue is the event queue of the simulation. now is the virtual time since the
// start of the run.
type eventQueue struct {
	now      clock.Millis
	pending  eventHeap
	sequence uint64
}

// event is a function that is scheduled for a virtual time.
type event struct {
	at       clock.Millis
	sequence uint64
	run      func()
}

// after schedules f to run after d. A negative d is treated as 0.
func (e *eventQueue) after(d clock.Millis, f func()) { e.at(e.now+max(0, d), f) }

// at schedules f to run at the given time, or now if that time has passed. Events with
// the same time run in the order in which they were scheduled.
func (e *eventQueue) at(at clock.Millis, f func()) {
	e.sequence++
	heap.Push(&e.pending, event{at: max(at, e.now), sequence: e.sequence, run: f})
}

// runUntil runs all events up to and including the given time, to which it then sets
// now.
func (e *eventQueue) runUntil(end clock.Millis) {
	for len(e.pending) > 0 && e.pending[0].at <= end {
		next := heap.Pop(&e.pending).(event)
		e.now = next.at
		next.run()
	}
	e.now = end
}

// eventHeap implements heap.Interface. The earliest event is at the front.
type eventHeap []event

// Len returns the number of pending events.
func (h eventHeap) Len() int { return len(h) }

// Less orders events by time, then by the order in which they were scheduled.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

// Swap exchanges two events.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event at the end.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the event at the end.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	next := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return next
}
