package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/httpconn"
	"github.com/baobabspool/baobabspool/pkg/buffers"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/spool"
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

// Errors of an answer that is not passed on. The endpoint may have run the request.
var (
	// errAnswerTooLarge means that an answer that is not streamed exceeds maxAnswerBytes.
	errAnswerTooLarge = errors.Errorf("answer exceeds %d bytes", maxAnswerBytes)
	// errAnswerUnsealed means that a success lacks the endpoint's seal.
	errAnswerUnsealed = errors.New("answer has no seal")
	// errPromiseUnmarked means that an endpoint answered with a status that promises that the
	// request has not run and never will, without the header that states it.
	errPromiseUnmarked = errors.New("status promises that the request did not run, and the answer does not state it")
	// errAnswerUnidentified means that an answer names no request, and that its connection
	// has had an earlier request, of which it may be another answer.
	errAnswerUnidentified = errors.New("answer names no request on a connection that was used before")
)

// handleAnswer passes an answer on to the caller. It discards an answer that says that
// the request did not run, and one that must not be passed on.
func (r *request) handleAnswer(ctx context.Context, response *httpconn.Response, answer spool.EndpointAnswer) (tryResult, endpoints.Outcome) {
	if response.StatusCode >= http.StatusInternalServerError {
		r.sample.Outcome = load.Failed
	}
	if err := r.checkAnswer(response, answer); err != nil {
		response.Close(false)
		r.gateway.telemetry.CountEvent("answerDiscarded")
		r.refusalErr = err
		return mayHaveRun, endpoints.Failed
	}
	if answer.Attempt == "" {
		// The answer to a further request on the connection could not be told from a copy.
		response.MarkLast()
	}
	switch {
	case answer.NotRun:
		return notRun, discardRefusal(response, answer)
	case isSuccess(response.StatusCode) && strings.HasPrefix(response.Header.Get("Content-Type"), eventStream):
		return r.sendStream(ctx, response)
	default:
		return r.sendPlain(ctx, response)
	}
}

// checkAnswer returns why an answer must not be passed on or taken for a refusal; nil if it
// may be.
func (r *request) checkAnswer(response *httpconn.Response, answer spool.EndpointAnswer) error {
	switch {
	case answer.Attempt == "" && response.ConnectionReused():
		return errAnswerUnidentified
	case answer.NotRun:
		return nil
	case isSuccess(response.StatusCode) && !answer.Sealed:
		return errAnswerUnsealed
	case promisesNotRun(response.StatusCode) && !r.isRepeatable():
		return errPromiseUnmarked
	}
	return nil
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// promisesNotRun reports whether callers take a status for the promise that their request
// has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// discardRefusal reads and discards the answer of an endpoint that has not run the request.
func discardRefusal(response *httpconn.Response, answer spool.EndpointAnswer) endpoints.Outcome {
	response.MarkRefused()
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBytes))
	response.Close(err == nil)
	if answer.Misdirected {
		return endpoints.Misdirected
	}
	return endpoints.Full
}

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
