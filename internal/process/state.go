package process

import (
	"encoding/json"
	"sort"
	"sync"

	"github.com/baobabspool/baobabspool/internal/control"
	"github.com/baobabspool/baobabspool/internal/entry"
	"github.com/baobabspool/baobabspool/internal/streams"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/settings"
	"github.com/baobabspool/baobabspool/pkg/spool"
	"github.com/baobabspool/baobabspool/pkg/usage"
)

// controlView gives the parts of an entry access to the control state, with the
// settings in force at this entry's region and failure domain.
type controlView struct {
	reader        *control.Reader
	region        spool.Region
	failureDomain spool.FailureDomain
}

func (s *controlView) scope(account spool.AccountID, id spool.ProgramID) settings.Scope {
	return settings.Scope{Region: s.region, FailureDomain: s.failureDomain, Account: account, Program: id}
}

// Authenticate returns the account of a key and the key's identifier.
func (s *controlView) Authenticate(key string) (spool.AccountID, string, error) {
	return s.reader.Authenticate(key)
}

// Withdrawn returns a channel that is closed when the key is withdrawn or expires.
func (s *controlView) Withdrawn(keyID string) <-chan struct{} { return s.reader.Withdrawn(keyID) }

// Offset returns the offset of the control stream up to which records are in force.
func (s *controlView) Offset() spool.Offset { return s.reader.Offset() }

// Isolated reports whether this process cannot learn of withdrawals.
func (s *controlView) Isolated() bool { return s.reader.Isolated() }

// Draining reports whether an endpoint or its failure domain is being drained.
func (s *controlView) Draining(domain spool.FailureDomain, endpoint spool.EndpointID) bool {
	return s.reader.Draining(domain, endpoint)
}

// Services lists the services in the order of their names.
func (s *controlView) Services() []entry.Service {
	var services []entry.Service
	for _, service := range s.reader.Services() {
		services = append(services, entry.Service{
			Name: service.Name, Kind: entry.ServiceKind(service.Kind), Models: service.Models,
		})
	}
	sort.Slice(services, func(i, j int) bool { return services[i].Name < services[j].Name })
	return services
}

// Settings returns the values in force for a program.
func (s *controlView) Settings(account spool.AccountID, id spool.ProgramID) entry.Settings {
	values := s.reader.Settings(s.scope(account, id))
	return entry.Settings{
		RateLimit: usage.Limit{
			RatePerSecond: values.Number(settings.LimitRatePerSecond), Burst: values.Number(settings.LimitBurst),
		},
		Weight: values.Number(settings.AccountWeight),
		Budget: program.Budget{
			Tokens: values.Integer(settings.BudgetTokens),
			Calls:  values.Integer(settings.BudgetCalls),
			Wall:   values.Duration(settings.BudgetWallMs),
			Depth:  values.Integer(settings.BudgetDepth),
			Agents: values.Integer(settings.BudgetChildren),
		},
		MaxTokens:     values.Integer(settings.CallMaxTokens),
		IdleTimeout:   values.Duration(settings.ProgramIdleMs),
		CallTimeout:   values.Duration(settings.CallTimeoutMs),
		LeaseDuration: values.Duration(settings.MemoryLeaseMs),
		RampFor:       values.Duration(settings.DrainRampMs),
		Router:        values.Text(settings.PolicyRouter),
		Retry:         values.Text(settings.PolicyRetry),
		Options:       values.Options(),
	}
}

// deferredStreams forwards to a stream manager that is started later. Until set is
// called, this entry owns no stream and knows no owner.
type deferredStreams struct {
	mu      sync.RWMutex
	manager *streams.Manager
}

func (d *deferredStreams) set(manager *streams.Manager) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.manager = manager
}

func (d *deferredStreams) get() *streams.Manager {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.manager
}

// Epoch returns the epoch of this entry's claim on a stream. It returns false if
// this entry does not serve the stream.
func (d *deferredStreams) Epoch(stream spool.Stream) (spool.Epoch, bool) {
	if manager := d.get(); manager != nil {
		return manager.Epoch(stream)
	}
	return 0, false
}

// HandoverData returns the handover data that the previous owner recorded when it
// released the stream; nil if there is none.
func (d *deferredStreams) HandoverData(stream spool.Stream, epoch spool.Epoch) json.RawMessage {
	if manager := d.get(); manager != nil {
		return manager.HandoverData(stream, epoch)
	}
	return nil
}

// ConfirmedUntil returns the time, on this entry's clock, until which no other
// entry can serve the stream.
func (d *deferredStreams) ConfirmedUntil(stream spool.Stream) (clock.Millis, bool) {
	if manager := d.get(); manager != nil {
		return manager.ConfirmedUntil(stream)
	}
	return 0, false
}

// OwnerOf returns the owner of a stream and its address.
func (d *deferredStreams) OwnerOf(stream spool.Stream) (spool.NodeID, string, bool) {
	if manager := d.get(); manager != nil {
		return manager.OwnerOf(stream)
	}
	return "", "", false
}
