package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// eventQueue lets an engine run a few chunks ahead of a slow caller.
const eventQueue = 16

// format turns the events of an answer into server-sent events.
type format interface {
	// event formats a piece of the answer.
	event(Event) ([]byte, error)
	// done formats the end of the answer.
	done(body json.RawMessage) ([]byte, error)
	// failed formats a refusal after the first piece.
	failed(*spool.Refusal) []byte
}

// ending is the end of a streamed operation.
type ending struct {
	body json.RawMessage
	err  error
}

// follow starts an operation whose events are read from a channel.
func (e *Entry) follow(ctx context.Context, operation Operation, after func()) (<-chan Event, <-chan ending) {
	events := make(chan Event, eventQueue)
	ended := make(chan ending, 1)
	e.callers.Submit(func() {
		defer after()
		body, err := e.execute(ctx, operation, func(event Event) error {
			select {
			case events <- event:
				return nil
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		})
		ended <- ending{body: body, err: err}
	})
	return events, ended
}

// stream answers with server-sent events. A refusal that comes before the
// first piece, within one heartbeat, is answered with its own status.
func (e *Entry) stream(request *callerRequest, operation Operation, form format, hooks ...func()) (streams bool, err error) {
	ctx, cancel := e.whileKeyIsValid(e.ctx, request.keyID)
	leave := request.leave
	events, ended := e.follow(ctx, operation, func() {
		for _, hook := range hooks {
			hook()
		}
		leave()
	})
	heartbeat := time.NewTimer(e.config.HeartbeatEvery.Duration())
	defer heartbeat.Stop()
	var head *Event
	select {
	case event := <-events:
		head = &event
	case end := <-ended:
		if end.err != nil {
			cancel()
			return true, end.err
		}
		// The events that came with the end are still in the channel.
		ended = again(end)
	case <-heartbeat.C:
	}
	request.ctx.SetContentType("text/event-stream")
	request.ctx.Response.Header.Set("Cache-Control", "no-store")
	request.ctx.SetBodyStream(newEventBody(e, request.ctx.Conn(), form, head, events, ended, cancel), -1)
	return true, nil
}

func again(end ending) <-chan ending {
	ended := make(chan ending, 1)
	ended <- end
	return ended
}

// nativeFormat is that of /v1/programs/{id}/calls.
type nativeFormat struct{}

func (nativeFormat) event(event Event) ([]byte, error) {
	if event.Restart {
		return named("restart", event), nil
	}
	return named("text", event), nil
}

func (nativeFormat) done(body json.RawMessage) ([]byte, error) { return named("done", body), nil }

func (nativeFormat) failed(refusal *spool.Refusal) []byte { return named("error", bodyOf(refusal)) }

func named(name string, data any) []byte {
	body, _ := json.Marshal(data)
	return append(append([]byte("event: "+name+"\ndata: "), body...), "\n\n"...)
}
