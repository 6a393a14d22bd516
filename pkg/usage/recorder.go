package usage

import (
	"maps"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Sample is what one process has counted since it started.
type Sample struct {
	// Node is the process and Boot the instant of its start, which tells a
	// replaced process from the one before.
	Node spool.NodeID `json:"node"`
	Boot clock.Millis `json:"bootMs"`
	// At is when the sample was taken, by the clock of the process.
	At clock.Millis `json:"atMs"`
	// Accounts holds the counts by account.
	Accounts map[spool.AccountID]Counts `json:"accounts"`
	// Limits holds the rates in force for these accounts.
	Limits map[spool.AccountID]Limit `json:"limits,omitempty"`
}

// Limit is what an account may start.
type Limit struct {
	// RatePerSecond is in requests per second, Burst in requests.
	RatePerSecond float64 `json:"ratePerSecond"`
	Burst         float64 `json:"burst"`
}

// Turn is the end of a model call.
type Turn struct {
	// History is the number of prompt tokens that earlier turns had computed.
	History int
	// Prompt, Cached and Generated are the engine's counts.
	Prompt, Cached, Generated int
}

// Recorder counts what one process does. It is safe for concurrent use.
type Recorder struct {
	node      spool.NodeID
	startedAt clock.Millis

	mu       sync.Mutex
	accounts map[spool.AccountID]*account
}

// account holds the counts of one account. The histograms are made when they
// are first used, since most accounts have no alarms.
type account struct {
	counts           Counts
	programs, alarms *hdrhistogram.Histogram
}

// NewRecorder returns the recorder of a process that starts now.
func NewRecorder(node spool.NodeID, now clock.Millis) *Recorder {
	return &Recorder{node: node, startedAt: now, accounts: map[spool.AccountID]*account{}}
}

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

// Answered counts a request that was answered.
func (r *Recorder) Answered(id spool.AccountID) {
	r.update(id, func(a *account) { a.counts.Answered++ })
}

// Refused counts a request that was refused.
func (r *Recorder) Refused(id spool.AccountID, code spool.Code) {
	r.update(id, func(a *account) { a.counts.Refused[code]++ })
}

// Turn counts the tokens of a model call.
func (r *Recorder) Turn(id spool.AccountID, turn Turn) {
	r.update(id, func(a *account) {
		a.counts.PromptTokens += int64(turn.Prompt)
		a.counts.CachedTokens += int64(turn.Cached)
		a.counts.GeneratedTokens += int64(turn.Generated)
		a.counts.RecomputedTokens += int64(max(0, min(turn.History, turn.Prompt)-turn.Cached))
	})
}

// ProgramEnded records the time that a root program took.
func (r *Recorder) ProgramEnded(id spool.AccountID, duration clock.Millis) {
	r.update(id, func(a *account) { a.programs = recordIn(a.programs, duration) })
}

// AlarmAnswered records the time that an alarm call took.
func (r *Recorder) AlarmAnswered(id spool.AccountID, duration clock.Millis) {
	r.update(id, func(a *account) { a.alarms = recordIn(a.alarms, duration) })
}

func recordIn(h *hdrhistogram.Histogram, duration clock.Millis) *hdrhistogram.Histogram {
	if h == nil {
		h = newHistogram()
	}
	// The value is within the histogram's range, so there is no error.
	_ = h.RecordValue(int64(min(max(duration, 1), maxLatency)))
	return h
}

// Sample returns a copy of the counts.
func (r *Recorder) Sample(now clock.Millis) Sample {
	r.mu.Lock()
	defer r.mu.Unlock()
	sample := Sample{Node: r.node, Boot: r.startedAt, At: now, Accounts: make(map[spool.AccountID]Counts, len(r.accounts))}
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
