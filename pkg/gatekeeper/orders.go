package gatekeeper

import (
	"math/rand/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// firstRepeat and maxRepeat bound the wait before a command is repeated that
	// the engine's state does not show. Each repeat doubles it.
	firstRepeat = 1 * clock.Second
	maxRepeat   = 1 * clock.Minute
)

// Orders decides which commands bring an engine to the state that operators have
// ordered. A command that timed out may take effect at any later time, and an
// engine may ignore fencing numbers, so the decision rests on the engine's state
// alone: a command is repeated until the state shows it, and again when the
// state no longer does. It is not safe for concurrent use.
type Orders struct {
	random *rand.Rand
	fence  Fence
	// wanted are the orders in force by ascending fence.
	wanted []spool.EngineOrder
	// slot delays every load, so that endpoints that are ordered together do not
	// ask the weight store at the same time.
	slot clock.Millis
	// tries holds the state of each command that the engine does not show yet.
	tries map[string]*tries
}

// tries are the attempts at one order.
type tries struct {
	fence uint64
	count int
	// notBefore is when the next command may be sent.
	notBefore clock.Millis
}

// NewOrders returns a state without orders. seed feeds the jitter of repeats.
func NewOrders(seed uint64) *Orders {
	return &Orders{random: rand.New(rand.NewPCG(seed, 5)), tries: map[string]*tries{}}
}

// Set takes the orders in force, by ascending fence, and the delay of loads. It
// fails with a refusal with CodeFenced when later orders have been seen.
func (o *Orders) Set(orders []spool.EngineOrder, slot clock.Millis) error {
	if len(orders) > 0 {
		if err := o.fence.Check(orders[len(orders)-1].Fence); err != nil {
			return err
		}
	}
	o.wanted, o.slot = orders, slot
	return nil
}

// Len returns the number of orders in force.
func (o *Orders) Len() int { return len(o.wanted) }

// Next returns the next command for an engine in the given state, or false when
// none is due. Every command carries the highest fencing number in force: the
// orders of lower numbers are in force with it, and an engine that has seen the
// highest would refuse them under their own.
func (o *Orders) Next(now clock.Millis, state spool.EngineState) (command spool.EngineOrder, due bool) {
	for _, order := range o.wanted {
		subject := order.Subject()
		if state.Shows(order) {
			delete(o.tries, subject)
			continue
		}
		t := o.tries[subject]
		if t == nil || t.fence != order.Fence {
			t = &tries{fence: order.Fence, notBefore: now}
			if order.Kind == spool.OrderLoad {
				t.notBefore += o.slot
			}
			o.tries[subject] = t
		}
		if due || now < t.notBefore {
			continue
		}
		wait := min(maxRepeat, firstRepeat<<min(t.count, 8))
		t.notBefore = now + wait/2 + clock.Millis(o.random.Int64N(int64(wait)))
		t.count++
		command, due = order, true
		command.Fence = o.fence.highest
	}
	return command, due
}
