package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"unicode/utf8"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
	"github.com/baobabspool/baobabspool/pkg/usage"
)

// requestDigestBytes is the length of a request digest, a truncated SHA-256 sum.
// The digest shows whether two requests with the same callId are equal.
const requestDigestBytes = 16

// callSpec holds the parameters of a call that program.State does not keep.
type callSpec struct {
	// keyID identifies the API key of the caller.
	keyID string
	// rateLimitCharged is true if the start of the program was already charged to the
	// account's rate limit, so that this call is not charged as well.
	rateLimitCharged bool
	service          spool.ServiceName
	// model is the model of a model call; empty selects the program's model.
	model spool.ModelName
	// serviceCall is the request of a service call; nil for a model call.
	serviceCall *spool.ServiceCall
	// arrivedAt is the time at which the call was admitted to its program.
	// deadline is the time at which the call is cancelled; 0 for none.
	arrivedAt clock.Millis
	deadline  clock.Millis
	settings  Settings
}

// requestDigest returns a digest of a request, so that a callId cannot be
// reused for a different request. The digest ignores Stream, DeadlineIn and
// Alarm: a repeated call may change them, because they do not change the result.
func requestDigest(request any) string {
	switch typed := request.(type) {
	case CallRequest:
		typed.Stream, typed.DeadlineIn, typed.Alarm = false, 0, false
		request = typed
	case ServiceRequest:
		typed.DeadlineIn, typed.Alarm = 0, false
		request = typed
	}
	body, _ := json.Marshal(request)
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:requestDigestBytes])
}

// performCall runs a model call, which is the next turn of a program, or returns
// the recorded answer if the call repeats an earlier one.
func (e *Entry) performCall(ctx context.Context, shard *shard, operation Operation, request CallRequest, sink Sink) (any, error) {
	settings := e.control.Settings(operation.Account, operation.Program)
	if request.MaxTokens == 0 {
		request.MaxTokens = settings.MaxTokens
	}
	callRequest := program.CallRequest{
		Program: operation.Program, Account: operation.Account, Call: request.Call, Body: requestDigest(request),
		Kind: program.CallModel, Idempotent: true, Alarm: request.Alarm,
		Messages: request.Messages, FullPrompt: request.FullPrompt, MaxTokens: request.MaxTokens,
	}
	spec := callSpec{keyID: operation.KeyID, rateLimitCharged: request.RateLimitCharged, model: request.Model, settings: settings}
	answer, replayed, err := e.admitAndAwait(ctx, shard, operation, callRequest, spec, sink)
	if err != nil {
		return nil, err
	}
	return CallReply{
		Call: request.Call, Text: answer.Text, PromptTokens: answer.PromptTokens, CachedTokens: answer.CachedTokens,
		GeneratedTokens: answer.GeneratedTokens, Endpoint: answer.Endpoint, Replayed: replayed,
	}, nil
}

// performServiceCall runs a call of a program to a plain service, or returns the
// recorded answer if the call repeats an earlier one.
func (e *Entry) performServiceCall(ctx context.Context, shard *shard, operation Operation, request ServiceRequest) (any, error) {
	if !e.hasService(request.Service, ServicePlain) {
		return nil, spool.Refuse(spool.CodeNotFound, "service %q does not exist", request.Service)
	}
	callRequest := program.CallRequest{
		Program: operation.Program, Account: operation.Account, Call: request.Call, Body: requestDigest(request),
		Kind: program.CallService, Idempotent: request.Idempotent, Alarm: request.Alarm,
	}
	spec := callSpec{
		keyID: operation.KeyID, service: request.Service, settings: e.control.Settings(operation.Account, operation.Program),
		serviceCall: &spool.ServiceCall{Method: request.Method, Path: request.Path, Body: []byte(request.Body)},
	}
	answer, replayed, err := e.admitAndAwait(ctx, shard, operation, callRequest, spec, func(Event) error { return nil })
	if err != nil {
		return nil, err
	}
	reply := ServiceReply{Call: request.Call, Status: answer.Status, Endpoint: answer.Endpoint, Replayed: replayed}
	if utf8.Valid(answer.Data) {
		reply.Body = string(answer.Data)
	} else {
		reply.BodyBytes = answer.Data
	}
	return reply, nil
}

// admitAndAwait admits a call, passes the text of its answer to sink and returns
// the answer. If the call repeats an earlier one, it gets the recorded answer
// (replayed is then true) or joins the call in progress, and is not charged to
// the account's rate limit.
func (e *Entry) admitAndAwait(ctx context.Context, shard *shard, operation Operation, callRequest program.CallRequest, spec callSpec, sink Sink) (answer program.Answer, replayed bool, err error) {
	var decision program.Decision
	var call *inflightCall
	isRepeat := false
	class := limit.ClassCall
	if !shard.do(func() {
		if view, inspectErr := shard.state.Inspect(operation.Program); inspectErr == nil && view.Alarm || callRequest.Alarm {
			class = limit.ClassAlarm
		}
		decision, isRepeat, err = shard.state.LookupRepeat(callRequest)
		call = shard.joinRepeated(decision, isRepeat, err)
	}) {
		return answer, false, notOwner(shard.stream)
	}
	if !isRepeat && err == nil {
		if !spec.rateLimitCharged {
			if err := e.limits.Admit(ctx, operation.Account, class); err != nil {
				return answer, false, err
			}
		}
		if !shard.do(func() { call, decision, err = e.admit(shard, operation, callRequest, spec) }) {
			return answer, false, notOwner(shard.stream)
		}
	}
	if err != nil {
		return answer, false, err
	}
	if decision.Verdict == program.VerdictReplay {
		if text := decision.Answer.Text; text != "" {
			if err := sink(Event{Text: text}); err != nil {
				return answer, true, cancellationRefusal(err)
			}
		}
		return decision.Answer, true, nil
	}
	answer, err = call.read(ctx, sink)
	return answer, false, err
}

// joinRepeated takes the results of State.LookupRepeat for a call. If the call
// repeats one that is in flight, joinRepeated adds a reader to the in-flight call
// and returns it; otherwise it returns nil. It must run on the shard's goroutine.
func (s *shard) joinRepeated(decision program.Decision, isRepeat bool, err error) *inflightCall {
	if !isRepeat || err != nil || decision.Verdict != program.VerdictJoin {
		return nil
	}
	return s.joinInflight(decision.Ticket.ID)
}

// joinInflight adds a reader to the in-flight call of a ticket and returns the
// call, or nil if none has this ticket. It must run on the shard's goroutine.
func (s *shard) joinInflight(ticket uint64) *inflightCall {
	call := s.inflight[ticket]
	if call != nil {
		call.addReader()
	}
	return call
}

// admit asks the program's state whether a call may run. A new call is registered
// as in flight, and is started unless it must wait for earlier calls of the
// program; a repeated call joins the one in progress. admit returns the in-flight
// call with a reader added, or nil if the call has already finished and its
// recorded answer is replayed. It refuses every call while MaxCalls calls are in
// flight. It must run on the shard's goroutine.
func (e *Entry) admit(shard *shard, operation Operation, callRequest program.CallRequest, spec callSpec) (*inflightCall, program.Decision, error) {
	now := e.clock.Now()
	if e.activeCalls.Load() >= int64(e.config.MaxCalls) {
		return nil, program.Decision{}, spool.Refuse(spool.CodeOverloaded, "entry runs %d calls, its limit", e.config.MaxCalls).
			WithRetryAfter(clock.Second)
	}
	decision, err := shard.state.Admit(now, callRequest)
	if err != nil {
		return nil, decision, err
	}
	switch decision.Verdict {
	case program.VerdictReplay:
		return nil, decision, nil
	case program.VerdictJoin:
		return shard.joinInflight(decision.Ticket.ID), decision, nil
	}
	spec.arrivedAt, spec.deadline = now, operation.Deadline
	if spec.deadline == 0 && spec.settings.CallTimeout > 0 {
		spec.deadline = now + spec.settings.CallTimeout
	}
	created := newInflightCall(shard.ctx, decision.Ticket, spec)
	created.addReader()
	shard.inflight[decision.Ticket.ID] = created
	e.activeCalls.Add(1)
	if decision.Verdict == program.VerdictRun {
		e.startCall(shard, created, decision.Ticket)
	} else {
		e.watchWaitingCall(shard, created)
	}
	return created, decision, nil
}

// startCall starts running an admitted call on callPool, unless the call was
// cancelled while it waited. It must run on the shard's goroutine.
func (e *Entry) startCall(shard *shard, call *inflightCall, ticket program.Ticket) {
	call.startOnce.Do(func() {
		call.ticket = ticket
		call.markStarted()
		e.callPool.Submit(func() { e.runCall(shard, call) })
	})
}

// watchWaitingCall finishes a waiting call with a refusal if its context ends
// before the call has started: when all callers of the call have left, its program
// has ended or the stream is lost.
func (e *Entry) watchWaitingCall(shard *shard, call *inflightCall) {
	context.AfterFunc(call.ctx, func() {
		call.startOnce.Do(func() {
			e.finishCall(shard, call, program.Answer{}, cancellationRefusal(context.Canceled).WithNotRun(spool.NotRunTrue))
		})
	})
}

// runCall dispatches a call and finishes it. It applies the earlier of two
// deadlines: that of the call and the end of the program tree's wall-time budget.
func (e *Entry) runCall(shard *shard, call *inflightCall) {
	ctx := call.ctx
	if deadline := earlierDeadline(call.spec.deadline, call.ticket.Deadline); deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, (deadline - e.clock.Now()).Duration(), context.DeadlineExceeded)
		defer cancel()
		call.spec.deadline = deadline
	}
	if call.ticket.Kind == program.CallService {
		answer, err := e.dispatchServiceCall(ctx, shard, call)
		e.finishCall(shard, call, answer, err)
		return
	}
	answer, err := e.dispatchModelCall(ctx, shard, call)
	e.finishCall(shard, call, answer, err)
}

// earlierDeadline returns the earlier of two deadlines; 0 means no deadline.
func earlierDeadline(a, b clock.Millis) clock.Millis {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}

// finishCall publishes the result of a call, releases its ticket and starts the
// next waiting call of the program. It counts a violation if the program tree has
// exceeded its budget.
func (e *Entry) finishCall(shard *shard, call *inflightCall, answer program.Answer, err error) {
	if refusal := refusalOf(err); refusal != nil && shard.ctx.Err() != nil {
		// The call was cancelled because this process has lost the stream. On
		// the refusal notOwner, the entry that the caller is connected to repeats
		// the call at the new owner.
		err = notOwner(shard.stream).WithNotRun(refusal.NotRun)
	}
	call.finish(answer, err)
	call.cancel()
	if err == nil && call.ticket.Alarm {
		e.usage.AlarmAnswered(call.ticket.Account, e.clock.Now()-call.spec.arrivedAt)
	}
	e.activeCalls.Add(-1)
	shard.do(func() {
		delete(shard.inflight, call.ticket.ID)
		e.applyGrants(shard, shard.state.Release(e.clock.Now(), call.ticket.ID))
		if overspent := shard.state.Overspent(call.ticket.Root); overspent {
			e.telemetry.CountViolation("budgetHolds", zap.String("program", string(call.ticket.Root)))
		}
	})
}

// applyGrants applies each grant to its waiting call: it starts the call or, if the
// grant has a refusal, finishes the call with the refusal. It must run on the
// shard's goroutine.
func (e *Entry) applyGrants(shard *shard, grants []program.Grant) {
	for _, grant := range grants {
		waiting := shard.inflight[grant.Ticket.ID]
		if waiting == nil {
			continue
		}
		if grant.Refusal == nil {
			e.startCall(shard, waiting, grant.Ticket)
			continue
		}
		delete(shard.inflight, grant.Ticket.ID)
		waiting.startOnce.Do(func() {
			waiting.finish(program.Answer{}, grant.Refusal)
			waiting.cancel()
			e.activeCalls.Add(-1)
		})
	}
}

// dispatchModelCall dispatches a model call, makes the resulting turn of the
// program durable and returns the answer. If the call fails after it may have run,
// dispatchModelCall records its cost.
func (e *Entry) dispatchModelCall(ctx context.Context, shard *shard, call *inflightCall) (answer program.Answer, err error) {
	ticket := call.ticket
	model := call.spec.model
	if model == "" {
		model = ticket.Model
	}
	service, ok := e.serviceOfModel(model)
	if !ok {
		return answer, spool.Refuse(spool.CodeNotFound, "model %q does not exist", model)
	}
	call.spec.service, call.spec.model = service, model
	request := wire.RunRequest{
		Kind: wire.RunModel, Model: model, MaxTokens: ticket.MaxTokens,
		BaseCount: ticket.BaseCount, BaseDigest: ticket.BaseDigest, Messages: ticket.Messages, Idempotent: true,
	}
	reply, mayHaveRun, err := e.dispatch(ctx, shard, call, request)
	if err != nil {
		if mayHaveRun {
			e.recordSpent(shard, call)
		}
		return answer, err
	}
	engine := reply.Engine
	e.endpoints.recordCachedTokens(reply.Load.Endpoint, ticket.Program, engine.PromptTokens+engine.GeneratedTokens)
	e.usage.Turn(ticket.Account, usage.TurnTokens{
		History: ticket.BaseTokens, Prompt: engine.PromptTokens, Cached: engine.CachedTokens, Generated: engine.GeneratedTokens,
	})
	var record spool.Record
	overspent := false
	if !shard.do(func() {
		record, overspent = shard.state.TurnRecord(e.clock.Now(), ticket.ID, program.TurnResult{
			Text: engine.Text, PromptTokens: engine.PromptTokens, CachedTokens: engine.CachedTokens,
			GeneratedTokens: engine.GeneratedTokens, Endpoint: reply.Load.Endpoint,
		})
	}) {
		return answer, notOwner(shard.stream)
	}
	if overspent {
		e.telemetry.CountViolation("reservationCoversCall", zap.String("program", string(ticket.Program)),
			zap.Int("generatedTokens", engine.GeneratedTokens))
	}
	if err := e.commit(shard.ctx, shard, []spool.Record{record}, false); err != nil {
		// The refusal of commit may claim that the call did not run, if the turn
		// was provably not recorded. But the engine has run the call.
		return answer, markAsRun(err)
	}
	return program.Answer{
		Kind: program.CallModel, Text: engine.Text, PromptTokens: engine.PromptTokens, CachedTokens: engine.CachedTokens,
		GeneratedTokens: engine.GeneratedTokens, Endpoint: reply.Load.Endpoint,
	}, nil
}

// markAsRun is for the refusal of a call that an endpoint has run: it changes
// NotRunTrue to NotRunFalse. It returns any other error unchanged.
func markAsRun(err error) error {
	if refusal := refusalOf(err); refusal != nil && refusal.NotRun == spool.NotRunTrue {
		return refusal.WithNotRun(spool.NotRunFalse)
	}
	return err
}

// recordSpent charges the program's budget for a call that may have run but has
// no recorded turn or outcome. If the record cannot be made durable, recordSpent
// only counts an event.
func (e *Entry) recordSpent(shard *shard, call *inflightCall) {
	var record spool.Record
	if shard.do(func() {
		record = shard.state.SpentRecord(e.clock.Now(), call.ticket.ID, len(call.attemptText()))
	}) {
		if err := e.commit(shard.ctx, shard, []spool.Record{record}, false); err != nil {
			e.telemetry.CountEvent("spentNotRecorded")
		}
	}
}
