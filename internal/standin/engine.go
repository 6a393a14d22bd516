package standin

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// EngineSettings are the size, the speed and the fault settings of an engine.
type EngineSettings struct {
	// Slots is the number of calls that run concurrently; further calls are
	// queued.
	Slots int `json:"slots"`
	// ColdSlots is the number of running and queued calls that the engine
	// tolerates in cold start. One more makes it crash and restart.
	ColdSlots int `json:"coldSlots"`
	// WarmAfter is the number of completed calls that end a cold start.
	WarmAfter int `json:"warmAfter"`
	// TokenMs is the time to generate a token, in milliseconds.
	TokenMs float64 `json:"tokenMs"`
	// PrefillTokensPerMs is the speed at which uncached prompt tokens are computed.
	PrefillTokensPerMs float64 `json:"prefillTokensPerMs"`
	// CacheTokens is the size of the prefix cache in tokens.
	CacheTokens int `json:"cacheTokens"`
	// LoadLagMs is the delay after which a load report becomes visible, EventLagMs that
	// of a cache event.
	LoadLagMs  clock.Millis `json:"loadLagMs"`
	EventLagMs clock.Millis `json:"eventLagMs"`
	// EventLoss is the share of cache events, 0 to 1, that are lost.
	EventLoss float64 `json:"eventLoss"`
	// ExportTokens is the size of the storage for exported prefixes in tokens.
	// TransferTokensPerMs is the speed of exports and imports, at least 1.
	ExportTokens        int     `json:"exportTokens"`
	TransferTokensPerMs float64 `json:"transferTokensPerMs"`
	// DropTransferResponses makes exports and imports take effect without a
	// response.
	DropTransferResponses bool `json:"loseExportAnswers"`
	// HonoursFence makes the engine refuse orders with an outdated fencing number.
	HonoursFence bool `json:"honoursFence"`
	// OrderDelayMs is the delay of the effect of an order and of the response to it. The
	// order takes effect even when its sender has disconnected.
	OrderDelayMs clock.Millis `json:"orderLateMs"`
	// Silent makes response streams send nothing more, without being closed, for as long
	// as it is set.
	Silent bool `json:"silent"`
}

// DefaultEngineSettings returns the settings of a small, fast engine.
func DefaultEngineSettings() EngineSettings {
	return EngineSettings{
		Slots: 8, ColdSlots: 2, WarmAfter: 6, TokenMs: 1, PrefillTokensPerMs: 200,
		CacheTokens: 200_000, LoadLagMs: 100, EventLagMs: 200, EventLoss: 0.1, HonoursFence: true,
		ExportTokens: 800_000, TransferTokensPerMs: 2000,
	}
}

// EngineStats holds the counters of an engine.
type EngineStats struct {
	// Calls counts received generation requests, Completed those for which the whole
	// answer was generated.
	Calls     int `json:"calls"`
	Completed int `json:"completed"`
	// Overloads counts the crashes from more than ColdSlots calls in cold start.
	Overloads int `json:"overloads"`
	// Restarts counts all restarts, those after an overload included.
	Restarts int `json:"restarts"`
	// KeysSeen counts requests that contained the API key of a caller.
	KeysSeen int `json:"keysSeen"`
	// PromptTokens and CachedTokens are the sums of the prompt tokens, and of those found
	// in the cache, over all calls that got a slot.
	PromptTokens int `json:"promptTokens"`
	CachedTokens int `json:"cachedTokens"`
	// Exports counts the prefixes moved out of the cache, Imports those copied back.
	Exports int `json:"exports"`
	Imports int `json:"imports"`
	// LastCallMs is the time since the last call arrived, or -1 if none has arrived.
	LastCallMs clock.Millis `json:"lastCallMs"`
	// OrdersReceived counts received orders, including those that have not taken
	// effect yet or were refused.
	OrdersReceived int `json:"ordersReceived"`
	// Orders lists the executed orders; State is the resulting state of the
	// engine.
	Orders []spool.EngineOrder `json:"orders,omitempty"`
	State  spool.EngineState   `json:"state"`
}

// Engine simulates a model engine: slots and a queue of calls by priority, a cold start,
// a prefix cache with storage for exports, delayed load reports and cache events, and
// operator orders.
type Engine struct {
	mu       sync.Mutex
	settings EngineSettings
	stats    EngineStats
	random   *rand.Rand
	// started is the time of the last restart. lastCall is the time at which the last call
	// arrived, or zero.
	started  time.Time
	lastCall time.Time
	// generation increases by 1 with each restart. Each restart closes restarted and
	// replaces it with a new channel.
	generation uint64
	restarted  chan struct{}
	// completed counts completed calls since the last restart.
	completed int
	running   int
	waiting   []*queuedCall
	// cache holds the cached prefix of each program.
	cache map[spool.ProgramID]*prefix
	// exports holds the exported prefixes by export identifier. They survive restarts.
	exports map[string]*exportedPrefix
	// useCount is the number of prefixes stored so far; it orders them by use.
	useCount uint64
	// events holds up to maxEvents newest cache events, sequence the number of the last
	// event, including lost ones.
	events   []delayedEvent
	sequence uint64
	reports  []delayedLoad
	// fence is the highest fencing number of the orders executed since the last restart.
	fence uint64
	state spool.EngineState
}

// queuedCall is a call that waits for a slot.
type queuedCall struct {
	priority int
	ready    chan struct{}
}

// prefix is the cached prefix of one program: the messages of its latest call and the
// answer. lastUse is the value of Engine.useCount when it was stored.
type prefix struct {
	messages []spool.Message
	tokens   int
	lastUse  uint64
}

// delayedEvent is a cache event that callers see from visibleAt on.
type delayedEvent struct {
	visibleAt time.Time
	event     spool.CacheEvent
}

// delayedLoad is a load report that callers see from visibleAt on.
type delayedLoad struct {
	visibleAt time.Time
	load      spool.EngineLoad
}

// NewEngine returns an engine in cold start. seed determines which cache events are lost.
func NewEngine(settings EngineSettings, seed uint64) *Engine {
	return &Engine{
		settings:   settings,
		random:     rand.New(rand.NewPCG(seed, 2)),
		started:    time.Now(),
		generation: 1,
		restarted:  make(chan struct{}),
		cache:      map[spool.ProgramID]*prefix{},
		exports:    map[string]*exportedPrefix{},
	}
}

// Settings returns the current settings.
func (e *Engine) Settings() EngineSettings {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settings
}

// SetSettings replaces the settings. Running calls keep the speeds with which they began.
func (e *Engine) SetSettings(settings EngineSettings) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings = settings
}

// Stats returns a copy of the counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Orders = append([]spool.EngineOrder(nil), stats.Orders...)
	stats.State = e.copyState()
	stats.LastCallMs = -1
	if !e.lastCall.IsZero() {
		stats.LastCallMs = clock.FromDuration(time.Since(e.lastCall))
	}
	return stats
}

// Restart aborts every call and begins a cold start with an empty cache. It also clears
// the load reports and the effects of orders. Exported prefixes and counters stay.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
}

// restart is Restart for callers that have locked e.mu.
func (e *Engine) restart() {
	e.generation++
	e.stats.Restarts++
	e.completed = 0
	e.running = 0
	e.started = time.Now()
	e.cache = map[spool.ProgramID]*prefix{}
	e.reports = nil
	e.waiting = nil
	e.fence = 0
	e.state = spool.EngineState{}
	close(e.restarted)
	e.restarted = make(chan struct{})
}

// isCold reports whether the engine is in cold start.
func (e *Engine) isCold() bool { return e.completed < e.settings.WarmAfter }

// enqueue adds a call to the queue and starts queued calls while slots are free. ready
// is closed when the call may run, restarted when the engine restarts. If the call is one
// more than a cold engine tolerates, the engine restarts and ok is false.
func (e *Engine) enqueue(priority int) (ready, restarted chan struct{}, generation uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Calls++
	e.lastCall = time.Now()
	if e.isCold() && e.running+len(e.waiting) >= e.settings.ColdSlots {
		e.stats.Overloads++
		e.restart()
		return nil, nil, 0, false
	}
	entry := &queuedCall{priority: priority, ready: make(chan struct{})}
	e.waiting = append(e.waiting, entry)
	e.startQueued()
	e.recordLoad()
	return entry.ready, e.restarted, e.generation, true
}

// startQueued starts queued calls while slots are free, the highest priority
// first.
func (e *Engine) startQueued() {
	sort.SliceStable(e.waiting, func(i, j int) bool { return e.waiting[i].priority > e.waiting[j].priority })
	for len(e.waiting) > 0 && e.running < e.settings.Slots {
		close(e.waiting[0].ready)
		e.waiting = e.waiting[1:]
		e.running++
	}
}

// finishCall releases the slot of a call, or its place in the queue, and counts it if it
// was completed. It ignores calls that began before the last restart, because the
// restart has released their slots.
func (e *Engine) finishCall(ready chan struct{}, generation uint64, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if generation != e.generation {
		return
	}
	if !e.dequeue(ready) {
		e.running--
	}
	if completed {
		e.completed++
		e.stats.Completed++
	}
	e.startQueued()
	e.recordLoad()
}

// dequeue removes a call from the queue and reports whether it was queued.
func (e *Engine) dequeue(ready chan struct{}) bool {
	for i, entry := range e.waiting {
		if entry.ready == ready {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// recordLoad stores a load report that becomes visible after LoadLagMs.
func (e *Engine) recordLoad() {
	tokens := 0
	for _, entry := range e.cache {
		tokens += entry.tokens
	}
	e.reports = append(e.reports, delayedLoad{
		visibleAt: time.Now().Add(e.settings.LoadLagMs.Duration()),
		load: spool.EngineLoad{
			Generation: e.generation, Running: e.running, Waiting: len(e.waiting),
			CacheTokens: tokens, CacheLimit: e.settings.CacheTokens,
		},
	})
}

// visibleLoad returns the newest load report whose delay has passed, or a report of an
// idle engine if there is none. The uptime is always current.
func (e *Engine) visibleLoad() spool.EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.reports) > 1 && !time.Now().Before(e.reports[1].visibleAt) {
		e.reports = e.reports[1:]
	}
	load := spool.EngineLoad{Generation: e.generation, CacheLimit: e.settings.CacheTokens}
	if len(e.reports) > 0 && !time.Now().Before(e.reports[0].visibleAt) {
		load = e.reports[0].load
	}
	load.Uptime = clock.FromDuration(time.Since(e.started))
	return load
}

// countTokens estimates the tokens of a prompt: one for each message and one for
// every 4 bytes of content.
func countTokens(messages []spool.Message) int {
	tokens := 0
	for _, message := range messages {
		tokens += 1 + len(message.Content)/4
	}
	return tokens
}

// countCached returns the number of prompt tokens that are cached, which are those of
// the leading messages equal to the program's cached ones. It also adds the call to
// the token counters.
func (e *Engine) countCached(program spool.ProgramID, messages []spool.Message) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := e.cache[program]
	prompt := countTokens(messages)
	cached := 0
	if entry != nil {
		common := 0
		for common < len(entry.messages) && common < len(messages) && entry.messages[common] == messages[common] {
			common++
		}
		cached = countTokens(messages[:common])
	}
	e.stats.PromptTokens += prompt
	e.stats.CachedTokens += cached
	return cached
}

// store caches a program's prompt and answer. While the cache exceeds its size, it evicts
// the prefixes that were stored longest ago, but never the new one. It does nothing when
// the engine has restarted since generation was read, at the start of the call.
func (e *Engine) store(program spool.ProgramID, generation uint64, messages []spool.Message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if generation != e.generation {
		return
	}
	e.useCount++
	e.cache[program] = &prefix{messages: messages, tokens: countTokens(messages), lastUse: e.useCount}
	e.publishEvent(program, countTokens(messages))
	for e.cacheTokens() > e.settings.CacheTokens && len(e.cache) > 1 {
		e.removePrefix(e.leastRecentlyUsed())
	}
}

// cacheTokens returns the total length of the cached prefixes. e.mu must be locked.
func (e *Engine) cacheTokens() int {
	tokens := 0
	for _, entry := range e.cache {
		tokens += entry.tokens
	}
	return tokens
}

// leastRecentlyUsed returns the program whose prefix was stored longest ago.
func (e *Engine) leastRecentlyUsed() spool.ProgramID {
	var oldest spool.ProgramID
	lowest := ^uint64(0)
	for program, entry := range e.cache {
		if entry.lastUse < lowest {
			oldest, lowest = program, entry.lastUse
		}
	}
	return oldest
}

// removePrefix removes the cached prefix of a program, if there is one, and publishes the
// removal. e.mu must be locked.
func (e *Engine) removePrefix(program spool.ProgramID) {
	if _, cached := e.cache[program]; !cached {
		return
	}
	delete(e.cache, program)
	e.publishEvent(program, 0)
}

// maxEvents bounds the number of cache events that the engine keeps. It drops the oldest
// ones first.
const maxEvents = 4096

// publishEvent records that the cached prefix of a program now has the given number of
// tokens, 0 after its removal. The share EventLoss of events is lost.
func (e *Engine) publishEvent(program spool.ProgramID, tokens int) {
	e.sequence++
	if e.random.Float64() < e.settings.EventLoss {
		return
	}
	e.events = append(e.events, delayedEvent{
		visibleAt: time.Now().Add(e.settings.EventLagMs.Duration()),
		event:     spool.CacheEvent{Sequence: e.sequence, Program: program, Tokens: tokens},
	})
	if len(e.events) > maxEvents {
		e.events = e.events[len(e.events)-maxEvents:]
	}
}

// eventsAfter returns the visible cache events with a sequence number above after.
func (e *Engine) eventsAfter(after uint64) []spool.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	events := []spool.CacheEvent{}
	for _, shown := range e.events {
		if shown.event.Sequence > after && !time.Now().Before(shown.visibleAt) {
			events = append(events, shown.event)
		}
	}
	return events
}

// Sessions lists the programs with a cached prefix.
func (e *Engine) Sessions() []spool.ProgramID {
	e.mu.Lock()
	defer e.mu.Unlock()
	programs := make([]spool.ProgramID, 0, len(e.cache))
	for program := range e.cache {
		programs = append(programs, program)
	}
	sort.Slice(programs, func(i, j int) bool { return programs[i] < programs[j] })
	return programs
}

func (e *Engine) freePrefix(program spool.ProgramID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removePrefix(program)
}
