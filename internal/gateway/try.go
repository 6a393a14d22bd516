package gateway

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/httpconn"
	"github.com/baobabspool/baobabspool/pkg/catalog"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// tryEndpoint sends the request to one endpoint, passes a usable answer on to the
// caller, and reports the outcome to the endpoint table.
func (r *request) tryEndpoint(ctx context.Context, endpoint *endpoints.Endpoint) tryResult {
	call := r.endpointCall(endpoint)
	r.sentAt, r.sample = r.gateway.clock.Now(), load.Sample{}
	response, err := r.gateway.client.Do(ctx, call)
	if err != nil {
		return r.endUnansweredTry(ctx, endpoint, err)
	}
	answer := r.gateway.codec.DecodeResponse(response.StatusCode, response.Header)
	result, outcome := r.handleAnswer(ctx, response, answer)
	r.recordLoad(outcome)
	r.endTry(endpoint, r.resultOf(outcome, answer.ColdFor), true)
	return result
}

// endpointCall returns the request as it is sent to an endpoint.
func (r *request) endpointCall(endpoint *endpoints.Endpoint) *httpconn.Call {
	codec := r.gateway.codec
	return &httpconn.Call{
		Address: endpoint.Address(), Method: r.call.Method,
		Head: codec.EncodeRequest(r.exchange.Request(), r.endpointSend(endpoint)), Body: r.body, Identity: r.call.Attempt,
		AcceptResponse: func(header http.Header) bool {
			attempt := codec.DecodeResponse(0, header).Attempt
			return attempt == "" || attempt == r.call.Attempt
		},
		OnHead: func(status int, header http.Header) { r.observeHead(endpoint, codec.DecodeResponse(status, header)) },
	}
}

// endpointSend returns what the request tells an endpoint besides what its caller has sent.
func (r *request) endpointSend(endpoint *endpoints.Endpoint) spool.EndpointSend {
	g := r.gateway
	send := spool.EndpointSend{
		Endpoint: endpoint.ID(), Account: r.account, TimeLeft: max(1, r.deadline-g.clock.Now()),
		Urgency: -1, BodyBytes: r.body.Bytes(),
	}
	switch {
	case g.engineLoads.appliesTo(r):
		send.Urgency = g.engineLoads.urgency(r)
	case r.service.Engine:
		send.Urgency = min(leastUrgent, max(0, r.priority))
	}
	if r.route.Resumable {
		send.ResumeAfter = r.call.ResumeAfter
	}
	return send
}

// endUnansweredTry records a try that ended with err instead of an answer.
func (r *request) endUnansweredTry(ctx context.Context, endpoint *endpoints.Endpoint, err error) tryResult {
	r.refusalErr = err
	if errors.Is(err, httpconn.ErrInvalidResponse) {
		r.gateway.telemetry.CountEvent("answerInvalid")
	}
	wasSent := !errors.Is(err, httpconn.ErrNotSent)
	r.endTry(endpoint, r.resultOf(failureOutcome(ctx), 0), wasSent)
	if !wasSent {
		return unreached
	}
	return mayHaveRun
}

// resultOf returns what the request has shown of the endpoint that it was sent to last.
func (r *request) resultOf(outcome endpoints.Outcome, coldFor clock.Millis) endpoints.Result {
	sample := r.sample
	switch outcome {
	case endpoints.Answered:
		if sample.Outcome == load.Good && sample.Events == 0 {
			sample.Took = r.gateway.clock.Now() - r.sentAt
		}
	case endpoints.Full:
		sample.Outcome = load.Rejected
	case endpoints.Failed:
		sample.Outcome = load.Failed
	case endpoints.Misdirected, endpoints.Cancelled:
		sample.Outcome = load.Ignored
	}
	return endpoints.Result{Outcome: outcome, ColdFor: coldFor, Sample: sample}
}

// observeHead records what any answer of an endpoint says about the endpoint itself. An
// answer of another instance at the same address says nothing about it.
func (r *request) observeHead(endpoint *endpoints.Endpoint, answer spool.EndpointAnswer) {
	if !answer.Leaving || answer.Misdirected || answer.Instance != "" && answer.Instance != endpoint.ID() {
		return
	}
	if r.gateway.endpointTable.MarkLeaving(r.gateway.clock.Now(), endpoint) {
		r.gateway.telemetry.CountEvent("endpointLeaving")
		r.gateway.log.Info("endpoint says that it leaves", zap.String("endpoint", string(endpoint.ID())), zap.String("request", r.call.Attempt))
	}
}

// recordLoad updates the load of a service from the outcome of a call. Calls of plain
// services that stream are ignored, because their duration depends on the length of the
// stream.
func (r *request) recordLoad(outcome endpoints.Outcome) {
	if r.gateway.engineLoads.appliesTo(r) {
		switch outcome {
		case endpoints.Full:
			r.gateway.engineLoads.recordFull(r.service.Name)
		case endpoints.Answered:
			r.gateway.engineLoads.recordAnswer(r.service.Name)
		}
		return
	}
	if r.service.Engine || r.route.Kind == catalog.Stream {
		return
	}
	switch outcome {
	case endpoints.Full:
		r.gateway.loads.recordFull(r.service.Name)
	case endpoints.Answered:
		r.gateway.loads.recordAnswer(r.service.Name, r.gateway.clock.Now()-r.sentAt)
	}
}

// failureOutcome returns endpoints.Cancelled if the request was cancelled, for example
// because its caller disconnected, and endpoints.Failed otherwise.
func failureOutcome(ctx context.Context) endpoints.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return endpoints.Cancelled
	}
	return endpoints.Failed
}
