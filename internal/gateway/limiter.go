package gateway

import (
	"sync"

	"github.com/baobabspool/baobabspool/pkg/catalog"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// limiter keeps this gateway's part of the rate and burst of each client account.
type limiter struct {
	clock    clock.Clock
	mu       sync.Mutex
	gateways int
	accounts map[spool.AccountID]*bucket
}

type bucket struct {
	rate, burst float64
	level       float64
	at          clock.Millis
}

// assumedGateways is the number of gateways until their records are known.
const assumedGateways = 16

func newLimiter(system clock.Clock) *limiter {
	return &limiter{clock: system, gateways: assumedGateways, accounts: map[spool.AccountID]*bucket{}}
}

func (l *limiter) setGateways(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gateways = max(1, count)
}

func (l *limiter) configure(accounts []catalog.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := map[spool.AccountID]*bucket{}
	for _, account := range accounts {
		if account.Rate <= 0 {
			continue
		}
		known := l.accounts[account.ID]
		if known == nil {
			known = &bucket{level: account.Burst / float64(l.gateways), at: l.clock.Now()}
		}
		known.rate, known.burst = account.Rate, account.Burst
		next[account.ID] = known
	}
	l.accounts = next
}

// admit takes one request of an account. When it is refused, wait is the time
// until one is admitted.
func (l *limiter) admit(id spool.AccountID) (wait clock.Millis, ok bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.accounts[id]
	if b == nil {
		return 0, true
	}
	rate, burst := b.rate/float64(l.gateways), max(1, b.burst/float64(l.gateways))
	b.level = min(burst, b.level+rate*float64(now-b.at)/float64(clock.Second))
	b.at = now
	if b.level >= 1 {
		b.level--
		return 0, true
	}
	return clock.Millis((1-b.level)/rate*float64(clock.Second)) + 1, false
}

// giveBack returns the token of a request that did not run.
func (l *limiter) giveBack(id spool.AccountID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.accounts[id]; b != nil {
		b.level++
	}
}
