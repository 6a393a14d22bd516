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
	callTimeout = 700 * clock.Millis(1)
	// retryPause is the time between two tries of a failed call.
	retryPause = 150 * clock.Millis(1)
)

// sink takes the records of a keyed topic in.
type sink interface {
	// reset replaces everything by records.
	reset(records []spool.KeyedRecord)
	// change takes one record in; an empty value drops the key.
	change(record spool.KeyedRecord)
	// confirm says that everything up to a read sent at the given time of the boot
	// clock has been taken in.
	confirm(sentAt clock.Millis)
}

// follower mirrors a topic that keeps the newest record of each key. While the
// store does not answer it asks other gateways for what they have read.
type follower struct {
	store    spool.Store
	topic    spool.Topic
	wait     clock.Millis
	interval clock.Millis
	sink     sink
	boot     clock.Clock
	log      *zap.Logger
	// relay asks another gateway for the records from an offset on.
	relay func(ctx context.Context, topic spool.Topic, from int64) (relayReply, error)

	// stretch is the factor by which a large fleet lengthens interval.
	stretch func() clock.Millis
	// nudged holds a request to read at once.
	nudged chan struct{}

	mu sync.Mutex
	// records are the newest of each key, dropped keys included.
	records map[string]spool.KeyedRecord
	// base is the offset from which on records holds every key that was dropped.
	base int64
	// next is the offset after the last record that was taken in; negative at first.
	next int64
	// confirmedAt is when the last successful read was sent.
	confirmedAt clock.Millis
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			f.pause(ctx)
			continue
		}
		f.stepRelayed(ctx)
		clock.Pause(ctx, retryPause)
	}
}

// pause waits for the next read, or for nudge.
func (f *follower) pause(ctx context.Context) {
	timer := time.NewTimer((f.interval * f.stretch()).Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.nudged:
	case <-ctx.Done():
	}
}

// nudge makes the next read come at once.
func (f *follower) nudge() { signal(f.nudged) }

// signal leaves a signal in a channel that holds one.
func signal(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

func (f *follower) position() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// step reads once from the store.
func (f *follower) step(ctx context.Context) error {
	next := f.position()
	if next < 0 {
		return f.load(ctx)
	}
	sentAt := f.boot.Now()
	callCtx, cancel := context.WithTimeout(ctx, (f.wait + callTimeout).Duration())
	defer cancel()
	page, err := f.store.Read(callCtx, spool.Partition{Topic: f.topic}, next, f.wait)
	switch {
	case errors.Is(err, spool.ErrTrimmed), err == nil && page.End < next:
		f.log.Warn("log was trimmed and is read anew", zap.String("topic", string(f.topic)), zap.Int64("next", next))
		return f.load(ctx)
	case err != nil:
		return err
	}
	f.takeIn(f.decode(page, next), next+int64(len(page.Records)), sentAt)
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

func (f *follower) takeIn(records []spool.KeyedRecord, next int64, sentAt clock.Millis) {
	f.mu.Lock()
	for _, record := range records {
		f.records[record.Key] = record
	}
	f.next = max(f.next, next)
	f.confirmedAt = max(f.confirmedAt, sentAt)
	f.mu.Unlock()
	for _, record := range records {
		f.sink.change(record)
	}
	f.sink.confirm(sentAt)
}

// load reads the newest record of every key.
func (f *follower) load(ctx context.Context) error {
	sentAt := f.boot.Now()
	callCtx, cancel := context.WithTimeout(ctx, (2 * callTimeout).Duration())
	defer cancel()
	records, end, err := f.store.Newest(callCtx, f.topic)
	if err != nil {
		return err
	}
	f.replace(records, end, sentAt)
	return nil
}

func (f *follower) replace(records []spool.KeyedRecord, next int64, sentAt clock.Millis) {
	f.mu.Lock()
	f.records = map[string]spool.KeyedRecord{}
	for _, record := range records {
		f.records[record.Key] = record
	}
	f.base, f.next = next, next
	f.confirmedAt = max(f.confirmedAt, sentAt)
	f.mu.Unlock()
	f.sink.reset(records)
	f.sink.confirm(sentAt)
}

// stepRelayed asks another gateway once.
func (f *follower) stepRelayed(ctx context.Context) {
	next := f.position()
	sentAt := f.boot.Now()
	reply, err := f.relay(ctx, f.topic, next)
	if err != nil || reply.Next < next {
		return
	}
	records := make([]spool.KeyedRecord, 0, len(reply.Records))
	for _, record := range reply.Records {
		records = append(records, spool.KeyedRecord(record))
	}
	if reply.Whole {
		f.replace(records, reply.Next, sentAt-reply.Age)
		return
	}
	f.takeIn(records, reply.Next, sentAt-reply.Age)
}

// answer returns what this gateway has read from an offset on.
func (f *follower) answer(from int64) (reply relayReply, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next < 0 {
		return reply, false
	}
	reply = relayReply{Next: f.next, Age: f.boot.Now() - f.confirmedAt, Whole: from < f.base}
	for _, record := range f.records {
		if reply.Whole && len(record.Value) > 0 || !reply.Whole && record.Offset >= from {
			reply.Records = append(reply.Records, relayRecord(record))
		}
	}
	return reply, true
}
