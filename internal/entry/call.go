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

// bodyDigestBytes is the length of the digest that tells a repeated call from
// another one with the same callId.
const bodyDigestBytes = 16

// work is what a flight is to do once its turn has come.
type work struct {
	keyID string
	// paid means that the account's rate has been charged already.
	paid    bool
	service spool.ServiceName
	// model is that of a model call; empty stands for the program's.
	model spool.ModelName
	// plain is the request of a service call.
	plain *spool.ServiceCall
	// arrivedAt and deadline are instants; deadline is 0 for none.
	arrivedAt clock.Millis
	deadline  clock.Millis
	settings  Settings
}

// bodyDigest names a request, so that a callId cannot be reused for another.
func bodyDigest(request any) string {
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
	return hex.EncodeToString(sum[:bodyDigestBytes])
}

func (e *Entry) call(ctx context.Context, shard *shard, operation Operation, request CallRequest, sink Sink) (any, error) {
	settings := e.control.Settings(operation.Account, operation.Program)
	if request.MaxTokens == 0 {
		request.MaxTokens = settings.MaxTokens
	}
	ask := program.CallRequest{
		Program: operation.Program, Account: operation.Account, Call: request.Call, Body: bodyDigest(request),
		Kind: program.CallModel, Idempotent: true, Alarm: request.Alarm,
		Messages: request.Messages, Whole: request.Whole, MaxTokens: request.MaxTokens,
	}
	job := work{keyID: operation.KeyID, paid: request.Paid, model: request.Model, settings: settings}
	answer, replayed, err := e.fly(ctx, shard, operation, ask, job, sink)
	if err != nil {
		return nil, err
	}
	return CallReply{
		Call: request.Call, Text: answer.Text, PromptTokens: answer.PromptTokens, CachedTokens: answer.CachedTokens,
		GeneratedTokens: answer.GeneratedTokens, Endpoint: answer.Endpoint, Replayed: replayed,
	}, nil
}

func (e *Entry) service(ctx context.Context, shard *shard, operation Operation, request ServiceRequest) (any, error) {
	if !e.hasService(request.Service, ServicePlain) {
		return nil, spool.Refuse(spool.CodeNotFound, "service %q does not exist", request.Service)
	}
	ask := program.CallRequest{
		Program: operation.Program, Account: operation.Account, Call: request.Call, Body: bodyDigest(request),
		Kind: program.CallService, Idempotent: request.Idempotent, Alarm: request.Alarm,
	}
	job := work{
		keyID: operation.KeyID, service: request.Service, settings: e.control.Settings(operation.Account, operation.Program),
		plain: &spool.ServiceCall{Method: request.Method, Path: request.Path, Body: []byte(request.Body)},
	}
	answer, replayed, err := e.fly(ctx, shard, operation, ask, job, func(Event) error { return nil })
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

// fly admits a call, waits for its end and passes its text to sink. A call that
// is known already costs nothing of the account's rate.
func (e *Entry) fly(ctx context.Context, shard *shard, operation Operation, ask program.CallRequest, job work, sink Sink) (answer program.Answer, replayed bool, err error) {
	var decision program.Decision
	var reader *flight
	known := false
	class := limit.ClassCall
	if !shard.do(func() {
		if view, missing := shard.state.Inspect(operation.Program); missing == nil && view.Alarm || ask.Alarm {
			class = limit.ClassAlarm
		}
		decision, known, err = shard.state.Repeat(ask)
		reader = shard.joined(decision, known, err)
	}) {
		return answer, false, notOwner(shard.stream)
	}
	if !known && err == nil {
		if !job.paid {
			if err := e.limits.Take(ctx, operation.Account, class); err != nil {
				return answer, false, err
			}
		}
		if !shard.do(func() { reader, decision, err = e.admit(shard, operation, ask, job) }) {
			return answer, false, notOwner(shard.stream)
		}
	}
	if err != nil {
		return answer, false, err
	}
	if decision.Verdict == program.VerdictReplay {
		if text := decision.Answer.Text; text != "" {
			if err := sink(Event{Text: text}); err != nil {
				return answer, true, left(err)
			}
		}
		return decision.Answer, true, nil
	}
	answer, err = reader.read(ctx, sink)
	return answer, false, err
}

// joined returns the flight of a call that is under way already.
func (s *shard) joined(decision program.Decision, known bool, err error) *flight {
	if !known || err != nil || decision.Verdict != program.VerdictJoin {
		return nil
	}
	return s.attach(decision.Ticket.ID)
}

func (s *shard) attach(ticket uint64) *flight {
	flight := s.flights[ticket]
	if flight != nil {
		flight.join()
	}
	return flight
}

// admit runs on the shard's goroutine.
func (e *Entry) admit(shard *shard, operation Operation, ask program.CallRequest, job work) (*flight, program.Decision, error) {
	now := e.clock.Now()
	if e.calls.Load() >= int64(e.config.MaxCalls) {
		return nil, program.Decision{}, spool.Refuse(spool.CodeOverloaded, "entry runs %d calls, its limit", e.config.MaxCalls).
			WithRetryAfter(clock.Second)
	}
	decision, err := shard.state.Admit(now, ask)
	if err != nil {
		return nil, decision, err
	}
	switch decision.Verdict {
	case program.VerdictReplay:
		return nil, decision, nil
	case program.VerdictJoin:
		return shard.attach(decision.Ticket.ID), decision, nil
	}
	job.arrivedAt, job.deadline = now, operation.Deadline
	if job.deadline == 0 && job.settings.CallTimeout > 0 {
		job.deadline = now + job.settings.CallTimeout
	}
	created := newFlight(shard.ctx, decision.Ticket, job)
	created.join()
	shard.flights[decision.Ticket.ID] = created
	e.calls.Add(1)
	if decision.Verdict == program.VerdictRun {
		e.launch(shard, created, decision.Ticket)
	} else {
		e.watchWaiting(shard, created)
	}
	return created, decision, nil
}

// launch runs a flight whose turn has come. It runs on the shard's goroutine.
func (e *Entry) launch(shard *shard, flight *flight, ticket program.Ticket) {
	flight.once.Do(func() {
		flight.ticket = ticket
		flight.begun()
		e.traffic.Submit(func() { e.run(shard, flight) })
	})
}

// watchWaiting takes a call out of the line when its callers leave.
func (e *Entry) watchWaiting(shard *shard, flight *flight) {
	context.AfterFunc(flight.ctx, func() {
		flight.once.Do(func() {
			e.land(shard, flight, program.Answer{}, left(context.Canceled).WithNotRun(spool.NotRunTrue))
		})
	})
}

// run carries a call out and ends its flight.
func (e *Entry) run(shard *shard, flight *flight) {
	ctx := flight.ctx
	if deadline := earliest(flight.work.deadline, flight.ticket.Deadline); deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, (deadline - e.clock.Now()).Duration(), context.DeadlineExceeded)
		defer cancel()
		flight.work.deadline = deadline
	}
	if flight.ticket.Kind == program.CallService {
		answer, err := e.runService(ctx, shard, flight)
		e.land(shard, flight, answer, err)
		return
	}
	answer, err := e.runModel(ctx, shard, flight)
	e.land(shard, flight, answer, err)
}

func earliest(a, b clock.Millis) clock.Millis {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}

// land ends a flight and starts the calls behind it.
func (e *Entry) land(shard *shard, flight *flight, answer program.Answer, err error) {
	if refusal := refusalOf(err); refusal != nil && shard.ctx.Err() != nil {
		// The call was cut because the stream has moved; its caller follows.
		err = notOwner(shard.stream).WithNotRun(refusal.NotRun)
	}
	flight.finish(answer, err)
	flight.cancel()
	if err == nil && flight.ticket.Alarm {
		e.usage.AlarmAnswered(flight.ticket.Account, e.clock.Now()-flight.work.arrivedAt)
	}
	e.calls.Add(-1)
	shard.do(func() {
		delete(shard.flights, flight.ticket.ID)
		e.grant(shard, shard.state.Release(e.clock.Now(), flight.ticket.ID))
		if over := shard.state.Overspent(flight.ticket.Root); over {
			e.telemetry.Violated("budgetHolds", zap.String("program", string(flight.ticket.Root)))
		}
	})
}

// grant starts or refuses calls that waited. It runs on the shard's goroutine.
func (e *Entry) grant(shard *shard, grants []program.Grant) {
	for _, grant := range grants {
		waiting := shard.flights[grant.Ticket.ID]
		if waiting == nil {
			continue
		}
		if grant.Refusal == nil {
			e.launch(shard, waiting, grant.Ticket)
			continue
		}
		delete(shard.flights, grant.Ticket.ID)
		waiting.once.Do(func() {
			waiting.finish(program.Answer{}, grant.Refusal)
			waiting.cancel()
			e.calls.Add(-1)
		})
	}
}

// runModel dispatches a model call and makes its turn durable.
func (e *Entry) runModel(ctx context.Context, shard *shard, flight *flight) (answer program.Answer, err error) {
	ticket := flight.ticket
	model := flight.work.model
	if model == "" {
		model = ticket.Model
	}
	service, ok := e.serviceOf(model)
	if !ok {
		return answer, spool.Refuse(spool.CodeNotFound, "model %q does not exist", model)
	}
	flight.work.service, flight.work.model = service, model
	request := wire.RunRequest{
		Kind: wire.RunModel, Model: model, MaxTokens: ticket.MaxTokens,
		BaseCount: ticket.BaseCount, BaseDigest: ticket.BaseDigest, Messages: ticket.Messages, Idempotent: true,
	}
	reply, sent, err := e.dispatch(ctx, shard, flight, request)
	if err != nil {
		if sent {
			e.charge(shard, flight)
		}
		return answer, err
	}
	result := reply.Engine
	e.fleet.holds(reply.Load.Endpoint, ticket.Program, result.PromptTokens+result.GeneratedTokens)
	e.usage.Turn(ticket.Account, usage.Turn{
		History: ticket.BaseTokens, Prompt: result.PromptTokens, Cached: result.CachedTokens, Generated: result.GeneratedTokens,
	})
	var entry spool.Record
	overspent := false
	if !shard.do(func() {
		entry, overspent = shard.state.Turn(e.clock.Now(), ticket.ID, program.TurnResult{
			Text: result.Text, PromptTokens: result.PromptTokens, CachedTokens: result.CachedTokens,
			GeneratedTokens: result.GeneratedTokens, Endpoint: reply.Load.Endpoint,
		})
	}) {
		return answer, notOwner(shard.stream)
	}
	if overspent {
		e.telemetry.Violated("reservationCoversCall", zap.String("program", string(ticket.Program)),
			zap.Int("generatedTokens", result.GeneratedTokens))
	}
	if err := e.commit(shard.ctx, shard, []spool.Record{entry}, false); err != nil {
		// The engine ran the call, so even a refusal that proves that the turn
		// was not recorded must not say that the call did not run.
		return answer, ran(err)
	}
	return program.Answer{
		Kind: program.CallModel, Text: result.Text, PromptTokens: result.PromptTokens, CachedTokens: result.CachedTokens,
		GeneratedTokens: result.GeneratedTokens, Endpoint: reply.Load.Endpoint,
	}, nil
}

// ran corrects a refusal about a call that has run.
func ran(err error) error {
	if refusal := refusalOf(err); refusal != nil && refusal.NotRun == spool.NotRunTrue {
		return refusal.WithNotRun(spool.NotRunFalse)
	}
	return err
}

// charge records the cost of a call that was dispatched and has left no turn.
func (e *Entry) charge(shard *shard, flight *flight) {
	var entry spool.Record
	if shard.do(func() {
		entry = shard.state.Spent(e.clock.Now(), flight.ticket.ID, len(flight.streamed()))
	}) {
		if err := e.commit(shard.ctx, shard, []spool.Record{entry}, false); err != nil {
			e.telemetry.Event("spentNotRecorded")
		}
	}
}
