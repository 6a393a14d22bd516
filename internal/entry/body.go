package entry

import (
	"context"
	"io"
	"net"
	"time"
)

// maxBufferedBytes is the amount of buffered data from which eventBody.Read takes
// no further events from the queue. It is about the size of one write to the
// connection.
const maxBufferedBytes = 4096

// eventBody is the response body of a streamed answer. The HTTP server reads it
// on the goroutine of the connection, so that an event needs no further
// goroutine to be written. One Read returns all events that are queued, so that
// they share one write.
type eventBody struct {
	entry   *Entry
	conn    net.Conn
	encoder eventEncoder
	events  <-chan Event
	result  <-chan operationResult
	// cancel cancels the operation.
	cancel    context.CancelFunc
	heartbeat *time.Ticker
	// buffered holds encoded events that have not been read yet. Nothing is
	// appended once done is set.
	buffered []byte
	done     bool
}

// newEventBody returns a body that starts with the event first, unless that is
// nil.
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

// Read waits until there is an event, a heartbeat or the result and copies as
// much as is buffered into p.
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
	// The write deadline closes the connection of a caller that has stopped
	// reading and let the send buffer fill.
	_ = b.conn.SetWriteDeadline(time.Now().Add(b.entry.config.IdleTimeout.Duration()))
	n := copy(p, b.buffered)
	b.buffered = b.buffered[:copy(b.buffered, b.buffered[n:])]
	return n, nil
}

// waitForData blocks until the next event, heartbeat or result and buffers it.
func (b *eventBody) waitForData() {
	select {
	case event := <-b.events:
		b.appendEvent(event)
	case <-b.heartbeat.C:
		b.buffered = append(b.buffered, ": heartbeat\n\n"...)
	case result := <-b.result:
		// All events were sent to the channel before the result.
		for len(b.events) > 0 && !b.done {
			b.appendEvent(<-b.events)
		}
		if !b.done {
			b.appendResult(result)
		}
	}
}

// appendEvent encodes an event. An event that cannot be encoded ends the answer
// with an error.
func (b *eventBody) appendEvent(event Event) {
	encoded, err := b.encoder.encodeEvent(event)
	if err != nil {
		b.appendError(err)
		return
	}
	b.buffered = append(b.buffered, encoded...)
}

// appendResult encodes the end of the answer.
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

// appendError encodes err as a refusal and ends the answer.
func (b *eventBody) appendError(err error) {
	refusal := asRefusal(err)
	b.entry.telemetry.CountRefusal(refusal.Code)
	b.buffered, b.done = append(b.buffered, b.encoder.encodeRefusal(refusal)...), true
}

// Close cancels the operation. The HTTP server calls it after the answer and when
// the caller has disconnected, which it detects only by a failed write.
func (b *eventBody) Close() error {
	if !b.done {
		b.done = true
		b.entry.telemetry.CountEvent("callerLeft")
	}
	b.heartbeat.Stop()
	b.cancel()
	return nil
}
