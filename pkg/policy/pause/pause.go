// Package pause implements the policies for the engine memory of programs that are
// paused while their tools run. keep is the baseline, which leaves all eviction to
// the engine. export moves the prefixes with the longest expected pauses out of the
// cache while it is nearly full.
//
// Alternatives considered: Exporting every prefix at each pause frees the most
// memory but costs two transfers per turn. A time limit per pause needs one value
// that suits every tool. The engine's own eviction picks the least recently used
// prefix, which has had the longest pause so far, not the longest pause still to
// come.
package pause

import (
	"cmp"
	"slices"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Registered names of the policies.
const (
	Keep   = "keep"
	Export = "export"
)

func init() {
	spool.Pauses.Register(Keep, func(uint64, spool.Options) spool.PausePolicy { return keep{} })
	spool.Pauses.Register(Export, newExport)
}

// keep is the policy that never moves a prefix.
type keep struct{}

// Resumed does nothing.
func (keep) Resumed(spool.ProgramID, spool.AccountID, clock.Millis) {}

// Gone does nothing.
func (keep) Forget(spool.ProgramID) {}

// Choose returns no decisions, so that every prefix is kept.
func (keep) Choose(clock.Millis, spool.MemoryView, []spool.PausedProgram) []spool.PauseDecision {
	return nil
}

const (
	// defaultHighShare is the used share of the cache above which prefixes are
	// exported. defaultLowShare is the share at which the exports aim. Load reports
	// lag, so the engine needs free space for prefixes that arrive in the meantime.
	defaultHighShare = 0.85
	defaultLowShare  = 0.75
	// pauseSampleWeight is the weight of the latest pause in the moving averages.
	pauseSampleWeight = 0.3
	// defaultPauseMs is the expected pause, in milliseconds, before any pause of the
	// program or its account has ended.
	defaultPauseMs = 3000.0
	// minPauseInTransfers is the shortest expected remaining pause, as a multiple of
	// the transfer time, for which a prefix is exported.
	minPauseInTransfers = 4.0
	// An engine copies a prefix about ten times as fast as it computes one.
	defaultPrefillTokensPerMs  = 10.0
	defaultTransferTokensPerMs = 80.0
	// defaultSetupMs is the fixed part of the transfer time in milliseconds.
	defaultSetupMs = 10.0
)

// export is the policy that exports prefixes while the cache is nearly full. It
// exports the prefixes with the longest expected remaining pause first, and only
// those for which a transfer takes less time than recomputing.
type export struct {
	highShare, lowShare                              float64
	prefillTokensPerMs, transferTokensPerMs, setupMs float64
	programPauseMs                                   map[spool.ProgramID]float64
	accountPauseMs                                   map[spool.AccountID]float64
}

// newExport returns an export policy. It reads these options: pause.highShare and
// pause.lowShare, used shares of the cache; pause.prefillTokensPerMs and
// pause.transferTokensPerMs, speeds of the engine; and pause.setupMs, the fixed
// part of the transfer time.
func newExport(_ uint64, options spool.Options) spool.PausePolicy {
	return &export{
		highShare:           options.Get("pause.highShare", defaultHighShare),
		lowShare:            options.Get("pause.lowShare", defaultLowShare),
		prefillTokensPerMs:  options.Get("pause.prefillTokensPerMs", defaultPrefillTokensPerMs),
		transferTokensPerMs: options.Get("pause.transferTokensPerMs", defaultTransferTokensPerMs),
		setupMs:             options.Get("pause.setupMs", defaultSetupMs),
		programPauseMs:      map[spool.ProgramID]float64{},
		accountPauseMs:      map[spool.AccountID]float64{},
	}
}

// Resumed adds the pause to the moving averages of the program and of its account.
func (p *export) Resumed(program spool.ProgramID, account spool.AccountID, pause clock.Millis) {
	updateAverage(p.accountPauseMs, account, float64(pause))
	updateAverage(p.programPauseMs, program, float64(pause))
}

func updateAverage[K comparable](averages map[K]float64, key K, value float64) {
	average, known := averages[key]
	if !known {
		average = value
	}
	averages[key] = average + pauseSampleWeight*(value-average)
}

// Gone drops the average of a program.
func (p *export) Forget(program spool.ProgramID) { delete(p.programPauseMs, program) }

// expectedRemainingMs estimates the milliseconds until the program's next call.
// Pauses vary widely, so the estimate is never less than the time that the tool has
// already run.
func (p *export) expectedRemainingMs(now clock.Millis, view spool.PausedProgram) float64 {
	expected, known := p.programPauseMs[view.Program]
	if !known {
		expected, known = p.accountPauseMs[view.Account]
	}
	if !known {
		expected = defaultPauseMs
	}
	elapsed := float64(now - view.Since)
	return max(expected-elapsed, elapsed)
}

// Choose returns nothing until the cache exceeds the high share. It then exports as
// many prefixes as are needed to bring the cache down to the low share.
func (p *export) Choose(now clock.Millis, memory spool.MemoryView, paused []spool.PausedProgram) (decisions []spool.PauseDecision) {
	excess := float64(memory.Tokens) - p.lowShare*float64(memory.Limit)
	if memory.Limit <= 0 || float64(memory.Tokens) <= p.highShare*float64(memory.Limit) {
		return nil
	}
	remaining := make(map[spool.ProgramID]float64, len(paused))
	for _, view := range paused {
		remaining[view.Program] = p.expectedRemainingMs(now, view)
	}
	byRemaining := slices.Clone(paused)
	slices.SortStableFunc(byRemaining, func(a, b spool.PausedProgram) int {
		return cmp.Compare(remaining[b.Program], remaining[a.Program])
	})
	for _, view := range byRemaining {
		if excess <= 0 {
			break
		}
		transferMs := p.setupMs + float64(view.Tokens)/p.transferTokensPerMs
		if transferMs >= float64(view.Tokens)/p.prefillTokensPerMs || remaining[view.Program] < minPauseInTransfers*transferMs {
			continue
		}
		decisions = append(decisions, spool.PauseDecision{Program: view.Program, Action: spool.PauseExport})
		excess -= float64(view.Tokens)
	}
	return decisions
}
