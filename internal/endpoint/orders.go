package endpoint

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// loadInterval spaces out the loads of endpoints that are ordered together,
	// since the weight store limits its rate.
	modelLoadInterval = 100 * clock.Millis(1)
	// maxDecisionAge is the age of the engine's state beyond which it is read
	// again before a command is sent: the process may have been paused.
	maxStateAge = 500 * clock.Millis(1)
)

// SetOrders takes the operators' orders in force, by ascending fence, and the
// number of endpoints that load before this one. It fails with a refusal with
// CodeFenced when later orders have been seen.
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
		a.telemetry.Refused(spool.CodeFenced)
		return err
	}
	select {
	case a.ordersChanged <- struct{}{}:
	default:
	}
	return nil
}

// obey keeps the engine in the state that operators ordered until the agent
// stops. It has a goroutine of its own, because an engine may answer late.
func (a *Agent) reconcileOrders() {
	ticker := time.NewTicker(a.config.LoadEvery.Duration())
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

// command reads the engine's state and sends the next command. It reports false
// when none was due or the engine did not answer.
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
		a.telemetry.Event("engineStateFailed")
		return false
	}
	a.ordersMu.Lock()
	order, due := a.orders.Next(a.clock.Now(), state)
	a.ordersMu.Unlock()
	if !due {
		return false
	}
	if !a.receivesOrders() || a.clock.Now()-requestedAt > maxStateAge {
		a.telemetry.Event("engineOrderHeld")
		return false
	}
	a.telemetry.Event("engineOrder")
	return a.sendOrder(order) == nil
}

func (a *Agent) sendOrder(order spool.EngineOrder) (err error) {
	ctx, cancel := context.WithTimeout(a.ctx, a.config.PollTimeout.Duration())
	defer cancel()
	if err = a.engine.Order(ctx, order); err != nil {
		a.telemetry.Event("engineOrderFailed")
		a.log.Warn("order failed and will be repeated", zap.Uint64("fence", order.Fence), zap.Error(err))
	}
	return err
}
