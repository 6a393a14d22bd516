package demo

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// ledger collects what the callers saw. It is safe for concurrent use.
type ledger struct {
	mu         sync.Mutex
	started    int
	completed  int
	outOfOrder int
	mismatches int
	unknown    int
	problems   []string
	refusals   map[string]int
	retries    map[string]int
	latency    *hdrhistogram.Histogram
	// admissions holds, per account, when each admitted request was sent and
	// answered.
	admissions map[spool.AccountID][]admission
	// payouts holds the program and call of each non-idempotent call, and
	// whether it was answered.
	payouts map[string]bool
}

// admission is one request that an account was granted.
type admission struct {
	sent, answered time.Time
}

// longestLatency bounds the histogram.
const longestLatency = 10 * clock.Minute

func newLedger() *ledger {
	return &ledger{
		refusals:   map[string]int{},
		retries:    map[string]int{},
		latency:    hdrhistogram.New(1, int64(longestLatency), 3),
		admissions: map[spool.AccountID][]admission{},
		payouts:    map[string]bool{},
	}
}

func (l *ledger) with(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *ledger) admitted(account spool.AccountID, sent time.Time) {
	l.with(func() {
		l.admissions[account] = append(l.admissions[account], admission{sent: sent, answered: time.Now()})
	})
}

func (l *ledger) problem(text string) { l.with(func() { l.problems = append(l.problems, text) }) }

func (l *ledger) programDone(since time.Time) {
	l.with(func() {
		l.completed++
		_ = l.latency.RecordValue(int64(clock.FromDuration(time.Since(since))))
	})
}

// progress returns the programs started and completed.
func (l *ledger) progress() (started, completed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started, l.completed
}

// limits are an account's rate per second and burst.
type limits struct {
	rate, burst float64
}

// overAdmissions counts the intervals in which an account got more than its
// burst and rate. A request counts for an interval that holds both its sending
// and its answer, so that a request admitted outside never counts.
func overAdmissions(requests []admission, limit limits) int {
	sort.Slice(requests, func(i, j int) bool { return requests[i].sent.Before(requests[j].sent) })
	violations := 0
	for i := range requests {
		var ends []time.Time
		for _, request := range requests[i:] {
			ends = append(ends, request.answered)
		}
		sort.Slice(ends, func(a, b int) bool { return ends[a].Before(ends[b]) })
		for count, end := range ends {
			allowed := limit.burst + limit.rate*end.Sub(requests[i].sent).Seconds()
			if float64(count+1) > allowed+1e-6 {
				violations++
				break
			}
		}
	}
	return violations
}
