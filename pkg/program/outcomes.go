package program

import (
	"sort"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// TurnResult is the result of a model call. The token counts are the engine's.
type TurnResult struct {
	Text                                        string
	PromptTokens, CachedTokens, GeneratedTokens int
	Endpoint                                    spool.EndpointID
}

// TurnRecord returns the record of a finished model call. id identifies its ticket,
// which must not have been released. overspent reports whether the tokens to charge, as
// counted by the engine, exceed the reservation. Only the reserved tokens are charged
// then, so that the tree stays within its budget.
func (s *State) TurnRecord(now clock.Millis, id uint64, result TurnResult) (record spool.Record, overspent bool) {
	ticket := s.tickets[id]
	messages := append(ticket.Messages[:len(ticket.Messages):len(ticket.Messages)],
		spool.AnswerMessage(result.Text))
	charged := max(result.PromptTokens-ticket.BaseTokens, 0) + result.GeneratedTokens
	if charged > ticket.reservation.Tokens {
		charged, overspent = ticket.reservation.Tokens, true
	}
	return newRecord(KindTurn, ticket.Program, Turn{
		Call: ticket.Call, Body: ticket.Body, BaseCount: ticket.BaseCount, Messages: messages,
		Digest:       spool.HistoryDigest(ticket.BaseDigest, messages...),
		PromptTokens: result.PromptTokens, CachedTokens: result.CachedTokens, GeneratedTokens: result.GeneratedTokens,
		Charged: charged, Endpoint: result.Endpoint, At: now,
	}), overspent
}

// SpentRecord returns the record that charges a call that was dispatched but produced
// no turn. id identifies its ticket, which must not have been released. bytes is the
// length of the text that was streamed; each byte is charged as one token, which is an
// upper bound. The charge does not exceed the reservation.
func (s *State) SpentRecord(now clock.Millis, id uint64, bytes int) spool.Record {
	ticket := s.tickets[id]
	program := s.findProgram(ticket.Program)
	charged := min(maxTokenCount(ticket.Messages)+bytes, ticket.reservation.Tokens)
	return newRecord(KindSpent, ticket.Program, Spent{Call: ticket.Call, Sequence: program.spentSequence + 1, Charged: charged, At: now})
}

// IntentRecord returns the record that must be durable before a non-idempotent call is
// dispatched. id identifies the ticket of the call, which must not have been released.
func (s *State) IntentRecord(now clock.Millis, id uint64, service spool.ServiceName, endpoint spool.EndpointID, epoch spool.Epoch, mark spool.AgentMark) spool.Record {
	ticket := s.tickets[id]
	return newRecord(KindIntent, ticket.Program, Intent{
		Call: ticket.Call, Body: ticket.Body, Attempt: s.attempts(ticket.Program, ticket.Call) + 1, Service: service, Endpoint: endpoint, Epoch: epoch, Mark: mark, At: now,
	})
}

// OutcomeResult is the result of a service call.
type OutcomeResult struct {
	Outcome  CallOutcome
	Status   int
	Answer   []byte
	Endpoint spool.EndpointID
}

// OutcomeRecord returns the record of a finished service call. id identifies its
// ticket, which must not have been released.
func (s *State) OutcomeRecord(now clock.Millis, id uint64, result OutcomeResult) spool.Record {
	ticket := s.tickets[id]
	return outcomeRecord(now, ticket.Program, ticket.Call, ticket.Body, s.attempts(ticket.Program, ticket.Call), result)
}

// attempts returns the attempt number of the latest recorded intent of a call; 0 when
// there is none.
func (s *State) attempts(id spool.ProgramID, name spool.CallID) int {
	if program := s.findProgram(id); program != nil && program.calls[name] != nil {
		return program.calls[name].attempts
	}
	return 0
}

func outcomeRecord(now clock.Millis, program spool.ProgramID, name spool.CallID, body string, try int, result OutcomeResult) spool.Record {
	return newRecord(KindOutcome, program, Outcome{
		Call: name, Body: body, Attempt: try, Outcome: result.Outcome, Status: result.Status,
		Answer: result.Answer, Endpoint: result.Endpoint, At: now,
	})
}

// Unresolved describes a non-idempotent call that has an intent but no outcome and that
// this owner does not run, for example because an earlier owner dispatched it. Service,
// Endpoint, Epoch and Mark are those of the intent.
type Unresolved struct {
	Program  spool.ProgramID
	Account  spool.AccountID
	Call     spool.CallID
	Service  spool.ServiceName
	Endpoint spool.EndpointID
	Epoch    spool.Epoch
	Mark     spool.AgentMark
}

// Unresolved returns the calls whose outcome this owner must find out from the agents,
// sorted by program and call.
func (s *State) Unresolved() (calls []Unresolved) {
	for _, tree := range s.trees {
		for _, program := range tree.programs {
			if program.unresolvedCalls == 0 {
				continue
			}
			for name, recorded := range program.calls {
				runningHere := program.running != nil && program.running.Call == name
				if recorded.kind == CallService && recorded.outcome == "" && !runningHere {
					calls = append(calls, Unresolved{
						Program: program.id, Account: program.account, Call: name,
						Service: recorded.service, Endpoint: recorded.endpoint, Epoch: recorded.epoch, Mark: recorded.agentMark,
					})
				}
			}
		}
	}
	sort.Slice(calls, func(i, j int) bool {
		if calls[i].Program != calls[j].Program {
			return calls[i].Program < calls[j].Program
		}
		return calls[i].Call < calls[j].Call
	})
	return calls
}

// ResolveRecord returns the record of the outcome of an unresolved call. It returns
// false when the call or its program no longer exists, when the call already has an
// outcome, or when this owner is running it.
func (s *State) ResolveRecord(now clock.Millis, call Unresolved, result OutcomeResult) (spool.Record, bool) {
	program := s.findProgram(call.Program)
	if program == nil {
		return spool.Record{}, false
	}
	recorded := program.calls[call.Call]
	running := program.running != nil && program.running.Call == call.Call
	if recorded == nil || recorded.outcome != "" || running {
		return spool.Record{}, false
	}
	return outcomeRecord(now, call.Program, call.Call, recorded.bodyDigest, recorded.attempts, result), true
}

// StartWaitingCalls starts the next waiting call of a program, as startNextCall does.
// The caller calls it after the outcome of an unresolved call has been applied. It does
// nothing while a call is running or another outcome is missing.
func (s *State) StartWaitingCalls(now clock.Millis, id spool.ProgramID) []Grant {
	program := s.findProgram(id)
	if program == nil || program.running != nil || program.unresolvedCalls > 0 {
		return nil
	}
	return s.startNextCall(now, program)
}
