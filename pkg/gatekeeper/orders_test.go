package gatekeeper_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/gatekeeper"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	// orderLease is how long an agent may send commands after its last contact with
	// the control stream.
	orderLease = 5 * clock.Second
	// maxDelay is the longest time by which a command is delayed or an agent is
	// paused.
	maxDelay = 8 * clock.Second
)

// orderSimulation simulates an engine, the agent that sends it commands, the
// predecessor of that agent, and the orders that operators have published.
type orderSimulation struct {
	random *rand.Rand
	now    clock.Millis
	orders []spool.EngineOrder
	engine *standin.Engine
	agents []*orderAgent
	// delayed holds the commands that are in transit to the engine.
	delayed []delayedOrder
}

type orderAgent struct {
	orders        *gatekeeper.OrderReconciler
	lastContactAt clock.Millis
	// pausedUntil is when a paused process resumes and sends its pending command.
	pausedUntil clock.Millis
	// disconnectedUntil is when the agent can reach the control stream again.
	disconnectedUntil clock.Millis
	// pending is the command that the agent sends when its pause ends; nil for
	// none.
	pending *spool.EngineOrder
}

type delayedOrder struct {
	at    clock.Millis
	order spool.EngineOrder
}

// publish adds a random order with the given fencing number. It replaces an earlier
// order with the same subject.
func (w *orderSimulation) publish(fence int) {
	order := spool.EngineOrder{Fence: uint64(fence), Kind: spool.OrderRole, Role: fmt.Sprint("role", w.random.IntN(3))}
	if w.random.IntN(3) > 0 {
		order = spool.EngineOrder{
			Fence: uint64(fence), Kind: []spool.OrderKind{spool.OrderLoad, spool.OrderUnload}[w.random.IntN(2)],
			Model: spool.ModelName(fmt.Sprint("model", w.random.IntN(2))), Version: fmt.Sprint(w.random.IntN(3)),
		}
		if order.Kind == spool.OrderUnload {
			order.Version = ""
		}
	}
	w.orders = slices.DeleteFunc(slices.Clone(w.orders), func(o spool.EngineOrder) bool { return o.Subject() == order.Subject() })
	w.orders = append(w.orders, order)
}

// send executes a command at once or, in one of three cases with faults, delays it.
func (w *orderSimulation) send(order spool.EngineOrder, faults bool) {
	if faults && w.random.IntN(3) == 0 {
		w.delayed = append(w.delayed, delayedOrder{w.now + clock.Millis(w.random.Int64N(int64(maxDelay))), order})
		return
	}
	w.engine.ExecuteOrder(order)
}

func (w *orderSimulation) stepAgent(a *orderAgent, faults bool) {
	if w.now < a.pausedUntil {
		return
	}
	if a.pending != nil {
		w.send(*a.pending, faults)
		a.pending = nil
	}
	holdsLease := w.now-a.lastContactAt <= orderLease
	if w.now >= a.disconnectedUntil {
		_ = a.orders.Set(w.orders, 0)
		// This contact does not renew the lease for the current step. The view that
		// a real agent has of the engine is outdated right after a pause, so an
		// agent whose lease expired during the pause must not send a command in
		// this step.
		a.lastContactAt = w.now
	}
	if !holdsLease {
		return
	}
	command, due := a.orders.Next(w.now, w.engine.State())
	switch {
	case !due:
	case faults && w.random.IntN(5) == 0:
		a.pending = &command
		a.pausedUntil = w.now + clock.Millis(w.random.Int64N(int64(maxDelay)))
	default:
		w.send(command, faults)
	}
	if faults && w.random.IntN(20) == 0 {
		a.disconnectedUntil = w.now + clock.Millis(w.random.Int64N(int64(2*maxDelay)))
	}
}

// step advances the time by 250 ms, executes the delayed commands that are due and
// steps all agents. With faults, the engine may also restart.
func (w *orderSimulation) step(faults bool) {
	w.now += 250
	due := w.delayed
	w.delayed = nil
	for _, delayed := range due {
		if delayed.at <= w.now {
			w.engine.ExecuteOrder(delayed.order)
		} else {
			w.delayed = append(w.delayed, delayed)
		}
	}
	for _, agent := range w.agents {
		w.stepAgent(agent, faults)
	}
	if faults && w.random.IntN(100) == 0 {
		w.engine.Restart()
	}
}

// TestOrdersReachTheEngine guards against an engine that ends in another state than
// the orders demand. Possible causes are a command that is executed late, a
// replaced agent that resumes after a pause, a restart of the engine, and an engine
// that refuses commands that are still needed.
func TestOrdersReachTheEngine(t *testing.T) {
	for seed := range uint64(400) {
		settings := standin.DefaultEngineSettings()
		settings.HonoursFence = seed%2 == 0
		w := &orderSimulation{random: rand.New(rand.NewPCG(seed, 1)), engine: standin.NewEngine(settings, seed)}
		// agents[0] replaces agents[1]. For half of the seeds, agents[1] stays
		// disconnected from the control stream to the end of the run.
		for i := range uint64(2) {
			w.agents = append(w.agents, &orderAgent{orders: gatekeeper.NewOrderReconciler(seed + i)})
		}
		for fence := 1; fence <= 240; fence++ {
			if w.random.IntN(12) == 0 {
				w.publish(fence)
			}
			w.step(true)
		}
		if seed/2%2 == 0 {
			w.agents[1].disconnectedUntil = clock.Hour
		}
		// Without faults, 480 steps are 120 s. The delay of a repeat can reach 90
		// s.
		for range 480 {
			w.step(false)
		}
		for _, order := range w.orders {
			if !w.engine.State().Reflects(order) {
				t.Fatalf("seed %d: engine state is %+v, orders are %+v", seed, w.engine.State(), w.orders)
			}
		}
	}
}

var _ = ginkgo.Describe("Load orders", func() {
	// Guards against all engines reading from the weight store at the same time
	// because they have got the same order.
	ginkgo.It("stay within the rate limit of the weight store when many engines get the same order", func() {
		const engines, perSecond = 200, 10
		refused, tokens := 0, float64(perSecond)
		states := make([]spool.EngineState, engines)
		var agents []*gatekeeper.OrderReconciler
		order := spool.EngineOrder{Fence: 7, Kind: spool.OrderLoad, Model: "fog", Version: "2"}
		for i := range engines {
			orders := gatekeeper.NewOrderReconciler(uint64(i))
			gomega.Expect(orders.Set([]spool.EngineOrder{order}, clock.Millis(i)*clock.Second/perSecond)).To(gomega.Succeed())
			agents = append(agents, orders)
		}
		for now := clock.Millis(0); now < 30*clock.Second; now += 100 {
			tokens = min(perSecond, tokens+perSecond*0.1)
			for i, orders := range agents {
				if _, due := orders.Next(now, states[i]); !due {
					continue
				}
				if tokens < 1 {
					refused++
					continue
				}
				tokens--
				states[i].Loaded = []spool.LoadedModel{{Model: "fog", Version: "2"}}
			}
		}
		gomega.Expect(refused).To(gomega.BeZero())
		for _, state := range states {
			gomega.Expect(state.Reflects(order)).To(gomega.BeTrue())
		}
	})
})
