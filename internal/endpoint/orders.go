package endpoint

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// modelLoadInterval is the time between the starts of two model loads when one
	// order applies to several endpoints. The store of model weights limits its
	// rate, so the endpoints must not all load at the same time.
	modelLoadInterval = 100 * clock.Millis(1)
	// maxStateAge is the maximum age of the engine state on which an order to the
	// engine is based. The state is older if the engine answered slowly or if the
	// process was paused after requesting it. The order is then not sent, and the
	// state is read again after at most LoadInterval.
	maxStateAge = 500 * clock.Millis(1)
)

// SetOrders replaces the operators' orders that are in force. orders must be sorted
// by ascending fencing number. endpointsLoadingBefore is the number of endpoints
// that load a model before this one; it delays the first attempt of each load order
// by modelLoadInterval per endpoint. SetOrders changes nothing and returns a refusal
// with CodeFenced when the agent has already accepted a higher fencing number.
func (a *Agent) SetOrders(orders []spool.EngineOrder, endpointsLoadingBefore int) error {
	if a.engine == nil {
		if len(orders) > 0 {
			return ErrNoEngine
		}
		return nil
	}
	a.ordersMu.Lock()
	err := a.orders.Set(orders, modelLoadInterval*clock.Millis(endpointsLoadingBefore))
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
// and keeps it there, until the agent stops. It checks the state every LoadInterval
// and after each SetOrders. It runs in its own goroutine, because an engine may take
// up to PollTimeout to answer.
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

// sendNextOrder reads the engine's state and sends the next order that is due. It
// returns true if the engine has accepted an order. It returns false if no order is
// due, the engine failed, the state is older than maxStateAge, or receivesOrders
// returns false.
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
