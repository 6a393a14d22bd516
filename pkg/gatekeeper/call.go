package gatekeeper

import (
	"container/heap"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Lower bounds, in milliseconds, of the latencies that the kernel reports to the
// gate. The clock counts whole milliseconds, so without the bounds a rise from 0.2
// ms to 1 ms could appear to the gate as a latency jump.
const (
	minServiceLatencyMs = 10.0
	minTokenLatencyMs   = 2.0
)

// bytesPerToken is the assumed size of a token, from which the kernel estimates the
// number of tokens of a prompt.
const bytesPerToken = 4

// call is one dispatch that the kernel has received, with its state until the
// dispatch is refused or its run ends.
type call struct {
	Call
	ticket Ticket
	// view describes the call to the queue; set on admission.
	view spool.CallView
	// prompt is the whole prompt: the cached history and the messages of the call;
	// nil for a service call.
	prompt []spool.Message
	// digests holds the digest after each message of prompt.
	digests []string
	// deadline is the time at which the call is cancelled; 0 for none.
	deadline clock.Millis
	// started is true once the run has begun. The run occupies a slot of the window
	// until its Finished message arrives.
	started   bool
	startedAt clock.Millis
	// record is the at-most-once record of the call.
	record *record
	// answered is true if the call was cancelled during its run. The caller has
	// then been answered, and the result of the run is not sent.
	answered bool
	// cachedTokensAtStart is the length, in tokens, of the program's prefix that
	// the engine was believed to have in its cache when the run started; 0 if the
	// program had an export.
	cachedTokensAtStart int
	// importedExport is the export that the run imports; nil for none. It is freed
	// when the run ends.
	importedExport *export
	// idleBeforeStart is the time from the last use of the program before this call
	// arrived to the start of the run (see program.lastUsedAt).
	idleBeforeStart clock.Millis
}

// handleCallArrived checks the epoch, the incarnation and the at-most-once record
// of a dispatch. It then admits the dispatch or refuses it.
func (k *Kernel) handleCallArrived(m CallArrived) {
	k.lastTicket = max(k.lastTicket, m.Ticket)
	c := &call{Call: m.Call, ticket: m.Ticket}
	if !k.raiseEpoch(c.Stream, c.Epoch) {
		k.refuse(c.ticket, fencedRefusal("epoch %d of %s is below %d", c.Epoch, c.Stream, k.highestEpochs[c.Stream]))
		return
	}
	if c.Mark.Boot != "" && c.Mark.Boot != k.incarnation {
		k.refuse(c.ticket, fencedRefusal("call was meant for an earlier start of the agent"))
		return
	}
	if k.handleRepeat(c) {
		return
	}
	if refusal := k.checkAdmission(c); refusal != nil {
		k.refuse(c.ticket, refusal)
		return
	}
	k.admit(c)
}

// checkAdmission returns the refusal of a call that cannot be admitted, or nil. For
// a model call it also sets the prompt and its digests.
func (k *Kernel) checkAdmission(c *call) *spool.Refusal {
	if k.draining || k.shuttingDown {
		return spool.Refuse(spool.CodeDraining, "endpoint is draining")
	}
	if !c.Service && !k.resolvePrompt(c) {
		return spool.Refuse(spool.CodeNeedHistory, "history of %d messages is not cached", c.BaseCount)
	}
	if !c.Idempotent && k.records.full(k.config.MaxOutcomes) {
		return spool.Refuse(spool.CodeOverloaded, "too many outcomes are kept").
			WithRetryAfter(max(k.records.nextRetainedExpiry()-k.now, 1))
	}
	if len(k.waiting) >= k.config.MaxQueued {
		return spool.Refuse(spool.CodeOverloaded, "queue is full").WithRetryAfter(k.drainTime(1))
	}
	view := spool.CallView{Alarm: c.Alarm, Attained: c.attainedService()}
	bound := k.config.MaxWait
	if view.IsFirst() {
		bound = k.config.MaxFirstCallWait
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

// attainedService returns the attained service that the queue order uses. It is at
// least 1 for a call to a plain service, which must not count as the first call of
// a program.
func (c *call) attainedService() int {
	if c.Service {
		return max(c.Attained, 1)
	}
	return c.Attained
}

// expectedWait estimates how long a call that arrives now would wait before it
// starts.
func (k *Kernel) expectedWait(call spool.CallView) clock.Millis {
	return k.waitEstimator.Wait(k.now, call, k.queue.Ahead(call), k.running, k.gate.Window(k.now))
}

// drainTime estimates the time that the endpoint needs to complete the given number
// of calls with the present window.
func (k *Kernel) drainTime(calls int) clock.Millis {
	return k.waitEstimator.DrainTime(calls, k.gate.Window(k.now))
}

// admit adds a call to the queue, to the at-most-once records and, for a model
// call, to the active calls of its program.
func (k *Kernel) admit(c *call) {
	c.view = spool.CallView{
		Correlation: k.correlationID(c.ticket),
		Program:     c.Key.Program,
		Root:        c.Key.Program.Root(),
		Account:     c.Key.Account,
		Weight:      c.Weight,
		Alarm:       c.Alarm,
		Attained:    c.attainedService(),
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
	k.waitEstimator.Pushed(k.now, c.view)
	k.records.markActive(c)
	if !c.Service {
		k.attachCall(c)
	}
	k.queue.Push(k.now, c.view)
}

// schedule starts waiting calls while the window has free slots.
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

// start takes a call that was popped from the queue and starts its run. It emits a
// Violation and refuses the call instead if the run would exceed the window, belong
// to an epoch that is no longer the highest, or repeat a run of a non-idempotent
// call. Only a bug in the kernel can cause this, because earlier checks exclude all
// three cases.
func (k *Kernel) start(c *call) {
	k.removeWaiting(c, true)
	switch {
	case k.running+1 > k.gate.Window(k.now):
		k.emit(Violation{Invariant: "windowExceeded"})
	case c.Epoch < k.highestEpochs[c.Stream]:
		k.emit(Violation{Invariant: "lowerEpochStarted"})
	case !c.Idempotent && !k.records.isFirstRun(c):
		k.emit(Violation{Invariant: "secondRun"})
	default:
		k.startRun(c)
		return
	}
	k.refuseUnstarted(c, spool.Refuse(spool.CodeInternal, "an internal check stopped the call"))
}

func (k *Kernel) startRun(c *call) {
	c.started = true
	c.startedAt = k.now
	c.record.runs++
	k.running++
	if !c.Service {
		k.prepareRun(c)
	}
	k.observeGate(spool.GateEvent{Kind: spool.GateStarted})
	start := Start{Ticket: c.ticket, Correlation: c.view.Correlation, Messages: c.prompt}
	if c.importedExport != nil {
		start.Import = c.importedExport.id
	}
	k.emit(start)
}

// cancel refuses a call with the given code because its deadline has passed, its
// caller has disconnected or a later dispatch replaces it. A waiting call leaves
// the queue. A running idempotent call is stopped. A running non-idempotent call
// runs to its end, because its outcome must be recorded. cancel does nothing if the
// call has ended or was already cancelled.
func (k *Kernel) cancel(ticket Ticket, code spool.Code, reason string) {
	c := k.calls[ticket]
	if c == nil {
		return
	}
	if !c.started {
		k.refuseWaiting(c, spool.Refuse(code, "%s", reason))
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

// refuseWaiting removes a waiting call from the queue and refuses it.
func (k *Kernel) refuseWaiting(c *call, refusal *spool.Refusal) {
	k.queue.Remove(c.view.Correlation)
	k.removeWaiting(c, false)
	k.refuseUnstarted(c, refusal)
}

// removeWaiting removes a call from the set of waiting calls and from the wait
// estimate, but not from the queue. served is true if the call is about to start.
func (k *Kernel) removeWaiting(c *call, served bool) {
	delete(k.waiting, c.view.Correlation)
	k.waitEstimator.Popped(k.now, c.view, served)
}

// refuseUnstarted refuses a call that has not started, records that it has not run,
// and detaches it from its program.
func (k *Kernel) refuseUnstarted(c *call, refusal *spool.Refusal) {
	delete(k.calls, c.ticket)
	k.records.markNotRun(c, k.now+k.config.OutcomeRetention)
	if !c.Service {
		k.detachCall(c)
	}
	k.refuse(c.ticket, refusal)
}

// handleFinished ends a run: it frees the slot of the window, reports the cost and
// the result, updates the at-most-once record, and answers the caller unless a
// cancel already has.
func (k *Kernel) handleFinished(m Finished) {
	c := k.calls[m.Ticket]
	if c == nil || !c.started {
		k.emit(Violation{Invariant: "finishedWithoutStart"})
		return
	}
	delete(k.calls, m.Ticket)
	k.running--
	tokens := k.reportEnd(c, m)
	k.queue.Served(k.now, c.view, tokens)
	if !c.Service {
		k.applyResult(c, m)
	}
	var refusal *spool.Refusal
	switch m.Ending {
	case EndDone:
		k.records.markDone(c, m.Outcome, k.now+k.config.OutcomeRetention)
	case EndNotSent, EndInvalid:
		c.record.runs--
		k.records.markNotRun(c, k.now+k.config.OutcomeRetention)
		refusal = spool.Refuse(notRunCode(m.Ending), "%s", m.Reason)
	default:
		k.records.markUnknown(c, k.now+k.config.OutcomeRetention)
		refusal = spool.Refuse(spool.CodeEndpointFailed, "%s", m.Reason).WithNotRun(spool.NotRunUnknown)
	}
	if !c.answered {
		k.emit(Reply{Ticket: m.Ticket, Refusal: refusal, Outcome: m.Outcome})
	}
}

// notRunCode returns the refusal code for a run that provably did not execute.
func notRunCode(ending Ending) spool.Code {
	if ending == EndInvalid {
		return spool.CodeBadRequest
	}
	return spool.CodeEndpointFailed
}

// reportEnd reports the end of a run to the gate and returns the cost of the call
// in tokens. A completed run also updates the mean service time. A completed
// service call costs one token; a run that was not completed costs one token per
// chunk received, at least one.
func (k *Kernel) reportEnd(c *call, m Finished) int {
	elapsed := float64(k.now - c.startedAt)
	switch m.Ending {
	case EndNotSent, EndFailed:
		k.observeGate(spool.GateEvent{Kind: spool.GateFailed})
		return max(m.Chunks, 1)
	case EndStopped, EndInvalid:
		// A cancelled or invalid call gives no evidence about the engine.
		k.observeGate(spool.GateEvent{Kind: spool.GateEnded})
		return max(m.Chunks, 1)
	}
	k.waitEstimator.Ended(elapsed)
	result := m.Outcome.Engine
	if result == nil {
		k.observeGate(spool.GateEvent{Kind: spool.GateCompleted, Latency: max(elapsed, minServiceLatencyMs)})
		return 1
	}
	k.observeGate(spool.GateEvent{Kind: spool.GateCompleted, Latency: k.observedTokenLatency(m)})
	return max(result.PromptTokens-result.CachedTokens, 0) + max(result.GeneratedTokens, 1)
}

// observedTokenLatency returns the mean time between two chunks of an answer in
// milliseconds, at least minTokenLatencyMs, and updates meanTokenTime with it. The
// time to the first chunk is left out because it depends on the length of the
// prompt and says little about the health of the engine. For an answer of fewer
// than two chunks, it returns the present meanTokenTime, at least
// minTokenLatencyMs.
func (k *Kernel) observedTokenLatency(m Finished) float64 {
	if m.Chunks < 2 {
		return max(k.meanTokenTime, minTokenLatencyMs)
	}
	latency := max(float64(m.Streamed)/float64(m.Chunks-1), minTokenLatencyMs)
	if k.meanTokenTime == 0 {
		k.meanTokenTime = latency
	}
	k.meanTokenTime += tokenTimeSampleWeight * (latency - k.meanTokenTime)
	return latency
}

func (k *Kernel) observeGate(event spool.GateEvent) { k.gate.Observe(k.now, event) }

// waitingTickets returns the tickets of the waiting calls in order of arrival.
func (k *Kernel) waitingTickets() []Ticket {
	tickets := make([]Ticket, 0, len(k.waiting))
	for _, c := range k.waiting {
		tickets = append(tickets, c.ticket)
	}
	slices.Sort(tickets)
	return tickets
}
