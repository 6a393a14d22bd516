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

// EndpointConfig holds the settings of an endpoint agent's process.
type EndpointConfig struct {
	// Node names the process and its endpoint.
	Node string
	// FailureDomain and Region tell where it runs.
	FailureDomain string
	Region        string
	// Listen is the host:port for messages between our processes, HTTPListen that
	// of /metrics, /healthz and /readyz; HTTPListen may be empty.
	Listen     string
	HTTPListen string
	// VMsAddress is the host:port of the platform's list of VMs.
	VMsAddress string
	// VMReaders is how many entries of each failure domain read the list of VMs
	// from the platform; with 0 every process does.
	VMReaders int
	// EngineAddress or ServiceAddress is the host:port of the endpoint; exactly
	// one of them is set.
	EngineAddress  string
	ServiceAddress string
	// TLS protects the messages between our processes.
	TLS TLSFiles
	// TLSReloadMs is how often its files are read again.
	TLSReloadMs int64
}

// Validate returns every error of the settings at once.
func (c EndpointConfig) Validate() error {
	var problems config.Problems
	problems.Require("node", c.Node)
	problems.Require("failure-domain", c.FailureDomain)
	problems.Require("region", c.Region)
	problems.Address("listen", c.Listen)
	if c.HTTPListen != "" {
		problems.Address("http-listen", c.HTTPListen)
	}
	problems.Address("vms-address", c.VMsAddress)
	problems.Count("vm-readers", c.VMReaders)
	c.TLS.Check(&problems)
	checkReloadInterval(c.TLS.Cert, c.TLSReloadMs, &problems)
	if (c.EngineAddress == "") == (c.ServiceAddress == "") {
		problems.Add("engine-address", "give either engine-address or service-address")
		return problems.Err()
	}
	if c.EngineAddress != "" {
		problems.Address("engine-address", c.EngineAddress)
	} else {
		problems.Address("service-address", c.ServiceAddress)
	}
	return problems.Err()
}

// Heartbeats of an agent's connections to its parent. At the defaults 33 agents
// would cost an entry 10 KB/s for heartbeats alone; requests to a parent have
// their own shorter limits.
const (
	heartbeatTimeout = 2 * clock.Second
	heartbeatInterval   = 1 * clock.Second
)

// Endpoint is the running process of an endpoint agent.
type Endpoint struct {
	config  EndpointConfig
	agent   *endpoint.Agent
	control *control.Reader
	vms     *roster.Runtime
	clients *wire.Clients
	log     *zap.Logger
	internalCerts *Certificates

	vmsChanged chan struct{}
	stop chan struct{}
	stopped chan struct{}
}

// NewEndpoint starts the process.
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
			wire.WithSilentAfter(heartbeatTimeout, heartbeatInterval)),
		internalCerts: internalCerts,
		log:     t.Logger("endpoint"),
		vmsChanged:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		stopped:    make(chan struct{}),
	}
	p.vms, err = roster.New(rosterConfig(p.config.Node, spool.RoleEndpoint, p.config.FailureDomain, p.config.VMReaders),
		adapters.NewVMList(p.config.VMsAddress), p.clients, roster.WithTelemetry(t), roster.WithObserver(p.notifyVMsChanged))
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

func (p *Endpoint) startControl(t *telemetry.Telemetry) (err error) {
	deadline := time.Now().Add(initialStateTimeout(p.config.VMReaders).Duration())
	// The reader waits longer each time that it knows no entry, so it starts when
	// there is a list.
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
		p.log.Warn("no entry answers, starting with default settings")
	}
	return nil
}

// await waits for a condition until the deadline and reports whether it holds.
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
	agentConfig.Kernel.StartMaxWait = values.Duration(settings.QueueStartMaxWaitMs)
	agentConfig.Kernel.CallLease = values.Duration(settings.MemoryLeaseMs)
	agentConfig.Kernel.GraceLease = values.Duration(settings.MemoryLeaseMs)
	options := []endpoint.Option{
		endpoint.WithTelemetry(t), endpoint.WithTLS(p.internalCerts.Server()),
		endpoint.WithInTouch(func() bool { return !p.control.Isolated() }),
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

// nudge makes follow look at the list of VMs and the control state.
func (p *Endpoint) notifyVMsChanged() {
	select {
	case p.vmsChanged <- struct{}{}:
	default:
	}
}

// follow applies drains and orders as they come into force.
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

func (p *Endpoint) applyControlState() {
	id := spool.EndpointID(p.config.Node)
	domain := spool.FailureDomain(p.config.FailureDomain)
	p.agent.SetControlOffset(p.control.Offset())
	p.agent.SetDraining(p.control.Draining(domain, id) || p.vms.Leaving())
	orders, loadsAhead := p.control.Orders(id)
	if err := p.agent.SetOrders(orders, loadsAhead); err != nil {
		p.log.Warn("orders were refused", zap.Error(err))
	}
}

// Address returns the host:port for messages between our processes.
func (p *Endpoint) Address() string { return p.agent.Address() }

// Agent returns the agent.
func (p *Endpoint) Agent() *endpoint.Agent { return p.agent }

// Shutdown lets every admitted call finish and stops the process. When ctx ends
// first the remaining calls are cut and an error is returned.
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
