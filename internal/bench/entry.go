package bench

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// status is the latest status report of an agent that an entry has received.
type status struct {
	at              clock.Millis
	window          int
	running, queued int
	// perCall is the estimated time of the agent per call, in milliseconds.
	perCall float64
	// starts is the number of queued first calls, firstCallWait the wait that a new
	// first call can expect.
	starts        int
	firstCallWait clock.Millis
}

// entry dispatches the admitted calls of the programs that it owns. It applies the
// router and the retry policy.
type entry struct {
	*system
	id     spool.NodeID
	router spool.Router
	retry  spool.RetryPolicy
	status map[spool.EndpointID]status
	// inFlight holds the unanswered calls at each endpoint and when they were sent.
	inFlight map[spool.EndpointID]map[*call]clock.Millis
}

// dispatch starts the first attempt of an admitted call.
func (e *entry) dispatch(c *call) {
	e.retry.Started(e.now)
	c.entry, c.attempt = e, 0
	c.view.Tried = nil
	e.attemptCall(c)
}

// attemptCall sends a call to the endpoint that the router picks. If the router finds
// no endpoint, the call is refused at once without a retry, as in the real processes.
func (e *entry) attemptCall(c *call) {
	c.attempt++
	c.view.Attained = c.program.root().attained
	id, ok := e.router.Pick(e.now, c.view, e.endpointViews(c))
	if !ok {
		e.endWithError(c, spool.FailureNotSent, 0)
		return
	}
	c.agent = e.agents[id]
	e.sequence++
	c.order = e.sequence
	c.view.Correlation = correlationID(c.order)
	e.inFlight[id][c] = e.now
	e.after(networkDelay, func() { c.agent.submit(c) })
}

// endpointViews describes the listed endpoints to the router. The share of an endpoint
// that was listed again after a drain grows from 0.05 to 1 over returnRamp.
func (e *entry) endpointViews(c *call) []spool.EndpointView {
	list := make([]spool.EndpointView, 0, len(e.agentList))
	for _, a := range e.agentList {
		if !a.listed {
			continue
		}
		s := e.status[a.id]
		view := spool.EndpointView{
			ID: a.id, FailureDomain: spool.FailureDomain(a.domain),
			Window: s.window, Running: s.running, Queued: s.queued, QueuedStarts: s.starts, StartWait: s.firstCallWait, ReportedAt: s.at,
			CachedTokens: c.program.expectedCached[a.id], MillisPerCall: s.perCall,
			PrefillTokensPerMilli: prefillSpeed, Share: 1,
		}
		if a.returnedAt > 0 {
			view.Share = min(1, max(0.05, float64(e.now-a.returnedAt)/float64(returnRamp)))
		}
		for _, at := range e.inFlight[a.id] {
			if at+networkDelay > s.at {
				view.SentSinceReport++
			}
		}
		list = append(list, view)
	}
	return list
}

// callAnswered handles the answer to a call: it records the prefix that the endpoint has
// now cached and passes the answer to the program.
func (e *entry) callAnswered(c *call) {
	delete(e.inFlight[c.agent.id], c)
	p := c.program
	p.expectedCached[c.agent.id] = c.view.PromptTokens + c.turn.generatedTokens
	p.root().attained += c.turn.generatedTokens + c.turn.addedTokens
	e.after(networkDelay, func() { p.continueAfter(c) })
}

// callFailed handles a failed attempt: it asks the retry policy whether to try again,
// and otherwise ends the call with an error.
func (e *entry) callFailed(c *call, failure spool.Failure, retryAfter clock.Millis) {
	if c.agent != nil {
		delete(e.inFlight[c.agent.id], c)
		c.view.Tried = append(c.view.Tried, c.agent.id)
		if failure == spool.FailureEndpoint {
			delete(c.program.expectedCached, c.agent.id)
		}
	}
	wait, ok := e.retry.Retry(e.now, spool.Attempt{
		Number: c.attempt, Failure: failure, NotRun: failure != spool.FailureEndpoint, Idempotent: true,
		Deadline: c.issuedAt + callTimeout, RetryAfter: retryAfter,
	})
	if ok {
		e.after(wait, func() { e.attemptCall(c) })
		return
	}
	e.endWithError(c, failure, retryAfter)
}

// endWithError counts the failure of a call and reports it to the caller, which may
// send the call again.
func (e *entry) endWithError(c *call, failure spool.Failure, retryAfter clock.Millis) {
	e.counters.recordError(c, failure)
	e.after(networkDelay, func() { c.program.handleRefusal(c, retryAfter) })
}
