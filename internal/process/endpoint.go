package process

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/adapters"
	"github.com/baobabspool/baobabspool/internal/config"
	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/internal/endpoint"
	"github.com/baobabspool/baobabspool/internal/roster"
	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	_ "github.com/baobabspool/baobabspool/pkg/policy" // Registers the policies.
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// EndpointConfig holds the settings with which the process of an endpoint agent is
// started. They do not change while it runs, unlike the settings on the control stream.
type EndpointConfig struct {
	// Node is the name of the process and the identifier of its endpoint.
	Node string
	// FailureDomain and Region are the failure domain and the region of the VM.
	FailureDomain string
	Region        string
	// Listen is the IP:port on which the process receives messages from the other
	// processes of the system.
	Listen string
	// HTTPListen is the IP:port on which the process serves /metrics, /healthz and
	// /readyz. If it is empty, they are not served.
	HTTPListen string
	// VMsAddress is the IP:port of the platform's server for the list of VMs.
	VMsAddress string
	// VMReaders is the number of entries of each failure domain that read the list of
	// VMs from the platform; all other processes pull it from entries. With 0 every
	// process, also this one, reads it from the platform.
	VMReaders int
	// EngineAddress is the IP:port of the endpoint if it is a model engine, and
	// ServiceAddress if it is another service. Exactly one of them must be set.
	EngineAddress  string
	ServiceAddress string
	// TLS names the certificate files for messages between the processes of the
	// system.
	TLS TLSFiles
	// TLSReloadMs is the interval in milliseconds at which the files of TLS are read
	// again.
	TLSReloadMs int64
}

// Validate returns one error that lists all problems of the settings, or nil.
func (c EndpointConfig) Validate() error {
	var problems config.Problems
	problems.RequireSet("node", c.Node)
	problems.RequireSet("failure-domain", c.FailureDomain)
	problems.RequireSet("region", c.Region)
	problems.RequireAddress("listen", c.Listen)
	if c.HTTPListen != "" {
		problems.RequireAddress("http-listen", c.HTTPListen)
	}
	problems.RequireAddress("vms-address", c.VMsAddress)
	problems.RequireNotNegative("vm-readers", c.VMReaders)
	c.TLS.Check(&problems)
	checkReloadInterval(c.TLS.Cert, c.TLSReloadMs, &problems)
	if (c.EngineAddress == "") == (c.ServiceAddress == "") {
		problems.Add("engine-address", "give either engine-address or service-address")
		return problems.Err()
	}
	if c.EngineAddress != "" {
		problems.RequireAddress("engine-address", c.EngineAddress)
	} else {
		problems.RequireAddress("service-address", c.ServiceAddress)
	}
	return problems.Err()
}

// Times of the heartbeats on an agent's connections to entries, from which it pulls the
// control state. At the shorter default interval of package wire, the heartbeats of 33
// agents alone would cost an entry 10 KB/s. An agent does not need
// heartbeats to give up on a request, since requests have shorter timeouts of their own.
const (
	// heartbeatTimeout is how long a connection may leave a heartbeat unanswered
	// before it is closed.
	heartbeatTimeout = 2 * clock.Second
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = 1 * clock.Second
)

// Endpoint is the running process of an endpoint agent.
type Endpoint struct {
	config  EndpointConfig
	agent   *endpoint.Agent
	control *control.Reader
	vms     *roster.Runtime
	clients *wire.Clients
	logger  *zap.Logger
	// internalCerts are the certificates for messages between the processes of the
	// system; nil for plain TCP.
	internalCerts *Certificates

	// vmsChanged has capacity 1. It contains an element if the list of VMs has changed
	// and followChanges has not yet received the notification.
	vmsChanged chan struct{}
	// stop is closed by Shutdown, and stopped by followChanges when it returns.
	stop    chan struct{}
	stopped chan struct{}
}

// NewEndpoint starts the process and returns it once the agent accepts calls. It first
// waits for the control state, at most initialStateTimeout, and starts with default
// settings if none arrives. It fails if the configuration is not valid or if a part
// cannot be started.
func NewEndpoint(processConfig EndpointConfig, t *telemetry.Telemetry) (p *Endpoint, err error) {
	defer func() { err = errors.Wrap(err, "start endpoint agent") }()
	if err := processConfig.Validate(); err != nil {
		return nil, err
	}
	internalCerts, err := processConfig.TLS.Open()
	if err != nil {
		return nil, err
	}
	if err := internalCerts.startReloading(clock.Millis(processConfig.TLSReloadMs), t, "baobabspool_tls_expires_s"); err != nil {
		return nil, err
	}
	p = &Endpoint{
		config: processConfig,
		clients: wire.NewClients(spool.NodeID(processConfig.Node), wire.WithTLS(internalCerts.Client),
			wire.WithHeartbeat(heartbeatTimeout, heartbeatInterval)),
		internalCerts: internalCerts,
		logger:        t.Logger("endpoint"),
		vmsChanged:    make(chan struct{}, 1),
		stop:          make(chan struct{}),
		stopped:       make(chan struct{}),
	}
	p.vms, err = roster.New(rosterConfig(p.config.Node, spool.RoleEndpoint, p.config.FailureDomain, p.config.VMReaders),
		adapters.NewVMList(p.config.VMsAddress), p.clients, roster.WithTelemetry(t), roster.WithOnChange(p.notifyVMsChanged))
	if err != nil {
		return nil, err
	}
	if err := p.startControl(t); err != nil {
		return nil, err
	}
	if err := p.startAgent(t); err != nil {
		return nil, err
	}
	go func() { p.followChanges() }()
	return p, nil
}

// startControl starts the reader of the control stream and waits for its first state, at
// most initialStateTimeout. A timeout is logged and is not an error.
func (p *Endpoint) startControl(t *telemetry.Telemetry) (err error) {
	deadline := time.Now().Add(initialStateTimeout(p.config.VMReaders).Duration())
	// The reader waits longer after each attempt for which it knows no entry to pull
	// from, so it is started only after the list of VMs has been read.
	waitUntil(deadline, func() bool { _, readAt := p.vms.Latest(); return readAt != 0 })
	p.control, err = control.NewReader(control.Config{
		Node:          spool.NodeID(p.config.Node),
		Role:          spool.RoleEndpoint,
		FailureDomain: spool.FailureDomain(p.config.FailureDomain),
		Region:        spool.Region(p.config.Region),
	}, control.WithPeers(p.vms.Entries), control.WithClients(p.clients), control.WithTelemetry(t))
	if err != nil {
		return err
	}
	if !waitUntil(deadline, p.control.Ready) {
		p.logger.Warn("no entry sent the control state in time, starting with default settings")
	}
	return nil
}

// waitUntil polls the condition until it is true or the deadline has passed. It returns
// false if the deadline passed first.
func waitUntil(deadline time.Time, condition func() bool) bool {
	const pollInterval = 20 * time.Millisecond
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}

// startAgent creates the agent with the settings in force now, and starts it.
func (p *Endpoint) startAgent(t *telemetry.Telemetry) (err error) {
	values := p.control.Settings(settings.Scope{
		Region: spool.Region(p.config.Region), FailureDomain: spool.FailureDomain(p.config.FailureDomain),
	})
	agentConfig := endpoint.DefaultConfig()
	agentConfig.Endpoint = spool.EndpointID(p.config.Node)
	agentConfig.Listen = p.config.Listen
	agentConfig.HTTPListen = p.config.HTTPListen
	agentConfig.Queue = values.Text(settings.PolicyQueue)
	agentConfig.Gate = values.Text(settings.PolicyGate)
	agentConfig.Pause = values.Text(settings.PolicyPause)
	agentConfig.PauseOptions = values.Options()
	agentConfig.QueueOptions = values.Options()
	agentConfig.GateOptions = values.Options()
	agentConfig.Kernel.MaxWait = values.Duration(settings.QueueMaxWaitMs)
	agentConfig.Kernel.MaxFirstCallWait = values.Duration(settings.QueueStartMaxWaitMs)
	agentConfig.Kernel.CallLease = values.Duration(settings.MemoryLeaseMs)
	agentConfig.Kernel.GraceLease = values.Duration(settings.MemoryLeaseMs)
	options := []endpoint.Option{
		endpoint.WithTelemetry(t), endpoint.WithTLS(p.internalCerts.Server()),
		endpoint.WithReceivesOrders(func() bool { return !p.control.Isolated() }),
	}
	if p.config.EngineAddress != "" {
		options = append(options, endpoint.WithEngine(adapters.NewEngine(p.config.EngineAddress)))
	} else {
		options = append(options, endpoint.WithService(adapters.NewService(p.config.ServiceAddress)))
	}
	if p.agent, err = endpoint.New(agentConfig, options...); err != nil {
		return err
	}
	return p.agent.Start()
}

// notifyVMsChanged makes followChanges apply the control state and the list of VMs again.
// It does not block, and several calls may lead to one application.
func (p *Endpoint) notifyVMsChanged() {
	select {
	case p.vmsChanged <- struct{}{}:
	default:
	}
}

// followChanges applies the control state to the agent at once and after every change of
// the control state or of the list of VMs. It returns when stop is closed.
func (p *Endpoint) followChanges() {
	defer close(p.stopped)
	for {
		changed := p.control.Changed()
		p.applyControlState()
		select {
		case <-changed:
		case <-p.vmsChanged:
		case <-p.stop:
			return
		}
	}
}

// applyControlState passes the control offset, the drain state and the engine orders in
// force to the agent. The agent also drains while the platform lists its VM as leaving.
func (p *Endpoint) applyControlState() {
	id := spool.EndpointID(p.config.Node)
	domain := spool.FailureDomain(p.config.FailureDomain)
	p.agent.SetControlOffset(p.control.Offset())
	p.agent.SetDraining(p.control.Draining(domain, id) || p.vms.IsLeaving())
	orders, endpointsLoadingBefore := p.control.Orders(id)
	if err := p.agent.SetOrders(orders, endpointsLoadingBefore); err != nil {
		p.logger.Warn("orders in force were rejected by the agent", zap.Error(err))
	}
}

// Address returns the host:port at which the process receives messages from the other
// processes of the system.
func (p *Endpoint) Address() string { return p.agent.Address() }

// Agent returns the endpoint agent that runs in this process.
func (p *Endpoint) Agent() *endpoint.Agent { return p.agent }

// Shutdown stops admitting calls, waits until every admitted call has finished and stops
// the process. If ctx ends first, Shutdown aborts the remaining calls and returns an
// error. It must be called at most once.
func (p *Endpoint) Shutdown(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "stop endpoint agent") }()
	close(p.stop)
	<-p.stopped
	p.agent.SetDraining(true)
	err = p.agent.Shutdown(ctx)
	p.control.Close()
	p.vms.Close()
	p.clients.Close()
	p.internalCerts.close()
	return err
}
