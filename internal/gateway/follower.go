package gateway

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// storeTimeout bounds one call to the store. For a read that waits for new records,
	// the waiting time is added to it.
	storeTimeout = 700 * clock.Millis(1)
	// retryDelay is the delay after a failed call before the call is repeated.
	retryDelay = 150 * clock.Millis(1)
)

// sink receives the records that a follower has read from a keyed topic.
type sink interface {
	// reset replaces the state of the sink by records, which hold the newest record of
	// every key.
	reset(records []spool.KeyedRecord)
	// apply applies one record; an empty value deletes the key.
	apply(record spool.KeyedRecord)
	// confirm tells the sink that it has received every record that was in the topic at
	// sentAt, a time of the boot clock.
	confirm(sentAt clock.Millis)
}

// follower keeps a copy of a topic that retains the newest record of each key, and
// passes new records to a sink. When a read of the store fails, it asks another gateway
// for the records that that gateway has read.
type follower struct {
	store spool.Store
	topic spool.Topic
	// pollWait is how long a read of the store waits for a new record; 0 to return at
	// once. pollInterval is the base time between two reads.
	pollWait     clock.Millis
	pollInterval clock.Millis
	sink         sink
	bootClock    clock.Clock
	log          *zap.Logger
	// readFromPeer asks another gateway for the records from the offset from on.
	readFromPeer func(ctx context.Context, topic spool.Topic, from int64) (relayReply, error)

	// intervalFactor returns the factor, at least 1, that multiplies pollInterval. It
	// grows with the number of gateways.
	intervalFactor func() clock.Millis
	// pollRequested has capacity 1. A pending signal starts the next read without
	// waiting for the poll interval.
	pollRequested chan struct{}

	mu sync.Mutex
	// records holds the newest record of each key. A deleted key keeps its record,
	// whose value is empty, until the next snapshot.
	records map[string]spool.KeyedRecord
	// tombstonesFrom is the offset from which on records includes every deletion. A
	// peer that asks for records from an earlier offset gets all records instead of the
	// changes.
	tombstonesFrom int64
	// next is the offset after the last record that was applied; -1 before the first
	// read.
	next int64
	// confirmedAt is the time at which the newest read of the store whose result
	// records now contains was sent, by this gateway or another.
	confirmedAt clock.Millis
}

// run reads the topic until ctx ends: from the store, or from another gateway after a
// read of the store has failed.
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

// waitForNextPoll waits until the poll interval has passed, pollNow is called or ctx
// ends.
func (f *follower) waitForNextPoll(ctx context.Context) {
	timer := time.NewTimer((f.pollInterval * f.intervalFactor()).Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.pollRequested:
	case <-ctx.Done():
	}
}

// pollNow makes the next read start without waiting for the poll interval. A read that
// is in progress is not interrupted.
func (f *follower) pollNow() { signal(f.pollRequested) }

// signal sends to ch, or does nothing if that would block. ch has capacity 1, so a
// signal that nobody receives yet stays pending.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// position returns the offset after the last record that was applied; -1 before the
// first read.
func (f *follower) position() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// poll reads the new records from the store and applies them. It loads a snapshot
// instead before the first read, if the offset to read from was trimmed, or if the
// topic ends before it.
func (f *follower) poll(ctx context.Context) error {
	next := f.position()
	if next < 0 {
		return f.loadSnapshot(ctx)
	}
	sentAt := f.bootClock.Now()
	callCtx, cancel := context.WithTimeout(ctx, (f.pollWait + storeTimeout).Duration())
	defer cancel()
	page, err := f.store.Read(callCtx, spool.ReadRequest{Partition: spool.Partition{Topic: f.topic}, From: next, Wait: f.pollWait})
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

// decode splits the records of a page into keys and values. It ignores records without
// a key.
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

// applyRecords adds changes to the copy and passes them to the sink. sentAt is when the
// read of the store that returned them was sent.
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

// ignorePanickingRecord ends the handling of a record that panicked. It must be deferred.
// The record is ignored like a malformed one: every gateway reads it, so that it would end
// all of them.
func ignorePanickingRecord(log *zap.Logger, record spool.KeyedRecord) {
	if cause := recover(); cause != nil {
		log.Error("record was ignored after a panic", zap.String("key", record.Key), zap.Int64("offset", record.Offset), zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
	}
}

// loadSnapshot reads the newest record of every key from the store and replaces the
// copy.
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

// replaceAll replaces the copy and the state of the sink. Deletions before next are
// then no longer known.
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

// pollPeer reads once from another gateway. It ignores the answer of a gateway that has
// read less than this one.
func (f *follower) pollPeer(ctx context.Context) {
	next := f.position()
	sentAt := f.bootClock.Now()
	reply, err := f.readFromPeer(ctx, f.topic, next)
	if err != nil || reply.Next < next {
		return
	}
	if len(reply.Records) > 0 {
		f.log.Info("records came from another gateway", zap.String("topic", string(f.topic)), zap.Int("records", len(reply.Records)),
			zap.Int64("from", next), zap.Int64("next", reply.Next), zap.Int64("ageMs", int64(reply.Age)))
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

// recordsFrom returns the records with an offset of at least from, or all records that
// are not deleted if some deletions since from are not known. ok is false before the
// first read.
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
