package program_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"testing"

	"pgregory.net/rapid"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// pendingAnswer is an agent's answer to a query about an unresolved call. The answer
// has not been recorded yet.
type pendingAnswer struct {
	call   program.Unresolved
	result program.OutcomeResult
}

// reference is the expected state of all programs. referenceState computes it from the
// whole log in the simplest way, to check the incrementally updated program.State. The
// keys of used are root programs. The keys of answers have the form program/call.
type reference struct {
	messages map[spool.ProgramID][]spool.Message
	ended    map[spool.ProgramID]bool
	used     map[spool.ProgramID]program.Usage
	answers  map[string]string
}

func referenceState(log []spool.Record) reference {
	n := reference{
		messages: map[spool.ProgramID][]spool.Message{}, ended: map[spool.ProgramID]bool{},
		used: map[spool.ProgramID]program.Usage{}, answers: map[string]string{},
	}
	intents := map[string]bool{}
	for _, record := range log {
		root, key := record.Program.Root(), ""
		used := n.used[root]
		switch record.Kind {
		case program.KindStarted:
			n.messages[record.Program] = nil
		case program.KindSpawned:
			n.messages[record.Program] = nil
			used.Agents++
		case program.KindTurn:
			var turn program.Turn
			_ = json.Unmarshal(record.Data, &turn)
			n.messages[record.Program] = append(n.messages[record.Program], turn.Messages...)
			n.answers[fmt.Sprint(record.Program, "/", turn.Call)] = turn.Messages[len(turn.Messages)-1].Content
			used.Tokens, used.Calls = used.Tokens+turn.Charged, used.Calls+1
		case program.KindSpent:
			var spent program.Spent
			_ = json.Unmarshal(record.Data, &spent)
			used.Tokens, used.Calls = used.Tokens+spent.Charged, used.Calls+1
		case program.KindIntent:
			var intent program.Intent
			_ = json.Unmarshal(record.Data, &intent)
			key = fmt.Sprint(record.Program, "/", intent.Call)
			intents[key] = true
			used.Calls++
		case program.KindOutcome:
			var outcome program.Outcome
			_ = json.Unmarshal(record.Data, &outcome)
			key = fmt.Sprint(record.Program, "/", outcome.Call)
			if !intents[key] {
				used.Calls++
			}
			if outcome.Outcome == program.OutcomeDone {
				n.answers[key] = string(outcome.Answer)
			}
		case program.KindEnded:
			for id := range n.messages {
				if id == record.Program || len(id) > len(record.Program) && id[:len(record.Program)+1] == record.Program+"." {
					n.ended[id] = true
				}
			}
		}
		n.used[root] = used
	}
	return n
}

// stateMachine drives a program.State like an owner that may crash between any two
// steps. Its methods are the steps that rapid chooses from.
type stateMachine struct {
	state    *program.State
	now      clock.Millis
	log      []spool.Record
	programs []spool.ProgramID
	// runningTickets holds the tickets of running calls by ticket ID. dispatched marks
	// the tickets whose intent is durable and whose call has been sent. executions
	// counts, for each program/call, the dispatches that may have run.
	runningTickets map[uint64]program.Ticket
	dispatched     map[uint64]bool
	executions     map[string]int
	// undispatched marks each program/call whose intent became durable only after the
	// owner had stopped waiting for the append. The owner has not dispatched such a call.
	undispatched map[string]bool
	// lateIntents holds intents whose append has an unknown outcome: they may still
	// become durable.
	lateIntents []spool.Record
	// pendingAnswers holds the agent's answers that recordOutcome has not recorded yet.
	pendingAnswers []pendingAnswer
	roots          int
	calls          int
}

func (m *stateMachine) commit(t *rapid.T, records ...spool.Record) {
	m.log = append(m.log, records...)
	if effects := m.state.Apply(records); len(effects.Invalid) > 0 || effects.Repeated > 0 {
		t.Fatalf("own records were not applied: %v, %d repeated", effects.Invalid, effects.Repeated)
	}
}

func (m *stateMachine) drawProgram(t *rapid.T) spool.ProgramID {
	if len(m.programs) == 0 {
		t.Skip("no program")
	}
	return rapid.SampledFrom(m.programs).Draw(t, "program")
}

func (m *stateMachine) drawTicket(t *rapid.T) program.Ticket {
	ids := make([]uint64, 0, len(m.runningTickets))
	for id := range m.runningTickets {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		t.Skip("no call is running")
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return m.runningTickets[rapid.SampledFrom(ids).Draw(t, "ticket")]
}

func (m *stateMachine) recordGrants(grants []program.Grant) {
	for _, grant := range grants {
		if grant.Refusal == nil {
			m.runningTickets[grant.Ticket.ID] = grant.Ticket
		}
	}
}

func (m *stateMachine) release(ticket program.Ticket) {
	delete(m.runningTickets, ticket.ID)
	delete(m.dispatched, ticket.ID)
	m.recordGrants(m.state.Release(m.now, ticket.ID))
}

func (m *stateMachine) start(t *rapid.T) {
	m.roots++
	id := spool.ProgramID(fmt.Sprint("p", m.roots))
	record, err := m.state.StartRecord(id, program.Started{
		Account: "fog", IdleTimeout: 50, At: m.now,
		Budget: program.Budget{Tokens: 400, Calls: 12, Agents: 3, Depth: 2},
	})
	if err != nil {
		t.Fatal(err)
	}
	m.commit(t, record)
	m.programs = append(m.programs, id)
}

func (m *stateMachine) admit(t *rapid.T) {
	m.calls++
	name := fmt.Sprint(rapid.IntRange(max(1, m.calls-3), m.calls).Draw(t, "call"))
	request := modelCall(m.drawProgram(t), name, "q"+name)
	if rapid.Bool().Draw(t, "service") {
		request = serviceCall(request.Program, "s"+name)
		request.Idempotent = rapid.Bool().Draw(t, "idempotent")
		request.Body += fmt.Sprint(request.Idempotent)
	}
	decision, err := m.state.Admit(m.now, request)
	if err != nil {
		return
	}
	switch decision.Verdict {
	case program.VerdictRun:
		m.runningTickets[decision.Ticket.ID] = decision.Ticket
	case program.VerdictReplay:
		want := referenceState(m.log).answers[fmt.Sprint(request.Program, "/", request.Call)]
		if got := decision.Answer.Text + string(decision.Answer.Data); got != want {
			t.Fatalf("replayed answer of %s is %q, recorded was %q", request.Call, got, want)
		}
	}
}

// commitIntent records the intent of a running call and dispatches the call.
func (m *stateMachine) commitIntent(t *rapid.T) {
	ticket := m.drawTicket(t)
	if ticket.Kind != program.CallService || ticket.Idempotent || m.dispatched[ticket.ID] {
		t.Skip("needs no intent")
	}
	record := m.state.IntentRecord(m.now, ticket.ID, "harvest-app", "e", 1, spool.AgentMark{})
	// The state skips the record as repeated if a late intent with the same attempt
	// number has been applied.
	if effects := m.state.Apply([]spool.Record{record}); effects.Repeated == 0 {
		m.log = append(m.log, record)
	}
	delete(m.undispatched, fmt.Sprint(ticket.Program, "/", ticket.Call))
	m.dispatched[ticket.ID] = true
	m.executions[fmt.Sprint(ticket.Program, "/", ticket.Call)]++
}

func (m *stateMachine) finish(t *rapid.T) {
	ticket := m.drawTicket(t)
	failed := rapid.Bool().Draw(t, "failed")
	switch {
	case ticket.Kind == program.CallService && !ticket.Idempotent && !m.dispatched[ticket.ID]:
		m.release(ticket)
		return
	case ticket.Kind == program.CallService:
		m.commit(t, m.state.OutcomeRecord(m.now, ticket.ID, m.drawOutcome(t, ticket.Program, ticket.Call, !ticket.Idempotent)))
	case failed:
		m.commit(t, m.state.SpentRecord(m.now, ticket.ID, rapid.IntRange(0, 99).Draw(t, "bytes")))
	default:
		generated := rapid.IntRange(0, ticket.MaxTokens).Draw(t, "generated")
		record, overspent := m.state.TurnRecord(m.now, ticket.ID, program.TurnResult{
			Text: "a" + string(ticket.Call), PromptTokens: ticket.BaseTokens + 3, GeneratedTokens: generated, Endpoint: "e",
		})
		if overspent {
			t.Fatal("reservation did not cover the call")
		}
		m.commit(t, record)
	}
	m.release(ticket)
}

// drawOutcome draws the outcome of a service call; it is OutcomeDone if uncertain is
// false. If a dispatched call gets OutcomeNotRun, drawOutcome also takes back the
// execution that was counted for the dispatch.
func (m *stateMachine) drawOutcome(t *rapid.T, id spool.ProgramID, call spool.CallID, uncertain bool) program.OutcomeResult {
	done := program.OutcomeResult{Outcome: program.OutcomeDone, Status: 200, Answer: []byte("b" + call)}
	if !uncertain {
		return done
	}
	if m.undispatched[fmt.Sprint(id, "/", call)] {
		delete(m.undispatched, fmt.Sprint(id, "/", call))
		return program.OutcomeResult{Outcome: program.OutcomeNotRun}
	}
	switch rapid.IntRange(0, 2).Draw(t, "fate") {
	case 0:
		m.executions[fmt.Sprint(id, "/", call)]--
		return program.OutcomeResult{Outcome: program.OutcomeNotRun}
	case 1:
		return program.OutcomeResult{Outcome: program.OutcomeUnknown}
	default:
		return done
	}
}

func (m *stateMachine) spawn(t *rapid.T) {
	spawned, err := m.state.Spawn(m.now, program.SpawnRequest{
		Parent: m.drawProgram(t), Account: "fog", Call: spool.CallID(fmt.Sprint("spawn", rapid.IntRange(1, 4).Draw(t, "call"))),
	})
	if err != nil || spawned.Ticket == 0 {
		return
	}
	if rapid.Bool().Draw(t, "durable") {
		m.commit(t, spawned.Record)
		m.programs = append(m.programs, spawned.Child)
	}
	m.state.Release(m.now, spawned.Ticket)
}

func (m *stateMachine) end(t *rapid.T) {
	if record, live, err := m.state.EndRecord(m.now, "fog", m.drawProgram(t), program.EndByCaller); err == nil && live {
		m.commit(t, record)
	}
}

func (m *stateMachine) expire(t *rapid.T) {
	m.now += clock.Millis(rapid.IntRange(1, 80).Draw(t, "idle"))
	for _, record := range m.state.ExpiryRecords(m.now) {
		effects := m.state.Apply([]spool.Record{record})
		if effects.Repeated == 0 {
			m.log = append(m.log, record)
		}
	}
}

// crash replaces the state by one that is rebuilt from the log, and then resolves the
// unresolved calls, as the next owner does.
func (m *stateMachine) crash(t *rapid.T) {
	m.state = program.NewState(program.Limits{})
	m.runningTickets, m.dispatched = map[uint64]program.Ticket{}, map[uint64]bool{}
	m.state.Apply(m.log)
	m.resolveAll(t)
}

// abandonIntent gives up a running call while the outcome of the append of its intent
// is unknown. The intent may be applied later by applyLateIntent.
func (m *stateMachine) abandonIntent(t *rapid.T) {
	ticket := m.drawTicket(t)
	if ticket.Kind != program.CallService || ticket.Idempotent || m.dispatched[ticket.ID] {
		t.Skip("needs no intent")
	}
	late := m.state.IntentRecord(m.now, ticket.ID, "harvest-app", "e", 1, spool.AgentMark{})
	m.lateIntents = append(m.lateIntents, late)
	m.release(ticket)
}

// applyLateIntent applies the oldest of lateIntents, as if its append had succeeded
// late.
func (m *stateMachine) applyLateIntent(t *rapid.T) {
	if len(m.lateIntents) == 0 {
		t.Skip("no append is in doubt")
	}
	late := m.lateIntents[0]
	m.lateIntents = m.lateIntents[1:]
	var intent program.Intent
	_ = json.Unmarshal(late.Data, &intent)
	if effects := m.state.Apply([]spool.Record{late}); effects.Repeated == 0 {
		m.log = append(m.log, late)
		m.undispatched[fmt.Sprint(late.Program, "/", intent.Call)] = true
	}
}

// queryOutcome stores an agent's answer "not run" about one unresolved call that was
// never dispatched. recordOutcome records the answer later, when it may be outdated.
func (m *stateMachine) queryOutcome(t *rapid.T) {
	for _, call := range m.state.Unresolved() {
		key := fmt.Sprint(call.Program, "/", call.Call)
		if m.undispatched[key] {
			m.pendingAnswers = append(m.pendingAnswers, pendingAnswer{call: call, result: program.OutcomeResult{Outcome: program.OutcomeNotRun}})
			return
		}
	}
	t.Skip("no undispatched call is unresolved")
}

func (m *stateMachine) recordOutcome(t *rapid.T) {
	if len(m.pendingAnswers) == 0 {
		t.Skip("no answer is pending")
	}
	answer := m.pendingAnswers[0]
	m.pendingAnswers = m.pendingAnswers[1:]
	if record, open := m.state.ResolveRecord(m.now, answer.call, answer.result); open {
		delete(m.undispatched, fmt.Sprint(answer.call.Program, "/", answer.call.Call))
		m.commit(t, record)
		m.recordGrants(m.state.StartWaitingCalls(m.now, answer.call.Program))
	}
}

// resolveAll draws and records the outcomes of all unresolved calls.
func (m *stateMachine) resolveAll(t *rapid.T) {
	for _, call := range m.state.Unresolved() {
		record, open := m.state.ResolveRecord(m.now, call, m.drawOutcome(t, call.Program, call.Call, true))
		if !open {
			t.Fatalf("call %s is not unresolved", call.Call)
		}
		m.commit(t, record)
		m.recordGrants(m.state.StartWaitingCalls(m.now, call.Program))
	}
}

func (m *stateMachine) check(t *rapid.T) {
	want := referenceState(m.log)
	busy := map[spool.ProgramID]int{}
	for _, ticket := range m.runningTickets {
		busy[ticket.Program]++
	}
	for _, id := range m.programs {
		view, err := m.state.Show("fog", id)
		if err != nil {
			t.Fatal(err)
		}
		if m.state.Overspent(id.Root()) || busy[id] > 1 {
			t.Fatalf("program %s exceeds its budget or runs %d calls at once: %+v", id, busy[id], view)
		}
		if view.Used != want.used[id.Root()] || (view.Ended != "") != want.ended[id] {
			t.Fatalf("program %s is %+v, recomputed %+v", id, view, want.used[id.Root()])
		}
		if view.Ended == "" && (view.Digest != spool.HistoryDigest("", want.messages[id]...) || view.Messages != len(want.messages[id])) {
			t.Fatalf("history of %s differs from the reference", id)
		}
	}
	for call, count := range m.executions {
		if count > 1 {
			t.Fatalf("call %s ran %d times", call, count)
		}
	}
}

// checkReplays compares the state with two states that are rebuilt from the log: one
// with every record applied twice, and one from a part of the log, a snapshot and the
// rest of the log. That guards against records that are applied twice or lost.
func (m *stateMachine) checkReplays(t *rapid.T) {
	want := m.state.Snapshot()
	twice, partial, before := program.NewState(program.Limits{}), program.NewState(program.Limits{}), program.NewState(program.Limits{})
	cut := rapid.IntRange(0, len(m.log)).Draw(t, "cut")
	late := rapid.IntRange(cut, len(m.log)).Draw(t, "late")
	trimmed := rapid.IntRange(0, cut).Draw(t, "trimmed")
	for _, record := range m.log {
		twice.Apply([]spool.Record{record, record})
	}
	before.Apply(m.log[:cut])
	partial.Apply(m.log[trimmed:late])
	partial.Apply(before.Snapshot())
	partial.Apply(m.log[late:])
	for name, state := range map[string]*program.State{"repeated records": twice, "a snapshot": partial} {
		if got := state.Snapshot(); !reflect.DeepEqual(got, want) {
			t.Fatalf("state rebuilt with %s (trimmed %d, cut %d, late %d) differs:\n%s\n%s", name, trimmed, cut, late, got, want)
		}
	}
}

// TestMachine checks programs after each step of random sequences of calls, ends,
// spawns and crashes of the owner. It guards against a tree that exceeds its budget, a
// program that runs two calls at once, a non-idempotent call that runs twice, and a
// state that differs from the log.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateMachine{
			state: program.NewState(program.Limits{}), runningTickets: map[uint64]program.Ticket{},
			dispatched: map[uint64]bool{}, executions: map[string]int{},
			undispatched: map[string]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": m.start, "admit": m.admit, "admitMore": m.admit, "intend": m.commitIntent, "finish": m.finish,
			"finishMore": m.finish, "spawn": m.spawn, "end": m.end, "expire": m.expire, "crash": m.crash, "doubt": m.abandonIntent, "resolve": m.resolveAll, "arrive": m.applyLateIntent, "ask": m.queryOutcome, "conclude": m.recordOutcome, "": m.check,
		})
		m.checkReplays(t)
	})
}
