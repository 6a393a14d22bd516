package bench

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// counters collects the results of one run, or of all seeds of one variant.
type counters struct {
	system *system
	// latency holds the latencies of programs of the accounts that keep to their
	// rate, allLatency those of programs of all accounts, both without alarms, and
	// alarmLatency those of alarms; all in milliseconds. The latency of an unfinished
	// program is its age when it gave up or the run ended.
	latency, allLatency, alarmLatency *hdrhistogram.Histogram
	unfinished                        int
	// refusedPrograms counts programs that were dropped before their first answer.
	refusedPrograms                int
	promptTokens, recomputedTokens int
	// calls counts answered calls by account.
	calls map[string]int
	// withinRate counts the requests that one central token bucket would have
	// admitted, withinRateRefused the requests among these that the limits refused.
	// allowed counts the requests of withinRate by account. admitted counts all
	// admitted requests by account. admissionShortfall is the sum of allowed minus
	// admitted over the accounts for which it is positive. It is a fairer measure
	// than withinRateRefused: an account above its rate can get its whole rate even
	// when the limits admit other requests than the central bucket.
	withinRate, withinRateRefused int
	allowed, admitted             map[string]int
	admissionShortfall            int
	// serviceCalls counts the calls issued in the service phase that have ended,
	// serviceErrors the failed calls among these. See inServicePhase.
	serviceCalls, serviceErrors int
	// refusals counts the calls of serviceErrors by group; the field Calls of each key
	// is 0. serviceWithinRateRefused counts the
	// requests of the service phase that the limits refused although one central
	// token bucket would have admitted them.
	refusals                 map[Refusal]int
	serviceWithinRateRefused int
	// overloads counts the engine crashes from too many calls in cold start.
	overloads int
	// overAdmission is the number of requests admitted beyond rate and burst.
	overAdmission float64
}

func newCounters(s *system) *counters {
	return &counters{system: s, latency: newHistogram(), allLatency: newHistogram(), alarmLatency: newHistogram(), calls: map[string]int{}, allowed: map[string]int{}, admitted: map[string]int{}, refusals: map[Refusal]int{}}
}

// newHistogram returns a histogram of latencies from 1 ms to 1 h.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(clock.Hour), 3) }

// inWindow reports whether at lies in the measured window.
func inWindow(at clock.Millis) bool { return at >= warmUp && at < warmUp+windowLength }

// recordServed counts an answered call and its tokens if it ended in the measured
// window. cached is the number of prompt tokens that the engine had cached.
func (n *counters) recordServed(now clock.Millis, c *call, cached int) {
	if !inWindow(now) {
		return
	}
	n.calls[c.program.script.account]++
	n.promptTokens += c.view.PromptTokens
	n.recomputedTokens += max(0, min(c.computedTokens, c.view.PromptTokens)-cached)
}

// recordDecision counts a decision of the limits on a call that was issued in the
// measured window.
func (n *counters) recordDecision(c *call, admitted bool) {
	if !inWindow(c.issuedAt) {
		return
	}
	if admitted {
		n.admitted[c.program.script.account]++
	}
	if !c.withinRate {
		return
	}
	if !admitted && inServicePhase(c.issuedAt) {
		n.serviceWithinRateRefused++
	}
	n.withinRate++
	n.allowed[c.program.script.account]++
	if !admitted {
		n.withinRateRefused++
	}
}

// recordAnswer counts an answered call if it was issued in the service phase.
func (n *counters) recordAnswer(c *call) {
	if inServicePhase(c.issuedAt) {
		n.serviceCalls++
	}
}

// recordError counts a call that ended with an error if it was issued in the service
// phase.
func (n *counters) recordError(c *call, failure spool.Failure) {
	if !inServicePhase(c.issuedAt) {
		return
	}
	n.serviceCalls++
	n.serviceErrors++
	n.refusals[Refusal{
		Failure: failure, Account: c.program.script.account, IsProgramStart: c.isProgramStart(),
		AfterReturn: n.system.now >= returnAt,
	}]++
}

// inServicePhase reports whether at lies in the service phase: from the drain of a
// failure domain until 60 s after its return.
func inServicePhase(at clock.Millis) bool { return at >= drainAt && at < serviceEnd }

// recordEnd records a root program that started in the measured window and has ended.
func (n *counters) recordEnd(p *program, completed bool) {
	if !inWindow(p.startedAt) {
		return
	}
	n.recordLatency(p)
	if !completed {
		n.unfinished++
	}
}

// recordDropped counts a program that started in the measured window and was dropped
// before its first answer.
func (n *counters) recordDropped(p *program) {
	if inWindow(p.startedAt) {
		n.refusedPrograms++
	}
}

// recordLatency records the time from the start of a program until now. It is called
// when the program ends, or at the end of the run for programs still running.
func (n *counters) recordLatency(p *program) {
	latency := int64(p.now - p.startedAt)
	if p.script.alarm {
		_ = n.alarmLatency.RecordValue(latency)
		return
	}
	_ = n.allLatency.RecordValue(latency)
	for _, account := range n.system.deployment.Accounts {
		if account.Name == p.script.account && !account.Greedy {
			_ = n.latency.RecordValue(latency)
		}
	}
}

// finish adds the programs that are still running, the shortfall of each account, and
// the counts of the engines and the limits. It then drops the reference to the system,
// so that its memory can be freed.
func (n *counters) finish() {
	for _, p := range n.system.programs {
		if p.parent == nil && inWindow(p.startedAt) {
			n.recordLatency(p)
			n.unfinished++
		}
	}
	for account, allowed := range n.allowed {
		n.admissionShortfall += max(0, allowed-n.admitted[account])
	}
	for _, a := range n.system.agentList {
		n.overloads += a.engine.overloads
	}
	for _, m := range n.system.meters {
		n.overAdmission += m.Excess()
	}
	n.system = nil
}

// merge adds the counters of another run of the same variant with another seed. Both
// must be finished, because allowed and admitted are not merged.
func (n *counters) merge(other *counters) {
	n.latency.Merge(other.latency)
	n.allLatency.Merge(other.allLatency)
	n.alarmLatency.Merge(other.alarmLatency)
	n.unfinished += other.unfinished
	n.refusedPrograms += other.refusedPrograms
	n.promptTokens += other.promptTokens
	n.recomputedTokens += other.recomputedTokens
	for account, calls := range other.calls {
		n.calls[account] += calls
	}
	n.admissionShortfall += other.admissionShortfall
	n.withinRate += other.withinRate
	n.withinRateRefused += other.withinRateRefused
	n.serviceCalls += other.serviceCalls
	n.serviceErrors += other.serviceErrors
	for refusal, count := range other.refusals {
		n.refusals[refusal] += count
	}
	n.serviceWithinRateRefused += other.serviceWithinRateRefused
	n.overloads += other.overloads
	n.overAdmission += other.overAdmission
}
