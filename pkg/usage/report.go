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
	// Window is the longest time over which the counts of a process were taken, in
	// milliseconds: from its first to its second sample, or from its start to its
	// second sample if it was replaced.
	Window clock.Millis `json:"windowMs"`
	// Nodes is the number of processes with a second sample.
	Nodes int `json:"nodes"`
	// Replaced is the number of processes with a second sample that have no first sample
	// or were restarted after it. Their counts since their start are in the report.
	Replaced int `json:"replaced"`
	// Missing lists the processes that have a first but no second sample, sorted. The
	// report contains none of their counts.
	Missing []spool.NodeID `json:"missing,omitempty"`
	// Total is the sum over all accounts.
	Total Row `json:"total"`
	// Accounts holds one row for each account, sorted by name.
	Accounts []Row `json:"accounts"`
	// LowestServed is the account with the lowest ServedShare among the accounts whose
	// DueRequests are above 0; empty if there is no such account.
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
	// DueRequests is the number of offered requests, at most the number that the rate
	// limit allows in the window: the burst plus the rate times the window. In the total
	// row it is the sum over the accounts.
	DueRequests float64 `json:"due"`
	// ServedShare is the number of answered requests divided by DueRequests, at most 1;
	// 1 if DueRequests is 0.
	ServedShare float64 `json:"served"`
	// RefusedWithinRate is the number of requests that were refused with code
	// rateLimited although the rate limit allowed them. It is the smaller of the refused
	// requests with that code and of DueRequests minus the answered requests.
	RefusedWithinRate float64 `json:"refusedWithinRate"`
	// RecomputedShare is the number of recomputed tokens divided by the number of prompt
	// tokens; 0 if there are no prompt tokens.
	RecomputedShare float64 `json:"recomputed"`
}

// callerFaults contains the refusal codes of requests that could not be answered because
// of an error or a decision of the caller, such as a cancellation.
var callerFaults = map[spool.Code]bool{
	spool.CodeBadRequest: true, spool.CodeTooLarge: true, spool.CodeUnauthorized: true, spool.CodeKeyWithdrawn: true,
	spool.CodeNotFound: true, spool.CodeConflict: true, spool.CodeBudgetExhausted: true, spool.CodeProgramEnded: true,
	spool.CodeCancelled: true,
}

// Compare returns the report of the counts that were added between the samples in
// before and those in after. Each slice contains at most one sample of a process. If a
// process has no sample in before, or was restarted after it, all its counts since its
// start are included. An empty before thus yields a report of all counts.
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

// addRows sets Accounts, Total and LowestServed from the counts and limits of the
// accounts. Window must already be set.
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

// computeShares sets the fields of the row that follow from its counts, the rate limit
// of the account and the length of the window.
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

// servedRequests returns the number of answered requests or DueRequests, whichever is
// smaller.
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
