package spend

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// reserveDivisor is the budget divided by the reserve, the part that the log
	// does not grant. A third of the budget is affordable because callers set
	// budgets well above the use of their programs.
	reserveDivisor = 3
	// maxGeneration is the last generation that may grant anything. Each generation
	// may grant half as much as the one before it.
	maxGeneration = 30
)

// Reserved returns the part of a budget, in tokens, that only a Reserve grants.
func Reserved(budget int64) int64 { return max(0, budget) / reserveDivisor }

// Granted returns the part of a budget, in tokens, that the log grants.
func Granted(budget int64) int64 { return max(0, budget) - Reserved(budget) }

// generationAllowance returns how many tokens of a program's reserve one generation
// may grant: half of the reserve in generation 0, a quarter in generation 1, and so
// on. The sum over all generations is at most the reserve. If a holder is lost
// together with its state, its successor cannot know what it granted, and therefore
// does without the allowance of that generation.
func generationAllowance(budget int64, generation int) int64 {
	if generation < 0 || generation > maxGeneration {
		return 0
	}
	return Reserved(budget) >> (generation + 1)
}

// Reserve grants tokens of programs' budgets without the log, so that programs
// continue while the store is unavailable. At most one process at a time, the
// holder, uses the reserve. The next holder continues the same generation if it has
// the Spent of its predecessor; otherwise it starts the next generation. A Reserve
// is not safe for concurrent use.
type Reserve struct {
	generation int
	programs   map[spool.ProgramID]reserveEntry
	// hasGranted is true if a token has been granted in this generation, even if it
	// was returned.
	hasGranted bool
}

// reserveEntry is the state of one program: the tokens granted in this generation
// less the returned ones, and the time of the last grant or return.
type reserveEntry struct {
	spent  int64
	lastAt clock.Millis
}

// NewReserve returns the reserve of a generation. spent is the Spent of the
// previous holder in this generation; empty for a new generation.
func NewReserve(now clock.Millis, generation int, spent map[spool.ProgramID]int64) *Reserve {
	r := &Reserve{generation: generation, programs: map[spool.ProgramID]reserveEntry{}, hasGranted: len(spent) > 0}
	for id, tokens := range spent {
		r.programs[id] = reserveEntry{spent: tokens, lastAt: now}
	}
	return r
}

// Generation returns the generation of the reserve.
func (r *Reserve) Generation() int { return r.generation }

// Take grants need tokens of a program's budget and returns true. It grants nothing
// and returns false if need is not positive or exceeds the rest of the generation's
// allowance.
func (r *Reserve) Take(now clock.Millis, id spool.ProgramID, need, budget int64) bool {
	entry := r.programs[id]
	if need <= 0 || entry.spent+need > generationAllowance(budget, r.generation) {
		return false
	}
	r.programs[id] = reserveEntry{spent: entry.spent + need, lastAt: now}
	r.hasGranted = true
	return true
}

// Unused reports whether no token has been granted in this generation. A token that
// was granted and returned makes it false.
func (r *Reserve) Unused() bool { return !r.hasGranted }

// Return adds tokens that were granted but not used back to the reserve of a
// program.
func (r *Reserve) Return(now clock.Millis, id spool.ProgramID, tokens int64) {
	entry, ok := r.programs[id]
	if !ok || tokens <= 0 {
		return
	}
	r.programs[id] = reserveEntry{spent: max(0, entry.spent-tokens), lastAt: now}
}

// Spent returns, for each program, the tokens granted in this generation less the
// returned ones. The next holder passes it to NewReserve.
func (r *Reserve) Spent() map[spool.ProgramID]int64 {
	spent := make(map[spool.ProgramID]int64, len(r.programs))
	for id, entry := range r.programs {
		spent[id] = entry.spent
	}
	return spent
}

// Expire removes the programs whose last grant or return was more than
// programRetention ago.
func (r *Reserve) Expire(now clock.Millis) {
	for id, entry := range r.programs {
		if now > entry.lastAt+programRetention {
			delete(r.programs, id)
		}
	}
}
