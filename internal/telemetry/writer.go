package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes bounds the buffered bytes. Lines that do not fit are dropped and
	// counted.
	maxPendingBytes = 256 << 10
	// flushDelay is the time from the first buffered line to the write. Many lines
	// are written with one system call.
	flushDelay = 100 * time.Millisecond
)

// BoundedWriter buffers lines and writes them in the background. Write never waits
// for the output, so the process goes on if nobody reads it. Lines that do not fit
// into the buffer are dropped, and their number is written once there is space again.
type BoundedWriter struct {
	out io.Writer

	// mu guards pending, dropped and flushScheduled.
	mu      sync.Mutex
	pending []byte
	dropped int
	// flushScheduled is true while a timer for a flush runs.
	flushScheduled bool
	// outMu serializes the writes to out, which keeps the lines in order.
	outMu sync.Mutex
}

// NewBoundedWriter returns a writer that buffers lines for out.
func NewBoundedWriter(out io.Writer) *BoundedWriter { return &BoundedWriter{out: out} }

// Write buffers one line or drops it. It never returns an error.
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

// Sync writes the buffered lines. It blocks until out has taken them and never
// returns an error.
func (w *BoundedWriter) Sync() error {
	w.flush()
	return nil
}

// flush writes the buffered lines to out.
func (w *BoundedWriter) flush() {
	w.outMu.Lock()
	defer w.outMu.Unlock()
	w.mu.Lock()
	lines := w.pending
	w.pending, w.flushScheduled = nil, false
	w.mu.Unlock()
	if len(lines) > 0 {
		// A failed write of the log cannot be reported anywhere.
		_, _ = w.out.Write(lines)
	}
}
