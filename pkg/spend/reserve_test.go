package spend_test

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spend"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// TestReserveHolds guards against grants of the log and of all holders of the
// reserve that together exceed the budget. The reserve is handed over with and
// without its state, and tokens are returned, sometimes without effect because the
// message is lost.
func TestReserveHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const program = spool.ProgramID("p")
		turnTokens := rapid.Int64Range(1, 300).Draw(t, "most")
		budget := rapid.Int64Range(0, 40*turnTokens).Draw(t, "budget")
		ledger := spend.NewLedger()
		now, generation, grantCount := clock.Millis(0), 0, 0
		holder := spend.NewReserve(now, generation, nil)
		var logged, reserved, returnable int64
		t.Repeat(map[string]func(*rapid.T){
			"log": func(*rapid.T) {
				grantCount++
				logged += applyTurnGrant(ledger, grantCount, turnTokens, spend.Granted(budget))
			},
			"take": func(t *rapid.T) {
				need := rapid.Int64Range(0, turnTokens).Draw(t, "need")
				granted := holder.Take(now, program, need, turnTokens, budget)
				if granted != 0 && (granted < need || granted > turnTokens) {
					t.Fatalf("the reserve granted %d tokens, at least %d and at most %d were requested", granted, need, turnTokens)
				}
				reserved += granted
				returnable += granted
			},
			"return": func(t *rapid.T) {
				unused := rapid.Int64Range(0, min(returnable, turnTokens)).Draw(t, "unused")
				returnable -= unused
				reserved -= unused
				if rapid.Bool().Draw(t, "arrives") {
					holder.Return(now, program, unused)
				}
			},
			"hand over": func(*rapid.T) {
				holder = spend.NewReserve(now, holder.Generation(), holder.Spent())
			},
			"lose": func(*rapid.T) {
				generation++
				holder = spend.NewReserve(now, generation, nil)
				returnable = 0
			},
			"": func(t *rapid.T) {
				if logged+reserved > budget {
					t.Fatalf("the log granted %d tokens and the reserve %d, the budget is %d", logged, reserved, budget)
				}
			},
		})
	})
}

// applyTurnGrant applies a request for the tokens of one turn and returns the size
// of the grant.
func applyTurnGrant(ledger *spend.Ledger, number int, turnTokens, budget int64) int64 {
	grant := string(rune('a' + number))
	ledger.Await(grant)
	defer ledger.CancelAwait(grant)
	ledger.Apply(0, ledger.NextOffset(), [][]byte{encodeRequest(grant, turnTokens, turnTokens, budget)})
	tokens, _ := ledger.Granted(grant)
	return tokens
}

// TestReserveLeavesEnough guards against a reserve so large that the log refuses
// turns of a program whose budget is 25/16 of its use, the usual margin.
func TestReserveLeavesEnough(t *testing.T) {
	const turnTokens = 288
	for turns := int64(1); turns < 60; turns++ {
		budget := turns * turnTokens * 25 / 16
		if got := spend.Granted(budget); got < turns*turnTokens {
			t.Errorf("the log grants %d of %d tokens, %d turns may need %d", got, budget, turns, turns*turnTokens)
		}
	}
}

// TestReserveServesPrograms plays the load "programs begin while the store is away": each
// program has up to nine turns, a budget of 25/16 of the most that these may generate, and
// turns that generate about a fifth of their limit, as on ndar-spool. It guards
// against a reserve that refuses most of them because it charges each turn its limit, and
// that serves them only until the first holder is lost. The target is 0.7 of the programs.
func TestReserveServesPrograms(t *testing.T) {
	for _, generation := range []int{0, 1} {
		random := rand.New(rand.NewPCG(1, 2))
		const programs = 2000
		served := 0
		for range programs {
			if servesProgram(spend.NewReserve(0, generation, nil), random) {
				served++
			}
		}
		if got := float64(served) / programs; got < 0.7 {
			t.Errorf("generation %d of the reserve serves %.2f of the programs, want 0.7", generation, got)
		}
	}
}

// servesProgram reports whether a reserve grants all tokens that the turns of a random
// program generate.
func servesProgram(reserve *spend.Reserve, random *rand.Rand) bool {
	const (
		eventTokens, maxEvents = 12, 24
		maxTokens              = eventTokens * maxEvents
		lastEventProbability   = 0.2
	)
	turns := 1 + random.Int64N(9)
	budget := turns * maxTokens * 25 / 16
	for range turns {
		granted := reserve.Take(0, "p", spend.FirstNeed(maxTokens), maxTokens, budget)
		if granted == 0 {
			return false
		}
		used := int64(eventTokens)
		for used < maxTokens && random.Float64() > lastEventProbability {
			used += eventTokens
		}
		for granted < used {
			more := reserve.Take(0, "p", used-granted, maxTokens-granted, budget)
			if more == 0 {
				return false
			}
			granted += more
		}
		reserve.Return(0, "p", granted-used)
	}
	return true
}

// reserveState is what the holders of one program's reserve know, and what its turns hold.
type reserveState struct {
	// spent is the state of the holder of each generation. A holder that was taken for lost
	// may have been paused, and goes on.
	spent [3]int64
	// granted is the number of tokens that turns used or may still use, of which returnable
	// are not used yet.
	granted, returnable int64
}

// TestReserveHoldsExhaustively visits every state that two lost holders, grants of all sizes
// and returned tokens can reach with a small budget, in any order. Returned tokens arrive at
// any holder, also at one that did not grant them, or are lost on the way. It guards against
// an order of events in which the holders together grant more than the reserve.
func TestReserveHoldsExhaustively(t *testing.T) {
	const (
		budget    = int64(25)
		maxTokens = int64(4)
	)
	seen := map[reserveState]bool{}
	pending := []reserveState{{}}
	for len(pending) > 0 {
		state := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if seen[state] {
			continue
		}
		seen[state] = true
		if state.granted > spend.Reserved(budget) {
			t.Fatalf("%+v: the reserve of a budget of %d is %d", state, budget, spend.Reserved(budget))
		}
		pending = append(pending, nextReserveStates(state, budget, maxTokens)...)
	}
	t.Logf("%d states", len(seen))
}

// nextReserveStates returns the states that one event leads to.
func nextReserveStates(state reserveState, budget, maxTokens int64) (next []reserveState) {
	for generation := range state.spent {
		holder := func() *spend.Reserve {
			return spend.NewReserve(0, generation, map[spool.ProgramID]int64{"p": state.spent[generation]})
		}
		for need := int64(1); need <= maxTokens; need++ {
			for want := need; want <= maxTokens; want++ {
				reserve, after := holder(), state
				granted := reserve.Take(0, "p", need, want, budget)
				after.granted, after.returnable = state.granted+granted, state.returnable+granted
				after.spent[generation] = reserve.Spent()["p"]
				next = append(next, after)
			}
		}
		for unused := int64(1); unused <= state.returnable; unused++ {
			reserve, after := holder(), state
			reserve.Return(0, "p", unused)
			after.granted, after.returnable = state.granted-unused, state.returnable-unused
			next = append(next, after) // The message is lost.
			after.spent[generation] = reserve.Spent()["p"]
			next = append(next, after)
		}
	}
	if state.returnable > 0 {
		used := state
		used.returnable--
		next = append(next, used)
	}
	return next
}
