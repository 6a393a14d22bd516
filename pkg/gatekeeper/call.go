package gatekeeper

import (
	"container/heap"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Latencies below these, in milliseconds, are reported as equal to them: the
// clock counts whole milliseconds, and a gate would take 1 ms after 0.2 ms for a
// latency jump.
const (
	minServiceLatency = 10.0
	minTokenLatency   = 2.0
)

// bytesPerToken converts the size of a prompt to an estimate of its tokens.
const bytesPerToken = 4

// call is an admitted call.
type call struct {
	Call
	ticket Ticket
	view   spool.CallView
	// prompt is the whole prompt; nil for a service call.
	prompt []spool.Message
	// digests holds the digest after each message of prompt.
	digests  []string
	deadline clock.Millis
	// started is set when the call runs and its window slot is taken.
	started   bool
	startedAt clock.Millis
	// record is the agent's memory of the action.
	record *record
	// answered is set once the Reply has been given.
	answered bool
	// held is what the engine was believed to hold of the program at the start.
	held int
	// imports is the export that the run brings back; nil for none.
	imports *export
	// restUntilStart is how long the program had been idle at the start.
	restUntilStart clock.Millis
}

func (k *Kernel) arrive(m Arrive) {
	k.last = max(k.last, m.Ticket)
	c := &call{Call: m.Call, ticket: m.Ticket}
	if !k.raise(c.Stream, c.Epoch) {
		k.refuse(c.ticket, fenced("epoch %d of %s is below %d", c.Epoch, c.Stream, k.epochs[c.Stream]))
		return
	}
	if c.Mark.Boot != "" && c.Mark.Boot != k.boot {
		k.refuse(c.ticket, fenced("call was meant for an earlier start of the agent"))
		return
	}
	if k.repeated(c) {
		return
	}
	if refusal := k.admission(c); refusal != nil {
		k.refuse(c.ticket, refusal)
		return
	}
	k.admit(c)
}

// admission returns why the call cannot be admitted, or nil. It resolves the
// prompt.
func (k *Kernel) admission(c *call) *spool.Refusal {
	if k.draining || k.leaving {
		return spool.Refuse(spool.CodeDraining, "endpoint is draining")
	}
	if !c.Service && !k.resolve(c) {
		return spool.Refuse(spool.CodeNeedHistory, "history of %d messages is not cached", c.BaseCount)
	}
	if !c.Idempotent && k.records.full(k.config.MaxOutcomes) {
		return spool.Refuse(spool.CodeOverloaded, "too many outcomes are kept").
			WithRetryAfter(max(k.records.nextExpiry()-k.now, 1))
	}
	if len(k.waiting) >= k.config.MaxQueued {
		return spool.Refuse(spool.CodeOverloaded, "queue is full").WithRetryAfter(k.drainTime(1))
	}
	view := spool.CallView{Alarm: c.Alarm, Attained: c.attained()}
	bound := k.config.MaxWait
	if view.Start() {
		bound = k.config.StartMaxWait
	}
	if c.DeadlineIn > 0 {
		bound = min(bound, c.DeadlineIn)
	}
	if wait := k.expectedWait(view); wait > bound {
		return spool.Refuse(spool.CodeOverloaded, "expected wait of %s is above %s", wait, bound).
			WithRetryAfter(max(wait-bound, k.drainTime(1)))
	}
	return nil
}

// attained is the service that the queue order counts. A call to a plain service
// begins no program.
func (c *call) attained() int {
	if c.Service {
		return max(c.Attained, 1)
	}
	return c.Attained
}

// expectedWait estimates the wait of a call that arrives now.
func (k *Kernel) expectedWait(call spool.CallView) clock.Millis {
	return k.backlog.Wait(k.now, call, k.queue.Ahead(call), k.running, k.gate.Window(k.now))
}

// drainTime is the time in which the endpoint ends that many calls.
func (k *Kernel) drainTime(calls int) clock.Millis {
	return k.backlog.DrainTime(calls, k.gate.Window(k.now))
}

func (k *Kernel) admit(c *call) {
	c.view = spool.CallView{
		Correlation: k.identifier(c.ticket),
		Program:     c.Key.Program,
		Root:        c.Key.Program.Root(),
		Account:     c.Key.Account,
		Weight:      c.Weight,
		Alarm:       c.Alarm,
		Attained:    c.attained(),
		MaxTokens:   c.MaxTokens,
		ArrivedAt:   k.now,
	}
	if c.Weight <= 0 {
		c.view.Weight = 1
	}
	for _, message := range c.prompt {
		c.view.PromptTokens += len(message.Content) / bytesPerToken
	}
	if c.DeadlineIn > 0 {
		c.deadline = k.now + c.DeadlineIn
		c.view.Deadline = c.deadline
		heap.Push(&k.deadlines, c)
	}
	k.calls[c.ticket] = c
	k.waiting[c.view.Correlation] = c
	k.backlog.Pushed(k.now, c.view)
	k.records.live(c)
	if !c.Service {
		k.occupy(c)
	}
	k.queue.Push(k.now, c.view)
}

// schedule starts waiting calls while the gate has room.
func (k *Kernel) schedule() {
	for len(k.waiting) > 0 && k.running < k.gate.Window(k.now) {
		view, ok := k.queue.Pop(k.now)
		if !ok {
			return
		}
		if c := k.waiting[view.Correlation]; c != nil {
			k.start(c)
		}
	}
}

func (k *Kernel) start(c *call) {
	k.unlist(c, true)
	switch {
	case k.running+1 > k.gate.Window(k.now):
		k.emit(Violation{Invariant: "windowExceeded"})
	case c.Epoch < k.epochs[c.Stream]:
		k.emit(Violation{Invariant: "lowerEpochStarted"})
	case !c.Idempotent && !k.records.mayStart(c):
		k.emit(Violation{Invariant: "secondRun"})
	default:
		k.run(c)
		return
	}
	k.drop(c, spool.Refuse(spool.CodeInternal, "an internal check stopped the call"))
}

func (k *Kernel) run(c *call) {
	c.started = true
	c.startedAt = k.now
	c.record.runs++
	k.running++
	if !c.Service {
		k.engage(c)
	}
	k.observe(spool.GateEvent{Kind: spool.GateStarted})
	start := Start{Ticket: c.ticket, Correlation: c.view.Correlation, Messages: c.prompt}
	if c.imports != nil {
		start.Import = c.imports.id
	}
	k.emit(start)
}

// cancel answers a call whose caller no longer waits for it. A waiting call is
// dropped. A running one is stopped, unless it is non-idempotent: its outcome
// is still wanted for the record.
func (k *Kernel) cancel(ticket Ticket, code spool.Code, reason string) {
	c := k.calls[ticket]
	if c == nil {
		return
	}
	if !c.started {
		k.dequeue(c, spool.Refuse(code, "%s", reason))
		return
	}
	if c.answered {
		return
	}
	c.answered = true
	k.refuse(ticket, spool.Refuse(code, "%s", reason).WithNotRun(spool.NotRunUnknown))
	if c.Idempotent {
		k.emit(Stop{Ticket: ticket})
	}
}

// dequeue refuses a waiting call.
func (k *Kernel) dequeue(c *call, refusal *spool.Refusal) {
	k.queue.Remove(c.view.Correlation)
	k.unlist(c, false)
	k.drop(c, refusal)
}

// unlist takes a call out of the list of waiting ones.
func (k *Kernel) unlist(c *call, served bool) {
	delete(k.waiting, c.view.Correlation)
	k.backlog.Popped(k.now, c.view, served)
}

// drop forgets a call that has not started.
func (k *Kernel) drop(c *call, refusal *spool.Refusal) {
	delete(k.calls, c.ticket)
	k.records.clear(c, k.now+k.config.OutcomeFor)
	if !c.Service {
		k.vacate(c)
	}
	k.refuse(c.ticket, refusal)
}

func (k *Kernel) finish(m Finished) {
	c := k.calls[m.Ticket]
	if c == nil || !c.started {
		k.emit(Violation{Invariant: "finishedWithoutStart"})
		return
	}
	delete(k.calls, m.Ticket)
	k.running--
	tokens := k.measure(c, m)
	k.queue.Served(k.now, c.view, tokens)
	if !c.Service {
		k.settle(c, m)
	}
	var refusal *spool.Refusal
	switch m.Ending {
	case EndDone:
		k.records.done(c, m.Outcome, k.now+k.config.OutcomeFor)
	case EndNotSent, EndInvalid:
		c.record.runs--
		k.records.clear(c, k.now+k.config.OutcomeFor)
		refusal = spool.Refuse(codeOf(m.Ending), "%s", m.Reason)
	default:
		k.records.lost(c, k.now+k.config.OutcomeFor)
		refusal = spool.Refuse(spool.CodeEndpointFailed, "%s", m.Reason).WithNotRun(spool.NotRunUnknown)
	}
	if !c.answered {
		k.emit(Reply{Ticket: m.Ticket, Refusal: refusal, Outcome: m.Outcome})
	}
}

// codeOf returns the refusal code of a run that provably did not happen.
func codeOf(ending Ending) spool.Code {
	if ending == EndInvalid {
		return spool.CodeBadRequest
	}
	return spool.CodeEndpointFailed
}

// measure feeds the ending to the gate and to the average service time and
// returns the cost of the call in tokens. A service call costs one token.
func (k *Kernel) measure(c *call, m Finished) int {
	took := float64(k.now - c.startedAt)
	switch m.Ending {
	case EndNotSent, EndFailed:
		k.observe(spool.GateEvent{Kind: spool.GateFailed})
		return max(m.Chunks, 1)
	case EndStopped, EndInvalid:
		// A caller's fault says nothing about the engine.
		k.observe(spool.GateEvent{Kind: spool.GateEnded})
		return max(m.Chunks, 1)
	}
	k.backlog.Ended(took)
	result := m.Outcome.Engine
	if result == nil {
		k.observe(spool.GateEvent{Kind: spool.GateCompleted, Latency: max(took, minServiceLatency)})
		return 1
	}
	k.observe(spool.GateEvent{Kind: spool.GateCompleted, Latency: k.tokenLatency(m)})
	return max(result.PromptTokens-result.CachedTokens, 0) + max(result.GeneratedTokens, 1)
}

// tokenLatency is the time per token after the first one. The time until the
// first token depends on the length of the prompt and says little about the
// engine's health. An answer of one piece counts with the average.
func (k *Kernel) tokenLatency(m Finished) float64 {
	if m.Chunks < 2 {
		return max(k.perToken, minTokenLatency)
	}
	latency := max(float64(m.Streamed)/float64(m.Chunks-1), minTokenLatency)
	if k.perToken == 0 {
		k.perToken = latency
	}
	k.perToken += tokenTimeWeight * (latency - k.perToken)
	return latency
}

func (k *Kernel) observe(event spool.GateEvent) { k.gate.Observe(k.now, event) }

// waitingTickets lists the waiting calls in the order of their arrival.
func (k *Kernel) waitingTickets() []Ticket {
	tickets := make([]Ticket, 0, len(k.waiting))
	for _, c := range k.waiting {
		tickets = append(tickets, c.ticket)
	}
	slices.Sort(tickets)
	return tickets
}
