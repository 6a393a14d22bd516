package gateway

import (
	"context"
	"math/rand/v2"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/catalog"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// eventStream is the content type of an answer that is passed on event by event.
	eventStream = "text/event-stream"
	// leastUrgent is the urgency level of the least urgent requests. Endpoints know the
	// levels from 0, the most urgent, to this one.
	leastUrgent = 9
)

// tryResult is the result of sending a request to one endpoint.
type tryResult string

const (
	// answered means that the answer was passed on to the caller.
	answered tryResult = "answered"
	// notRun means that the endpoint has refused the request and will not run it.
	notRun tryResult = "notRun"
	// unreached means that the request was not sent.
	unreached tryResult = "unreached"
	// mayHaveRun means that the request was sent and no complete answer arrived, so it
	// is unknown whether the endpoint has run it.
	mayHaveRun tryResult = "mayHaveRun"
	// broken means that the answer to the caller was started and cannot be completed.
	broken tryResult = "broken"
)

// forward sends the request to endpoints until one answers. While all of them are full,
// it repeats the round after a delay: a burst fills the few slots of a plain service
// for some tens of milliseconds, and callers retry only once or twice. It returns the
// reason for refusing the request, or an empty string if an answer was passed on,
// completely or in part.
func (r *request) forward(ctx context.Context) spool.Code {
	offering := r.gateway.engineLoads.offering(r)
	start := r.gateway.clock.Now()
	giveUpAt := start + clock.Millis(offering.TimeShare*float64(r.deadline-start))
	for pause := offering.Pause; ; pause = min(2*pause, offering.MaxPause) {
		if offering.TimeShare == 0 {
			return r.failureReason(ctx, reasonTooLate)
		}
		reason, ended := r.tryRound(ctx, offering.Tries)
		if ended || reason != reasonEndpointsFull || r.gateway.clock.Now()+pause >= giveUpAt {
			return reason
		}
		r.gateway.telemetry.CountEvent("requestOfferedAgain")
		if !clock.Pause(ctx, withJitter(pause)) {
			return r.failureReason(ctx, reason)
		}
		clear(r.tried)
		offering = r.gateway.engineLoads.offering(r)
	}
}

// withJitter returns a random duration between 0.75 and 1.25 times pause, so that
// requests that were refused together do not retry together.
func withJitter(pause clock.Millis) clock.Millis {
	return pause/2 + rand.N(pause/2+1) + pause/4
}

// tryRound sends the request to endpoints that it was not sent to in this round, at most
// maxTries, until one answers. ended reports that the result is final: the request was
// answered, may have run and must not be repeated, or ctx has ended.
func (r *request) tryRound(ctx context.Context, maxTries int) (reason spool.Code, ended bool) {
	lastReason := reasonNoEndpoint
	for tries := 0; tries < maxTries; tries++ {
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
		zap.String("outcome", string(result)), zap.String("cause", r.failureCause(ctx, result)), zap.Int("status", r.exchange.Status()), zap.Int("try", tries+1), zap.Int("runs", r.possibleRuns),
		zap.Int("events", r.eventCount), zap.Int64("leftMs", int64(r.deadline-r.gateway.clock.Now())), zap.Int64("version", r.catalog.Version()))
}

// failureCause returns the log value for the cause of a failed try; empty if the
// request was answered.
func (r *request) failureCause(ctx context.Context, result tryResult) string {
	switch {
	case result == answered:
		return ""
	case r.isCutForBudget:
		return "budget"
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "timeout"
	case ctx.Err() != nil:
		return "callerLeft"
	default:
		return "endpoint"
	}
}

// failureReason returns the reason for refusing a request that no endpoint answered. If
// the request may have run, the reason never says that it did not run.
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

// isRepeatable reports whether the request may be sent again after an endpoint may have
// run it. Its route must be idempotent or a resumable stream.
func (r *request) isRepeatable() bool {
	return r.route.Kind == catalog.Idempotent || r.route.Kind == catalog.Stream && r.route.Resumable
}

// pickEndpoint returns the endpoint to try next; nil if there is none.
func (r *request) pickEndpoint() *endpoints.Endpoint {
	want := endpoints.PickRequest{
		Service: r.service.Name, Salt: r.call.Attempt, Tried: r.tried, ColdPerSecond: r.service.ColdPerSecond,
		IsRepeatable: r.isRepeatable() && r.possibleRuns+1 < r.route.Attempts,
	}
	switch {
	case r.gateway.settings.Balancing.Enabled && r.route.Sticky && r.call.AffinityKey != "":
		want.AffinityKey, want.IsObject = r.call.AffinityKey, true
	case r.service.Engine:
		want.AffinityKey = string(r.call.Program)
	}
	r.describe(&want)
	endpoint := r.pick(want)
	if endpoint != nil {
		r.countCrossing(endpoint)
	}
	return endpoint
}
