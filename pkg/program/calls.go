package program

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Verdict is the result of a request to admit a call.
type Verdict int

// The verdicts.
const (
	// VerdictRun means that the call is running and its budget is reserved.
	VerdictRun Verdict = iota
	// VerdictWait means that the call waits for earlier calls of the program. A later
	// Grant with its ticket starts or refuses it.
	VerdictWait
	// VerdictJoin means that the same call is already running or waiting. Ticket is its
	// ticket.
	VerdictJoin
	// VerdictReplay means that the call has finished. Answer is its recorded answer.
	VerdictReplay
)

// CallRequest is a request to admit a call.
type CallRequest struct {
	// Program, Account and Call identify the call.
	Program spool.ProgramID
	Account spool.AccountID
	Call    spool.CallID
	// Body is the digest of the request. A repeat must have the same digest.
	Body string
	// Kind is the kind of the call.
	Kind CallKind
	// Idempotent is false for a service call that must not run more than once.
	Idempotent bool
	// Alarm gives the call precedence over all other work.
	Alarm bool
	// Messages are the new messages of a model call. If Whole is set, they are the
	// full prompt, which must start with the program's history.
	Messages   []spool.Message
	FullPrompt bool
	// MaxTokens bounds the tokens of the answer.
	MaxTokens int
}

// Ticket represents a call that is running or waiting, or a pending spawn.
type Ticket struct {
	// ID identifies the ticket within the state.
	ID uint64
	// Program, Account, Call, Body, Kind, Idempotent and Alarm describe the call. Root
	// is the root program of its tree.
	Program    spool.ProgramID
	Root       spool.ProgramID
	Account    spool.AccountID
	Call       spool.CallID
	Body       string
	Kind       CallKind
	Idempotent bool
	Alarm      bool
	// Model is the program's default model.
	Model spool.ModelName
	// BaseCount, BaseDigest and BaseTokens are the number of messages, the digest and
	// the length in tokens of the history before the call. They are set when the call
	// starts to run.
	BaseCount  int
	BaseDigest string
	BaseTokens int
	// Messages are the new messages after that history.
	Messages  []spool.Message
	MaxTokens int
	// Attained is the service, in tokens, that the tree has received so far.
	Attained int
	// Endpoint is the endpoint that ran the program's latest turn.
	Endpoint spool.EndpointID
	// Deadline is the time at which the tree's wall-time budget ends; 0 means none.
	Deadline clock.Millis

	fullPrompt bool
	// spawnedProgram is the sub-agent of a pending spawn.
	spawnedProgram spool.ProgramID
	// reservation is the reserved part of the budget; zero once the call has been
	// charged.
	reservation Usage
}

// Decision is the result of a CallRequest.
type Decision struct {
	// Verdict determines which of the other fields are set.
	Verdict Verdict
	Ticket  Ticket
	Answer  Answer
}

// Grant reports that a waiting call now runs or, when Refusal is set, is refused.
type Grant struct {
	Ticket  Ticket
	Refusal *spool.Refusal
}

// Repeat answers a call whose identifier is that of a running, waiting or finished
// call; it fails when their requests differ. known is false when there is no such
// call, or when its last attempt provably did not run. Repeat reserves nothing. The
// error is a *spool.Refusal.
func (s *State) LookupRepeat(request CallRequest) (decision Decision, known bool, err error) {
	program, err := s.findOwnProgram(request.Account, request.Program)
	if err != nil {
		return decision, false, err
	}
	return program.answerRepeat(request)
}

// Admit starts a call, lets it wait, or answers it from the record of an earlier
// request. The error is a *spool.Refusal.
func (s *State) Admit(now clock.Millis, request CallRequest) (decision Decision, err error) {
	program, err := s.findOwnProgram(request.Account, request.Program)
	if err != nil {
		return decision, err
	}
	if decision, known, err := program.answerRepeat(request); known {
		return decision, err
	}
	if program.endReason != "" {
		return decision, spool.Refuse(spool.CodeProgramEnded, "program has ended: %s", program.endReason)
	}
	ticket := &Ticket{
		Program: program.id, Root: program.tree.root, Account: program.account, Call: request.Call, Body: request.Body,
		Kind: request.Kind, Idempotent: request.Idempotent, Alarm: request.Alarm || program.alarm, Model: program.model,
		Messages: request.Messages, MaxTokens: request.MaxTokens, fullPrompt: request.FullPrompt,
	}
	program.recordRequest(now)
	if program.isBusy() {
		if len(program.waiting) >= s.limits.Waiting {
			return decision, spool.Refuse(spool.CodeOverloaded, "%d calls of the program wait already", len(program.waiting)).
				WithRetryAfter(clock.Second)
		}
		s.addTicket(ticket)
		program.waiting = append(program.waiting, ticket)
		return Decision{Verdict: VerdictWait, Ticket: *ticket}, nil
	}
	if refusal := s.startCall(now, program, ticket); refusal != nil {
		return decision, refusal
	}
	s.addTicket(ticket)
	return Decision{Verdict: VerdictRun, Ticket: *ticket}, nil
}

func (s *State) addTicket(ticket *Ticket) {
	s.lastTicketID++
	ticket.ID = s.lastTicketID
	s.tickets[ticket.ID] = ticket
}

// recordRequest records a request of the caller, which postpones the expiry of the
// program and its ancestors.
func (p *Program) recordRequest(at clock.Millis) {
	for p != nil {
		p.lastRequestAt = max(p.lastRequestAt, at)
		p = p.tree.programs[p.parent]
	}
}

// isBusy reports whether a new call must wait: a call is running or waiting, or the
// outcome of a call is still being resolved.
func (p *Program) isBusy() bool {
	return p.running != nil || len(p.waiting) > 0 || p.unresolvedCalls > 0
}

// answerRepeat answers a repeated call. known is false when the call must run.
func (p *Program) answerRepeat(request CallRequest) (decision Decision, known bool, err error) {
	conflict := spool.Refuse(spool.CodeConflict, "callId %q was used with another request", request.Call)
	for _, ticket := range append([]*Ticket{p.running}, p.waiting...) {
		if ticket == nil || ticket.Call != request.Call {
			continue
		}
		if ticket.Body != request.Body || ticket.Kind != request.Kind {
			return decision, true, conflict
		}
		return Decision{Verdict: VerdictJoin, Ticket: *ticket}, true, nil
	}
	if _, spawned := p.children[request.Call]; spawned {
		return decision, true, conflict
	}
	recorded := p.calls[request.Call]
	switch {
	case recorded == nil:
		return decision, false, nil
	case recorded.bodyDigest != request.Body || recorded.kind != request.Kind:
		return decision, true, conflict
	case recorded.outcome == OutcomeDone:
		return Decision{Verdict: VerdictReplay, Answer: p.answerOf(recorded)}, true, nil
	case recorded.outcome == OutcomeNotRun:
		return decision, false, nil
	case recorded.outcome == "":
		return decision, true, spool.Refuse(spool.CodeOutcomePending, "the fate of call %q is being resolved", request.Call).
			WithNotRun(spool.NotRunUnknown).WithRetryAfter(clock.Second)
	default:
		return decision, true, spool.Refuse(spool.CodeOutcomeUnknown, "call %q may have run and is not repeated", request.Call).
			WithNotRun(spool.NotRunUnknown)
	}
}

// startCall makes a call the running one: it determines the history before the call
// and reserves the budget.
func (s *State) startCall(now clock.Millis, program *Program, ticket *Ticket) *spool.Refusal {
	tree := program.tree
	if ticket.fullPrompt {
		rest, ok := program.history.Continues(ticket.Messages)
		if !ok {
			return spool.Refuse(spool.CodeConflict, "messages do not continue the program's history of %d messages", program.history.Len())
		}
		ticket.Messages, ticket.fullPrompt = rest, false
	}
	if ticket.Kind == CallModel && len(ticket.Messages) == 0 {
		return spool.Refuse(spool.CodeBadRequest, "call brings no new message")
	}
	if bytes := program.history.Bytes() + textBytes(ticket.Messages); ticket.Kind == CallModel && bytes > s.limits.HistoryBytes {
		return spool.Refuse(spool.CodeTooLarge, "history would grow to %d bytes, %d are allowed", bytes, s.limits.HistoryBytes)
	}
	if tree.budget.Wall > 0 {
		ticket.Deadline = tree.startedAt + tree.budget.Wall
		if now >= ticket.Deadline {
			return spool.Refuse(spool.CodeBudgetExhausted, "wall time of the program is used up")
		}
	}
	required := Usage{Calls: 1}
	if ticket.Kind == CallModel {
		required.Tokens = maxTokenCount(ticket.Messages) + ticket.MaxTokens
	}
	if bound := tree.budget.exceededBound(tree.used.add(tree.reserved).add(required)); bound != "" {
		return spool.Refuse(spool.CodeBudgetExhausted, "call needs %d tokens and exceeds the budget for %s", required.Tokens, bound)
	}
	ticket.reservation = required
	tree.reserved = tree.reserved.add(required)
	ticket.BaseCount, ticket.BaseDigest, ticket.BaseTokens = program.history.Len(), program.digest, program.historyTokens
	ticket.Attained, ticket.Endpoint = tree.used.Tokens, program.endpoint
	program.running = ticket
	return nil
}

func textBytes(messages []spool.Message) int {
	total := 0
	for _, message := range messages {
		total += len(message.Content)
	}
	return total
}

// Release removes a ticket, releases the rest of its reservation and starts the next
// waiting call. The caller calls it after the record of the call is durable and
// applied, or when the call has ended without a record.
func (s *State) Release(now clock.Millis, id uint64) (grants []Grant) {
	ticket := s.tickets[id]
	if ticket == nil {
		return nil
	}
	delete(s.tickets, id)
	program := s.findProgram(ticket.Program)
	if program == nil {
		return nil
	}
	program.tree.releaseReservation(ticket)
	delete(program.tree.pendingSpawns, ticket.spawnedProgram)
	if program.running == ticket {
		program.running = nil
		return s.startNextCall(now, program)
	}
	for i, other := range program.waiting {
		if other == ticket {
			program.waiting = append(program.waiting[:i:i], program.waiting[i+1:]...)
			break
		}
	}
	return nil
}

// startNextCall starts the first waiting call that is not refused. It returns a grant
// for the started call and for each refused one.
func (s *State) startNextCall(now clock.Millis, program *Program) (grants []Grant) {
	// A call whose outcome is not resolved yet blocks the calls after it.
	for len(program.waiting) > 0 && program.running == nil && program.unresolvedCalls == 0 {
		ticket := program.waiting[0]
		program.waiting = program.waiting[1:]
		var refusal *spool.Refusal
		if program.endReason != "" {
			refusal = spool.Refuse(spool.CodeProgramEnded, "program has ended: %s", program.endReason)
		} else {
			refusal = s.startCall(now, program, ticket)
		}
		if refusal != nil {
			delete(s.tickets, ticket.ID)
		}
		grants = append(grants, Grant{Ticket: *ticket, Refusal: refusal})
	}
	return grants
}
