package load_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/load"
)

// lossyFleet is a deployment whose messages are lost, late or changed.
type lossyFleet struct {
	now        clock.Millis
	members    []*member
	collectors []*load.Collector
	// inFlight holds the requests of each member at each of four engines.
	inFlight [][4]int
	// late holds reports that arrive later than others of the same gateway.
	late [][]byte
}

// step does something that may happen, and fails only by a panic.
func (f *lossyFleet) step(t *rapid.T) {
	f.now += clock.Millis(rapid.IntRange(0, 300).Draw(t, "elapsed"))
	i, id := rapid.IntRange(0, len(f.members)-1).Draw(t, "member"), rapid.IntRange(0, 3).Draw(t, "engine")
	m, collector := f.members[i], f.collectors[rapid.IntRange(0, 1).Draw(t, "collector")]
	switch rapid.IntRange(0, 8).Draw(t, "step") {
	case 0, 1:
		m.tracker.Started(f.now, models, engine(id))
		f.inFlight[i][id]++
	case 2:
		if f.inFlight[i][id] > 0 {
			m.tracker.Ended(f.now, models, engine(id), load.Sample{FirstEvent: 50, LastEvent: 110, Events: 4})
			f.inFlight[i][id]--
		}
	case 3, 4:
		f.exchange(m, collector)
	case 5:
		f.late = append(f.late, m.client.Report(f.now))
	case 6:
		// The reply is lost.
		_, _ = collector.Exchange(f.now, m.client.Report(f.now))
	case 7:
		for _, report := range f.late {
			_, _ = collector.Exchange(f.now, report)
		}
		f.late = nil
	case 8:
		reply, err := collector.Exchange(f.now, m.client.Report(f.now))
		if err == nil && len(reply) > 0 {
			reply[rapid.IntRange(0, len(reply)-1).Draw(t, "at")] ^= rapid.Byte().Draw(t, "changed")
			reply = reply[:rapid.IntRange(0, len(reply)).Draw(t, "length")]
		}
		load.NewClient(9, m.tracker, load.NewMerged(m.tracker, nil)).AcceptAnything(f.now, reply)
	}
}

// exchange reports up to twice and returns whether the reply was taken.
func (f *lossyFleet) exchange(m *member, collector *load.Collector) bool {
	for range 2 {
		reply, err := collector.Exchange(f.now, m.client.Report(f.now))
		if err != nil {
			return false
		}
		again, err := m.client.Accept(f.now, f.now, reply)
		if err == nil && !again {
			return true
		}
	}
	return false
}

// TestLoss guards against a view that stays wrong after messages were lost, doubled, late
// or malformed, or gateways changed between collectors.
func TestLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &lossyFleet{
			members: newMembers(3), inFlight: make([][4]int, 3), now: clock.Second,
			collectors: []*load.Collector{load.NewCollector(10), load.NewCollector(20)},
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			f.step(t)
		}
		for range 2 {
			for _, m := range f.members {
				if !f.exchange(m, f.collectors[0]) {
					t.Fatal("an exchange without losses fails")
				}
			}
		}
		for i, m := range f.members {
			for id := range 4 {
				want := 0
				for j := range f.members {
					if j != i {
						want += f.inFlight[j][id]
					}
				}
				if got := m.view.Instance(f.now, engine(id)).InFlight; got != want {
					t.Fatalf("member %d counts %d requests of others at engine %d, not %d", i, got, id, want)
				}
			}
		}
	})
}

// FuzzExchange guards against a message that crashes a collector.
func FuzzExchange(f *testing.F) {
	m := newMember(1)
	m.answer(0, engine(1), 20)
	f.Add(m.client.Report(0))
	f.Add(load.FalseReport(2, engine(1), models))
	f.Fuzz(func(_ *testing.T, message []byte) {
		collector := load.NewCollector(1)
		for range 2 {
			_, _ = collector.Exchange(0, message)
		}
	})
}
