package gateway

import (
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
	"github.com/baobabspool/baobabspool/pkg/throttle"
)

// serviceLoads follows whether the plain services have room for the calls of programs.
// Which of them a program will call is not known, so that each one that is overloaded
// limits how many programs begin. It is safe for concurrent use.
type serviceLoads struct {
	clock clock.Clock

	mu        sync.Mutex
	throttles map[spool.ServiceName]*throttle.Throttle
}

func newServiceLoads(system clock.Clock) *serviceLoads {
	return &serviceLoads{clock: system, throttles: map[spool.ServiceName]*throttle.Throttle{}}
}

// full says that an endpoint of a service had no room for a call.
func (l *serviceLoads) recordFull(service spool.ServiceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.throttleFor(now, service).Full(now)
}

// answered says that a call of a service was answered after a time.
func (l *serviceLoads) recordAnswer(service spool.ServiceName, took clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.throttleFor(now, service).Answered(now, took)
}

func (l *serviceLoads) throttleFor(now clock.Millis, service spool.ServiceName) *throttle.Throttle {
	t := l.throttles[service]
	if t == nil {
		t = throttle.New(now)
		l.throttles[service] = t
	}
	return t
}

// open reports whether every program may begin.
func (l *serviceLoads) isOpen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, t := range l.throttles {
		if !t.Open(now) {
			return false
		}
	}
	return true
}

// admit reports whether a program of a priority may begin; 0 is the most urgent.
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

// keep forgets the services that a configuration does not have.
func (l *serviceLoads) retain(has func(service spool.ServiceName) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service := range l.throttles {
		if !has(service) {
			delete(l.throttles, service)
		}
	}
}
