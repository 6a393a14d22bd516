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
	// reserveGenerations is the number of generations that may grant anything. Each of
	// them grants an equal part of the reserve. The programs that begin after all
	// gateways were killed once are thus served like those before.
	reserveGenerations = 2
	// firstPart is the part of the tokens that a turn may generate without which it
	// does not begin on the reserve, as a divisor.
	firstPart = 4
)

// FirstNeed returns how many tokens of the reserve a turn needs to begin that generates
// at most maxGenerated tokens. Most turns generate less than a quarter of their limit. A
// turn that generates more requests the missing tokens while it runs.
func FirstNeed(maxGenerated int64) int64 { return (maxGenerated + firstPart - 1) / firstPart }

// Reserved returns the part of a budget, in tokens, that only a Reserve grants.
func Reserved(budget int64) int64 { return max(0, budget) / reserveDivisor }

// Granted returns the part of a budget, in tokens, that the log grants.
func Granted(budget int64) int64 { return max(0, budget) - Reserved(budget) }

// generationAllowance returns how many tokens of a program's reserve one generation
// may grant: an equal part in each of the first reserveGenerations, and nothing after
// them. If a holder is lost together with its state, its successor cannot know what it
// granted, and therefore does without the allowance of that generation.
func generationAllowance(budget int64, generation int) int64 {
	if generation < 0 || generation >= reserveGenerations {
		return 0
	}
	return Reserved(budget) / reserveGenerations
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

// Take grants tokens of a program's budget and returns how many: at least need, and up
// to want while these are at most half of what is left, so that other turns of the program
// get theirs. It grants nothing if need is not positive or exceeds the rest of the
// generation's allowance.
func (r *Reserve) Take(now clock.Millis, id spool.ProgramID, need, want, budget int64) (granted int64) {
	entry := r.programs[id]
	left := generationAllowance(budget, r.generation) - entry.spent
	if need <= 0 || need > left {
		return 0
	}
	granted = max(need, min(want, left/2))
	r.programs[id] = reserveEntry{spent: entry.spent + granted, lastAt: now}
	r.hasGranted = true
	return granted
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
