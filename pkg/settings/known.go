package settings

import (
	"sort"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// The types of setting names. There is one for each type of value, so that a lookup
// with the wrong type does not compile.
type (
	// Number is the name of a setting with a number that may have a fraction.
	Number string
	// Integer is the name of a setting with a whole number.
	Integer string
	// Duration is the name of a setting with a whole number of milliseconds.
	Duration string
	// Boolean is the name of a setting that is true or false.
	Boolean string
	// Text is the name of a setting with a text value.
	Text string
)

// The names of all settings. Their meanings and units are in the calls of register
// functions in init.
const (
	LimitRatePerSecond     Number   = "limit.ratePerSecond"
	LimitBurst             Number   = "limit.burst"
	LimitStaticShare       Number   = "limit.staticShare"
	AccountWeight          Number   = "account.weight"
	BudgetTokens           Integer  = "budget.tokens"
	BudgetCalls            Integer  = "budget.calls"
	BudgetWallMs           Duration = "budget.wallMs"
	BudgetDepth            Integer  = "budget.depth"
	BudgetChildren         Integer  = "budget.children"
	CallTimeoutMs          Duration = "call.timeoutMs"
	CallMaxTokens          Integer  = "call.maxTokens"
	ProgramIdleMs          Duration = "program.idleMs"
	PolicyRouter           Text     = "policy.router"
	PolicyQueue            Text     = "policy.queue"
	PolicyGate             Text     = "policy.gate"
	PolicyRetry            Text     = "policy.retry"
	PolicyPause            Text     = "policy.pause"
	PauseHighShare         Number   = "pause.highShare"
	PauseLowShare          Number   = "pause.lowShare"
	PausePrefillSpeed      Number   = "pause.prefillTokensPerMs"
	PauseTransferSpeed     Number   = "pause.transferTokensPerMs"
	GateColdConcurrency    Integer  = "gate.coldConcurrency"
	GateMaxConcurrency     Integer  = "gate.maxConcurrency"
	QueueMaxWaitMs         Duration = "queue.maxWaitMs"
	QueueStartMaxWaitMs    Duration = "queue.startMaxWaitMs"
	OrderStartPatienceMs   Duration = "order.startPatienceMs"
	RoutingStartWaitMs     Duration = "routing.startWaitMs"
	RoutingLossStartWaitMs Duration = "routing.lossStartWaitMs"
	RetryBudgetShare       Number   = "retry.budgetShare"
	RetryMaxAttempts       Integer  = "retry.maxAttempts"
	MemoryLeaseMs          Duration = "memory.leaseMs"
	ControlIsolationMs     Duration = "control.isolationMs"
	DrainRampMs            Duration = "drain.rampMs"
	DrainFailureDomain     Boolean  = "drain.failureDomain"
	DrainEndpoint          Boolean  = "drain.endpoint"
	EntryMember            Boolean  = "entry.member"
	maxMillis                       = 7 * 24 * 3600 * 1000
	maxConcurrencySetting           = 100000
)

// The sets of levels at which settings may be set.
var (
	fleetOnly      = []Level{LevelFleet}
	locationLevels = []Level{LevelFleet, LevelRegion, LevelFailureDomain}
	accountLevels  = []Level{LevelFleet, LevelAccount}
	allLevels      = []Level{LevelFleet, LevelRegion, LevelFailureDomain, LevelAccount, LevelProgram}
	budgetLevels   = []Level{LevelFleet, LevelAccount, LevelProgram}
)

// registry maps the name of each setting to its spec. It is filled in init and does
// not change later, so reads need no lock.
var registry = map[string]*Spec{}

func init() {
	registerNumber(LimitRatePerSecond, "requests/s", 0, 1e6, 50, accountLevels, "Requests that one client account may start per second, counted over all VMs together.")
	registerNumber(LimitBurst, "requests", 1, 1e6, 100, accountLevels, "Requests that an account may start at once after a pause, counted over all VMs together.")
	registerNumber(LimitStaticShare, "share", 0, 1, 0.2, accountLevels, "Part of an account's rate that is split evenly over the entries and needs no lease.")
	registerNumber(AccountWeight, "share", 0.01, 1000, 1, accountLevels, "Share of the account in weighted fair queueing.")
	registerInteger(BudgetTokens, "tokens", 1, 1e12, 2e6, budgetLevels, "Tokens that a program and its sub-agents may spend.")
	registerInteger(BudgetCalls, "calls", 1, 1e9, 1000, budgetLevels, "Calls that a program and its sub-agents may make.")
	registerDuration(BudgetWallMs, 1, maxMillis, 4*3600*1000, budgetLevels, "Time that a program may take from its creation.")
	registerInteger(BudgetDepth, "levels", 0, 64, 4, budgetLevels, "Levels of sub-agents below a program.")
	registerInteger(BudgetChildren, "programs", 0, 1e6, 64, budgetLevels, "Sub-agents of a program over its life.")
	registerDuration(CallTimeoutMs, 1, maxMillis, 120000, allLevels, "Time that one call may take when the caller names no deadline.")
	registerInteger(CallMaxTokens, "tokens", 1, 1e7, 4096, allLevels, "Generated tokens of one call when the caller names no limit.")
	registerDuration(ProgramIdleMs, 1000, maxMillis, 3600*1000, allLevels, "Pause after which an idle program is ended.")
	registerText(PolicyRouter, "affinity", locationLevels, spool.Routers.Names, "Policy that chooses the endpoint of a call.")
	registerText(PolicyQueue, "fair", locationLevels, spool.Queues.Names, "Policy that orders the calls in front of an endpoint.")
	registerText(PolicyGate, "adaptive", locationLevels, spool.Gates.Names, "Policy that bounds the concurrency of an endpoint.")
	registerText(PolicyRetry, "budgeted", locationLevels, spool.Retries.Names, "Policy that decides on retries.")
	registerText(PolicyPause, "export", locationLevels, spool.Pauses.Names, "Policy that decides on a program's engine memory while its tool runs.")
	registerNumber(PauseHighShare, "share", 0.01, 1, 0.85, locationLevels, "Fill of an engine's prefix cache above which prefixes of paused programs are exported.")
	registerNumber(PauseLowShare, "share", 0, 1, 0.75, locationLevels, "Fill of the cache that these exports aim at.")
	registerNumber(PausePrefillSpeed, "tokens/ms", 0.001, 1e6, 10, locationLevels, "Speed at which an engine computes a prompt.")
	registerNumber(PauseTransferSpeed, "tokens/ms", 0.001, 1e6, 80, locationLevels, "Speed at which an engine exports and imports a prefix. Nothing is exported where this is not faster than computing.")
	registerInteger(GateColdConcurrency, "calls", 1, maxConcurrencySetting, 1, locationLevels, "Concurrent calls on an endpoint in cold start.")
	registerInteger(GateMaxConcurrency, "calls", 1, maxConcurrencySetting, 16, locationLevels, "Highest concurrency of an endpoint.")
	registerDuration(QueueMaxWaitMs, 0, maxMillis, 30000, allLevels, "Expected wait beyond which an endpoint refuses new calls.")
	registerDuration(QueueStartMaxWaitMs, 1, maxMillis, 110000, locationLevels, "Expected wait beyond which an endpoint refuses first calls of programs.")
	registerDuration(OrderStartPatienceMs, 0, maxMillis, 105000, locationLevels, "Wait at an endpoint after which the first call of a program is queued like a call of a program that has begun.")
	registerDuration(RoutingStartWaitMs, 0, maxMillis, 30000, allLevels, "Expected wait beyond which an entry refuses first calls of programs while no capacity is lost; 0 for no bound.")
	registerDuration(RoutingLossStartWaitMs, 0, maxMillis, 110000, allLevels, "The same bound once a fifth of the capacity is lost; in between it changes evenly.")
	registerNumber(RetryBudgetShare, "share", 0, 1, 0.1, locationLevels, "Retries as a share of first attempts.")
	registerInteger(RetryMaxAttempts, "attempts", 1, 20, 10, locationLevels, "Attempts of one call, the first included.")
	registerDuration(MemoryLeaseMs, 100, maxMillis, 30000, allLevels, "How long an endpoint keeps a program's engine memory without renewal.")
	registerDuration(ControlIsolationMs, 500, 600000, 5000, locationLevels, "Time without the log and without peers after which an entry refuses keyed requests.")
	registerDuration(DrainRampMs, 0, maxMillis, 30000, locationLevels, "Time over which a returning failure domain is brought back to its full share.")
	registerBoolean(DrainFailureDomain, []Level{LevelFailureDomain}, false, "True takes the failure domain out: it gets no new work.")
	registerBoolean(DrainEndpoint, fleetOnly, false, "True takes one endpoint out: it gets no new work. One value per endpoint.")
	registry[string(DrainEndpoint)].Keyed = true
	registerBoolean(EntryMember, fleetOnly, false, "True gives an entry its part of every account's static rate. One value per entry; the entries maintain it themselves.")
	registry[string(EntryMember)].Keyed = true
}

// Lookup returns the spec of a setting, which must not be changed. It returns false
// if the setting does not exist.
func Lookup(name string) (*Spec, bool) {
	spec, ok := registry[name]
	return spec, ok
}

// Specs returns the specs of all settings, sorted by name.
func Specs() []*Spec {
	specs := make([]*Spec, 0, len(registry))
	for _, spec := range registry {
		specs = append(specs, spec)
	}
	sort.Slice(specs, func(i, j int) bool { return specs[i].Name < specs[j].Name })
	return specs
}

func registerNumber(name Number, unit string, minimum, maximum, defaultValue float64, levels []Level, description string) {
	registry[string(name)] = &Spec{
		Name: string(name), Kind: KindNumber, Unit: unit, Min: minimum, Max: maximum,
		Default: Value{kind: KindNumber, number: defaultValue}, Levels: levels, Description: description,
	}
}

func registerInteger(name Integer, unit string, minimum, maximum, defaultValue float64, levels []Level, description string) {
	registry[string(name)] = &Spec{
		Name: string(name), Kind: KindInteger, Unit: unit, Min: minimum, Max: maximum,
		Default: Value{kind: KindInteger, number: defaultValue}, Levels: levels, Description: description,
	}
}

func registerDuration(name Duration, minimum, maximum, defaultValue float64, levels []Level, description string) {
	registry[string(name)] = &Spec{
		Name: string(name), Kind: KindDuration, Unit: "ms", Min: minimum, Max: maximum,
		Default: Value{kind: KindDuration, number: defaultValue}, Levels: levels, Description: description,
	}
}

func registerBoolean(name Boolean, levels []Level, defaultValue bool, description string) {
	registry[string(name)] = &Spec{
		Name: string(name), Kind: KindBoolean, Default: Value{kind: KindBoolean, flag: defaultValue},
		Levels: levels, Description: description,
	}
}

func registerText(name Text, defaultValue string, levels []Level, choices func() []string, description string) {
	registry[string(name)] = &Spec{
		Name: string(name), Kind: KindText, Default: Value{kind: KindText, text: defaultValue},
		Levels: levels, Choices: choices, Description: description,
	}
}
