package membership

import "github.com/baobabspool/baobabspool/pkg/clock"

const (
	// failedPenalty and stalePenalty keep a peer from being asked again at once.
	failedPenalty clock.Millis = 500
	stalePenalty  clock.Millis = 1000
	maxPenalty                 = 8 * clock.Second
)

// penalty keeps a peer out of the choice for a while.
type penalty struct {
	until    clock.Millis
	failures int
}

// Avoidance keeps peers that failed lately, or that had nothing new, out of the
// choice of whom to ask. The zero value avoids nobody. Peers are named by their
// address.
type Avoidance struct {
	penalties map[string]penalty
}

// Avoids reports whether a peer should not be asked now.
func (a *Avoidance) Avoids(now clock.Millis, address string) bool {
	return a.penalties[address].until > now
}

// Failed records that a peer did not answer; the wait doubles with each failure.
func (a *Avoidance) Failed(now clock.Millis, address string) {
	failures := a.penalties[address].failures
	wait := min(maxPenalty, failedPenalty<<min(failures, 6))
	a.setPenalty(now, address, penalty{until: now + wait, failures: failures + 1})
}

// Stale records that a peer answered with an old state.
func (a *Avoidance) Stale(now clock.Millis, address string) {
	a.setPenalty(now, address, penalty{until: now + stalePenalty})
}

// Answered records that a peer answered with a fresh state.
func (a *Avoidance) Answered(address string) { delete(a.penalties, address) }

// set also drops the peers that have not been asked for long, so that the map
// does not grow with the VMs that have come and gone.
func (a *Avoidance) setPenalty(now clock.Millis, address string, value penalty) {
	if a.penalties == nil {
		a.penalties = map[string]penalty{}
	}
	for other, old := range a.penalties {
		if now-old.until > 2*maxPenalty {
			delete(a.penalties, other)
		}
	}
	a.penalties[address] = value
}
