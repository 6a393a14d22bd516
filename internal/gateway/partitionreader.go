package gateway

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/chain"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// maxPageBytes and minPageBytes bound the size of one read of a partition. A page that
	// times out is asked for again at half the size, since its bytes use up the rate that
	// the reads of all gateways share, whether somebody waits for them or not.
	maxPageBytes = 128 << 10
	minPageBytes = 8 << 10
)

// partitionReader reads a partition up to its end when somebody needs it. All who wait
// share the reads, and a read goes on when those who wait have left, so that no page is
// read twice. It is safe for concurrent use.
type partitionReader struct {
	ctx       context.Context
	store     spool.Store
	partition spool.Partition
	clock     clock.Clock
	// slots bounds the reads of several readers together.
	slots *readSlots
	// apply takes the records of the partition, without gaps except for those that
	// retention has removed. It may get a record twice.
	apply func(page spool.LogPage)

	mu sync.Mutex
	// next is the offset after the last record that was applied.
	next int64
	// endSeenAt is when next was last seen to be the end of the partition; 0 if it never
	// was.
	endSeenAt clock.Millis
	// current is the pass in progress, queued the one that starts after it; nil for none.
	current, queued *readPass
	// pageBytes is the size of the next page. Only the running pass uses it.
	pageBytes int
}

// readPass is one pass over the rest of a partition.
type readPass struct {
	// done is closed when the pass has ended; err is set before that.
	done chan struct{}
	err  error
}

func newPartitionReader(ctx context.Context, store spool.Store, systemClock clock.Clock, partition spool.Partition, slots *readSlots, apply func(page spool.LogPage)) *partitionReader {
	return &partitionReader{ctx: ctx, store: store, clock: systemClock, partition: partition, slots: slots, apply: apply, pageBytes: maxPageBytes}
}

// catchUp returns nil when found reports true, or when a pass that started after the
// call has reached the end of the partition. It fails when that pass fails or ctx ends.
func (r *partitionReader) catchUp(ctx context.Context, found func() bool) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	current, own := r.join()
	for _, pass := range []*readPass{current, own} {
		if pass == nil {
			continue
		}
		select {
		case <-pass.done:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if found() {
			return nil
		}
	}
	return own.err
}

// join returns the pass in progress, nil if there is none, and the one that starts next,
// which it queues if necessary.
func (r *partitionReader) join() (current, own *readPass) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queued == nil {
		r.queued = &readPass{done: make(chan struct{})}
		if r.current == nil {
			go r.run(r.startQueuedLocked())
			return nil, r.current
		}
	}
	return r.current, r.queued
}

// startQueuedLocked makes the queued pass, which may be nil, the one in progress. The
// caller holds mu.
func (r *partitionReader) startQueuedLocked() *readPass {
	r.current, r.queued = r.queued, nil
	return r.current
}

// run makes passes until none is queued.
func (r *partitionReader) run(pass *readPass) {
	for pass != nil {
		pass.err = r.readToEnd()
		r.mu.Lock()
		next := r.startQueuedLocked()
		r.mu.Unlock()
		close(pass.done)
		pass = next
	}
}

// position returns the offset after the last record that was applied.
func (r *partitionReader) position() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}

// advance moves the position to next, unless it is beyond that already. isEnd reports
// that the partition ended there.
func (r *partitionReader) advance(next int64, isEnd bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next = max(r.next, next)
	if isEnd {
		r.endSeenAt = r.clock.Now()
	}
}

// applyWritten applies records that this gateway has just appended at an offset, without
// a read, if all records before them were applied.
func (r *partitionReader) applyWritten(offset int64, records [][]byte) {
	if r.position() != offset {
		return
	}
	r.apply(spool.LogPage{From: offset, Records: records})
	r.advance(offset+int64(len(records)), true)
}

// wasReadWithin reports whether the position was seen to be the end of the partition at
// most age ago.
func (r *partitionReader) wasReadWithin(age clock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endSeenAt != 0 && r.clock.Now()-r.endSeenAt <= age
}

// readToEnd reads pages up to the end that the last one reports.
func (r *partitionReader) readToEnd() error {
	for {
		next := r.position()
		page, err := r.readPage(next)
		switch {
		case errors.Is(err, spool.ErrTrimmed) && page.First > next:
			next = page.First
		case err != nil:
			return err
		default:
			r.apply(page)
			next += int64(len(page.Records))
		}
		r.advance(next, err == nil && next >= page.End)
		switch {
		case err != nil:
		case next >= page.End:
			return nil
		case len(page.Records) == 0:
			return errors.Errorf("store returned no record at offset %d, though the partition ends at %d", next, page.End)
		}
	}
}

// readPage reads the page at an offset and adapts the size of the next one.
func (r *partitionReader) readPage(from int64) (page spool.LogPage, err error) {
	if err := r.slots.acquire(r.ctx); err != nil {
		return page, err
	}
	sentAt := r.clock.Now()
	defer func() { r.slots.release(r.clock.Now()-sentAt, err) }()
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout.Duration())
	defer cancel()
	page, err = r.store.Read(ctx, spool.ReadRequest{Partition: r.partition, From: from, MaxBytes: r.pageBytes})
	switch {
	case ctx.Err() != nil:
		r.pageBytes = max(minPageBytes, r.pageBytes/2)
	case err == nil:
		r.pageBytes = min(maxPageBytes, 2*r.pageBytes)
	}
	if err == nil && len(page.Records) == 0 && page.End > from {
		// The record is larger than the page.
		page, err = r.store.Read(ctx, spool.ReadRequest{Partition: r.partition, From: from})
	}
	return page, err
}

// readRecords reads records one after another, whatever the position is.
func (r *partitionReader) readRecords(ctx context.Context, places []chain.Location) (records [][]byte, err error) {
	for _, place := range places {
		record, err := r.readRecord(ctx, place)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// readRecord reads one record, whatever the position is. It fails with spool.ErrTrimmed if
// the partition no longer has it.
func (r *partitionReader) readRecord(ctx context.Context, place chain.Location) (record []byte, err error) {
	if err := r.slots.acquire(ctx); err != nil {
		return nil, err
	}
	sentAt := r.clock.Now()
	defer func() { r.slots.release(r.clock.Now()-sentAt, err) }()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	page, err := r.store.Read(ctx, spool.ReadRequest{Partition: r.partition, From: place.Offset, MaxBytes: pageBytesOf(place)})
	if err != nil {
		return nil, err
	}
	if len(page.Records) == 0 {
		return nil, errors.Errorf("store returned no record at offset %d", place.Offset)
	}
	return page.Records[0], nil
}

// pageBytesOf returns the size of a page that contains one record. Stores count pages in
// kilobytes.
func pageBytesOf(place chain.Location) int {
	const kilobyte, pageOverhead = 1 << 10, 64
	return (place.Bytes + pageOverhead + kilobyte) / kilobyte * kilobyte
}
