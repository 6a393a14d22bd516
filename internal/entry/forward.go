package entry

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// maxForwards is the maximum number of times that an entry forwards one
	// operation to owners. The count restarts when an owner refuses with
	// CodeOutcomePending.
	maxForwards = 8
	// minOwnerWait and maxOwnerWait are the first and the maximum wait before an
	// operation is repeated; the wait doubles each time. A new owner needs a few
	// hundred milliseconds to claim a stream and fence the previous owner.
	minOwnerWait = 25 * clock.Millis(1)
	maxOwnerWait = 400 * clock.Millis(1)
)

// execute runs a caller's operation at the owner of the program and counts the
// result in the usage of the account. It returns the reply as JSON.
func (e *Entry) execute(ctx context.Context, operation Operation, sink Sink) (json.RawMessage, error) {
	body, err := e.executeAtOwner(ctx, operation, sink)
	e.countUsage(operation, err)
	return body, err
}

// executeAtOwner runs an operation at the owner of the program, which may be
// another entry. If the stream has no owner or moves to another one, or if the
// outcome of the call is still pending, it repeats the operation for up to
// ForwardFor. Repeating is safe even if it is unknown whether the operation ran:
// show, end and cancel are idempotent, and an owner recognizes a repetition of any
// other operation by its callId or by the identifier of the new program. An error
// is a *spool.Refusal.
func (e *Entry) executeAtOwner(ctx context.Context, operation Operation, sink Sink) (json.RawMessage, error) {
	stream := spool.StreamOfProgram(operation.Program, e.config.Streams)
	giveUpAt := e.clock.Now() + e.config.ForwardFor
	relay := &eventRelay{sink: sink}
	wait, forwards := minOwnerWait, 0
	notRun := spool.NotRunTrue
	for {
		relay.beginAttempt()
		body, err := e.tryOwner(ctx, stream, operation, relay.relayEvent, &forwards)
		if err == nil {
			return body, nil
		}
		refusal := refusalOf(err)
		if refusal == nil {
			refusal = spool.Refuse(spool.CodeInternal, "%v", err).WithNotRun(spool.NotRunUnknown)
		}
		notRun = weakerNotRun(notRun, refusal.NotRun)
		refusal = refusal.WithNotRun(notRun)
		reason, repeat := canRepeat(refusal)
		if reason == spool.FailureOutcomePending {
			// The owner was reached. It is querying an agent for the outcome of the
			// call, which may take longer than maxForwards attempts.
			forwards = 0
		}
		if !repeat || forwards >= maxForwards || e.clock.Now()+wait > giveUpAt {
			return nil, refusal
		}
		e.telemetry.CountRetry(reason)
		if !clock.Pause(ctx, wait) {
			return nil, cancellationRefusal(context.Cause(ctx)).WithNotRun(notRun)
		}
		wait = min(2*wait, maxOwnerWait)
	}
}

// canRepeat reports whether a refused operation may succeed if it is repeated: at
// another owner, or once the outcome of the call is known. reason is the label
// under which the repetition is counted. ok is false if the owner is alive but
// unreachable from this region, because then only an entry in another region can
// answer.
func canRepeat(refusal *spool.Refusal) (reason spool.Failure, ok bool) {
	switch {
	case refusal.Code == spool.CodeNoOwner && refusal.Owner != "":
		return "", false
	case refusal.Code == spool.CodeNotOwner, refusal.Code == spool.CodeNoOwner, refusal.Code == spool.CodeShuttingDown:
		return spool.FailureNotOwner, true
	case refusal.Code == spool.CodeOutcomePending:
		return spool.FailureOutcomePending, true
	default:
		return "", false
	}
}

// tryOwner runs the operation once: in this process if it serves the stream,
// otherwise by forwarding the operation to the current owner, which increments
// forwards. If no reachable owner is known, it returns a refusal with CodeNoOwner.
func (e *Entry) tryOwner(ctx context.Context, stream spool.Stream, operation Operation, sink Sink, forwards *int) (json.RawMessage, error) {
	if shard := e.shards.get(stream); shard != nil && shard.isServing() {
		result, err := e.perform(ctx, shard, operation, sink)
		if err != nil {
			return nil, err
		}
		return json.Marshal(result)
	}
	owner, address, ok := e.streams.OwnerOf(stream)
	if !ok || owner == e.config.Node {
		return nil, spool.Refuse(spool.CodeNoOwner, "stream %s has no owner at the moment", stream).WithRetryAfter(moveRetryAfter)
	}
	if address == "" {
		refusal := spool.Refuse(spool.CodeNoOwner, "the owner of stream %s cannot be reached from this region", stream).WithRetryAfter(moveRetryAfter)
		refusal.Owner = owner
		return nil, refusal
	}
	*forwards++
	request := wire.ForwardRequest{
		Operation: operation.Name, Correlation: e.newCorrelation(), Account: operation.Account,
		KeyID: operation.KeyID, Program: operation.Program, Body: operation.Body,
	}
	if operation.Deadline > 0 {
		request.DeadlineIn = max(operation.Deadline-e.clock.Now(), 1)
	}
	var reply wire.ForwardReply
	err := e.clients.Call(ctx, address, wire.MethodForward, request, &reply, func(raw json.RawMessage) error {
		var chunk forwardChunk
		if json.Unmarshal(raw, &chunk) != nil || chunk.Correlation != request.Correlation {
			return errAnswerMismatch
		}
		return sink(chunk.Event)
	})
	switch {
	case err == nil && reply.Correlation != request.Correlation:
		e.telemetry.CountViolation("answerBelongsToCall")
		return nil, spool.Refuse(spool.CodeInternal, "answer of the owner belongs to another call").WithNotRun(spool.NotRunUnknown)
	case err == nil:
		return reply.Body, nil
	case refusalOf(err) != nil:
		return nil, refusalOf(err)
	case ctx.Err() != nil:
		return nil, cancellationRefusal(context.Cause(ctx))
	case errors.Is(err, spool.ErrNotSent):
		return nil, notOwner(stream).WithNotRun(spool.NotRunTrue)
	default:
		return nil, notOwner(stream)
	}
}

// forwardChunk carries one event of a forwarded operation.
type forwardChunk struct {
	Correlation string `json:"correlation"`
	Event
}

// handleForward serves the wire method entry.forward: it runs an operation that
// another entry has forwarded. If this process does not serve the stream, it
// refuses with CodeNotOwner and does not forward the operation any further; the
// other entry repeats it at the new owner.
func (e *Entry) handleForward(ctx context.Context, request wire.ForwardRequest, send wire.Send) (any, error) {
	if err := checkProgramID(request.Program); err != nil {
		return nil, err
	}
	stream := spool.StreamOfProgram(request.Program, e.config.Streams)
	shard := e.shards.get(stream)
	if shard == nil || !shard.isServing() {
		refusal := spool.Refuse(spool.CodeNotOwner, "stream %s is not owned by this entry", stream).WithRetryAfter(moveRetryAfter)
		refusal.Owner, _, _ = e.streams.OwnerOf(stream)
		return nil, refusal
	}
	if !e.beginOperation() {
		return nil, spool.Refuse(spool.CodeShuttingDown, "entry is shutting down").WithRetryAfter(moveRetryAfter)
	}
	defer e.endOperation()
	operation := Operation{
		Name: request.Operation, Account: request.Account, KeyID: request.KeyID, Program: request.Program, Body: request.Body,
	}
	if request.DeadlineIn > 0 {
		operation.Deadline = e.clock.Now() + request.DeadlineIn
	}
	ctx, cancel := e.contextWhileKeyValid(ctx, request.KeyID)
	defer cancel()
	result, err := e.perform(ctx, shard, operation, func(event Event) error {
		return send(forwardChunk{Correlation: request.Correlation, Event: event})
	})
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(result)
	return wire.ForwardReply{Correlation: request.Correlation, Body: body}, err
}

// eventRelay passes the events of several attempts at one operation to a sink as
// one answer, without repeating text that the sink has already got.
type eventRelay struct {
	sink Sink
	text attemptMerger
}

func (r *eventRelay) beginAttempt() { r.text.beginAttempt() }

// relayEvent appends the event's text to the text of the attempt; an event with
// Restart first begins a new attempt. While the attempt repeats text already sent,
// nothing is sent to the sink; text beyond that is sent as it is. If the attempt
// deviates from the text already sent, its whole text is sent as a restart.
func (r *eventRelay) relayEvent(event Event) error {
	if event.Restart {
		r.text.beginAttempt()
	}
	publishedBefore := len(r.text.published)
	if r.text.appendText(event.Text) {
		return r.sink(Event{Text: string(r.text.published), Restart: true})
	}
	if fresh := r.text.published[publishedBefore:]; len(fresh) > 0 {
		return r.sink(Event{Text: string(fresh)})
	}
	return nil
}
