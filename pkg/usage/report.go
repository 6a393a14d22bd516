package usage

import (
	"cmp"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Report is what the accounts were given in a window.
type Report struct {
	// Window is the longest time between the two samples of a process.
	Window clock.Millis `json:"windowMs"`
	// Nodes counts the processes that answered both times; Replaced those that
	// were started within the window and count from their start.
	Nodes    int `json:"nodes"`
	Replaced int `json:"replaced"`
	// Missing names the processes that answered only the first time. What they
	// did in the window is not in the report.
	Missing []spool.NodeID `json:"missing,omitempty"`
	// Total is the sum over all accounts.
	Total Row `json:"total"`
	// Accounts are in the order of their names.
	Accounts []Row `json:"accounts"`
	// Worst is the account with the lowest served share; empty when no account
	// was due anything.
	Worst spool.AccountID `json:"worst,omitempty"`
}

// Row describes one account, or all together.
type Row struct {
	// Account is empty in the row of the total.
	Account spool.AccountID `json:"account,omitempty"`
	Counts
	// Offered counts the requests whose fate was up to the system: all but those
	// that were refused for a fault of the caller.
	Offered int64 `json:"offered"`
	// Due is the part of the offered requests that the rate and burst allow.
	Due float64 `json:"due"`
	// Served is the answered share of what was due, at most 1; 1 when nothing was
	// due.
	Served float64 `json:"served"`
	// RefusedWithinRate counts refusals by rate that the rate did not call for.
	RefusedWithinRate float64 `json:"refusedWithinRate"`
	// Recomputed is the share of the prompt tokens that were computed again.
	Recomputed float64 `json:"recomputed"`
}

// callerFaults are the codes of requests that no system could have answered.
var callerFaults = map[spool.Code]bool{
	spool.CodeBadRequest: true, spool.CodeTooLarge: true, spool.CodeUnauthorized: true, spool.CodeKeyWithdrawn: true,
	spool.CodeNotFound: true, spool.CodeConflict: true, spool.CodeBudgetExhausted: true, spool.CodeProgramEnded: true,
	spool.CodeCancelled: true,
}

// Compare returns what happened between the samples of before and after. A
// process that was replaced counts from its start.
func Compare(before, after []Sample) Report {
	baselines := map[spool.NodeID]Sample{}
	for _, sample := range before {
		baselines[sample.Node] = sample
	}
	report := Report{}
	sums, limits := map[spool.AccountID]Counts{}, map[spool.AccountID]Limit{}
	for _, sample := range after {
		baseline, known := baselines[sample.Node]
		delete(baselines, sample.Node)
		report.Nodes++
		if !known || baseline.Boot != sample.Boot {
			report.Replaced++
			baseline = Sample{At: sample.Boot}
		}
		report.Window = max(report.Window, sample.At-baseline.At)
		for id, counts := range sample.Accounts {
			sums[id] = sums[id].addScaled(counts.addScaled(baseline.Accounts[id], -1), 1)
		}
		for id, limit := range sample.Limits {
			limits[id] = limit
		}
	}
	for id := range baselines {
		report.Missing = append(report.Missing, id)
	}
	slices.Sort(report.Missing)
	report.addRows(sums, limits)
	return report
}

func (r *Report) addRows(sums map[spool.AccountID]Counts, limits map[spool.AccountID]Limit) {
	lowest := 0.0
	for id, counts := range sums {
		row := Row{Account: id, Counts: counts}
		row.computeShares(limits[id], r.Window)
		r.Accounts = append(r.Accounts, row)
		r.Total.Counts = r.Total.addScaled(counts, 1)
		r.Total.Offered += row.Offered
		r.Total.Due += row.Due
		r.Total.RefusedWithinRate += row.RefusedWithinRate
	}
	slices.SortFunc(r.Accounts, func(a, b Row) int { return cmp.Compare(a.Account, b.Account) })
	for _, row := range r.Accounts {
		if row.Due > 0 && (r.Worst == "" || row.Served < lowest) {
			r.Worst, lowest = row.Account, row.Served
		}
	}
	r.Total.Served = ratio(r.Total.servedRequests(), r.Total.Due)
	r.Total.Recomputed = r.Total.recomputedShare()
}

// judge compares what an account got with its limit.
func (r *Row) computeShares(limit Limit, window clock.Millis) {
	r.Offered = r.Answered
	for code, count := range r.Refused {
		if !callerFaults[code] {
			r.Offered += count
		}
	}
	allowed := limit.Burst + limit.RatePerSecond*window.Duration().Seconds()
	r.Due = min(float64(r.Offered), allowed)
	r.Served = ratio(r.servedRequests(), r.Due)
	shortfall := max(0, r.Due-float64(r.Answered))
	r.RefusedWithinRate = min(shortfall, float64(r.Refused[spool.CodeRateLimited]))
	r.Recomputed = r.recomputedShare()
}

func (r *Row) servedRequests() float64 { return min(float64(r.Answered), r.Due) }

func (r *Row) recomputedShare() float64 {
	if r.PromptTokens == 0 {
		return 0
	}
	return float64(r.RecomputedTokens) / float64(r.PromptTokens)
}

func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 1
	}
	return part / whole
}
