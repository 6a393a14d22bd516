package spend_test

import (
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
			"take": func(*rapid.T) {
				if holder.Take(now, program, turnTokens, budget) {
					reserved += turnTokens
					returnable += turnTokens
				}
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
