package gateway

import (
	"sync"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// unavailableAfter is the duration of failed calls without a success after which the
// store counts as unavailable.
const unavailableAfter = 300 * clock.Millis(1)

// storeHealth tracks whether the store answers this gateway.
type storeHealth struct {
	clock clock.Clock
	log   *zap.Logger
	mu    sync.Mutex
	// failingSince is the time of the first failure since the last success; 0 for
	// none.
	failingSince clock.Millis
	unavailable  bool
}

func newStoreHealth(systemClock clock.Clock, log *zap.Logger) *storeHealth {
	return &storeHealth{clock: systemClock, log: log}
}

func (h *storeHealth) recordResult(err error) {
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if isAnswer(err) {
		if h.unavailable {
			h.log.Info("store answers again", zap.Int64("awayMs", int64(now-h.failingSince)))
		}
		h.failingSince, h.unavailable = 0, false
		return
	}
	if h.failingSince == 0 {
		h.failingSince = now
	}
	if !h.unavailable && now-h.failingSince >= unavailableAfter {
		h.unavailable = true
		h.log.Warn("store is away", zap.Error(err))
	}
}

// failingFor returns the time since the first failed call after the last success; 0
// while calls succeed.
func (h *storeHealth) failingFor() clock.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failingSince == 0 {
		return 0
	}
	return h.clock.Now() - h.failingSince
}

// isUnavailable reports whether calls to the store have failed for unavailableAfter
// without a success.
func (h *storeHealth) isUnavailable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unavailable
}
