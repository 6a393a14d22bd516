// Package gateway implements the process that callers of a deployment connect to. A
// gateway finds the route and the client account of a request, enforces the account's
// limits and the programs' token budgets, sends the request to an endpoint, and stores
// the turns of programs. It accesses the platform through spool.Store and spool.Codec.
package gateway

import (
	"context"
	"maps"
	"net/http"
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
	"github.com/baobabspool/baobabspool/pkg/admission"
	"github.com/baobabspool/baobabspool/pkg/buffers"
	"github.com/baobabspool/baobabspool/pkg/catalog"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/endpoints"
	"github.com/baobabspool/baobabspool/pkg/homes"
	"github.com/baobabspool/baobabspool/pkg/load"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Codec converts requests, answers and records between the formats of the platform and
// the types of this program.
type Codec interface {
	spool.Codec
	catalog.Decoder
}

// Gateway is one gateway process. It is safe for concurrent use.
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
	engineLoads   *engineLoads
	// rollouts is nil if rollouts are off.
	rollouts    *rolloutTable
	health      *storeHealth
	store       *pathStore
	peerPicker  *peerPicker
	peerClients *wire.Clients
	// homes assigns partitions to gateways. lookupClients holds the connections to them.
	// Every gateway calls every other one there, but rarely, so that the connections are
	// closed soon: an idle one costs heartbeats.
	homes         *homes.Table
	lookupClients *wire.Clients
	peerServer    *wire.Server
	// loadTracker records the requests at endpoints and the starts of programs, and loadView
	// adds what other gateways have recorded. Both stay empty unless
	// GatewaySettings.Balancing is enabled. loadClients holds the connections to collectors.
	loadTracker  *load.Tracker
	loadView     load.View
	loadNews     <-chan struct{}
	loadExchange *loadExchange
	loadClients  *wire.Clients

	// catalog is the configuration in force; nil until one has been read. Its version
	// never decreases.
	catalog atomic.Pointer[catalog.Catalog]
	// startup is closed, by endStartup, when the first configuration is in force and the
	// endpoints have been read, and at the latest startupWait after the start. Requests
	// wait for it.
	startup       chan struct{}
	endStartup    func()
	endpointsRead atomic.Bool
	// seeds holds the control addresses that are used while no other gateway is known.
	// stopping is set when a shutdown starts.
	seeds    atomic.Pointer[[]string]
	stopping atomic.Bool
	// refusing is set when a shutdown no longer takes requests. requestsEnd ends, by
	// endRequests, shortly before the end of a shutdown; requests that still run end then.
	refusing    atomic.Bool
	requestsEnd context.Context
	endRequests context.CancelFunc

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

const (
	// startupWait bounds how long a request waits for the first configuration and the
	// endpoints. They are read some 0.1 s after the listeners are open; a refused caller
	// comes back later.
	startupWait = 300 * clock.Millis(1)
	// maintenanceInterval is the time between two maintenance rounds, which remove
	// expired state.
	maintenanceInterval = 2 * time.Second
	// roundsPerTotals is the number of maintenance rounds after which a log line with
	// all counters is written.
	roundsPerTotals = 5
	// maxDrainDuration is the time for which a gateway still accepts requests after its
	// shutdown has started. The balancer checks readiness once a second and removes a
	// process after two failed checks, so this time is sufficient. drainShare bounds it to
	// a share of GatewaySettings.StopWithin, so that the last requests can end.
	maxDrainDuration = 3 * clock.Second
	drainShare       = 0.4
	// notReadyAfter is how long all calls to the store must have failed before a
	// gateway is not ready. It is well above the duration of one call that times out.
	notReadyAfter = 1200 * clock.Millis(1)
	// lookupIdleTimeout is the time without a call after which a connection of
	// lookupClients is closed. It is not less than the timeout of a call.
	lookupIdleTimeout = clock.Second
	// shutdownMargin is the part of GatewaySettings.StopWithin that a shutdown does not
	// use, so that the process ends before SIGKILL.
	shutdownMargin = 300 * clock.Millis(1)
	// answerMargin is the time before the end of a shutdown at which the requests that
	// still run are answered without a result.
	answerMargin = 200 * clock.Millis(1)
)

// New starts a gateway. It returns when the listeners are open; the gateway is not
// ready until it has read a configuration.
func New(settings spool.GatewaySettings, store spool.Store, codec Codec, client *httpconn.Client, systemClock clock.Clock, t *telemetry.Telemetry) (gateway *Gateway, err error) {
	defer func() { err = errors.Wrap(err, "start gateway") }()
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{
		settings: settings, codec: codec, client: client, clock: systemClock, telemetry: t, log: t.Logger("gateway"),
		cancel: cancel, peerPicker: newPeerPicker(systemClock), health: newStoreHealth(systemClock, t.Logger("store")),
	}
	g.loadTracker, g.loadNews = newLoadTracker()
	view := load.NewMerged(g.loadTracker, func(service spool.ServiceName) int { return g.endpointTable.Slots(service) })
	g.loadView = view
	g.endpointTable = newEndpointTable(settings, view, t, g.loadTracker)
	g.requestsEnd, g.endRequests = context.WithCancel(context.Background())
	g.startup = make(chan struct{})
	g.endStartup = sync.OnceFunc(func() { close(g.startup) })
	time.AfterFunc(startupWait.Duration(), g.endStartup)
	g.SetSeeds(settings.Seeds)
	g.assemble(ctx, store, view)
	if err := g.listen(); err != nil {
		cancel()
		return nil, err
	}
	g.wg.Add(3)
	go func() {
		defer g.wg.Done()
		g.rollouts.run(ctx)
	}()
	if settings.Balancing.Enabled {
		g.wg.Go(func() { g.loadExchange.run(ctx) })
	}
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

// assemble creates the components of the gateway and connects them.
func (g *Gateway) assemble(ctx context.Context, store spool.Store, view *load.Merged) {
	bootClock, incarnation := clock.Boot(), newIncarnation()
	g.peerClients = wire.NewClients(g.settings.Node, wire.WithHeartbeat(peerSilenceTimeout, peerPingInterval))
	g.store = newPathStore(store, g.health, g.callPeer, g.telemetry)
	g.loads = newServiceLoads(g.clock)
	g.engineLoads = newEngineLoads(g.settings.Balancing, g.clock, g.loadView, g.telemetry.Logger("admission"),
		admission.WithSlackUrgency(g.settings.Balancing.SlackUrgency))
	g.homes = homes.NewTable(g.clock)
	g.lookupClients = wire.NewClients(g.settings.Node, wire.WithHeartbeat(peerSilenceTimeout, peerPingInterval), wire.WithClientIdleTimeout(lookupIdleTimeout))
	homeClient := newHomeClient(g.homes, g.callHome, g.clock, g.telemetry.Logger("homes"))
	g.turns = newTurnStore(ctx, g.store, g.clock, g.settings, g.telemetry, homeClient, g.queryTurns)
	ownership := newPoolOwnership(g.settings, incarnation, g.store, bootClock, g.queryAlive, g.telemetry.Logger("limits"))
	g.reserve = &reserveClient{ctx: ctx, poolOwnership: ownership, call: g.callGateway, log: g.telemetry.Logger("reserve")}
	grants := newGrantLog(ctx, g.store, g.clock, g.settings, homeClient)
	g.budgets = newBudgetStore(ctx, grants, g.health, g.clock, incarnation, g.requestGrantReturn, g.reserve)
	ownership.pollMembersEverywhere = func() { g.shared.pollMembersEverywhere() }
	lateness := newLatenessMonitor(bootClock)
	members := newMemberTable(g.settings, lateness.isLate, bootClock, ownership, g.homes, g.telemetry.Logger("members"))
	g.shared = newSharedState(g, g.store, incarnation, members, lateness, bootClock)
	stateAge := func() clock.Millis { return g.shared.age(bootClock.Now()) }
	if g.settings.Rollout.Enabled {
		g.rollouts = &rolloutTable{
			settings: g.settings, incarnation: incarnation, bootClock: bootClock, clock: g.clock, poolOwnership: ownership,
			endpoints: g.endpointTable, store: g.store, codec: g.codec, telemetry: g.telemetry, log: g.telemetry.Logger("rollout"),
			call: g.callGateway, liveMembers: func() []spool.NodeID { return members.seenWithin(memberLiveTimeout) },
			pollMembers: func() { ownership.pollMembers() }, onReported: g.updateStartup, services: map[spool.ServiceName]*serviceRollout{},
		}
		members.rollouts, members.onConfirmed = g.rollouts, g.updateStartup
	}
	g.limits = newLimiter(g.settings, ownership, bootClock, stateAge, g.peerClients, g.telemetry)
	g.loadClients = wire.NewClients(g.settings.Node, wire.WithHeartbeat(loadSilenceTimeout, loadPingInterval), wire.WithClientIdleTimeout(loadIdleTimeout))
	g.loadExchange = newLoadExchange(g, view, bootClock)
}

// listen opens the listeners for other gateways, for callers and for the balancer.
func (g *Gateway) listen() (err error) {
	if err := g.listenPeers(); err != nil {
		return err
	}
	pool := buffers.New(newMemoryShares(g.settings.MemoryMB).bufferBytes())
	g.server, err = httpconn.NewServer(g.settings.Listen, g.handle, httpconn.WithBuffers(pool), httpconn.WithRejected(g.countRejected))
	if err != nil {
		g.closePeers()
		return err
	}
	g.readyServer, err = newReadyServer(g.settings.ReadyListen, g.isReady, g.telemetry)
	if err != nil {
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		g.server.Stop(cancelled)
		g.closePeers()
	}
	return err
}

// countRejected counts a request that the server has rejected.
func (g *Gateway) countRejected(status int) {
	reason := reasonBadRequest
	if status == http.StatusServiceUnavailable {
		reason = reasonBuffersFull
	}
	g.telemetry.CountRefusal(reason)
}

// newIncarnation returns a random name of 16 hexadecimal digits for this run of the
// process.
func newIncarnation() string { return strings.ReplaceAll(uuid.NewString(), "-", "")[:16] }

// listenPeers opens the listener for other gateways. It does nothing if the settings
// contain no control address.
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
	maps.Copy(handlers, g.loadExchange.handlers())
	maps.Copy(handlers, g.rollouts.handlers())
	maps.Copy(handlers, g.whereHandlers())
	g.peerServer, err = wire.Listen(g.settings.ControlListen, handlers, nil, wire.WithAcceptError(func(err error) {
		g.log.Warn("connection of another gateway was not accepted", zap.Error(err))
	}))
	return err
}

// callGateway calls the gateway at an address.
func (g *Gateway) callGateway(ctx context.Context, address, method string, request, reply any) error {
	return g.peerClients.Call(ctx, address, method, request, reply, nil)
}

// callHome calls the gateway at an address about a partition of which it is the home.
func (g *Gateway) callHome(ctx context.Context, address, method string, request, reply any) error {
	return g.lookupClients.Call(ctx, address, method, request, reply, nil)
}

// callCollector calls the gateway at an address that collects load reports.
func (g *Gateway) callCollector(ctx context.Context, address, method string, request, reply any) error {
	return g.loadClients.Call(ctx, address, method, request, reply, nil)
}

// queryAlive sends a methodAlive request to the gateway at an address.
func (g *Gateway) queryAlive(ctx context.Context, address string, request aliveRequest) (reply aliveReply, err error) {
	err = g.peerClients.Call(ctx, address, methodAlive, request, &reply, nil)
	return reply, err
}

// requestGrantReturn asks the gateway with the given incarnation to return its unused
// grants of a program. It fails like memberTable.addressOf if no address is known.
func (g *Gateway) requestGrantReturn(ctx context.Context, incarnation string, id spool.ProgramID) error {
	address, err := g.shared.members.addressOf(incarnation)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout.Duration())
	defer cancel()
	return g.peerClients.Call(ctx, address, methodReturnGrants, grantReturnRequest{Program: id}, &struct{}{}, nil)
}

// callPeer calls one other gateway, preferably the one that last answered. It fails
// with errNoPeer if no address is known.
func (g *Gateway) callPeer(ctx context.Context, method string, request, reply any) error {
	address, ok := g.peerPicker.pick(g.shared.peerAddresses())
	if !ok {
		return errNoPeer
	}
	err := g.peerClients.Call(ctx, address, method, request, reply, nil)
	g.peerPicker.recordResult(address, err)
	return err
}

// SetSeeds replaces the control addresses that are used while no other gateway is
// known.
func (g *Gateway) SetSeeds(seeds []string) { g.seeds.Store(&seeds) }

// Address returns the address on which the gateway accepts requests of callers.
func (g *Gateway) Address() string { return g.server.Address() }

// isReady reports whether the balancer should send new connections to this gateway: it
// has a configuration and the phases of rollouts, is not shutting down, and has not been
// without contact to the store, directly or through another gateway, for longer than
// notReadyAfter. While it has been without contact for longer, isReady also makes the
// server close callers' connections after each answer, so that the callers reconnect to
// other gateways.
func (g *Gateway) isReady() bool {
	storeLost := g.health.failingFor() > notReadyAfter
	g.server.SetCloseConnections(storeLost)
	return g.catalog.Load() != nil && !g.stopping.Load() && !storeLost && g.rollouts.isReady()
}

// runMaintenance removes expired state every maintenanceInterval until ctx ends.
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
		g.limits.poolOwnership.expireReserve()
		g.client.CloseExpired()
		if round%roundsPerTotals == 0 {
			g.logSpillShares()
			g.log.Info("totals", zap.Any("counters", totals(g.telemetry)))
		}
	}
}

// announceLeaving hands the ownership of the limit pools over to another gateway if
// this one has it, and writes a member record that says that this gateway is shutting
// down.
func (g *Gateway) announceLeaving(ctx context.Context) {
	g.shared.leaving.Store(true)
	g.limits.poolOwnership.handOver(ctx, g.shared.members.successors)
	if err := g.shared.writeMemberRecord(ctx); err != nil {
		g.log.Warn("member record that announces the shutdown was not written", zap.Error(err))
	}
}

// totals returns the counters, by kind and label.
func totals(t *telemetry.Telemetry) map[string]int64 {
	counters := map[string]int64{}
	for series, count := range t.Totals() {
		counters[series.Kind+"."+series.Label] = count
	}
	return counters
}

// Shutdown stops the gateway within GatewaySettings.StopWithin. The gateway is not
// ready from the start, accepts requests for another drainDuration, and then waits for
// the requests in flight. Requests that last longer are answered without a result.
// Afterwards it returns the idle budget grants.
func (g *Gateway) Shutdown(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "stop gateway") }()
	stopTime := g.settings.StopWithin - shutdownMargin
	ctx, cancel := context.WithTimeout(ctx, stopTime.Duration())
	defer cancel()
	endTimer := time.AfterFunc((stopTime - answerMargin).Duration(), g.endRequests)
	defer endTimer.Stop()
	g.stopping.Store(true)
	g.server.Drain()
	handoverCtx, cancelHandover := context.WithCancel(ctx)
	defer cancelHandover()
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		g.announceLeaving(handoverCtx)
	}()
	clock.Pause(ctx, g.drainDuration())
	g.refusing.Store(true)
	g.server.Stop(ctx)
	cancelHandover()
	if g.settings.Balancing.Enabled {
		g.loadExchange.leave(ctx)
	}
	g.budgets.flush(ctx)
	g.cancel()
	g.limits.manager.Close()
	g.wg.Wait()
	g.closePeers()
	return g.readyServer.stop()
}

// drainDuration returns the time for which a shutdown still takes requests.
func (g *Gateway) drainDuration() clock.Millis {
	return min(maxDrainDuration, clock.Millis(drainShare*float64(g.settings.StopWithin)))
}

// Kill stops the gateway at once. It does not wait for requests, hands nothing over and
// returns no grants.
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
	g.lookupClients.Close()
	g.loadClients.Close()
	if g.peerServer != nil {
		logStopError(g.log, "peers", g.peerServer.Close())
	}
}

// awaitStartup waits until startup is closed or ctx ends.
func (g *Gateway) awaitStartup(ctx context.Context) {
	select {
	case <-g.startup:
	case <-ctx.Done():
	}
}

// updateStartup ends the wait of requests if this gateway knows what it needs to serve
// them.
func (g *Gateway) updateStartup() {
	if g.catalog.Load() != nil && g.endpointsRead.Load() && g.rollouts.isReady() {
		g.endStartup()
	}
}

// install puts a configuration in force, unless its version is not higher than that of
// the configuration in force. unconfirmedFor is the time for which this gateway had not
// been known to have the newest configuration.
func (g *Gateway) install(next *catalog.Catalog, unconfirmedFor clock.Millis) {
	known := g.catalog.Load()
	if known != nil && known.Version() >= next.Version() {
		return
	}
	g.catalog.Store(next)
	g.updateStartup()
	isConfigured := func(service spool.ServiceName) bool { return next.Service(service) != nil }
	g.loads.retain(isConfigured)
	g.engineLoads.retain(isConfigured)
	limits := next.Limits()
	g.server.SetLimits(httpconn.Limits{
		MaxHeaderBytes: limits.MaxHeaderBytes, MaxBodyBytes: limits.MaxBodyBytes,
		HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
	})
	g.limits.configure(next.Accounts())
	g.log.Info("configuration in force", zap.Int64("version", next.Version()), zap.Int64("unconfirmedForMs", int64(unconfirmedFor)))
}
