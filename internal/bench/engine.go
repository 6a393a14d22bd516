package bench

import (
	"container/list"
	"math/rand/v2"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// engine is a fake model engine: batch slots, one unit that computes prompts, a
// prefix cache with least recently used eviction, and a cold start in which more
// than it bears makes it crash.
type engine struct {
	*events
	random      *rand.Rand
	ideal       bool
	generation  uint64
	startedAt   clock.Millis
	downUntil   clock.Millis
	completed   int
	running     map[*call]struct{}
	prefillFree clock.Millis
	prefixes    map[spool.ProgramID]*list.Element
	recent      *list.List
	held        int
	limit       int
	// exports holds the prefixes outside the cache; they survive a restart.
	exports      map[spool.ProgramID]int
	exported     int
	transferFree clock.Millis
	overloads    int
	onEvict      func(spool.ProgramID)
}

type prefix struct {
	program spool.ProgramID
	tokens  int
}

func newEngine(e *events, random *rand.Rand, ideal bool) *engine {
	made := &engine{events: e, random: random, ideal: ideal, completed: 1 << 20, limit: cacheTokens, exports: map[spool.ProgramID]int{}}
	made.forget()
	return made
}

func (g *engine) forget() {
	g.generation++
	g.startedAt = g.now
	g.running = map[*call]struct{}{}
	g.prefixes = map[spool.ProgramID]*list.Element{}
	g.recent = list.New()
	g.held, g.prefillFree = 0, 0
}

// bears returns the number of calls that do not make the engine crash.
func (g *engine) bears() int {
	if g.completed < warmAfter {
		return coldCapacity
	}
	return coldCapacity + (g.completed-warmAfter)/2
}

// restart breaks every call and makes the engine cold after a time down.
func (g *engine) restart() {
	broken := g.running
	g.forget()
	g.completed = 0
	g.downUntil = g.now + downTime
	for _, c := range sorted(broken) {
		c.broken()
	}
}

// run starts a call. done is called with the cached tokens at its end.
func (g *engine) run(c *call, done func(cached int)) {
	if g.now < g.downUntil {
		g.after(hop, c.broken)
		return
	}
	g.running[c] = struct{}{}
	if len(g.running) > g.bears() && len(g.running) <= slots && g.bears() < slots {
		g.overloads++
		g.restart()
		return
	}
	imported := g.importPrefix(c.view.Program)
	cached := min(g.use(c.view.Program), c.view.PromptTokens)
	if g.ideal {
		cached = c.known
	}
	prefill := clock.Millis(float64(c.view.PromptTokens-cached) / prefillSpeed)
	begin := max(imported, g.prefillFree)
	if g.ideal {
		begin = g.now
	}
	g.prefillFree = begin + prefill
	full := float64(min(slots, len(g.running))) / slots
	decode := clock.Millis(float64(c.turn.generated) * tokenMillis * (1 + batchSlowdown*full))
	g.keep(c.view.Program, c.view.PromptTokens)
	generation := g.generation
	g.at(g.prefillFree+decode, func() {
		if generation != g.generation {
			return
		}
		delete(g.running, c)
		g.completed++
		c.decode = decode
		g.keep(c.view.Program, c.view.PromptTokens+c.turn.generated)
		done(cached)
	})
}

func (g *engine) use(program spool.ProgramID) int {
	element, ok := g.prefixes[program]
	if !ok {
		return 0
	}
	g.recent.MoveToFront(element)
	return element.Value.(*prefix).tokens
}

func (g *engine) keep(program spool.ProgramID, tokens int) {
	element, ok := g.prefixes[program]
	if !ok {
		element = g.recent.PushFront(&prefix{program: program})
		g.prefixes[program] = element
	}
	p := element.Value.(*prefix)
	g.held += max(tokens, p.tokens) - p.tokens
	p.tokens = max(tokens, p.tokens)
	g.recent.MoveToFront(element)
	for g.held > g.limit && g.recent.Len() > 1 {
		g.evict(g.recent.Back().Value.(*prefix))
	}
}

// transfer takes a place in the line for copies and returns when it has ended.
func (g *engine) transfer(tokens int) clock.Millis {
	g.transferFree = max(g.now, g.transferFree) + clock.Millis(transferSetup+float64(tokens)/transferSpeed)
	return g.transferFree
}

// export moves a prefix out of the cache unless there is no room for it.
func (g *engine) export(program spool.ProgramID) {
	element, ok := g.prefixes[program]
	if !ok || g.exported+element.Value.(*prefix).tokens > exportTokens {
		return
	}
	p := element.Value.(*prefix)
	g.remove(p)
	g.exports[program] = p.tokens
	g.exported += p.tokens
	g.transfer(p.tokens)
}

// importPrefix brings an exported prefix back and returns when it is there.
func (g *engine) importPrefix(program spool.ProgramID) clock.Millis {
	tokens, ok := g.exports[program]
	if !ok {
		return g.now
	}
	g.freeExport(program)
	g.keep(program, tokens)
	return g.transfer(tokens)
}

func (g *engine) freeExport(program spool.ProgramID) {
	g.exported -= g.exports[program]
	delete(g.exports, program)
}

func (g *engine) remove(p *prefix) {
	g.recent.Remove(g.prefixes[p.program])
	delete(g.prefixes, p.program)
	g.held -= p.tokens
}

func (g *engine) evict(p *prefix) {
	g.remove(p)
	if g.random.Float64() >= eventLoss {
		g.after(reportLag, func() { g.onEvict(p.program) })
	}
}

func (g *engine) load() spool.EngineLoad {
	return spool.EngineLoad{
		Generation: g.generation, Uptime: g.now - g.startedAt, Running: len(g.running),
		CacheTokens: g.held, CacheLimit: g.limit,
	}
}
