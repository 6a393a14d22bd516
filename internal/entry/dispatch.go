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

// errAnswerMismatch means that an answer or a chunk carries the correlation of
// another call, that a chunk is malformed or out of order, or that the chunks are
// not a prefix of the final text.
var errAnswerMismatch = errors.New("answer does not belong to the call")

// errAnswerTooLong means that an answer exceeds maxAnswerBytes.
var errAnswerTooLong = errors.New("answer exceeds the maximum size")

// maxAnswerBytes is the maximum size of the streamed text of one attempt, so that
// an endpoint that ignores maxTokens cannot exhaust the memory of the entry. It
// equals program.DefaultLimits.HistoryBytes, the default limit on the whole
// history of a program.
const maxAnswerBytes = 4 << 20

// dispatch sends a call to an endpoint and retries it, also at other endpoints, as
// the retry policy allows. It does not retry a non-idempotent call that may have
// run. mayHaveRun reports whether an endpoint may have run the call in any
// attempt. An error is a *spool.Refusal.
func (e *Entry) dispatch(ctx context.Context, shard *shard, call *inflightCall, request wire.RunRequest) (reply wire.RunReply, mayHaveRun bool, err error) {
	settings := call.spec.settings
	retryPolicy, err := e.policies.retry(settings)
	if err != nil {
		return reply, false, spool.Refuse(spool.CodeInternal, "%v", err)
	}
	retryPolicy.Started(e.clock.Now())
	view := e.newCallView(call)
	for attempt := 1; ; attempt++ {
		target, choice, refusal := e.pickEndpoint(call, view)
		e.recordChoice(shard, call, attempt, choice, refusal)
		if refusal != nil {
			return reply, mayHaveRun, refusal.WithNotRun(notRunFor(mayHaveRun))
		}
		reply, err = e.runAttempt(ctx, shard, call, request, target)
		if err == nil {
			return reply, true, nil
		}
		failure, refusal := classifyFailure(ctx, err)
		mayHaveRun = mayHaveRun || refusal.NotRun != spool.NotRunTrue
		refusal = refusal.WithNotRun(weakerNotRun(refusal.NotRun, notRunFor(mayHaveRun)))
		e.recordDecision(shard, call.ticket.Program, Decision{
			At: e.clock.Now(), Call: call.ticket.Call, Attempt: attempt, Endpoint: spool.EndpointID(target.ID),
			Reason: string(failure), Message: refusal.Message,
		})
		if ctx.Err() != nil {
			return reply, mayHaveRun, refusal
		}
		if refusal.Code == spool.CodeBadRequest {
			// Every endpoint would refuse the request for the same reason.
			return reply, mayHaveRun, refusal
		}
		if failure == spool.FailureFenced {
			// The agent has received a message from a later owner of the stream,
			// so this process owns the stream no longer.
			return reply, mayHaveRun, notOwner(shard.stream).WithNotRun(refusal.NotRun)
		}
		wait, shouldRetry := retryPolicy.Retry(e.clock.Now(), spool.Attempt{
			Number: attempt, Failure: failure, NotRun: refusal.NotRun == spool.NotRunTrue,
			Idempotent: request.Idempotent, Deadline: call.spec.deadline, RetryAfter: refusal.RetryAfter,
		})
		if !shouldRetry || (!request.Idempotent && mayHaveRun) {
			return reply, mayHaveRun, refusal
		}
		e.telemetry.CountRetry(failure)
		view.Tried = append(view.Tried, spool.EndpointID(target.ID))
		if !clock.Pause(ctx, wait) {
			return reply, mayHaveRun, cancellationRefusal(context.Cause(ctx)).WithNotRun(notRunFor(mayHaveRun))
		}
	}
}

// notRunFor returns the NotRun of a failed call: NotRunUnknown if an endpoint may
// have run the call, NotRunTrue otherwise.
func notRunFor(mayHaveRun bool) spool.NotRun {
	if mayHaveRun {
		return spool.NotRunUnknown
	}
	return spool.NotRunTrue
}

// weakerNotRun combines the NotRun of two attempts at the same call into that of
// the call: NotRunFalse if at least one attempt ran, NotRunTrue if neither ran,
// and NotRunUnknown otherwise.
func weakerNotRun(a, b spool.NotRun) spool.NotRun {
	switch {
	case a == spool.NotRunFalse || b == spool.NotRunFalse:
		return spool.NotRunFalse
	case a == spool.NotRunUnknown || b == spool.NotRunUnknown:
		return spool.NotRunUnknown
	default:
		return spool.NotRunTrue
	}
}

// classifyFailure maps the error of an attempt to the failure that the retry
// policy gets and to the refusal that the caller gets. If ctx has ended, the
// failure is FailureTimeout and the refusal states why ctx has ended.
func classifyFailure(ctx context.Context, err error) (spool.Failure, *spool.Refusal) {
	if ctx.Err() != nil {
		notRun := spool.NotRunUnknown
		if errors.Is(err, spool.ErrNotSent) {
			notRun = spool.NotRunTrue
		}
		return spool.FailureTimeout, cancellationRefusal(context.Cause(ctx)).WithNotRun(notRun)
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
	case errors.Is(err, wire.ErrHeartbeatTimeout):
		return spool.FailureSilent, failed
	default:
		return spool.FailureLost, failed
	}
}

// runAttempt sends a call to one endpoint and records the load report in the
// answer. If the agent refuses because it does not have the program's history,
// runAttempt sends the call again, once, with the whole history.
func (e *Entry) runAttempt(ctx context.Context, shard *shard, call *inflightCall, request wire.RunRequest, target spool.VM) (reply wire.RunReply, err error) {
	recordEnd := e.endpoints.recordSent(spool.EndpointID(target.ID))
	defer func() { recordEnd(reply.Load, err == nil) }()
	reply, err = e.sendAttempt(ctx, shard, call, request, target)
	if refusal := refusalOf(err); refusal == nil || refusal.Code != spool.CodeNeedHistory || request.BaseCount == 0 {
		return reply, err
	}
	e.telemetry.CountEvent("historyResent")
	var history []spool.Message
	if !shard.do(func() { history = shard.state.History(call.ticket.Program) }) || len(history) < request.BaseCount {
		return reply, notOwner(shard.stream)
	}
	messages := make([]spool.Message, 0, request.BaseCount+len(request.Messages))
	messages = append(append(messages, history[:request.BaseCount]...), request.Messages...)
	request.BaseCount, request.BaseDigest, request.Messages = 0, "", messages
	return e.sendAttempt(ctx, shard, call, request, target)
}

// sendAttempt sends one run request to an agent, under a new attempt number, and
// passes the text of the answer to the readers of the call. It counts a violation
// if the answer does not belong to the call.
func (e *Entry) sendAttempt(ctx context.Context, shard *shard, call *inflightCall, request wire.RunRequest, target spool.VM) (reply wire.RunReply, err error) {
	ticket := call.ticket
	request.Correlation = e.newCorrelation()
	request.Entry, request.Account, request.Program, request.Call = e.config.Node, ticket.Account, ticket.Program, ticket.Call
	request.Stream, request.Epoch = shard.stream, shard.epoch
	request.Alarm, request.Weight, request.Attained = ticket.Alarm, call.spec.settings.Weight, ticket.Attained
	if call.spec.deadline > 0 {
		request.DeadlineIn = max(call.spec.deadline-e.clock.Now(), 1)
	}
	request.Attempt = shard.attemptCounter.Add(1)
	call.beginAttempt(request.Attempt)
	nextIndex, size := 0, 0
	err = e.clients.Call(ctx, target.Address, wire.MethodRun, request, &reply, func(raw json.RawMessage) error {
		var chunk spool.Chunk
		if json.Unmarshal(raw, &chunk) != nil || chunk.Correlation != request.Correlation || chunk.Index != nextIndex {
			return errAnswerMismatch
		}
		nextIndex++
		if size += len(chunk.Text); size > maxAnswerBytes {
			return errAnswerTooLong
		}
		call.appendText(request.Attempt, chunk.Text)
		return nil
	})
	if err == nil {
		err = completeAnswer(request, reply, call)
	}
	if errors.Is(err, errAnswerMismatch) {
		e.telemetry.CountViolation("answerBelongsToCall", zap.String("program", string(ticket.Program)),
			zap.String("endpoint", string(target.ID)))
	}
	return reply, err
}

// completeAnswer checks that an answer belongs to its request and, for a model
// call, that the received chunks are a prefix of the final text. It passes the
// rest of the final text to the readers of the call.
func completeAnswer(request wire.RunRequest, reply wire.RunReply, call *inflightCall) error {
	if reply.Correlation != request.Correlation {
		return errAnswerMismatch
	}
	if request.Kind == wire.RunService {
		if reply.Service == nil || (reply.Service.Correlation != "" && reply.Service.Correlation != request.Correlation) {
			return errAnswerMismatch
		}
		return nil
	}
	if reply.Engine == nil || (reply.Engine.Correlation != "" && reply.Engine.Correlation != request.Correlation) {
		return errAnswerMismatch
	}
	received := call.attemptText()
	if len(received) > len(reply.Engine.Text) || reply.Engine.Text[:len(received)] != received {
		return errAnswerMismatch
	}
	if rest := reply.Engine.Text[len(received):]; rest != "" {
		call.appendText(request.Attempt, rest)
	}
	return nil
}

// newCallView returns the description of a call for the router policy. It leaves
// out Correlation and Tried, which change with each attempt.
func (e *Entry) newCallView(call *inflightCall) spool.CallView {
	ticket := call.ticket
	view := spool.CallView{
		Program: ticket.Program, Root: ticket.Root, Account: ticket.Account, Weight: call.spec.settings.Weight,
		Alarm: ticket.Alarm, Attained: ticket.Attained, MaxTokens: ticket.MaxTokens,
		PromptTokens: ticket.BaseTokens + program.EstimateTokens(ticket.Messages),
		ArrivedAt:    call.spec.arrivedAt, Deadline: call.spec.deadline,
	}
	return view
}
