package program_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/fixedseed"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestMain(m *testing.M) { fixedseed.Main(m, nil) }

func TestProgram(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "program")
}

func codeOf(err error) spool.Code {
	refusal := &spool.Refusal{}
	if errors.As(err, &refusal) {
		return refusal.Code
	}
	return ""
}

func userMessage(text string) []spool.Message { return []spool.Message{{Role: "user", Content: text}} }

func modelCall(id spool.ProgramID, call, text string) program.CallRequest {
	return program.CallRequest{
		Program: id, Account: "fog", Call: spool.CallID(call), Body: text, Kind: program.CallModel,
		Idempotent: true, Messages: userMessage(text), MaxTokens: 10,
	}
}

func serviceCall(id spool.ProgramID, call string) program.CallRequest {
	return program.CallRequest{Program: id, Account: "fog", Call: spool.CallID(call), Body: call, Kind: program.CallService}
}

// owner drives a program.State like the entry that owns the stream. It applies every
// record at once, as if the append had succeeded immediately.
type owner struct {
	*program.State
	log []spool.Record
}

func newOwner() *owner { return &owner{State: program.NewState(program.Limits{})} }

func (o *owner) commit(records ...spool.Record) {
	o.log = append(o.log, records...)
	gomega.Expect(o.Apply(records).Invalid).To(gomega.BeEmpty())
}

func (o *owner) start(id spool.ProgramID, budget program.Budget) spool.ProgramID {
	record, err := o.StartRecord(id, program.Started{Account: "fog", Budget: budget, IdleTimeout: 100})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	o.commit(record)
	return id
}

func (o *owner) finish(ticket uint64, text string, tokens int) []program.Grant {
	record, _ := o.TurnRecord(1, ticket, program.TurnResult{Text: text, PromptTokens: tokens, GeneratedTokens: 1, Endpoint: "e"})
	o.commit(record)
	return o.Release(1, ticket)
}

func (o *owner) run(id spool.ProgramID, call, text string) program.Decision {
	decision, err := o.Admit(0, modelCall(id, call, text))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return decision
}

var _ = ginkgo.Describe("State", func() {
	var o *owner

	ginkgo.BeforeEach(func() { o = newOwner() })

	ginkgo.It("runs the calls of a program one at a time, in order", func() {
		id := o.start("p", program.Budget{})
		one, two, three := o.run(id, "1", "a"), o.run(id, "2", "b"), o.run(id, "3", "c")
		gomega.Expect(one.Verdict).To(gomega.Equal(program.VerdictRun))
		gomega.Expect(two.Verdict).To(gomega.Equal(program.VerdictWait))
		gomega.Expect(three.Verdict).To(gomega.Equal(program.VerdictWait))
		grants := o.finish(one.Ticket.ID, "A", 2)
		gomega.Expect(grants).To(gomega.HaveLen(1))
		gomega.Expect(grants[0].Ticket.Call).To(gomega.Equal(spool.CallID("2")))
		gomega.Expect(grants[0].Ticket.BaseCount).To(gomega.Equal(2))
	})

	ginkgo.It("joins a call under way, replays a finished one and refuses another body", func() {
		id := o.start("p", program.Budget{})
		one := o.run(id, "1", "a")
		gomega.Expect(o.run(id, "1", "a").Verdict).To(gomega.Equal(program.VerdictJoin))
		_, err := o.Admit(0, modelCall(id, "1", "other"))
		gomega.Expect(codeOf(err)).To(gomega.Equal(spool.CodeConflict))
		o.finish(one.Ticket.ID, "A", 2)
		replay := o.run(id, "1", "a")
		gomega.Expect(replay.Verdict).To(gomega.Equal(program.VerdictReplay))
		gomega.Expect(replay.Answer.Text).To(gomega.Equal("A"))
		_, err = o.Admit(0, modelCall(id, "1", "other"))
		gomega.Expect(codeOf(err)).To(gomega.Equal(spool.CodeConflict))
	})

	// Guards against an account that finds out which programs of other accounts exist.
	ginkgo.It("hides a program from other accounts", func() {
		id := o.start("p", program.Budget{})
		request := modelCall(id, "1", "a")
		request.Account = "other"
		_, foreign := o.Admit(0, request)
		request.Program = "q"
		_, missing := o.Admit(0, request)
		gomega.Expect(foreign).To(gomega.Equal(missing))
		gomega.Expect(codeOf(foreign)).To(gomega.Equal(spool.CodeNotFound))
	})

	ginkgo.It("does not let concurrent sub-agents overspend", func() {
		// Guards against sub-agents that share a budget but check it independently. Each
		// call reserves 31 tokens: 1 byte of content, 4 bytes of role, 16 per message and
		// 10 for the answer. The budget suffices for two calls.
		id := o.start("p", program.Budget{Tokens: 70, Agents: 4, Depth: 2})
		var children []spool.ProgramID
		for i := range 3 {
			spawned, err := o.Spawn(0, program.SpawnRequest{Parent: id, Account: "fog", Call: spool.CallID(fmt.Sprint("s", i))})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			o.commit(spawned.Record)
			o.Release(0, spawned.Ticket)
			children = append(children, spawned.Child)
		}
		admitted := 0
		for _, child := range children {
			if _, err := o.Admit(0, modelCall(child, "1", "a")); err == nil {
				admitted++
			} else {
				gomega.Expect(codeOf(err)).To(gomega.Equal(spool.CodeBudgetExhausted))
			}
		}
		gomega.Expect(admitted).To(gomega.Equal(2))
		view, err := o.Show("fog", id)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(view.Reserved.Tokens).To(gomega.Equal(62))
	})

	// Guards against concurrent spawns that together exceed the bound, because their start
	// records have not been applied yet.
	ginkgo.It("bounds the number and the depth of sub-agents, with spawns under way", func() {
		id := o.start("p", program.Budget{Agents: 1, Depth: 1})
		first, err := o.Spawn(0, program.SpawnRequest{Parent: id, Account: "fog", Call: "s1"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = o.Spawn(0, program.SpawnRequest{Parent: id, Account: "fog", Call: "s2"})
		gomega.Expect(codeOf(err)).To(gomega.Equal(spool.CodeBudgetExhausted))
		o.commit(first.Record)
		o.Release(0, first.Ticket)
		_, err = o.Spawn(0, program.SpawnRequest{Parent: first.Child, Account: "fog", Call: "s"})
		gomega.Expect(codeOf(err)).To(gomega.Equal(spool.CodeBudgetExhausted))
		repeat, err := o.Spawn(0, program.SpawnRequest{Parent: id, Account: "fog", Call: "s1"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(repeat).To(gomega.Equal(program.Spawned{Child: first.Child}))
	})

	ginkgo.It("stops an endless loop of calls, failed ones included, by its budget", func() {
		id := o.start("p", program.Budget{Calls: 5})
		calls := 0
		for ; calls < 100; calls++ {
			decision, err := o.Admit(0, modelCall(id, fmt.Sprint(calls), "a"))
			if err != nil {
				gomega.Expect(codeOf(err)).To(gomega.Equal(spool.CodeBudgetExhausted))
				break
			}
			o.commit(o.SpentRecord(0, decision.Ticket.ID, 0))
			o.Release(0, decision.Ticket.ID)
		}
		gomega.Expect(calls).To(gomega.Equal(5))
		o.start("q", program.Budget{Wall: 50})
		_, err := o.Admit(60, modelCall("q", "1", "a"))
		gomega.Expect(codeOf(err)).To(gomega.Equal(spool.CodeBudgetExhausted))
	})

	// Guards against a new owner that repeats a non-idempotent call which the earlier
	// owner may have dispatched.
	ginkgo.It("never runs a call of unknown fate again", func() {
		id := o.start("p", program.Budget{})
		decision, err := o.Admit(0, serviceCall(id, "b"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		o.commit(o.IntentRecord(0, decision.Ticket.ID, "harvest-app", "e", 3, spool.AgentMark{Boot: "x"}))
		next := newOwner()
		next.commit(o.log...)
		_, err = next.Admit(0, serviceCall(id, "b"))
		gomega.Expect(codeOf(err)).To(gomega.Equal(spool.CodeOutcomePending))
		behind := next.run(id, "1", "a")
		gomega.Expect(behind.Verdict).To(gomega.Equal(program.VerdictWait), "later calls wait for the outcome")
		calls := next.Unresolved()
		gomega.Expect(calls).To(gomega.HaveLen(1))
		gomega.Expect(calls[0].Mark.Boot).To(gomega.Equal("x"))
		record, open := next.ResolveRecord(0, calls[0], program.OutcomeResult{Outcome: program.OutcomeUnknown})
		gomega.Expect(open).To(gomega.BeTrue())
		next.commit(record)
		gomega.Expect(next.StartWaitingCalls(0, id)).To(gomega.HaveLen(1))
		_, err = next.Admit(0, serviceCall(id, "b"))
		gomega.Expect(codeOf(err)).To(gomega.Equal(spool.CodeOutcomeUnknown))
	})

	ginkgo.It("starts nothing behind an intent that arrives after its owner gave it up", func() {
		// Guards against starting a second attempt of a call while an agent is asked about
		// the first attempt. The agent's answer "not run" would then be recorded for the
		// second attempt, although that attempt runs.
		id := o.start("p", program.Budget{})
		first, _ := o.Admit(0, serviceCall(id, "b"))
		late := o.IntentRecord(0, first.Ticket.ID, "harvest-app", "e", 1, spool.AgentMark{})
		o.Release(0, first.Ticket.ID)
		running := o.run(id, "1", "a")
		again, err := o.Admit(0, serviceCall(id, "b"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(again.Verdict).To(gomega.Equal(program.VerdictWait))
		o.commit(late)
		calls := o.Unresolved()
		gomega.Expect(calls).To(gomega.HaveLen(1))
		gomega.Expect(o.finish(running.Ticket.ID, "A", 2)).To(gomega.BeEmpty())
		record, open := o.ResolveRecord(0, calls[0], program.OutcomeResult{Outcome: program.OutcomeNotRun})
		gomega.Expect(open).To(gomega.BeTrue())
		o.commit(record)
		gomega.Expect(o.StartWaitingCalls(0, id)).To(gomega.HaveLen(1))
	})

	// Guards against recording the outcome of an earlier attempt for the running one.
	ginkgo.It("records no outcome of an earlier attempt while a call runs again", func() {
		id := o.start("p", program.Budget{})
		first, _ := o.Admit(0, serviceCall(id, "b"))
		late := o.IntentRecord(0, first.Ticket.ID, "harvest-app", "e", 1, spool.AgentMark{})
		o.Release(0, first.Ticket.ID)
		_, err := o.Admit(0, serviceCall(id, "b"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		o.commit(late)
		_, open := o.ResolveRecord(0, program.Unresolved{Program: id, Call: "b"}, program.OutcomeResult{Outcome: program.OutcomeNotRun})
		gomega.Expect(open).To(gomega.BeFalse())
	})

	ginkgo.It("lets a call that provably did not run run again", func() {
		id := o.start("p", program.Budget{})
		decision, _ := o.Admit(0, serviceCall(id, "b"))
		o.commit(o.IntentRecord(0, decision.Ticket.ID, "harvest-app", "e", 1, spool.AgentMark{}))
		o.commit(o.OutcomeRecord(0, decision.Ticket.ID, program.OutcomeResult{Outcome: program.OutcomeNotRun}))
		o.Release(0, decision.Ticket.ID)
		decision, err := o.Admit(0, serviceCall(id, "b"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(decision.Verdict).To(gomega.Equal(program.VerdictRun))
	})

	ginkgo.It("takes the history as a prefix of a whole prompt and refuses another one", func() {
		id := o.start("p", program.Budget{})
		o.finish(o.run(id, "1", "a").Ticket.ID, "A", 2)
		whole := modelCall(id, "2", "b")
		whole.Messages, whole.FullPrompt = append(append(userMessage("a"), spool.AnswerMessage("A")), userMessage("b")...), true
		decision, err := o.Admit(0, whole)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(decision.Ticket.Messages).To(gomega.Equal(userMessage("b")))
		o.finish(decision.Ticket.ID, "B", 4)
		whole.Call = "3"
		_, err = o.Admit(0, whole)
		gomega.Expect(codeOf(err)).To(gomega.Equal(spool.CodeConflict))
	})

	ginkgo.It("ends abandoned programs and all their sub-agents", func() {
		id := o.start("p", program.Budget{})
		spawned, _ := o.Spawn(10, program.SpawnRequest{Parent: id, Account: "fog", Call: "s"})
		o.commit(spawned.Record)
		o.Release(10, spawned.Ticket)
		running, _ := o.Admit(90, modelCall(spawned.Child, "1", "a"))
		gomega.Expect(o.ExpiryRecords(150)).To(gomega.BeEmpty(), "a sub-agent with a running call prevents the expiry of its parent")
		o.finish(running.Ticket.ID, "A", 2)
		records := o.ExpiryRecords(500)
		gomega.Expect(records).NotTo(gomega.BeEmpty())
		ended := o.Apply(records).Ended
		gomega.Expect(ended).To(gomega.HaveKeyWithValue(spawned.Child, spool.EndpointID("e")))
		gomega.Expect(ended).To(gomega.HaveKey(id))
		replay := o.run(spawned.Child, "1", "a")
		gomega.Expect(replay.Answer.Text).To(gomega.Equal("A"), "the latest answer is kept after the end")
		gomega.Expect(o.Forget(1000)).To(gomega.Equal(1))
	})

	// Guards against a corrupt or forged record that changes the history.
	ginkgo.It("skips records that do not fit and reports them", func() {
		id := o.start("p", program.Budget{})
		turn := func(base int, digest string) spool.Record {
			data, _ := json.Marshal(program.Turn{Call: "x", BaseCount: base, Messages: userMessage("a"), Digest: digest})
			return spool.Record{Kind: program.KindTurn, Program: id, Data: data}
		}
		gap := turn(4, spool.HistoryDigest("", userMessage("a")...))
		forged := turn(0, "00")
		broken := spool.Record{Kind: program.KindTurn, Program: id, Data: []byte("{")}
		orphan := spool.Record{Kind: program.KindSpawned, Program: "p.1", Data: []byte(`{"account":"other","parent":"p"}`)}
		effects := o.Apply([]spool.Record{gap, forged, broken, orphan})
		gomega.Expect(effects.Invalid).To(gomega.HaveLen(4))
		gomega.Expect(errors.Is(effects.Invalid[0], program.ErrInvalidRecord)).To(gomega.BeTrue())
		gomega.Expect(o.History(id)).To(gomega.BeEmpty())
	})
})

// FuzzApply applies arbitrary records. It guards against a record that makes State
// panic, and against a state whose snapshot Apply rejects as invalid.
func FuzzApply(f *testing.F) {
	f.Add("turn", "p", []byte(`{"call":"2","base":2,"messages":[{"role":"user","content":"x"}]}`))
	f.Add("programSnapshot", "q", []byte(`{"programs":[{"id":"q","calls":[{"call":"1","index":-7,"kind":"model"}]}]}`))
	f.Add("programEnded", "p", []byte(`{"reason":"ended"}`))
	f.Add("childSpawned", "p.1", []byte(`{"account":"fog","parent":"p"}`))
	f.Add("outcome", "p", []byte(`{"call":"1","fate":"done"}`))
	f.Fuzz(func(t *testing.T, kind, id string, data []byte) {
		state := program.NewState(program.Limits{})
		record, err := state.StartRecord("p", program.Started{Account: "fog"})
		if err != nil {
			t.Fatal(err)
		}
		state.Apply([]spool.Record{record})
		fuzzed := spool.Record{Kind: spool.RecordKind(kind), Program: spool.ProgramID(id), Data: data}
		state.Apply([]spool.Record{fuzzed, fuzzed})
		// Apply must accept the snapshot of the state that the record has led to.
		snapshot := state.Snapshot()
		again := program.NewState(program.Limits{})
		if effects := again.Apply(snapshot); len(effects.Invalid) > 0 {
			t.Fatalf("snapshot has invalid records: %v", effects.Invalid)
		}
		for _, call := range []spool.CallID{"1", "2"} {
			request := program.CallRequest{Program: "p", Account: "fog", Call: call, Kind: program.CallModel, Messages: userMessage("x")}
			_, _ = again.Admit(0, request)
		}
		end, live, err := again.EndRecord(0, "fog", "p", program.EndByCaller)
		if err == nil && live {
			again.Apply([]spool.Record{end})
		}
	})
}
