package spool

import (
	"sort"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// CallView describes a call to the scheduling policies.
type CallView struct {
	// Correlation identifies this attempt to run the call.
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
	// PromptTokens is the estimated length of the prompt and MaxTokens the bound of the
	// answer, both in tokens.
	PromptTokens int
	MaxTokens    int
	// ArrivedAt is the time at which the call reached the first process of the system.
	ArrivedAt clock.Millis
	// Deadline is the time after which the answer is useless; 0 means none.
	Deadline clock.Millis
	// Tried lists the endpoints at which earlier attempts of the call have failed. A
	// router prefers other endpoints.
	Tried []EndpointID
}

// IsFirst reports whether the call is a first call: its program tree has not received
// any service yet, so a refusal wastes no finished work. It is always false for an
// alarm call.
func (c CallView) IsFirst() bool { return c.Attained == 0 && !c.Alarm }

// EndpointView describes an endpoint to a router. The values from the endpoint's load
// reports may be out of date.
type EndpointView struct {
	// ID identifies the endpoint.
	ID EndpointID
	// FailureDomain is the failure domain of the endpoint.
	FailureDomain FailureDomain
	// Window is the number of calls that the endpoint's gate let run concurrently at the
	// time of the last report; 0 while unknown.
	Window int
	// Running and Queued are the numbers of running and queued calls in the last
	// report.
	Running int
	Queued  int
	// QueuedStarts is the number of queued first calls; see CallView.IsFirst. They are
	// part of Queued and are served after the other calls.
	QueuedStarts int
	// StartWait is the expected wait of a first call that arrives at the time of the last
	// report.
	StartWait clock.Millis
	// ReportedAt is the time at which this process received the last report.
	ReportedAt clock.Millis
	// SentSinceReport is the number of calls that this process sent after the last
	// report and that have not ended. It corrects for the age of the report.
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
	// Share, from 0 to 1, is the fraction of its normal load that the endpoint should
	// get. It is 0 while the endpoint's failure domain drains; a router must not choose
	// the endpoint then. After the drain it is raised gradually to 1.
	Share float64
}

// Router chooses the endpoint of a call.
type Router interface {
	// Pick returns the chosen endpoint, or false when none is suitable. endpoints is
	// sorted by ID and contains only endpoints that may get new calls.
	Pick(now clock.Millis, call CallView, endpoints []EndpointView) (EndpointID, bool)
}

// Queue orders the calls that wait for one endpoint.
type Queue interface {
	// Push adds a call. Its Correlation must be unique in the queue.
	Push(now clock.Millis, call CallView)
	// Pop removes and returns the call to serve next, or returns false when the queue is
	// empty.
	Pop(now clock.Millis) (CallView, bool)
	// Remove removes the call with the given Correlation, for example because it was
	// cancelled, and reports whether it was in the queue.
	Remove(correlation string) bool
	// Served records the cost, in tokens, of a popped call that has ended, so that the
	// queue can share the endpoint fairly.
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
	// GateCompleted means that a call ended successfully; Latency is set.
	GateCompleted GateEventKind = iota
	// GateFailed means that a call ended with a connection reset or that the engine
	// refused it.
	GateFailed
	// GateReport means that a load report arrived; Load is set.
	GateReport
	// GateCacheEmptied means that a call found no cached prefix although the engine
	// held one shortly before.
	GateCacheEmptied
	// GateStarted means that a call was sent to the endpoint. It lets a gate distinguish
	// an idle endpoint, whose restart breaks no call, from a busy one. A process that
	// reports GateStarted for a call must report GateCompleted, GateFailed or GateEnded
	// when that call ends.
	GateStarted
	// GateEnded means that a call ended in a way that gives no information about the
	// endpoint, for example because the caller cancelled it.
	GateEnded
)

// GateEvent is an observation about one endpoint.
type GateEvent struct {
	// Kind determines which of the other fields are set.
	Kind GateEventKind
	// Latency is the service time of a completed call per generated token, in
	// milliseconds. For a call to a plain service it is the whole service time.
	Latency float64
	// Load is the received load report.
	Load EngineLoad
}

// Gate bounds the number of calls that run on one endpoint at a time.
type Gate interface {
	// Window returns how many calls may run now; at least 1.
	Window(now clock.Millis) int
	// Observe records an event.
	Observe(now clock.Millis, event GateEvent)
	// Cold reports whether the gate assumes that the endpoint is in cold start.
	Cold(now clock.Millis) bool
}

// Failure is the reason of a failed attempt. Each value has its own counter in the
// metrics.
type Failure string

// The failures.
const (
	// FailureNotSent means that the request provably did not reach the endpoint.
	FailureNotSent Failure = "notSent"
	// FailureRefused means that the endpoint refused the call because of its own state,
	// for example because it drains.
	FailureRefused Failure = "refused"
	// FailureLost means that the connection failed after the request may have been sent.
	FailureLost Failure = "lost"
	// FailureSilent means that the endpoint's heartbeats stopped during the call.
	FailureSilent Failure = "silent"
	// FailureEndpoint means that the endpoint refused the call for a reason that no other
	// value describes.
	FailureEndpoint Failure = "endpointError"
	// FailureNotOwner means that the request reached an entry that does not own the
	// stream of the program, or that is shutting down, or that the stream has no owner.
	FailureNotOwner Failure = "notOwner"
	// FailureTimeout means that the deadline passed or the request was cancelled.
	FailureTimeout Failure = "timeout"
	// FailureFenced means that the agent refused the call because of its epoch or mark.
	FailureFenced Failure = "fenced"
	// FailureOverloaded means that the endpoint refused the call because of its load.
	FailureOverloaded Failure = "overloaded"
	// FailureOutcomePending means that the outcome of an earlier attempt at the call is
	// not known yet.
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
	// Started records the first attempt of a call. A policy may limit the retries to a
	// fraction of the first attempts.
	Started(now clock.Millis)
	// Retry returns the wait before the next attempt, or false when the call must not
	// be retried.
	Retry(now clock.Millis, attempt Attempt) (clock.Millis, bool)
}

// Options are the numeric parameters, by name, of the constructor of a policy. A policy
// has a default for each option that it reads.
type Options map[string]float64

// Get returns the value of the option with the given name, or fallback when it is not
// set.
func (o Options) Get(name string, fallback float64) float64 {
	if value, ok := o[name]; ok {
		return value
	}
	return fallback
}

// ErrUnknownPolicy means that no policy is registered under the requested name.
var ErrUnknownPolicy = errors.New("unknown policy")

// Registry holds the constructors of one kind of policy by name. The zero value is
// empty and ready for use.
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

// New returns a new instance of the policy with the given name. It fails with
// ErrUnknownPolicy when the name is not registered. seed initializes the random
// generator of the policy, so that runs with the same seed are reproducible.
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
