// Package process puts the parts of an entry and of an endpoint agent together
// and runs them as one process each.
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

// EntryConfig holds the settings of an entry's process.
type EntryConfig struct {
	// Node names the process.
	Node string
	// FailureDomain and Region tell where it runs.
	FailureDomain string
	Region        string
	// Listen is the host:port for messages between our processes; the list of VMs
	// names it. HTTPListen is that of the callers' API.
	Listen     string
	HTTPListen string
	// VMsAddress and LogAddress are those of the platform's list of VMs and log.
	VMsAddress string
	LogAddress string
	// StreamCount is the number of program streams, the same at every entry.
	StreamCount int
	// LogReaders is how many entries of each failure domain read the control
	// stream from the log; 0 for all.
	LogReaders int
	// VMReaders is how many entries of each failure domain read the list of VMs
	// from the platform; with 0 every process does.
	VMReaders int
	// RetentionMs is how long the log keeps records.
	RetentionMs int64
	// LameDuckMs is the time between readyz turning false and the end of
	// accepting.
	LameDuckMs int64
	// TLS protects the messages between our processes, HTTPTLS the callers' API.
	TLS     TLSFiles
	HTTPTLS FrontTLS
	// TLSReloadMs is how often the files of both are read again.
	TLSReloadMs int64
}

// DefaultEntryConfig returns the values that are used when nothing else is set.
func DefaultEntryConfig() EntryConfig {
	return EntryConfig{
		Listen: "127.0.0.1:7000", HTTPListen: "127.0.0.1:8080", StreamCount: 8,
		RetentionMs: int64(clock.Hour), LameDuckMs: 2000, TLSReloadMs: DefaultTLSReloadMs,
	}
}

// Validate returns every error of the settings at once.
func (c EntryConfig) Validate() error {
	var problems config.Problems
	problems.Require("node", c.Node)
	problems.Require("failure-domain", c.FailureDomain)
	problems.Require("region", c.Region)
	problems.Address("listen", c.Listen)
	problems.Address("http-listen", c.HTTPListen)
	problems.Address("vms-address", c.VMsAddress)
	problems.Address("log-address", c.LogAddress)
	c.TLS.Check(&problems)
	c.HTTPTLS.check(&problems)
	checkReloadInterval(c.TLS.Cert+c.HTTPTLS.Cert, c.TLSReloadMs, &problems)
	if c.StreamCount < 1 {
		problems.Add("streams", "must be at least 1")
	}
	problems.Count("log-readers", c.LogReaders)
	problems.Count("vm-readers", c.VMReaders)
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
	log     *zap.Logger
	// between and front hold the certificates for messages between processes and
	// for the callers' API.
	internalCerts *Certificates
	apiCerts   *Certificates
	// ready is control once it has been started.
	startedControl atomic.Pointer[control.Reader]

	cancel context.CancelFunc
	background   sync.WaitGroup
}

// NewEntry starts the process.
func NewEntry(processConfig EntryConfig, t *telemetry.Telemetry) (p *Entry, err error) {
	defer func() { err = errors.Wrap(err, "start entry") }()
	if err := processConfig.Validate(); err != nil {
		return nil, err
	}
	p = &Entry{config: processConfig, log: t.Logger("entry")}
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

// freshFor returns the age of the control state, negative before there is one.
func (p *Entry) controlAge() clock.Millis {
	if reader := p.startedControl.Load(); reader != nil {
		return reader.FreshFor()
	}
	return -1
}

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

func (p *Entry) startStreams(log spool.Log, clients *wire.Clients, systemClock clock.Clock, t *telemetry.Telemetry) (err error) {
	p.streams, err = streams.New(streams.Config{
		Node:          spool.NodeID(p.config.Node),
		Address:       p.config.Listen,
		FailureDomain: spool.FailureDomain(p.config.FailureDomain),
		Region:        spool.Region(p.config.Region),
		StreamCount:   p.config.StreamCount,
		Retention:     clock.Millis(p.config.RetentionMs),
	}, streams.WithLog(log), streams.WithLists(p.vms), streams.WithCaller(clients), streams.WithClock(systemClock),
		streams.WithTelemetry(t), streams.WithControlOffset(p.control.Offset), streams.WithApplier(p.entry.Applier()),
		streams.WithHandover(p.quota.HandOver))
	return err
}

// HTTPAddress returns the host:port of the callers' API.
func (p *Entry) HTTPAddress() string { return p.entry.HTTPAddress() }

// Address returns the host:port for messages between our processes.
func (p *Entry) Address() string { return p.entry.WireAddress() }

// Streams returns the streams of this entry, for its counters.
func (p *Entry) Streams() *streams.Manager { return p.streams }

// Control returns the control state of this entry.
func (p *Entry) Control() *control.Reader { return p.control }

// Shutdown ends the process without cutting a request. When ctx ends first the
// rest is cut and an error is returned.
func (p *Entry) Shutdown(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "stop entry") }()
	p.cancel()
	p.background.Wait()
	err = p.entry.Shutdown(ctx)
	p.close()
	return err
}

// Kill ends the process at once, as a crash would.
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

// maintainEvery paces the duties of the entry that owns the first stream.
const periodicTaskInterval = time.Second

// maintain makes the owner of the first program stream append snapshots of the
// control stream and keep the list of members up to date.
func (p *Entry) runPeriodicTasks(ctx context.Context, log spool.Log) {
	ticker := time.NewTicker(periodicTaskInterval)
	defer ticker.Stop()
	members := newMemberPublisher(log, spool.NodeID(p.config.Node), p.control, p.log)
	for {
		_, ownsFirstStream := p.streams.Epoch(spool.ProgramStream(0))
		p.control.SetResponsible(ownsFirstStream)
		if ownsFirstStream {
			members.reconcile(ctx, p.streams.Members())
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
