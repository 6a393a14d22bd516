// Package process assembles the process of an entry and the process of an endpoint
// agent from their parts and runs them.
package process

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/adapters"
	"github.com/baobabspool/baobabspool/internal/config"
	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/internal/entry"
	"github.com/baobabspool/baobabspool/internal/quota"
	"github.com/baobabspool/baobabspool/internal/roster"
	"github.com/baobabspool/baobabspool/internal/streams"
	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// EntryConfig holds the settings with which the process of an entry is started. They do
// not change while it runs, unlike the settings on the control stream.
type EntryConfig struct {
	// Node is the name of the process, unique in the system.
	Node string
	// FailureDomain and Region are the failure domain and the region of the VM.
	FailureDomain string
	Region        string
	// Listen is the IP:port on which the process receives messages from the other
	// processes of the system. The platform's list of VMs must contain this address.
	Listen string
	// HTTPListen is the IP:port on which the process serves the API for callers.
	HTTPListen string
	// VMsAddress is the IP:port of the platform's server for the list of VMs.
	VMsAddress string
	// LogAddress is the IP:port of the platform's log.
	LogAddress string
	// StreamCount is the number of program streams, the same at every entry.
	StreamCount int
	// LogReaders is the number of entries of each failure domain that read the control
	// stream from the log; the other entries pull it from them. With 0 all entries read
	// it from the log.
	LogReaders int
	// VMReaders is the number of entries of each failure domain that read the list of
	// VMs from the platform; all other processes pull it from entries. With 0 every
	// process reads it from the platform.
	VMReaders int
	// RetentionMs is how long the platform's log keeps records, in milliseconds, at
	// least 10000.
	RetentionMs int64
	// LameDuckMs is the time in milliseconds at shutdown during which /readyz already
	// fails but connections are still accepted.
	LameDuckMs int64
	// TLS names the certificate files for messages between the processes of the
	// system.
	TLS TLSFiles
	// HTTPTLS names the certificate files of the API for callers.
	HTTPTLS HTTPTLSFiles
	// TLSReloadMs is the interval in milliseconds at which the files of TLS and HTTPTLS
	// are read again.
	TLSReloadMs int64
}

// DefaultEntryConfig returns the default settings. The caller must still set Node,
// FailureDomain, Region, VMsAddress and LogAddress.
func DefaultEntryConfig() EntryConfig {
	return EntryConfig{
		Listen: "127.0.0.1:7000", HTTPListen: "127.0.0.1:8080", StreamCount: 8,
		RetentionMs: int64(clock.Hour), LameDuckMs: 2000, TLSReloadMs: DefaultTLSReloadMs,
	}
}

// Validate returns one error that lists all problems of the settings, or nil.
func (c EntryConfig) Validate() error {
	var problems config.Problems
	problems.RequireSet("node", c.Node)
	problems.RequireSet("failure-domain", c.FailureDomain)
	problems.RequireSet("region", c.Region)
	problems.RequireAddress("listen", c.Listen)
	problems.RequireAddress("http-listen", c.HTTPListen)
	problems.RequireAddress("vms-address", c.VMsAddress)
	problems.RequireAddress("log-address", c.LogAddress)
	c.TLS.Check(&problems)
	c.HTTPTLS.check(&problems)
	checkReloadInterval(c.TLS.Cert+c.HTTPTLS.Cert, c.TLSReloadMs, &problems)
	if c.StreamCount < 1 {
		problems.Add("streams", "must be at least 1")
	}
	problems.RequireNotNegative("log-readers", c.LogReaders)
	problems.RequireNotNegative("vm-readers", c.VMReaders)
	if c.RetentionMs < int64(10*clock.Second) {
		problems.Add("retention-ms", "must be at least 10000")
	}
	if c.LameDuckMs < 0 {
		problems.Add("lame-duck-ms", "must not be negative")
	}
	return problems.Err()
}

// Entry is the running process of an entry.
type Entry struct {
	config  EntryConfig
	entry   *entry.Entry
	control *control.Reader
	streams *streams.Manager
	quota   *quota.Manager
	vms     *roster.Runtime
	logger  *zap.Logger
	// internalCerts are the certificates for messages between the processes of the
	// system; nil for plain TCP.
	internalCerts *Certificates
	// apiCerts are the certificates of the API for callers; nil for plain HTTP.
	apiCerts *Certificates
	// startedControl is the same reader as control, and nil until the reader has been
	// started. Other goroutines may load it while NewEntry still sets control.
	startedControl atomic.Pointer[control.Reader]

	// cancel ends the periodic tasks. background waits for their goroutine.
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// NewEntry starts the process and returns it once it accepts requests. It fails if the
// configuration is not valid or if a part cannot be started.
func NewEntry(processConfig EntryConfig, t *telemetry.Telemetry) (p *Entry, err error) {
	defer func() { err = errors.Wrap(err, "start entry") }()
	if err := processConfig.Validate(); err != nil {
		return nil, err
	}
	p = &Entry{config: processConfig, logger: t.Logger("entry")}
	systemClock := clock.System()
	if err := p.openTLS(t); err != nil {
		return nil, err
	}
	clients := wire.NewClients(spool.NodeID(p.config.Node), wire.WithTLS(p.internalCerts.Client))
	log := adapters.NewLog(p.config.LogAddress)
	p.vms, err = roster.New(rosterConfig(p.config.Node, spool.RoleEntry, p.config.FailureDomain, p.config.VMReaders),
		adapters.NewVMList(p.config.VMsAddress), clients, roster.WithClock(systemClock), roster.WithTelemetry(t))
	if err != nil {
		return nil, err
	}
	deferred := &deferredStreams{}
	p.quota = quota.New(quota.Config{
		Node: spool.NodeID(p.config.Node), StreamCount: p.config.StreamCount, Timing: limit.DefaultTiming(),
	}, systemClock, p.controlAge, deferred, clients, t)
	if err := p.startControl(log, clients, systemClock, t); err != nil {
		return nil, err
	}
	view := &controlView{reader: p.control, region: spool.Region(p.config.Region), failureDomain: spool.FailureDomain(p.config.FailureDomain)}
	if err := p.buildEntry(view, clients, systemClock, t, entry.WithTLS(p.apiCerts.Server(), p.internalCerts.Server())); err != nil {
		return nil, err
	}
	if err := p.startStreams(log, clients, systemClock, t); err != nil {
		return nil, err
	}
	deferred.set(p.streams)
	if err := p.entry.Start(p.streams); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.background.Add(1)
	go func() {
		defer p.background.Done()
		p.runPeriodicTasks(ctx, log)
	}()
	return p, nil
}

// openTLS loads the certificates and starts to reload them.
func (p *Entry) openTLS(t *telemetry.Telemetry) (err error) {
	if p.internalCerts, err = p.config.TLS.Open(); err != nil {
		return err
	}
	if p.apiCerts, err = p.config.HTTPTLS.Open(); err != nil {
		return err
	}
	interval := clock.Millis(p.config.TLSReloadMs)
	if err = p.internalCerts.startReloading(interval, t, "baobabspool_tls_expires_s"); err != nil {
		return err
	}
	return p.apiCerts.startReloading(interval, t, "baobabspool_http_tls_expires_s")
}

// startControl starts the reader of the control stream, which passes changes of rate
// limits and members to p.quota.
func (p *Entry) startControl(log spool.Log, clients *wire.Clients, systemClock clock.Clock, t *telemetry.Telemetry) (err error) {
	scope := settings.Scope{Region: spool.Region(p.config.Region), FailureDomain: spool.FailureDomain(p.config.FailureDomain)}
	reader, err := control.NewReader(control.Config{
		Node:          spool.NodeID(p.config.Node),
		Role:          spool.RoleEntry,
		FailureDomain: spool.FailureDomain(p.config.FailureDomain),
		Region:        spool.Region(p.config.Region),
		LogReaders:    p.config.LogReaders,
		Retention:     clock.Millis(p.config.RetentionMs),
	}, control.WithLog(log), control.WithPeers(p.vms.Entries), control.WithClients(clients),
		control.WithClock(systemClock), control.WithTelemetry(t), control.WithObserver(observeLimits(scope, p.quota.Observe)))
	p.control = reader
	p.startedControl.Store(reader)
	return err
}

// controlAge returns the time since the control state was last known to match the log.
// It is negative if the state has not been loaded yet.
func (p *Entry) controlAge() clock.Millis {
	if reader := p.startedControl.Load(); reader != nil {
		return reader.StateAge()
	}
	return -1
}

// buildEntry creates p.entry, which does not accept requests before its Start.
func (p *Entry) buildEntry(view *controlView, clients *wire.Clients, systemClock clock.Clock, t *telemetry.Telemetry, tlsOption entry.Option) (err error) {
	entryConfig := entry.DefaultConfig
	entryConfig.Node = spool.NodeID(p.config.Node)
	entryConfig.FailureDomain = spool.FailureDomain(p.config.FailureDomain)
	entryConfig.HTTPAddress = p.config.HTTPListen
	entryConfig.WireAddress = p.config.Listen
	entryConfig.Streams = p.config.StreamCount
	entryConfig.LameDuckFor = clock.Millis(p.config.LameDuckMs)
	p.entry, err = entry.New(entryConfig, view, p.quota,
		entry.WithClock(systemClock), entry.WithTelemetry(t), entry.WithClients(clients),
		tlsOption, entry.WithHandlers(p.control.Handlers()), entry.WithHandlers(p.vms.Handlers()), entry.WithHandlers(p.quota.Handlers()))
	return err
}

// startStreams starts the manager that claims program streams for p.entry.
func (p *Entry) startStreams(log spool.Log, clients *wire.Clients, systemClock clock.Clock, t *telemetry.Telemetry) (err error) {
	p.streams, err = streams.New(streams.Config{
		Node:          spool.NodeID(p.config.Node),
		Address:       p.config.Listen,
		FailureDomain: spool.FailureDomain(p.config.FailureDomain),
		Region:        spool.Region(p.config.Region),
		StreamCount:   p.config.StreamCount,
		Retention:     clock.Millis(p.config.RetentionMs),
	}, streams.WithLog(log), streams.WithVMLists(p.vms), streams.WithCaller(clients), streams.WithClock(systemClock),
		streams.WithTelemetry(t), streams.WithControlOffset(p.control.Offset), streams.WithApplier(p.entry.Applier()),
		streams.WithHandover(p.quota.HandOver))
	return err
}

// HTTPAddress returns the host:port of the API for callers.
func (p *Entry) HTTPAddress() string { return p.entry.HTTPAddress() }

// Address returns the host:port at which the process receives messages from the other
// processes of the system.
func (p *Entry) Address() string { return p.entry.WireAddress() }

// Streams returns the manager of the program streams that this entry owns.
func (p *Entry) Streams() *streams.Manager { return p.streams }

// Control returns this entry's reader of the control stream.
func (p *Entry) Control() *control.Reader { return p.control }

// Shutdown waits until the requests in flight have finished and stops the process.
// If ctx ends first, Shutdown aborts the remaining requests and returns an error.
func (p *Entry) Shutdown(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "stop entry") }()
	p.cancel()
	p.background.Wait()
	err = p.entry.Shutdown(ctx)
	p.close()
	return err
}

// Kill stops the process at once, like a crash: it aborts the requests in flight and
// does not release the program streams.
func (p *Entry) Kill() {
	p.cancel()
	p.background.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p.streams.Close()
	_ = p.entry.Shutdown(ctx)
	p.close()
}

func (p *Entry) close() {
	p.streams.Close()
	p.quota.Close()
	p.control.Close()
	p.vms.Close()
	p.internalCerts.close()
	p.apiCerts.close()
}

// periodicTaskInterval is the time between two runs of the tasks of runPeriodicTasks.
const periodicTaskInterval = time.Second

// runPeriodicTasks makes this entry append snapshots of the control stream and publish
// the list of members while it owns the first program stream. Of all entries only the
// owner of that stream thus does this work. runPeriodicTasks returns when ctx ends.
func (p *Entry) runPeriodicTasks(ctx context.Context, log spool.Log) {
	ticker := time.NewTicker(periodicTaskInterval)
	defer ticker.Stop()
	members := newMemberPublisher(log, spool.NodeID(p.config.Node), p.control, p.logger)
	for {
		_, ownsFirstStream := p.streams.Epoch(spool.ProgramStream(0))
		p.control.SetAppendsSnapshots(ownsFirstStream)
		if ownsFirstStream {
			members.reconcile(ctx, p.streams.LiveMembers())
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
