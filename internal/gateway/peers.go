package gateway

import (
	"math/rand/v2"
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// peerBackoff is the time for which a gateway that has failed is not picked again,
// while there is another one.
const peerBackoff = 2 * clock.Second

// peerPicker picks the gateway to call: the one that answered last, or any one that
// has not failed recently. It is safe for concurrent use.
type peerPicker struct {
	clock clock.Clock

	mu sync.Mutex
	// lastGood is the address that answered last; empty for none.
	lastGood string
	// failedAt holds the time of the last failure of each address.
	failedAt map[string]clock.Millis
}

func newPeerPicker(systemClock clock.Clock) *peerPicker {
	return &peerPicker{clock: systemClock, failedAt: map[string]clock.Millis{}}
}

// pick returns one of addresses; ok is false if there are none.
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

// recordResult records the result of a call.
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
