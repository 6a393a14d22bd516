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
	// appendTimeout bounds one append call. A slow store takes a few hundred
	// milliseconds.
	appendTimeout = 450 * clock.Millis(1)
	// appendRetryDelay is the delay before a failed append is retried.
	appendRetryDelay = 40 * clock.Millis(1)
	// maxBatchDelay bounds how long a deferred record waits for other records to share
	// an append with.
	maxBatchDelay = 350 * clock.Millis(1)
	// drainPollInterval is the time between two checks whether all records are
	// written.
	drainPollInterval = 5 * clock.Millis(1)
	// recordOverhead is the number of bytes that the store adds to each record.
	recordOverhead = 4
)

// appender writes records to one partition and batches the records that wait at the
// same time into one append. A record may be written twice; readers use the first
// copy.
type appender struct {
	ctx           context.Context
	store         spool.Store
	partition     spool.Partition
	maxBatchBytes int
	clock         clock.Clock

	mu            sync.Mutex
	queue         []*pendingRecord
	writerRunning bool
	// deferred holds records that wait to share an append with other records.
	deferred       []*pendingRecord
	flushScheduled bool
	// failingSince is the time of the first failed append since the last successful
	// one; 0 for none.
	failingSince clock.Millis
}

type pendingRecord struct {
	ctx    context.Context
	record []byte
	// offset is set before done is closed, unless err is set.
	offset int64
	err    error
	done   chan struct{}
}

func newAppender(ctx context.Context, store spool.Store, partition spool.Partition, maxBytes int, systemClock clock.Clock) *appender {
	return &appender{ctx: ctx, store: store, partition: partition, maxBatchBytes: maxBytes, clock: systemClock}
}

// errPartitionUnavailable means that a partition has not accepted a record for
// unavailableAfter.
var errPartitionUnavailable = errors.New("partition is not accepting records")

// isUnavailable reports whether the partition has not accepted a record for
// unavailableAfter while records are still waiting to be written.
func (a *appender) isUnavailable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.writerRunning && a.failingSince != 0 && a.clock.Now()-a.failingSince >= unavailableAfter
}

// isFailing reports whether the last append failed.
func (a *appender) isFailing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failingSince != 0
}

// drain waits until all records are written or ctx ends.
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

// append writes record and returns its offset. It retries until ctx ends. The record
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

// appendDeferred queues record to be written with the next call of append, or after
// maxBatchDelay. It does not wait for the write.
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

// startWriter starts the goroutine that writes the waiting records, unless it runs
// already. The caller holds mu.
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

// nextBatch removes the next batch from the queue and completes records whose context
// has ended. It returns no records and marks the writer as stopped when the queue is
// empty.
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
