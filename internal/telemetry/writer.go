package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// logBuffer is the number of bytes that wait to be written; what comes beyond is
	// dropped and counted.
	maxPendingBytes = 256 << 10
	// logFlush is the time between two writes. Writing many lines at once costs one
	// system call.
	flushDelay = 100 * time.Millisecond
)

// BoundedWriter passes lines on in the background. Write never blocks, also when
// nobody reads: lines that find no room are dropped, and their number is written
// when there is room again.
type BoundedWriter struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	dropped int
	// timer is set while a flush is due.
	flushScheduled bool
	// writing is locked during a write to out.
	outMu sync.Mutex
}

// NewBoundedWriter returns a writer in front of out.
func NewBoundedWriter(out io.Writer) *BoundedWriter { return &BoundedWriter{out: out} }

// Write takes one line.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPendingBytes {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 {
		w.pending = fmt.Appendf(w.pending, `{"level":"warn","msg":"[log] lines were dropped","count":%d}`+"\n", w.dropped)
		w.dropped = 0
	}
	w.pending = append(w.pending, line...)
	if !w.flushScheduled {
		w.flushScheduled = true
		time.AfterFunc(flushDelay, w.flush)
	}
	return len(line), nil
}

// Sync writes what waits.
func (w *BoundedWriter) Sync() error {
	w.flush()
	return nil
}

func (w *BoundedWriter) flush() {
	w.outMu.Lock()
	defer w.outMu.Unlock()
	w.mu.Lock()
	lines := w.pending
	w.pending, w.flushScheduled = nil, false
	w.mu.Unlock()
	if len(lines) > 0 {
		// There is nowhere to report a failed write of the log.
		_, _ = w.out.Write(lines)
	}
}
