package gateway

import (
	"math/rand/v2"
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// peerAvoid is the time for which a gateway that did not help is not asked again.
const peerBackoff = 2 * clock.Second

// peerChoice picks the gateway to ask: the one that helped last, or any that has
// not failed lately. It is safe for concurrent use.
type peerPicker struct {
	clock clock.Clock

	mu sync.Mutex
	// helpful is the address that answered last; empty for none.
	lastGood string
	// failedAt is when an address last failed.
	failedAt map[string]clock.Millis
}

func newPeerPicker(system clock.Clock) *peerPicker {
	return &peerPicker{clock: system, failedAt: map[string]clock.Millis{}}
}

// pick returns one of addresses.
func (p *peerPicker) pick(addresses []string) (address string, ok bool) {
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
		if address == p.lastGood {
			return address, true
		}
		if at, failed := p.failedAt[address]; usable == "" && (!failed || now-at >= peerBackoff) {
			usable = address
		}
	}
	if usable == "" {
		usable = addresses[first]
	}
	return usable, true
}

// note takes the outcome of a call in.
func (p *peerPicker) recordResult(address string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.lastGood = address
		delete(p.failedAt, address)
		return
	}
	if p.lastGood == address {
		p.lastGood = ""
	}
	p.failedAt[address] = p.clock.Now()
}
