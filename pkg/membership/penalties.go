package membership

import "github.com/baobabspool/baobabspool/pkg/clock"

const (
	// failedPenalty is the delay before a peer is asked again after its first
	// failure, stalePenalty the delay after an outdated answer.
	failedPenalty clock.Millis = 500
	stalePenalty  clock.Millis = 1000
	maxPenalty                 = 8 * clock.Second
)

// penalty excludes a peer from selection until a given time.
type penalty struct {
	until    clock.Millis
	failures int
}

// PeerPenalties excludes peers that failed recently, or that had nothing new,
// from selection. The zero value excludes nobody. Peers are identified by their
// address.
type PeerPenalties struct {
	penalties map[string]penalty
}

// Excludes reports whether a peer should not be asked now.
func (a *PeerPenalties) Excludes(now clock.Millis, address string) bool {
	return a.penalties[address].until > now
}

// Failed records that a peer did not answer. The delay doubles with each
// failure.
func (a *PeerPenalties) Failed(now clock.Millis, address string) {
	failures := a.penalties[address].failures
	wait := min(maxPenalty, failedPenalty<<min(failures, 6))
	a.setPenalty(now, address, penalty{until: now + wait, failures: failures + 1})
}

// Stale records that a peer answered with an outdated state.
func (a *PeerPenalties) Stale(now clock.Millis, address string) {
	a.setPenalty(now, address, penalty{until: now + stalePenalty})
}

// Answered records that a peer answered with a current state.
func (a *PeerPenalties) Answered(address string) { delete(a.penalties, address) }

// setPenalty also removes peers that have not been asked for a long time, so
// that the map does not grow with VMs that come and go.
func (a *PeerPenalties) setPenalty(now clock.Millis, address string, value penalty) {
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
