// Package bench simulates the policies and the account limits in virtual time and
// compares them with a naive baseline. Simulated engines and callers drive the same
// policy code that the real processes run. VMs and processes are not modelled, and the
// network is a constant delay.
//
// Sizes follow section 1.7 of the design: 12,000 requests and 3.5 million tokens
// per second on 11,000 servers are about 1.1 requests per second for each server
// and 290 generated tokens per request.
//
// In the cell with short memory, the prefix cache has 60,000 tokens and tools run
// eight times as long. In every cell, an engine exports and imports prefixes at 80
// tokens per millisecond, one prefix at a time, and stores exports of up to 800,000
// tokens in total.
//
// Capacity is the rate of calls that the engines can answer when every batch is
// full and every prefix is cached. The rates of the accounts add up to it. Load is
// the rate of offered calls as a multiple of capacity. At load 1 and above, two
// small accounts offer four times their rate and the others offer the rest.
package bench

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Parameters of the engines, the callers and the run. They must not be tuned to
// meet a target: they were fixed before the first measurement. Sizes are in tokens
// and speeds in tokens per millisecond. tokenMillis is the time to generate a token in
// an empty batch; a full batch multiplies it by 1+batchSlowdown. networkDelay is the
// delay of every message between processes, listLag that of changes of the VM list.
// coolDown is the time after the measured window in which running programs can end;
// new programs still start in it.
const (
	// slots is the size of a full batch.
	slots = 8
	// coldCapacity is the number of concurrent calls that a cold engine tolerates,
	// warmAfterCalls the number of completed calls that end a cold start.
	coldCapacity   = 2
	warmAfterCalls = 8
	// tokenMillis and batchSlowdown set the speed of generated tokens. prefillSpeed is the
	// speed at which uncached prompt tokens are computed.
	tokenMillis   = 25.0
	batchSlowdown = 0.5
	prefillSpeed  = 8.0
	// cacheTokens is the size of the prefix cache. In the cell with short memory, it is
	// shortCacheTokens and tool pauses are longPauseFactor times as long.
	cacheTokens      = 200_000
	shortCacheTokens = 60_000
	longPauseFactor  = 8
	// An export or import of a prefix takes transferSetupMillis plus its tokens at
	// transferSpeed. exportTokens is the size of the storage for exports.
	transferSpeed       = 80.0
	transferSetupMillis = 10.0
	exportTokens        = 800_000
	// reportLag is the delay of load reports and cache events, reportInterval the time
	// between two load reports, eventLoss the share of lost cache events.
	reportLag      = 500 * clock.Millis(1)
	reportInterval = 250 * clock.Millis(1)
	eventLoss      = 0.1
	// restartTime is the time for which all calls to a restarting engine fail.
	restartTime  = 5 * clock.Second
	networkDelay = clock.Millis(1)
	listLag      = 1500 * clock.Millis(1)
	// returnRamp is the time in which the share of a returned endpoint grows to 1.
	returnRamp = 30 * clock.Second
	// queueMaxWait and maxFirstCallWait bound the expected wait in the queue of an agent,
	// for calls in general and for first calls of programs under the tested policies.
	queueMaxWait     = 30 * clock.Second
	maxFirstCallWait = 110 * clock.Second
	// callTimeout is the time for which a caller repeats a refused call,
	// minCallerRetryWait the shortest wait between two of its attempts.
	callTimeout        = 120 * clock.Second
	minCallerRetryWait = 500 * clock.Millis(1)

	// Times since the start of the run: the measured window begins at warmUp. A failure
	// domain is drained at drainAt and returns at returnAt; the service phase ends at
	// serviceEnd. An engine restarts at restartAt. windowLength is the length of the
	// measured window.
	warmUp       = 200 * clock.Second
	windowLength = 800 * clock.Second
	drainAt      = warmUp + 200*clock.Second
	returnAt     = warmUp + 350*clock.Second
	serviceEnd   = returnAt + 60*clock.Second
	restartAt    = warmUp + 600*clock.Second
	coolDown     = 1200 * clock.Second

	// greedyFactor is the offered rate of a greedy account as a multiple of its rate.
	greedyFactor = 4.0
)

// Deployment is a set of endpoints and its client accounts.
type Deployment struct {
	// Name is the name of the deployment in section 1.1 of docs/design.md.
	Name string
	// Domains lists the failure domains. One entry runs in each.
	Domains []string
	// Endpoints is the number of endpoints, spread evenly over the domains.
	Endpoints int
	// Accounts lists the accounts. Their capacity shares add up to 1.
	Accounts []Account
}

// Account is a client account.
type Account struct {
	// Name is the identifier of the account.
	Name string
	// CapacityShare is the rate of the account as a fraction of the capacity.
	CapacityShare float64
	// Greedy makes the account send greedyFactor times its rate at load 1 and above.
	Greedy bool
	// AlarmProbability is the probability, for each program, that an additional alarm
	// program follows it.
	AlarmProbability float64
}

// Deployments returns the two simulated deployments at their current sizes.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "sahel", Domains: []string{"ndar-a", "dkr-b", "ths-c", "klk-d"}, Endpoints: 8,
			Accounts: []Account{
				{Name: "atelier", CapacityShare: 0.27},
				{Name: "bazaar", CapacityShare: 0.22},
				{Name: "caravan", CapacityShare: 0.18},
				{Name: "dyer", CapacityShare: 0.09},
				{Name: "estate", CapacityShare: 0.08},
				{Name: "fringe", CapacityShare: 0.06},
				{Name: "gallery", CapacityShare: 0.05, Greedy: true},
				{Name: "hall", CapacityShare: 0.05, Greedy: true},
			},
		},
		{
			Name: "kuiseb", Domains: []string{"swakop-a", "walvis-b", "henties-c"}, Endpoints: 9,
			Accounts: []Account{
				{Name: "arandis", CapacityShare: 0.25, AlarmProbability: 0.1},
				{Name: "bethanie", CapacityShare: 0.22, AlarmProbability: 0.1},
				{Name: "cape-cross", CapacityShare: 0.18},
				{Name: "dorob", CapacityShare: 0.1, AlarmProbability: 0.1},
				{Name: "erongo", CapacityShare: 0.08},
				{Name: "fogline", CapacityShare: 0.07, AlarmProbability: 0.1},
				{Name: "gobabeb", CapacityShare: 0.05, Greedy: true},
				{Name: "homeb", CapacityShare: 0.05, Greedy: true},
			},
		},
	}
}

// Variant selects the policies of one side of the comparison.
type Variant struct {
	// Router, Queue, Gate, Retry and Pause are registered names of policies.
	Router, Queue, Gate, Retry, Pause string
	// UseLeases makes the entries share the rate of each account through the leases of
	// package limit. Otherwise each entry has an equal, fixed part of the rate.
	UseLeases bool
	// MaxFirstCallWait bounds the expected wait of the first call of a program at an
	// agent; the bound of other calls is queueMaxWait. The estimate of the wait then
	// accounts for a queue that places first calls behind calls of programs that have
	// begun. With 0, the bound and the estimate are the same for all calls.
	MaxFirstCallWait clock.Millis
	// Options are passed to all policies; they override the default options of the run.
	Options spool.Options
	// unlimited marks the reference variant: engines have unlimited capacity, and one
	// central token bucket for each account replaces the limits of the entries. Its
	// answered calls determine the calls that each account is entitled to.
	unlimited bool
}

// BaselineVariant returns the naive policies.
func BaselineVariant() Variant {
	return Variant{Router: "roundRobin", Queue: "fcfs", Gate: "fixed", Retry: "always", Pause: "keep"}
}

// PolicyVariant returns the policies under test.
func PolicyVariant() Variant {
	return Variant{Router: "affinity", Queue: "fair", Gate: "adaptive", Retry: "budgeted", Pause: "export", UseLeases: true, MaxFirstCallWait: maxFirstCallWait}
}

// referenceVariant returns the baseline policies on engines without limits; see
// Variant.unlimited.
func referenceVariant() Variant {
	variant := BaselineVariant()
	variant.unlimited = true
	return variant
}
