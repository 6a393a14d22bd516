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
	// callTimeout bounds one call to the store beyond the time that it may wait.
	storeTimeout = 700 * clock.Millis(1)
	// retryPause is the time between two tries of a failed call.
	retryDelay = 150 * clock.Millis(1)
)

// sink takes the records of a keyed topic in.
type sink interface {
	// reset replaces everything by records.
	reset(records []spool.KeyedRecord)
	// change takes one record in; an empty value drops the key.
	apply(record spool.KeyedRecord)
	// confirm says that everything up to a read sent at the given time of the boot
	// clock has been taken in.
	confirm(sentAt clock.Millis)
}

// follower mirrors a topic that keeps the newest record of each key. While the
// store does not answer it asks other gateways for what they have read.
type follower struct {
	store        spool.Store
	topic        spool.Topic
	pollWait     clock.Millis
	pollInterval clock.Millis
	sink         sink
	bootClock    clock.Clock
	log          *zap.Logger
	// relay asks another gateway for the records from an offset on.
	readFromPeer func(ctx context.Context, topic spool.Topic, from int64) (relayReply, error)

	// stretch is the factor by which a large fleet lengthens interval.
	intervalFactor func() clock.Millis
	// nudged holds a request to read at once.
	pollRequested chan struct{}

	mu sync.Mutex
	// records are the newest of each key, dropped keys included.
	records map[string]spool.KeyedRecord
	// base is the offset from which on records holds every key that was dropped.
	tombstonesFrom int64
	// next is the offset after the last record that was taken in; negative at first.
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

// pause waits for the next read, or for nudge.
func (f *follower) waitForNextPoll(ctx context.Context) {
	timer := time.NewTimer((f.pollInterval * f.intervalFactor()).Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.pollRequested:
	case <-ctx.Done():
	}
}

// nudge makes the next read come at once.
func (f *follower) pollNow() { signal(f.pollRequested) }

// signal leaves a signal in a channel that holds one.
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

// step reads once from the store.
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
			f.log.Warn("record without a key is left out", zap.String("topic", string(f.topic)))
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

// load reads the newest record of every key.
func (f *follower) loadSnapshot(ctx context.Context) error {
	sentAt := f.bootClock.Now()
	callCtx, cancel := context.WithTimeout(ctx, (2 * storeTimeout).Duration())
	defer cancel()
	records, end, err := f.store.Newest(callCtx, f.topic)
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

// stepRelayed asks another gateway once.
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
	if reply.Whole {
		f.replaceAll(records, reply.Next, sentAt-reply.Age)
		return
	}
	f.applyRecords(records, reply.Next, sentAt-reply.Age)
}

// answer returns what this gateway has read from an offset on.
func (f *follower) recordsFrom(from int64) (reply relayReply, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next < 0 {
		return reply, false
	}
	reply = relayReply{Next: f.next, Age: f.bootClock.Now() - f.confirmedAt, Whole: from < f.tombstonesFrom}
	for _, record := range f.records {
		if reply.Whole && len(record.Value) > 0 || !reply.Whole && record.Offset >= from {
			reply.Records = append(reply.Records, relayRecord(record))
		}
	}
	return reply, true
}
