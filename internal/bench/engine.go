package bench

import (
	"container/list"
	"math/rand/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// engine simulates a model engine: batch slots, one unit that computes prompts one
// after the other, a prefix cache with least-recently-used eviction, and a cold start
// in which too many concurrent calls make it crash and restart.
type engine struct {
	*eventQueue
	random *rand.Rand
	// unlimited makes every call run at once with its computed prefix cached.
	unlimited  bool
	generation uint64
	startedAt  clock.Millis
	downUntil  clock.Millis
	// completed counts the calls completed since the last restart. It starts high, so
	// that engines are warm until their first restart.
	completed     int
	running       map[*call]struct{}
	prefillFreeAt clock.Millis
	prefixes      map[spool.ProgramID]*list.Element
	lru           *list.List
	cachedTokens  int
	cacheLimit    int
	// exports holds the length in tokens of each exported prefix. Exports survive a
	// restart.
	exports        map[spool.ProgramID]int
	exportedTokens int
	// transferFreeAt is when all scheduled exports and imports will have ended.
	transferFreeAt clock.Millis
	overloads      int
	// onEvict is called reportLag after an eviction, except for the share eventLoss.
	onEvict func(spool.ProgramID)
}

// prefix is the cached prefix of a program and its length in tokens.
type prefix struct {
	program spool.ProgramID
	tokens  int
}

// newEngine returns a warm engine with an empty cache. ideal sets unlimited.
func newEngine(e *eventQueue, random *rand.Rand, ideal bool) *engine {
	result := &engine{eventQueue: e, random: random, unlimited: ideal, completed: 1 << 20, cacheLimit: cacheTokens, exports: map[spool.ProgramID]int{}}
	result.reset()
	return result
}

// reset drops the running calls and the cache, without a call of onEngineFailure. Exports
// stay.
func (g *engine) reset() {
	g.generation++
	g.startedAt = g.now
	g.running = map[*call]struct{}{}
	g.prefixes = map[spool.ProgramID]*list.Element{}
	g.lru = list.New()
	g.cachedTokens, g.prefillFreeAt = 0, 0
}

// maxCalls returns the number of concurrent calls above which the engine crashes. It
// is coldCapacity for the first warmAfterCalls completed calls and then grows by one
// for every two completed calls. When it reaches slots, the engine no longer crashes.
func (g *engine) maxCalls() int {
	if g.completed < warmAfterCalls {
		return coldCapacity
	}
	return coldCapacity + (g.completed-warmAfterCalls)/2
}

// restart fails every running call. The engine is down for restartTime and then
// cold.
func (g *engine) restart() {
	interrupted := g.running
	g.reset()
	g.completed = 0
	g.downUntil = g.now + restartTime
	for _, c := range sortedCalls(interrupted) {
		c.onEngineFailure()
	}
}

// run starts a call. When the call completes, run calls done with the number of prompt
// tokens that were cached. When the engine is down, restarts, or crashes because the
// call is one too many, c.onEngineFailure is called instead.
func (g *engine) run(c *call, done func(cached int)) {
	if g.now < g.downUntil {
		g.after(networkDelay, c.onEngineFailure)
		return
	}
	g.running[c] = struct{}{}
	if len(g.running) > g.maxCalls() && len(g.running) <= slots && g.maxCalls() < slots {
		g.overloads++
		g.restart()
		return
	}
	importedAt := g.importPrefix(c.view.Program)
	cached := min(g.touchPrefix(c.view.Program), c.view.PromptTokens)
	if g.unlimited {
		cached = c.computedTokens
	}
	prefill := clock.Millis(float64(c.view.PromptTokens-cached) / prefillSpeed)
	begin := max(importedAt, g.prefillFreeAt)
	if g.unlimited {
		begin = g.now
	}
	g.prefillFreeAt = begin + prefill
	batchFill := float64(min(slots, len(g.running))) / slots
	decode := clock.Millis(float64(c.turn.generatedTokens) * tokenMillis * (1 + batchSlowdown*batchFill))
	g.storePrefix(c.view.Program, c.view.PromptTokens)
	generation := g.generation
	g.at(g.prefillFreeAt+decode, func() {
		if generation != g.generation {
			return
		}
		delete(g.running, c)
		g.completed++
		c.decode = decode
		g.storePrefix(c.view.Program, c.view.PromptTokens+c.turn.generatedTokens)
		done(cached)
	})
}

// touchPrefix marks the prefix of a program as used and returns its length in tokens,
// or 0.
func (g *engine) touchPrefix(program spool.ProgramID) int {
	element, ok := g.prefixes[program]
	if !ok {
		return 0
	}
	g.lru.MoveToFront(element)
	return element.Value.(*prefix).tokens
}

// storePrefix caches a prefix of the given length or extends the cached one. It then
// evicts the least recently used prefixes of other programs while the cache is too
// large.
func (g *engine) storePrefix(program spool.ProgramID, tokens int) {
	element, ok := g.prefixes[program]
	if !ok {
		element = g.lru.PushFront(&prefix{program: program})
		g.prefixes[program] = element
	}
	p := element.Value.(*prefix)
	g.cachedTokens += max(tokens, p.tokens) - p.tokens
	p.tokens = max(tokens, p.tokens)
	g.lru.MoveToFront(element)
	for g.cachedTokens > g.cacheLimit && g.lru.Len() > 1 {
		g.evict(g.lru.Back().Value.(*prefix))
	}
}

// reserveTransfer schedules a transfer of a prefix, an export or an import, after all
// transfers scheduled earlier. It returns the time at which the transfer ends.
func (g *engine) reserveTransfer(tokens int) clock.Millis {
	g.transferFreeAt = max(g.now, g.transferFreeAt) + clock.Millis(transferSetupMillis+float64(tokens)/transferSpeed)
	return g.transferFreeAt
}

// export moves the prefix of a program out of the cache. It does nothing when the
// program has no cached prefix or the export storage is too full.
func (g *engine) export(program spool.ProgramID) {
	element, ok := g.prefixes[program]
	if !ok || g.exportedTokens+element.Value.(*prefix).tokens > exportTokens {
		return
	}
	p := element.Value.(*prefix)
	g.removePrefix(p)
	g.exports[program] = p.tokens
	g.exportedTokens += p.tokens
	g.reserveTransfer(p.tokens)
}

// importPrefix moves the exported prefix of a program back into the cache and returns
// the time at which it is usable. Without an exported prefix, that is now.
func (g *engine) importPrefix(program spool.ProgramID) clock.Millis {
	tokens, ok := g.exports[program]
	if !ok {
		return g.now
	}
	g.freeExport(program)
	g.storePrefix(program, tokens)
	return g.reserveTransfer(tokens)
}

// freeExport deletes the exported prefix of a program, if there is one.
func (g *engine) freeExport(program spool.ProgramID) {
	g.exportedTokens -= g.exports[program]
	delete(g.exports, program)
}

// removePrefix removes a prefix from the cache without an event.
func (g *engine) removePrefix(p *prefix) {
	g.lru.Remove(g.prefixes[p.program])
	delete(g.prefixes, p.program)
	g.cachedTokens -= p.tokens
}

// evict removes a prefix and reports it to onEvict, unless the event is lost.
func (g *engine) evict(p *prefix) {
	g.removePrefix(p)
	if g.random.Float64() >= eventLoss {
		g.after(reportLag, func() { g.onEvict(p.program) })
	}
}

// load returns the current load report.
func (g *engine) load() spool.EngineLoad {
	return spool.EngineLoad{
		Generation: g.generation, Uptime: g.now - g.startedAt, Running: len(g.running),
		CacheTokens: g.cachedTokens, CacheLimit: g.cacheLimit,
	}
}
