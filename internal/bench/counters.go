package bench

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// counters collects the results of one run, or of all seeds of one variant.
type counters struct {
	system *system
	// latency covers programs of accounts that keep to their rate, allLatency those
	// of all accounts, alarmLatency alarms; all in milliseconds. Unfinished programs
	// count with their age when they were cut off.
	latency, allLatency, alarmLatency *hdrhistogram.Histogram
	unfinished                        int
	refusedPrograms                   int
	promptTokens, recomputedTokens    int
	calls                             map[string]int
	// withinRate counts the requests that one central token bucket would have
	// admitted, withinRateRefused those of them that the limits refused. allowed
	// counts the former and admitted all admitted requests for each account: an
	// account above its rate can get its whole rate with other requests than those
	// that the central bucket would have admitted. admissionShortfall is the sum of
	// allowed less admitted over the accounts that got less.
	withinRate, withinRateRefused int
	allowed, admitted             map[string]int
	admissionShortfall            int
	// serviceCalls and serviceErrors count ended and failed calls that were issued in
	// the service phase.
	serviceCalls, serviceErrors int
	// refusals counts serviceErrors by reason. serviceWithinRateRefused counts the
	// requests of the service phase that the limits refused although one central
	// token bucket would have admitted them.
	refusals                 map[Refusal]int
	serviceWithinRateRefused int
	overloads                int
	overAdmission            float64
}

func newCounters(s *system) *counters {
	return &counters{system: s, latency: newHistogram(), allLatency: newHistogram(), alarmLatency: newHistogram(), calls: map[string]int{}, allowed: map[string]int{}, admitted: map[string]int{}, refusals: map[Refusal]int{}}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(clock.Hour), 3) }

func inWindow(at clock.Millis) bool { return at >= warmUp && at < warmUp+windowLength }

func (n *counters) recordServed(now clock.Millis, c *call, cached int) {
	if !inWindow(now) {
		return
	}
	n.calls[c.program.script.account]++
	n.promptTokens += c.view.PromptTokens
	n.recomputedTokens += max(0, min(c.computedTokens, c.view.PromptTokens)-cached)
}

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

// inServicePhase reports whether an instant lies in the phase in which a failure
// domain is drained and returns.
func inServicePhase(at clock.Millis) bool { return at >= drainAt && at < serviceEnd }

func (n *counters) recordEnd(p *program, completed bool) {
	if !inWindow(p.startedAt) {
		return
	}
	n.recordLatency(p)
	if !completed {
		n.unfinished++
	}
}

func (n *counters) recordDropped(p *program) {
	if inWindow(p.startedAt) {
		n.refusedPrograms++
	}
}

// recordLatency records the latency of a program that has ended or was cut off.
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

// finish adds the programs that are still running and the counts of the engines and
// the limits.
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

// merge adds the counters of another seed.
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
