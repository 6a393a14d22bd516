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

// streamBuffer is the size of one read of a stream, in bytes.
const streamBuffer = 4 << 10

// stream passes events on as they arrive. Only whole events are passed on, so
// that a stream that breaks off can go on after the last one.
func (r *request) stream(ctx context.Context, response *httpconn.Response) (verdict, endpoints.Outcome) {
	r.exchange.StartStream(response.StatusCode, r.gateway.codec.AnswerHeader(response.Header))
	splitter := events.NewSplitter()
	var output []byte
	buffer := make([]byte, streamBuffer)
	for {
		n, err := response.Body.Read(buffer)
		whole := splitter.Add(buffer[:n])
		if len(whole) > 0 {
			r.events += events.Count(whole)
			if r.route.KeepsHistory {
				output = events.AppendData(output, whole)
			}
			if r.exchange.Chunk(whole) != nil {
				response.Close(false)
				return broken, endpoints.Cancelled
			}
		}
		if err == io.EOF {
			response.Close(true)
			return r.endStream(ctx, output, splitter.Rest())
		}
		if err != nil {
			response.Close(false)
			return r.cutStream(ctx)
		}
	}
}

// cutStream ends a stream that the endpoint has not finished.
func (r *request) cutStream(ctx context.Context) (verdict, endpoints.Outcome) {
	if !r.exchange.Started() {
		return mayHaveRun, failureOf(ctx)
	}
	return broken, failureOf(ctx)
}

// endStream ends a stream that is whole. The end of a kept turn waits until the
// turn is durable.
func (r *request) endStream(ctx context.Context, output, rest []byte) (verdict, endpoints.Outcome) {
	if r.route.KeepsHistory {
		if err := r.keepTurn(ctx, output); err != nil {
			r.gateway.log.Warn("turn was not kept", zap.String("request", r.call.Attempt), zap.Error(err))
			return broken, endpoints.Answered
		}
	}
	if r.exchange.EndStream(bytes.Clone(rest)) != nil {
		return broken, endpoints.Answered
	}
	return answered, endpoints.Answered
}

func (r *request) keepTurn(ctx context.Context, output []byte) error {
	turn := &chain.Turn{
		ID: r.call.Attempt, Account: r.account, Input: bytes.Clone(r.exchange.Body()), Output: output,
		EndedAt: r.gateway.clock.Now(), Retention: r.route.Retention,
	}
	for _, earlier := range r.line {
		turn.Line = append(turn.Line, earlier.ID)
	}
	return r.gateway.turns.keep(ctx, turn)
}
