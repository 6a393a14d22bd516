package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// Limits on the fields of callers' requests. maxMessages is the number of messages
// of one call; maxDuration applies to relative deadlines and idle times.
const (
	maxCallIDBytes  = 128
	maxNameBytes    = 128
	maxPathBytes    = 2048
	maxMessages     = 4096
	maxAnswerTokens = 1 << 20
	maxDuration     = 24 * clock.Hour
)

// decode decodes a JSON object strictly: it refuses unknown fields, invalid
// UTF-8 and data after the object. An empty body is decoded as an empty object.
func decode(body []byte, request any) error {
	if len(bytes.TrimSpace(body)) == 0 {
		body = []byte("{}")
	}
	if !utf8.Valid(body) {
		return spool.Refuse(spool.CodeBadRequest, "body is not valid UTF-8")
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(request); err != nil {
		return spool.Refuse(spool.CodeBadRequest, "body does not decode: %s", strings.TrimPrefix(err.Error(), "json: "))
	}
	if _, err := decoder.Token(); err != io.EOF {
		return spool.Refuse(spool.CodeBadRequest, "body has data after its JSON object")
	}
	return nil
}

// checkName refuses the value of a text field that is longer than limit bytes, that
// is empty although required, or that has control characters or invalid UTF-8.
func checkName(field, value string, limit int, required bool) error {
	switch {
	case value == "" && required:
		return spool.Refuse(spool.CodeBadRequest, "%s is missing", field)
	case len(value) > limit:
		return spool.Refuse(spool.CodeBadRequest, "%s is longer than %d bytes", field, limit)
	case !utf8.ValidString(value) || strings.ContainsFunc(value, unicode.IsControl):
		return spool.Refuse(spool.CodeBadRequest, "%s has characters that are not allowed", field)
	default:
		return nil
	}
}

// checkNumber refuses the value of a numeric field that is negative or above limit.
func checkNumber[N int | clock.Millis](field string, value, limit N) error {
	if value < 0 || value > limit {
		return spool.Refuse(spool.CodeBadRequest, "%s must be between 0 and %d", field, limit)
	}
	return nil
}

// firstError returns the first of errs that is not nil, or nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *StartRequest) validate() error {
	const limit = 1 << 40
	return firstError(
		checkName("model", string(r.Model), maxNameBytes, false),
		checkNumber("idleForMs", r.IdleFor, maxDuration),
		checkNumber("budget.tokens", r.Budget.Tokens, limit),
		checkNumber("budget.calls", r.Budget.Calls, limit),
		checkNumber("budget.wallMs", r.Budget.Wall, limit),
		checkNumber("budget.depth", r.Budget.Depth, maxProgramIDLength),
		checkNumber("budget.agents", r.Budget.Agents, limit),
	)
}

// validate refuses FullPrompt and RateLimitCharged like unknown fields, because only the
// entry itself may set them.
func (r *CallRequest) validate() error {
	if r.FullPrompt || r.RateLimitCharged {
		return spool.Refuse(spool.CodeBadRequest, "body does not decode: unknown field")
	}
	return firstError(
		checkName("callId", string(r.Call), maxCallIDBytes, true),
		checkName("model", string(r.Model), maxNameBytes, false),
		checkNumber("maxTokens", r.MaxTokens, maxAnswerTokens),
		checkNumber("deadlineMs", r.DeadlineIn, maxDuration),
		checkMessages(r.Messages),
	)
}

// checkMessages checks the number and the roles of the messages of a call.
func checkMessages(messages []spool.Message) error {
	if len(messages) == 0 || len(messages) > maxMessages {
		return spool.Refuse(spool.CodeBadRequest, "messages must hold between 1 and %d messages", maxMessages)
	}
	for i, message := range messages {
		switch message.Role {
		case "system", "user", "assistant", "tool":
		default:
			return spool.Refuse(spool.CodeBadRequest, "messages[%d].role is not system, user, assistant or tool", i)
		}
	}
	return nil
}

func (r *SpawnRequest) validate() error {
	return firstError(
		checkName("callId", string(r.Call), maxCallIDBytes, true),
		checkName("model", string(r.Model), maxNameBytes, false),
		checkNumber("idleForMs", r.IdleFor, maxDuration),
	)
}

// validate also sets the default method, POST.
func (r *ServiceRequest) validate() error {
	switch r.Method {
	case "":
		r.Method = "POST"
	case "GET", "POST", "PUT", "PATCH", "DELETE":
	default:
		return spool.Refuse(spool.CodeBadRequest, "method is not GET, POST, PUT, PATCH or DELETE")
	}
	if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, " #") {
		return spool.Refuse(spool.CodeBadRequest, "path must start with a slash and have no spaces")
	}
	return firstError(
		checkName("callId", string(r.Call), maxCallIDBytes, true),
		checkName("path", r.Path, maxPathBytes, true),
		checkNumber("deadlineMs", r.DeadlineIn, maxDuration),
	)
}

// chatRequest is the body of a request to /v1/chat/completions. Temperature, TopP,
// Seed and User are accepted but ignored, because the engines have no such
// parameters.
type chatRequest struct {
	Model               spool.ModelName `json:"model"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           int             `json:"max_tokens,omitempty"`
	MaxCompletionTokens int             `json:"max_completion_tokens,omitempty"`
	Stream              bool            `json:"stream,omitempty"`
	StreamOptions       *streamOptions  `json:"stream_options,omitempty"`
	N                   *int            `json:"n,omitempty"`
	Temperature         *float64        `json:"temperature,omitempty"`
	TopP                *float64        `json:"top_p,omitempty"`
	Seed                *int64          `json:"seed,omitempty"`
	User                string          `json:"user,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// chatMessage is one message of a chatRequest. Name is accepted but ignored.
type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
	Name    string      `json:"name,omitempty"`
}

// chatContent is the text of a message, with its parts concatenated.
type chatContent string

// UnmarshalJSON accepts a string, null or an array of text parts. It refuses parts
// of other types, such as images.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	var text *string
	if err := json.Unmarshal(data, &text); err == nil {
		if text != nil {
			*c = chatContent(*text)
		}
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return spool.Refuse(spool.CodeBadRequest, "content is neither text nor a list of parts")
	}
	joined := ""
	for _, part := range parts {
		if part.Type != "text" {
			return spool.Refuse(spool.CodeBadRequest, "content part is not of type text")
		}
		joined += part.Text
	}
	*c = chatContent(joined)
	return nil
}

// toCallRequest validates a chat request and converts it to a CallRequest with
// FullPrompt and the given callId. Of MaxTokens and MaxCompletionTokens the larger
// is used.
func (r *chatRequest) toCallRequest(call spool.CallID) (CallRequest, error) {
	if r.N != nil && *r.N != 1 {
		return CallRequest{}, spool.Refuse(spool.CodeBadRequest, "n must be 1")
	}
	request := CallRequest{Call: call, Model: r.Model, MaxTokens: max(r.MaxTokens, r.MaxCompletionTokens), Stream: r.Stream}
	for _, message := range r.Messages {
		request.Messages = append(request.Messages, spool.Message{Role: message.Role, Content: string(message.Content)})
	}
	err := firstError(
		checkNumber("max_tokens", min(r.MaxTokens, r.MaxCompletionTokens), maxAnswerTokens),
		checkName("model", string(r.Model), maxNameBytes, true),
		request.validate(),
	)
	request.FullPrompt = true
	return request, err
}
