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
	// Submit appends records to a stream that this process serves. It returns nil
	// once they are durable and Applier.Apply has returned for them. Durable means
	// committed to the log or, unless needsLog is true, stored at a replica in
	// another failure domain. An error is a *spool.Refusal. Its NotRun is
	// NotRunTrue only if the records are not on the stream and never will be.
	Submit(ctx context.Context, stream spool.Stream, records []spool.Record, needsLog bool) error
	// Epoch returns the epoch in which this process serves a stream, or false if
	// it does not serve the stream.
	Epoch(stream spool.Stream) (spool.Epoch, bool)
	// OwnerOf returns the known owner of a stream, or, if there is none or it has
	// failed, the entry that should claim the stream, with its wire address; false
	// if there is neither. The address is empty if that entry is considered dead,
	// as an owner whose region cannot be reached is, or its address is not known.
	OwnerOf(stream spool.Stream) (spool.NodeID, string, bool)
	// LiveMembers lists the live entry processes.
	LiveMembers() []spool.VM
	// Endpoints lists the live endpoints of a service, not those that are leaving.
	Endpoints(service spool.ServiceName) []spool.VM
	// ReleaseAll hands all streams of this process over to other entry processes.
	// It is called at shutdown.
	ReleaseAll(ctx context.Context) error
	// Handlers returns the wire methods that the implementation needs on the
	// entry's wire server, for messages between entry processes.
	Handlers() wire.Mux
}

// Applier builds the program state of the streams that this process owns or
// recovers from their batches. For one stream, its methods are called in order on
// one goroutine, so no two of them run concurrently.
type Applier interface {
	// Reset drops the state of a stream and starts the recovery of the stream.
	Reset(stream spool.Stream, epoch spool.Epoch)
	// Apply applies one batch that is valid under the fencing rules. The batches of
	// a stream arrive in the order of the log, but possibly before they are
	// committed to it.
	Apply(stream spool.Stream, batch spool.Batch)
	// StreamServing reports that the recovery is complete and this process serves
	// the stream.
	StreamServing(stream spool.Stream, epoch spool.Epoch)
	// StreamLost reports that this process no longer owns the stream.
	StreamLost(stream spool.Stream)
	// Snapshot returns records that rebuild the state after all batches applied so
	// far, so that they can replace these batches.
	Snapshot(stream spool.Stream) []spool.Record
}

// ServiceKind is the kind of the endpoints of a service.
type ServiceKind string

// The kinds of services: ServiceModel for endpoints that are model engines,
// ServicePlain for endpoints that serve other HTTP requests.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "service"
)

// Service is a group of interchangeable endpoints.
type Service struct {
	// Name is the unique name of the service.
	Name spool.ServiceName
	// Kind is ServiceModel or ServicePlain.
	Kind ServiceKind
	// Models lists the models that a model service can run; empty for a plain
	// service.
	Models []spool.ModelName
}

// Settings are the operators' settings that apply to one program of one account.
type Settings struct {
	// RateLimit is the rate limit of the account.
	RateLimit usage.Limit
	// Weight is the weight of the account's calls in the fair queueing of the
	// agents: a higher weight gets a larger share of an endpoint.
	Weight float64
	// Budget is the default and the maximum of the budget of the program; a
	// request can only lower it.
	Budget program.Budget
	// MaxTokens is the maximum length of an answer, in tokens, if the call
	// specifies none.
	MaxTokens int
	// IdleTimeout is the time without a request or a running call after which a
	// program is ended; 0 for never.
	IdleTimeout clock.Millis
	// CallTimeout is the timeout of a call without a deadline; 0 for none.
	CallTimeout clock.Millis
	// LeaseDuration is the time for which an agent keeps a program's engine memory
	// without a renewal; 0 for the default.
	LeaseDuration clock.Millis
	// RampFor is the time, from the end of a failure domain's drain, over which
	// the usable share of the domain's capacity grows to 1; 0 for at once.
	RampFor clock.Millis
	// Router and Retry are the names of the router and the retry policy; empty for
	// the defaults, "affinity" and "budgeted".
	Router string
	Retry  string
	// Options holds the numeric options of both policies.
	Options spool.Options
}

// Control gives access to the state that operators publish: keys, settings,
// services and drains.
type Control interface {
	// Authenticate returns the account and the key identifier of a valid API key.
	// An error is a *spool.Refusal.
	Authenticate(key string) (spool.AccountID, string, error)
	// Withdrawn returns a channel that is closed when the key is withdrawn or
	// expires, or when this process is isolated.
	Withdrawn(keyID string) <-chan struct{}
	// Isolated reports whether this process is cut off from the control stream, so
	// that it cannot learn of withdrawn keys and must refuse requests with a key.
	Isolated() bool
	// Settings returns the settings that apply to a program of an account. With an
	// empty program these are the settings of the account; with both empty, those
	// of the deployment.
	Settings(account spool.AccountID, program spool.ProgramID) Settings
	// Draining reports whether an endpoint, or its failure domain, is draining.
	// An empty endpoint asks about the failure domain alone.
	Draining(domain spool.FailureDomain, endpoint spool.EndpointID) bool
	// Services lists the services, sorted by name.
	Services() []Service
	// Offset returns the offset up to which this process has applied the control
	// stream.
	Offset() spool.Offset
}

// Limits enforces the rate limits of the accounts.
type Limits interface {
	// Admit charges one request to the account's rate limit. If no token is left,
	// it waits for a short time, in which requests of a more urgent class are
	// admitted first. An error is a *spool.Refusal, with CodeRateLimited if the
	// request exceeds the limit.
	Admit(ctx context.Context, account spool.AccountID, class limit.Class) error
}
