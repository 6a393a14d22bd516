package gateway

import (
	"bytes"
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/httpconn"
	"github.com/baobabspool/baobabspool/pkg/buffers"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
)

const (
	// maxAnswerBytes bounds the size of an answer that is not streamed, in bytes. A longer
	// answer counts as incomplete.
	maxAnswerBytes = 32 << 20
	// maxBufferedAnswer is the size up to which an answer is read whole before it is passed
	// on.
	maxBufferedAnswer = 256 << 10
	// relayBuffer is the size of one read from an answer that is passed on as it arrives.
	relayBuffer = 16 << 10
)

// errAnswerTooLarge means that an answer that is not streamed exceeds maxAnswerBytes.
var errAnswerTooLarge = errors.Errorf("answer exceeds %d bytes", maxAnswerBytes)

// sendPlain passes an answer on that is not streamed. It reads an answer of up to
// maxBufferedAnswer whole first, so that the request can be repeated if the endpoint does
// not complete it. A larger answer, or one for which no buffers are left, is passed on as
// it arrives.
func (r *request) sendPlain(ctx context.Context, response *httpconn.Response) (tryResult, endpoints.Outcome) {
	if response.ContentLength > maxAnswerBytes {
		response.Close(false)
		r.refusalErr = errAnswerTooLarge
		return mayHaveRun, failureOutcome(ctx)
	}
	body, err := r.exchange.Buffers().ReadAll(response.Body, response.ContentLength, maxBufferedAnswer)
	switch {
	case errors.Is(err, buffers.ErrTooLarge) || errors.Is(err, buffers.ErrExhausted):
		return r.relay(ctx, response, body)
	case err != nil:
		response.Close(false)
		r.refusalErr = err
		return mayHaveRun, failureOutcome(ctx)
	}
	response.Close(true)
	r.endBudget()
	// The error is ignored: it means that the caller has disconnected, and the request
	// has run all the same.
	_ = r.exchange.Respond(response.StatusCode, r.gateway.codec.ResponseHeader(response.Header), body)
	return answered, endpoints.Answered
}

// relay passes an answer on as it arrives. first is the part that has been read.
func (r *request) relay(ctx context.Context, response *httpconn.Response, first []byte) (tryResult, endpoints.Outcome) {
	r.gateway.telemetry.CountEvent("answerRelayed")
	r.exchange.StartStream(response.StatusCode, r.gateway.codec.ResponseHeader(response.Header))
	rest := io.LimitReader(response.Body, maxAnswerBytes+1-int64(len(first)))
	sent, err := io.CopyBuffer(chunkWriter{r.exchange}, io.MultiReader(bytes.NewReader(first), rest), make([]byte, relayBuffer))
	if err == nil && sent > maxAnswerBytes {
		err = errAnswerTooLarge
	}
	response.Close(err == nil)
	if err != nil {
		r.refusalErr = err
		return broken, failureOutcome(ctx)
	}
	r.endBudget()
	if r.exchange.EndStream(nil) != nil {
		return broken, endpoints.Answered
	}
	return answered, endpoints.Answered
}

// chunkWriter writes to the body of a started stream.
type chunkWriter struct{ exchange *httpconn.Exchange }

// Write implements io.Writer.
func (w chunkWriter) Write(data []byte) (int, error) {
	if err := w.exchange.WriteChunk(data); err != nil {
		return 0, err
	}
	return len(data), nil
}
