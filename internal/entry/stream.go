package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// eventQueue lets an engine run a few chunks ahead of a slow caller.
const eventBufferSize = 16

// format turns the events of an answer into server-sent events.
type eventEncoder interface {
	// event formats a piece of the answer.
	encodeEvent(Event) ([]byte, error)
	// done formats the end of the answer.
	encodeResult(body json.RawMessage) ([]byte, error)
	// failed formats a refusal after the first piece.
	encodeRefusal(*spool.Refusal) []byte
}

// ending is the end of a streamed operation.
type operationResult struct {
	body json.RawMessage
	err  error
}

// follow starts an operation whose events are read from a channel.
func (e *Entry) startStreaming(ctx context.Context, operation Operation, after func()) (<-chan Event, <-chan operationResult) {
	events := make(chan Event, eventBufferSize)
	result := make(chan operationResult, 1)
	e.callerPool.Submit(func() {
		defer after()
		body, err := e.execute(ctx, operation, func(event Event) error {
			select {
			case events <- event:
				return nil
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		})
		result <- operationResult{body: body, err: err}
	})
	return events, result
}

// stream answers with server-sent events. A refusal that comes before the
// first piece, within one heartbeat, is answered with its own status.
func (e *Entry) respondWithStream(request *callerRequest, operation Operation, encoder eventEncoder, hooks ...func()) (streaming bool, err error) {
	ctx, cancel := e.contextWhileKeyValid(e.ctx, request.keyID)
	endOperation := request.endOperation
	events, result := e.startStreaming(ctx, operation, func() {
		for _, hook := range hooks {
			hook()
		}
		endOperation()
	})
	heartbeat := time.NewTimer(e.config.HeartbeatEvery.Duration())
	defer heartbeat.Stop()
	var first *Event
	select {
	case event := <-events:
		first = &event
	case received := <-result:
		if received.err != nil {
			cancel()
			return true, received.err
		}
		// The events that came with the end are still in the channel.
		result = closedResult(received)
	case <-heartbeat.C:
	}
	request.ctx.SetContentType("text/event-stream")
	request.ctx.Response.Header.Set("Cache-Control", "no-store")
	request.ctx.SetBodyStream(newEventBody(e, request.ctx.Conn(), encoder, first, events, result, cancel), -1)
	return true, nil
}

func closedResult(received operationResult) <-chan operationResult {
	result := make(chan operationResult, 1)
	result <- received
	return result
}

// nativeFormat is that of /v1/programs/{id}/calls.
type nativeEncoder struct{}

func (nativeEncoder) encodeEvent(event Event) ([]byte, error) {
	if event.Restart {
		return encodeNamedEvent("restart", event), nil
	}
	return encodeNamedEvent("text", event), nil
}

func (nativeEncoder) encodeResult(body json.RawMessage) ([]byte, error) {
	return encodeNamedEvent("done", body), nil
}

func (nativeEncoder) encodeRefusal(refusal *spool.Refusal) []byte {
	return encodeNamedEvent("error", newErrorBody(refusal))
}

func encodeNamedEvent(name string, data any) []byte {
	body, _ := json.Marshal(data)
	return append(append([]byte("event: "+name+"\ndata: "), body...), "\n\n"...)
}
