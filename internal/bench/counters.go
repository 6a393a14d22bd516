package bench

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// counters collects what one run, or several seeds of one cell, have shown.
type counters struct {
	system *system
	// latency holds programs of accounts that keep to their rate, all those of
	// every account; both in milliseconds. Unfinished programs count with their
	// age at the end of the run.
	latency, all, alarms *hdrhistogram.Histogram
	unfinished           int
	refusedPrograms      int
	prompt, wasted       int
	calls                map[string]int
	// within counts the requests that one central bucket would have admitted and
	// refused those of them that the limits refused. allowed and admitted count
	// them for each account: an account over its rate can get its whole rate with
	// other requests than the central bucket would have chosen.
	within, refused   int
	allowed, admitted map[string]int
	missing           int
	issued, failed    int
	// refusals counts what failed is made of; refusedWithin counts the calls that
	// the limits refused in the same phase although one central bucket would have
	// admitted them.
	refusals      map[Refusal]int
	refusedWithin int
	overloads     int
	over          float64
}

func newCounters(s *system) *counters {
	return &counters{system: s, latency: histogram(), all: histogram(), alarms: histogram(), calls: map[string]int{}, allowed: map[string]int{}, admitted: map[string]int{}, refusals: map[Refusal]int{}}
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(clock.Hour), 3) }

func inWindow(at clock.Millis) bool { return at >= warmUp && at < warmUp+window }

func (n *counters) served(now clock.Millis, c *call, cached int) {
	if !inWindow(now) {
		return
	}
	n.calls[c.program.script.account]++
	n.prompt += c.view.PromptTokens
	n.wasted += max(0, min(c.known, c.view.PromptTokens)-cached)
}

func (n *counters) decided(c *call, admitted bool) {
	if !inWindow(c.issuedAt) {
		return
	}
	if admitted {
		n.admitted[c.program.script.account]++
	}
	if !c.withinOK {
		return
	}
	if !admitted && inService(c.issuedAt) {
		n.refusedWithin++
	}
	n.within++
	n.allowed[c.program.script.account]++
	if !admitted {
		n.refused++
	}
}

// answered and errored count the ends of calls issued while a failure domain
// leaves and returns.
func (n *counters) answered(c *call) {
	if inService(c.issuedAt) {
		n.issued++
	}
}

func (n *counters) errored(c *call, failure spool.Failure) {
	if !inService(c.issuedAt) {
		return
	}
	n.issued++
	n.failed++
	n.refusals[Refusal{
		Failure: failure, Account: c.program.script.account, Start: c.start(),
		Back: n.system.now >= returnAt,
	}]++
}

// inService tells whether an instant lies in the phase in which a failure domain
// leaves and returns.
func inService(at clock.Millis) bool { return at >= leaveAt && at < serviceTo }

func (n *counters) ended(p *program, done bool) {
	if !inWindow(p.began) {
		return
	}
	n.record(p)
	if !done {
		n.unfinished++
	}
}

func (n *counters) dropped(p *program) {
	if inWindow(p.began) {
		n.refusedPrograms++
	}
}

// record notes the latency of a program that has ended or has been cut off.
func (n *counters) record(p *program) {
	took := int64(p.now - p.began)
	if p.script.alarm {
		_ = n.alarms.RecordValue(took)
		return
	}
	_ = n.all.RecordValue(took)
	for _, account := range n.system.deployment.Accounts {
		if account.Name == p.script.account && !account.Greedy {
			_ = n.latency.RecordValue(took)
		}
	}
}

// close takes in the programs that are still under way and the engines' counts.
func (n *counters) close() {
	for _, p := range n.system.programs {
		if p.parent == nil && inWindow(p.began) {
			n.record(p)
			n.unfinished++
		}
	}
	for account, allowed := range n.allowed {
		n.missing += max(0, allowed-n.admitted[account])
	}
	for _, a := range n.system.order {
		n.overloads += a.engine.overloads
	}
	for _, m := range n.system.meters {
		n.over += m.Excess()
	}
	n.system = nil
}

// add sums another seed up.
func (n *counters) add(other *counters) {
	n.latency.Merge(other.latency)
	n.all.Merge(other.all)
	n.alarms.Merge(other.alarms)
	n.unfinished += other.unfinished
	n.refusedPrograms += other.refusedPrograms
	n.prompt += other.prompt
	n.wasted += other.wasted
	for account, calls := range other.calls {
		n.calls[account] += calls
	}
	n.missing += other.missing
	n.within += other.within
	n.refused += other.refused
	n.issued += other.issued
	n.failed += other.failed
	for refusal, count := range other.refusals {
		n.refusals[refusal] += count
	}
	n.refusedWithin += other.refusedWithin
	n.overloads += other.overloads
	n.over += other.over
}
