package spend_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spend"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// TestReserveHolds passes the reserve on with and without what was spent, loses returns
// and repeats grants. What all holders and the log grant never exceeds the budget.
func TestReserveHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const program = spool.ProgramID("p")
		most := rapid.Int64Range(1, 300).Draw(t, "most")
		budget := rapid.Int64Range(0, 40*most).Draw(t, "budget")
		ledger := spend.NewLedger()
		now, generation, number := clock.Millis(0), 0, 0
		holder := spend.NewReserve(now, generation, nil)
		var logged, reserved, back int64
		t.Repeat(map[string]func(*rapid.T){
			"log": func(*rapid.T) {
				number++
				logged += grantOne(ledger, number, most, spend.Granted(budget))
			},
			"take": func(*rapid.T) {
				if holder.Take(now, program, most, budget) {
					reserved += most
					back += most
				}
			},
			"return": func(t *rapid.T) {
				unused := rapid.Int64Range(0, min(back, most)).Draw(t, "unused")
				back -= unused
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
				back = 0
			},
			"": func(t *rapid.T) {
				if logged+reserved > budget {
					t.Fatalf("%d tokens are granted by the log and %d of the reserve, the budget is %d", logged, reserved, budget)
				}
			},
		})
	})
}

// grantOne appends the request of a grant for one turn and returns what it got.
func grantOne(ledger *spend.Ledger, number int, most, budget int64) int64 {
	grant := string(rune('a' + number))
	ledger.Await(grant)
	defer ledger.Forget(grant)
	ledger.Apply(0, ledger.Next(), [][]byte{request(grant, most, most, budget)})
	tokens, _ := ledger.Granted(grant)
	return tokens
}

// TestReserveLeavesEnough guards against a reserve that keeps turns from programs whose
// budgets hold them with the usual margin.
func TestReserveLeavesEnough(t *testing.T) {
	const most = 288
	for turns := int64(1); turns < 60; turns++ {
		budget := turns * most * 25 / 16
		if got := spend.Granted(budget); got < turns*most {
			t.Errorf("the log grants %d of %d tokens, %d turns may need %d", got, budget, turns, turns*most)
		}
	}
}
