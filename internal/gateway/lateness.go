package gateway

import (
	"sync"

	"github.com/baobabspool/baobabspool/pkg/candidates"
	"github.com/baobabspool/baobabspool/pkg/clock"
)

// latenessMonitor measures how late a timer of this process fires, which tells whether
// the process gets enough processor time to hold a role for the deployment. It is safe
// for concurrent use.
type latenessMonitor struct {
	bootClock clock.Clock

	mu       sync.Mutex
	lateness candidates.Lateness
	// dueAt is when the timer that was set last should fire.
	dueAt clock.Millis
}

func newLatenessMonitor(bootClock clock.Clock) *latenessMonitor {
	return &latenessMonitor{bootClock: bootClock}
}

// setTimer records that a timer was set to fire after delay.
func (m *latenessMonitor) setTimer(delay clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dueAt = m.bootClock.Now() + delay
}

// timerFired records that the timer of the last setTimer has fired.
func (m *latenessMonitor) timerFired() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.bootClock.Now()
	m.lateness.Record(now, now-m.dueAt)
}

// isLate reports whether this process is late.
func (m *latenessMonitor) isLate() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lateness.IsLate(m.bootClock.Now())
}
