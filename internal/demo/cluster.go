// Package demo runs the whole system locally: entries, agents and stand-ins of the
// platform. Run injects faults while callers check the responses, for example that no
// turn is lost or out of order. Compare and MeasureLoad measure the same system.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os/exec"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/caller"
	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/internal/process"
	"github.com/baobabspool/baobabspool/internal/standin"
	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/pkg/keyring"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

const (
	region = "sn-west"
	// modelService is the service of the engines, plainService the plain service.
	modelService = "appraiser-models"
	plainService = "ledger-app"
	modelName    = "appraiser"
	streamCount  = 8
	loopback     = "127.0.0.1:0"
	// startTimeout bounds the start of the whole system.
	startTimeout = 15 * time.Second
)

// domains are the failure domains. Processes are assigned to them in turn.
var domains = []spool.FailureDomain{"ndar-a", "dkr-b"}

// account is a client account of the demonstration.
type account struct {
	id     spool.AccountID
	limits caller.Limits
	key    string
	keyID  string
}

// cluster is the whole system with its stand-ins. If entryCommand is set, the entries
// run as separate processes; everything else runs in this process.
type cluster struct {
	log       *standin.Log
	vms       *standin.VMList
	engines   []*standin.Engine
	service   *standin.Service
	entries   []*process.Entry
	endpoints []*process.Endpoint
	telemetry []*telemetry.Telemetry
	accounts  []*account
	publisher *control.Publisher
	// closers stop the servers of the stand-ins.
	closers []func()
	// addresses holds the HTTP addresses of the entries.
	addresses  []string
	logAddress string
	vmsAddress string
	// engineAddresses holds the HTTP addresses of the engines.
	engineAddresses []string
	// entryCount is the number of entries.
	entryCount int
	// entryCommand is the command line that starts an entry as a separate process.
	// When it is empty, the entries run in this process. entryProcesses holds the
	// separate processes.
	entryCommand   []string
	entryProcesses []*exec.Cmd
}

// newCluster starts the system with four entries in this process. extra holds the
// contents of control records that are published before the processes start; they may
// override settings of the demonstration.
func newCluster(ctx context.Context, seed uint64, accounts []*account, extra ...any) (*cluster, error) {
	return startCluster(ctx, &cluster{entryCount: 4}, seed, accounts, extra...)
}

// startCluster starts all parts of a cluster in which only entryCount and, optionally,
// entryCommand are set. It waits until the cluster is ready, and stops it on an error.
func startCluster(ctx context.Context, empty *cluster, seed uint64, accounts []*account, extra ...any) (c *cluster, err error) {
	c = empty
	defer func() {
		err = errors.Wrap(err, "start the demonstration")
		if err != nil {
			c.close()
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	c.log, c.vms, c.service, c.accounts = standin.NewLog(seed), standin.NewVMList(200), standin.NewService(), accounts
	if err := c.startPlatform(seed); err != nil {
		return c, err
	}
	c.publisher = control.NewPublisher(c.log, "demo")
	if err := c.publishConfiguration(ctx); err != nil {
		return c, err
	}
	if len(extra) > 0 {
		if err := c.publishChanges(ctx, extra...); err != nil {
			return c, err
		}
	}
	if err := c.startProcesses(); err != nil {
		return c, err
	}
	return c, c.waitReady(ctx)
}

// keepServer registers the server of a stand-in to be closed with the cluster, and
// returns its address.
func (c *cluster) keepServer(server *standin.Server, err error) (string, error) {
	if err != nil {
		return "", err
	}
	c.closers = append(c.closers, server.Close)
	return server.Address(), nil
}

// startPlatform starts the log and the list of VMs, and creates the engines.
func (c *cluster) startPlatform(seed uint64) (err error) {
	if c.logAddress, err = c.keepServer(standin.ServeLog(c.log, loopback, "")); err != nil {
		return err
	}
	if c.vmsAddress, err = c.keepServer(standin.ServeVMs(c.vms, loopback, "")); err != nil {
		return err
	}
	for i := range 4 {
		c.engines = append(c.engines, standin.NewEngine(standin.DefaultEngineSettings(), seed+uint64(i)))
	}
	return nil
}

// publishConfiguration issues a key for each account and publishes the services, the
// accounts with their keys and limits, and the settings of the demonstration.
func (c *cluster) publishConfiguration(ctx context.Context) error {
	if err := c.publisher.Refresh(ctx); err != nil {
		return err
	}
	contents := []any{
		control.Service{Name: modelService, Kind: control.ServiceModel, Models: []spool.ModelName{modelName}},
		control.Service{Name: plainService, Kind: control.ServicePlain},
		newChange(settings.LevelFleet, "", string(settings.DrainRampMs), "3000"),
		newChange(settings.LevelFleet, "", string(settings.MemoryLeaseMs), "5000"),
		newChange(settings.LevelFleet, "", string(settings.GateColdConcurrency), "2"),
		newChange(settings.LevelFleet, "", string(settings.GateMaxConcurrency), "8"),
	}
	for _, account := range c.accounts {
		key, stored, err := keyring.Issue(account.id, c.publisher.Now(), 0)
		if err != nil {
			return err
		}
		account.key, account.keyID = key.Reveal(), key.ID()
		contents = append(contents,
			control.Account{ID: account.id}, stored,
			newChange(settings.LevelAccount, string(account.id), string(settings.LimitRatePerSecond), fmt.Sprint(account.limits.Rate)),
			newChange(settings.LevelAccount, string(account.id), string(settings.LimitBurst), fmt.Sprint(account.limits.Burst)))
	}
	_, err := c.publisher.Publish(ctx, contents...)
	return err
}

// newChange returns a change of one setting. value is JSON.
func newChange(level settings.Level, id, name, value string) settings.Change {
	return settings.Change{
		Path:  settings.Path{Target: settings.Target{Level: level, ID: id}, Name: name},
		Value: json.RawMessage(value),
	}
}

// freeAddress returns a loopback address that was free when it was checked. An entry
// needs its address in advance, because the VM list must contain it before the entry
// listens on it.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// startProcesses starts the entries, the servers of the engines and of the plain service,
// and their agents.
func (c *cluster) startProcesses() error {
	for i := range c.entryCount {
		if err := c.startEntry(fmt.Sprintf("e%d", i+1), domains[i%2]); err != nil {
			return err
		}
	}
	for i, engine := range c.engines {
		at, err := c.keepServer(standin.ServeEngine(engine, loopback, ""))
		if err != nil {
			return err
		}
		c.engineAddresses = append(c.engineAddresses, at)
		err = c.startEndpoint(fmt.Sprintf("m%d", i+1), domains[i%2], modelService, process.EndpointConfig{EngineAddress: at})
		if err != nil {
			return err
		}
	}
	at, err := c.keepServer(standin.ServeService(c.service, loopback, ""))
	if err != nil {
		return err
	}
	for i := range 2 {
		err := c.startEndpoint(fmt.Sprintf("l%d", i+1), domains[i%2], plainService, process.EndpointConfig{ServiceAddress: at})
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) newTelemetry(node string) (*telemetry.Telemetry, error) {
	t, err := telemetry.New(spool.NodeID(node), zap.NewNop())
	if err == nil {
		c.telemetry = append(c.telemetry, t)
	}
	return t, err
}

// startEntry adds an entry to the list of VMs and starts it.
func (c *cluster) startEntry(node string, domain spool.FailureDomain) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	c.vms.Update(spool.VM{
		ID: spool.NodeID(node), Role: spool.RoleEntry, State: spool.VMLive,
		FailureDomain: domain, Region: region, Address: address,
	})
	if len(c.entryCommand) > 0 {
		return c.startEntryProcess(node, domain, address)
	}
	t, err := c.newTelemetry(node)
	if err != nil {
		return err
	}
	config := process.DefaultEntryConfig()
	config.Node, config.FailureDomain, config.Region = node, string(domain), region
	config.Listen, config.HTTPListen = address, loopback
	config.VMsAddress, config.LogAddress = c.vmsAddress, c.logAddress
	config.StreamCount, config.LameDuckMs = streamCount, 0
	entry, err := process.NewEntry(config, t)
	if err != nil {
		return err
	}
	c.entries = append(c.entries, entry)
	c.addresses = append(c.addresses, entry.HTTPAddress())
	return nil
}

// startEndpoint starts the agent of an endpoint and adds it to the list of VMs.
func (c *cluster) startEndpoint(node string, domain spool.FailureDomain, service spool.ServiceName, config process.EndpointConfig) error {
	t, err := c.newTelemetry(node)
	if err != nil {
		return err
	}
	config.Node, config.FailureDomain, config.Region = node, string(domain), region
	config.Listen, config.VMsAddress = loopback, c.vmsAddress
	endpoint, err := process.NewEndpoint(config, t)
	if err != nil {
		return err
	}
	c.endpoints = append(c.endpoints, endpoint)
	c.vms.Update(spool.VM{
		ID: spool.NodeID(node), Role: spool.RoleEndpoint, State: spool.VMLive,
		FailureDomain: domain, Region: region, Service: service, Address: endpoint.Address(),
	})
	return nil
}

// waitReady waits until every stream has an owner and every entry knows all entries and
// all model endpoints. For entries in separate processes, it waits only until each
// reports that it is ready.
func (c *cluster) waitReady(ctx context.Context) error {
	for {
		owned := 0
		for i := range streamCount {
			for _, entry := range c.entries {
				if _, ok := entry.Streams().Epoch(spool.ProgramStream(i)); ok {
					owned++
				}
			}
		}
		ready := owned == streamCount || len(c.entryProcesses) > 0 && c.entryProcessesReady()
		for _, entry := range c.entries {
			ready = ready && len(entry.Control().Members()) == len(c.entries) && len(entry.Streams().Endpoints(modelService)) == len(c.engines)
		}
		if ready {
			return nil
		}
		if err := caller.Pause(ctx, 50*time.Millisecond); err != nil {
			return errors.Wrapf(err, "%d of %d streams are owned", owned, streamCount)
		}
	}
}

// setDrained starts or ends the drain of a failure domain.
func (c *cluster) setDrained(ctx context.Context, domain spool.FailureDomain, drained bool) error {
	return c.publishChanges(ctx, newChange(settings.LevelFailureDomain, string(domain), string(settings.DrainFailureDomain), fmt.Sprint(drained)))
}

// publishWithdrawal publishes that the key of an account is withdrawn. Entries learn of
// it later.
func (c *cluster) publishWithdrawal(ctx context.Context, holder *account) error {
	if err := c.publisher.Refresh(ctx); err != nil {
		return err
	}
	stored, _, ok := c.publisher.State().Keys().Get(holder.keyID)
	if !ok {
		return errors.Errorf("key %s does not exist", holder.keyID)
	}
	stored.Withdrawn = true
	_, err := c.publisher.Publish(ctx, stored)
	return err
}

// publishChanges publishes the contents of control records on top of the latest state.
func (c *cluster) publishChanges(ctx context.Context, contents ...any) error {
	if err := c.publisher.Refresh(ctx); err != nil {
		return err
	}
	_, err := c.publisher.Publish(ctx, contents...)
	return err
}

// close stops all processes and stand-ins: first the entries, then the endpoints, then
// the stand-ins. The shutdown of entries and endpoints together is bounded by 5 s.
func (c *cluster) close() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var stopping sync.WaitGroup
	for _, entry := range c.entries {
		stopping.Go(func() { _ = entry.Shutdown(ctx) })
	}
	stopping.Wait()
	c.killEntryProcesses()
	for _, endpoint := range c.endpoints {
		stopping.Go(func() { _ = endpoint.Shutdown(ctx) })
	}
	stopping.Wait()
	for _, stop := range c.closers {
		stop()
	}
}
