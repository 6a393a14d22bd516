package capacity

import (
	"fmt"
	"strings"
)

// The target size of the system, from section 1.7 of docs/design.md. targetTokens and
// targetRequests are per second, targetChanges are changes of configuration per day.
const (
	targetEntries  = 330.0
	targetServers  = 11000.0
	targetAccounts = 430.0
	targetPrograms = 360000.0
	targetTokens   = 3.5e6
	targetRequests = 12000.0
	targetDomains  = 14.0
	targetChanges  = 35000.0
	// longestHistory is the longest history of one program in tokens.
	longestHistory = 150000.0
	megabyte       = 1 << 20
)

// TargetTable extrapolates the fitted lines of all to the target size and formats the
// results as a Markdown table. all must contain every series of Measure.
func TargetTable(all []Series) string {
	fits := map[string]Fit{}
	for _, series := range all {
		fits[series.Name] = series.Fit()
	}
	programs := targetPrograms / targetEntries
	var out strings.Builder
	out.WriteString("| at the target, per entry unless stated | worked out from | result |\n|---|---|---|\n")
	row := func(what, from, format string, values ...any) {
		fmt.Fprintf(&out, "| %s | %s | %s |\n", what, from, fmt.Sprintf(format, values...))
	}
	row("control state of 430 accounts", "control-memory", "%.2f MB", fits["control-memory"].Slope*targetAccounts/megabyte)
	row(fmt.Sprintf("state of %.0f programs without history", programs), "program-memory", "%.1f MB", fits["program-memory"].Slope*programs/megabyte)
	row(fmt.Sprintf("history of %.0f programs at the longest, 150,000 tokens", programs), "history-memory", "%.0f MB", fits["history-memory"].Slope*longestHistory*programs/megabyte)
	row("account limits of 430 accounts", "limit-cpu", "%.2f %% of a core", 100*fits["limit-cpu"].Slope*targetAccounts)
	row("heartbeats among 330 entries", "heartbeat-messages", "%.1f messages/s", fits["heartbeat-messages"].At(targetEntries))
	row("one entry's death, messages of all entries", "suspicion-messages", "%.0f messages in 10 s", fits["suspicion-messages"].At(targetEntries))
	const rows, changesPerDay, childrenOfReader = targetServers + targetEntries, 2 * 970, 11
	row("VM list at rest, entry with 33 agents", "roster-rest-bytes", "%.1f KB/s", fits["roster-rest-bytes"].At(rows)/1000)
	row("VM list at rest, any node", "roster-rest-cpu", "%.2f %% of a core", 100*fits["roster-rest-cpu"].At(rows))
	row("VM list, 970 VMs a day that leave and return, reader with 11 children", "roster-change-bytes", "%.2f KB/s",
		fits["roster-change-bytes"].At(rows)*childrenOfReader*changesPerDay/86400/1000)
	row("VM list, a failure domain changes at once, an entry that is no reader", "roster-domain-bytes", "%.2f MB", fits["roster-domain-bytes"].At(rows)/1e6)
	row("VM list, the same, processor time per node", "roster-domain-cpu", "%.0f ms", fits["roster-domain-cpu"].At(rows))
	row("VM list of an entry", "roster-memory", "%.1f MB", fits["roster-memory"].At(rows)/megabyte)
	row("VM list read directly by each node, as before the relay", "vms-direct-bytes, vms-direct-cpu", "%.0f KB/s, %.0f %% of a core",
		fits["vms-direct-bytes"].At(rows)/1000, 100*fits["vms-direct-cpu"].At(rows))
	row("one choice among 11,000 endpoints", "routing-cpu", "%.0f µs", fits["routing-cpu"].At(targetServers))
	row("one choice among the 917 endpoints of one of 12 models", "routing-cpu", "%.0f µs", fits["routing-cpu"].At(targetServers/12))
	row("fold of the streams of one failure domain, by one entry of the rest, 340 turns each", "recovery", "%.1f s",
		fits["recovery"].Slope*(targetPrograms/targetDomains)/(targetEntries*(1-1/targetDomains))*340/1000)
	for _, path := range entryPaths {
		trafficRows(row, fits, path.name)
	}
	row("every stream served after a cold start of 330 entries", "cold-start", "%.1f s", fits["cold-start"].At(targetEntries))
	row("appends of that start", "cold-start-appends", "%.0f", fits["cold-start-appends"].At(targetEntries))
	row("every stream served after an entry has died", "entry-recovery", "%.1f s", fits["entry-recovery"].At(targetEntries))
	row("every stream served after a failure domain has died", "domain-recovery", "%.1f s", fits["domain-recovery"].At(targetEntries))
	row("changes of configuration", "35,000 a day", "%.2f records/s", targetChanges/86400)
	return out.String()
}

// trafficRows adds the rows for the cost of one entry's traffic when all of it takes the
// same path. In a system in which all calls are forwarded, each entry also owns the
// programs of as many calls that other entries forward to it; the rows for the path
// "forwarded" do not contain this cost.
func trafficRows(row func(what, from, format string, values ...any), fits map[string]Fit, path string) {
	tokens, requests := targetTokens/targetEntries, targetRequests/targetEntries
	perRequest := fits["entry-request-cpu-"+path].Slope
	// Under load, there is one request for every answerTokens tokens, so the slope per
	// token contains the cost of a request divided by answerTokens.
	load := fits["entry-token-cpu-"+path]
	perToken := load.Slope - perRequest/answerTokens
	row(fmt.Sprintf("processor time per request with a program start, %s", path), "entry-request-cpu-"+path, "%.2f ms", 1000*perRequest)
	row(fmt.Sprintf("processor time per token, %s", path), "entry-token-cpu-"+path+" less the requests", "%.0f µs", 1e6*perToken)
	row(fmt.Sprintf("%.0f requests/s and %.0f tokens/s of traffic, %s", requests, tokens, path), "both, and the cost at rest", "%.2f cores",
		load.Intercept+perRequest*requests+perToken*tokens)
	row(fmt.Sprintf("tokens/s that one core carries in answers of %d tokens, %s", answerTokens, path), "entry-token-cpu-"+path, "%.0f", (1-load.Intercept)/load.Slope)
	overhead := func(name string) float64 {
		return fits[name+"-"+path].At(tokens) - fits[name+"-direct-"+path].At(tokens)
	}
	row(fmt.Sprintf("the system's part of the p95 of the first token, %s", path), "loaded-first", "%.1f ms, %.1f %% of 680 ms", overhead("loaded-first"), overhead("loaded-first")/6.8)
	row(fmt.Sprintf("the system's part of the p95 between tokens, %s", path), "token-gap", "%.1f ms, %.1f %% of 75 ms", overhead("token-gap"), overhead("token-gap")/0.75)
}
