package entry

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Names of the operations on programs. An entry that does not own the program
// forwards the operation to the owner.
const (
	OperationStart   = "start"
	OperationShow    = "show"
	OperationEnd     = "end"
	OperationCancel  = "cancel"
	OperationCall    = "call"
	OperationSpawn   = "spawn"
	OperationService = "service"
)

// Operation is a caller's request to start, show, change or end one program.
type Operation struct {
	// Name is one of the constants OperationStart to OperationService.
	Name string
	// Account is the caller's account and KeyID the identifier of its API key.
	Account spool.AccountID
	KeyID   string
	// Program identifies the program. For OperationStart it is the identifier of
	// the new program.
	Program spool.ProgramID
	// Deadline is the point in time after which the caller no longer needs the
	// answer; 0 for none.
	Deadline clock.Millis
	// Body is the JSON encoding of a StartRequest, CallRequest, SpawnRequest or
	// ServiceRequest; nil for the other operations.
	Body json.RawMessage
}

// StartRequest is the body of OperationStart.
type StartRequest struct {
	// Model is the default model of the program's calls.
	Model spool.ModelName `json:"model,omitempty"`
	// Alarm marks a program whose calls have priority over all other work.
	Alarm bool `json:"alarm,omitempty"`
	// Budget can lower, but not raise, the budget that the account's settings
	// give to a program.
	Budget program.Budget `json:"budget,omitzero"`
	// IdleFor can lower, but not raise, the IdleTimeout of the account's settings;
	// 0 uses that value.
	IdleFor clock.Millis `json:"idleForMs,omitempty"`
}

// StartReply holds the identifier of the new program or sub-agent.
type StartReply struct {
	Program spool.ProgramID `json:"programId"`
}

// CallRequest is the body of OperationCall, the next turn of a program.
type CallRequest struct {
	// Call is chosen by the caller. A repeated request with the same Call gets
	// the recorded answer.
	Call spool.CallID `json:"callId"`
	// Messages are the new messages of the turn, or the whole prompt with
	// FullPrompt.
	Messages []spool.Message `json:"messages"`
	// Model and MaxTokens are optional; the defaults are the program's model and
	// the account's setting.
	Model     spool.ModelName `json:"model,omitempty"`
	MaxTokens int             `json:"maxTokens,omitempty"`
	// Alarm gives the call priority over all other work.
	Alarm bool `json:"alarm,omitempty"`
	// Stream requests the answer as server-sent events.
	Stream bool `json:"stream,omitempty"`
	// DeadlineIn is the deadline of the call, relative to its arrival. 0 applies
	// the CallTimeout of the settings.
	DeadlineIn clock.Millis `json:"deadlineMs,omitempty"`
	// FullPrompt means that Messages contains the whole prompt, beginning with
	// the history of the program. Only /v1/chat/completions sets it; callers
	// of /v1/programs cannot. The name "whole" is kept on the wire.
	FullPrompt bool `json:"whole,omitempty"`
	// RateLimitCharged means that the call runs in a one-call program whose start
	// was already charged to the account's rate limit, so that the call itself is not
	// charged. Callers cannot set it either. The name "paid" is kept on the wire.
	RateLimitCharged bool `json:"paid,omitempty"`
}

// CallReply is the result of OperationCall.
type CallReply struct {
	Call spool.CallID `json:"callId"`
	// Text is the whole answer.
	Text string `json:"text"`
	// PromptTokens, CachedTokens and GeneratedTokens are the token counts that
	// the engine reported.
	PromptTokens    int `json:"promptTokens"`
	CachedTokens    int `json:"cachedTokens"`
	GeneratedTokens int `json:"generatedTokens"`
	// Endpoint is the endpoint that ran the call.
	Endpoint spool.EndpointID `json:"endpoint"`
	// Replayed is true if this is the recorded answer to a repeated call.
	Replayed bool `json:"replayed,omitempty"`
}

// SpawnRequest is the body of OperationSpawn, which starts a sub-agent.
type SpawnRequest struct {
	Call    spool.CallID    `json:"callId"`
	Model   spool.ModelName `json:"model,omitempty"`
	IdleFor clock.Millis    `json:"idleForMs,omitempty"`
}

// ServiceRequest is the body of OperationService, a call to a plain service.
type ServiceRequest struct {
	Call spool.CallID `json:"callId"`
	// Service is the name of the service. It is set from the path of the HTTP
	// request; a different name in the body is refused.
	Service spool.ServiceName `json:"service,omitempty"`
	// Method and Path are the HTTP method and path of the request to the service.
	// The default method is POST.
	Method string `json:"method"`
	Path   string `json:"path"`
	// Body is sent to the service unchanged.
	Body string `json:"body,omitempty"`
	// Idempotent is true if the call may run more than once. A non-idempotent
	// call is retried only if the previous attempt provably did not run.
	Idempotent bool         `json:"idempotent,omitempty"`
	Alarm      bool         `json:"alarm,omitempty"`
	DeadlineIn clock.Millis `json:"deadlineMs,omitempty"`
}

// ServiceReply is the result of OperationService.
type ServiceReply struct {
	Call   spool.CallID `json:"callId"`
	Status int          `json:"status"`
	// Body is the body of the service's response. BodyBytes is set instead if the
	// body is not valid UTF-8.
	Body      string           `json:"body"`
	BodyBytes []byte           `json:"bodyBase64,omitempty"`
	Endpoint  spool.EndpointID `json:"endpoint"`
	Replayed  bool             `json:"replayed,omitempty"`
}

// perform runs an operation on a shard that this process serves and returns its
// reply. It passes the text of a model call to sink. An error is a *spool.Refusal.
func (e *Entry) perform(ctx context.Context, shard *shard, operation Operation, sink Sink) (any, error) {
	if operation.Deadline > 0 {
		remaining := operation.Deadline - e.clock.Now()
		if remaining <= 0 {
			return nil, spool.Refuse(spool.CodeDeadlineExceeded, "deadline of the call has passed")
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, remaining.Duration())
		defer cancel()
	}
	switch operation.Name {
	case OperationStart:
		return withDecodedBody(operation, func(request StartRequest) (any, error) { return e.performStart(ctx, shard, operation, request) })
	case OperationShow:
		return e.performShow(shard, operation)
	case OperationEnd:
		return e.performEnd(ctx, shard, operation, program.EndByCaller)
	case OperationCancel:
		return e.performEnd(ctx, shard, operation, program.EndCancelled)
	case OperationCall:
		return withDecodedBody(operation, func(request CallRequest) (any, error) { return e.performCall(ctx, shard, operation, request, sink) })
	case OperationSpawn:
		return withDecodedBody(operation, func(request SpawnRequest) (any, error) { return e.performSpawn(ctx, shard, operation, request) })
	case OperationService:
		return withDecodedBody(operation, func(request ServiceRequest) (any, error) { return e.performServiceCall(ctx, shard, operation, request) })
	default:
		return nil, spool.Refuse(spool.CodeBadRequest, "operation %q does not exist", operation.Name)
	}
}

// withDecodedBody decodes the body of an operation and calls perform with it.
func withDecodedBody[Request any](operation Operation, perform func(Request) (any, error)) (any, error) {
	var request Request
	if err := json.Unmarshal(operation.Body, &request); err != nil {
		return nil, spool.Refuse(spool.CodeBadRequest, "body of %s does not decode: %v", operation.Name, err)
	}
	return perform(request)
}

// performStart starts a program. If the account already has a program with this
// identifier, performStart changes nothing and returns the same reply. Either way
// the request is charged to the account's rate limit.
func (e *Entry) performStart(ctx context.Context, shard *shard, operation Operation, request StartRequest) (any, error) {
	class := limit.ClassStart
	if request.Alarm {
		class = limit.ClassAlarm
	}
	if err := e.limits.Admit(ctx, operation.Account, class); err != nil {
		return nil, err
	}
	settings := e.control.Settings(operation.Account, "")
	started := program.Started{
		Account: operation.Account, Model: request.Model, Alarm: request.Alarm,
		Budget: request.Budget.Within(settings.Budget), IdleTimeout: settings.IdleTimeout, At: e.clock.Now(),
	}
	if request.IdleFor > 0 && (settings.IdleTimeout == 0 || request.IdleFor < settings.IdleTimeout) {
		started.IdleTimeout = request.IdleFor
	}
	reply := StartReply{Program: operation.Program}
	var record spool.Record
	var err error
	exists := false
	if !shard.do(func() {
		// If the connection between two entries breaks, a forwarded start is
		// repeated and may arrive twice.
		if view, showErr := shard.state.Show(operation.Account, operation.Program); showErr == nil {
			exists = view.ID == operation.Program
		}
		if !exists {
			record, err = shard.state.StartRecord(operation.Program, started)
		}
	}) {
		return nil, notOwner(shard.stream)
	}
	if exists || err != nil {
		return reply, err
	}
	return reply, e.commit(shard.ctx, shard, []spool.Record{record}, false)
}

// commit makes records durable; see Streams.Submit for needsLog. If it returns
// nil, the records have also been applied to the shard. An error is a
// *spool.Refusal.
func (e *Entry) commit(ctx context.Context, shard *shard, records []spool.Record, needsLog bool) error {
	if err := e.streams.Submit(ctx, shard.stream, records, needsLog); err != nil {
		if refusal := refusalOf(err); refusal != nil {
			return refusal
		}
		if shard.ctx.Err() != nil {
			return notOwner(shard.stream)
		}
		return spool.Refuse(spool.CodeInternal, "records were not made durable: %v", err).WithNotRun(spool.NotRunUnknown)
	}
	return nil
}

// performShow returns the view of a program. A program of another account is
// refused like one that does not exist.
func (e *Entry) performShow(shard *shard, operation Operation) (any, error) {
	var view program.View
	var err error
	if !shard.do(func() { view, err = shard.state.Show(operation.Account, operation.Program) }) {
		return nil, notOwner(shard.stream)
	}
	return view, err
}

// performEnd ends a program and its sub-agents, and returns the view of the
// program. It cancels the calls in progress of the program and of its sub-agents,
// except non-idempotent service calls: these go on if they have started, so that
// their outcome gets recorded. If the program has ended before, nothing changes.
func (e *Entry) performEnd(_ context.Context, shard *shard, operation Operation, reason program.EndReason) (any, error) {
	var record spool.Record
	var live bool
	var err error
	if !shard.do(func() {
		record, live, err = shard.state.EndRecord(e.clock.Now(), operation.Account, operation.Program, reason)
	}) {
		return nil, notOwner(shard.stream)
	}
	if err != nil {
		return nil, err
	}
	if live {
		if err := e.commit(shard.ctx, shard, []spool.Record{record}, false); err != nil {
			return nil, err
		}
		shard.do(func() {
			e.cancelCalls(shard, operation.Program)
			e.countProgramEnd(shard, operation.Program, reason)
		})
	}
	return e.performShow(shard, operation)
}

// cancelCalls cancels the in-flight calls of an ended program and of its
// sub-agents, except non-idempotent service calls. It must run on the shard's
// goroutine.
func (e *Entry) cancelCalls(shard *shard, id spool.ProgramID) {
	for _, ticket := range shard.state.TicketsUnder(id) {
		if call := shard.inflight[ticket.ID]; call != nil && !call.runsWithoutReaders {
			call.cancel()
		}
	}
}

// performSpawn starts a sub-agent of a program. A repeated request with the same
// callId returns the same sub-agent, but is charged to the rate limit again.
func (e *Entry) performSpawn(ctx context.Context, shard *shard, operation Operation, request SpawnRequest) (any, error) {
	if err := e.limits.Admit(ctx, operation.Account, limit.ClassCall); err != nil {
		return nil, err
	}
	var spawned program.Spawned
	var err error
	if !shard.do(func() {
		spawned, err = shard.state.Spawn(e.clock.Now(), program.SpawnRequest{
			Parent: operation.Program, Account: operation.Account, Call: request.Call,
			Body: requestDigest(request), Model: request.Model, IdleTimeout: request.IdleFor,
		})
	}) {
		return nil, notOwner(shard.stream)
	}
	if err != nil || spawned.Ticket == 0 {
		return StartReply{Program: spawned.Child}, err
	}
	err = e.commit(shard.ctx, shard, []spool.Record{spawned.Record}, false)
	shard.do(func() { shard.state.Release(e.clock.Now(), spawned.Ticket) })
	return StartReply{Program: spawned.Child}, err
}

// refusalOf returns the refusal that err wraps, or nil.
func refusalOf(err error) *spool.Refusal {
	refusal := &spool.Refusal{}
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}
