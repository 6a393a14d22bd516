package rollout_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/rollout"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// BenchmarkReport measures one report of a gateway, from its sums to the reply, with the
// encoding and decoding of the report, by the number of routes of the service.
func BenchmarkReport(b *testing.B) {
	for _, routes := range []int{1, 4, 16} {
		b.Run(fmt.Sprint(routes, "routes"), func(b *testing.B) { benchmarkReport(b, routes) })
	}
}

func benchmarkReport(b *testing.B, routes int) {
	record := &rollout.Record{Order: order.Offset, To: order.To, Phase: rollout.Trial, Charged: 20}
	controller := controllerOf(order, record, clock.Second)
	holder := rollout.NewHolder(50000, order, "g0", "i0", true)
	for i := range 1000 * routes {
		access := holder.Choose(50000, "r", true)
		holder.Ended(access, fmt.Sprint("r", i%routes), &rollout.Sample{First: clock.Millis(50 + i/routes%200), Pace: clock.Millis(20 + i/routes%40)})
	}
	controller.Tick(50000, rollout.Surroundings{Live: []spool.NodeID{"g0"}, Old: 3, New: 3})
	size, now := 0, clock.Millis(50000)
	for b.Loop() {
		now += rollout.AskInterval
		report := holder.Report(now)
		data, err := json.Marshal(report)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
		var received rollout.Report
		if err := json.Unmarshal(data, &received); err != nil {
			b.Fatal(err)
		}
		holder.Apply(now, report.Sequence, controller.Ask(now, received, true))
	}
	b.ReportMetric(float64(size), "bytes/report")
}
