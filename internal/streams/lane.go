package streams

import (
	"sync"
)

// lane runs the calls to the user of one stream on one goroutine, in order. Its
// queue is unbounded so that the control goroutine never waits; the journal's
// backlog bounds what can be queued.
type callQueue struct {
	mu    sync.Mutex
	pending []func()
	wake  chan struct{}
}

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
