package streams

import (
	"sync"
)

// callQueue runs functions for one stream, mainly the calls to the Applier, in order on
// a goroutine of its own. It has no limit, so that the controller goroutine never
// blocks. For submissions, Config.BacklogBytes bounds its length in practice.
type callQueue struct {
	mu      sync.Mutex
	pending []func()
	wake    chan struct{}
}

// newCallQueue returns a queue whose goroutine ends when the manager is closed.
// Functions that are queued at that time may not run.
func newCallQueue(m *Manager) *callQueue {
	q := &callQueue{wake: make(chan struct{}, 1)}
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		for {
			select {
			case <-m.ctx.Done():
				return
			case <-q.wake:
			}
			for _, run := range q.dequeueAll() {
				run()
			}
		}
	}()
	return q
}

// enqueue adds run to the end of the queue. It does not block.
func (q *callQueue) enqueue(run func()) {
	q.mu.Lock()
	q.pending = append(q.pending, run)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *callQueue) dequeueAll() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	calls := q.pending
	q.pending = nil
	return calls
}
