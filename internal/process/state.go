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

// controlView gives package entry read access to the control state. It looks up settings
// for this entry's region and failure domain.
type controlView struct {
	reader        *control.Reader
	region        spool.Region
	failureDomain spool.FailureDomain
}

func (s *controlView) scope(account spool.AccountID, id spool.ProgramID) settings.Scope {
	return settings.Scope{Region: s.region, FailureDomain: s.failureDomain, Account: account, Program: id}
}

// Authenticate returns the account of a key and the key's identifier. It fails if the
// key is not in force, or if this process is isolated.
func (s *controlView) Authenticate(key string) (spool.AccountID, string, error) {
	return s.reader.Authenticate(key)
}

// Withdrawn returns a channel that is closed once the key is no longer in force: it was
// withdrawn or has expired, its account was closed, or this process is isolated.
func (s *controlView) Withdrawn(keyID string) <-chan struct{} { return s.reader.Withdrawn(keyID) }

// Offset returns the offset of the control stream up to which this process has applied
// the records; 0 before the first batch.
func (s *controlView) Offset() spool.Offset { return s.reader.Offset() }

// Isolated reports whether this process must refuse requests with a key because it could
// not learn of withdrawals: it has not loaded the control state yet, or has lost contact
// to the log and its peers.
func (s *controlView) Isolated() bool { return s.reader.Isolated() }

// Draining reports whether an endpoint or its failure domain is being drained, so that
// it gets no new work.
func (s *controlView) Draining(domain spool.FailureDomain, endpoint spool.EndpointID) bool {
	return s.reader.Draining(domain, endpoint)
}

// Services returns the services of the control state, sorted by name.
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

// Settings returns the values in force for a program of an account at this entry. With
// an empty id it returns the values of the account.
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

// deferredStreams forwards calls to a stream manager that is created after the part that
// uses it. Until set is called, its methods answer that this entry serves no stream and
// knows no owner of a stream.
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

// Epoch returns the epoch with which this entry serves a stream. It returns false if this
// entry does not serve the stream.
func (d *deferredStreams) Epoch(stream spool.Stream) (spool.Epoch, bool) {
	if manager := d.get(); manager != nil {
		return manager.Epoch(stream)
	}
	return 0, false
}

// HandoverData returns the data that the previous owner passed on when it released the
// stream. It returns nil if there is none, or if this entry does not serve the stream
// with the given epoch.
func (d *deferredStreams) HandoverData(stream spool.Stream, epoch spool.Epoch) json.RawMessage {
	if manager := d.get(); manager != nil {
		return manager.HandoverData(stream, epoch)
	}
	return nil
}

// ConfirmedUntil returns the time, on this entry's clock, until which no other entry can
// serve the stream. It returns false if this entry does not serve the stream.
func (d *deferredStreams) ConfirmedUntil(stream spool.Stream) (clock.Millis, bool) {
	if manager := d.get(); manager != nil {
		return manager.ConfirmedUntil(stream)
	}
	return 0, false
}

// OwnerOf returns the entry that owns a stream and the address of that entry, which is
// empty if the owner has failed or its address is not known. It returns false if the
// owner is not known.
func (d *deferredStreams) OwnerOf(stream spool.Stream) (spool.NodeID, string, bool) {
	if manager := d.get(); manager != nil {
		return manager.OwnerOf(stream)
	}
	return "", "", false
}
