package standin

import (
	"encoding/json"
	"net"
	"sort"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/pkg/spool"
)

// exportedPrefix is a prefix that was moved from the cache to the export storage.
type exportedPrefix struct {
	program spool.ProgramID
	prefix  *prefix
}

// Exports lists the exported prefixes in the order of their identifiers.
func (e *Engine) Exports() []spool.Export {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]spool.Export, 0, len(e.exports))
	for id, export := range e.exports {
		list = append(list, spool.Export{ID: id, Program: export.program, Tokens: export.prefix.tokens})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// waitForTransfer sleeps for the time that a transfer of the tokens takes.
func (e *Engine) waitForTransfer(tokens int) {
	speed := max(e.Settings().TransferTokensPerMs, 1)
	time.Sleep(time.Duration(float64(tokens) / speed * float64(time.Millisecond)))
}

// export moves a prefix from the cache to the export storage and returns the request
// with its length in tokens. It reports false, and does nothing, when the prefix is not
// cached, is changed or removed during the transfer, or exceeds the free storage.
func (e *Engine) export(requested spool.Export) (spool.Export, bool) {
	e.mu.Lock()
	cached := e.cache[requested.Program]
	e.mu.Unlock()
	if cached == nil {
		return requested, false
	}
	e.waitForTransfer(cached.tokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	freeTokens := e.settings.ExportTokens - cached.tokens
	for _, other := range e.exports {
		freeTokens -= other.prefix.tokens
	}
	if e.cache[requested.Program] != cached || freeTokens < 0 {
		return requested, false
	}
	e.exports[requested.ID] = &exportedPrefix{program: requested.Program, prefix: cached}
	e.stats.Exports++
	e.removePrefix(requested.Program)
	requested.Tokens = cached.tokens
	return requested, true
}

// importPrefix copies an export back into the cache; the export stays. It reports false
// when the program has no such export. An import during which the engine restarts
// reports true although nothing is cached.
func (e *Engine) importPrefix(requested spool.Export) (spool.Export, bool) {
	e.mu.Lock()
	export, generation := e.exports[requested.ID], e.generation
	e.mu.Unlock()
	if export == nil || export.program != requested.Program {
		return requested, false
	}
	e.waitForTransfer(export.prefix.tokens)
	e.store(requested.Program, generation, export.prefix.messages)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Imports++
	requested.Tokens = export.prefix.tokens
	return requested, true
}

// freeExport deletes an export, if it exists.
func (e *Engine) freeExport(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.exports, id)
}

// handleTransfer handles a request to export or import a prefix. Status 503 means that
// the transfer did not take place. With DropTransferResponses, the connection is closed
// after the transfer without a response.
func (e *Engine) handleTransfer(ctx *fasthttp.RequestCtx, transfer func(spool.Export) (spool.Export, bool)) {
	var requested spool.Export
	if err := json.Unmarshal(ctx.PostBody(), &requested); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	result, ok := transfer(requested)
	switch {
	case !ok:
		ctx.Error("prefix is not held or there is no room", fasthttp.StatusServiceUnavailable)
	case e.Settings().DropTransferResponses:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
	default:
		reply(ctx, result)
	}
}
