package gatekeeper_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/gatekeeper"
	_ "github.com/baobabspool/baobabspool/pkg/policy/order" // registers the queue "fair"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// logicalCall is a call as its owners see it, with all its dispatches. Its mark was
// read before the first dispatch.
type logicalCall struct {
	key        gatekeeper.Key
	idempotent bool
	service    bool
	mark       spool.AgentMark
	attempts   map[spool.Epoch]uint64
	// runs counts the runs that the endpoint may have executed.
	runs int
	// fenced holds the dispatches given in outcome queries that were answered with
	// CallStateNotSeen. Neither they nor earlier dispatches may start any more.
	fenced []dispatch
}

type dispatch struct {
	epoch   spool.Epoch
	attempt uint64
}

// request is one dispatch of a logicalCall that is in transit, waiting, running or
// ended.
type request struct {
	*logicalCall
	dispatch
	call            gatekeeper.Call
	wantDigest      string
	started         bool
	notSent         bool
	replies         int
	refusedAsNotRun bool
}

// simulation drives a kernel with callers that crash, retry and dispatch late, and
// with an engine that restarts. The network may delay a dispatch by any time.
type simulation struct {
	kernel       *gatekeeper.Kernel
	useFairQueue bool
	gate         *fakeGate
	now          clock.Millis
	incarnations int
	ticket       gatekeeper.Ticket
	// epoch is the epoch of the current owner; highestEpoch is the highest epoch
	// that this incarnation of the agent has received.
	epoch        spool.Epoch
	highestEpoch spool.Epoch
	marks        []spool.AgentMark
	logicalCalls []*logicalCall
	inTransit    []*request
	delivered    map[gatekeeper.Ticket]*request
	running      map[gatekeeper.Ticket]*request
	queries      map[gatekeeper.Ticket]*outcomeQuery
	sessions     map[spool.ProgramID]bool
	freeing      []spool.ProgramID
	// exports holds the exports that the engine keeps, with their programs.
	// transfers holds the ExportPrefix and FreeExport commands that the engine has
	// not answered.
	exports   map[string]spool.ProgramID
	transfers []gatekeeper.Command
	load      spool.EngineLoad
}

type outcomeQuery struct {
	*logicalCall
	dispatch
}

func simulationConfig() gatekeeper.Config {
	config := gatekeeper.DefaultConfig()
	config.MaxWait, config.MaxQueued, config.InitialServiceTime = 2000, 6, 100
	config.OutcomeRetention, config.MaxOutcomes, config.MaxIdempotentOutcomes = 3000, 12, 3
	config.CallLease, config.GraceLease, config.MaxHistoryBytes = 2000, 2000, 2000
	return config
}

func (m *simulation) startAgent() {
	m.incarnations++
	var queue spool.Queue = &fifo{}
	if m.useFairQueue {
		queue, _ = spool.Queues.New("fair", 1, nil)
	}
	m.kernel = gatekeeper.New(simulationConfig(), fmt.Sprintf("boot%d", m.incarnations), queue, m.gate, exportAll{})
	m.ticket, m.highestEpoch = 0, 0
	m.delivered, m.running = map[gatekeeper.Ticket]*request{}, map[gatekeeper.Ticket]*request{}
	m.queries = map[gatekeeper.Ticket]*outcomeQuery{}
	m.freeing, m.transfers = nil, nil
}

func (m *simulation) step(t *rapid.T, message gatekeeper.Message) {
	commands := append([]gatekeeper.Command(nil), m.kernel.Step(m.now, message)...)
	for _, command := range commands {
		switch c := command.(type) {
		case gatekeeper.Start:
			m.checkStart(t, c)
		case gatekeeper.Reply:
			m.checkReply(t, c)
		case gatekeeper.OutcomeQueryReply:
			m.checkOutcomeQueryReply(t, c)
		case gatekeeper.FreeMemory:
			m.freeing = append(m.freeing, c.Program)
		case gatekeeper.ExportPrefix, gatekeeper.FreeExport:
			m.transfers = append(m.transfers, c)
		case gatekeeper.Violation:
			t.Fatalf("invariant %s is violated", c.Invariant)
		}
	}
	m.marks = append(m.marks, m.kernel.Status().Mark)
}

func (m *simulation) checkStart(t *rapid.T, c gatekeeper.Start) {
	r := m.delivered[c.Ticket]
	if r.started || r.refusedAsNotRun || r.epoch < m.highestEpoch {
		t.Fatalf("request %+v must not start, highest epoch is %d", r, m.highestEpoch)
	}
	if len(m.running) >= m.gate.size {
		t.Fatalf("%d calls run in a window of %d", len(m.running)+1, m.gate.size)
	}
	for _, fenced := range r.fenced {
		if r.epoch < fenced.epoch || r.epoch == fenced.epoch && r.attempt <= fenced.attempt {
			t.Fatalf("a fenced dispatch has started: %+v", r)
		}
	}
	r.started = true
	r.runs++
	if !r.idempotent && r.runs > 1 {
		t.Fatalf("non-idempotent call %v ran twice", r.key)
	}
	if c.Import != "" && m.exports[c.Import] != "" && m.exports[c.Import] != r.key.Program {
		t.Fatalf("call %v imports the prefix of program %s", r.key, m.exports[c.Import])
	}
	if !r.service {
		m.sessions[r.key.Program] = true
		if got := spool.HistoryDigest("", c.Messages...); got != r.wantDigest {
			t.Fatalf("prompt of %v is not its program's history", r.key)
		}
	}
	m.running[c.Ticket] = r
}

func (m *simulation) checkReply(t *rapid.T, c gatekeeper.Reply) {
	r := m.delivered[c.Ticket]
	r.replies++
	if r.replies > 1 {
		t.Fatalf("request %v was answered twice", r.key)
	}
	if c.Refusal != nil && c.Refusal.NotRun == spool.NotRunTrue {
		r.refusedAsNotRun = true
		if r.started && !r.notSent {
			t.Fatalf("%s claims that a started call has not run", c.Refusal.Code)
		}
	}
}

func (m *simulation) checkOutcomeQueryReply(t *rapid.T, c gatekeeper.OutcomeQueryReply) {
	q := m.queries[c.Ticket]
	if c.Refusal != nil || c.State != gatekeeper.CallStateNotSeen {
		if c.State == gatekeeper.CallStateDone && q.runs == 0 {
			t.Fatalf("call %v is reported as done but never ran", q.key)
		}
		return
	}
	if q.runs > 0 {
		t.Fatalf("call %v is reported as not seen but ran", q.key)
	}
	q.fenced = append(q.fenced, q.dispatch)
}

// history returns the whole history of a program with the given number of answered
// turns and one open question. Variants have the same length but different
// questions, as after a turn that was retried with another question.
func history(program, variant, turns int) (messages []spool.Message) {
	for i := range turns {
		messages = append(messages,
			spool.Message{Role: "user", Content: fmt.Sprintf("program %d asks %d, %d", program, i, variant)},
			spool.AnswerMessage(fmt.Sprintf("answer %d", i)))
	}
	return append(messages, spool.Message{Role: "user", Content: fmt.Sprintf("program %d asks %d, %d", program, turns, variant)})
}

func (m *simulation) send(t *rapid.T) {
	if len(m.logicalCalls) == 0 || rapid.Bool().Draw(t, "new") {
		m.logicalCalls = append(m.logicalCalls, &logicalCall{
			key: gatekeeper.Key{
				Account: "a", Program: spool.ProgramID(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "program"))),
				Call: spool.CallID(fmt.Sprint(len(m.logicalCalls))),
			},
			idempotent: rapid.Bool().Draw(t, "idempotent"), service: rapid.Bool().Draw(t, "service"),
			mark:     m.marks[rapid.IntRange(max(0, len(m.marks)-8), len(m.marks)-1).Draw(t, "mark")],
			attempts: map[spool.Epoch]uint64{},
		})
	}
	a := m.logicalCalls[rapid.IntRange(max(0, len(m.logicalCalls)-6), len(m.logicalCalls)-1).Draw(t, "action")]
	epoch := m.epoch - min(spool.Epoch(rapid.IntRange(0, 1).Draw(t, "older")), m.epoch)
	a.attempts[epoch]++
	r := &request{logicalCall: a, dispatch: dispatch{epoch, a.attempts[epoch]}}
	r.call = gatekeeper.Call{
		Key: a.key, Stream: "programs-0", Epoch: epoch, Attempt: r.attempt, Mark: a.mark, Idempotent: a.idempotent,
		Service: a.service, Alarm: rapid.Bool().Draw(t, "alarm"), DeadlineIn: clock.Millis(rapid.SampledFrom([]int{0, 300, 2000}).Draw(t, "deadline")),
	}
	if !a.service {
		program := int(a.key.Program[0] - '0')
		messages := history(program, rapid.IntRange(0, 1).Draw(t, "variant"), rapid.IntRange(0, 3).Draw(t, "turns"))
		base := rapid.IntRange(0, len(messages)-1).Draw(t, "base")
		r.call.BaseCount, r.call.BaseDigest = base, spool.HistoryDigest("", messages[:base]...)
		r.call.Messages = messages[base:]
		r.wantDigest = spool.HistoryDigest("", messages...)
	}
	m.inTransit = append(m.inTransit, r)
}

func (m *simulation) deliver(t *rapid.T) {
	if len(m.inTransit) == 0 {
		t.Skip("no dispatch is in transit")
	}
	i := rapid.IntRange(0, len(m.inTransit)-1).Draw(t, "request")
	r := m.inTransit[i]
	m.inTransit = append(m.inTransit[:i], m.inTransit[i+1:]...)
	m.ticket++
	m.delivered[m.ticket] = r
	m.highestEpoch = max(m.highestEpoch, r.epoch)
	m.step(t, gatekeeper.CallArrived{Ticket: m.ticket, Call: r.call})
}

func (m *simulation) queryOutcome(t *rapid.T) {
	if len(m.logicalCalls) == 0 {
		t.Skip("no call is known")
	}
	a := m.logicalCalls[rapid.IntRange(0, len(m.logicalCalls)-1).Draw(t, "action")]
	m.ticket++
	m.queries[m.ticket] = &outcomeQuery{logicalCall: a, dispatch: dispatch{m.epoch, a.attempts[m.epoch]}}
	m.highestEpoch = max(m.highestEpoch, m.epoch)
	m.step(t, gatekeeper.OutcomeQuery{
		Ticket: m.ticket, Key: a.key, Stream: "programs-0", Epoch: m.epoch, Attempt: a.attempts[m.epoch],
		Mark: a.mark, Idempotent: a.idempotent,
	})
}

// pickRunning returns the ticket of a random running call, or skips the operation
// if no call is running.
func (m *simulation) pickRunning(t *rapid.T) gatekeeper.Ticket {
	if len(m.running) == 0 {
		t.Skip("no call is running")
	}
	skip := rapid.IntRange(0, len(m.running)-1).Draw(t, "skip")
	for ticket := gatekeeper.Ticket(1); ; ticket++ {
		if m.running[ticket] != nil {
			if skip == 0 {
				return ticket
			}
			skip--
		}
	}
}

func (m *simulation) finish(t *rapid.T, ticket gatekeeper.Ticket) {
	r := m.running[ticket]
	delete(m.running, ticket)
	ending := rapid.SampledFrom([]gatekeeper.Ending{gatekeeper.EndDone, gatekeeper.EndDone, gatekeeper.EndNotSent, gatekeeper.EndStopped, gatekeeper.EndFailed}).Draw(t, "ending")
	finished := gatekeeper.Finished{Ticket: ticket, Ending: ending}
	switch {
	case ending == gatekeeper.EndNotSent:
		r.notSent = true
		r.runs--
	case ending == gatekeeper.EndDone && r.service:
		finished.Outcome.Service = &spool.ServiceResult{Status: 200}
	case ending == gatekeeper.EndDone:
		turns := (r.call.BaseCount + len(r.call.Messages)) / 2
		finished.Outcome.Engine = &spool.EngineResult{Text: fmt.Sprintf("answer %d", turns), PromptTokens: 5}
	}
	m.step(t, finished)
}

func (m *simulation) answerFree(t *rapid.T, ok bool) {
	if len(m.freeing) == 0 {
		t.Skip("no memory is being freed")
	}
	program := m.freeing[0]
	m.freeing = m.freeing[1:]
	if ok {
		delete(m.sessions, program)
	}
	m.step(t, gatekeeper.MemoryFreed{Program: program, OK: ok})
}

func (m *simulation) listSessions(t *rapid.T) {
	list := gatekeeper.SessionList{RequestedAt: m.now}
	for _, program := range []spool.ProgramID{"0", "1", "2"} {
		if m.sessions[program] {
			list.Programs = append(list.Programs, program)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.exports)) {
		list.Exports = append(list.Exports, spool.Export{ID: id, Program: m.exports[id], Tokens: 5})
	}
	list.ExportsKnown = true
	m.step(t, list)
}

// answerTransfer handles the oldest ExportPrefix or FreeExport command. works is
// true if the engine executes it, and answered is true if the agent learns the
// result.
func (m *simulation) answerTransfer(t *rapid.T, works, answered bool) {
	if len(m.transfers) == 0 {
		t.Skip("no export or free is in progress")
	}
	command := m.transfers[0]
	m.transfers = m.transfers[1:]
	switch c := command.(type) {
	case gatekeeper.ExportPrefix:
		works = works && m.sessions[c.Program]
		if works {
			m.exports[c.ID] = c.Program
			delete(m.sessions, c.Program)
		}
		m.step(t, gatekeeper.Exported{ID: c.ID, OK: works && answered, NotRun: !works && answered, Tokens: 5})
	case gatekeeper.FreeExport:
		if works {
			delete(m.exports, c.ID)
		}
		m.step(t, gatekeeper.ExportFreed{ID: c.ID, OK: works && answered})
	}
}

func (m *simulation) operations() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"send": m.send, "deliver": m.deliver, "deliver again": m.deliver, "fate": m.queryOutcome, "list sessions": m.listSessions,
		"finish":   func(t *rapid.T) { m.finish(t, m.pickRunning(t)) },
		"cancel":   func(t *rapid.T) { m.step(t, gatekeeper.Cancel{Ticket: m.pickRunning(t)}) },
		"crash":    func(t *rapid.T) { m.step(t, gatekeeper.Cancel{Ticket: m.ticket}) },
		"takeover": func(*rapid.T) { m.epoch++ },
		"wait": func(t *rapid.T) {
			m.now += clock.Millis(rapid.SampledFrom([]int{1, 50, 400, 1500}).Draw(t, "ms"))
			m.step(t, gatekeeper.Tick{})
		},
		"window": func(t *rapid.T) { m.gate.size = rapid.IntRange(1, 3).Draw(t, "window") },
		"free":   func(t *rapid.T) { m.answerFree(t, rapid.Bool().Draw(t, "ok")) },
		"transfer": func(t *rapid.T) {
			m.answerTransfer(t, rapid.Bool().Draw(t, "works"), rapid.Bool().Draw(t, "answered"))
		},
		"transfer in full": func(t *rapid.T) { m.answerTransfer(t, true, true) },
		"drain":            func(t *rapid.T) { m.step(t, gatekeeper.Drain{On: rapid.IntRange(0, 3).Draw(t, "on") == 0}) },
		"renew": func(t *rapid.T) {
			m.step(t, gatekeeper.RenewLeases{Programs: []spool.ProgramID{"0", "1"}, Ended: []spool.ProgramID{"2"}, LeaseDuration: 1000})
		},
		"restart engine": func(t *rapid.T) {
			m.sessions = map[spool.ProgramID]bool{}
			m.load.Generation++
			m.step(t, gatekeeper.LoadReport{Load: m.load})
		},
		"restart agent": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "really") > 0 {
				t.Skip("rarely")
			}
			m.startAgent()
			m.marks = append(m.marks, m.kernel.Status().Mark)
		},
	}
}

// finishAll ends all runs, lets all leases expire and executes all commands to the
// engine. It checks that every request to this incarnation of the agent was
// answered once and that the engine then has neither memory nor exports.
func (m *simulation) finishAll(t *rapid.T) {
	m.gate.size = 3
	for round := 0; round < 200 && (len(m.running) > 0 || !m.kernel.Idle()); round++ {
		for ticket := range m.running {
			m.finish(t, ticket)
			break
		}
	}
	for range 20 {
		m.now += 1000
		m.step(t, gatekeeper.Tick{})
		m.listSessions(t)
		for len(m.freeing) > 0 {
			m.answerFree(t, true)
		}
		for len(m.transfers) > 0 {
			m.answerTransfer(t, true, true)
		}
	}
	for _, r := range m.delivered {
		if r.replies != 1 {
			t.Fatalf("request %v has %d answers", r.key, r.replies)
		}
	}
	if len(m.sessions) > 0 || len(m.exports) > 0 || len(m.kernel.Held()) > 0 {
		t.Fatalf("engine still holds sessions %v and exports %v; the kernel knows of %v", m.sessions, m.exports, m.kernel.Held())
	}
}

// TestKernel guards against a second run of a non-idempotent call, wrong answers to
// outcome queries, refusals that wrongly claim that a call has not run, prompts
// mixed from several histories, more running calls than the window allows, and
// leaked engine memory.
func TestKernel(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "3000", "rapid.steps": "80"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		m := &simulation{gate: &fakeGate{size: 2}, epoch: 1, now: 1000, sessions: map[spool.ProgramID]bool{}, exports: map[string]spool.ProgramID{}}
		m.useFairQueue = rapid.Bool().Draw(t, "fair")
		m.startAgent()
		m.marks = append(m.marks, m.kernel.Status().Mark)
		t.Repeat(m.operations())
		m.finishAll(t)
	})
}
