package gateway

import (
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
	"github.com/baobabspool/baobabspool/pkg/throttle"
)

// serviceLoads tracks which plain services are overloaded. It is not known in advance
// which services a program will call, so each overloaded service limits how many
// programs begin. It is safe for concurrent use.
type serviceLoads struct {
	clock clock.Clock

	mu        sync.Mutex
	throttles map[spool.ServiceName]*throttle.Throttle
}

func newServiceLoads(systemClock clock.Clock) *serviceLoads {
	return &serviceLoads{clock: systemClock, throttles: map[spool.ServiceName]*throttle.Throttle{}}
}

// recordFull records that an endpoint of a service refused a call because it had no
// free slot.
func (l *serviceLoads) recordFull(service spool.ServiceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.throttleFor(now, service).RecordRejected(now)
}

// recordAnswer records that a call to a service was answered; took is the time from
// sending the call to the complete answer.
func (l *serviceLoads) recordAnswer(service spool.ServiceName, took clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.throttleFor(now, service).RecordAnswered(now, took)
}

// throttleFor returns the throttle of a service; it creates one if there is none. The
// caller holds mu.
func (l *serviceLoads) throttleFor(now clock.Millis, service spool.ServiceName) *throttle.Throttle {
	t := l.throttles[service]
	if t == nil {
		t = throttle.New(now)
		l.throttles[service] = t
	}
	return t
}

// isOpen reports whether no service limits at present how many programs begin.
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

// admit reports whether a program of the given priority may begin, that is, whether
// every service admits it. Each service counts the program, even if another one refuses
// it. Priority 0 is the most urgent; all higher values are treated alike.
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

// retain removes the services for which has returns false.
func (l *serviceLoads) retain(has func(service spool.ServiceName) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service := range l.throttles {
		if !has(service) {
			delete(l.throttles, service)
		}
	}
}
