package settings

import (
	"sort"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Names of settings by the type of their value, so that a lookup with the wrong
// type does not compile.
type (
	// Number names a setting with a fractional value.
	Number string
	// Integer names a setting with a whole value.
	Integer string
	// Duration names a setting in milliseconds.
	Duration string
	// Boolean names a setting that is true or false.
	Boolean string
	// Text names a setting with a text value.
	Text string
)

// The known settings.
const (
	LimitRatePerSecond    Number   = "limit.ratePerSecond"
	LimitBurst            Number   = "limit.burst"
	LimitStaticShare      Number   = "limit.staticShare"
	AccountWeight         Number   = "account.weight"
	BudgetTokens          Integer  = "budget.tokens"
	BudgetCalls           Integer  = "budget.calls"
	BudgetWallMs          Duration = "budget.wallMs"
	BudgetDepth           Integer  = "budget.depth"
	BudgetChildren        Integer  = "budget.children"
	CallTimeoutMs         Duration = "call.timeoutMs"
	CallMaxTokens         Integer  = "call.maxTokens"
	ProgramIdleMs         Duration = "program.idleMs"
	PolicyRouter          Text     = "policy.router"
	PolicyQueue           Text     = "policy.queue"
	PolicyGate            Text     = "policy.gate"
	PolicyRetry           Text     = "policy.retry"
	PolicyPause           Text     = "policy.pause"
	PauseHighShare        Number   = "pause.highShare"
	PauseLowShare         Number   = "pause.lowShare"
	PausePrefillSpeed     Number   = "pause.prefillTokensPerMs"
	PauseTransferSpeed    Number   = "pause.transferTokensPerMs"
	GateColdConcurrency   Integer  = "gate.coldConcurrency"
	GateMaxConcurrency    Integer  = "gate.maxConcurrency"
	QueueMaxWaitMs        Duration = "queue.maxWaitMs"
	QueueStartMaxWaitMs   Duration = "queue.startMaxWaitMs"
	OrderStartPatienceMs  Duration = "order.startPatienceMs"
	RoutingStartWaitMs    Duration = "routing.startWaitMs"
	RoutingLossWaitMs     Duration = "routing.lossStartWaitMs"
	RetryBudgetShare      Number   = "retry.budgetShare"
	RetryMaxAttempts      Integer  = "retry.maxAttempts"
	MemoryLeaseMs         Duration = "memory.leaseMs"
	ControlIsolationMs    Duration = "control.isolationMs"
	DrainRampMs           Duration = "drain.rampMs"
	DrainFailureDomain    Boolean  = "drain.failureDomain"
	DrainEndpoint         Boolean  = "drain.endpoint"
	EntryMember           Boolean  = "entry.member"
	maxMillis                      = 7 * 24 * 3600 * 1000
	maxConcurrencySetting          = 100000
)

var (
	fleetOnly   = []Level{LevelFleet}
	placeLevels = []Level{LevelFleet, LevelRegion, LevelFailureDomain}
	payerLevels = []Level{LevelFleet, LevelAccount}
	callLevels  = []Level{LevelFleet, LevelRegion, LevelFailureDomain, LevelAccount, LevelProgram}
	spendLevels = []Level{LevelFleet, LevelAccount, LevelProgram}
)

var registry = map[string]*Spec{}

func init() {
	number(LimitRatePerSecond, "requests/s", 0, 1e6, 50, payerLevels, "Requests that one client account may start per second, counted over all VMs together.")
	number(LimitBurst, "requests", 1, 1e6, 100, payerLevels, "Requests that an account may start at once after a pause, counted over all VMs together.")
	number(LimitStaticShare, "share", 0, 1, 0.2, payerLevels, "Part of an account's rate that is split evenly over the entries and needs no lease.")
	number(AccountWeight, "share", 0.01, 1000, 1, payerLevels, "Share of the account in weighted fair queueing.")
	integer(BudgetTokens, "tokens", 1, 1e12, 2e6, spendLevels, "Tokens that a program and its sub-agents may spend.")
	integer(BudgetCalls, "calls", 1, 1e9, 1000, spendLevels, "Calls that a program and its sub-agents may make.")
	duration(BudgetWallMs, 1, maxMillis, 4*3600*1000, spendLevels, "Time that a program may take from its creation.")
	integer(BudgetDepth, "levels", 0, 64, 4, spendLevels, "Levels of sub-agents below a program.")
	integer(BudgetChildren, "programs", 0, 1e6, 64, spendLevels, "Sub-agents of a program over its life.")
	duration(CallTimeoutMs, 1, maxMillis, 120000, callLevels, "Time that one call may take when the caller names no deadline.")
	integer(CallMaxTokens, "tokens", 1, 1e7, 4096, callLevels, "Generated tokens of one call when the caller names no limit.")
	duration(ProgramIdleMs, 1000, maxMillis, 3600*1000, callLevels, "Pause after which an idle program is ended.")
	text(PolicyRouter, "affinity", placeLevels, spool.Routers.Names, "Policy that chooses the endpoint of a call.")
	text(PolicyQueue, "fair", placeLevels, spool.Queues.Names, "Policy that orders the calls in front of an endpoint.")
	text(PolicyGate, "adaptive", placeLevels, spool.Gates.Names, "Policy that bounds the concurrency of an endpoint.")
	text(PolicyRetry, "budgeted", placeLevels, spool.Retries.Names, "Policy that decides on retries.")
	text(PolicyPause, "export", placeLevels, spool.Pauses.Names, "Policy that decides on a program's engine memory while its tool runs.")
	number(PauseHighShare, "share", 0.01, 1, 0.85, placeLevels, "Fill of an engine's prefix cache above which prefixes of paused programs are exported.")
	number(PauseLowShare, "share", 0, 1, 0.75, placeLevels, "Fill of the cache that these exports aim at.")
	number(PausePrefillSpeed, "tokens/ms", 0.001, 1e6, 10, placeLevels, "Speed at which an engine computes a prompt.")
	number(PauseTransferSpeed, "tokens/ms", 0.001, 1e6, 80, placeLevels, "Speed at which an engine exports and imports a prefix. Nothing is exported where this is not faster than computing.")
	integer(GateColdConcurrency, "calls", 1, maxConcurrencySetting, 1, placeLevels, "Concurrent calls on an endpoint in cold start.")
	integer(GateMaxConcurrency, "calls", 1, maxConcurrencySetting, 16, placeLevels, "Highest concurrency of an endpoint.")
	duration(QueueMaxWaitMs, 0, maxMillis, 30000, callLevels, "Expected wait beyond which an endpoint refuses new calls.")
	duration(QueueStartMaxWaitMs, 1, maxMillis, 110000, placeLevels, "Expected wait beyond which an endpoint refuses first calls of programs.")
	duration(OrderStartPatienceMs, 0, maxMillis, 105000, placeLevels, "Wait at an endpoint after which the first call of a program is queued like a call of a program that has begun.")
	duration(RoutingStartWaitMs, 0, maxMillis, 30000, callLevels, "Expected wait beyond which an entry refuses first calls of programs while no capacity is lost; 0 for no bound.")
	duration(RoutingLossWaitMs, 0, maxMillis, 110000, callLevels, "The same bound once a fifth of the capacity is lost; in between it changes evenly.")
	number(RetryBudgetShare, "share", 0, 1, 0.1, placeLevels, "Retries as a share of first attempts.")
	integer(RetryMaxAttempts, "attempts", 1, 20, 10, placeLevels, "Attempts of one call, the first included.")
	duration(MemoryLeaseMs, 100, maxMillis, 30000, callLevels, "How long an endpoint keeps a program's engine memory without renewal.")
	duration(ControlIsolationMs, 500, 600000, 5000, placeLevels, "Time without the log and without peers after which an entry refuses keyed requests.")
	duration(DrainRampMs, 0, maxMillis, 30000, placeLevels, "Time over which a returning failure domain is brought back to its full share.")
	boolean(DrainFailureDomain, []Level{LevelFailureDomain}, false, "True takes the failure domain out: it gets no new work.")
	boolean(DrainEndpoint, fleetOnly, false, "True takes one endpoint out: it gets no new work. One value per endpoint.")
	registry[string(DrainEndpoint)].Keyed = true
	boolean(EntryMember, fleetOnly, false, "True gives an entry its part of every account's static rate. One value per entry; the entries maintain it themselves.")
	registry[string(EntryMember)].Keyed = true
}

// Lookup returns the spec of a setting.
func Lookup(name string) (*Spec, bool) {
	spec, ok := registry[name]
	return spec, ok
}

// Specs lists every known setting in order of its name.
func Specs() []*Spec {
	specs := make([]*Spec, 0, len(registry))
	for _, spec := range registry {
		specs = append(specs, spec)
	}
	sort.Slice(specs, func(i, j int) bool { return specs[i].Name < specs[j].Name })
	return specs
}

func number(name Number, unit string, low, high, fallback float64, levels []Level, description string) {
	registry[string(name)] = &Spec{
		Name: string(name), Kind: KindNumber, Unit: unit, Min: low, Max: high,
		Default: Value{kind: KindNumber, number: fallback}, Levels: levels, Description: description,
	}
}

func integer(name Integer, unit string, low, high, fallback float64, levels []Level, description string) {
	registry[string(name)] = &Spec{
		Name: string(name), Kind: KindInteger, Unit: unit, Min: low, Max: high,
		Default: Value{kind: KindInteger, number: fallback}, Levels: levels, Description: description,
	}
}

func duration(name Duration, low, high, fallback float64, levels []Level, description string) {
	registry[string(name)] = &Spec{
		Name: string(name), Kind: KindDuration, Unit: "ms", Min: low, Max: high,
		Default: Value{kind: KindDuration, number: fallback}, Levels: levels, Description: description,
	}
}

func boolean(name Boolean, levels []Level, fallback bool, description string) {
	registry[string(name)] = &Spec{
		Name: string(name), Kind: KindBoolean, Default: Value{kind: KindBoolean, flag: fallback},
		Levels: levels, Description: description,
	}
}

func text(name Text, fallback string, levels []Level, choices func() []string, description string) {
	registry[string(name)] = &Spec{
		Name: string(name), Kind: KindText, Default: Value{kind: KindText, text: fallback},
		Levels: levels, Choices: choices, Description: description,
	}
}
