package streams

import (
	"sync"
)

// lane runs the calls to the user of one stream on one goroutine, in order. Its
// queue is unbounded so that the control goroutine never waits; the journal's
// backlog bounds what can be queued.
type lane struct {
	mu    sync.Mutex
	queue []func()
	wake  chan struct{}
}

func newLane(m *Manager) *lane {
	l := &lane{wake: make(chan struct{}, 1)}
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		for {
			select {
			case <-m.ctx.Done():
				return
			case <-l.wake:
			}
			for _, run := range l.take() {
				run()
			}
		}
	}()
	return l
}

func (l *lane) add(run func()) {
	l.mu.Lock()
	l.queue = append(l.queue, run)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *lane) take() []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.queue
	l.queue = nil
	return queue
}
