package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// appendTimeout bounds one append; a slow store takes some hundred
	// milliseconds.
	appendTimeout = 450 * clock.Millis(1)
	// appendRetry is the time between two tries of an append.
	appendRetry = 40 * clock.Millis(1)
	// lazyDelay is the longest time for which a record waits for others to go with.
	lazyDelay = 350 * clock.Millis(1)
	// drainInterval is the time between two looks at what is left to write.
	drainInterval = 5 * clock.Millis(1)
	// lengthPrefix is what the store adds to each record, in bytes.
	lengthPrefix = 4
)

// appender writes records to one partition, those that wait together in one
// call. A record may be written twice; its readers take the first.
type appender struct {
	ctx       context.Context
	store     spool.Store
	partition spool.Partition
	maxBytes  int
	clock     clock.Clock

	mu      sync.Mutex
	waiting []*pendingRecord
	running bool
	// lazy are records that wait for others to go with.
	lazy      []*pendingRecord
	lazyTimer bool
	// failingSince is the first failed append since the last good one; 0 for none.
	failingSince clock.Millis
}

type pendingRecord struct {
	ctx    context.Context
	record []byte
	// offset is set before done is closed without an error.
	offset int64
	err    error
	done   chan struct{}
}

func newAppender(ctx context.Context, store spool.Store, partition spool.Partition, maxBytes int, system clock.Clock) *appender {
	return &appender{ctx: ctx, store: store, partition: partition, maxBytes: maxBytes, clock: system}
}

// errPartitionAway means that a partition has not taken a record for a while.
var errPartitionAway = errors.New("partition does not answer")

// away reports whether the partition has not taken a record for a while and is
// still being tried.
func (a *appender) away() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running && a.failingSince != 0 && a.clock.Now()-a.failingSince >= awayAfter
}

// failing reports whether the last append failed.
func (a *appender) failing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failingSince != 0
}

// drain waits until nothing is left to write or ctx ends.
func (a *appender) drain(ctx context.Context) {
	a.flushLazy()
	for a.busy() {
		if !clock.Pause(ctx, drainInterval) {
			return
		}
	}
}

func (a *appender) busy() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running
}

// append writes record and returns its offset. It tries until ctx ends; the record
// may still be written after that.
func (a *appender) append(ctx context.Context, record []byte) (offset int64, err error) {
	pending := &pendingRecord{ctx: ctx, record: record, done: make(chan struct{})}
	a.enqueue(pending)
	select {
	case <-pending.done:
		return pending.offset, pending.err
	case <-ctx.Done():
		return 0, context.Cause(ctx)
	}
}

// add writes record with the next one that is waited for, or after lazyDelay.
func (a *appender) add(ctx context.Context, record []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lazy = append(a.lazy, &pendingRecord{ctx: ctx, record: record, done: make(chan struct{})})
	if !a.lazyTimer {
		a.lazyTimer = true
		time.AfterFunc(lazyDelay.Duration(), a.flushLazy)
	}
}

func (a *appender) flushLazy() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lazyTimer = false
	if len(a.lazy) > 0 {
		a.start()
	}
}

// start makes the records that wait be written. It is called with the lock held.
func (a *appender) start() {
	if a.running {
		return
	}
	a.running = true
	go a.run()
}

func (a *appender) enqueue(pending *pendingRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = append(a.waiting, pending)
	a.start()
}

func (a *appender) run() {
	for {
		batch := a.take()
		if len(batch) == 0 {
			return
		}
		if !a.write(batch) {
			a.putBack(batch)
			clock.Pause(a.ctx, appendRetry)
		}
	}
}

// take removes the next batch. It ends the run when nothing waits.
func (a *appender) take() (batch []*pendingRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = append(a.waiting, a.lazy...)
	a.lazy = nil
	size := 0
	kept := a.waiting[:0]
	for _, pending := range a.waiting {
		switch {
		case pending.ctx.Err() != nil || a.ctx.Err() != nil:
			pending.finish(0, context.Canceled)
		case len(batch) > 0 && size+len(pending.record)+lengthPrefix > a.maxBytes:
			kept = append(kept, pending)
		default:
			size += len(pending.record) + lengthPrefix
			batch = append(batch, pending)
		}
	}
	a.waiting = kept
	if len(batch) == 0 {
		a.running = false
	}
	return batch
}

func (a *appender) putBack(batch []*pendingRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = append(batch, a.waiting...)
}

func (a *appender) write(batch []*pendingRecord) bool {
	records := make([][]byte, len(batch))
	for i, pending := range batch {
		records[i] = pending.record
	}
	ctx, cancel := context.WithTimeout(a.ctx, appendTimeout.Duration())
	defer cancel()
	offset, err := a.store.Append(ctx, a.partition, records)
	a.note(err)
	if err != nil {
		return false
	}
	for i, pending := range batch {
		pending.finish(offset+int64(i), nil)
	}
	return true
}

func (a *appender) note(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err == nil:
		a.failingSince = 0
	case a.failingSince == 0:
		a.failingSince = a.clock.Now()
	}
}

func (p *pendingRecord) finish(offset int64, err error) {
	p.offset, p.err = offset, err
	close(p.done)
}
