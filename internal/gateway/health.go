package gateway

import (
	"sync"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// unavailableAfter is how long calls to the store must have failed, without an answer
// of the store in between, before the store is treated as unavailable.
const unavailableAfter = 300 * clock.Millis(1)

// storeHealth tracks whether this gateway reaches the store, directly or through
// another gateway. It is safe for concurrent use.
type storeHealth struct {
	clock clock.Clock
	log   *zap.Logger
	mu    sync.Mutex
	// failingSince is the time of the first failed call after the last answer of the
	// store; 0 if the last call was answered.
	failingSince clock.Millis
	// unavailable is set when a call fails at least unavailableAfter after
	// failingSince, with no answer in between. The next answer clears it.
	unavailable bool
}

func newStoreHealth(systemClock clock.Clock, log *zap.Logger) *storeHealth {
	return &storeHealth{clock: systemClock, log: log}
}

// recordResult records the result of a call to the store. An error that the store
// itself returned is an answer (see isAnswer).
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

// failingFor returns the time since the first failed call after the last answer of the
// store; 0 if the last call was answered.
func (h *storeHealth) failingFor() clock.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failingSince == 0 {
		return 0
	}
	return h.clock.Now() - h.failingSince
}

// isUnavailable reports whether calls to the store have failed for at least
// unavailableAfter, without an answer in between.
func (h *storeHealth) isUnavailable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unavailable
}
