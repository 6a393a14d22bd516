// Package pause implements the policies for the engine memory of programs that are
// paused while their tools run. keep is the baseline, which leaves all eviction to
// the engine. export moves prefixes out of the cache while it is nearly full, those
// with the longest expected pauses first.
//
// Alternatives considered: Exporting every prefix at each pause frees the most
// memory but costs two transfers per turn. A time limit per pause needs one value
// that suits every tool. The engine itself evicts the least recently used prefix.
// That is the one with the longest pause so far, which need not be the one with the
// longest pause still to come.
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

// Forget does nothing.
func (keep) Forget(spool.ProgramID) {}

// Choose returns no decisions, so that every prefix is kept.
func (keep) Choose(clock.Millis, spool.MemoryView, []spool.PausedProgram) []spool.PauseDecision {
	return nil
}

const (
	// defaultHighShare is the used share of the cache above which prefixes are
	// exported. defaultLowShare is the used share that is left after the exports.
	// It is lower because load reports lag and the engine needs free space for
	// prefixes that arrive in the meantime.
	defaultHighShare = 0.85
	defaultLowShare  = 0.75
	// pauseSampleWeight is the weight of the latest pause in the moving averages of
	// pauses.
	pauseSampleWeight = 0.3
	// defaultPauseMs is the expected pause, in milliseconds, of a program while no
	// pause of the program or of its account is known.
	defaultPauseMs = 3000.0
	// minPauseInTransfers is the shortest expected remaining pause, as a multiple of
	// the transfer time, for which a prefix is exported.
	minPauseInTransfers = 4.0
	// Speeds of computing and of copying a prefix, in tokens per millisecond. The
	// defaults assume that an engine copies a prefix eight times as fast as it
	// computes one.
	defaultPrefillTokensPerMs  = 10.0
	defaultTransferTokensPerMs = 80.0
	// defaultSetupMs is the fixed part of the time of one transfer, in
	// milliseconds.
	defaultSetupMs = 10.0
)

// export is the policy that exports prefixes while the cache is nearly full. It
// exports the prefixes with the longest expected remaining pauses first. It exports
// a prefix only if the transfer takes less time than recomputing the prefix, and if
// the expected remaining pause is at least minPauseInTransfers transfer times.
type export struct {
	highShare, lowShare                              float64
	prefillTokensPerMs, transferTokensPerMs, setupMs float64
	// programPauseMs and accountPauseMs hold the moving averages of pauses in
	// milliseconds.
	programPauseMs map[spool.ProgramID]float64
	accountPauseMs map[spool.AccountID]float64
}

// newExport returns an export policy. It reads these options: pause.highShare, the
// used share of the cache above which prefixes are exported, and pause.lowShare,
// the share left after the exports; pause.prefillTokensPerMs and
// pause.transferTokensPerMs, the speeds of computing and of copying a prefix; and
// pause.setupMs, the fixed part of the transfer time.
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

// Forget drops the average of a program. The average of its account is kept.
func (p *export) Forget(program spool.ProgramID) { delete(p.programPauseMs, program) }

// expectedRemainingMs estimates the milliseconds until the next call of a paused
// program. A program that has been paused for t ms is assumed to stay paused for at
// least another t ms, because pauses vary widely.
func (p *export) expectedRemainingMs(now clock.Millis, paused spool.PausedProgram) float64 {
	expected, known := p.programPauseMs[paused.Program]
	if !known {
		expected, known = p.accountPauseMs[paused.Account]
	}
	if !known {
		expected = defaultPauseMs
	}
	elapsed := float64(now - paused.Since)
	return max(expected-elapsed, elapsed)
}

// Choose returns no decisions until the used share of the cache exceeds highShare.
// It then exports prefixes until the used share is down to lowShare, or no prefix
// is left that is worth a transfer.
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
