package gatekeeper

import (
	"math/rand/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// minRepeatDelay and maxRepeatDelay bound the base delay before a command is
	// repeated because the engine's state does not show its effect. The base delay
	// starts at the minimum and doubles with each repeat. The actual delay is
	// random, between half and one and a half times the base delay.
	minRepeatDelay = 1 * clock.Second
	maxRepeatDelay = 1 * clock.Minute
)

// OrderReconciler brings the state of an engine in line with the orders of the
// operators. A command that timed out may still take effect at any later time, and
// an engine may ignore fencing numbers. OrderReconciler therefore decides from the
// engine's state alone: it repeats a command until the state shows its effect, and
// sends it again if the state later no longer shows it. It is not safe for
// concurrent use.
type OrderReconciler struct {
	random *rand.Rand
	fence  Fence
	// inForce holds the orders in force by ascending fencing number.
	inForce []spool.EngineOrder
	// loadDelay delays the first command of every load order, so that endpoints
	// with the same order do not read from the weight store at the same time.
	loadDelay clock.Millis
	// attempts holds, by subject, the orders whose effect the engine's state does
	// not show yet.
	attempts map[string]*orderAttempts
}

// orderAttempts counts the commands sent for the order with fencing number fence.
type orderAttempts struct {
	fence uint64
	count int
	// notBefore is the earliest time of the next command.
	notBefore clock.Millis
}

// NewOrderReconciler returns a reconciler without orders. seed seeds the random
// delays of repeats.
func NewOrderReconciler(seed uint64) *OrderReconciler {
	return &OrderReconciler{random: rand.New(rand.NewPCG(seed, 5)), attempts: map[string]*orderAttempts{}}
}

// Set replaces the orders in force, which must be sorted by ascending fencing
// number, and the delay of load orders. If the highest number is below one that Set
// has accepted before, it changes nothing and returns a refusal with CodeFenced.
func (o *OrderReconciler) Set(orders []spool.EngineOrder, loadDelay clock.Millis) error {
	if len(orders) > 0 {
		if err := o.fence.Check(orders[len(orders)-1].Fence); err != nil {
			return err
		}
	}
	o.inForce, o.loadDelay = orders, loadDelay
	return nil
}

// Len returns the number of orders in force.
func (o *OrderReconciler) Len() int { return len(o.inForce) }

// Next returns the next command for an engine in the given state, or false if none
// is due. It counts the command as sent. Every command carries the highest fencing
// number that Set has accepted. Orders with lower numbers are still in force, but
// an engine that has seen the highest number would refuse them under their own
// numbers.
func (o *OrderReconciler) Next(now clock.Millis, state spool.EngineState) (command spool.EngineOrder, due bool) {
	for _, order := range o.inForce {
		subject := order.Subject()
		if state.Reflects(order) {
			delete(o.attempts, subject)
			continue
		}
		attempts := o.attempts[subject]
		if attempts == nil || attempts.fence != order.Fence {
			attempts = &orderAttempts{fence: order.Fence, notBefore: now}
			if order.Kind == spool.OrderLoad {
				attempts.notBefore += o.loadDelay
			}
			o.attempts[subject] = attempts
		}
		if due || now < attempts.notBefore {
			continue
		}
		wait := min(maxRepeatDelay, minRepeatDelay<<min(attempts.count, 8))
		attempts.notBefore = now + wait/2 + clock.Millis(o.random.Int64N(int64(wait)))
		attempts.count++
		command, due = order, true
		command.Fence = o.fence.highest
	}
	return command, due
}
