package entry

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// chatReply is a response of the OpenAI-compatible chat completions API, or one
// chunk of a streamed response.
type chatReply struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

type chatChoice struct {
	Index   int        `json:"index"`
	Message *chatDelta `json:"message,omitempty"`
	Delta   *chatDelta `json:"delta,omitempty"`
	// FinishReason is null in every chunk but the last.
	FinishReason *string `json:"finish_reason"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chatUsage struct {
	PromptTokens     int            `json:"prompt_tokens"`
	CompletionTokens int            `json:"completion_tokens"`
	TotalTokens      int            `json:"total_tokens"`
	Details          *promptDetails `json:"prompt_tokens_details,omitempty"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// handleChat serves the OpenAI-compatible route /v1/chat/completions. The messages
// of the request are the whole prompt: they begin with the history of the program,
// and only those after it are new. The X-Program-Id header names the program. A
// request without it runs in a one-call program, which is started for the request
// and ended after it. The Idempotency-Key header, if set, is the callId.
func (e *Entry) handleChat(request *callerRequest) (streaming bool, err error) {
	body := chatRequest{}
	if err := decode(request.ctx.PostBody(), &body); err != nil {
		return false, err
	}
	callID := string(request.ctx.Request.Header.Peek(headerIdempotencyKey))
	id := spool.ProgramID(request.ctx.Request.Header.Peek(headerProgramID))
	temporary := id == ""
	if !temporary {
		if err := checkProgramID(id); err != nil {
			return false, err
		}
	}
	callName := callID
	if callName == "" {
		callName = e.newCorrelation()
	}
	turn, err := body.toCallRequest(spool.CallID(callName))
	turn.RateLimitCharged = temporary
	if err != nil {
		return false, err
	}
	if temporary {
		id = e.oneCallProgramID(request.account, callID)
		if err := e.startOneCallProgram(request, id, body.Model); err != nil {
			return false, err
		}
	}
	finish := func() {
		if temporary {
			e.callerPool.Submit(func() { e.endOneCallProgram(request.account, request.keyID, id) })
		}
	}
	request.ctx.Response.Header.Set(headerProgramID, string(id))
	operation := e.newOperation(request, OperationCall, id, turn, 0)
	encoder := &chatEncoder{id: callName, model: string(body.Model), created: int64(e.clock.Now() / clock.Second)}
	encoder.includeUsage = body.StreamOptions != nil && body.StreamOptions.IncludeUsage
	if turn.Stream {
		return e.respondWithStream(request, operation, encoder, finish)
	}
	defer finish()
	ctx, cancel := e.contextWhileKeyValid(e.ctx, request.keyID)
	defer cancel()
	raw, err := e.execute(ctx, operation, func(Event) error { return nil })
	if err != nil {
		return false, err
	}
	var reply CallReply
	if err := json.Unmarshal(raw, &reply); err != nil {
		return false, err
	}
	e.writeJSON(request.ctx, fasthttp.StatusOK, encoder.reply(reply))
	return false, nil
}

// startOneCallProgram starts the one-call program of a chat request without a
// program. If the request repeats an earlier one and the program exists, it stays
// as it is.
func (e *Entry) startOneCallProgram(request *callerRequest, id spool.ProgramID, model spool.ModelName) error {
	ctx, cancel := e.contextWhileKeyValid(e.ctx, request.keyID)
	defer cancel()
	operation := e.newOperation(request, OperationStart, id, StartRequest{Model: model}, 0)
	_, err := e.execute(ctx, operation, func(Event) error { return nil })
	return err
}

// endOneCallProgram ends the one-call program of a chat request without a program.
// If that fails, the program ends when its idle timeout has passed.
func (e *Entry) endOneCallProgram(account spool.AccountID, keyID string, id spool.ProgramID) {
	ctx, cancel := e.detachedContext()
	defer cancel()
	operation := Operation{Name: OperationEnd, Account: account, KeyID: keyID, Program: id}
	if _, err := e.execute(ctx, operation, func(Event) error { return nil }); err != nil {
		e.telemetry.CountEvent("oneCallProgramNotEnded")
	}
}

// chatEncoder encodes the answers of /v1/chat/completions, streamed or not. It is
// used for one answer.
type chatEncoder struct {
	id    string
	model string
	// created is the time of the request, in seconds since the Unix epoch.
	created int64
	// includeUsage is true if a streamed answer must end with the token counts.
	includeUsage bool
	// roleSent is true once a chunk with the role "assistant" was encoded.
	roleSent bool
}

// finishStop is the finish_reason of every answer.
var finishStop = "stop"

func usageOf(reply CallReply) *chatUsage {
	return &chatUsage{
		PromptTokens: reply.PromptTokens, CompletionTokens: reply.GeneratedTokens,
		TotalTokens: reply.PromptTokens + reply.GeneratedTokens, Details: &promptDetails{CachedTokens: reply.CachedTokens},
	}
}

func (c *chatEncoder) reply(reply CallReply) chatReply {
	return chatReply{
		ID: c.id, Object: "chat.completion", Created: c.created, Model: c.model, Usage: usageOf(reply),
		Choices: []chatChoice{{Message: &chatDelta{Role: "assistant", Content: reply.Text}, FinishReason: &finishStop}},
	}
}

func (c *chatEncoder) encodeChunk(choices []chatChoice, usage *chatUsage) []byte {
	body, _ := json.Marshal(chatReply{
		ID: c.id, Object: "chat.completion.chunk", Created: c.created, Model: c.model, Choices: choices, Usage: usage,
	})
	return append(append([]byte("data: "), body...), "\n\n"...)
}

// encodeEvent encodes one event of the answer. It returns a refusal for a restart,
// which ends the answer, because clients of this route concatenate all chunks and
// cannot discard text.
func (c *chatEncoder) encodeEvent(event Event) ([]byte, error) {
	if event.Restart {
		return nil, spool.Refuse(spool.CodeEndpointFailed, "answer was started over by another endpoint").
			WithNotRun(spool.NotRunFalse).WithRetryAfter(clock.Second)
	}
	delta := &chatDelta{Content: event.Text}
	if !c.roleSent {
		c.roleSent, delta.Role = true, "assistant"
	}
	return c.encodeChunk([]chatChoice{{Delta: delta}}, nil), nil
}

func (c *chatEncoder) encodeResult(body json.RawMessage) ([]byte, error) {
	var reply CallReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return nil, err
	}
	encoded := c.encodeChunk([]chatChoice{{Delta: &chatDelta{}, FinishReason: &finishStop}}, nil)
	if c.includeUsage {
		encoded = append(encoded, c.encodeChunk([]chatChoice{}, usageOf(reply))...)
	}
	return append(encoded, "data: [DONE]\n\n"...), nil
}

func (c *chatEncoder) encodeRefusal(refusal *spool.Refusal) []byte {
	body, _ := json.Marshal(newErrorBody(refusal))
	return append(append([]byte("data: "), body...), "\n\n"...)
}
