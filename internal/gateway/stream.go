package gateway

import (
	"bytes"
	"context"
	"io"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/httpconn"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/events"
)

const (
	// streamBuffer is the size of one read from a stream, in bytes.
	streamBuffer = 4 << 10
	// maxEventBytes is the largest size of an event, in bytes. A stream with a larger one
	// counts as cut off.
	maxEventBytes = 1 << 20
	// eventCopies is how often an event of a stream is in memory at most: in the splitter,
	// complete, and in the buffer of the answer.
	eventCopies = 3
	// outputCopies is how often the output of a turn is in memory at most: with the spare
	// capacity of its buffer, encoded and in records.
	outputCopies = 4
)

// errEventTooLarge means that an event of a stream exceeds maxEventBytes.
var errEventTooLarge = errors.Errorf("event exceeds %d bytes", maxEventBytes)

// sendStream passes an event stream on to the caller as it arrives, in whole events
// only. If the stream is cut off, the caller can then resume it after the last event
// that it received. A stream that ends inside an event was cut off, also if its framing
// is complete or it has none.
func (r *request) sendStream(ctx context.Context, response *httpconn.Response) (tryResult, endpoints.Outcome) {
	r.exchange.StartStream(response.StatusCode, r.gateway.codec.ResponseHeader(response.Header))
	splitter := events.NewSplitter()
	var output []byte
	buffer := make([]byte, streamBuffer)
	for {
		n, err := response.Body.Read(buffer)
		whole := splitter.Add(buffer[:n])
		if len(whole) > 0 {
			received := events.Count(whole)
			r.recordEvents(received)
			count := r.eventCount + received
			if err := r.coverEvents(ctx, count); err != nil {
				r.gateway.log.Info("answer is cut off for lack of budget", zap.String("request", r.call.Attempt), zap.Error(err))
				r.gateway.telemetry.CountEvent("answerCutForBudget")
				r.isCutForBudget = true
				response.Close(false)
				return broken, endpoints.Cancelled
			}
			r.eventCount = count
			if r.route.KeepsHistory {
				output = events.AppendData(output, whole)
			}
			if r.exchange.WriteChunk(whole) != nil {
				response.Close(false)
				return broken, endpoints.Cancelled
			}
			r.releaseHistory(response)
		}
		if err == nil {
			err = r.reserveStream(len(splitter.Rest()), len(output))
		}
		if err == io.EOF && !splitter.InEvent() {
			response.Close(true)
			return r.finishStream(ctx, output, splitter.Rest())
		}
		if err != nil {
			response.Close(false)
			r.refusalErr = err
			return r.handleBrokenStream(ctx)
		}
	}
}

// recordEvents records the arrival of events in the sample of the endpoint.
func (r *request) recordEvents(count int) {
	if count == 0 {
		return
	}
	r.sample.LastEvent = r.gateway.clock.Now() - r.sentAt
	if r.sample.Events == 0 {
		r.sample.FirstEvent = r.sample.LastEvent
	}
	r.sample.Events += count
}

// reserveStream reserves the buffers for an incomplete event and the output of a turn. It
// fails if the event is too large or the buffers of all requests are in use.
func (r *request) reserveStream(eventBytes, outputBytes int) error {
	if eventBytes > maxEventBytes {
		return errEventTooLarge
	}
	needed := int64(eventCopies*eventBytes + outputCopies*outputBytes)
	if needed <= r.streamBytes {
		return nil
	}
	if err := r.exchange.Buffers().Reserve(needed - r.streamBytes); err != nil {
		return err
	}
	r.streamBytes = needed
	return nil
}

// handleBrokenStream returns the result of a stream that the endpoint did not complete:
// mayHaveRun if nothing was sent to the caller, and broken otherwise.
func (r *request) handleBrokenStream(ctx context.Context) (tryResult, endpoints.Outcome) {
	if !r.exchange.Started() {
		return mayHaveRun, failureOutcome(ctx)
	}
	return broken, failureOutcome(ctx)
}

// finishStream ends a stream that the endpoint has completed. If the route stores
// turns, it first waits until the turn is durable. If that fails, the caller gets no
// complete answer.
func (r *request) finishStream(ctx context.Context, output, rest []byte) (tryResult, endpoints.Outcome) {
	if r.route.KeepsHistory {
		if err := r.storeTurn(ctx, output); err != nil {
			r.gateway.log.Warn("turn was not kept", zap.String("request", r.call.Attempt), zap.Error(err))
			return broken, endpoints.Answered
		}
	}
	r.endBudget()
	if r.exchange.EndStream(bytes.Clone(rest)) != nil {
		return broken, endpoints.Answered
	}
	return answered, endpoints.Answered
}
