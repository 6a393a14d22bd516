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

	server        *httpconn.Server
	readyServer   *readyServer
	endpointTable *endpoints.Table
	shared        *sharedState
	turns         *turnStore
	budgets       *budgetStore
	reserve       *reserveClient
	limits        *limiter
	loads         *serviceLoads
	health        *storeHealth
	store         *pathStore
	peerPicker    *peerPicker
	peerClients   *wire.Clients
	peerServer    *wire.Server

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
	maintenanceInterval = 2 * time.Second
	// totalsEvery is the number of rounds of upkeep between two lines with the
	// counters.
	roundsPerTotals = 5
	// leaveAfter is the time from the start of a stop to the end of accepting. The
	// balancer asks once a second and takes a process out after two misses.
	drainDuration = 3 * time.Second
	// lostStore is the time without the store after which a gateway is not ready. It
	// is well above one call that timed out.
	notReadyAfter = 1200 * clock.Millis(1)
	// stopMargin is kept between the end of the last request and SIGKILL.
	shutdownMargin = 300 * clock.Millis(1)
)

// New starts a gateway.
func New(settings spool.GatewaySettings, store spool.Store, codec Codec, client *httpconn.Client, system clock.Clock, t *telemetry.Telemetry) (gateway *Gateway, err error) {
	defer func() { err = errors.Wrap(err, "start gateway") }()
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{
		settings: settings, codec: codec, client: client, clock: system, telemetry: t, log: t.Logger("gateway"),
		endpointTable: endpoints.NewTable(settings.FailureDomain), cancel: cancel, peerPicker: newPeerPicker(system),
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
		g.shared.run(ctx)
	}()
	go func() {
		defer g.wg.Done()
		g.runMaintenance(ctx)
	}()
	return g, nil
}

// assemble makes the parts of the gateway and connects them.
func (g *Gateway) assemble(ctx context.Context, store spool.Store) {
	bootClock, incarnation := clock.Boot(), newIncarnation()
	g.peerClients = wire.NewClients(g.settings.Node, wire.WithSilentAfter(peerSilenceTimeout, peerPingInterval))
	g.store = newPathStore(store, g.health, g.callPeer, g.telemetry)
	g.loads = newServiceLoads(g.clock)
	g.turns = newTurnStore(ctx, g.store, g.clock, g.settings, g.queryTurns)
	owner := newPoolOwner(g.settings, incarnation, g.store, bootClock, g.queryAlive, g.telemetry.Logger("limits"))
	g.reserve = &reserveClient{ctx: ctx, owner: owner, call: g.callGateway, log: g.telemetry.Logger("reserve")}
	g.budgets = newBudgetStore(ctx, g.store, g.health, g.clock, g.settings, incarnation, g.requestSettle, g.reserve)
	owner.pollMembersEverywhere = func() { g.shared.pollMembersEverywhere() }
	members := newMemberTable(g.settings.Node, bootClock, owner, g.telemetry.Logger("members"))
	g.shared = newSharedState(g, g.store, incarnation, members, bootClock)
	stateAge := func() clock.Millis { return g.shared.age(bootClock.Now()) }
	g.limits = newLimiter(g.settings, owner, bootClock, stateAge, g.peerClients, g.telemetry)
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
	g.readyServer, err = newReadyServer(g.settings.ReadyListen, g.isReady, g.telemetry)
	if err != nil {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		g.server.Stop(ended)
		g.closePeers()
	}
	return err
}

// newLifetime returns a name for this process that no other one has.
func newIncarnation() string { return strings.ReplaceAll(uuid.NewString(), "-", "")[:16] }

// listenPeers answers the other gateways, where the settings name an address.
func (g *Gateway) listenPeers() (err error) {
	if g.settings.ControlListen == "" {
		return nil
	}
	handlers := wire.Mux{}
	maps.Copy(handlers, g.limits.manager.Handlers())
	maps.Copy(handlers, g.shared.relayHandlers())
	maps.Copy(handlers, g.store.handlers())
	maps.Copy(handlers, g.budgets.handlers())
	maps.Copy(handlers, g.reserve.handlers())
	maps.Copy(handlers, g.turns.handlers())
	g.peerServer, err = wire.Listen(g.settings.ControlListen, handlers, nil)
	return err
}

// callAt calls the gateway at an address.
func (g *Gateway) callGateway(ctx context.Context, address, method string, request, reply any) error {
	return g.peerClients.Call(ctx, address, method, request, reply, nil)
}

// askAlive asks the gateway at an address whether it runs.
func (g *Gateway) queryAlive(ctx context.Context, address string, request aliveRequest) (reply aliveReply, err error) {
	err = g.peerClients.Call(ctx, address, methodAlive, request, &reply, nil)
	return reply, err
}

// askSettle asks the gateway of a lifetime to give back what it holds of a program.
func (g *Gateway) requestSettle(ctx context.Context, incarnation string, id spool.ProgramID) error {
	address, ok := g.shared.members.addressOf(incarnation)
	switch {
	case !ok && g.shared.members.mayBeIncomplete():
		return errHolderUnknown
	case !ok:
		return errNoPeer
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout.Duration())
	defer cancel()
	return g.peerClients.Call(ctx, address, methodSettle, settleRequest{Program: id}, &struct{}{}, nil)
}

// askTurns asks other gateways for the line of a turn and returns the first answer
// that has it.
func (g *Gateway) queryTurns(ctx context.Context, turn string) [][]byte {
	addresses := g.shared.peerAddresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), maxQueriedPeers)]
	results := make(chan [][]byte, len(addresses))
	for _, address := range addresses {
		go func() {
			var reply turnsReply
			// A gateway that does not answer has nothing to offer.
			_ = g.peerClients.Call(ctx, address, methodTurns, turnsRequest{Turn: turn}, &reply, nil)
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
	address, ok := g.peerPicker.pick(g.shared.peerAddresses())
	if !ok {
		return errNoPeer
	}
	err := g.peerClients.Call(ctx, address, method, request, reply, nil)
	g.peerPicker.recordResult(address, err)
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
	lost := g.health.failingFor() > notReadyAfter
	g.server.SetLeaving(lost)
	return g.catalog.Load() != nil && !g.stopping.Load() && !lost
}

func (g *Gateway) runMaintenance(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
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
		g.limits.owner.expireReserve()
		g.client.Sweep()
		if round%roundsPerTotals == 0 {
			g.log.Info("totals", zap.Any("counters", totals(g.telemetry)))
		}
	}
}

// handOver tells the others that this gateway leaves and names one of them as the
// owner of the limits' pools.
func (g *Gateway) announceLeaving(ctx context.Context) {
	g.shared.leaving.Store(true)
	g.limits.owner.handOver(ctx, g.shared.members.candidates)
	if err := g.shared.writeMemberRecord(ctx); err != nil {
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
	ctx, cancel := context.WithTimeout(ctx, (g.settings.StopWithin - shutdownMargin).Duration())
	defer cancel()
	g.stopping.Store(true)
	g.server.Drain()
	handing, stopHanding := context.WithCancel(ctx)
	defer stopHanding()
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		g.announceLeaving(handing)
	}()
	clock.Pause(ctx, clock.FromDuration(drainDuration))
	g.server.Stop(ctx)
	stopHanding()
	g.budgets.flush(ctx)
	g.cancel()
	g.limits.manager.Close()
	g.wg.Wait()
	g.closePeers()
	return g.readyServer.stop()
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
	logStopError(g.log, "ready", g.readyServer.stop())
}

func (g *Gateway) closePeers() {
	g.peerClients.Close()
	if g.peerServer != nil {
		logStopError(g.log, "peers", g.peerServer.Close())
	}
}

// install takes a configuration in, unless a newer one is in force.
func (g *Gateway) install(next *catalog.Catalog) {
	known := g.catalog.Load()
	if known != nil && known.Version() >= next.Version() {
		return
	}
	g.catalog.Store(next)
	g.loads.retain(func(service spool.ServiceName) bool { return next.Service(service) != nil })
	limits := next.Limits()
	g.server.SetLimits(httpconn.Limits{
		MaxHeaderBytes: limits.MaxHeaderBytes, MaxBodyBytes: limits.MaxBodyBytes,
		HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
	})
	g.limits.configure(next.Accounts())
	g.log.Info("configuration in force", zap.Int64("version", next.Version()))
}
