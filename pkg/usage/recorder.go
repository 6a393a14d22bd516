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
	// Node names the process.
	Node spool.NodeID `json:"node"`
	// StartedAt is the time at which the process started, by its own clock. It
	// distinguishes a process from a later one with the same name.
	StartedAt clock.Millis `json:"bootMs"`
	// TakenAt is the time of the sample, by the clock of the process.
	TakenAt clock.Millis `json:"atMs"`
	// Accounts maps each account with at least one count to its counts.
	Accounts map[spool.AccountID]Counts `json:"accounts"`
	// Limits maps the accounts in Accounts to their rate limits in force. It is nil in
	// the result of Recorder.Sample; the entry adds it.
	Limits map[spool.AccountID]Limit `json:"limits,omitempty"`
}

// Limit is the rate limit of an account over all VMs together.
type Limit struct {
	// RatePerSecond is the number of requests that may start per second.
	RatePerSecond float64 `json:"ratePerSecond"`
	// Burst is the number of requests that may start at once after a pause.
	Burst float64 `json:"burst"`
}

// TurnTokens holds the token counts of one finished model call.
type TurnTokens struct {
	// History is the number of prompt tokens that were already computed for earlier
	// turns of the program.
	History int
	// Prompt, Cached and Generated are the numbers of prompt tokens, of prompt tokens
	// taken from the prefix cache and of generated tokens, as the engine reported them.
	Prompt, Cached, Generated int
}

// Recorder records the counts of one process. It is safe for concurrent use.
type Recorder struct {
	node      spool.NodeID
	startedAt clock.Millis

	mu       sync.Mutex
	accounts map[spool.AccountID]*account
}

// account holds the counts of one account. Its histograms are nil until the first time
// is recorded, since most accounts make no alarm calls.
type account struct {
	counts           Counts
	programs, alarms *hdrhistogram.Histogram
}

// NewRecorder returns the recorder of a process that starts at now.
func NewRecorder(node spool.NodeID, now clock.Millis) *Recorder {
	return &Recorder{node: node, startedAt: now, accounts: map[spool.AccountID]*account{}}
}

// update calls change with the counts of an account while holding r.mu. It creates the
// counts at the first call for the account.
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

// Turn counts the tokens of a finished model call. Tokens of the history that were not
// cached are counted as recomputed.
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

// Sample returns a copy of the counts of all accounts, with now as TakenAt. It leaves
// Limits nil.
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
