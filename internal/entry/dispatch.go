package entry

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// errCrossed means that an answer carried another call's correlation, or that
// its pieces do not add up.
var errCrossed = errors.New("answer does not belong to the call")

// errAnswerTooLong means that an endpoint does not stop.
var errAnswerTooLong = errors.New("answer is too long")

// maxAnswerBytes bounds an answer, so that an endpoint that ignores maxTokens
// cannot fill the memory. It is the default bound of a whole history.
const maxAnswerBytes = 4 << 20

// dispatch sends a call to an endpoint and repeats it as the retry policy
// allows. sent reports whether an endpoint may have run it.
func (e *Entry) dispatch(ctx context.Context, shard *shard, flight *flight, request wire.RunRequest) (reply wire.RunReply, sent bool, err error) {
	settings := flight.work.settings
	retries, err := e.policies.retry(settings)
	if err != nil {
		return reply, false, spool.Refuse(spool.CodeInternal, "%v", err)
	}
	retries.Started(e.clock.Now())
	view := e.callView(flight)
	for number := 1; ; number++ {
		target, choice, refusal := e.pick(flight, view)
		e.noteChoice(shard, flight, number, choice, refusal)
		if refusal != nil {
			return reply, sent, refusal.WithNotRun(provenBy(sent))
		}
		reply, err = e.attempt(ctx, shard, flight, request, target)
		if err == nil {
			return reply, true, nil
		}
		failure, refusal := judge(ctx, err)
		sent = sent || refusal.NotRun != spool.NotRunTrue
		refusal = refusal.WithNotRun(worse(refusal.NotRun, provenBy(sent)))
		e.note(shard, flight.ticket.Program, Decision{
			At: e.clock.Now(), Call: flight.ticket.Call, Attempt: number, Endpoint: spool.EndpointID(target.ID),
			Reason: string(failure), Message: refusal.Message,
		})
		if ctx.Err() != nil {
			return reply, sent, refusal
		}
		if refusal.Code == spool.CodeBadRequest {
			// Every engine would answer the same.
			return reply, sent, refusal
		}
		if failure == spool.FailureFenced {
			// The agent has seen a later owner of the stream.
			return reply, sent, notOwner(shard.stream).WithNotRun(refusal.NotRun)
		}
		wait, again := retries.Retry(e.clock.Now(), spool.Attempt{
			Number: number, Failure: failure, NotRun: refusal.NotRun == spool.NotRunTrue,
			Idempotent: request.Idempotent, Deadline: flight.work.deadline, RetryAfter: refusal.RetryAfter,
		})
		if !again || (!request.Idempotent && sent) {
			return reply, sent, refusal
		}
		e.telemetry.Retried(failure)
		view.Tried = append(view.Tried, spool.EndpointID(target.ID))
		if !clock.Pause(ctx, wait) {
			return reply, sent, left(context.Cause(ctx)).WithNotRun(provenBy(sent))
		}
	}
}

// provenBy tells what is known of a call of which sent says whether an
// endpoint may have run it.
func provenBy(sent bool) spool.NotRun {
	if sent {
		return spool.NotRunUnknown
	}
	return spool.NotRunTrue
}

// worse returns the weaker of two statements.
func worse(a, b spool.NotRun) spool.NotRun {
	switch {
	case a == spool.NotRunFalse || b == spool.NotRunFalse:
		return spool.NotRunFalse
	case a == spool.NotRunUnknown || b == spool.NotRunUnknown:
		return spool.NotRunUnknown
	default:
		return spool.NotRunTrue
	}
}

// judge classifies the failure of an attempt.
func judge(ctx context.Context, err error) (spool.Failure, *spool.Refusal) {
	if ctx.Err() != nil {
		notRun := spool.NotRunUnknown
		if errors.Is(err, spool.ErrNotSent) {
			notRun = spool.NotRunTrue
		}
		return spool.FailureTimeout, left(context.Cause(ctx)).WithNotRun(notRun)
	}
	if refusal := refusalOf(err); refusal != nil {
		switch refusal.Code {
		case spool.CodeOverloaded:
			return spool.FailureOverloaded, refusal
		case spool.CodeFenced:
			return spool.FailureFenced, refusal
		case spool.CodeDeadlineExceeded:
			return spool.FailureTimeout, refusal
		case spool.CodeDraining, spool.CodeIsolated, spool.CodeNeedHistory, spool.CodeShuttingDown:
			return spool.FailureRefused, refusal
		default:
			return spool.FailureEndpoint, refusal
		}
	}
	failed := spool.Refuse(spool.CodeEndpointFailed, "connection to the endpoint failed").WithNotRun(spool.NotRunUnknown)
	switch {
	case errors.Is(err, spool.ErrNotSent):
		return spool.FailureNotSent, failed.WithNotRun(spool.NotRunTrue).WithRetryAfter(clock.Second)
	case errors.Is(err, wire.ErrSilent):
		return spool.FailureSilent, failed
	default:
		return spool.FailureLost, failed
	}
}

// attempt makes one call to one endpoint. An agent without the program's
// history gets all of it once.
func (e *Entry) attempt(ctx context.Context, shard *shard, flight *flight, request wire.RunRequest, target spool.VM) (reply wire.RunReply, err error) {
	done := e.fleet.sent(spool.EndpointID(target.ID))
	defer func() { done(reply.Load, err == nil) }()
	reply, err = e.send(ctx, shard, flight, request, target)
	if refusal := refusalOf(err); refusal == nil || refusal.Code != spool.CodeNeedHistory || request.BaseCount == 0 {
		return reply, err
	}
	e.telemetry.Event("historyResent")
	var history []spool.Message
	if !shard.do(func() { history = shard.state.History(flight.ticket.Program) }) || len(history) < request.BaseCount {
		return reply, notOwner(shard.stream)
	}
	whole := make([]spool.Message, 0, request.BaseCount+len(request.Messages))
	whole = append(append(whole, history[:request.BaseCount]...), request.Messages...)
	request.BaseCount, request.BaseDigest, request.Messages = 0, "", whole
	return e.send(ctx, shard, flight, request, target)
}

func (e *Entry) send(ctx context.Context, shard *shard, flight *flight, request wire.RunRequest, target spool.VM) (reply wire.RunReply, err error) {
	ticket := flight.ticket
	request.Correlation = e.correlation()
	request.Entry, request.Account, request.Program, request.Call = e.config.Node, ticket.Account, ticket.Program, ticket.Call
	request.Stream, request.Epoch = shard.stream, shard.epoch
	request.Alarm, request.Weight, request.Attained = ticket.Alarm, flight.work.settings.Weight, ticket.Attained
	if flight.work.deadline > 0 {
		request.DeadlineIn = max(flight.work.deadline-e.clock.Now(), 1)
	}
	request.Attempt = shard.attempts.Add(1)
	flight.begin(request.Attempt)
	next, size := 0, 0
	err = e.clients.Call(ctx, target.Address, wire.MethodRun, request, &reply, func(raw json.RawMessage) error {
		var chunk spool.Chunk
		if json.Unmarshal(raw, &chunk) != nil || chunk.Correlation != request.Correlation || chunk.Index != next {
			return errCrossed
		}
		next++
		if size += len(chunk.Text); size > maxAnswerBytes {
			return errAnswerTooLong
		}
		flight.add(request.Attempt, chunk.Text)
		return nil
	})
	if err == nil {
		err = whole(request, reply, flight)
	}
	if errors.Is(err, errCrossed) {
		e.telemetry.Violated("answerBelongsToCall", zap.String("program", string(ticket.Program)),
			zap.String("endpoint", string(target.ID)))
	}
	return reply, err
}

// whole checks that an answer is that of its request and complete.
func whole(request wire.RunRequest, reply wire.RunReply, flight *flight) error {
	if reply.Correlation != request.Correlation {
		return errCrossed
	}
	if request.Kind == wire.RunService {
		if reply.Service == nil || (reply.Service.Correlation != "" && reply.Service.Correlation != request.Correlation) {
			return errCrossed
		}
		return nil
	}
	if reply.Engine == nil || (reply.Engine.Correlation != "" && reply.Engine.Correlation != request.Correlation) {
		return errCrossed
	}
	got := flight.streamed()
	if len(got) > len(reply.Engine.Text) || reply.Engine.Text[:len(got)] != got {
		return errCrossed
	}
	if rest := reply.Engine.Text[len(got):]; rest != "" {
		flight.add(request.Attempt, rest)
	}
	return nil
}

func (e *Entry) callView(flight *flight) spool.CallView {
	ticket := flight.ticket
	view := spool.CallView{
		Program: ticket.Program, Root: ticket.Root, Account: ticket.Account, Weight: flight.work.settings.Weight,
		Alarm: ticket.Alarm, Attained: ticket.Attained, MaxTokens: ticket.MaxTokens,
		PromptTokens: ticket.BaseTokens + program.EstimateTokens(ticket.Messages),
		ArrivedAt:    flight.work.arrivedAt, Deadline: flight.work.deadline,
	}
	return view
}
