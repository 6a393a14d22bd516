package program

import (
	"sort"
	"strconv"
	"strings"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Start returns the record that starts a root program. id must be new.
func (s *State) Start(id spool.ProgramID, data Started) (entry spool.Record, err error) {
	if s.find(id) != nil {
		return entry, spool.Refuse(spool.CodeConflict, "program %s exists", id)
	}
	return record(KindStarted, id, data), nil
}

// SpawnRequest asks for a sub-agent.
type SpawnRequest struct {
	// Parent, Account and Call name the spawning call.
	Parent  spool.ProgramID
	Account spool.AccountID
	Call    spool.CallID
	// Body is the digest of the request.
	Body string
	// Model and IdleFor are the sub-agent's own; the zero values stand for the
	// parent's.
	Model   spool.ModelName
	IdleFor clock.Millis
}

// Spawned answers a SpawnRequest.
type Spawned struct {
	// Child is the sub-agent.
	Child spool.ProgramID
	// Ticket holds its share of the budget until the record is durable; 0 when
	// the call is a repeat and there is nothing to record.
	Ticket uint64
	// Record starts the sub-agent.
	Record spool.Record
}

// Spawn reserves a sub-agent. The error is a *spool.Refusal.
func (s *State) Spawn(now clock.Millis, request SpawnRequest) (spawned Spawned, err error) {
	parent, err := s.lookup(request.Account, request.Parent)
	if err != nil {
		return spawned, err
	}
	if known, ok := parent.children[request.Call]; ok {
		if known.body != request.Body {
			return spawned, spool.Refuse(spool.CodeConflict, "callId %q was used with another request", request.Call)
		}
		return Spawned{Child: known.id}, nil
	}
	if parent.calls[request.Call] != nil {
		return spawned, spool.Refuse(spool.CodeConflict, "callId %q was used with another request", request.Call)
	}
	if parent.ended != "" {
		return spawned, spool.Refuse(spool.CodeProgramEnded, "program has ended: %s", parent.ended)
	}
	owner := parent.tree
	depth := strings.Count(string(parent.id), ".") + 1
	if owner.budget.Depth > 0 && depth > owner.budget.Depth {
		return spawned, spool.Refuse(spool.CodeBudgetExhausted, "sub-agent would have depth %d, %d is allowed", depth, owner.budget.Depth)
	}
	need := Usage{Agents: 1}
	if bound := owner.budget.exceeded(owner.used.plus(owner.reserved).plus(need)); bound != "" {
		return spawned, spool.Refuse(spool.CodeBudgetExhausted, "sub-agent exceeds the budget for %s", bound)
	}
	for _, ticket := range owner.spawning {
		if ticket.Program == parent.id && ticket.Call == request.Call {
			return spawned, spool.Refuse(spool.CodeConflict, "spawn %q is under way", request.Call).WithRetryAfter(clock.Second)
		}
	}
	ticket := &Ticket{Program: parent.id, Root: owner.root, Account: parent.account, Call: request.Call, Kind: callSpawn, held: need}
	s.register(ticket)
	owner.reserved = owner.reserved.plus(need)
	// The number of sub-agents of the tree, those being spawned included, is
	// unique within the tree.
	id := parent.id + "." + spool.ProgramID(strconv.Itoa(owner.used.Agents+owner.reserved.Agents))
	for owner.programs[id] != nil || owner.spawning[id] != nil {
		id += "x"
	}
	ticket.child = id
	owner.spawning[id] = ticket
	parent.see(now)
	data := Started{
		Account: parent.account, Parent: parent.id, Call: request.Call, Body: request.Body,
		Model: request.Model, Alarm: parent.alarm, IdleFor: request.IdleFor, At: now,
	}
	if data.Model == "" {
		data.Model = parent.model
	}
	if data.IdleFor == 0 {
		data.IdleFor = parent.idleFor
	}
	return Spawned{Child: id, Ticket: ticket.ID, Record: record(KindSpawned, id, data)}, nil
}

// End returns the record that ends a program and its sub-agents, or false when
// it has ended already. The error is a *spool.Refusal.
func (s *State) End(now clock.Millis, account spool.AccountID, id spool.ProgramID, reason EndReason) (entry spool.Record, live bool, err error) {
	program, err := s.lookup(account, id)
	if err != nil || program.ended != "" {
		return entry, false, err
	}
	return record(KindEnded, id, Ended{Reason: reason, At: now}), true, nil
}

// Under lists the tickets of a program and of its sub-agents, the running ones
// and those that wait, in the order of their identifiers.
func (s *State) Under(id spool.ProgramID) (tickets []Ticket) {
	prefix := string(id) + "."
	for _, ticket := range s.tickets {
		if ticket.Kind != callSpawn && (ticket.Program == id || strings.HasPrefix(string(ticket.Program), prefix)) {
			tickets = append(tickets, *ticket)
		}
	}
	sort.Slice(tickets, func(i, j int) bool { return tickets[i].ID < tickets[j].ID })
	return tickets
}

// Expire returns records that end the programs which have been idle for longer
// than they may.
func (s *State) Expire(now clock.Millis) (records []spool.Record) {
	for _, owner := range s.trees {
		for _, program := range owner.programs {
			idle := program.running == nil && len(program.waiting) == 0
			if program.ended == "" && idle && program.idleFor > 0 && now-max(program.lastAt, program.seenAt) > program.idleFor {
				records = append(records, record(KindEnded, program.id, Ended{Reason: EndExpired, At: now}))
			}
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Program < records[j].Program })
	return records
}

// Forget drops the trees that ended before the given instant and the early
// records that no snapshot has claimed.
func (s *State) Forget(before clock.Millis) (forgotten int) {
	for root, owner := range s.trees {
		if program := owner.programs[root]; program.ended != "" && program.lastAt < before && owner.reserved == (Usage{}) {
			delete(s.trees, root)
			forgotten++
		}
	}
	clear(s.early)
	return forgotten
}

// Show returns a view of a program. The error is a *spool.Refusal that is the
// same for a program of another account as for one that does not exist.
func (s *State) Show(account spool.AccountID, id spool.ProgramID) (view View, err error) {
	program, err := s.lookup(account, id)
	if err != nil {
		return view, err
	}
	return program.view(), nil
}

// Inspect returns a view of a program of any account, for operators.
func (s *State) Inspect(id spool.ProgramID) (view View, err error) {
	program := s.find(id)
	if program == nil {
		return view, spool.Refuse(spool.CodeNotFound, "program does not exist")
	}
	return program.view(), nil
}

// History returns a copy of the messages of a program.
func (s *State) History(id spool.ProgramID) []spool.Message {
	if program := s.find(id); program != nil {
		return program.history.All()
	}
	return nil
}

// Live calls visit for each program that has not ended.
func (s *State) Live(visit func(View)) {
	for _, owner := range s.trees {
		for _, program := range owner.programs {
			if program.ended == "" {
				visit(program.view())
			}
		}
	}
}

// Overspent reports whether a tree breaks the invariant used + reserved <=
// budget.
func (s *State) Overspent(root spool.ProgramID) bool {
	owner := s.trees[root]
	return owner != nil && owner.budget.exceeded(owner.used.plus(owner.reserved)) != ""
}

func (s *State) lookup(account spool.AccountID, id spool.ProgramID) (*Program, error) {
	program := s.find(id)
	if program == nil || program.account != account {
		return nil, spool.Refuse(spool.CodeNotFound, "program does not exist")
	}
	return program, nil
}
