package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/rollout"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// model is a rollout with two gateways in which single events happen in any order.
type model struct {
	now        clock.Millis
	order      rollout.Order
	controller *rollout.Controller
	stored     *rollout.Record
	holders    [2]*rollout.Holder
	// delayed holds, by gateway, a report that the controller has not got yet, and a reply
	// that has not arrived.
	reports [2]*rollout.Report
	replies [2]func()
	// held is the number of requests at old endpoints, by gateway.
	held [2]int
	// sent and answered count the requests to the new version by grants, and all answers.
	sent, answered int
}

func newModel(previous *rollout.Record) *model {
	m := &model{now: 100000, order: order, stored: previous}
	for i := range m.holders {
		m.holders[i] = rollout.NewHolder(m.now, order, spool.NodeID(fmt.Sprint("g", i)), fmt.Sprint("i", i), true)
	}
	m.takeOver()
	m.tick(true, true)
	return m
}

func (m *model) takeOver() {
	m.controller = rollout.NewController(m.now, rollout.NewConfig(settings), m.order, m.stored, 0, 0)
}

// tick decides. The store keeps the record if it is kept, and says so if it is confirmed.
func (m *model) tick(kept, confirmed bool) {
	next := m.controller.Tick(m.now, rollout.Surroundings{Live: []spool.NodeID{"g0", "g1"}, Old: 1, New: 1})
	if next == nil {
		return
	}
	if kept {
		m.stored = next
	}
	if confirmed {
		m.controller.Written(m.now, *next)
	}
}

func (m *model) ask(i int, report rollout.Report, sentAt clock.Millis) func() {
	reply := m.controller.Ask(m.now, report, true)
	return func() { m.holders[i].Apply(sentAt, report.Sequence, reply) }
}

// send sends requests of a gateway. Those to the new version are answered at once, and so
// are half of the others.
func (m *model) send(i int) string {
	for n := range 6 {
		access := m.holders[i].Choose(m.now, "a", true)
		switch access {
		case rollout.AccessNone:
			continue
		case rollout.AccessGranted:
			m.sent++
		case rollout.AccessOld:
			if m.stored != nil && m.stored.Phase == rollout.Completed {
				return "request to an old endpoint after the completion"
			}
			if n%2 == 0 {
				m.held[i]++
				continue
			}
		case rollout.AccessNew:
		}
		m.answered++
		m.holders[i].Ended(access, "a", &rollout.Sample{First: 50, Pace: -1})
	}
	return ""
}

const actions = 17

// do performs an action and returns the invariant that it violates, if any.
func (m *model) do(action int) string {
	i := action % 2
	switch action {
	case 0, 1:
		m.ask(i, m.holders[i].Report(m.now), m.now)()
	case 2, 3: // The report is on its way.
		report := m.holders[i].Report(m.now)
		m.reports[i] = &report
	case 4, 5: // The report arrives, and its reply is on its way.
		if m.reports[i] != nil {
			m.replies[i] = m.ask(i, *m.reports[i], m.now)
		}
	case 6, 7:
		if m.replies[i] != nil {
			m.replies[i]()
		}
	case 8, 9:
		if problem := m.send(i); problem != "" {
			return problem
		}
	case 10, 11: // Old endpoints answer.
		for ; m.held[i] > 0; m.held[i]-- {
			m.answered++
			m.holders[i].Ended(rollout.AccessOld, "a", &rollout.Sample{First: 50, Pace: -1})
		}
	case 12:
		m.tick(true, true)
	case 13:
		m.tick(true, false)
	case 14:
		m.tick(false, false)
	case 15:
		m.takeOver()
	case 16: // Time passes while all gateways are paused, or only their reports fail.
		m.now += 1600
	}
	return m.check()
}

func (m *model) check() string {
	if bound := settings.ExposeShare*float64(m.answered) + float64(settings.ExposeSlack); float64(m.sent) > bound {
		return fmt.Sprintf("%d requests to the new version, %g are allowed", m.sent, bound)
	}
	if m.stored.Phase == rollout.Completed && m.held[0]+m.held[1] > 0 {
		return "requests at old endpoints at the completion"
	}
	return ""
}

// starts are the states from which events happen: a trial, one whose grants are nearly used
// up, and a shift.
var starts = map[string]*rollout.Record{
	"trial":        nil,
	"trial at end": {Order: 7, To: "v2", Duration: 20 * clock.Second, Phase: rollout.Trial, Charged: 36},
	"shift":        {Order: 7, To: "v2", Duration: 20 * clock.Second, Phase: rollout.Shifting, Charged: 36},
}

// TestBoundsHoldExhaustively performs every sequence of up to five events of two gateways,
// the controller and the store. It guards against orders of lost grants, delayed messages,
// pauses, changes of the controller and faults of the store in which more requests are sent
// than granted, or a rollout is completed while old endpoints have requests.
func TestBoundsHoldExhaustively(t *testing.T) {
	const depth = 5
	for name, start := range starts {
		sequences := 1
		for range depth {
			sequences *= actions
		}
		for sequence := range sequences {
			if first := sequence % actions; first < 12 && first%2 == 1 {
				continue // The gateways are equal at the start.
			}
			m := newModel(start)
			for rest, step := sequence, 0; step < depth; rest, step = rest/actions, step+1 {
				if problem := m.do(rest % actions); problem != "" {
					t.Fatalf("%s, sequence %d, step %d: %s", name, sequence, step, problem)
				}
			}
		}
	}
}

// TestBoundsHoldInLongSequences performs random sequences of the same events, long enough
// for completions. It guards against the same faults.
func TestBoundsHoldInLongSequences(t *testing.T) {
	random := rand.New(rand.NewPCG(11, 12))
	phases := map[rollout.Phase]int{}
	for name, start := range starts {
		for run := range 8000 {
			m := newModel(start)
			for step := range 80 {
				if problem := m.do(random.IntN(actions)); problem != "" {
					t.Fatalf("%s, run %d, step %d: %s", name, run, step, problem)
				}
			}
			phases[m.stored.Phase]++
		}
	}
	if phases[rollout.Completed] == 0 || phases[rollout.RolledBack] == 0 {
		t.Errorf("phases at the end are %v, want each", phases)
	}
	t.Log(phases)
}
