package spend

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// reserveShare is the divisor of the part of a budget that is not granted by the
	// log. Callers set budgets well above what their programs use.
	reserveShare = 3
	// maxGeneration bounds the halvings of the reserve; a later generation has none.
	maxGeneration = 30
)

// Reserved returns the part of a budget that only a Reserve grants.
func Reserved(budget int64) int64 { return max(0, budget) / reserveShare }

// Granted returns the part of a budget that the log grants.
func Granted(budget int64) int64 { return max(0, budget) - Reserved(budget) }

// allowance is what one generation may grant of a program's reserve. The sum over
// all generations is at most the reserve, so that a holder that is lost with what it
// knew costs its own part and no more.
func allowance(budget int64, generation int) int64 {
	if generation < 0 || generation > maxGeneration {
		return 0
	}
	return Reserved(budget) >> (generation + 1)
}

// Reserve grants tokens of programs' budgets without the log, so that programs go on
// while the store is away. One process holds it in each generation; a process that
// follows without what the one before knew begins the next generation. It is used
// under its holder's lock.
type Reserve struct {
	generation int
	programs   map[spool.ProgramID]reserved
	// used says that something was granted in this generation.
	used bool
}

type reserved struct {
	spent int64
	last  clock.Millis
}

// NewReserve returns the reserve of a generation, with what was spent of it before.
func NewReserve(now clock.Millis, generation int, spent map[spool.ProgramID]int64) *Reserve {
	r := &Reserve{generation: generation, programs: map[spool.ProgramID]reserved{}, used: len(spent) > 0}
	for id, tokens := range spent {
		r.programs[id] = reserved{spent: tokens, last: now}
	}
	return r
}

// Generation returns the generation of the reserve.
func (r *Reserve) Generation() int { return r.generation }

// Take grants need tokens of a program's budget, or none.
func (r *Reserve) Take(now clock.Millis, id spool.ProgramID, need, budget int64) bool {
	entry := r.programs[id]
	if need <= 0 || entry.spent+need > allowance(budget, r.generation) {
		return false
	}
	r.programs[id] = reserved{spent: entry.spent + need, last: now}
	r.used = true
	return true
}

// Unused reports whether nothing was granted in this generation.
func (r *Reserve) Unused() bool { return !r.used }

// Return takes tokens back that were granted and not used.
func (r *Reserve) Return(now clock.Millis, id spool.ProgramID, tokens int64) {
	entry, ok := r.programs[id]
	if !ok || tokens <= 0 {
		return
	}
	r.programs[id] = reserved{spent: max(0, entry.spent-tokens), last: now}
}

// Spent returns what was granted of each program, for the next holder.
func (r *Reserve) Spent() map[spool.ProgramID]int64 {
	spent := make(map[spool.ProgramID]int64, len(r.programs))
	for id, entry := range r.programs {
		spent[id] = entry.spent
	}
	return spent
}

// Expire forgets programs without a recent grant.
func (r *Reserve) Expire(now clock.Millis) {
	for id, entry := range r.programs {
		if now > entry.last+programMemory {
			delete(r.programs, id)
		}
	}
}
