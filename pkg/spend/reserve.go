package spend

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// reserveDivisor sets the reserve to a third of the budget, which the log does
	// not grant. This is affordable because callers set budgets well above the use
	// of their programs.
	reserveDivisor = 3
	// maxGeneration limits how often the reserve is halved; later generations grant
	// nothing.
	maxGeneration = 30
)

// Reserved returns the part of a budget that only a Reserve grants.
func Reserved(budget int64) int64 { return max(0, budget) / reserveDivisor }

// Granted returns the part of a budget that the log grants.
func Granted(budget int64) int64 { return max(0, budget) - Reserved(budget) }

// generationAllowance returns how much of a program's reserve one generation may
// grant. The sum over all generations is at most the reserve, so that losing a
// holder together with its state costs only the allowance of its generation.
func generationAllowance(budget int64, generation int) int64 {
	if generation < 0 || generation > maxGeneration {
		return 0
	}
	return Reserved(budget) >> (generation + 1)
}

// Reserve grants tokens of programs' budgets without the log, so that programs
// continue while the store is unavailable. In each generation, one process at a
// time holds the reserve. A successor that does not have the state of its
// predecessor starts the next generation. The lock of the holder protects a
// Reserve.
type Reserve struct {
	generation int
	programs   map[spool.ProgramID]reserveEntry
	// hasGranted is true if something has been granted in this generation.
	hasGranted bool
}

type reserveEntry struct {
	spent  int64
	lastAt clock.Millis
}

// NewReserve returns the reserve of a generation; spent holds the tokens that this
// generation has granted so far.
func NewReserve(now clock.Millis, generation int, spent map[spool.ProgramID]int64) *Reserve {
	r := &Reserve{generation: generation, programs: map[spool.ProgramID]reserveEntry{}, hasGranted: len(spent) > 0}
	for id, tokens := range spent {
		r.programs[id] = reserveEntry{spent: tokens, lastAt: now}
	}
	return r
}

// Generation returns the generation of the reserve.
func (r *Reserve) Generation() int { return r.generation }

// Take grants need tokens of a program's budget, or none.
func (r *Reserve) Take(now clock.Millis, id spool.ProgramID, need, budget int64) bool {
	entry := r.programs[id]
	if need <= 0 || entry.spent+need > generationAllowance(budget, r.generation) {
		return false
	}
	r.programs[id] = reserveEntry{spent: entry.spent + need, lastAt: now}
	r.hasGranted = true
	return true
}

// Unused reports whether nothing has been granted in this generation.
func (r *Reserve) Unused() bool { return !r.hasGranted }

// Return gives back tokens that were granted but not used.
func (r *Reserve) Return(now clock.Millis, id spool.ProgramID, tokens int64) {
	entry, ok := r.programs[id]
	if !ok || tokens <= 0 {
		return
	}
	r.programs[id] = reserveEntry{spent: max(0, entry.spent-tokens), lastAt: now}
}

// Spent returns the tokens granted to each program, for the next holder.
func (r *Reserve) Spent() map[spool.ProgramID]int64 {
	spent := make(map[spool.ProgramID]int64, len(r.programs))
	for id, entry := range r.programs {
		spent[id] = entry.spent
	}
	return spent
}

// Expire drops programs without a recent grant or return.
func (r *Reserve) Expire(now clock.Millis) {
	for id, entry := range r.programs {
		if now > entry.lastAt+programRetention {
			delete(r.programs, id)
		}
	}
}
