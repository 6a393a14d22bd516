package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// storeTimeout bounds one call to the store, in addition to the time for which a
	// read may wait for records.
	storeTimeout = 700 * clock.Millis(1)
	// retryDelay is the delay before a failed call is retried.
	retryDelay = 150 * clock.Millis(1)
)

// sink consumes the records of a keyed topic.
type sink interface {
	// reset replaces all state by the given records.
	reset(records []spool.KeyedRecord)
	// apply applies one record; an empty value deletes the key.
	apply(record spool.KeyedRecord)
	// confirm reports that the sink is up to date as of a read that was sent at the
	// given time of the boot clock.
	confirm(sentAt clock.Millis)
}

// follower mirrors a topic that retains the newest record of each key. While the store
// is unavailable, it reads from the mirrors of other gateways.
type follower struct {
	store        spool.Store
	topic        spool.Topic
	pollWait     clock.Millis
	pollInterval clock.Millis
	sink         sink
	bootClock    clock.Clock
	log          *zap.Logger
	// readFromPeer asks another gateway for the records from an offset on.
	readFromPeer func(ctx context.Context, topic spool.Topic, from int64) (relayReply, error)

	// intervalFactor returns the factor by which a large number of gateways lengthens
	// pollInterval.
	intervalFactor func() clock.Millis
	// pollRequested holds a request to poll at once.
	pollRequested chan struct{}

	mu sync.Mutex
	// records holds the newest record of each key, including deletions.
	records map[string]spool.KeyedRecord
	// tombstonesFrom is the offset from which on records includes every deletion. A
	// peer that asks for records from before it needs all records.
	tombstonesFrom int64
	// next is the offset after the last record that was applied; negative before the
	// first read.
	next int64
	// confirmedAt is when the last successful read was sent.
	confirmedAt clock.Millis
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.poll(ctx)
		if err == nil {
			f.waitForNextPoll(ctx)
			continue
		}
		f.pollPeer(ctx)
		clock.Pause(ctx, retryDelay)
	}
}

// waitForNextPoll waits for the poll interval or for pollNow.
func (f *follower) waitForNextPoll(ctx context.Context) {
	timer := time.NewTimer((f.pollInterval * f.intervalFactor()).Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.pollRequested:
	case <-ctx.Done():
	}
}

// pollNow starts the next poll at once.
func (f *follower) pollNow() { signal(f.pollRequested) }

// signal sends to ch without blocking. One signal stays pending in a channel of
// capacity 1.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (f *follower) position() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// poll reads once from the store.
func (f *follower) poll(ctx context.Context) error {
	next := f.position()
	if next < 0 {
		return f.loadSnapshot(ctx)
	}
	sentAt := f.bootClock.Now()
	callCtx, cancel := context.WithTimeout(ctx, (f.pollWait + storeTimeout).Duration())
	defer cancel()
	page, err := f.store.Read(callCtx, spool.Partition{Topic: f.topic}, next, f.pollWait)
	switch {
	case errors.Is(err, spool.ErrTrimmed), err == nil && page.End < next:
		f.log.Warn("log was trimmed and is read anew", zap.String("topic", string(f.topic)), zap.Int64("next", next))
		return f.loadSnapshot(ctx)
	case err != nil:
		return err
	}
	f.applyRecords(f.decode(page, next), next+int64(len(page.Records)), sentAt)
	return nil
}

func (f *follower) decode(page spool.LogPage, from int64) (records []spool.KeyedRecord) {
	for i, raw := range page.Records {
		key, value, ok := f.store.SplitKeyed(raw)
		if !ok {
			f.log.Warn("record without a key was ignored", zap.String("topic", string(f.topic)))
			continue
		}
		records = append(records, spool.KeyedRecord{Key: key, Value: value, Offset: from + int64(i)})
	}
	return records
}

func (f *follower) applyRecords(records []spool.KeyedRecord, next int64, sentAt clock.Millis) {
	f.mu.Lock()
	for _, record := range records {
		f.records[record.Key] = record
	}
	f.next = max(f.next, next)
	f.confirmedAt = max(f.confirmedAt, sentAt)
	f.mu.Unlock()
	for _, record := range records {
		f.sink.apply(record)
	}
	f.sink.confirm(sentAt)
}

// loadSnapshot reads the newest record of every key.
func (f *follower) loadSnapshot(ctx context.Context) error {
	sentAt := f.bootClock.Now()
	callCtx, cancel := context.WithTimeout(ctx, (2 * storeTimeout).Duration())
	defer cancel()
	records, end, err := f.store.LatestByKey(callCtx, f.topic)
	if err != nil {
		return err
	}
	f.replaceAll(records, end, sentAt)
	return nil
}

func (f *follower) replaceAll(records []spool.KeyedRecord, next int64, sentAt clock.Millis) {
	f.mu.Lock()
	f.records = map[string]spool.KeyedRecord{}
	for _, record := range records {
		f.records[record.Key] = record
	}
	f.tombstonesFrom, f.next = next, next
	f.confirmedAt = max(f.confirmedAt, sentAt)
	f.mu.Unlock()
	f.sink.reset(records)
	f.sink.confirm(sentAt)
}

// pollPeer reads once from another gateway.
func (f *follower) pollPeer(ctx context.Context) {
	next := f.position()
	sentAt := f.bootClock.Now()
	reply, err := f.readFromPeer(ctx, f.topic, next)
	if err != nil || reply.Next < next {
		return
	}
	records := make([]spool.KeyedRecord, 0, len(reply.Records))
	for _, record := range reply.Records {
		records = append(records, spool.KeyedRecord(record))
	}
	if reply.Complete {
		f.replaceAll(records, reply.Next, sentAt-reply.Age)
		return
	}
	f.applyRecords(records, reply.Next, sentAt-reply.Age)
}

// recordsFrom returns the records that this gateway has read from an offset on. ok is
// false before the first read.
func (f *follower) recordsFrom(from int64) (reply relayReply, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next < 0 {
		return reply, false
	}
	reply = relayReply{Next: f.next, Age: f.bootClock.Now() - f.confirmedAt, Complete: from < f.tombstonesFrom}
	for _, record := range f.records {
		if reply.Complete && len(record.Value) > 0 || !reply.Complete && record.Offset >= from {
			reply.Records = append(reply.Records, relayRecord(record))
		}
	}
	return reply, true
}
