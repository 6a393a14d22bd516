package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// eventBufferSize is the number of events that are buffered if the caller reads
// more slowly than the call produces text. If the buffer is full, the operation
// waits for the caller.
const eventBufferSize = 16

// eventEncoder encodes the events of an answer as server-sent events.
type eventEncoder interface {
	// encodeEvent encodes one event of the answer.
	encodeEvent(Event) ([]byte, error)
	// encodeResult encodes the end of the answer; body is the JSON of a CallReply.
	encodeResult(body json.RawMessage) ([]byte, error)
	// encodeRefusal encodes a refusal that occurs after the stream has started.
	encodeRefusal(*spool.Refusal) []byte
}

// operationResult is the result of a streamed operation: body is its reply as JSON,
// or err the error with which it ended.
type operationResult struct {
	body json.RawMessage
	err  error
}

// startStreaming runs an operation in the background and returns the channels of
// its events and of its result. The result is sent after all events, then onEnd is
// called. Neither channel is closed.
func (e *Entry) startStreaming(ctx context.Context, operation Operation, onEnd func()) (<-chan Event, <-chan operationResult) {
	events := make(chan Event, eventBufferSize)
	result := make(chan operationResult, 1)
	e.callerPool.Submit(func() {
		defer onEnd()
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

// respondWithStream runs an operation in the background and responds with
// server-sent events. It waits up to one heartbeat interval for the first event
// or the result. If a refusal arrives first, respondWithStream returns it, so
// that the response can have the HTTP status of the refusal. streaming is always
// true. The onEnd functions are called when the operation has ended.
func (e *Entry) respondWithStream(request *callerRequest, operation Operation, encoder eventEncoder, onEnd ...func()) (streaming bool, err error) {
	ctx, cancel := e.contextWhileKeyValid(e.ctx, request.keyID)
	endOperation := request.endOperation
	events, result := e.startStreaming(ctx, operation, func() {
		for _, hook := range onEnd {
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
		// Events may still be buffered in the channel, so the result is put back
		// for eventBody, which reads the events first.
		result = bufferedResult(received)
	case <-heartbeat.C:
	}
	request.ctx.SetContentType("text/event-stream")
	request.ctx.Response.Header.Set("Cache-Control", "no-store")
	request.ctx.SetBodyStream(newEventBody(e, request.ctx.Conn(), encoder, first, events, result, cancel), -1)
	return true, nil
}

// bufferedResult returns a channel that holds a result which has already been
// received.
func bufferedResult(received operationResult) <-chan operationResult {
	result := make(chan operationResult, 1)
	result <- received
	return result
}

// nativeEncoder encodes the events of /v1/programs/{id}/calls.
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

// encodeNamedEvent encodes a server-sent event with the given name and the JSON
// encoding of data.
func encodeNamedEvent(name string, data any) []byte {
	body, _ := json.Marshal(data)
	return append(append([]byte("event: "+name+"\ndata: "), body...), "\n\n"...)
}
