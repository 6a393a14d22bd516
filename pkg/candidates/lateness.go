package candidates

import "github.com/baobabspool/baobabspool/pkg/clock"

const (
	// lateAfter is the delay of a timer from which on it counts as late. Requests wait
	// about as long for an answer of the holder of a role.
	lateAfter = 40 * clock.Millis(1)
	// lateBalance is how many more late timers than punctual ones make a process late.
	// A single long pause counts once.
	lateBalance = 5
	// lateRetention is how long a process stays late after its last late timer. It keeps a
	// role from returning to a VM that is slow again and again.
	lateRetention = 20 * clock.Second
)

// Lateness detects that the process of a gateway gets too little processor time to hold a
// role, from the delay of a timer that fires regularly. The zero value is punctual.
type Lateness struct {
	// balance is the number of late timers minus that of punctual ones, in
	// [0,lateBalance].
	balance int
	// lateUntil is when the process counts as punctual again; 0 if it has never been late.
	lateUntil clock.Millis
}

// Record records that a timer fired at now, delay after it was due.
func (l *Lateness) Record(now, delay clock.Millis) {
	if delay < lateAfter {
		l.balance = max(0, l.balance-1)
		return
	}
	l.balance = min(lateBalance, l.balance+1)
	if l.balance == lateBalance {
		l.lateUntil = now + lateRetention
	}
}

// IsLate reports whether the process is late at now.
func (l *Lateness) IsLate(now clock.Millis) bool { return now < l.lateUntil }
