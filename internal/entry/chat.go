package entry

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

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
	// FinishReason is null until the answer ends.
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

// chat answers the compatible route. Messages that are in the program's history
// already are recognised as its prefix.
func (e *Entry) chat(request *callerRequest) (streams bool, err error) {
	body := chatRequest{}
	if err := decode(request.ctx.PostBody(), &body); err != nil {
		return false, err
	}
	callID := string(request.ctx.Request.Header.Peek(headerCall))
	id := spool.ProgramID(request.ctx.Request.Header.Peek(headerProgram))
	temporary := id == ""
	if !temporary {
		if err := checkProgram(id); err != nil {
			return false, err
		}
	}
	name := callID
	if name == "" {
		name = e.correlation()
	}
	turn, err := body.callRequest(spool.CallID(name))
	turn.Paid = temporary
	if err != nil {
		return false, err
	}
	if temporary {
		id = e.oneCallProgram(request.account, callID)
		if err := e.startOneCall(request, id, body.Model); err != nil {
			return false, err
		}
	}
	finish := func() {
		if temporary {
			e.callers.Submit(func() { e.endOneCall(request.account, request.keyID, id) })
		}
	}
	request.ctx.Response.Header.Set(headerProgram, string(id))
	operation := e.operation(request, OperationCall, id, turn, 0)
	form := &chatFormat{id: name, model: string(body.Model), created: int64(e.clock.Now() / clock.Second)}
	form.usage = body.StreamOptions != nil && body.StreamOptions.IncludeUsage
	if turn.Stream {
		return e.stream(request, operation, form, finish)
	}
	defer finish()
	ctx, cancel := e.whileKeyIsValid(e.ctx, request.keyID)
	defer cancel()
	raw, err := e.execute(ctx, operation, func(Event) error { return nil })
	if err != nil {
		return false, err
	}
	var reply CallReply
	if err := json.Unmarshal(raw, &reply); err != nil {
		return false, err
	}
	e.answer(request.ctx, fasthttp.StatusOK, form.whole(reply))
	return false, nil
}

func (e *Entry) startOneCall(request *callerRequest, id spool.ProgramID, model spool.ModelName) error {
	ctx, cancel := e.whileKeyIsValid(e.ctx, request.keyID)
	defer cancel()
	operation := e.operation(request, OperationStart, id, StartRequest{Model: model}, 0)
	_, err := e.execute(ctx, operation, func(Event) error { return nil })
	return err
}

// endOneCall ends the program of a request that named none. When it fails the
// program expires.
func (e *Entry) endOneCall(account spool.AccountID, keyID string, id spool.ProgramID) {
	ctx, cancel := e.detached()
	defer cancel()
	operation := Operation{Name: OperationEnd, Account: account, KeyID: keyID, Program: id}
	if _, err := e.execute(ctx, operation, func(Event) error { return nil }); err != nil {
		e.telemetry.Event("oneCallProgramNotEnded")
	}
}

// chatFormat is that of /v1/chat/completions.
type chatFormat struct {
	id      string
	model   string
	created int64
	usage   bool
	begun   bool
}

var finishStop = "stop"

func usageOf(reply CallReply) *chatUsage {
	return &chatUsage{
		PromptTokens: reply.PromptTokens, CompletionTokens: reply.GeneratedTokens,
		TotalTokens: reply.PromptTokens + reply.GeneratedTokens, Details: &promptDetails{CachedTokens: reply.CachedTokens},
	}
}

func (f *chatFormat) whole(reply CallReply) chatReply {
	return chatReply{
		ID: f.id, Object: "chat.completion", Created: f.created, Model: f.model, Usage: usageOf(reply),
		Choices: []chatChoice{{Message: &chatDelta{Role: "assistant", Content: reply.Text}, FinishReason: &finishStop}},
	}
}

func (f *chatFormat) chunk(choices []chatChoice, usage *chatUsage) []byte {
	body, _ := json.Marshal(chatReply{
		ID: f.id, Object: "chat.completion.chunk", Created: f.created, Model: f.model, Choices: choices, Usage: usage,
	})
	return append(append([]byte("data: "), body...), "\n\n"...)
}

// event refuses a restart: callers of this route join all pieces.
func (f *chatFormat) event(event Event) ([]byte, error) {
	if event.Restart {
		return nil, spool.Refuse(spool.CodeEndpointFailed, "answer was started over by another endpoint").
			WithNotRun(spool.NotRunFalse).WithRetryAfter(clock.Second)
	}
	delta := &chatDelta{Content: event.Text}
	if !f.begun {
		f.begun, delta.Role = true, "assistant"
	}
	return f.chunk([]chatChoice{{Delta: delta}}, nil), nil
}

func (f *chatFormat) done(body json.RawMessage) ([]byte, error) {
	var reply CallReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return nil, err
	}
	pieces := f.chunk([]chatChoice{{Delta: &chatDelta{}, FinishReason: &finishStop}}, nil)
	if f.usage {
		pieces = append(pieces, f.chunk([]chatChoice{}, usageOf(reply))...)
	}
	return append(pieces, "data: [DONE]\n\n"...), nil
}

func (f *chatFormat) failed(refusal *spool.Refusal) []byte {
	body, _ := json.Marshal(bodyOf(refusal))
	return append(append([]byte("data: "), body...), "\n\n"...)
}
