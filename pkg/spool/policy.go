package spool

import (
	"sort"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

// CallView is what a policy may know of a call.
type CallView struct {
	// Correlation identifies this dispatch.
	Correlation string
	// Program is the program; Root is the program whose budget pays.
	Program ProgramID
	Root    ProgramID
	// Account is the client account that pays.
	Account AccountID
	// Weight is the account's share in fair queueing; 1 is the default.
	Weight float64
	// Alarm marks a call that goes before all other work.
	Alarm bool
	// Attained is the service, in tokens, that the root program has had.
	Attained int
	// PromptTokens is the length of the prompt; MaxTokens bounds the answer.
	PromptTokens int
	MaxTokens    int
	// ArrivedAt is when the call reached the first process of the system.
	ArrivedAt clock.Millis
	// Deadline is the instant after which the answer is of no use; 0 for none.
	Deadline clock.Millis
	// Tried lists the endpoints that have refused the call.
	Tried []EndpointID
}

// Start reports whether the call is the first one of its root program: refusing
// it wastes no work. Alarms do not count.
func (c CallView) Start() bool { return c.Attained == 0 && !c.Alarm }

// EndpointView is what a router may know of an endpoint. Reports lag.
type EndpointView struct {
	// ID names the endpoint.
	ID EndpointID
	// FailureDomain is where it runs.
	FailureDomain FailureDomain
	// Window is the number of calls that its gate admitted at once when it last
	// reported; 0 while unknown.
	Window int
	// Running and Queued are from its last report.
	Running int
	Queued  int
	// QueuedStarts counts those of the queued calls that begin a program, which
	// go last.
	QueuedStarts int
	// StartWait is how long such a call would have waited at the last report.
	StartWait clock.Millis
	// ReportedAt is when that report was received.
	ReportedAt clock.Millis
	// SentSince counts calls that this process sent after that report and that
	// have not ended; it corrects for the lag.
	SentSince int
	// CachedTokens is how much of this call's prompt the endpoint is believed to
	// hold. It is a guess.
	CachedTokens int
	// MillisPerCall is the moving average of service time without queueing.
	MillisPerCall float64
	// PrefillTokensPerMilli is how fast the endpoint computes a prompt.
	PrefillTokensPerMilli float64
	// Share is in (0,1]; below 1 while a returning failure domain is ramped up.
	Share float64
}

// Router chooses the endpoint of a call.
type Router interface {
	// Pick returns the chosen endpoint. endpoints holds only those that may get
	// new work and is sorted by ID. It returns false when none is fit.
	Pick(now clock.Millis, call CallView, endpoints []EndpointView) (EndpointID, bool)
}

// Queue orders the calls that wait in front of one endpoint.
type Queue interface {
	// Push adds a call. Correlation must be unique in the queue.
	Push(now clock.Millis, call CallView)
	// Pop removes and returns the call to serve next.
	Pop(now clock.Millis) (CallView, bool)
	// Remove takes out a call that was cancelled and reports whether it waited.
	Remove(correlation string) bool
	// Served tells the queue the cost, in tokens, of a call that has ended.
	Served(now clock.Millis, call CallView, tokens int)
	// Ahead counts the waiting calls that may be served before call, were it
	// pushed now.
	Ahead(call CallView) int
	// Len counts the waiting calls.
	Len() int
}

// GateEventKind tells what a gate has observed.
type GateEventKind int

// The events of a gate.
const (
	// GateCompleted is a call that ended well; Latency is set.
	GateCompleted GateEventKind = iota
	// GateFailed is a call that ended with a reset or a refusal by the engine.
	GateFailed
	// GateReport is a load report; Load is set.
	GateReport
	// GateCacheEmptied means that a call found no cached prefix although the
	// engine held one a moment ago.
	GateCacheEmptied
	// GateStarted is a call that was sent to the endpoint. It lets a gate tell an
	// idle endpoint, whose restart breaks no call, from a busy one. A process
	// that sends it ends each call with GateCompleted, GateFailed or GateEnded.
	GateStarted
	// GateEnded is a call that ended without telling anything about the
	// endpoint, for example one that its caller cancelled.
	GateEnded
)

// GateEvent is an observation about one endpoint.
type GateEvent struct {
	// Kind tells which of the other fields are set.
	Kind GateEventKind
	// Latency is the service time per generated token of a completed call.
	Latency float64
	// Load is the report.
	Load EngineLoad
}

// Gate bounds the number of calls that run on one endpoint at a time.
type Gate interface {
	// Window returns how many calls may run now; at least 1.
	Window(now clock.Millis) int
	// Observe takes an event in.
	Observe(now clock.Millis, event GateEvent)
	// Cold reports whether the endpoint is held to be in cold start.
	Cold(now clock.Millis) bool
}

// Failure is why an attempt failed. Each value has its own retry counter.
type Failure string

// The failures.
const (
	FailureNotSent    Failure = "notSent"
	FailureRefused    Failure = "refused"
	FailureLost       Failure = "lost"
	FailureSilent     Failure = "silent"
	FailureEndpoint   Failure = "endpointError"
	FailureNotOwner   Failure = "notOwner"
	FailureTimeout    Failure = "timeout"
	FailureFenced     Failure = "fenced"
	FailureOverloaded Failure = "overloaded"
	FailurePending    Failure = "fatePending"
)

// Attempt describes a failed attempt to a retry policy.
type Attempt struct {
	// Number is 1 for the first attempt.
	Number int
	// Failure is why it failed.
	Failure Failure
	// NotRun tells whether the call provably did not run.
	NotRun bool
	// Idempotent tells whether the call may run again.
	Idempotent bool
	// Deadline is the instant after which a retry is pointless; 0 for none.
	Deadline clock.Millis
	// RetryAfter is the wait that the endpoint asked for; 0 when it did not.
	RetryAfter clock.Millis
}

// RetryPolicy decides whether a failed attempt is repeated.
type RetryPolicy interface {
	// Started counts a first attempt; retries are a share of these.
	Started(now clock.Millis)
	// Retry returns the wait before the next attempt, or false.
	Retry(now clock.Millis, attempt Attempt) (clock.Millis, bool)
}

// Options are the numbers that a policy's constructor may read. Every policy
// has a default for each number that it reads.
type Options map[string]float64

// Get returns the option, or fallback when it is not set.
func (o Options) Get(name string, fallback float64) float64 {
	if value, ok := o[name]; ok {
		return value
	}
	return fallback
}

// ErrUnknownPolicy means that no plug-in of that name has been registered.
var ErrUnknownPolicy = errors.New("unknown policy")

// Registry holds the constructors of one kind of policy by name.
type Registry[P any] struct {
	constructors map[string]func(seed uint64, options Options) P
}

// The registries. Plug-ins add themselves from an init function.
var (
	Routers = &Registry[Router]{}
	Queues  = &Registry[Queue]{}
	Gates   = &Registry[Gate]{}
	Retries = &Registry[RetryPolicy]{}
	Pauses  = &Registry[PausePolicy]{}
)

// Register adds a constructor. A second registration of a name is a
// programming error and panics.
func (r *Registry[P]) Register(name string, constructor func(seed uint64, options Options) P) {
	if r.constructors == nil {
		r.constructors = map[string]func(uint64, Options) P{}
	}
	if _, exists := r.constructors[name]; exists {
		panic("policy " + name + " is registered twice")
	}
	r.constructors[name] = constructor
}

// New builds the policy of the given name. seed feeds the policy's own random
// source, so that runs can be repeated.
func (r *Registry[P]) New(name string, seed uint64, options Options) (policy P, err error) {
	constructor, ok := r.constructors[name]
	if !ok {
		return policy, errors.Wrapf(ErrUnknownPolicy, "%q, known are %v", name, r.Names())
	}
	return constructor(seed, options), nil
}

// Names lists the registered policies in order.
func (r *Registry[P]) Names() []string {
	names := make([]string, 0, len(r.constructors))
	for name := range r.constructors {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
