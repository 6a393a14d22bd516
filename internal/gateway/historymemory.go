package gateway

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// freeHistoryBytes is the size up to which a history needs no reservation, so that
	// ordinary turns never wait for those with long histories.
	freeHistoryBytes = 64 << 10
	// maxHistoryLoads bounds the histories that are loaded at the same time. One that waits
	// for a silent partition does not hold up all others.
	maxHistoryLoads = 3
)

// errHistoriesBusy means that the histories of other requests took the memory or the reads for
// as long as the request could wait.
var errHistoriesBusy = errors.New("histories of other requests are being loaded")

// historyMemory bounds the memory that the histories of all requests in flight take together,
// and how many of them are loaded at the same time. Requests get their turn in the order in
// which they ask. Under load the first ones are then served in time, while loads that share
// the rate of the store equally would all be late. It is safe for concurrent use.
type historyMemory struct {
	capacity    int64
	free, loads *semaphore.Weighted
}

// newHistoryMemory returns a memory of a capacity in bytes, at least maxPromptBytes.
func newHistoryMemory(capacity int64) *historyMemory {
	capacity = max(capacity, maxPromptBytes)
	return &historyMemory{capacity: capacity, free: semaphore.NewWeighted(capacity), loads: semaphore.NewWeighted(maxHistoryLoads)}
}

// newReservation returns a reservation without any bytes.
func (m *historyMemory) newReservation() *historyReservation {
	return &historyReservation{memory: m}
}

// historyReservation is the memory that is reserved for the history of one request. It is
// not safe for concurrent use.
type historyReservation struct {
	memory *historyMemory
	// bytes is 0 or more than freeHistoryBytes.
	bytes int64
}

// raise makes the reservation cover a number of bytes, or the whole memory if it is smaller.
// It gives up what is reserved before it waits, so that requests that need more cannot block
// each other. It fails with errHistoriesBusy when ctx ends before.
func (r *historyReservation) raise(ctx context.Context, bytes int64) error {
	bytes = min(bytes, r.memory.capacity)
	if bytes <= max(r.bytes, freeHistoryBytes) {
		return nil
	}
	r.release()
	if err := r.memory.free.Acquire(ctx, bytes); err != nil {
		return errors.Wrap(errHistoriesBusy, err.Error())
	}
	r.bytes = bytes
	return nil
}

// beginLoad waits until the history may be loaded, and returns a function that must be called
// when that has ended. It fails with errHistoriesBusy when ctx ends before.
func (r *historyReservation) beginLoad(ctx context.Context) (end func(), err error) {
	if r.bytes == 0 {
		return func() {}, nil
	}
	if err := r.memory.loads.Acquire(ctx, 1); err != nil {
		return nil, errors.Wrap(errHistoriesBusy, err.Error())
	}
	return func() { r.memory.loads.Release(1) }, nil
}

// release gives the memory back. The reservation may be raised again.
func (r *historyReservation) release() {
	r.memory.free.Release(r.bytes)
	r.bytes = 0
}
