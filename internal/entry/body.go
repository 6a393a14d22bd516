package entry

import (
	"context"
	"io"
	"net"
	"time"
)

// maxQueuedBytes is about one write to the connection.
const maxBufferedBytes = 4096

// eventBody is the body of a streamed answer. The server's goroutine of the
// connection reads it, so that a piece wakes no other goroutine on its way, and
// gets all pieces that are queued at once, so that they share one write.
type eventBody struct {
	entry   *Entry
	conn    net.Conn
	encoder eventEncoder
	events  <-chan Event
	result  <-chan operationResult
	// cancel ends the operation.
	cancel    context.CancelFunc
	heartbeat *time.Ticker
	// queued has been formatted and not been read yet; after over is set, nothing
	// is added to it.
	buffered []byte
	done     bool
}

// newEventBody returns a body that begins with head, unless that is nil.
func newEventBody(e *Entry, conn net.Conn, encoder eventEncoder, first *Event, events <-chan Event, result <-chan operationResult, cancel context.CancelFunc) *eventBody {
	b := &eventBody{
		entry: e, conn: conn, encoder: encoder, events: events, result: result, cancel: cancel,
		heartbeat: time.NewTicker(e.config.HeartbeatEvery.Duration()),
	}
	if first != nil {
		b.appendEvent(*first)
	}
	return b
}

// Read waits for a piece and returns as much as is queued.
func (b *eventBody) Read(p []byte) (int, error) {
	if len(b.buffered) == 0 && !b.done {
		b.waitForData()
	}
	for len(b.events) > 0 && !b.done && len(b.buffered) < maxBufferedBytes {
		b.appendEvent(<-b.events)
	}
	if len(b.buffered) == 0 {
		return 0, io.EOF
	}
	// A caller that reads nothing lets its connection's buffer fill.
	_ = b.conn.SetWriteDeadline(time.Now().Add(b.entry.config.IdleTimeout.Duration()))
	n := copy(p, b.buffered)
	b.buffered = b.buffered[:copy(b.buffered, b.buffered[n:])]
	return n, nil
}

func (b *eventBody) waitForData() {
	select {
	case event := <-b.events:
		b.appendEvent(event)
	case <-b.heartbeat.C:
		b.buffered = append(b.buffered, ": heartbeat\n\n"...)
	case result := <-b.result:
		// Every event was queued before the end.
		for len(b.events) > 0 && !b.done {
			b.appendEvent(<-b.events)
		}
		if !b.done {
			b.appendResult(result)
		}
	}
}

// add formats an event. One that the format cannot express ends the answer.
func (b *eventBody) appendEvent(event Event) {
	encoded, err := b.encoder.encodeEvent(event)
	if err != nil {
		b.appendError(err)
		return
	}
	b.buffered = append(b.buffered, encoded...)
}

func (b *eventBody) appendResult(result operationResult) {
	if result.err != nil {
		b.appendError(result.err)
		return
	}
	encoded, err := b.encoder.encodeResult(result.body)
	if err != nil {
		b.appendError(err)
		return
	}
	b.buffered, b.done = append(b.buffered, encoded...), true
}

func (b *eventBody) appendError(err error) {
	refusal := asRefusal(err)
	b.entry.telemetry.Refused(refusal.Code)
	b.buffered, b.done = append(b.buffered, b.encoder.encodeRefusal(refusal)...), true
}

// Close ends the operation. The server calls it after the answer, and when the
// caller has left, which shows only when a write fails.
func (b *eventBody) Close() error {
	if !b.done {
		b.done = true
		b.entry.telemetry.Event("callerLeft")
	}
	b.heartbeat.Stop()
	b.cancel()
	return nil
}
