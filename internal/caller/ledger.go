package caller

import (
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Ledger collects the observations of all callers. It is safe for concurrent use.
type Ledger struct {
	mu              sync.Mutex
	started         int
	completed       int
	turns           int
	outOfOrder      int
	mismatches      int
	unknownOutcomes int
	problems        []string
	refusals        map[string]int
	retries         map[string]int
	latency         *hdrhistogram.Histogram
	// admissions holds the admitted requests of each account, which are the answered
	// requests other than those that end a program.
	admissions map[spool.AccountID][]admission
	// payouts holds, for each program that has sent its non-idempotent call, whether the
	// call was answered, by program name.
	payouts map[string]bool
}

// admission holds the times at which an admitted request was sent and answered.
type admission struct {
	sent, answered time.Time
}

// maxLatency is the upper bound of the latency histogram. Longer latencies are dropped.
const maxLatency = 10 * clock.Minute

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		refusals:   map[string]int{},
		retries:    map[string]int{},
		latency:    hdrhistogram.New(1, int64(maxLatency), 3),
		admissions: map[spool.AccountID][]admission{},
		payouts:    map[string]bool{},
	}
}

// update calls edit with the ledger locked.
func (l *Ledger) update(edit func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	edit()
}

// recordAdmission records a request that was sent at the given time and answered now.
func (l *Ledger) recordAdmission(account spool.AccountID, sent time.Time) {
	l.update(func() {
		l.admissions[account] = append(l.admissions[account], admission{sent: sent, answered: time.Now()})
	})
}

// RecordProblem records a description of an event that must not happen.
func (l *Ledger) RecordProblem(text string) {
	l.update(func() { l.problems = append(l.problems, text) })
}

// recordCompletion records a program that started at since and has completed now.
func (l *Ledger) recordCompletion(since time.Time) {
	l.update(func() {
		l.completed++
		_ = l.latency.RecordValue(int64(clock.FromDuration(time.Since(since))))
	})
}

// Progress returns the numbers of started and completed programs.
func (l *Ledger) Progress() (started, completed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started, l.completed
}

// Totals are the counts of a ledger.
type Totals struct {
	// Started and Completed count programs.
	Started, Completed int
	// Turns counts answered turns.
	Turns int
	// OutOfOrder counts wrong answers that state another number of messages than the
	// caller's transcript has. Mismatches counts all other wrong answers.
	OutOfOrder, Mismatches int
	// UnknownOutcomes counts the non-idempotent calls whose outcome stayed unknown,
	// AnsweredPayouts the non-idempotent calls that were answered.
	UnknownOutcomes, AnsweredPayouts int
	// Problems describes the recorded events that must not happen.
	Problems []string
	// Refusals and Retries count refused and repeated requests by error code.
	Refusals, Retries map[string]int
	// P50, P95 and P99 are quantiles of the latency of completed programs.
	P50, P95, P99 clock.Millis
}

// Totals returns the counts so far.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := Totals{
		Started: l.started, Completed: l.completed, Turns: l.turns, OutOfOrder: l.outOfOrder, Mismatches: l.mismatches,
		UnknownOutcomes: l.unknownOutcomes, Problems: slices.Clone(l.problems),
		Refusals: maps.Clone(l.refusals), Retries: maps.Clone(l.retries),
		P50: clock.Millis(l.latency.ValueAtQuantile(50)), P95: clock.Millis(l.latency.ValueAtQuantile(95)),
		P99: clock.Millis(l.latency.ValueAtQuantile(99)),
	}
	for _, paid := range l.payouts {
		if paid {
			totals.AnsweredPayouts++
		}
	}
	return totals
}

// RateViolations counts the violations of an account's limits by its admitted requests;
// see countOverAdmissions.
func (l *Ledger) RateViolations(account spool.AccountID, limit Limits) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return countOverAdmissions(l.admissions[account], limit)
}

// Limits are an account's rate per second and burst.
type Limits struct {
	// Rate is in requests per second, Burst in requests.
	Rate, Burst float64
}

// countOverAdmissions checks all intervals from the sending of one request to the answer
// to a request. It returns the number of requests that begin an interval with more
// admissions than burst and rate allow. A request belongs to an interval only if it was
// both sent and answered within it. The exact time of admission is unknown, but it is
// then certainly within the interval.
func countOverAdmissions(requests []admission, limit Limits) int {
	sort.Slice(requests, func(i, j int) bool { return requests[i].sent.Before(requests[j].sent) })
	violations := 0
	for i := range requests {
		var answers []time.Time
		for _, request := range requests[i:] {
			answers = append(answers, request.answered)
		}
		sort.Slice(answers, func(a, b int) bool { return answers[a].Before(answers[b]) })
		for count, end := range answers {
			allowed := limit.Burst + limit.Rate*end.Sub(requests[i].sent).Seconds()
			if float64(count+1) > allowed+1e-6 {
				violations++
				break
			}
		}
	}
	return violations
}
