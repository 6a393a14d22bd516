package gateway

import (
	"math/rand/v2"
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// peerAvoid is the time for which a gateway that did not help is not asked again.
const peerAvoid = 2 * clock.Second

// peerChoice picks the gateway to ask: the one that helped last, or any that has
// not failed lately. It is safe for concurrent use.
type peerChoice struct {
	clock clock.Clock

	mu sync.Mutex
	// helpful is the address that answered last; empty for none.
	helpful string
	// failedAt is when an address last failed.
	failedAt map[string]clock.Millis
}

func newPeerChoice(system clock.Clock) *peerChoice {
	return &peerChoice{clock: system, failedAt: map[string]clock.Millis{}}
}

// pick returns one of addresses.
func (p *peerChoice) pick(addresses []string) (address string, ok bool) {
	if len(addresses) == 0 {
		return "", false
	}
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	first := rand.IntN(len(addresses))
	var usable string
	for i := range addresses {
		address := addresses[(first+i)%len(addresses)]
		if address == p.helpful {
			return address, true
		}
		if at, failed := p.failedAt[address]; usable == "" && (!failed || now-at >= peerAvoid) {
			usable = address
		}
	}
	if usable == "" {
		usable = addresses[first]
	}
	return usable, true
}

// note takes the outcome of a call in.
func (p *peerChoice) note(address string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.helpful = address
		delete(p.failedAt, address)
		return
	}
	if p.helpful == address {
		p.helpful = ""
	}
	p.failedAt[address] = p.clock.Now()
}
