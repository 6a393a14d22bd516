package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/baobabspool/baobabspool/internal/telemetry"
)

// Quantiles holds latency quantiles in milliseconds.
type Quantiles struct {
	P50 int64 `json:"p50"`
	P95 int64 `json:"p95"`
	P99 int64 `json:"p99"`
}

// Report holds the observations of the callers and the stand-ins. Only Violations and
// part of Retries come from the telemetry of the system itself.
type Report struct {
	// Counts of the callers. Wrong answers are counted as in caller.Totals.
	ProgramsStarted   int `json:"programsStarted"`
	ProgramsCompleted int `json:"programsCompleted"`
	TurnsOutOfOrder   int `json:"turnsOutOfOrder"`
	HistoryMismatches int `json:"historyMismatches"`
	// DuplicateExecutions counts the second and further executions of service calls,
	// MissingExecutions the answered service calls without an execution.
	DuplicateExecutions int `json:"duplicateExecutions"`
	MissingExecutions   int `json:"missingExecutions"`
	// UnknownFates counts service calls whose outcome stayed unknown, RateViolations
	// admissions beyond the rate limits of the accounts.
	UnknownFates   int `json:"unknownFates"`
	RateViolations int `json:"rateViolations"`
	// KeysSeenByEndpoints counts requests to engines and services that contained an API
	// key, ColdOverloads crashes of engines from too many calls in cold start.
	KeysSeenByEndpoints int `json:"keysSeenByEndpoints"`
	ColdOverloads       int `json:"coldOverloads"`
	// LogAppends is the number of batches appended to the log.
	LogAppends   int64 `json:"logAppends"`
	PromptTokens int   `json:"promptTokens"`
	CachedTokens int   `json:"cachedTokens"`
	// Refusals and Retries count by error code. Keys of Retries that begin with "system."
	// are retries by the system, the others retries by callers.
	Refusals         map[string]int `json:"refusals"`
	Retries          map[string]int `json:"retries"`
	ProgramLatencyMs Quantiles      `json:"programLatencyMs"`
	Checks           []Check        `json:"checks"`
	// Violations counts the invariant violations that the system detected, by name.
	Violations map[string]int64 `json:"violations"`
	// Problems describes the events that must not happen and that callers recorded.
	Problems []string `json:"problems"`
}

// report collects the observations of the finished run.
func (d *demonstration) report() *Report {
	totals := d.ledger.Totals()
	r := &Report{
		ProgramsStarted: totals.Started, ProgramsCompleted: totals.Completed,
		TurnsOutOfOrder: totals.OutOfOrder, HistoryMismatches: totals.Mismatches, UnknownFates: totals.UnknownOutcomes,
		Refusals: totals.Refusals, Retries: totals.Retries, Problems: totals.Problems,
		Checks: d.checks, Violations: map[string]int64{},
		ProgramLatencyMs: Quantiles{P50: int64(totals.P50), P95: int64(totals.P95), P99: int64(totals.P99)},
		LogAppends:       d.system.log.Stats().Appends,
	}
	for _, holder := range d.system.accounts {
		r.RateViolations += d.ledger.RateViolations(holder.id, holder.limits)
	}
	d.countEngines(r)
	d.countPayouts(r)
	for _, t := range d.system.telemetry {
		for series, count := range t.Totals() {
			switch series.Kind {
			case telemetry.KindViolation:
				r.Violations[series.Label] += count
			case telemetry.KindRetry:
				r.Retries["system."+series.Label] += int(count)
			}
		}
	}
	return r
}

// countEngines adds the counters of all engines to the report.
func (d *demonstration) countEngines(r *Report) {
	for _, engine := range d.system.engines {
		stats := engine.Stats()
		r.KeysSeenByEndpoints += stats.KeysSeen
		r.ColdOverloads += stats.Overloads
		r.PromptTokens += stats.PromptTokens
		r.CachedTokens += stats.CachedTokens
	}
}

// countPayouts compares the executions at the plain service with the answers that the
// callers received. More than one execution of a call is a duplicate. Answers without an
// execution are missing ones.
func (d *demonstration) countPayouts(r *Report) {
	stats := d.system.service.Stats()
	r.KeysSeenByEndpoints += stats.KeysSeen
	for _, count := range stats.Executions {
		r.DuplicateExecutions += count - 1
	}
	r.MissingExecutions = max(0, d.ledger.Totals().AnsweredPayouts-len(stats.Executions))
}

// Failed reports whether an invariant was violated, a problem was recorded or a program
// did not complete.
func (r *Report) Failed() bool {
	broken := r.TurnsOutOfOrder + r.HistoryMismatches + r.DuplicateExecutions + r.MissingExecutions +
		r.RateViolations + r.KeysSeenByEndpoints + r.ColdOverloads + len(r.Problems)
	for _, check := range r.Checks {
		if !check.OK {
			broken++
		}
	}
	return broken > 0 || len(r.Violations) > 0 || r.ProgramsCompleted < r.ProgramsStarted
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	line := func(name string, value any) { _, _ = fmt.Fprintf(w, "  %-36s %v\n", name, value) }
	_, _ = fmt.Fprintln(w, "\nCounted by the callers and the stand-ins:")
	line("programs completed", fmt.Sprintf("%d of %d", r.ProgramsCompleted, r.ProgramsStarted))
	line("turns out of order", r.TurnsOutOfOrder)
	line("history mismatches", r.HistoryMismatches)
	line("duplicate executions", r.DuplicateExecutions)
	line("missing executions", r.MissingExecutions)
	line("unknown fates", r.UnknownFates)
	line("rate violations", r.RateViolations)
	line("keys seen by endpoints", r.KeysSeenByEndpoints)
	line("overloads of cold engines", r.ColdOverloads)
	line("program latency p50/p95/p99", fmt.Sprintf("%d/%d/%d ms",
		r.ProgramLatencyMs.P50, r.ProgramLatencyMs.P95, r.ProgramLatencyMs.P99))
	line("prompt tokens cached", fmt.Sprintf("%d of %d", r.CachedTokens, r.PromptTokens))
	line("appends to the log", r.LogAppends)
	for _, check := range r.Checks {
		result := "ok"
		if !check.OK {
			result = "FAILED"
		}
		line(check.Name, result+", "+check.Detail)
	}
	writeCounts(w, "Refusals seen by callers:", r.Refusals)
	writeCounts(w, "Retries:", r.Retries)
	for name, count := range r.Violations {
		line("BROKEN "+name, count)
	}
	for _, problem := range r.Problems {
		line("problem", problem)
	}
}

func writeCounts(w io.Writer, title string, counts map[string]int) {
	_, _ = fmt.Fprintln(w, title)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		_, _ = fmt.Fprintf(w, "  %-36s %d\n", name, counts[name])
	}
}
