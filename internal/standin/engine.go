package standin

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// EngineSettings are the size, the speed and the fault switches of an engine.
type EngineSettings struct {
	// Slots is the number of calls that run at a time when warm; further calls
	// wait.
	Slots int `json:"slots"`
	// ColdSlots is the number of calls, running and waiting, that the engine
	// bears in cold start. One more makes it fail and restart.
	ColdSlots int `json:"coldSlots"`
	// WarmAfter is the number of completed calls that end a cold start.
	WarmAfter int `json:"warmAfter"`
	// TokenMs is the time to generate a token.
	TokenMs float64 `json:"tokenMs"`
	// PrefillTokensPerMs is how fast uncached prompt tokens are computed.
	PrefillTokensPerMs float64 `json:"prefillTokensPerMs"`
	// CacheTokens is the size of the prefix cache.
	CacheTokens int `json:"cacheTokens"`
	// LoadLagMs and EventLagMs delay load reports and cache events.
	LoadLagMs  clock.Millis `json:"loadLagMs"`
	EventLagMs clock.Millis `json:"eventLagMs"`
	// EventLoss is the share of cache events, 0 to 1, that are never shown.
	EventLoss float64 `json:"eventLoss"`
	// ExportTokens is the room for exports; TransferTokensPerMs is how fast
	// prefixes are exported and imported.
	ExportTokens        int     `json:"exportTokens"`
	TransferTokensPerMs float64 `json:"transferTokensPerMs"`
	// LoseExportAnswers makes exports take effect without an answer.
	LoseExportAnswers bool `json:"loseExportAnswers"`
	// HonoursFence makes the engine refuse orders with an old fencing number.
	HonoursFence bool `json:"honoursFence"`
	// OrderLateMs is how long an order takes to take effect and to be answered.
	// It takes effect even when its sender has gone away.
	OrderLateMs clock.Millis `json:"orderLateMs"`
	// Silent makes streams stop without being closed.
	Silent bool `json:"silent"`
}

// DefaultEngineSettings returns a fast, small engine.
func DefaultEngineSettings() EngineSettings {
	return EngineSettings{
		Slots: 8, ColdSlots: 2, WarmAfter: 6, TokenMs: 1, PrefillTokensPerMs: 200,
		CacheTokens: 200_000, LoadLagMs: 100, EventLagMs: 200, EventLoss: 0.1, HonoursFence: true,
		ExportTokens: 800_000, TransferTokensPerMs: 2000,
	}
}

// EngineStats counts what the engine has seen.
type EngineStats struct {
	// Calls and Completed count generations started and ended in full.
	Calls     int `json:"calls"`
	Completed int `json:"completed"`
	// Overloads counts the times that the engine got more than it bears in cold
	// start.
	Overloads int `json:"overloads"`
	// Restarts counts restarts, whatever the cause.
	Restarts int `json:"restarts"`
	// KeysSeen counts requests that contained a caller's key.
	KeysSeen int `json:"keysSeen"`
	// PromptTokens and CachedTokens sum over the calls.
	PromptTokens int `json:"promptTokens"`
	CachedTokens int `json:"cachedTokens"`
	// Exports and Imports count prefixes moved out and back.
	Exports int `json:"exports"`
	Imports int `json:"imports"`
	// LastCall is the time since the last call arrived; negative when none did.
	LastCallMs clock.Millis `json:"lastCallMs"`
	// OrdersReceived counts the orders that have arrived, late ones included.
	OrdersReceived int `json:"ordersReceived"`
	// Orders lists the orders carried out, State what they have made of it.
	Orders []spool.EngineOrder `json:"orders,omitempty"`
	State  spool.EngineState   `json:"state"`
}

// Engine is the stand-in of a model engine.
type Engine struct {
	mu       sync.Mutex
	settings EngineSettings
	stats    EngineStats
	random   *rand.Rand
	started  time.Time
	lastCall time.Time
	// generation changes with each restart; cut is closed by it.
	generation uint64
	restarted  chan struct{}
	// completed counts completions since the restart.
	completed int
	running   int
	waiting   []*queuedCall
	cache     map[spool.ProgramID]*prefix
	// exports survives restarts.
	exports  map[string]*exportedPrefix
	useCount uint64
	events   []delayedEvent
	sequence uint64
	reports  []delayedLoad
	fence    uint64
	state    spool.EngineState
}

// ticket is a call that waits for a slot.
type queuedCall struct {
	priority int
	ready    chan struct{}
}

// prefix is the cached prompt of one program.
type prefix struct {
	messages []spool.Message
	tokens   int
	lastUse  uint64
}

type delayedEvent struct {
	visibleAt time.Time
	event     spool.CacheEvent
}

type delayedLoad struct {
	visibleAt time.Time
	load      spool.EngineLoad
}

// NewEngine returns an engine in cold start.
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

// Settings returns the settings in force.
func (e *Engine) Settings() EngineSettings {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settings
}

// SetSettings changes the settings.
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

// Restart cuts every call and starts cold with an empty cache.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
}

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

func (e *Engine) isCold() bool { return e.completed < e.settings.WarmAfter }

// enter takes a slot or a place in the queue. The returned channel is closed
// when the call may run; cut is closed when the engine restarts.
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

// admit lets waiting calls run, the highest priority first.
func (e *Engine) startQueued() {
	sort.SliceStable(e.waiting, func(i, j int) bool { return e.waiting[i].priority > e.waiting[j].priority })
	for len(e.waiting) > 0 && e.running < e.settings.Slots {
		close(e.waiting[0].ready)
		e.waiting = e.waiting[1:]
		e.running++
	}
}

// leave gives a slot back.
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

// unqueue removes a call that still waits and reports whether it did.
func (e *Engine) dequeue(ready chan struct{}) bool {
	for i, entry := range e.waiting {
		if entry.ready == ready {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// report stores a load report that is shown after the lag.
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

// load returns the newest report whose lag has passed.
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

// tokensOf is how the engine counts tokens.
func countTokens(messages []spool.Message) int {
	tokens := 0
	for _, message := range messages {
		tokens += 1 + len(message.Content)/4
	}
	return tokens
}

// lookup returns how many tokens of the prompt are cached.
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

// store keeps a program's prompt and answer, and evicts the least recently used
// programs beyond the cache's size.
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

func (e *Engine) cacheTokens() int {
	tokens := 0
	for _, entry := range e.cache {
		tokens += entry.tokens
	}
	return tokens
}

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

func (e *Engine) removePrefix(program spool.ProgramID) {
	if _, cached := e.cache[program]; !cached {
		return
	}
	delete(e.cache, program)
	e.publishEvent(program, 0)
}

// maxEvents bounds the events that the engine remembers.
const maxEvents = 4096

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

// Sessions lists the programs whose memory the engine holds.
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
