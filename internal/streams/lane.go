package streams

import (
	"sync"
)

// callQueue runs the calls to the Applier for one stream in order, on a goroutine of
// its own. The queue is unbounded so that the controller goroutine never blocks. In
// practice the backlog of the journal bounds its length.
type callQueue struct {
	mu    sync.Mutex
	pending []func()
	wake  chan struct{}
}

// newCallQueue returns a queue whose goroutine ends when the manager is closed.
func newCallQueue(m *Manager) *callQueue {
	l := &callQueue{wake: make(chan struct{}, 1)}
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		for {
			select {
			case <-m.ctx.Done():
				return
			case <-l.wake:
			}
			for _, run := range l.dequeueAll() {
				run()
			}
		}
	}()
	return l
}

func (l *callQueue) enqueue(run func()) {
	l.mu.Lock()
	l.pending = append(l.pending, run)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *callQueue) dequeueAll() []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.pending
	l.pending = nil
	return queue
}
