// Package pause holds the policies for the memory of programs whose tools run:
// keep is the baseline, which leaves all eviction to the engine; export moves the
// prefixes with the longest expected pauses out while memory is scarce.
//
// Ways weighed. Exporting every prefix at each pause frees most memory, but pays
// for two transfers at every turn. A time limit for each pause needs a number that
// fits every tool. The engine evicts the least recently used prefix, which is that
// of the longest pause so far and not of the longest still to come.
package pause

import (
	"cmp"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Names of the policies.
const (
	Keep   = "keep"
	Export = "export"
)

func init() {
	spool.Pauses.Register(Keep, func(uint64, spool.Options) spool.PausePolicy { return keep{} })
	spool.Pauses.Register(Export, newExport)
}

// keep leaves every prefix where it is.
type keep struct{}

// Resumed does nothing.
func (keep) Resumed(spool.ProgramID, spool.AccountID, clock.Millis) {}

// Gone does nothing.
func (keep) Gone(spool.ProgramID) {}

// Choose keeps everything.
func (keep) Choose(clock.Millis, spool.MemoryView, []spool.PausedView) []spool.PauseDecision {
	return nil
}

const (
	// defaultHigh is the fill of the cache above which prefixes are moved out, and
	// defaultLow the fill that this aims at. The report lags, so the engine must
	// have room for what arrives meanwhile.
	defaultHigh = 0.85
	defaultLow  = 0.75
	// pauseWeight is the weight of the newest pause in the moving averages.
	pauseWeight = 0.3
	// defaultPauseMs is expected before any tool has ended.
	defaultPauseMs = 3000.0
	// minTransfers is the number of transfer times for which a prefix must be
	// expected to stay out.
	minTransfers = 4.0
	// Defaults of the speeds, in tokens per millisecond. An engine copies a prefix
	// about ten times as fast as it computes one.
	defaultPrefill  = 10.0
	defaultTransfer = 80.0
	// defaultSetupMs is the fixed time of a transfer.
	defaultSetupMs = 10.0
)

// export moves prefixes out while the cache is nearly full. Those with the longest
// expected remaining pause go first, as long as an import costs less than
// recomputing.
type export struct {
	high, low                float64
	prefill, transfer, setup float64
	programs                 map[spool.ProgramID]float64
	accounts                 map[spool.AccountID]float64
}

// newExport reads pause.highShare and pause.lowShare, fills of the cache;
// pause.prefillTokensPerMs and pause.transferTokensPerMs, speeds of the engine; and
// pause.setupMs, the fixed time of a transfer.
func newExport(_ uint64, options spool.Options) spool.PausePolicy {
	return &export{
		high:     options.Get("pause.highShare", defaultHigh),
		low:      options.Get("pause.lowShare", defaultLow),
		prefill:  options.Get("pause.prefillTokensPerMs", defaultPrefill),
		transfer: options.Get("pause.transferTokensPerMs", defaultTransfer),
		setup:    options.Get("pause.setupMs", defaultSetupMs),
		programs: map[spool.ProgramID]float64{},
		accounts: map[spool.AccountID]float64{},
	}
}

// Resumed takes the pause into the averages of the program and of its account.
func (p *export) Resumed(program spool.ProgramID, account spool.AccountID, pause clock.Millis) {
	learn(p.accounts, account, float64(pause))
	learn(p.programs, program, float64(pause))
}

func learn[K comparable](averages map[K]float64, key K, value float64) {
	average, known := averages[key]
	if !known {
		average = value
	}
	averages[key] = average + pauseWeight*(value-average)
}

// Gone forgets the average of a program.
func (p *export) Gone(program spool.ProgramID) { delete(p.programs, program) }

// remaining is the expected time until the program's next call. Pauses vary
// widely, so a tool that runs for longer than usual is taken to go on for as long
// as it has run.
func (p *export) remaining(now clock.Millis, view spool.PausedView) float64 {
	expected, known := p.programs[view.Program]
	if !known {
		expected, known = p.accounts[view.Account]
	}
	if !known {
		expected = defaultPauseMs
	}
	ran := float64(now - view.Since)
	return max(expected-ran, ran)
}

// Choose names prefixes until the cache would be filled to the lower share.
func (p *export) Choose(now clock.Millis, memory spool.MemoryView, paused []spool.PausedView) (decisions []spool.PauseDecision) {
	excess := float64(memory.Tokens) - p.low*float64(memory.Limit)
	if memory.Limit <= 0 || float64(memory.Tokens) <= p.high*float64(memory.Limit) {
		return nil
	}
	remaining := make(map[spool.ProgramID]float64, len(paused))
	for _, view := range paused {
		remaining[view.Program] = p.remaining(now, view)
	}
	longest := slices.Clone(paused)
	slices.SortStableFunc(longest, func(a, b spool.PausedView) int {
		return cmp.Compare(remaining[b.Program], remaining[a.Program])
	})
	for _, view := range longest {
		if excess <= 0 {
			break
		}
		transfer := p.setup + float64(view.Tokens)/p.transfer
		if transfer >= float64(view.Tokens)/p.prefill || remaining[view.Program] < minTransfers*transfer {
			continue
		}
		decisions = append(decisions, spool.PauseDecision{Program: view.Program, Action: spool.PauseExport})
		excess -= float64(view.Tokens)
	}
	return decisions
}
