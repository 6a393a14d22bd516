package limit_test

import (
	"fmt"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// ExampleFleet simulates the limits of three entries in virtual time.
func ExampleFleet() {
	configs := map[spool.AccountID]limit.Config{"acme": {Rate: 10, Burst: 20, StaticShare: 0.1}}
	nodes := []spool.NodeID{"entry-a", "entry-b", "entry-c"}
	fleet := limit.NewFleet(0, nodes, configs, limit.DefaultTiming(), 1, 1500)
	meter := limit.NewMeter(0, configs["acme"])
	admitted := 0
	for now := clock.Millis(0); now < 10*clock.Second; now += 20 {
		for _, outcome := range fleet.Advance(now) {
			if outcome.Admitted {
				admitted++
				meter.Admitted(now, 1)
			}
		}
		id := fmt.Sprint(now)
		decision, _ := fleet.Submit(now, nodes[int(now)/20%3], "acme", id, limit.ClassCall)
		if decision.Admitted {
			admitted++
			meter.Admitted(now, 1)
		}
	}
	fmt.Println("at least 95 % of burst + rate*t:", admitted >= 114, "over:", meter.Excess())
	// Output: at least 95 % of burst + rate*t: true over: 0
}
