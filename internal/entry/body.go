package entry

import (
	"context"
	"io"
	"net"
	"time"
)

// maxBufferedBytes limits the encoded data that eventBody.Read collects: with this
// many bytes or more buffered, Read takes no further events from the channel. It is
// about the size of one write to the connection.
const maxBufferedBytes = 4096

// eventBody is the response body of a streamed answer. The HTTP server reads it on
// the goroutine of the connection, so writing events needs no additional goroutine.
// One Read returns several queued events, up to about maxBufferedBytes, so that
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
	// buffered holds encoded events that have not been read yet. done is true once
	// the end of the answer is in buffered or the body is closed; nothing is
	// appended after that.
	buffered []byte
	done     bool
}

// newEventBody returns a body that starts with the event first, if first is not
// nil, and continues with those from events.
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

// Read copies buffered data into p. If nothing is buffered, it first waits for an
// event, a heartbeat or the result. It returns io.EOF after the end of the answer.
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
	// If the caller has stopped reading, the send buffer fills up and the next
	// write blocks until this deadline, which ends the connection.
	_ = b.conn.SetWriteDeadline(time.Now().Add(b.entry.config.IdleTimeout.Duration()))
	n := copy(p, b.buffered)
	b.buffered = b.buffered[:copy(b.buffered, b.buffered[n:])]
	return n, nil
}

// waitForData blocks until there is an event, a heartbeat or the result, and
// appends its encoding to b.buffered.
func (b *eventBody) waitForData() {
	select {
	case event := <-b.events:
		b.appendEvent(event)
	case <-b.heartbeat.C:
		b.buffered = append(b.buffered, ": heartbeat\n\n"...)
	case result := <-b.result:
		// All events were sent before the result, but select picks at random, so
		// some may still be in the channel.
		for len(b.events) > 0 && !b.done {
			b.appendEvent(<-b.events)
		}
		if !b.done {
			b.appendResult(result)
		}
	}
}

// appendEvent appends an encoded event to b.buffered. If the encoder returns an
// error, the answer ends with a refusal.
func (b *eventBody) appendEvent(event Event) {
	encoded, err := b.encoder.encodeEvent(event)
	if err != nil {
		b.appendError(err)
		return
	}
	b.buffered = append(b.buffered, encoded...)
}

// appendResult appends the encoded end of the answer, or a refusal if the operation
// failed, to b.buffered.
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

// appendError appends err, encoded as a refusal, to b.buffered, ends the answer and
// counts the refusal.
func (b *eventBody) appendError(err error) {
	refusal := asRefusal(err)
	b.entry.telemetry.CountRefusal(refusal.Code)
	b.buffered, b.done = append(b.buffered, b.encoder.encodeRefusal(refusal)...), true
}

// Close cancels the operation. The HTTP server calls it after the end of the answer
// and when a write to the caller fails; only a failed write shows that the caller
// has disconnected. If the answer is incomplete, Close counts the event callerLeft.
func (b *eventBody) Close() error {
	if !b.done {
		b.done = true
		b.entry.telemetry.CountEvent("callerLeft")
	}
	b.heartbeat.Stop()
	b.cancel()
	return nil
}
