package program

import (
	"sort"
	"strconv"
	"strings"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// StartRecord returns the record that starts a root program. It does not change the
// state. If the program exists already, it fails with a *spool.Refusal.
func (s *State) StartRecord(id spool.ProgramID, data Started) (record spool.Record, err error) {
	if s.findProgram(id) != nil {
		return record, spool.Refuse(spool.CodeConflict, "program %s exists", id)
	}
	return newRecord(KindStarted, id, data), nil
}

// SpawnRequest asks for a sub-agent.
type SpawnRequest struct {
	// Parent, Account and Call identify the call that spawns the sub-agent.
	Parent  spool.ProgramID
	Account spool.AccountID
	Call    spool.CallID
	// Body is the digest of the body of the request.
	Body string
	// Model and IdleTimeout are the settings of the sub-agent. A zero value inherits
	// the setting of the parent.
	Model       spool.ModelName
	IdleTimeout clock.Millis
}

// Spawned is the result of a SpawnRequest.
type Spawned struct {
	// Child is the identifier of the sub-agent. A repeated request gets the same one.
	Child spool.ProgramID
	// Ticket is the ID of the ticket that reserves the sub-agent's budget until Record
	// is durable. It is 0 when the sub-agent exists already; Record is not set then.
	Ticket uint64
	// Record is the record that starts the sub-agent.
	Record spool.Record
}

// Spawn reserves the budget of a sub-agent and returns the record that starts the
// sub-agent. The caller must release the ticket once the record is applied or given up.
// A repeated request returns the existing sub-agent. The error is a *spool.Refusal.
func (s *State) Spawn(now clock.Millis, request SpawnRequest) (spawned Spawned, err error) {
	parent, err := s.findOwnProgram(request.Account, request.Parent)
	if err != nil {
		return spawned, err
	}
	if existing, ok := parent.children[request.Call]; ok {
		if existing.bodyDigest != request.Body {
			return spawned, spool.Refuse(spool.CodeConflict, "callId %q was used with another request", request.Call)
		}
		return Spawned{Child: existing.id}, nil
	}
	if parent.calls[request.Call] != nil {
		return spawned, spool.Refuse(spool.CodeConflict, "callId %q was used with another request", request.Call)
	}
	if parent.endReason != "" {
		return spawned, spool.Refuse(spool.CodeProgramEnded, "program has ended: %s", parent.endReason)
	}
	tree := parent.tree
	depth := strings.Count(string(parent.id), ".") + 1
	if tree.budget.Depth > 0 && depth > tree.budget.Depth {
		return spawned, spool.Refuse(spool.CodeBudgetExhausted, "sub-agent would have depth %d, %d is allowed", depth, tree.budget.Depth)
	}
	required := Usage{Agents: 1}
	if bound := tree.budget.exceededBound(tree.used.add(tree.reserved).add(required)); bound != "" {
		return spawned, spool.Refuse(spool.CodeBudgetExhausted, "sub-agent exceeds the budget for %s", bound)
	}
	for _, ticket := range tree.pendingSpawns {
		if ticket.Program == parent.id && ticket.Call == request.Call {
			return spawned, spool.Refuse(spool.CodeConflict, "spawn %q is under way", request.Call).WithRetryAfter(clock.Second)
		}
	}
	ticket := &Ticket{Program: parent.id, Root: tree.root, Account: parent.account, Call: request.Call, Kind: callSpawn, reservation: required}
	s.addTicket(ticket)
	tree.reserved = tree.reserved.add(required)
	// The identifier ends with the number of sub-agents of the tree, including pending
	// spawns. This number is used again after a spawn was given up, so the loop makes
	// the identifier unique.
	id := parent.id + "." + spool.ProgramID(strconv.Itoa(tree.used.Agents+tree.reserved.Agents))
	for tree.programs[id] != nil || tree.pendingSpawns[id] != nil {
		id += "x"
	}
	ticket.spawnedProgram = id
	tree.pendingSpawns[id] = ticket
	parent.recordRequest(now)
	data := Started{
		Account: parent.account, Parent: parent.id, Call: request.Call, Body: request.Body,
		Model: request.Model, Alarm: parent.alarm, IdleTimeout: request.IdleTimeout, At: now,
	}
	if data.Model == "" {
		data.Model = parent.model
	}
	if data.IdleTimeout == 0 {
		data.IdleTimeout = parent.idleTimeout
	}
	return Spawned{Child: id, Ticket: ticket.ID, Record: newRecord(KindSpawned, id, data)}, nil
}

// EndRecord returns the record that ends a program and its sub-agents. live is false,
// and there is no record, when the program has ended already. EndRecord does not change
// the state. The error is a *spool.Refusal.
func (s *State) EndRecord(now clock.Millis, account spool.AccountID, id spool.ProgramID, reason EndReason) (record spool.Record, live bool, err error) {
	program, err := s.findOwnProgram(account, id)
	if err != nil || program.endReason != "" {
		return record, false, err
	}
	return newRecord(KindEnded, id, Ended{Reason: reason, At: now}), true, nil
}

// TicketsUnder returns copies of the tickets of all running and waiting calls of a
// program and its descendants, sorted by ID. It omits pending spawns.
func (s *State) TicketsUnder(id spool.ProgramID) (tickets []Ticket) {
	prefix := string(id) + "."
	for _, ticket := range s.tickets {
		if ticket.Kind != callSpawn && (ticket.Program == id || strings.HasPrefix(string(ticket.Program), prefix)) {
			tickets = append(tickets, *ticket)
		}
	}
	sort.Slice(tickets, func(i, j int) bool { return tickets[i].ID < tickets[j].ID })
	return tickets
}

// ExpiryRecords returns records that end the idle programs, sorted by program. A
// program is idle if no call is running or waiting and if, for longer than its idle
// timeout, there was no request and no change of the program or its descendants. A
// program whose idle timeout is 0 never expires.
func (s *State) ExpiryRecords(now clock.Millis) (records []spool.Record) {
	for _, tree := range s.trees {
		for _, program := range tree.programs {
			idle := program.running == nil && len(program.waiting) == 0
			if program.endReason == "" && idle && program.idleTimeout > 0 && now-max(program.lastChangeAt, program.lastRequestAt) > program.idleTimeout {
				records = append(records, newRecord(KindEnded, program.id, Ended{Reason: EndExpired, At: now}))
			}
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Program < records[j].Program })
	return records
}

// Forget removes each tree whose root program has ended, whose latest change was before
// the given time and which has no reservation left. It returns the number of removed
// trees. It also drops all records that still wait for a snapshot of their tree.
func (s *State) Forget(before clock.Millis) (forgotten int) {
	for root, tree := range s.trees {
		if program := tree.programs[root]; program.endReason != "" && program.lastChangeAt < before && tree.reserved == (Usage{}) {
			delete(s.trees, root)
			forgotten++
		}
	}
	clear(s.awaitingSnapshot)
	return forgotten
}

// Show returns a view of a program of the given account. The error is a *spool.Refusal.
// A program of another account gives the same error as one that does not exist, so that
// no account learns of another account's programs.
func (s *State) Show(account spool.AccountID, id spool.ProgramID) (view View, err error) {
	program, err := s.findOwnProgram(account, id)
	if err != nil {
		return view, err
	}
	return program.view(), nil
}

// Inspect returns a view of a program of any account, for operators. The error is a
// *spool.Refusal with CodeNotFound.
func (s *State) Inspect(id spool.ProgramID) (view View, err error) {
	program := s.findProgram(id)
	if program == nil {
		return view, spool.Refuse(spool.CodeNotFound, "program does not exist")
	}
	return program.view(), nil
}

// History returns a copy of the messages of a program. It is empty when the program has
// ended or does not exist.
func (s *State) History(id spool.ProgramID) []spool.Message {
	if program := s.findProgram(id); program != nil {
		return program.history.All()
	}
	return nil
}

// EachLive calls visit for every program that has not ended, in no particular order.
func (s *State) EachLive(visit func(View)) {
	for _, tree := range s.trees {
		for _, program := range tree.programs {
			if program.endReason == "" {
				visit(program.view())
			}
		}
	}
}

// Overspent reports whether the used and the reserved part of a tree's budget together
// exceed a bound of the budget. That indicates a programming error. It is false for a
// tree that does not exist.
func (s *State) Overspent(root spool.ProgramID) bool {
	tree := s.trees[root]
	return tree != nil && tree.budget.exceededBound(tree.used.add(tree.reserved)) != ""
}

// findOwnProgram returns a program of the given account. For a program of another
// account the error is the same as for a program that does not exist.
func (s *State) findOwnProgram(account spool.AccountID, id spool.ProgramID) (*Program, error) {
	program := s.findProgram(id)
	if program == nil || program.account != account {
		return nil, spool.Refuse(spool.CodeNotFound, "program does not exist")
	}
	return program, nil
}
