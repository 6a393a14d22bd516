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
	// VerdictJoin means that an identical request for the same call is already running
	// or waiting. Decision.Ticket is the ticket of that earlier request.
	VerdictJoin
	// VerdictReplay means that the call has finished. Decision.Answer is its recorded
	// answer.
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
	// Kind is CallModel or CallService.
	Kind CallKind
	// Idempotent is false for a service call that must not run more than once.
	Idempotent bool
	// Alarm gives the call precedence over all other work.
	Alarm bool
	// Messages are the new messages of a model call. If FullPrompt is set, they are the
	// full prompt, which must start with the program's history.
	Messages   []spool.Message
	FullPrompt bool
	// MaxTokens bounds the number of tokens of the answer to a model call.
	MaxTokens int
}

// Ticket represents a call that is running or waiting, or a pending spawn.
type Ticket struct {
	// ID identifies the ticket within the State that issued it. It is at least 1.
	ID uint64
	// Program, Account, Call, Body, Kind and Idempotent are those of the CallRequest.
	// Root is the root program of the tree of Program. Alarm is set if the request or
	// the program sets it.
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
	// Messages are the new messages after that history. While a call with a full prompt
	// waits, they are the full prompt.
	Messages  []spool.Message
	MaxTokens int
	// Attained is the number of tokens that had been charged to the tree when the call
	// started to run.
	Attained int
	// Endpoint is the endpoint that ran the program's latest turn before the call; empty
	// when there was none.
	Endpoint spool.EndpointID
	// Deadline is the time at which the tree's wall-time budget ends; 0 when the budget
	// does not bound the wall time. It is set when the call starts to run.
	Deadline clock.Millis

	fullPrompt bool
	// spawnedProgram is the sub-agent of a pending spawn; empty for a call.
	spawnedProgram spool.ProgramID
	// reservation is the reserved part of the budget; zero once the call has been
	// charged.
	reservation Usage
}

// Decision is the result of a CallRequest.
type Decision struct {
	// Verdict determines which of the other fields is set: Answer for VerdictReplay,
	// Ticket for every other verdict.
	Verdict Verdict
	Ticket  Ticket
	Answer  Answer
}

// Grant reports the end of a call's wait: the call runs if Refusal is nil, and is
// refused otherwise.
type Grant struct {
	Ticket  Ticket
	Refusal *spool.Refusal
}

// LookupRepeat decides about a request whose call identifier the program has already
// used. The decision is VerdictJoin for a running or waiting call and VerdictReplay
// for a finished one. LookupRepeat fails when the earlier request was a different one,
// and when the outcome of the call is pending or unknown. known is false when the
// identifier is new or the latest attempt of the call provably did not run; the caller
// may then admit the call. LookupRepeat changes nothing. The error is a
// *spool.Refusal.
func (s *State) LookupRepeat(request CallRequest) (decision Decision, known bool, err error) {
	program, err := s.findOwnProgram(request.Account, request.Program)
	if err != nil {
		return decision, false, err
	}
	return program.answerRepeat(request)
}

// Admit starts a call or, while the program is busy, appends it to the waiting calls.
// It handles a repeated request as LookupRepeat does. A new request postpones the
// expiry of the program and its ancestors, even if it is refused for lack of budget.
// The error is a *spool.Refusal.
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

// isBusy reports whether a new call must wait, because a call of the program is running
// or waiting or has an intent without an outcome.
func (p *Program) isBusy() bool {
	return p.running != nil || len(p.waiting) > 0 || p.unresolvedCalls > 0
}

// answerRepeat implements LookupRepeat for the program.
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

// startCall reserves the budget of a call, sets the fields of its ticket that describe
// the history before the call, and makes the call the running one. If it refuses the
// call, it reserves nothing.
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

// Release removes a ticket and returns the uncharged rest of its reservation to the
// budget. If the call was running, it also starts the next waiting call and returns
// the grants of startNextCall. It does nothing if the ticket does not exist. The caller
// must call it after the record of the call is durable and applied, or when the call
// has ended without a record.
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

// startNextCall starts the first waiting call that startCall does not refuse, and
// removes the refused ones. It returns a grant for the started call and for each
// refused one. If the program has ended, it refuses all waiting calls.
func (s *State) startNextCall(now clock.Millis, program *Program) (grants []Grant) {
	// A call that has an intent but no outcome yet blocks the calls after it.
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
