package usage

import (
	"cmp"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Report compares the service that the accounts received in a window with their rate
// limits.
type Report struct {
	// Window is the longest time between the two samples of a process, or between the
	// start and the sample of a replaced process.
	Window clock.Millis `json:"windowMs"`
	// Nodes is the number of processes with a second sample.
	Nodes int `json:"nodes"`
	// Replaced is the number of these processes that have no first sample or were
	// restarted since. They count from their start.
	Replaced int `json:"replaced"`
	// Missing lists the processes that have only a first sample. Their counts in the
	// window are not in the report.
	Missing []spool.NodeID `json:"missing,omitempty"`
	// Total is the sum over all accounts.
	Total Row `json:"total"`
	// Accounts holds one row for each account, sorted by name.
	Accounts []Row `json:"accounts"`
	// Worst is the account with the lowest served share; empty if no request of any
	// account was within its rate limit.
	LowestServed spool.AccountID `json:"worst,omitempty"`
}

// Row is the part of a report for one account, or for all accounts together.
type Row struct {
	// Account is empty in the total row.
	Account spool.AccountID `json:"account,omitempty"`
	Counts
	// Offered counts the requests that the system could have answered: all requests
	// except those refused because of an error of the caller.
	Offered int64 `json:"offered"`
	// Due is the number of offered requests that the rate limit allows.
	DueRequests float64 `json:"due"`
	// Served is the number of answered requests as a share of Due, at most 1; 1 if
	// nothing was due.
	ServedShare float64 `json:"served"`
	// RefusedWithinRate is the number of requests that were refused with code
	// rateLimited although the rate limit allowed them.
	RefusedWithinRate float64 `json:"refusedWithinRate"`
	// Recomputed is the number of recomputed tokens as a share of the prompt tokens.
	RecomputedShare float64 `json:"recomputed"`
}

// callerFaults are the refusal codes of requests that cannot be answered because of an
// error or a decision of the caller.
var callerFaults = map[spool.Code]bool{
	spool.CodeBadRequest: true, spool.CodeTooLarge: true, spool.CodeUnauthorized: true, spool.CodeKeyWithdrawn: true,
	spool.CodeNotFound: true, spool.CodeConflict: true, spool.CodeBudgetExhausted: true, spool.CodeProgramEnded: true,
	spool.CodeCancelled: true,
}

// Compare returns the report for the window between the samples of before and after.
// A process without an earlier sample, or restarted since, counts from its start.
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
		if !known || baseline.StartedAt != sample.StartedAt {
			report.Replaced++
			baseline = Sample{TakenAt: sample.StartedAt}
		}
		report.Window = max(report.Window, sample.TakenAt-baseline.TakenAt)
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

// addRows adds the rows of all accounts, the total and the account with the lowest
// served share.
func (r *Report) addRows(sums map[spool.AccountID]Counts, limits map[spool.AccountID]Limit) {
	lowest := 0.0
	for id, counts := range sums {
		row := Row{Account: id, Counts: counts}
		row.computeShares(limits[id], r.Window)
		r.Accounts = append(r.Accounts, row)
		r.Total.Counts = r.Total.addScaled(counts, 1)
		r.Total.Offered += row.Offered
		r.Total.DueRequests += row.DueRequests
		r.Total.RefusedWithinRate += row.RefusedWithinRate
	}
	slices.SortFunc(r.Accounts, func(a, b Row) int { return cmp.Compare(a.Account, b.Account) })
	for _, row := range r.Accounts {
		if row.DueRequests > 0 && (r.LowestServed == "" || row.ServedShare < lowest) {
			r.LowestServed, lowest = row.Account, row.ServedShare
		}
	}
	r.Total.ServedShare = ratio(r.Total.servedRequests(), r.Total.DueRequests)
	r.Total.RecomputedShare = r.Total.recomputedShare()
}

// computeShares compares the counts of an account with its rate limit.
func (r *Row) computeShares(limit Limit, window clock.Millis) {
	r.Offered = r.Answered
	for code, count := range r.Refused {
		if !callerFaults[code] {
			r.Offered += count
		}
	}
	allowed := limit.Burst + limit.RatePerSecond*window.Duration().Seconds()
	r.DueRequests = min(float64(r.Offered), allowed)
	r.ServedShare = ratio(r.servedRequests(), r.DueRequests)
	shortfall := max(0, r.DueRequests-float64(r.Answered))
	r.RefusedWithinRate = min(shortfall, float64(r.Refused[spool.CodeRateLimited]))
	r.RecomputedShare = r.recomputedShare()
}

// servedRequests returns the number of answered requests, at most Due.
func (r *Row) servedRequests() float64 { return min(float64(r.Answered), r.DueRequests) }

func (r *Row) recomputedShare() float64 {
	if r.PromptTokens == 0 {
		return 0
	}
	return float64(r.RecomputedTokens) / float64(r.PromptTokens)
}

// ratio returns part divided by whole; 1 if whole is not positive.
func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 1
	}
	return part / whole
}
