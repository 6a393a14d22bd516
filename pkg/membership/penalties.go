package membership

import "github.com/baobabspool/baobabspool/pkg/clock"

const (
	// failedPenalty is the delay in ms before a peer is asked again after its
	// first failure. stalePenalty is the delay after an outdated answer.
	// maxPenalty bounds the delay after repeated failures.
	failedPenalty clock.Millis = 500
	stalePenalty  clock.Millis = 1000
	maxPenalty                 = 8 * clock.Second
)

// penalty excludes a peer from selection until a given time.
type penalty struct {
	until clock.Millis
	// failures is the number of failures since the latest answer.
	failures int
}

// PeerPenalties excludes peers from selection for some time after they did not
// answer or answered with an outdated state. The zero value excludes nobody.
// Peers are identified by their address.
type PeerPenalties struct {
	penalties map[string]penalty
}

// Excludes reports whether a peer should not be asked now because of an earlier
// failure or outdated answer.
func (p *PeerPenalties) Excludes(now clock.Millis, address string) bool {
	return p.penalties[address].until > now
}

// Failed records that a peer did not answer, and excludes it for failedPenalty.
// The delay doubles with each failure since the latest answer, up to
// maxPenalty.
func (p *PeerPenalties) Failed(now clock.Millis, address string) {
	failures := p.penalties[address].failures
	wait := min(maxPenalty, failedPenalty<<min(failures, 6))
	p.setPenalty(now, address, penalty{until: now + wait, failures: failures + 1})
}

// Stale records that a peer answered with an outdated state, and excludes it for
// stalePenalty.
func (p *PeerPenalties) Stale(now clock.Millis, address string) {
	p.setPenalty(now, address, penalty{until: now + stalePenalty})
}

// Answered records that a peer answered with a current state. The peer is no
// longer excluded.
func (p *PeerPenalties) Answered(address string) { delete(p.penalties, address) }

// setPenalty sets the penalty of a peer. It also removes penalties that ended
// more than 2*maxPenalty ago, so that the map does not grow with VMs that come
// and go.
func (p *PeerPenalties) setPenalty(now clock.Millis, address string, value penalty) {
	if p.penalties == nil {
		p.penalties = map[string]penalty{}
	}
	for other, old := range p.penalties {
		if now-old.until > 2*maxPenalty {
			delete(p.penalties, other)
		}
	}
	p.penalties[address] = value
}
