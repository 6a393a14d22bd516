package gateway

import (
	"math/rand/v2"
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// peerBackoff is how long a gateway is not picked after a call to it has failed, unless
// all others have failed as well.
const peerBackoff = 2 * clock.Second

// peerPicker picks the gateway for a call: the one that answered last, or a random one
// that has not failed within peerBackoff. It is safe for concurrent use.
type peerPicker struct {
	clock clock.Clock

	mu sync.Mutex
	// lastGood is the address that answered last and has not failed since; empty for
	// none.
	lastGood string
	// failedAt holds the time of the last failure of each address whose last call
	// failed.
	failedAt map[string]clock.Millis
}

func newPeerPicker(systemClock clock.Clock) *peerPicker {
	return &peerPicker{clock: systemClock, failedAt: map[string]clock.Millis{}}
}

// pick returns the address to call. If all addresses have failed recently, it returns
// any of them. ok is false if addresses is empty.
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

// recordResult updates lastGood and failedAt after a call to address; err is nil if the
// call succeeded. pick then prefers the address that answered last and avoids a failed
// one for peerBackoff, unless all have failed.
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
