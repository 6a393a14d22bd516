package gateway

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// hedge runs alternative attempts at the same call, and overlaps them when one is slow.
// It is safe for concurrent use.
type hedge struct {
	// delay is how long the attempts may take before the next one starts beside them. If
	// it is 0, the next one starts only after a failure.
	delay clock.Millis
	// isFinal reports whether the result of an attempt is the result of the call. Other
	// results start the next attempt.
	isFinal func(error) bool
	// slots bounds the attempts that run because others are slow; nil for no bound.
	slots *semaphore.Weighted
}

// hedgeOption changes a hedge during newHedge.
type hedgeOption func(*hedge)

// withMaxHedged bounds the attempts that start because others are slow, over all calls.
// A call that finds no room waits for its running attempts.
func withMaxHedged(count int64) hedgeOption {
	return func(h *hedge) { h.slots = semaphore.NewWeighted(count) }
}

func newHedge(delay clock.Millis, isFinal func(error) bool, options ...hedgeOption) *hedge {
	h := &hedge{delay: delay, isFinal: isFinal}
	for _, option := range options {
		option(h)
	}
	return h
}

// run starts the first attempt, and the next one whenever one has failed or another delay
// has passed. It returns the first final result, the last result when all attempts have
// ended, or the cause of ctx when that ends. Attempts that still run are not stopped;
// they should observe ctx.
func (h *hedge) run(ctx context.Context, attempts ...func() error) error {
	return h.runWithProgress(ctx, nil, attempts...)
}

// runWithProgress is run, except that a value on progress starts the delay anew: a running
// attempt proceeds, though it has no result yet.
func (h *hedge) runWithProgress(ctx context.Context, progress <-chan struct{}, attempts ...func() error) error {
	results := make(chan error, len(attempts))
	started, ended := 0, 0
	start := func(done func()) {
		attempt := attempts[started]
		started++
		go func() {
			defer done()
			results <- attempt()
		}()
	}
	start(func() {})
	var overdue <-chan time.Time
	restartDelay := func() {}
	if h.delay > 0 {
		ticker := time.NewTicker(h.delay.Duration())
		defer ticker.Stop()
		overdue = ticker.C
		restartDelay = func() { ticker.Reset(h.delay.Duration()) }
	}
	for {
		select {
		case err := <-results:
			ended++
			if h.isFinal(err) || ended == len(attempts) {
				return err
			}
			if started < len(attempts) {
				start(func() {})
			}
		case <-progress:
			restartDelay()
		case <-overdue:
			if started == len(attempts) {
				continue
			}
			if release, ok := h.acquire(); ok {
				start(release)
			}
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// acquire takes a slot for an attempt that starts because others are slow. ok is false
// if there is none; otherwise release returns it.
func (h *hedge) acquire() (release func(), ok bool) {
	if h.slots == nil {
		return func() {}, true
	}
	return func() { h.slots.Release(1) }, h.slots.TryAcquire(1)
}
