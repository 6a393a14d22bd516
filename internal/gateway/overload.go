package gateway

import (
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
	"github.com/baobabspool/baobabspool/pkg/throttle"
)

// serviceLoads tracks whether the plain services have capacity for the calls of
// programs. It is not known which of them a program will call, so every overloaded
// service limits how many programs begin. It is safe for concurrent use.
type serviceLoads struct {
	clock clock.Clock

	mu        sync.Mutex
	throttles map[spool.ServiceName]*throttle.Throttle
}

func newServiceLoads(systemClock clock.Clock) *serviceLoads {
	return &serviceLoads{clock: systemClock, throttles: map[spool.ServiceName]*throttle.Throttle{}}
}

// recordFull records that an endpoint of a service had no free slot for a call.
func (l *serviceLoads) recordFull(service spool.ServiceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.throttleFor(now, service).RecordRejected(now)
}

// recordAnswer records that a call to a service was answered after the time took.
func (l *serviceLoads) recordAnswer(service spool.ServiceName, took clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.throttleFor(now, service).RecordAnswered(now, took)
}

func (l *serviceLoads) throttleFor(now clock.Millis, service spool.ServiceName) *throttle.Throttle {
	t := l.throttles[service]
	if t == nil {
		t = throttle.New(now)
		l.throttles[service] = t
	}
	return t
}

// isOpen reports whether every program may begin.
func (l *serviceLoads) isOpen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, t := range l.throttles {
		if !t.Unlimited(now) {
			return false
		}
	}
	return true
}

// admit reports whether a program of the given priority may begin; 0 is the most
// urgent.
func (l *serviceLoads) admit(priority int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	admitted := true
	for _, t := range l.throttles {
		admitted = t.Admit(now, min(1, max(0, priority))) && admitted
	}
	return admitted
}

// retain removes the services that a configuration no longer contains.
func (l *serviceLoads) retain(has func(service spool.ServiceName) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service := range l.throttles {
		if !has(service) {
			delete(l.throttles, service)
		}
	}
}
