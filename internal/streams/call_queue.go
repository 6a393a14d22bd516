package streams

import (
	"sync"
)

// callQueue runs the calls to the Applier for one stream in order, on a goroutine of
// its own. The queue is unbounded so that the controller goroutine never blocks. In
// practice the backlog of the journal bounds its length.
type callQueue struct {
	mu      sync.Mutex
	pending []func()
	wake    chan struct{}
}

// newCallQueue returns a queue whose goroutine ends when the manager is closed.
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
