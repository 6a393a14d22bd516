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
	// maxBatchDelay is how long a deferred record waits at most for another record with
	// which it can share an append.
	maxBatchDelay = 350 * clock.Millis(1)
	// drainPollInterval is the time between two checks of drain whether all records are
	// written.
	drainPollInterval = 5 * clock.Millis(1)
	// maxAppendBytes bounds the records of one append. A VM with the slowest link sends
	// that many bytes within half of appendTimeout.
	maxAppendBytes = 512 << 10
	// recordOverhead is the number of bytes by which each record increases the size of
	// an append.
	recordOverhead = 4
)

// appender writes records to one partition. Records that wait at the same time are
// written with one append. A record may be written twice, because a failed append is
// repeated and may have taken effect; readers ignore the second copy.
type appender struct {
	ctx           context.Context
	store         spool.Store
	partition     spool.Partition
	maxBatchBytes int
	clock         clock.Clock
	// onWritten, unless nil, receives the records of each successful append and the offset
	// of the first one, before those who wait for them.
	onWritten func(offset int64, records [][]byte)

	mu sync.Mutex
	// queue holds the records to be written next. writerRunning reports whether the
	// goroutine that writes them runs.
	queue         []*pendingRecord
	writerRunning bool
	// deferred holds records that are not urgent. They are written with the next urgent
	// record, or when maxBatchDelay has passed. flushScheduled reports whether a timer
	// for that runs.
	deferred       []*pendingRecord
	flushScheduled bool
	// failingSince is the time of the first failed append after the last successful
	// one; 0 if the last append succeeded.
	failingSince clock.Millis
}

// pendingRecord is a record that waits to be written. If ctx ends before that, it is
// dropped from the queue.
type pendingRecord struct {
	ctx    context.Context
	record []byte
	// offset or err is set before done is closed.
	offset int64
	err    error
	done   chan struct{}
}

func newAppender(ctx context.Context, store spool.Store, partition spool.Partition, maxBytes int, systemClock clock.Clock) *appender {
	return &appender{ctx: ctx, store: store, partition: partition, maxBatchBytes: min(maxBytes, maxAppendBytes), clock: systemClock}
}

// errPartitionUnavailable means that all appends to a partition have failed for at
// least unavailableAfter.
var errPartitionUnavailable = errors.New("partition is not accepting records")

// isUnavailable reports whether all appends have failed for at least unavailableAfter.
// It returns false when no record waits to be written, so that the next record tries
// the partition again.
func (a *appender) isUnavailable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.writerRunning && a.failingSince != 0 && a.clock.Now()-a.failingSince >= unavailableAfter
}

// isFailing reports whether the last append to the partition failed.
func (a *appender) isFailing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failingSince != 0
}

// drain starts the write of the deferred records, and waits until all records are
// written or ctx ends.
func (a *appender) drain(ctx context.Context) {
	a.flushDeferred()
	for a.isWriting() {
		if !clock.Pause(ctx, drainPollInterval) {
			return
		}
	}
}

// isWriting reports whether records wait to be written, apart from deferred ones.
func (a *appender) isWriting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.writerRunning
}

// append writes record and returns its offset. Failed writes are repeated until ctx
// ends. A write that is in progress when ctx ends may still take effect.
func (a *appender) append(ctx context.Context, record []byte) (offset int64, err error) {
	pending := &pendingRecord{ctx: ctx, record: record, done: make(chan struct{})}
	a.enqueue(pending)
	return pending.wait(ctx)
}

// appendAll writes records, possibly with several appends, and returns when all of them
// are durable. It fails like append if one of them cannot be written.
func (a *appender) appendAll(ctx context.Context, records [][]byte) error {
	var pending []*pendingRecord
	for _, record := range records {
		pending = append(pending, &pendingRecord{ctx: ctx, record: record, done: make(chan struct{})})
	}
	a.enqueue(pending...)
	for _, record := range pending {
		if _, err := record.wait(ctx); err != nil {
			return err
		}
	}
	return nil
}

// wait returns the offset of the record when it is written.
func (p *pendingRecord) wait(ctx context.Context) (offset int64, err error) {
	select {
	case <-p.done:
		return p.offset, p.err
	case <-ctx.Done():
		return 0, context.Cause(ctx)
	}
}

// appendDeferred queues record to be written with the next record of append, or after
// maxBatchDelay. It does not wait for the write.
func (a *appender) appendDeferred(ctx context.Context, record []byte) *pendingRecord {
	pending := &pendingRecord{ctx: ctx, record: record, done: make(chan struct{})}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deferred = append(a.deferred, pending)
	if !a.flushScheduled {
		a.flushScheduled = true
		time.AfterFunc(maxBatchDelay.Duration(), a.flushDeferred)
	}
	return pending
}

// flushDeferred starts the write of the deferred records.
func (a *appender) flushDeferred() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.flushScheduled = false
	if len(a.deferred) > 0 {
		a.startWriter()
	}
}

// startWriter starts the goroutine that writes the waiting records, unless that
// goroutine runs already. The caller holds mu.
func (a *appender) startWriter() {
	if a.writerRunning {
		return
	}
	a.writerRunning = true
	go a.writeBatches()
}

func (a *appender) enqueue(pending ...*pendingRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = append(a.queue, pending...)
	a.startWriter()
}

// writeBatches writes batches until no record waits. It puts a batch whose append
// failed back into the queue.
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

// nextBatch removes the records of the next append from the queue, up to maxBatchBytes.
// Records whose context has ended are completed with context.Canceled instead. If there
// is nothing to write, it returns no records and clears writerRunning.
func (a *appender) nextBatch() (batch []*pendingRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	// Deferred records go first, because they return tokens that the others may need.
	a.queue = append(a.deferred, a.queue...)
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

// writeBatch writes a batch with one append and completes its records. It returns false
// if the append failed and may be repeated. If the store rejects the batch for good, the
// records are written one by one, so that one of them does not hold up the others.
func (a *appender) writeBatch(batch []*pendingRecord) bool {
	records := make([][]byte, len(batch))
	for i, pending := range batch {
		records[i] = pending.record
	}
	ctx, cancel := context.WithTimeout(a.ctx, appendTimeout.Duration())
	defer cancel()
	offset, err := a.store.Append(ctx, a.partition, records)
	a.recordResult(err)
	switch {
	case errors.Is(err, spool.ErrRecordsRejected):
		return a.completeRejected(batch, err)
	case err != nil:
		return false
	}
	if a.onWritten != nil {
		a.onWritten(offset, records)
	}
	for i, pending := range batch {
		pending.complete(offset+int64(i), nil)
	}
	return true
}

// completeRejected completes the record of a batch that the store rejects with err. It
// writes the records of a larger batch one by one, and queues those again whose append
// failed.
func (a *appender) completeRejected(batch []*pendingRecord, err error) bool {
	if len(batch) == 1 {
		batch[0].complete(0, err)
		return true
	}
	var failed []*pendingRecord
	for _, record := range batch {
		single := []*pendingRecord{record}
		if !a.writeBatch(single) {
			failed = append(failed, record)
		}
	}
	a.requeue(failed)
	return true
}

func (a *appender) recordResult(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case isAnswer(err):
		a.failingSince = 0
	case a.failingSince == 0:
		a.failingSince = a.clock.Now()
	}
}

func (p *pendingRecord) complete(offset int64, err error) {
	p.offset, p.err = offset, err
	close(p.done)
}
