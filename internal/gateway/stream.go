package gateway

import (
	"bytes"
	"context"
	"io"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/httpconn"
	"github.com/baobabspool/baobabspool/pkg/chain"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/events"
)

// streamBuffer is the size of one read from a stream, in bytes.
const streamBuffer = 4 << 10

// sendStream passes events on as they arrive. It passes on whole events only, so that
// a stream that is cut off can be resumed after the last one.
func (r *request) sendStream(ctx context.Context, response *httpconn.Response) (tryResult, endpoints.Outcome) {
	r.exchange.StartStream(response.StatusCode, r.gateway.codec.ResponseHeader(response.Header))
	splitter := events.NewSplitter()
	var output []byte
	buffer := make([]byte, streamBuffer)
	for {
		n, err := response.Body.Read(buffer)
		whole := splitter.Add(buffer[:n])
		if len(whole) > 0 {
			r.eventCount += events.Count(whole)
			if r.route.KeepsHistory {
				output = events.AppendData(output, whole)
			}
			if r.exchange.WriteChunk(whole) != nil {
				response.Close(false)
				return broken, endpoints.Cancelled
			}
		}
		if err == io.EOF {
			response.Close(true)
			return r.finishStream(ctx, output, splitter.Rest())
		}
		if err != nil {
			response.Close(false)
			return r.handleBrokenStream(ctx)
		}
	}
}

// handleBrokenStream ends a stream that the endpoint has not finished.
func (r *request) handleBrokenStream(ctx context.Context) (tryResult, endpoints.Outcome) {
	if !r.exchange.Started() {
		return mayHaveRun, failureOutcome(ctx)
	}
	return broken, failureOutcome(ctx)
}

// finishStream ends a complete stream. For a kept turn it first waits until the turn
// is durable.
func (r *request) finishStream(ctx context.Context, output, rest []byte) (tryResult, endpoints.Outcome) {
	if r.route.KeepsHistory {
		if err := r.storeTurn(ctx, output); err != nil {
			r.gateway.log.Warn("turn was not kept", zap.String("request", r.call.Attempt), zap.Error(err))
			return broken, endpoints.Answered
		}
	}
	if r.exchange.EndStream(bytes.Clone(rest)) != nil {
		return broken, endpoints.Answered
	}
	return answered, endpoints.Answered
}

func (r *request) storeTurn(ctx context.Context, output []byte) error {
	turn := &chain.Turn{
		ID: r.call.Attempt, Account: r.account, Input: bytes.Clone(r.exchange.Body()), Output: output,
		EndedAt: r.gateway.clock.Now(), Retention: r.route.Retention,
	}
	for _, earlier := range r.history {
		turn.History = append(turn.History, earlier.ID)
	}
	return r.gateway.turns.append(ctx, turn)
}
