// Package bench measures the policies and the account limits in virtual time
// beside naive baselines. It models no network, VM or process: fakes of an
// engine and of callers drive the same policy code that the processes run.
//
// Sizes follow section 1.7 of the design: 12,000 requests and 3.5 million tokens
// a second on 11,000 servers are about 1.1 requests a second and 290 generated
// tokens a request for each server.
//
// In the cell with short memory the prefix cache is 60,000 tokens and tools run
// eight times as long. An engine copies 80 tokens a millisecond out of or into its
// cache, one prefix at a time, and keeps exports of up to 800,000 tokens.
//
// Capacity is what the engines answer when every batch is full and every prefix
// is found in the cache; the rates of the accounts add up to it. Load is the
// calls offered as a multiple of capacity. At load 1 and above two small
// accounts offer four times their rate and the others the rest.
package bench

import (
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// The engine and the callers. They were set before the first measurement and
// are not changed to meet a target.
const (
	slots               = 8
	coldCapacity        = 2
	warmAfterCalls      = 8
	tokenMillis         = 25.0
	batchSlowdown       = 0.5
	prefillSpeed        = 8.0
	cacheTokens         = 200_000
	shortCacheTokens    = 60_000
	longPauseFactor     = 8
	transferSpeed       = 80.0
	transferSetupMillis = 10.0
	exportTokens        = 800_000
	reportLag           = 500 * clock.Millis(1)
	reportInterval      = 250 * clock.Millis(1)
	eventLoss           = 0.1
	restartTime         = 5 * clock.Second
	networkDelay        = clock.Millis(1)
	listLag             = 1500 * clock.Millis(1)
	returnRamp          = 30 * clock.Second
	queueMaxWait        = 30 * clock.Second
	startMaxWait        = 110 * clock.Second
	callTimeout         = 120 * clock.Second
	minCallerRetryWait  = 500 * clock.Millis(1)

	warmUp       = 200 * clock.Second
	windowLength = 800 * clock.Second
	drainAt      = warmUp + 200*clock.Second
	returnAt     = warmUp + 350*clock.Second
	serviceEnd   = returnAt + 60*clock.Second
	restartAt    = warmUp + 600*clock.Second
	coolDown     = 1200 * clock.Second

	greedyFactor = 4.0
)

// Deployment is a fleet and its client accounts.
type Deployment struct {
	// Name is that of section 1.1 of the design.
	Name string
	// Domains lists the failure domains; one entry runs in each.
	Domains []string
	// Endpoints is the number of model servers, spread over the domains.
	Endpoints int
	// Accounts split the capacity.
	Accounts []Account
}

// Account is a client account.
type Account struct {
	// Name is its identifier.
	Name string
	// Part is its rate as a part of the capacity.
	Part float64
	// Greedy accounts send several times their rate at load 1 and above.
	Greedy bool
	// AlarmPart is the part of its programs that are alarms.
	AlarmPart float64
}

// Deployments returns the two deployments at today's sizes.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "sahel", Domains: []string{"ndar-a", "dkr-b", "ths-c", "klk-d"}, Endpoints: 8,
			Accounts: []Account{
				{Name: "atelier", Part: 0.27},
				{Name: "bazaar", Part: 0.22},
				{Name: "caravan", Part: 0.18},
				{Name: "dyer", Part: 0.09},
				{Name: "estate", Part: 0.08},
				{Name: "fringe", Part: 0.06},
				{Name: "gallery", Part: 0.05, Greedy: true},
				{Name: "hall", Part: 0.05, Greedy: true},
			},
		},
		{
			Name: "kuiseb", Domains: []string{"swakop-a", "walvis-b", "henties-c"}, Endpoints: 9,
			Accounts: []Account{
				{Name: "arandis", Part: 0.25, AlarmPart: 0.1},
				{Name: "bethanie", Part: 0.22, AlarmPart: 0.1},
				{Name: "cape-cross", Part: 0.18},
				{Name: "dorob", Part: 0.1, AlarmPart: 0.1},
				{Name: "erongo", Part: 0.08},
				{Name: "fogline", Part: 0.07, AlarmPart: 0.1},
				{Name: "gobabeb", Part: 0.05, Greedy: true},
				{Name: "homeb", Part: 0.05, Greedy: true},
			},
		},
	}
}

// Variant names the policies of one side of the comparison.
type Variant struct {
	// Router, Queue, Gate, Retry and Pause are names of plug-ins.
	Router, Queue, Gate, Retry, Pause string
	// Leases selects pkg/limit's leases; otherwise the static split.
	Leases bool
	// StartMaxWait bounds the wait of the first call of a program, which then goes
	// after calls of programs that have begun; 0 treats all calls alike.
	StartMaxWait clock.Millis
	// Options go to the policies.
	Options spool.Options
	// ideal replaces the fleet by engines without limits and the limits by one
	// central bucket; it defines what is due to each account.
	ideal bool
}

// Baseline returns the naive policies.
func Baseline() Variant {
	return Variant{Router: "roundRobin", Queue: "fcfs", Gate: "fixed", Retry: "always", Pause: "keep"}
}

// Policy returns the policies under test.
func Policy() Variant {
	return Variant{Router: "affinity", Queue: "fair", Gate: "adaptive", Retry: "budgeted", Pause: "export", Leases: true, StartMaxWait: startMaxWait}
}

func reference() Variant {
	variant := Baseline()
	variant.ideal = true
	return variant
}
