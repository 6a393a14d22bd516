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

// The operations that an entry forwards to the owner of a program.
const (
	OperationStart   = "start"
	OperationShow    = "show"
	OperationEnd     = "end"
	OperationCancel  = "cancel"
	OperationCall    = "call"
	OperationSpawn   = "spawn"
	OperationService = "service"
)

// Operation is a caller's request on one program.
type Operation struct {
	// Name is one of the operations.
	Name string
	// Account and KeyID are those of the caller's key.
	Account spool.AccountID
	KeyID   string
	// Program is the program; for a start it is the new identifier.
	Program spool.ProgramID
	// Deadline is the instant after which the answer is of no use; 0 for none.
	Deadline clock.Millis
	// Body is one of the requests below.
	Body json.RawMessage
}

// StartRequest starts a program.
type StartRequest struct {
	// Model is used by calls that name none.
	Model spool.ModelName `json:"model,omitempty"`
	// Alarm marks a program whose calls go before all other work.
	Alarm bool `json:"alarm,omitempty"`
	// Budget lowers the account's budget.
	Budget program.Budget `json:"budget,omitzero"`
	// IdleFor lowers the account's idle time.
	IdleFor clock.Millis `json:"idleForMs,omitempty"`
}

// StartReply names the new program.
type StartReply struct {
	Program spool.ProgramID `json:"programId"`
}

// CallRequest is the next turn of a program.
type CallRequest struct {
	// Call is chosen by the caller; a repeat gets the recorded answer.
	Call spool.CallID `json:"callId"`
	// Messages are the new messages of the turn.
	Messages []spool.Message `json:"messages"`
	// Model and MaxTokens are optional.
	Model     spool.ModelName `json:"model,omitempty"`
	MaxTokens int             `json:"maxTokens,omitempty"`
	// Alarm puts the call before all other work.
	Alarm bool `json:"alarm,omitempty"`
	// Stream asks for server-sent events.
	Stream bool `json:"stream,omitempty"`
	// DeadlineIn bounds the call.
	DeadlineIn clock.Millis `json:"deadlineMs,omitempty"`
	// Whole means that Messages are the whole prompt and continue the history.
	Whole bool `json:"whole,omitempty"`
	// Paid means that the start of a one-call program has taken the call's part
	// of the account's rate. Callers cannot set it or Whole.
	Paid bool `json:"paid,omitempty"`
}

// CallReply is the answer to a call.
type CallReply struct {
	Call spool.CallID `json:"callId"`
	// Text is the whole answer.
	Text string `json:"text"`
	// PromptTokens, CachedTokens and GeneratedTokens are the engine's counts.
	PromptTokens    int `json:"promptTokens"`
	CachedTokens    int `json:"cachedTokens"`
	GeneratedTokens int `json:"generatedTokens"`
	// Endpoint ran the call.
	Endpoint spool.EndpointID `json:"endpoint"`
	// Replayed marks the recorded answer to a repeated call.
	Replayed bool `json:"replayed,omitempty"`
}

// SpawnRequest starts a sub-agent.
type SpawnRequest struct {
	Call    spool.CallID    `json:"callId"`
	Model   spool.ModelName `json:"model,omitempty"`
	IdleFor clock.Millis    `json:"idleForMs,omitempty"`
}

// ServiceRequest is a call to a plain service.
type ServiceRequest struct {
	Call spool.CallID `json:"callId"`
	// Service is taken from the path.
	Service spool.ServiceName `json:"service,omitempty"`
	// Method and Path are those of the request to the service.
	Method string `json:"method"`
	Path   string `json:"path"`
	// Body is sent as it is.
	Body string `json:"body,omitempty"`
	// Idempotent is true when the call may run more than once.
	Idempotent bool         `json:"idempotent,omitempty"`
	Alarm      bool         `json:"alarm,omitempty"`
	DeadlineIn clock.Millis `json:"deadlineMs,omitempty"`
}

// ServiceReply is the answer of a plain service.
type ServiceReply struct {
	Call   spool.CallID `json:"callId"`
	Status int          `json:"status"`
	// Body is the answer as text; BodyBytes is set instead when it is not
	// UTF-8.
	Body      string           `json:"body"`
	BodyBytes []byte           `json:"bodyBase64,omitempty"`
	Endpoint  spool.EndpointID `json:"endpoint"`
	Replayed  bool             `json:"replayed,omitempty"`
}

// perform runs an operation at the owner of its stream, which is this process.
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

func withDecodedBody[Request any](operation Operation, perform func(Request) (any, error)) (any, error) {
	var request Request
	if err := json.Unmarshal(operation.Body, &request); err != nil {
		return nil, spool.Refuse(spool.CodeBadRequest, "body of %s does not decode: %v", operation.Name, err)
	}
	return perform(request)
}

func (e *Entry) performStart(ctx context.Context, shard *shard, operation Operation, request StartRequest) (any, error) {
	class := limit.ClassStart
	if request.Alarm {
		class = limit.ClassAlarm
	}
	if err := e.limits.Take(ctx, operation.Account, class); err != nil {
		return nil, err
	}
	settings := e.control.Settings(operation.Account, "")
	started := program.Started{
		Account: operation.Account, Model: request.Model, Alarm: request.Alarm,
		Budget: request.Budget.Within(settings.Budget), IdleFor: settings.IdleFor, At: e.clock.Now(),
	}
	if request.IdleFor > 0 && (settings.IdleFor == 0 || request.IdleFor < settings.IdleFor) {
		started.IdleFor = request.IdleFor
	}
	reply := StartReply{Program: operation.Program}
	var record spool.Record
	var err error
	exists := false
	if !shard.do(func() {
		// A forwarded start may arrive twice when a connection breaks.
		if view, showErr := shard.state.Show(operation.Account, operation.Program); showErr == nil {
			exists = view.ID == operation.Program
		}
		if !exists {
			record, err = shard.state.Start(operation.Program, started)
		}
	}) {
		return nil, notOwner(shard.stream)
	}
	if exists || err != nil {
		return reply, err
	}
	return reply, e.commit(shard.ctx, shard, []spool.Record{record}, false)
}

// commit makes records durable. The streams apply them before Submit returns.
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

func (e *Entry) performShow(shard *shard, operation Operation) (any, error) {
	var view program.View
	var err error
	if !shard.do(func() { view, err = shard.state.Show(operation.Account, operation.Program) }) {
		return nil, notOwner(shard.stream)
	}
	return view, err
}

// end ends a program and its sub-agents. Calls under way are cut, but for a
// non-idempotent one, whose outcome is still recorded.
func (e *Entry) performEnd(_ context.Context, shard *shard, operation Operation, reason program.EndReason) (any, error) {
	var record spool.Record
	var live bool
	var err error
	if !shard.do(func() {
		record, live, err = shard.state.End(e.clock.Now(), operation.Account, operation.Program, reason)
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

// cut cancels the calls of a program that has ended. It runs on the shard's
// goroutine.
func (e *Entry) cancelCalls(shard *shard, id spool.ProgramID) {
	for _, ticket := range shard.state.Under(id) {
		if call := shard.inflight[ticket.ID]; call != nil && !call.runsWithoutReaders {
			call.cancel()
		}
	}
}

func (e *Entry) performSpawn(ctx context.Context, shard *shard, operation Operation, request SpawnRequest) (any, error) {
	if err := e.limits.Take(ctx, operation.Account, limit.ClassCall); err != nil {
		return nil, err
	}
	var spawned program.Spawned
	var err error
	if !shard.do(func() {
		spawned, err = shard.state.Spawn(e.clock.Now(), program.SpawnRequest{
			Parent: operation.Program, Account: operation.Account, Call: request.Call,
			Body: requestDigest(request), Model: request.Model, IdleFor: request.IdleFor,
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
