package endpoint

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// modelLoadInterval staggers the model loads of endpoints that are ordered
	// at the same time, because the store of model weights limits its rate.
	modelLoadInterval = 100 * clock.Millis(1)
	// maxStateAge is the maximum age of the engine state on which a command is
	// based. The process may have been paused between reading the state and
	// sending the command; the state is then read again.
	maxStateAge = 500 * clock.Millis(1)
)

// SetOrders replaces the operators' orders that are in force. orders are sorted
// by ascending fencing number; loadsAhead is the number of endpoints that load
// before this one. SetOrders returns a refusal with CodeFenced when the agent
// has already seen later orders.
func (a *Agent) SetOrders(orders []spool.EngineOrder, loadsAhead int) error {
	if a.engine == nil {
		if len(orders) > 0 {
			return ErrNoEngine
		}
		return nil
	}
	a.ordersMu.Lock()
	err := a.orders.Set(orders, modelLoadInterval*clock.Millis(loadsAhead))
	a.ordersMu.Unlock()
	if err != nil {
		a.telemetry.CountRefusal(spool.CodeFenced)
		return err
	}
	select {
	case a.ordersChanged <- struct{}{}:
	default:
	}
	return nil
}

// reconcileOrders brings the engine to the state that operators have ordered,
// and keeps it there, until the agent stops. It runs in a goroutine of its own,
// because an engine may take long to answer.
func (a *Agent) reconcileOrders() {
	ticker := time.NewTicker(a.config.LoadInterval.Duration())
	defer ticker.Stop()
	for {
		for a.sendNextOrder() {
		}
		select {
		case <-a.ctx.Done():
			return
		case <-ticker.C:
		case <-a.ordersChanged:
		}
	}
}

// sendNextOrder reads the engine's state and sends the next order. It returns
// false when no order was due or could be sent now, or when the engine did not
// answer or failed.
func (a *Agent) sendNextOrder() bool {
	ctx, cancel := a.pollContext()
	defer cancel()
	a.ordersMu.Lock()
	noOrders := a.orders.Len() == 0
	a.ordersMu.Unlock()
	if noOrders {
		return false
	}
	requestedAt := a.clock.Now()
	state, err := a.engine.State(ctx)
	if err != nil {
		a.telemetry.CountEvent("engineStateFailed")
		return false
	}
	a.ordersMu.Lock()
	order, due := a.orders.Next(a.clock.Now(), state)
	a.ordersMu.Unlock()
	if !due {
		return false
	}
	if !a.receivesOrders() || a.clock.Now()-requestedAt > maxStateAge {
		a.telemetry.CountEvent("engineOrderHeld")
		return false
	}
	a.telemetry.CountEvent("engineOrder")
	return a.sendOrder(order) == nil
}

func (a *Agent) sendOrder(order spool.EngineOrder) (err error) {
	ctx, cancel := context.WithTimeout(a.ctx, a.config.PollTimeout.Duration())
	defer cancel()
	if err = a.engine.Order(ctx, order); err != nil {
		a.telemetry.CountEvent("engineOrderFailed")
		a.log.Warn("engine order failed and will be retried", zap.Uint64("fence", order.Fence), zap.Error(err))
	}
	return err
}
