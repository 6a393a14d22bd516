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
	appendRetryDelay = 40 * clock.Millis(1)
	// lazyDelay is the longest time for which a record waits for others to go with.
	maxBatchDelay = 350 * clock.Millis(1)
	// drainInterval is the time between two looks at what is left to write.
	drainPollInterval = 5 * clock.Millis(1)
	// lengthPrefix is what the store adds to each record, in bytes.
	recordOverhead = 4
)

// appender writes records to one partition, those that wait together in one
// call. A record may be written twice; its readers take the first.
type appender struct {
	ctx           context.Context
	store         spool.Store
	partition     spool.Partition
	maxBatchBytes int
	clock         clock.Clock

	mu            sync.Mutex
	queue         []*pendingRecord
	writerRunning bool
	// lazy are records that wait for others to go with.
	deferred       []*pendingRecord
	flushScheduled bool
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
	return &appender{ctx: ctx, store: store, partition: partition, maxBatchBytes: maxBytes, clock: system}
}

// errPartitionAway means that a partition has not taken a record for a while.
var errPartitionUnavailable = errors.New("partition does not answer")

// away reports whether the partition has not taken a record for a while and is
// still being tried.
func (a *appender) isUnavailable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.writerRunning && a.failingSince != 0 && a.clock.Now()-a.failingSince >= unavailableAfter
}

// failing reports whether the last append failed.
func (a *appender) isFailing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failingSince != 0
}

// drain waits until nothing is left to write or ctx ends.
func (a *appender) drain(ctx context.Context) {
	a.flushDeferred()
	for a.isWriting() {
		if !clock.Pause(ctx, drainPollInterval) {
			return
		}
	}
}

func (a *appender) isWriting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.writerRunning
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
func (a *appender) appendDeferred(ctx context.Context, record []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deferred = append(a.deferred, &pendingRecord{ctx: ctx, record: record, done: make(chan struct{})})
	if !a.flushScheduled {
		a.flushScheduled = true
		time.AfterFunc(maxBatchDelay.Duration(), a.flushDeferred)
	}
}

func (a *appender) flushDeferred() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.flushScheduled = false
	if len(a.deferred) > 0 {
		a.startWriter()
	}
}

// start makes the records that wait be written. It is called with the lock held.
func (a *appender) startWriter() {
	if a.writerRunning {
		return
	}
	a.writerRunning = true
	go a.writeBatches()
}

func (a *appender) enqueue(pending *pendingRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = append(a.queue, pending)
	a.startWriter()
}

func (a *appender) writeBatches() {
	for {
		batch := a.nextBatch()
		if len(batch) == 0 {
			return
		}
		if !a.writeBatch(batch) {
			a.requeue(batch)
			clock.Pause(a.ctx, appendRetryDelay)
		}
	}
}

// take removes the next batch. It ends the run when nothing waits.
func (a *appender) nextBatch() (batch []*pendingRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = append(a.queue, a.deferred...)
	a.deferred = nil
	size := 0
	remaining := a.queue[:0]
	for _, pending := range a.queue {
		switch {
		case pending.ctx.Err() != nil || a.ctx.Err() != nil:
			pending.complete(0, context.Canceled)
		case len(batch) > 0 && size+len(pending.record)+recordOverhead > a.maxBatchBytes:
			remaining = append(remaining, pending)
		default:
			size += len(pending.record) + recordOverhead
			batch = append(batch, pending)
		}
	}
	a.queue = remaining
	if len(batch) == 0 {
		a.writerRunning = false
	}
	return batch
}

func (a *appender) requeue(batch []*pendingRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = append(batch, a.queue...)
}

func (a *appender) writeBatch(batch []*pendingRecord) bool {
	records := make([][]byte, len(batch))
	for i, pending := range batch {
		records[i] = pending.record
	}
	ctx, cancel := context.WithTimeout(a.ctx, appendTimeout.Duration())
	defer cancel()
	offset, err := a.store.Append(ctx, a.partition, records)
	a.recordResult(err)
	if err != nil {
		return false
	}
	for i, pending := range batch {
		pending.complete(offset+int64(i), nil)
	}
	return true
}

func (a *appender) recordResult(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err == nil:
		a.failingSince = 0
	case a.failingSince == 0:
		a.failingSince = a.clock.Now()
	}
}

func (p *pendingRecord) complete(offset int64, err error) {
	p.offset, p.err = offset, err
	close(p.done)
}
