package spool

import (
	"sort"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// CallView describes a call to a policy.
type CallView struct {
	// Correlation identifies this dispatch.
	Correlation string
	// Program is the program that made the call. Root is the root of its program
	// tree; the call is charged to the budget of the tree.
	Program ProgramID
	Root    ProgramID
	// Account is the client account that is charged.
	Account AccountID
	// Weight is the account's share in fair queueing; 1 is the default.
	Weight float64
	// Alarm marks a call that takes precedence over all other work.
	Alarm bool
	// Attained is the service, in tokens, that the tree of Root has received so far.
	Attained int
	// PromptTokens is the length of the prompt; MaxTokens bounds the answer.
	PromptTokens int
	MaxTokens    int
	// ArrivedAt is the time at which the call reached the first process of the system.
	ArrivedAt clock.Millis
	// Deadline is the time after which the answer is useless; 0 means none.
	Deadline clock.Millis
	// Tried lists the endpoints that have refused the call.
	Tried []EndpointID
}

// Start reports whether the call is the first one of its program tree. Refusing
// such a call wastes no work. Alarm calls never count as first calls.
func (c CallView) IsFirst() bool { return c.Attained == 0 && !c.Alarm }

// EndpointView describes an endpoint to a router. The load reports that it is taken
// from may be out of date.
type EndpointView struct {
	// ID identifies the endpoint.
	ID EndpointID
	// FailureDomain is the failure domain of the endpoint.
	FailureDomain FailureDomain
	// Window is the concurrency limit of the endpoint's gate at its last report; 0
	// while unknown.
	Window int
	// Running and Queued are the numbers of running and queued calls in the last
	// report.
	Running int
	Queued  int
	// QueuedStarts is the number of queued calls that are the first of their program.
	// They are served last.
	QueuedStarts int
	// StartWait is the time that a first call would have waited at the last report.
	StartWait clock.Millis
	// ReportedAt is the time at which the last report was received.
	ReportedAt clock.Millis
	// SentSince is the number of calls that this process sent after the last report
	// and that have not ended. It corrects for the age of the report.
	SentSinceReport int
	// CachedTokens estimates the part of the call's prompt that is in the endpoint's
	// prefix cache.
	CachedTokens int
	// MillisPerCall is the moving average of the service time in milliseconds, without
	// queueing.
	MillisPerCall float64
	// PrefillTokensPerMilli is the speed of the prompt computation, in tokens per
	// millisecond.
	PrefillTokensPerMilli float64
	// Share, in (0,1], is the fraction of its normal load that the endpoint gets. It is
	// below 1 while a returning failure domain is ramped up.
	Share float64
}

// Router chooses the endpoint of a call.
type Router interface {
	// Pick returns the chosen endpoint, or false when none is suitable. endpoints is
	// sorted by ID and holds only endpoints that may get new work.
	Pick(now clock.Millis, call CallView, endpoints []EndpointView) (EndpointID, bool)
}

// Queue orders the calls that wait for one endpoint.
type Queue interface {
	// Push adds a call. Correlation must be unique in the queue.
	Push(now clock.Millis, call CallView)
	// Pop removes and returns the call to serve next.
	Pop(now clock.Millis) (CallView, bool)
	// Remove removes a cancelled call and reports whether it was in the queue.
	Remove(correlation string) bool
	// Served records the cost, in tokens, of a call that has ended.
	Served(now clock.Millis, call CallView, tokens int)
	// Ahead returns the number of waiting calls that might be served before call if
	// it were pushed now.
	Ahead(call CallView) int
	// Len returns the number of waiting calls.
	Len() int
}

// GateEventKind is the kind of an observation about an endpoint.
type GateEventKind int

// The events of a gate.
const (
	// GateCompleted is a call that ended successfully; Latency is set.
	GateCompleted GateEventKind = iota
	// GateFailed is a call that ended with a connection reset or a refusal of the
	// engine.
	GateFailed
	// GateReport is a load report; Load is set.
	GateReport
	// GateCacheEmptied means that a call found no cached prefix although the engine
	// held one shortly before.
	GateCacheEmptied
	// GateStarted is a call that was sent to the endpoint. It lets a gate distinguish
	// an idle endpoint, whose restart breaks no call, from a busy one. A process that
	// reports GateStarted must report GateCompleted, GateFailed or GateEnded at the
	// end of the same call.
	GateStarted
	// GateEnded is a call whose end gives no information about the endpoint, for
	// example because the caller cancelled it.
	GateEnded
)

// GateEvent is an observation about one endpoint.
type GateEvent struct {
	// Kind determines which of the other fields are set.
	Kind GateEventKind
	// Latency is the service time per generated token of a completed call.
	Latency float64
	// Load is the load report.
	Load EngineLoad
}

// Gate bounds the number of calls that run on one endpoint at a time.
type Gate interface {
	// Window returns how many calls may run now; at least 1.
	Window(now clock.Millis) int
	// Observe records an event.
	Observe(now clock.Millis, event GateEvent)
	// Cold reports whether the gate considers the endpoint to be in cold start.
	Cold(now clock.Millis) bool
}

// Failure is the reason of a failed attempt. Each value has its own retry counter.
type Failure string

// The failures.
const (
	FailureNotSent        Failure = "notSent"
	FailureRefused        Failure = "refused"
	FailureLost           Failure = "lost"
	FailureSilent         Failure = "silent"
	FailureEndpoint       Failure = "endpointError"
	FailureNotOwner       Failure = "notOwner"
	FailureTimeout        Failure = "timeout"
	FailureFenced         Failure = "fenced"
	FailureOverloaded     Failure = "overloaded"
	FailureOutcomePending Failure = "fatePending"
)

// Attempt describes a failed attempt to a retry policy.
type Attempt struct {
	// Number is 1 for the first attempt.
	Number int
	// Failure is the reason of the failure.
	Failure Failure
	// NotRun reports whether the call provably did not run.
	NotRun bool
	// Idempotent reports whether the call may run more than once.
	Idempotent bool
	// Deadline is the time after which a retry is pointless; 0 means none.
	Deadline clock.Millis
	// RetryAfter is the wait that the endpoint requested; 0 when it requested none.
	RetryAfter clock.Millis
}

// RetryPolicy decides whether a failed attempt is repeated.
type RetryPolicy interface {
	// Started counts a first attempt. The retry budget is a share of the first attempts.
	Started(now clock.Millis)
	// Retry returns the wait before the next attempt, or false when the call must not
	// be retried.
	Retry(now clock.Millis, attempt Attempt) (clock.Millis, bool)
}

// Options are numeric parameters for the constructor of a policy. A policy has a
// default for each option that it reads.
type Options map[string]float64

// Get returns the option name, or fallback when it is not set.
func (o Options) Get(name string, fallback float64) float64 {
	if value, ok := o[name]; ok {
		return value
	}
	return fallback
}

// ErrUnknownPolicy means that no policy is registered under the requested name.
var ErrUnknownPolicy = errors.New("unknown policy")

// Registry holds the constructors of one kind of policy by name.
type Registry[P any] struct {
	constructors map[string]func(seed uint64, options Options) P
}

// The registries. Packages of policies register their constructors in an init
// function.
var (
	Routers = &Registry[Router]{}
	Queues  = &Registry[Queue]{}
	Gates   = &Registry[Gate]{}
	Retries = &Registry[RetryPolicy]{}
	Pauses  = &Registry[PausePolicy]{}
)

// Register adds a constructor. It panics when the name is already registered, which
// is a programming error.
func (r *Registry[P]) Register(name string, constructor func(seed uint64, options Options) P) {
	if r.constructors == nil {
		r.constructors = map[string]func(uint64, Options) P{}
	}
	if _, exists := r.constructors[name]; exists {
		panic("policy " + name + " is registered twice")
	}
	r.constructors[name] = constructor
}

// New returns a new instance of the policy with the given name. seed initializes
// the random source of the policy, which makes runs reproducible.
func (r *Registry[P]) New(name string, seed uint64, options Options) (policy P, err error) {
	constructor, ok := r.constructors[name]
	if !ok {
		return policy, errors.Wrapf(ErrUnknownPolicy, "%q, registered policies are %v", name, r.Names())
	}
	return constructor(seed, options), nil
}

// Names returns the names of the registered policies in alphabetical order.
func (r *Registry[P]) Names() []string {
	names := make([]string, 0, len(r.constructors))
	for name := range r.constructors {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
