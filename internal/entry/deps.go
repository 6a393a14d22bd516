// Package entry is the process that callers talk to. It checks keys, owns the
// programs of the log streams that it has claimed, and routes their calls to
// the agents beside the endpoints.
package entry

import (
	"context"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/limit"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
	"github.com/baobabspool/baobabspool/pkg/usage"
)

// Streams owns the log streams of this process.
type Streams interface {
	// Submit returns when records are durable; with needsLog only when they are
	// committed on the log. The error is a *spool.Refusal with a truthful
	// NotRun.
	Submit(ctx context.Context, stream spool.Stream, records []spool.Record, needsLog bool) error
	// Epoch returns this process's claim on a stream.
	Epoch(stream spool.Stream) (spool.Epoch, bool)
	// OwnerOf returns the owner of a stream and its address, which is empty when
	// the owner cannot be reached from here.
	OwnerOf(stream spool.Stream) (spool.NodeID, string, bool)
	// Members lists the live entries.
	Members() []spool.VM
	// Endpoints lists the endpoints of a service, leaving ones included.
	Endpoints(service spool.ServiceName) []spool.VM
	// Leave hands every stream over.
	Leave(ctx context.Context) error
	// Handlers answers the messages of the streams.
	Handlers() wire.Mux
}

// Applier receives the valid batches of the streams that this process owns. It
// is called on one goroutine per stream.
type Applier interface {
	// Reset starts the recovery of a stream from nothing.
	Reset(stream spool.Stream, epoch spool.Epoch)
	// Apply folds one batch; batches come in order.
	Apply(stream spool.Stream, batch spool.Batch)
	// Serving ends the recovery: this process is the owner.
	Serving(stream spool.Stream, epoch spool.Epoch)
	// Lost means that this process is the owner no more.
	Lost(stream spool.Stream)
	// Snapshot returns records that replace all batches applied so far.
	Snapshot(stream spool.Stream) []spool.Record
}

// ServiceKind tells what the endpoints of a service are.
type ServiceKind string

// The kinds of services.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "service"
)

// Service is a group of interchangeable endpoints.
type Service struct {
	// Name names the service.
	Name spool.ServiceName
	// Kind tells whether its endpoints are model engines.
	Kind ServiceKind
	// Models are those that a model service can run.
	Models []spool.ModelName
}

// Settings are the values in force for one program.
type Settings struct {
	// Limit is the account's rate.
	Limit usage.Limit
	// Weight is the account's share in fair queueing.
	Weight float64
	// Budget bounds the budget that a caller may ask for.
	Budget program.Budget
	// MaxTokens bounds an answer when the call names no bound.
	MaxTokens int
	// IdleFor is the idle time after which a program counts as abandoned.
	IdleFor clock.Millis
	// CallTimeout bounds one call.
	CallTimeout clock.Millis
	// LeaseFor is the time for which an agent keeps a program's memory.
	LeaseFor clock.Millis
	// RampFor is the time in which a returning failure domain is ramped up.
	RampFor clock.Millis
	// Router and Retry name the policies.
	Router string
	Retry  string
	// Options are the numbers of the policies.
	Options spool.Options
}

// Control is the state that operators publish.
type Control interface {
	// Authenticate returns the account of a key and the key's identifier. The
	// error is a *spool.Refusal.
	Authenticate(key string) (spool.AccountID, string, error)
	// Withdrawn is closed when the key is withdrawn or expires, or when this
	// process is isolated.
	Withdrawn(keyID string) <-chan struct{}
	// Isolated reports whether this process cannot learn of withdrawals.
	Isolated() bool
	// Settings returns the values in force; program may be empty.
	Settings(account spool.AccountID, program spool.ProgramID) Settings
	// Draining reports whether an endpoint or its failure domain is being taken
	// out.
	Draining(domain spool.FailureDomain, endpoint spool.EndpointID) bool
	// Services lists the services in the order of their names.
	Services() []Service
	// Offset is the offset of the control stream that is in force.
	Offset() spool.Offset
}

// Limits holds the rate limits of the accounts.
type Limits interface {
	// Take admits one request or refuses it with CodeRateLimited. Requests of a
	// higher class go first while tokens are short.
	Take(ctx context.Context, account spool.AccountID, class limit.Class) error
}
