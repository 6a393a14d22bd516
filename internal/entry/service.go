package entry

import (
	"context"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// runService makes a call to a plain service and records its outcome.
func (e *Entry) runService(ctx context.Context, shard *shard, flight *flight) (answer program.Answer, err error) {
	request := wire.RunRequest{Kind: wire.RunService, Service: flight.work.plain, Idempotent: flight.ticket.Idempotent}
	if !flight.ticket.Idempotent {
		return e.runOnce(ctx, shard, flight, request)
	}
	reply, sent, err := e.dispatch(ctx, shard, flight, request)
	if err != nil {
		if sent {
			e.charge(shard, flight)
		}
		return answer, err
	}
	return e.conclude(shard, flight, doneBy(reply))
}

func doneBy(reply wire.RunReply) program.OutcomeResult {
	return program.OutcomeResult{
		Fate: program.FateDone, Status: reply.Service.Status, Answer: reply.Service.Body, Endpoint: reply.Load.Endpoint,
	}
}

// conclude records the outcome of a service call and returns its answer.
func (e *Entry) conclude(shard *shard, flight *flight, result program.OutcomeResult) (answer program.Answer, err error) {
	var entry spool.Record
	if !shard.do(func() { entry = shard.state.Outcome(e.clock.Now(), flight.ticket.ID, result) }) {
		return answer, notOwner(shard.stream)
	}
	if err := e.commit(shard.ctx, shard, []spool.Record{entry}, false); err != nil {
		return answer, ran(err)
	}
	return program.Answer{
		Kind: program.CallService, Status: result.Status, Data: result.Answer, Endpoint: result.Endpoint,
	}, nil
}

// runOnce makes a non-idempotent call: its intent is committed on the log
// before the dispatch, and a fate that cannot be found out stays unknown.
func (e *Entry) runOnce(ctx context.Context, shard *shard, flight *flight, request wire.RunRequest) (answer program.Answer, err error) {
	retries, err := e.policies.retry(flight.work.settings)
	if err != nil {
		return answer, spool.Refuse(spool.CodeInternal, "%v", err)
	}
	retries.Started(e.clock.Now())
	view := e.callView(flight)
	for number := 1; ; number++ {
		target, choice, refusal := e.pick(flight, view)
		if refusal != nil {
			e.noteChoice(shard, flight, number, choice, refusal)
			return answer, refusal
		}
		if request.Mark, err = e.learnMark(ctx, target); err != nil {
			failure, refused := judge(ctx, err)
			if wait, again := e.again(ctx, flight, retries, number, failure, refused.WithNotRun(spool.NotRunTrue)); !again || !clock.Pause(ctx, wait) {
				return answer, refused.WithNotRun(spool.NotRunTrue)
			}
			view.Tried = append(view.Tried, spool.EndpointID(target.ID))
			continue
		}
		if err := e.intend(ctx, shard, flight, target, request.Mark); err != nil {
			return answer, err
		}
		e.noteChoice(shard, flight, number, choice, nil)
		reply, err := e.attempt(ctx, shard, flight, request, target)
		result := program.OutcomeResult{}
		failure, refused := spool.Failure(""), (*spool.Refusal)(nil)
		if err == nil {
			result = doneBy(reply)
		} else {
			failure, refused = judge(ctx, err)
			result = e.fateAfter(shard, flight, request, target, refused)
		}
		answer, err := e.conclude(shard, flight, result)
		switch {
		case err != nil || result.Fate == program.FateDone:
			return answer, err
		case result.Fate == program.FateUnknown:
			return answer, spool.Refuse(spool.CodeUnknownFate, "call may have run and is not repeated: %s", refused.Message).
				WithNotRun(spool.NotRunUnknown)
		}
		refused = refused.WithNotRun(spool.NotRunTrue)
		wait, again := e.again(ctx, flight, retries, number, failure, refused)
		if !again || !clock.Pause(ctx, wait) {
			return answer, refused
		}
		if failure == spool.FailureFenced && e.poll(ctx, target) == nil {
			// The agent has restarted since its mark was learned.
			continue
		}
		view.Tried = append(view.Tried, spool.EndpointID(target.ID))
	}
}

// again asks the retry policy about a call that provably did not run.
func (e *Entry) again(ctx context.Context, flight *flight, retries spool.RetryPolicy, number int, failure spool.Failure, refusal *spool.Refusal) (clock.Millis, bool) {
	if ctx.Err() != nil {
		return 0, false
	}
	wait, ok := retries.Retry(e.clock.Now(), spool.Attempt{
		Number: number, Failure: failure, NotRun: true,
		Deadline: flight.work.deadline, RetryAfter: refusal.RetryAfter,
	})
	if ok {
		e.telemetry.Retried(failure)
	}
	return wait, ok
}

// intend commits the intent of a call on the log.
func (e *Entry) intend(ctx context.Context, shard *shard, flight *flight, target spool.VM, mark spool.AgentMark) error {
	var entry spool.Record
	if !shard.do(func() {
		entry = shard.state.Intent(e.clock.Now(), flight.ticket.ID, flight.work.service, spool.EndpointID(target.ID), shard.epoch, mark)
	}) {
		return notOwner(shard.stream).WithNotRun(spool.NotRunTrue)
	}
	err := e.commit(ctx, shard, []spool.Record{entry}, true)
	if err == nil {
		return nil
	}
	refusal := asRefusal(err)
	if refusal.NotRun != spool.NotRunTrue {
		// The intent may be on the log, but nothing was dispatched; whoever
		// reads it asks the agent, which proves that the call did not run.
		e.telemetry.Event("intentInDoubt")
	}
	return refusal.WithNotRun(spool.NotRunTrue)
}

// learnMark returns the mark of an agent, asking for it when it is not known.
func (e *Entry) learnMark(ctx context.Context, target spool.VM) (spool.AgentMark, error) {
	if mark := e.fleet.mark(spool.EndpointID(target.ID)); mark.Boot != "" {
		return mark, nil
	}
	if err := e.poll(ctx, target); err != nil {
		return spool.AgentMark{}, err
	}
	return e.fleet.mark(spool.EndpointID(target.ID)), nil
}

// fateAfter finds out whether a failed non-idempotent call has run.
func (e *Entry) fateAfter(shard *shard, flight *flight, request wire.RunRequest, target spool.VM, refused *spool.Refusal) program.OutcomeResult {
	if refused.NotRun == spool.NotRunTrue {
		return program.OutcomeResult{Fate: program.FateNotRun}
	}
	ticket := flight.ticket
	return e.askFate(shard, target, wire.FateRequest{
		Account: ticket.Account, Program: ticket.Program, Call: ticket.Call, Stream: shard.stream,
		Epoch: shard.epoch, Attempt: flight.attempt(), Mark: request.Mark,
	})
}

const (
	// fateAttempts and fateWait bound how long an agent is asked about a call
	// that still runs or while the agent does not answer.
	fateAttempts = 40
	fateWait     = 250 * clock.Millis(1)
)

// askFate asks an agent until the call has ended. An agent that stays away
// leaves the fate unknown.
func (e *Entry) askFate(shard *shard, target spool.VM, request wire.FateRequest) program.OutcomeResult {
	unknown := program.OutcomeResult{Fate: program.FateUnknown, Endpoint: spool.EndpointID(target.ID)}
	for range fateAttempts {
		var reply wire.FateReply
		ctx, cancel := context.WithTimeout(shard.ctx, requestTimeout.Duration())
		err := e.clients.Call(ctx, target.Address, wire.MethodFate, request, &reply, nil)
		cancel()
		if err != nil {
			e.log.Debug("fate is not known yet", zap.String("endpoint", string(target.ID)), zap.Error(err))
		}
		switch reply.Fate {
		case wire.FateNotSeen:
			return program.OutcomeResult{Fate: program.FateNotRun}
		case wire.FateDone:
			if reply.Reply == nil || reply.Reply.Service == nil {
				return unknown
			}
			result := doneBy(*reply.Reply)
			result.Endpoint = spool.EndpointID(target.ID)
			return result
		case wire.FateUnknown:
			return unknown
		}
		if !clock.Pause(shard.ctx, fateWait) {
			break
		}
	}
	return unknown
}
