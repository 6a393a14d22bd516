package standin

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// State returns the loaded models and the role that orders have set. A restart of the
// engine clears both.
func (e *Engine) State() spool.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.copyState()
}

func (e *Engine) copyState() spool.EngineState {
	return spool.EngineState{Loaded: slices.Clone(e.state.Loaded), Role: e.state.Role}
}

// handleOrder executes an order after the configured delay. Status 412 means that its
// fencing number is outdated.
func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var order spool.EngineOrder
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	time.Sleep(e.countOrder().Duration())
	if !e.ExecuteOrder(order) {
		ctx.Error("fencing number is old", fasthttp.StatusPreconditionFailed)
	}
}

// countOrder counts a received order and returns the delay until it takes effect.
func (e *Engine) countOrder() clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.OrdersReceived++
	return e.settings.OrderDelayMs
}

// ExecuteOrder executes an operator's order, which loads or unloads a model or sets the
// role. It reports false, and does nothing, when the engine honours fencing numbers and
// has executed an order with a higher number since its last restart.
func (e *Engine) ExecuteOrder(order spool.EngineOrder) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.HonoursFence && order.Fence < e.fence {
		return false
	}
	e.fence = max(e.fence, order.Fence)
	e.stats.Orders = append(e.stats.Orders, order)
	if order.Kind == spool.OrderRole {
		e.state.Role = order.Role
		return true
	}
	e.state.Loaded = slices.DeleteFunc(e.state.Loaded, func(one spool.LoadedModel) bool {
		return one.Model == order.Model && one.Adapter == order.Adapter
	})
	if order.Kind == spool.OrderLoad {
		e.state.Loaded = append(e.state.Loaded, spool.LoadedModel{Model: order.Model, Adapter: order.Adapter, Version: order.Version})
	}
	return true
}
