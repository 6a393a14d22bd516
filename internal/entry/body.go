package entry

import (
	"context"
	"io"
	"net"
	"time"
)

// maxQueuedBytes is about one write to the connection.
const maxQueuedBytes = 4096

// eventBody is the body of a streamed answer. The server's goroutine of the
// connection reads it, so that a piece wakes no other goroutine on its way, and
// gets all pieces that are queued at once, so that they share one write.
type eventBody struct {
	entry  *Entry
	conn   net.Conn
	format format
	events <-chan Event
	ended  <-chan ending
	// cancel ends the operation.
	cancel    context.CancelFunc
	heartbeat *time.Ticker
	// queued has been formatted and not been read yet; after over is set, nothing
	// is added to it.
	queued []byte
	over   bool
}

// newEventBody returns a body that begins with head, unless that is nil.
func newEventBody(e *Entry, conn net.Conn, form format, head *Event, events <-chan Event, ended <-chan ending, cancel context.CancelFunc) *eventBody {
	b := &eventBody{
		entry: e, conn: conn, format: form, events: events, ended: ended, cancel: cancel,
		heartbeat: time.NewTicker(e.config.HeartbeatEvery.Duration()),
	}
	if head != nil {
		b.add(*head)
	}
	return b
}

// Read waits for a piece and returns as much as is queued.
func (b *eventBody) Read(into []byte) (int, error) {
	if len(b.queued) == 0 && !b.over {
		b.wait()
	}
	for len(b.events) > 0 && !b.over && len(b.queued) < maxQueuedBytes {
		b.add(<-b.events)
	}
	if len(b.queued) == 0 {
		return 0, io.EOF
	}
	// A caller that reads nothing lets its connection's buffer fill.
	_ = b.conn.SetWriteDeadline(time.Now().Add(b.entry.config.IdleTimeout.Duration()))
	count := copy(into, b.queued)
	b.queued = b.queued[:copy(b.queued, b.queued[count:])]
	return count, nil
}

func (b *eventBody) wait() {
	select {
	case event := <-b.events:
		b.add(event)
	case <-b.heartbeat.C:
		b.queued = append(b.queued, ": heartbeat\n\n"...)
	case end := <-b.ended:
		// Every event was queued before the end.
		for len(b.events) > 0 && !b.over {
			b.add(<-b.events)
		}
		if !b.over {
			b.end(end)
		}
	}
}

// add formats an event. One that the format cannot express ends the answer.
func (b *eventBody) add(event Event) {
	piece, err := b.format.event(event)
	if err != nil {
		b.fail(err)
		return
	}
	b.queued = append(b.queued, piece...)
}

func (b *eventBody) end(end ending) {
	if end.err != nil {
		b.fail(end.err)
		return
	}
	piece, err := b.format.done(end.body)
	if err != nil {
		b.fail(err)
		return
	}
	b.queued, b.over = append(b.queued, piece...), true
}

func (b *eventBody) fail(err error) {
	refusal := asRefusal(err)
	b.entry.telemetry.Refused(refusal.Code)
	b.queued, b.over = append(b.queued, b.format.failed(refusal)...), true
}

// Close ends the operation. The server calls it after the answer, and when the
// caller has left, which shows only when a write fails.
func (b *eventBody) Close() error {
	if !b.over {
		b.over = true
		b.entry.telemetry.Event("callerLeft")
	}
	b.heartbeat.Stop()
	b.cancel()
	return nil
}
