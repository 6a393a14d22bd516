// Package entry implements the entry process, which serves the callers' HTTP API.
// It authenticates API keys, owns the programs of the log streams that it has
// claimed, and routes their calls to the agents, which run next to the endpoints.
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

// Streams manages the ownership of log streams and the cluster membership for
// this process.
type Streams interface {
	// Submit returns when the records are durable; with needsLog, only when they
	// are committed to the log. The error is a *spool.Refusal whose NotRun says
	// whether the records may have been written.
	Submit(ctx context.Context, stream spool.Stream, records []spool.Record, needsLog bool) error
	// Epoch returns the epoch in which this process owns a stream, and whether it
	// does.
	Epoch(stream spool.Stream) (spool.Epoch, bool)
	// OwnerOf returns the owner of a stream, its address and whether it is known.
	// The address is empty if the owner cannot be reached from this region.
	OwnerOf(stream spool.Stream) (spool.NodeID, string, bool)
	// LiveMembers lists the live entries.
	LiveMembers() []spool.VM
	// Endpoints lists the endpoints of a service, including those that are
	// leaving.
	Endpoints(service spool.ServiceName) []spool.VM
	// ReleaseAll hands all streams over to other entries.
	ReleaseAll(ctx context.Context) error
	// Handlers returns the handlers for messages between stream owners.
	Handlers() wire.Mux
}

// Applier receives the valid batches of the streams that this process owns or
// recovers. Its methods are called from one goroutine per stream.
type Applier interface {
	// Reset starts the recovery of a stream from an empty state.
	Reset(stream spool.Stream, epoch spool.Epoch)
	// Apply applies one batch; batches arrive in the order of the log.
	Apply(stream spool.Stream, batch spool.Batch)
	// StreamServing ends the recovery: this process now serves the stream.
	StreamServing(stream spool.Stream, epoch spool.Epoch)
	// StreamLost reports that this process no longer owns the stream.
	StreamLost(stream spool.Stream)
	// Snapshot returns records that replace all batches applied so far.
	Snapshot(stream spool.Stream) []spool.Record
}

// ServiceKind is the kind of endpoints that a service has.
type ServiceKind string

// The kinds of services.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "service"
)

// Service is a group of interchangeable endpoints.
type Service struct {
	// Name is the unique name of the service.
	Name spool.ServiceName
	// Kind says whether the endpoints are model engines or plain services.
	Kind ServiceKind
	// Models lists the models that a model service can run.
	Models []spool.ModelName
}

// Settings are the values that apply to one program.
type Settings struct {
	// RateLimit is the rate limit of the account.
	RateLimit usage.Limit
	// Weight is the weight of the account in fair queueing.
	Weight float64
	// Budget is the upper bound on the budget that a caller may request.
	Budget program.Budget
	// MaxTokens is the maximum length of an answer if the call sets none.
	MaxTokens int
	// IdleTimeout is the idle time after which a program is ended.
	IdleTimeout clock.Millis
	// CallTimeout is the timeout of a call without a deadline; 0 for none.
	CallTimeout clock.Millis
	// LeaseDuration is the time for which an agent keeps a program's engine memory
	// without a renewal; 0 for the default.
	LeaseDuration clock.Millis
	// RampFor is the time over which the share of a returning failure domain
	// grows to its full value.
	RampFor clock.Millis
	// Router and Retry are the names of the policies; empty for the default.
	Router string
	Retry  string
	// Options holds the numeric options of the policies.
	Options spool.Options
}

// Control gives access to the state that operators publish: keys, settings,
// services and drains.
type Control interface {
	// Authenticate returns the account and the identifier of an API key. The
	// error is a *spool.Refusal.
	Authenticate(key string) (spool.AccountID, string, error)
	// Withdrawn returns a channel that is closed when the key is withdrawn or
	// expires, or when this process is isolated.
	Withdrawn(keyID string) <-chan struct{}
	// Isolated reports whether this process has lost contact with the control
	// stream and so cannot learn of withdrawn keys.
	Isolated() bool
	// Settings returns the values that apply to an account and a program; either
	// may be empty.
	Settings(account spool.AccountID, program spool.ProgramID) Settings
	// Draining reports whether an endpoint, or its failure domain, is draining.
	// An empty endpoint asks about the failure domain alone.
	Draining(domain spool.FailureDomain, endpoint spool.EndpointID) bool
	// Services lists the services, sorted by name.
	Services() []Service
	// Offset returns the offset of the control stream that is in force.
	Offset() spool.Offset
}

// Limits enforces the rate limits of the accounts.
type Limits interface {
	// Admit admits one request or refuses it with CodeRateLimited. While tokens
	// are scarce, requests of a higher class are admitted first.
	Admit(ctx context.Context, account spool.AccountID, class limit.Class) error
}
