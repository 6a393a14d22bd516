package control_test

import (
	"context"
	"sync"
	"time"

	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/keyring"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// fakeLog is an in-memory control stream that can simulate faults.
type fakeLog struct {
	mu          sync.Mutex
	batches     []spool.Batch
	firstOffset spool.Offset
	changed     chan struct{}
	// down makes all requests fail with ErrLogUnavailable. loseAppends is the number
	// of next appends that have no effect, and loseAnswers the number of appends after
	// them that take effect; all of these report ErrOutcomeUnknown.
	down        bool
	loseAnswers int
	loseAppends int
	reads       int
}

func newFakeLog() *fakeLog { return &fakeLog{firstOffset: 1, changed: make(chan struct{})} }

func (l *fakeLog) Append(_ context.Context, _ spool.Stream, batch spool.Batch) (spool.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, spool.ErrLogUnavailable
	}
	if l.loseAppends > 0 {
		l.loseAppends--
		return 0, spool.ErrOutcomeUnknown
	}
	batch.Offset = l.firstOffset + spool.Offset(len(l.batches))
	l.batches = append(l.batches, batch)
	close(l.changed)
	l.changed = make(chan struct{})
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return 0, spool.ErrOutcomeUnknown
	}
	return batch.Offset, nil
}

func (l *fakeLog) Read(ctx context.Context, _ spool.Stream, after spool.Offset, wait clock.Millis) (spool.Page, error) {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	for expired := wait == 0; ; {
		l.mu.Lock()
		l.reads++
		changed := l.changed
		page, err := l.page(after)
		l.mu.Unlock()
		if err != nil || len(page.Batches) > 0 || expired {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return page, spool.ErrLogUnavailable
		}
	}
}

func (l *fakeLog) page(after spool.Offset) (spool.Page, error) {
	page := spool.Page{First: l.firstOffset, Last: l.firstOffset + spool.Offset(len(l.batches)) - 1}
	if l.down {
		return spool.Page{}, spool.ErrLogUnavailable
	}
	if after+1 < l.firstOffset {
		return page, spool.ErrTrimmed
	}
	if after < page.Last {
		from := int(after + 1 - l.firstOffset)
		page.Batches = append(page.Batches, l.batches[from:min(len(l.batches), from+100)]...)
	}
	return page, nil
}

// trim removes the batches up to and including offset through, like the retention of
// the log.
func (l *fakeLog) trim(through spool.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.batches = append([]spool.Batch(nil), l.batches[through+1-l.firstOffset:]...)
	l.firstOffset = through + 1
}

// configure calls set with the lock held.
func (l *fakeLog) configure(set func(*fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	set(l)
}

func (l *fakeLog) appendedBatches() []spool.Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]spool.Batch(nil), l.batches...)
}

// publish appends contents as one batch, with the offset of the last batch as their
// base, and returns the offset of the new batch.
func (l *fakeLog) publish(id string, contents ...any) spool.Offset {
	l.mu.Lock()
	base := l.firstOffset + spool.Offset(len(l.batches)) - 1
	l.mu.Unlock()
	offset, err := l.Append(context.Background(), spool.ControlStream, newBatch(id, base, contents...))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return offset
}

// newBatch returns a batch of contents, each with the given base. A content that is
// already a spool.Record is included unchanged.
func newBatch(id string, base spool.Offset, contents ...any) spool.Batch {
	batch := spool.Batch{ID: id, Writer: "operator"}
	for _, content := range contents {
		switch typed := content.(type) {
		case settings.Change:
			typed.Base, content = base, typed
			content = typed
		case keyring.StoredKey:
			typed.Base = base
			content = typed
		case control.Account:
			typed.Base = base
			content = typed
		case control.Service:
			typed.Base = base
			content = typed
		case control.Order:
			typed.Base = base
			content = typed
		case spool.Record:
			batch.Records = append(batch.Records, typed)
			continue
		}
		record, err := control.NewRecord(content)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		batch.Records = append(batch.Records, record)
	}
	return batch
}

// settingChange returns a change with base 0 that sets the setting at path to value,
// which is JSON.
func settingChange(path, value string) settings.Change {
	parsed, err := settings.ParsePath(path)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return settings.Change{Path: parsed, Value: []byte(value)}
}
