package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/httpconn"
	"github.com/baobabspool/baobabspool/pkg/catalog"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// maxTriesPerRound bounds the number of endpoints that are tried for one request
	// in a round, including those that refuse it.
	maxTriesPerRound = 5
	// fullRetryDelay is the delay before a request is offered again after every
	// endpoint was full. It doubles with each round up to maxFullRetryDelay. A slot
	// usually becomes free within the duration of one request.
	fullRetryDelay    = 15 * clock.Millis(1)
	maxFullRetryDelay = 60 * clock.Millis(1)
	// fullRetryShare is the share of the request's remaining time during which it is
	// offered again.
	fullRetryShare = 0.4
	// maxAnswerBytes bounds an answer that is buffered before it is passed on.
	maxAnswerBytes = 32 << 20
	// eventStream is the content type of an event stream.
	eventStream = "text/event-stream"
	// leastUrgent is the highest urgency level that endpoints know, which is the least
	// urgent one.
	leastUrgent = 9
)

// tryResult is the result of sending a request to one endpoint.
type tryResult string

const (
	// answered means that the answer was passed on to the caller.
	answered tryResult = "answered"
	// notRun means that the endpoint has not run the request and never will.
	notRun tryResult = "notRun"
	// unreached means that the request was not sent.
	unreached tryResult = "unreached"
	// mayHaveRun means that the request was sent and no usable answer arrived.
	mayHaveRun tryResult = "mayHaveRun"
	// broken means that a part of the answer was passed on and the rest will not
	// follow.
	broken tryResult = "broken"
)

// forward sends the request to endpoints until one answers. While all of them are
// full, it offers the request again: a burst fills the few slots of a plain service
// for some tens of milliseconds, and callers retry only once or twice. It returns a
// reason if no answer has been started.
func (r *request) forward(ctx context.Context) spool.Code {
	giveUpAt := r.fullRetryDeadline()
	for pause := fullRetryDelay; ; pause = min(2*pause, maxFullRetryDelay) {
		reason, ended := r.tryRound(ctx)
		if ended || reason != reasonEndpointsFull || r.gateway.clock.Now()+pause >= giveUpAt {
			return reason
		}
		r.gateway.telemetry.CountEvent("requestOfferedAgain")
		if !clock.Pause(ctx, withJitter(pause)) {
			return r.failureReason(ctx, reason)
		}
		clear(r.tried)
	}
}

// fullRetryDeadline returns when a request that finds every endpoint full is refused.
func (r *request) fullRetryDeadline() clock.Millis {
	now := r.gateway.clock.Now()
	return now + clock.Millis(fullRetryShare*float64(r.deadline-now))
}

// withJitter returns a random duration between 0.75 and 1.25 times pause, so that
// requests that were refused together do not retry together.
func withJitter(pause clock.Millis) clock.Millis {
	return pause/2 + rand.N(pause/2+1) + pause/4
}

// tryRound offers the request to endpoints that it has not tried. ended reports that
// another round must not follow.
func (r *request) tryRound(ctx context.Context) (reason spool.Code, ended bool) {
	lastReason := reasonNoEndpoint
	for tries := 0; tries < maxTriesPerRound; tries++ {
		if ctx.Err() != nil {
			break
		}
		endpoint := r.pickEndpoint()
		if endpoint == nil {
			break
		}
		result := r.tryEndpoint(ctx, endpoint)
		r.logTry(ctx, endpoint, tries, result)
		switch result {
		case answered:
			return "", true
		case broken:
			r.exchange.Abort()
			return "", true
		case unreached:
		case notRun:
			lastReason = reasonEndpointsFull
		case mayHaveRun:
			r.possibleRuns++
			lastReason = reasonMayHaveRun
			if !r.isRepeatable() || r.possibleRuns >= r.route.Attempts {
				return r.failureReason(ctx, lastReason), true
			}
			r.gateway.telemetry.CountEvent("requestRepeated")
		}
		r.tried[endpoint.ID()] = true
	}
	return r.failureReason(ctx, lastReason), ctx.Err() != nil
}

// logTry logs the result of sending the request to one endpoint.
func (r *request) logTry(ctx context.Context, endpoint *endpoints.Endpoint, tries int, result tryResult) {
	message := "request answered"
	if result != answered {
		message = "request not answered"
	}
	r.gateway.log.Info(message, zap.String("request", r.call.Attempt), zap.String("program", string(r.call.Program)),
		zap.String("account", string(r.account)), zap.String("route", r.route.Name), zap.String("endpoint", string(endpoint.ID())),
		zap.String("outcome", string(result)), zap.String("cause", failureCause(ctx, result)), zap.Int("status", r.exchange.Status()), zap.Int("try", tries+1), zap.Int("runs", r.possibleRuns),
		zap.Int("events", r.eventCount), zap.Int64("leftMs", int64(r.deadline-r.gateway.clock.Now())), zap.Int64("version", r.catalog.Version()))
}

// failureCause returns the log value that says why a try got no answer; empty if it
// was answered.
func failureCause(ctx context.Context, result tryResult) string {
	switch {
	case result == answered:
		return ""
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "timeout"
	case ctx.Err() != nil:
		return "callerLeft"
	default:
		return "endpoint"
	}
}

// failureReason returns the reason for refusing a request that no endpoint answered. A
// request that may have run is never refused with a reason that says it did not run.
func (r *request) failureReason(ctx context.Context, last spool.Code) spool.Code {
	switch {
	case ctx.Err() != nil:
		return reasonTimeout
	case r.possibleRuns > 0:
		return reasonMayHaveRun
	default:
		return last
	}
}

// isRepeatable reports whether the request may run more than once.
func (r *request) isRepeatable() bool {
	return r.route.Kind == catalog.Idempotent || r.route.Kind == catalog.Stream && r.route.Resumable
}

func (r *request) pickEndpoint() *endpoints.Endpoint {
	want := endpoints.PickRequest{
		Service: r.service.Name, Salt: r.call.Attempt, Tried: r.tried, ColdPerSecond: r.service.ColdPerSecond,
	}
	if r.service.Engine {
		want.Affinity = string(r.call.Program)
	}
	return r.gateway.endpointTable.Pick(r.gateway.clock.Now(), want)
}

// tryEndpoint sends the request to one endpoint.
func (r *request) tryEndpoint(ctx context.Context, endpoint *endpoints.Endpoint) tryResult {
	g := r.gateway
	send := spool.EndpointSend{
		Endpoint: endpoint.ID(), Account: r.account, TimeLeft: max(1, r.deadline-g.clock.Now()),
		Urgency: -1, BodyBytes: len(r.body),
	}
	if r.service.Engine {
		send.Urgency = min(leastUrgent, max(0, r.priority))
	}
	if r.route.Resumable {
		send.ResumeAfter = r.call.ResumeAfter
	}
	call := &httpconn.Call{
		Address: endpoint.Address(), Method: r.call.Method,
		Head: g.codec.EncodeRequest(r.exchange.Request(), send), Body: r.body,
		AcceptResponse: func(header http.Header) bool {
			attempt := g.codec.DecodeResponse(0, header).Attempt
			return attempt == "" || attempt == r.call.Attempt
		},
	}
	sentAt := g.clock.Now()
	response, err := g.client.Do(ctx, call)
	if err != nil {
		g.endpointTable.Done(g.clock.Now(), endpoint, failureOutcome(ctx), 0)
		if errors.Is(err, httpconn.ErrNotSent) {
			return unreached
		}
		return mayHaveRun
	}
	answer := g.codec.DecodeResponse(response.StatusCode, response.Header)
	result, outcome := r.handleAnswer(ctx, response, answer)
	r.recordLoad(outcome, sentAt)
	g.endpointTable.Done(g.clock.Now(), endpoint, outcome, answer.ColdFor)
	return result
}

// recordLoad updates the load of a plain service from the result of a call. Streams
// are left out, because their duration depends on their length.
func (r *request) recordLoad(outcome endpoints.Outcome, sentAt clock.Millis) {
	if r.service.Engine || r.route.Kind == catalog.Stream {
		return
	}
	switch outcome {
	case endpoints.Full:
		r.gateway.loads.recordFull(r.service.Name)
	case endpoints.Answered:
		r.gateway.loads.recordAnswer(r.service.Name, r.gateway.clock.Now()-sentAt)
	}
}

// failureOutcome distinguishes a failure of the endpoint from a request that was
// cancelled.
func failureOutcome(ctx context.Context) endpoints.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return endpoints.Cancelled
	}
	return endpoints.Failed
}

// handleAnswer passes an answer on to the caller, or classifies it if it cannot be
// used.
func (r *request) handleAnswer(ctx context.Context, response *httpconn.Response, answer spool.EndpointAnswer) (tryResult, endpoints.Outcome) {
	success := response.StatusCode >= 200 && response.StatusCode < 300
	switch {
	case answer.NotRun:
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBytes))
		response.Close(err == nil)
		if answer.Misdirected {
			return notRun, endpoints.Misdirected
		}
		return notRun, endpoints.Full
	case success && !answer.Sealed:
		response.Close(false)
		return mayHaveRun, endpoints.Failed
	case success && strings.HasPrefix(response.Header.Get("Content-Type"), eventStream):
		return r.sendStream(ctx, response)
	default:
		return r.sendBuffered(ctx, response)
	}
}

// sendBuffered reads the whole answer before it passes it on, so that the request can
// still be repeated if the answer is cut off.
func (r *request) sendBuffered(ctx context.Context, response *httpconn.Response) (tryResult, endpoints.Outcome) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	response.Close(err == nil)
	if err != nil {
		return mayHaveRun, failureOutcome(ctx)
	}
	// A failed write means that the caller has disconnected. The request has run all
	// the same.
	_ = r.exchange.Respond(response.StatusCode, r.gateway.codec.ResponseHeader(response.Header), body)
	return answered, endpoints.Answered
}
