package standin

import (
	"encoding/json"
	"net"
	"sort"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// exported is a prefix outside the cache.
type exportedPrefix struct {
	program spool.ProgramID
	prefix  *prefix
}

// Exports lists the exports that the engine keeps.
func (e *Engine) Exports() []spool.Export {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]spool.Export, 0, len(e.exports))
	for id, held := range e.exports {
		list = append(list, spool.Export{ID: id, Program: held.program, Tokens: held.prefix.tokens})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// copying takes the time of moving that many tokens.
func (e *Engine) waitForTransfer(tokens int) {
	speed := max(e.Settings().TransferTokensPerMs, 1)
	time.Sleep(time.Duration(float64(tokens) / speed * float64(time.Millisecond)))
}

// export moves a prefix out of the cache, unless it has changed meanwhile or there
// is no room for it.
func (e *Engine) export(asked spool.Export) (spool.Export, bool) {
	e.mu.Lock()
	held := e.cache[asked.Program]
	e.mu.Unlock()
	if held == nil {
		return asked, false
	}
	e.waitForTransfer(held.tokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	room := e.settings.ExportTokens - held.tokens
	for _, other := range e.exports {
		room -= other.prefix.tokens
	}
	if e.cache[asked.Program] != held || room < 0 {
		return asked, false
	}
	e.exports[asked.ID] = &exportedPrefix{program: asked.Program, prefix: held}
	e.stats.Exports++
	e.removePrefix(asked.Program)
	asked.Tokens = held.tokens
	return asked, true
}

// importPrefix copies an export back into the cache.
func (e *Engine) importPrefix(asked spool.Export) (spool.Export, bool) {
	e.mu.Lock()
	held, generation := e.exports[asked.ID], e.generation
	e.mu.Unlock()
	if held == nil || held.program != asked.Program {
		return asked, false
	}
	e.waitForTransfer(held.prefix.tokens)
	e.store(asked.Program, generation, held.prefix.messages)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Imports++
	asked.Tokens = held.prefix.tokens
	return asked, true
}

func (e *Engine) freeExport(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.exports, id)
}

// handleTransfer answers a request to export or import. 503 says that nothing was
// done.
func (e *Engine) handleTransfer(ctx *fasthttp.RequestCtx, transfer func(spool.Export) (spool.Export, bool)) {
	var asked spool.Export
	if err := json.Unmarshal(ctx.PostBody(), &asked); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	done, ok := transfer(asked)
	switch {
	case !ok:
		ctx.Error("prefix is not held or there is no room", fasthttp.StatusServiceUnavailable)
	case e.Settings().LoseExportAnswers:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
	default:
		reply(ctx, done)
	}
}
