package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes bounds the bytes that wait to be written. A line that would exceed
	// it is dropped and counted.
	maxPendingBytes = 256 << 10
	// flushDelay is the time from the first buffered line to the write. The lines that
	// arrive in between are written with the same system call.
	flushDelay = 100 * time.Millisecond
)

// BoundedWriter buffers log lines and writes them in the background. Write never waits
// for the output, so a stalled reader of the output does not block the process. Lines
// that do not fit into the buffer are dropped. The number of dropped lines is written
// in front of the next line that fits. It is safe for concurrent use.
type BoundedWriter struct {
	out io.Writer

	// mu guards pending, dropped and flushScheduled.
	mu      sync.Mutex
	pending []byte
	// dropped is the number of lines dropped since the last buffered line.
	dropped int
	// flushScheduled is true from the start of a flush timer until flush takes the
	// buffered lines.
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

// Sync writes the buffered lines to the output and blocks until they are written. It
// always returns nil.
func (w *BoundedWriter) Sync() error {
	w.flush()
	return nil
}

// flush writes the buffered lines to out. It does not hold mu during the write, so Write
// can go on buffering.
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
