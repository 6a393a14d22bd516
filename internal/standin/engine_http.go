package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/internal/adapters"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// ServeEngine serves the engine over HTTP at address. The control port serves the
// settings at / and the counters at /stats, and a request to /restart restarts the
// engine. It is absent when control is empty.
func ServeEngine(engine *Engine, address, control string) (*Server, error) {
	settings := controlHandler(engine.Settings, engine.SetSettings)
	return Serve(address, control, engine.handle, func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/stats":
			reply(ctx, engine.Stats())
		case "/restart":
			engine.Restart()
		default:
			settings(ctx)
		}
	})
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	if containsKey(ctx) {
		e.mu.Lock()
		e.stats.KeysSeen++
		e.mu.Unlock()
	}
	path := string(ctx.Path())
	switch {
	case path == "/v1/generate":
		e.handleGenerate(ctx)
	case path == "/v1/load":
		reply(ctx, e.visibleLoad())
	case path == "/v1/events":
		after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
		reply(ctx, e.eventsAfter(after))
	case path == "/v1/sessions":
		reply(ctx, e.Sessions())
	case strings.HasPrefix(path, "/v1/sessions/") && ctx.IsDelete():
		e.freePrefix(spool.ProgramID(strings.TrimPrefix(path, "/v1/sessions/")))
	case path == "/v1/exports" && ctx.IsGet():
		reply(ctx, e.Exports())
	case path == "/v1/exports":
		e.handleTransfer(ctx, e.export)
	case path == "/v1/imports":
		e.handleTransfer(ctx, e.importPrefix)
	case strings.HasPrefix(path, "/v1/exports/") && ctx.IsDelete():
		e.freeExport(strings.TrimPrefix(path, "/v1/exports/"))
	case path == "/v1/state":
		reply(ctx, e.State())
	case path == "/v1/orders":
		e.handleOrder(ctx)
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
	}
}

// handleGenerate handles a call and streams its answer as server-sent events. If the call
// overloads a cold engine, it closes the connection without a response.
func (e *Engine) handleGenerate(ctx *fasthttp.RequestCtx) {
	var call spool.EngineCall
	if err := json.Unmarshal(ctx.PostBody(), &call); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	ready, restarted, generation, ok := e.enqueue(call.Priority)
	if !ok {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		stream := &answerStream{engine: e, call: call, generation: generation, restarted: restarted, writer: w}
		var result *spool.EngineResult
		select {
		case <-ready:
			result = stream.run()
		case <-restarted:
		}
		// The slot is released before the result is sent, so that the caller's next
		// call finds it free.
		e.finishCall(ready, generation, result != nil)
		if result != nil {
			stream.send(adapters.GenerateEvent{Result: result})
		}
	})
}

// answerStream streams the answer to one call.
type answerStream struct {
	engine     *Engine
	call       spool.EngineCall
	generation uint64
	restarted  chan struct{}
	writer     *bufio.Writer
}

// run streams the chunks of the answer, caches the prompt with the answer, and returns
// the result, which it does not send. It returns nil when the engine restarts or the
// client has disconnected.
func (g *answerStream) run() *spool.EngineResult {
	settings := g.engine.Settings()
	cached := g.engine.countCached(g.call.Program, g.call.Messages)
	prompt := countTokens(g.call.Messages)
	if !g.sleep(float64(prompt-cached) / settings.PrefillTokensPerMs) {
		return nil
	}
	words := Answer(g.call.Messages, g.call.MaxTokens)
	for i, word := range words {
		if !g.sleep(settings.TokenMs) {
			return nil
		}
		for g.engine.Settings().Silent {
			if !g.sleep(10) {
				return nil
			}
		}
		chunk := spool.Chunk{Correlation: g.call.Correlation, Index: i, Text: word}
		if !g.send(adapters.GenerateEvent{Chunk: &chunk}) {
			return nil
		}
	}
	text := strings.Join(words, "")
	answered := append(append([]spool.Message(nil), g.call.Messages...), spool.Message{Role: "assistant", Content: text})
	g.engine.store(g.call.Program, g.generation, answered)
	return &spool.EngineResult{
		Correlation: g.call.Correlation, Text: text, PromptTokens: prompt,
		CachedTokens: cached, GeneratedTokens: len(words),
	}
}

// sleep waits for the given time. It reports false when the engine restarts meanwhile.
func (g *answerStream) sleep(millis float64) bool {
	select {
	case <-time.After(time.Duration(millis * float64(time.Millisecond))):
		return true
	case <-g.restarted:
		return false
	}
}

// send sends an event to the client. It reports false when the client has disconnected.
func (g *answerStream) send(event adapters.GenerateEvent) bool {
	body, err := json.Marshal(event)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(g.writer, "data: %s\n\n", body); err != nil {
		return false
	}
	return g.writer.Flush() == nil
}

// Answer returns the chunks of the engine's answer to a prompt: maxTokens chunks of one
// token each, but at least one. The first chunk contains the number of messages and
// their digest. From it, a caller can check whether the engine received exactly the
// transcript that the caller has kept.
func Answer(messages []spool.Message, maxTokens int) []string {
	pieces := []string{fmt.Sprintf("seen=%d:%016x", len(messages), Digest(messages))}
	for i := 1; i < max(maxTokens, 1); i++ {
		pieces = append(pieces, " w"+strconv.Itoa(i))
	}
	return pieces
}

// Digest returns the digest of a prompt that Answer puts into the first chunk.
func Digest(messages []spool.Message) uint64 {
	digest := xxhash.New()
	for _, message := range messages {
		_, _ = digest.WriteString(message.Role + "\x00" + message.Content + "\x00")
	}
	return digest.Sum64()
}
