package usage

import (
	"maps"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Sample holds the counts of one process since its start.
type Sample struct {
	// Node is the process.
	Node spool.NodeID `json:"node"`
	// Boot is the start time of the process. It distinguishes a process from its
	// replacement under the same name.
	StartedAt clock.Millis `json:"bootMs"`
	// At is the time of the sample by the clock of the process.
	TakenAt clock.Millis `json:"atMs"`
	// Accounts holds the counts by account.
	Accounts map[spool.AccountID]Counts `json:"accounts"`
	// Limits holds the rate limits in force for these accounts.
	Limits map[spool.AccountID]Limit `json:"limits,omitempty"`
}

// Limit is the rate limit of an account.
type Limit struct {
	// RatePerSecond is in requests per second.
	RatePerSecond float64 `json:"ratePerSecond"`
	// Burst is in requests.
	Burst float64 `json:"burst"`
}

// Turn holds the token counts of a finished model call.
type TurnTokens struct {
	// History is the number of prompt tokens that were computed for earlier turns.
	History int
	// Prompt, Cached and Generated are the counts reported by the engine.
	Prompt, Cached, Generated int
}

// Recorder records the counts of one process. It is safe for concurrent use.
type Recorder struct {
	node      spool.NodeID
	startedAt clock.Millis

	mu       sync.Mutex
	accounts map[spool.AccountID]*account
}

// account holds the counts of one account. The histograms are allocated at their
// first use, since most accounts have no alarms.
type account struct {
	counts           Counts
	programs, alarms *hdrhistogram.Histogram
}

// NewRecorder returns the recorder of a process that starts at now.
func NewRecorder(node spool.NodeID, now clock.Millis) *Recorder {
	return &Recorder{node: node, startedAt: now, accounts: map[spool.AccountID]*account{}}
}

// update calls change with the counts of an account while holding the lock. It creates
// the counts at the first use.
func (r *Recorder) update(id spool.AccountID, change func(*account)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.accounts[id]
	if current == nil {
		current = &account{counts: Counts{Refused: map[spool.Code]int64{}}}
		r.accounts[id] = current
	}
	change(current)
}

// Answered counts an answered request.
func (r *Recorder) Answered(id spool.AccountID) {
	r.update(id, func(a *account) { a.counts.Answered++ })
}

// Refused counts a refused request by its refusal code.
func (r *Recorder) Refused(id spool.AccountID, code spool.Code) {
	r.update(id, func(a *account) { a.counts.Refused[code]++ })
}

// Turn counts the tokens of a model call.
func (r *Recorder) Turn(id spool.AccountID, turn TurnTokens) {
	r.update(id, func(a *account) {
		a.counts.PromptTokens += int64(turn.Prompt)
		a.counts.CachedTokens += int64(turn.Cached)
		a.counts.GeneratedTokens += int64(turn.Generated)
		a.counts.RecomputedTokens += int64(max(0, min(turn.History, turn.Prompt)-turn.Cached))
	})
}

// ProgramEnded records the time from start to end of a root program.
func (r *Recorder) ProgramEnded(id spool.AccountID, duration clock.Millis) {
	r.update(id, func(a *account) { a.programs = recordIn(a.programs, duration) })
}

// AlarmAnswered records the time from arrival to response of an alarm call.
func (r *Recorder) AlarmAnswered(id spool.AccountID, duration clock.Millis) {
	r.update(id, func(a *account) { a.alarms = recordIn(a.alarms, duration) })
}

// recordIn records a time in h and returns h, or a new histogram if h is nil.
func recordIn(h *hdrhistogram.Histogram, duration clock.Millis) *hdrhistogram.Histogram {
	if h == nil {
		h = newHistogram()
	}
	// The value is clamped to the range of the histogram, so there is no error.
	_ = h.RecordValue(int64(min(max(duration, 1), maxLatency)))
	return h
}

// Sample returns a copy of the counts, with now as the time of the sample. It does not
// set Limits.
func (r *Recorder) Sample(now clock.Millis) Sample {
	r.mu.Lock()
	defer r.mu.Unlock()
	sample := Sample{Node: r.node, StartedAt: r.startedAt, TakenAt: now, Accounts: make(map[spool.AccountID]Counts, len(r.accounts))}
	for id, current := range r.accounts {
		counts := current.counts
		counts.Refused = maps.Clone(counts.Refused)
		if current.programs != nil {
			counts.Programs = latenciesOf(current.programs)
		}
		if current.alarms != nil {
			counts.Alarms = latenciesOf(current.alarms)
		}
		sample.Accounts[id] = counts
	}
	return sample
}
