// Package gateway is the process that callers of a deployment talk to: it finds
// the route and the client account of a request, keeps the account's limits and
// the programs' budgets, sends the request to an endpoint, and keeps the turns of
// programs in the store. It speaks to the platform through spool.Store and
// spool.Codec.
package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/httpconn"
	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/catalog"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Codec is the translation that a gateway needs.
type Codec interface {
	spool.Codec
	catalog.Decoder
}

// Gateway is one process. It is safe for concurrent use.
type Gateway struct {
	settings  spool.GatewaySettings
	codec     Codec
	client    *httpconn.Client
	clock     clock.Clock
	telemetry *telemetry.Telemetry
	log       *zap.Logger

	server  *httpconn.Server
	ready   *readyServer
	table   *endpoints.Table
	state   *sharedState
	turns   *turnStore
	budgets *budgetStore
	reserve *reserveClient
	limits  *limiter
	loads   *serviceLoads
	health  *storeHealth
	store   *pathStore
	choice  *peerChoice
	clients *wire.Clients
	peers   *wire.Server

	// catalog is the newest configuration; nil until one is known. Its version
	// never decreases.
	catalog  atomic.Pointer[catalog.Catalog]
	seeds    atomic.Pointer[[]string]
	stopping atomic.Bool

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

const (
	// upkeepInterval is for dropping what has expired.
	upkeepInterval = 2 * time.Second
	// totalsEvery is the number of rounds of upkeep between two lines with the
	// counters.
	totalsEvery = 5
	// leaveAfter is the time from the start of a stop to the end of accepting. The
	// balancer asks once a second and takes a process out after two misses.
	leaveAfter = 3 * time.Second
	// lostStore is the time without the store after which a gateway is not ready. It
	// is well above one call that timed out.
	lostStore = 1200 * clock.Millis(1)
	// stopMargin is kept between the end of the last request and SIGKILL.
	stopMargin = 300 * clock.Millis(1)
)

// New starts a gateway.
func New(settings spool.GatewaySettings, store spool.Store, codec Codec, client *httpconn.Client, system clock.Clock, t *telemetry.Telemetry) (gateway *Gateway, err error) {
	defer func() { err = errors.Wrap(err, "start gateway") }()
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{
		settings: settings, codec: codec, client: client, clock: system, telemetry: t, log: t.Logger("gateway"),
		table: endpoints.NewTable(settings.FailureDomain), cancel: cancel, choice: newPeerChoice(system),
		health: newStoreHealth(system, t.Logger("store")),
	}
	g.SetSeeds(settings.Seeds)
	g.assemble(ctx, store)
	if err := g.listen(); err != nil {
		cancel()
		return nil, err
	}
	g.wg.Add(2)
	go func() {
		defer g.wg.Done()
		g.state.run(ctx)
	}()
	go func() {
		defer g.wg.Done()
		g.upkeep(ctx)
	}()
	return g, nil
}

// assemble makes the parts of the gateway and connects them.
func (g *Gateway) assemble(ctx context.Context, store spool.Store) {
	boot, lifetime := clock.Boot(), newLifetime()
	g.clients = wire.NewClients(g.settings.Node, wire.WithSilentAfter(silentPeer, pingPeer))
	g.store = newPathStore(store, g.health, g.callPeer, g.telemetry)
	g.loads = newServiceLoads(g.clock)
	g.turns = newTurnStore(ctx, g.store, g.clock, g.settings, g.askTurns)
	owner := newPoolOwner(g.settings, lifetime, g.store, boot, g.askAlive, g.telemetry.Logger("limits"))
	g.reserve = &reserveClient{ctx: ctx, owner: owner, call: g.callAt, log: g.telemetry.Logger("reserve")}
	g.budgets = newBudgetStore(ctx, g.store, g.health, g.clock, g.settings, lifetime, g.askSettle, g.reserve)
	owner.nudge = func() { g.state.nudgeAll() }
	members := newMemberBook(g.settings.Node, boot, owner, g.telemetry.Logger("members"))
	g.state = newSharedState(g, g.store, lifetime, members, boot)
	freshFor := func() clock.Millis { return g.state.freshFor(boot.Now()) }
	g.limits = newLimiter(g.settings, owner, boot, freshFor, g.clients, g.telemetry)
}

// listen opens the addresses of other gateways, of callers and of the balancer.
func (g *Gateway) listen() (err error) {
	if err := g.listenPeers(); err != nil {
		return err
	}
	if g.server, err = httpconn.NewServer(g.settings.Listen, g.handle); err != nil {
		g.closePeers()
		return err
	}
	g.ready, err = newReadyServer(g.settings.ReadyListen, g.isReady, g.telemetry)
	if err != nil {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		g.server.Stop(ended)
		g.closePeers()
	}
	return err
}

// newLifetime returns a name for this process that no other one has.
func newLifetime() string { return strings.ReplaceAll(uuid.NewString(), "-", "")[:16] }

// listenPeers answers the other gateways, where the settings name an address.
func (g *Gateway) listenPeers() (err error) {
	if g.settings.ControlListen == "" {
		return nil
	}
	handlers := wire.Mux{}
	maps.Copy(handlers, g.limits.manager.Handlers())
	maps.Copy(handlers, g.state.relayHandlers())
	maps.Copy(handlers, g.store.handlers())
	maps.Copy(handlers, g.budgets.handlers())
	maps.Copy(handlers, g.reserve.handlers())
	maps.Copy(handlers, g.turns.handlers())
	g.peers, err = wire.Listen(g.settings.ControlListen, handlers, nil)
	return err
}

// callAt calls the gateway at an address.
func (g *Gateway) callAt(ctx context.Context, address, method string, request, reply any) error {
	return g.clients.Call(ctx, address, method, request, reply, nil)
}

// askAlive asks the gateway at an address whether it runs.
func (g *Gateway) askAlive(ctx context.Context, address string, request aliveRequest) (reply aliveReply, err error) {
	err = g.clients.Call(ctx, address, methodAlive, request, &reply, nil)
	return reply, err
}

// askSettle asks the gateway of a lifetime to give back what it holds of a program.
func (g *Gateway) askSettle(ctx context.Context, lifetime string, id spool.ProgramID) error {
	address, ok := g.state.members.addressOf(lifetime)
	switch {
	case !ok && g.state.members.settling():
		return errHolderUnknown
	case !ok:
		return errNoPeer
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout.Duration())
	defer cancel()
	return g.clients.Call(ctx, address, methodSettle, settleRequest{Program: id}, &struct{}{}, nil)
}

// askTurns asks other gateways for the line of a turn and returns the first answer
// that has it.
func (g *Gateway) askTurns(ctx context.Context, turn string) [][]byte {
	addresses := g.state.peerAddresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), maxAsked)]
	results := make(chan [][]byte, len(addresses))
	for _, address := range addresses {
		go func() {
			var reply turnsReply
			// A gateway that does not answer has nothing to offer.
			_ = g.clients.Call(ctx, address, methodTurns, turnsRequest{Turn: turn}, &reply, nil)
			results <- reply.Records
		}()
	}
	for range addresses {
		if records := <-results; len(records) > 0 {
			return records
		}
	}
	return nil
}

// callPeer calls another gateway, one that helped before where there is one.
func (g *Gateway) callPeer(ctx context.Context, method string, request, reply any) error {
	address, ok := g.choice.pick(g.state.peerAddresses())
	if !ok {
		return errNoPeer
	}
	err := g.clients.Call(ctx, address, method, request, reply, nil)
	g.choice.note(address, err)
	return err
}

// SetSeeds replaces the addresses that are asked while no other gateway is known.
func (g *Gateway) SetSeeds(seeds []string) { g.seeds.Store(&seeds) }

// Address returns the address that requests are taken at.
func (g *Gateway) Address() string { return g.server.Address() }

// isReady reports whether the balancer is to send new connections here. A gateway
// that reaches the store neither itself nor by way of another one leaves them to
// those that do.
func (g *Gateway) isReady() bool {
	lost := g.health.lostFor() > lostStore
	g.server.SetLeaving(lost)
	return g.catalog.Load() != nil && !g.stopping.Load() && !lost
}

func (g *Gateway) upkeep(ctx context.Context) {
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	for round := 1; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := g.clock.Now()
		g.turns.index.Expire(now)
		g.budgets.expire(now)
		g.limits.owner.expire()
		g.client.Sweep()
		if round%totalsEvery == 0 {
			g.log.Info("totals", zap.Any("counters", totals(g.telemetry)))
		}
	}
}

// handOver tells the others that this gateway leaves and names one of them as the
// owner of the limits' pools.
func (g *Gateway) handOver(ctx context.Context) {
	g.state.leaving.Store(true)
	g.limits.owner.handOver(ctx, g.state.members.candidates)
	if err := g.state.write(ctx); err != nil {
		g.log.Warn("leaving was not written", zap.Error(err))
	}
}

// totals returns the counters by kind and label.
func totals(t *telemetry.Telemetry) map[string]int64 {
	counters := map[string]int64{}
	for series, count := range t.Totals() {
		counters[series.Kind+"."+series.Label] = count
	}
	return counters
}

// Shutdown stops being ready at once, goes on serving until the balancer has noticed,
// and then waits for the requests in flight.
func (g *Gateway) Shutdown(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "stop gateway") }()
	ctx, cancel := context.WithTimeout(ctx, (g.settings.StopWithin - stopMargin).Duration())
	defer cancel()
	g.stopping.Store(true)
	g.server.Drain()
	handing, stopHanding := context.WithCancel(ctx)
	defer stopHanding()
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		g.handOver(handing)
	}()
	clock.Pause(ctx, clock.FromDuration(leaveAfter))
	g.server.Stop(ctx)
	stopHanding()
	g.budgets.flush(ctx)
	g.cancel()
	g.limits.manager.Close()
	g.wg.Wait()
	g.closePeers()
	return g.ready.stop()
}

// Kill ends the gateway without letting requests finish or giving anything back.
func (g *Gateway) Kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.stopping.Store(true)
	g.cancel()
	g.server.Stop(ctx)
	g.limits.manager.Close()
	g.wg.Wait()
	g.closePeers()
	logStop(g.log, "ready", g.ready.stop())
}

func (g *Gateway) closePeers() {
	g.clients.Close()
	if g.peers != nil {
		logStop(g.log, "peers", g.peers.Close())
	}
}

// install takes a configuration in, unless a newer one is in force.
func (g *Gateway) install(next *catalog.Catalog) {
	known := g.catalog.Load()
	if known != nil && known.Version() >= next.Version() {
		return
	}
	g.catalog.Store(next)
	g.loads.keep(func(service spool.ServiceName) bool { return next.Service(service) != nil })
	limits := next.Limits()
	g.server.SetLimits(httpconn.Limits{
		MaxHeaderBytes: limits.MaxHeaderBytes, MaxBodyBytes: limits.MaxBodyBytes,
		HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
	})
	g.limits.configure(next.Accounts())
	g.log.Info("configuration in force", zap.Int64("version", next.Version()))
}
