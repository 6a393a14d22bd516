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

// asked is an answer of an agent that has not been recorded yet.
type asked struct {
	call   program.Unresolved
	result program.OutcomeResult
}

// naive recomputes from the log, without any cleverness, what the fold keeps
// up to date.
type naive struct {
	messages map[spool.ProgramID][]spool.Message
	ended    map[spool.ProgramID]bool
	used     map[spool.ProgramID]program.Usage
	answers  map[string]string
}

func recompute(log []spool.Record) naive {
	n := naive{
		messages: map[spool.ProgramID][]spool.Message{}, ended: map[spool.ProgramID]bool{},
		used: map[spool.ProgramID]program.Usage{}, answers: map[string]string{},
	}
	intents := map[string]bool{}
	for _, entry := range log {
		root, key := entry.Program.Root(), ""
		used := n.used[root]
		switch entry.Kind {
		case program.KindStarted:
			n.messages[entry.Program] = nil
		case program.KindSpawned:
			n.messages[entry.Program] = nil
			used.Agents++
		case program.KindTurn:
			var turn program.Turn
			_ = json.Unmarshal(entry.Data, &turn)
			n.messages[entry.Program] = append(n.messages[entry.Program], turn.Messages...)
			n.answers[fmt.Sprint(entry.Program, "/", turn.Call)] = turn.Messages[len(turn.Messages)-1].Content
			used.Tokens, used.Calls = used.Tokens+turn.Charged, used.Calls+1
		case program.KindSpent:
			var spent program.Spent
			_ = json.Unmarshal(entry.Data, &spent)
			used.Tokens, used.Calls = used.Tokens+spent.Charged, used.Calls+1
		case program.KindIntent:
			var intent program.Intent
			_ = json.Unmarshal(entry.Data, &intent)
			key = fmt.Sprint(entry.Program, "/", intent.Call)
			intents[key] = true
			used.Calls++
		case program.KindOutcome:
			var outcome program.Outcome
			_ = json.Unmarshal(entry.Data, &outcome)
			key = fmt.Sprint(entry.Program, "/", outcome.Call)
			if !intents[key] {
				used.Calls++
			}
			if outcome.Fate == program.FateDone {
				n.answers[key] = string(outcome.Answer)
			}
		case program.KindEnded:
			for id := range n.messages {
				if id == entry.Program || len(id) > len(entry.Program) && id[:len(entry.Program)+1] == entry.Program+"." {
					n.ended[id] = true
				}
			}
		}
		n.used[root] = used
	}
	return n
}

// machine drives a state like an owner that may crash at any step.
type machine struct {
	state *program.State
	now   clock.Millis
	log   []spool.Record
	ids   []spool.ProgramID
	// running holds the tickets under way, dispatched those whose call has been
	// sent, with or without an intent.
	running    map[uint64]program.Ticket
	intended   map[uint64]bool
	executions map[string]int
	// doubtful holds calls whose intent became durable although its owner had
	// given up waiting and did not dispatch.
	doubtful map[string]bool
	// late holds intents that are in doubt: they may yet become durable.
	late []spool.Record
	// asked holds open calls with the answer of the agent.
	asked []asked
	roots int
	calls int
}

func (m *machine) commit(t *rapid.T, records ...spool.Record) {
	m.log = append(m.log, records...)
	if effects := m.state.Apply(records); len(effects.Invalid) > 0 || effects.Repeated > 0 {
		t.Fatalf("own records do not apply: %v, %d repeated", effects.Invalid, effects.Repeated)
	}
}

func (m *machine) program(t *rapid.T) spool.ProgramID {
	if len(m.ids) == 0 {
		t.Skip("no program")
	}
	return rapid.SampledFrom(m.ids).Draw(t, "program")
}

func (m *machine) ticket(t *rapid.T) program.Ticket {
	ids := make([]uint64, 0, len(m.running))
	for id := range m.running {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		t.Skip("no call under way")
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return m.running[rapid.SampledFrom(ids).Draw(t, "ticket")]
}

func (m *machine) grant(grants []program.Grant) {
	for _, grant := range grants {
		if grant.Refusal == nil {
			m.running[grant.Ticket.ID] = grant.Ticket
		}
	}
}

func (m *machine) release(ticket program.Ticket) {
	delete(m.running, ticket.ID)
	delete(m.intended, ticket.ID)
	m.grant(m.state.Release(m.now, ticket.ID))
}

func (m *machine) start(t *rapid.T) {
	m.roots++
	id := spool.ProgramID(fmt.Sprint("p", m.roots))
	entry, err := m.state.Start(id, program.Started{
		Account: "fog", IdleFor: 50, At: m.now,
		Budget: program.Budget{Tokens: 400, Calls: 12, Agents: 3, Depth: 2},
	})
	if err != nil {
		t.Fatal(err)
	}
	m.commit(t, entry)
	m.ids = append(m.ids, id)
}

func (m *machine) admit(t *rapid.T) {
	m.calls++
	name := fmt.Sprint(rapid.IntRange(max(1, m.calls-3), m.calls).Draw(t, "call"))
	request := ask(m.program(t), name, "q"+name)
	if rapid.Bool().Draw(t, "service") {
		request = book(request.Program, "s"+name)
		request.Idempotent = rapid.Bool().Draw(t, "idempotent")
		request.Body += fmt.Sprint(request.Idempotent)
	}
	decision, err := m.state.Admit(m.now, request)
	if err != nil {
		return
	}
	switch decision.Verdict {
	case program.VerdictRun:
		m.running[decision.Ticket.ID] = decision.Ticket
	case program.VerdictReplay:
		want := recompute(m.log).answers[fmt.Sprint(request.Program, "/", request.Call)]
		if got := decision.Answer.Text + string(decision.Answer.Data); got != want {
			t.Fatalf("replay of %s is %q, recorded was %q", request.Call, got, want)
		}
	}
}

// intend commits an intent and dispatches the call.
func (m *machine) intend(t *rapid.T) {
	ticket := m.ticket(t)
	if ticket.Kind != program.CallService || ticket.Idempotent || m.intended[ticket.ID] {
		t.Skip("needs no intent")
	}
	entry := m.state.Intent(m.now, ticket.ID, "harvest-app", "e", 1, spool.AgentMark{})
	// The intent of an earlier owner of the call may have arrived before.
	if effects := m.state.Apply([]spool.Record{entry}); effects.Repeated == 0 {
		m.log = append(m.log, entry)
	}
	delete(m.doubtful, fmt.Sprint(ticket.Program, "/", ticket.Call))
	m.intended[ticket.ID] = true
	m.executions[fmt.Sprint(ticket.Program, "/", ticket.Call)]++
}

func (m *machine) finish(t *rapid.T) {
	ticket := m.ticket(t)
	failed := rapid.Bool().Draw(t, "failed")
	switch {
	case ticket.Kind == program.CallService && !ticket.Idempotent && !m.intended[ticket.ID]:
		m.release(ticket)
		return
	case ticket.Kind == program.CallService:
		m.commit(t, m.state.Outcome(m.now, ticket.ID, m.fate(t, ticket.Program, ticket.Call, !ticket.Idempotent)))
	case failed:
		m.commit(t, m.state.Spent(m.now, ticket.ID, rapid.IntRange(0, 99).Draw(t, "bytes")))
	default:
		generated := rapid.IntRange(0, ticket.MaxTokens).Draw(t, "generated")
		entry, overspent := m.state.Turn(m.now, ticket.ID, program.TurnResult{
			Text: "a" + string(ticket.Call), PromptTokens: ticket.BaseTokens + 3, GeneratedTokens: generated, Endpoint: "e",
		})
		if overspent {
			t.Fatal("reservation did not cover the call")
		}
		m.commit(t, entry)
	}
	m.release(ticket)
}

// fate draws what became of a service call. One that provably did not run does
// not count as an execution.
func (m *machine) fate(t *rapid.T, id spool.ProgramID, call spool.CallID, uncertain bool) program.OutcomeResult {
	done := program.OutcomeResult{Fate: program.FateDone, Status: 200, Answer: []byte("b" + call)}
	if !uncertain {
		return done
	}
	if m.doubtful[fmt.Sprint(id, "/", call)] {
		delete(m.doubtful, fmt.Sprint(id, "/", call))
		return program.OutcomeResult{Fate: program.FateNotRun}
	}
	switch rapid.IntRange(0, 2).Draw(t, "fate") {
	case 0:
		m.executions[fmt.Sprint(id, "/", call)]--
		return program.OutcomeResult{Fate: program.FateNotRun}
	case 1:
		return program.OutcomeResult{Fate: program.FateUnknown}
	default:
		return done
	}
}

func (m *machine) spawn(t *rapid.T) {
	spawned, err := m.state.Spawn(m.now, program.SpawnRequest{
		Parent: m.program(t), Account: "fog", Call: spool.CallID(fmt.Sprint("spawn", rapid.IntRange(1, 4).Draw(t, "call"))),
	})
	if err != nil || spawned.Ticket == 0 {
		return
	}
	if rapid.Bool().Draw(t, "durable") {
		m.commit(t, spawned.Record)
		m.ids = append(m.ids, spawned.Child)
	}
	m.state.Release(m.now, spawned.Ticket)
}

func (m *machine) end(t *rapid.T) {
	if entry, live, err := m.state.End(m.now, "fog", m.program(t), program.EndByCaller); err == nil && live {
		m.commit(t, entry)
	}
}

func (m *machine) expire(t *rapid.T) {
	m.now += clock.Millis(rapid.IntRange(1, 80).Draw(t, "idle"))
	for _, entry := range m.state.Expire(m.now) {
		effects := m.state.Apply([]spool.Record{entry})
		if effects.Repeated == 0 {
			m.log = append(m.log, entry)
		}
	}
}

// crash loses everything but the log; the next owner asks for the fates.
func (m *machine) crash(t *rapid.T) {
	m.state = program.NewState(program.Limits{})
	m.running, m.intended = map[uint64]program.Ticket{}, map[uint64]bool{}
	m.state.Apply(m.log)
	m.resolve(t)
}

// doubt makes an intent durable after its owner has given the call up.
func (m *machine) doubt(t *rapid.T) {
	ticket := m.ticket(t)
	if ticket.Kind != program.CallService || ticket.Idempotent || m.intended[ticket.ID] {
		t.Skip("needs no intent")
	}
	late := m.state.Intent(m.now, ticket.ID, "harvest-app", "e", 1, spool.AgentMark{})
	m.late = append(m.late, late)
	m.release(ticket)
}

// arrive applies an intent that was in doubt.
func (m *machine) arrive(t *rapid.T) {
	if len(m.late) == 0 {
		t.Skip("nothing is in doubt")
	}
	late := m.late[0]
	m.late = m.late[1:]
	var intent program.Intent
	_ = json.Unmarshal(late.Data, &intent)
	if effects := m.state.Apply([]spool.Record{late}); effects.Repeated == 0 {
		m.log = append(m.log, late)
		m.doubtful[fmt.Sprint(late.Program, "/", intent.Call)] = true
	}
}

// ask asks an agent about one open call; conclude records the answer later.
func (m *machine) ask(t *rapid.T) {
	for _, call := range m.state.Unresolved() {
		key := fmt.Sprint(call.Program, "/", call.Call)
		if m.doubtful[key] {
			m.asked = append(m.asked, asked{call: call, result: program.OutcomeResult{Fate: program.FateNotRun}})
			return
		}
	}
	t.Skip("nothing is open")
}

func (m *machine) conclude(t *rapid.T) {
	if len(m.asked) == 0 {
		t.Skip("no answer has come")
	}
	answer := m.asked[0]
	m.asked = m.asked[1:]
	if entry, open := m.state.Resolve(m.now, answer.call, answer.result); open {
		delete(m.doubtful, fmt.Sprint(answer.call.Program, "/", answer.call.Call))
		m.commit(t, entry)
		m.grant(m.state.Resolved(m.now, answer.call.Program))
	}
}

// resolve asks for the fates of all calls that are open and not under way.
func (m *machine) resolve(t *rapid.T) {
	for _, call := range m.state.Unresolved() {
		entry, open := m.state.Resolve(m.now, call, m.fate(t, call.Program, call.Call, true))
		if !open {
			t.Fatalf("call %s is not open", call.Call)
		}
		m.commit(t, entry)
		m.grant(m.state.Resolved(m.now, call.Program))
	}
}

func (m *machine) check(t *rapid.T) {
	want := recompute(m.log)
	busy := map[spool.ProgramID]int{}
	for _, ticket := range m.running {
		busy[ticket.Program]++
	}
	for _, id := range m.ids {
		view, err := m.state.Show("fog", id)
		if err != nil {
			t.Fatal(err)
		}
		if m.state.Overspent(id.Root()) || busy[id] > 1 {
			t.Fatalf("program %s overspends or runs %d calls at once: %+v", id, busy[id], view)
		}
		if view.Used != want.used[id.Root()] || (view.Ended != "") != want.ended[id] {
			t.Fatalf("program %s is %+v, recomputed %+v", id, view, want.used[id.Root()])
		}
		if view.Ended == "" && (view.Digest != spool.HistoryDigest("", want.messages[id]...) || view.Messages != len(want.messages[id])) {
			t.Fatalf("history of %s differs", id)
		}
	}
	for call, count := range m.executions {
		if count > 1 {
			t.Fatalf("call %s ran %d times", call, count)
		}
	}
}

// checkFolds compares the state with those folded from the log in other ways:
// with every record twice, and from a snapshot among the records around it.
func (m *machine) checkFolds(t *rapid.T) {
	want := m.state.Snapshot()
	twice, partial, before := program.NewState(program.Limits{}), program.NewState(program.Limits{}), program.NewState(program.Limits{})
	cut := rapid.IntRange(0, len(m.log)).Draw(t, "cut")
	late := rapid.IntRange(cut, len(m.log)).Draw(t, "late")
	trimmed := rapid.IntRange(0, cut).Draw(t, "trimmed")
	for _, entry := range m.log {
		twice.Apply([]spool.Record{entry, entry})
	}
	before.Apply(m.log[:cut])
	partial.Apply(m.log[trimmed:late])
	partial.Apply(before.Snapshot())
	partial.Apply(m.log[late:])
	for name, state := range map[string]*program.State{"repeated records": twice, "a snapshot": partial} {
		if got := state.Snapshot(); !reflect.DeepEqual(got, want) {
			t.Fatalf("fold with %s (trimmed %d, cut %d, late %d) differs:\n%s\n%s", name, trimmed, cut, late, got, want)
		}
	}
}

// TestMachine guards the invariants of programs against any order of calls,
// ends, spawns and crashes.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			state: program.NewState(program.Limits{}), running: map[uint64]program.Ticket{},
			intended: map[uint64]bool{}, executions: map[string]int{},
			doubtful: map[string]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": m.start, "admit": m.admit, "admitMore": m.admit, "intend": m.intend, "finish": m.finish,
			"finishMore": m.finish, "spawn": m.spawn, "end": m.end, "expire": m.expire, "crash": m.crash, "doubt": m.doubt, "resolve": m.resolve, "arrive": m.arrive, "ask": m.ask, "conclude": m.conclude, "": m.check,
		})
		m.checkFolds(t)
	})
}
