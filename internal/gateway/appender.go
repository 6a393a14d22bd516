package gateway

import (
	"context"
	"sync"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// appendTimeout bounds one append; a slow store takes some hundred
	// milliseconds.
	appendTimeout = 600 * clock.Millis(1)
	// appendRetry is the time between two tries of an append.
	appendRetry = 40 * clock.Millis(1)
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

	mu      sync.Mutex
	waiting []*pendingRecord
	running bool
}

type pendingRecord struct {
	ctx    context.Context
	record []byte
	// offset is set before done is closed without an error.
	offset int64
	err    error
	done   chan struct{}
}

func newAppender(ctx context.Context, store spool.Store, partition spool.Partition, maxBytes int) *appender {
	return &appender{ctx: ctx, store: store, partition: partition, maxBytes: maxBytes}
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

// add writes record some time; the caller does not wait.
func (a *appender) add(ctx context.Context, record []byte) {
	a.enqueue(&pendingRecord{ctx: ctx, record: record, done: make(chan struct{})})
}

func (a *appender) enqueue(pending *pendingRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = append(a.waiting, pending)
	if a.running {
		return
	}
	a.running = true
	go a.run()
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
	if err != nil {
		return false
	}
	for i, pending := range batch {
		pending.finish(offset+int64(i), nil)
	}
	return true
}

func (p *pendingRecord) finish(offset int64, err error) {
	p.offset, p.err = offset, err
	close(p.done)
}
