package program

import (
	"sort"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// TurnResult is the end of a model call.
type TurnResult struct {
	Text                                        string
	PromptTokens, CachedTokens, GeneratedTokens int
	Endpoint                                    spool.EndpointID
}

// Turn returns the record of a finished model call. overspent reports that the
// engine counted more tokens than were reserved; the charge is then bounded by
// the reservation.
func (s *State) Turn(now clock.Millis, id uint64, result TurnResult) (entry spool.Record, overspent bool) {
	ticket := s.tickets[id]
	messages := append(ticket.Messages[:len(ticket.Messages):len(ticket.Messages)],
		spool.AnswerMessage(result.Text))
	charged := max(result.PromptTokens-ticket.BaseTokens, 0) + result.GeneratedTokens
	if charged > ticket.held.Tokens {
		charged, overspent = ticket.held.Tokens, true
	}
	return record(KindTurn, ticket.Program, Turn{
		Call: ticket.Call, Body: ticket.Body, Base: ticket.BaseCount, Messages: messages,
		Digest:       spool.HistoryDigest(ticket.BaseDigest, messages...),
		PromptTokens: result.PromptTokens, CachedTokens: result.CachedTokens, GeneratedTokens: result.GeneratedTokens,
		Charged: charged, Endpoint: result.Endpoint, At: now,
	}), overspent
}

// Spent returns the record that charges a call which was dispatched and has
// left no turn. bytes is the length of the text that was streamed.
func (s *State) Spent(now clock.Millis, id uint64, bytes int) spool.Record {
	ticket := s.tickets[id]
	program := s.find(ticket.Program)
	charged := min(maxTokensOf(ticket.Messages)+bytes, ticket.held.Tokens)
	return record(KindSpent, ticket.Program, Spent{Call: ticket.Call, Sequence: program.spent + 1, Charged: charged, At: now})
}

// Intent returns the record that precedes the dispatch of a non-idempotent
// call.
func (s *State) Intent(now clock.Millis, id uint64, service spool.ServiceName, endpoint spool.EndpointID, epoch spool.Epoch, mark spool.AgentMark) spool.Record {
	ticket := s.tickets[id]
	return record(KindIntent, ticket.Program, Intent{
		Call: ticket.Call, Body: ticket.Body, Try: s.tries(ticket.Program, ticket.Call) + 1, Service: service, Endpoint: endpoint, Epoch: epoch, Mark: mark, At: now,
	})
}

// OutcomeResult is the end of a service call.
type OutcomeResult struct {
	Fate     Fate
	Status   int
	Answer   []byte
	Endpoint spool.EndpointID
}

// Outcome returns the record of a finished service call.
func (s *State) Outcome(now clock.Millis, id uint64, result OutcomeResult) spool.Record {
	ticket := s.tickets[id]
	return outcome(now, ticket.Program, ticket.Call, ticket.Body, s.tries(ticket.Program, ticket.Call), result)
}

// tries counts the intents of a call.
func (s *State) tries(id spool.ProgramID, name spool.CallID) int {
	if program := s.find(id); program != nil && program.calls[name] != nil {
		return program.calls[name].tries
	}
	return 0
}

func outcome(now clock.Millis, program spool.ProgramID, name spool.CallID, body string, try int, result OutcomeResult) spool.Record {
	return record(KindOutcome, program, Outcome{
		Call: name, Body: body, Try: try, Fate: result.Fate, Status: result.Status,
		Answer: result.Answer, Endpoint: result.Endpoint, At: now,
	})
}

// Unresolved is a non-idempotent call whose intent has no outcome and that is
// not under way at this owner.
type Unresolved struct {
	Program  spool.ProgramID
	Account  spool.AccountID
	Call     spool.CallID
	Service  spool.ServiceName
	Endpoint spool.EndpointID
	Epoch    spool.Epoch
	Mark     spool.AgentMark
}

// Unresolved lists the calls whose fate a new owner must find out, in a fixed
// order.
func (s *State) Unresolved() (calls []Unresolved) {
	for _, owner := range s.trees {
		for _, program := range owner.programs {
			if program.open == 0 {
				continue
			}
			for name, known := range program.calls {
				mine := program.running != nil && program.running.Call == name
				if known.kind == CallService && known.fate == "" && !mine {
					calls = append(calls, Unresolved{
						Program: program.id, Account: program.account, Call: name,
						Service: known.service, Endpoint: known.endpoint, Epoch: known.epoch, Mark: known.mark,
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

// Resolve returns the record that ends an unresolved call, or false when it
// has an outcome already or is under way.
func (s *State) Resolve(now clock.Millis, call Unresolved, result OutcomeResult) (spool.Record, bool) {
	program := s.find(call.Program)
	if program == nil {
		return spool.Record{}, false
	}
	known := program.calls[call.Call]
	running := program.running != nil && program.running.Call == call.Call
	if known == nil || known.fate != "" || running {
		return spool.Record{}, false
	}
	return outcome(now, call.Program, call.Call, known.body, known.tries, result), true
}

// Resolved starts the calls that waited behind a call of unknown fate.
func (s *State) Resolved(now clock.Millis, id spool.ProgramID) []Grant {
	program := s.find(id)
	if program == nil || program.running != nil || program.open > 0 {
		return nil
	}
	return s.advance(now, program)
}
