package entry

import (
	"context"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// dispatchServiceCall dispatches a call to a plain service, records the outcome and
// returns the answer. If an idempotent call fails after it may have run, only its
// cost is recorded.
func (e *Entry) dispatchServiceCall(ctx context.Context, shard *shard, call *inflightCall) (answer program.Answer, err error) {
	request := wire.RunRequest{Kind: wire.RunService, Service: call.spec.serviceCall, Idempotent: call.ticket.Idempotent}
	if !call.ticket.Idempotent {
		return e.runNonIdempotent(ctx, shard, call, request)
	}
	reply, mayHaveRun, err := e.dispatch(ctx, shard, call, request)
	if err != nil {
		if mayHaveRun {
			e.recordSpent(shard, call)
		}
		return answer, err
	}
	return e.recordOutcome(shard, call, outcomeOf(reply))
}

// outcomeOf returns the outcome of a service call that an endpoint has answered,
// with whatever HTTP status.
func outcomeOf(reply wire.RunReply) program.OutcomeResult {
	return program.OutcomeResult{
		Outcome: program.OutcomeDone, Status: reply.Service.Status, Answer: reply.Service.Body, Endpoint: reply.Load.Endpoint,
	}
}

// recordOutcome makes the outcome of a service call durable and returns the answer
// of the service.
func (e *Entry) recordOutcome(shard *shard, call *inflightCall, result program.OutcomeResult) (answer program.Answer, err error) {
	var record spool.Record
	if !shard.do(func() { record = shard.state.OutcomeRecord(e.clock.Now(), call.ticket.ID, result) }) {
		return answer, notOwner(shard.stream)
	}
	if err := e.commit(shard.ctx, shard, []spool.Record{record}, false); err != nil {
		return answer, markAsRun(err)
	}
	return program.Answer{
		Kind: program.CallService, Status: result.Status, Data: result.Answer, Endpoint: result.Endpoint,
	}, nil
}

// runNonIdempotent dispatches a non-idempotent call and records its outcome. It
// commits an intent to the log before each dispatch, and dispatches again only if
// the previous attempt provably did not run. If it cannot determine whether an
// attempt ran, it records OutcomeUnknown and refuses with CodeOutcomeUnknown.
func (e *Entry) runNonIdempotent(ctx context.Context, shard *shard, call *inflightCall, request wire.RunRequest) (answer program.Answer, err error) {
	retryPolicy, err := e.policies.retry(call.spec.settings)
	if err != nil {
		return answer, spool.Refuse(spool.CodeInternal, "%v", err)
	}
	retryPolicy.Started(e.clock.Now())
	view := e.newCallView(call)
	for attempt := 1; ; attempt++ {
		target, choice, refusal := e.pickEndpoint(call, view)
		if refusal != nil {
			e.recordChoice(shard, call, attempt, choice, refusal)
			return answer, refusal
		}
		if request.Mark, err = e.ensureAgentMark(ctx, target); err != nil {
			failure, cause := classifyFailure(ctx, err)
			if wait, shouldRetry := e.retryWait(ctx, call, retryPolicy, attempt, failure, cause.WithNotRun(spool.NotRunTrue)); !shouldRetry || !clock.Pause(ctx, wait) {
				return answer, cause.WithNotRun(spool.NotRunTrue)
			}
			view.Tried = append(view.Tried, spool.EndpointID(target.ID))
			continue
		}
		if err := e.commitIntent(ctx, shard, call, target, request.Mark); err != nil {
			return answer, err
		}
		e.recordChoice(shard, call, attempt, choice, nil)
		reply, err := e.runAttempt(ctx, shard, call, request, target)
		result := program.OutcomeResult{}
		failure, cause := spool.Failure(""), (*spool.Refusal)(nil)
		if err == nil {
			result = outcomeOf(reply)
		} else {
			failure, cause = classifyFailure(ctx, err)
			result = e.outcomeAfterFailure(shard, call, request, target, cause)
		}
		answer, err := e.recordOutcome(shard, call, result)
		switch {
		case err != nil || result.Outcome == program.OutcomeDone:
			return answer, err
		case result.Outcome == program.OutcomeUnknown:
			return answer, spool.Refuse(spool.CodeOutcomeUnknown, "call may have run and is not repeated: %s", cause.Message).
				WithNotRun(spool.NotRunUnknown)
		}
		cause = cause.WithNotRun(spool.NotRunTrue)
		wait, shouldRetry := e.retryWait(ctx, call, retryPolicy, attempt, failure, cause)
		if !shouldRetry || !clock.Pause(ctx, wait) {
			return answer, cause
		}
		if failure == spool.FailureFenced && e.pollEndpoint(ctx, target) == nil {
			// The agent has refused the call as fenced, probably because the agent
			// has restarted and has a new mark. pollEndpoint has updated the mark,
			// so the endpoint may be used again and is not added to Tried.
			continue
		}
		view.Tried = append(view.Tried, spool.EndpointID(target.ID))
	}
}

// retryWait returns the wait before the retry of a call that provably did not run,
// or false if the retry policy forbids a retry or ctx has ended. It counts the
// retry.
func (e *Entry) retryWait(ctx context.Context, call *inflightCall, retryPolicy spool.RetryPolicy, attempt int, failure spool.Failure, refusal *spool.Refusal) (clock.Millis, bool) {
	if ctx.Err() != nil {
		return 0, false
	}
	wait, ok := retryPolicy.Retry(e.clock.Now(), spool.Attempt{
		Number: attempt, Failure: failure, NotRun: true,
		Deadline: call.spec.deadline, RetryAfter: refusal.RetryAfter,
	})
	if ok {
		e.telemetry.CountRetry(failure)
	}
	return wait, ok
}

// commitIntent commits the intent to dispatch a call to target to the log. If it
// returns an error, the call must not be dispatched; the error is a *spool.Refusal
// with NotRunTrue.
func (e *Entry) commitIntent(ctx context.Context, shard *shard, call *inflightCall, target spool.VM, mark spool.AgentMark) error {
	var record spool.Record
	if !shard.do(func() {
		record = shard.state.IntentRecord(e.clock.Now(), call.ticket.ID, call.spec.service, spool.EndpointID(target.ID), shard.epoch, mark)
	}) {
		return notOwner(shard.stream).WithNotRun(spool.NotRunTrue)
	}
	err := e.commit(ctx, shard, []spool.Record{record}, true)
	if err == nil {
		return nil
	}
	refusal := asRefusal(err)
	if refusal.NotRun != spool.NotRunTrue {
		// The intent may be on the log, although the call was not dispatched. An
		// owner that recovers the intent queries the agent, whose answer proves
		// that the call did not run.
		e.telemetry.CountEvent("intentInDoubt")
	}
	return refusal.WithNotRun(spool.NotRunTrue)
}

// ensureAgentMark returns the mark of the agent of target. If the entry has no load
// report with the mark yet, ensureAgentMark first requests one from the agent.
func (e *Entry) ensureAgentMark(ctx context.Context, target spool.VM) (spool.AgentMark, error) {
	if mark := e.endpoints.agentMark(spool.EndpointID(target.ID)); mark.Boot != "" {
		return mark, nil
	}
	if err := e.pollEndpoint(ctx, target); err != nil {
		return spool.AgentMark{}, err
	}
	return e.endpoints.agentMark(spool.EndpointID(target.ID)), nil
}

// outcomeAfterFailure returns the outcome of a non-idempotent call whose dispatch
// to target failed with the given refusal: OutcomeNotRun if the refusal has
// NotRunTrue, otherwise the outcome that the agent states in answer to a query.
func (e *Entry) outcomeAfterFailure(shard *shard, call *inflightCall, request wire.RunRequest, target spool.VM, refusal *spool.Refusal) program.OutcomeResult {
	if refusal.NotRun == spool.NotRunTrue {
		return program.OutcomeResult{Outcome: program.OutcomeNotRun}
	}
	ticket := call.ticket
	return e.queryOutcome(shard, target, wire.OutcomeQuery{
		Account: ticket.Account, Program: ticket.Program, Call: ticket.Call, Stream: shard.stream,
		Epoch: shard.epoch, Attempt: call.currentAttempt(), Mark: request.Mark,
	})
}

const (
	// maxOutcomeQueries and outcomeQueryInterval are the maximum number of queries
	// for the outcome of one call and the wait after each. They are repeated while
	// the call still runs or the agent does not answer: for about 10 s, or up to
	// 90 s if every query runs into requestTimeout.
	maxOutcomeQueries    = 40
	outcomeQueryInterval = 250 * clock.Millis(1)
)

// queryOutcome queries the agent of target for the outcome of a call until the
// agent states one, at most maxOutcomeQueries times. It returns OutcomeUnknown if
// the agent cannot tell, if the queries are used up or if shard.ctx has ended.
func (e *Entry) queryOutcome(shard *shard, target spool.VM, request wire.OutcomeQuery) program.OutcomeResult {
	unknown := program.OutcomeResult{Outcome: program.OutcomeUnknown, Endpoint: spool.EndpointID(target.ID)}
	for range maxOutcomeQueries {
		var reply wire.OutcomeQueryReply
		ctx, cancel := context.WithTimeout(shard.ctx, requestTimeout.Duration())
		err := e.clients.Call(ctx, target.Address, wire.MethodOutcomeQuery, request, &reply, nil)
		cancel()
		if err != nil {
			e.log.Debug("agent did not answer an outcome query", zap.String("endpoint", string(target.ID)), zap.Error(err))
		}
		switch reply.State {
		case wire.CallStateNotSeen:
			return program.OutcomeResult{Outcome: program.OutcomeNotRun}
		case wire.CallStateDone:
			if reply.Reply == nil || reply.Reply.Service == nil {
				return unknown
			}
			result := outcomeOf(*reply.Reply)
			result.Endpoint = spool.EndpointID(target.ID)
			return result
		case wire.CallStateUnknown:
			return unknown
		}
		if !clock.Pause(shard.ctx, outcomeQueryInterval) {
			break
		}
	}
	return unknown
}
