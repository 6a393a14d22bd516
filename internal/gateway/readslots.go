package gateway

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// fastRead is the duration up to which a read shows that the store and the link have room
	// for more, and slowRead the one from which it shows that they have not.
	fastRead = 50 * clock.Millis(1)
	slowRead = 150 * clock.Millis(1)
)

// readSlots bounds the reads of several partition readers that run at the same time. All
// gateways share the rate of the store, so the bound rises only while reads are fast, and
// falls when they are slow. It is safe for concurrent use.
type readSlots struct {
	slots           *semaphore.Weighted
	lowest, highest int

	mu sync.Mutex
	// bound is from lowest to highest. The slots between bound and highest are taken in
	// slots, by no read.
	bound int
	// fastReads is the number of fast reads since the bound has changed.
	fastReads int
}

// newReadSlots returns slots whose bound begins at lowest and rises to highest.
func newReadSlots(lowest, highest int) *readSlots {
	s := &readSlots{slots: semaphore.NewWeighted(int64(highest)), lowest: lowest, highest: highest, bound: lowest}
	s.slots.TryAcquire(int64(highest - lowest))
	return s
}

// acquire takes a slot for a read, in the order of the calls. It fails when ctx ends before.
func (s *readSlots) acquire(ctx context.Context) error { return s.slots.Acquire(ctx, 1) }

// release returns the slot of a read that took a duration and ended with err, and adapts the
// bound.
func (s *readSlots) release(took clock.Millis, err error) {
	switch {
	case errors.Is(err, context.Canceled), errors.Is(err, spool.ErrTrimmed):
		s.slots.Release(1)
	case err != nil || took >= slowRead:
		s.slots.Release(1 - s.lowerBound())
	case took <= fastRead:
		s.slots.Release(1 + s.raiseBound())
	default:
		s.slots.Release(1)
	}
}

// lowerBound lowers the bound, and returns the number of slots by which it has.
func (s *readSlots) lowerBound() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fastReads = 0
	if s.bound == s.lowest {
		return 0
	}
	s.bound--
	return 1
}

// raiseBound raises the bound when as many fast reads have ended as there are slots. It
// returns the number of slots by which it has.
func (s *readSlots) raiseBound() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fastReads++; s.fastReads < s.bound || s.bound == s.highest {
		return 0
	}
	s.fastReads = 0
	s.bound++
	return 1
}
