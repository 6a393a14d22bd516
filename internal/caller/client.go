// Package caller implements callers of the system for the demonstration, the
// measurements and tests. Each program keeps its own transcript and checks every
// answer against it.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// callTimeout bounds the time to read the response to one HTTP request.
const callTimeout = 30 * time.Second

// Client sends requests to the entries. It takes the place of the platform's load
// balancer: consecutive requests go to the entries in turn. It is safe for concurrent
// use.
type Client struct {
	entries func() []string
	key     string
	scheme  string
	http    *fasthttp.Client
	next    atomic.Uint64
}

// NewClient returns a client that authenticates with key. entries is called for each
// request and returns the HTTP addresses of the entries that the request may go to.
func NewClient(entries func() []string, key string) *Client {
	return &Client{
		entries: entries,
		key:     key,
		scheme:  "http://",
		http: &fasthttp.Client{
			StreamResponseBody:        true,
			MaxIdemponentCallAttempts: 1,
			ReadTimeout:               callTimeout,
			Dial: func(address string) (net.Conn, error) {
				return fasthttp.DialTimeout(address, time.Second)
			},
		},
	}
}

// UseTLS makes the client use TLS. It must be called before the first request.
func (c *Client) UseTLS(config *tls.Config) { c.scheme, c.http.TLSConfig = "https://", config }

// Failure is an error response of an entry.
type Failure struct {
	// Code, Message, NotRun and RetryAfter are the fields of spool.Refusal.
	Code       spool.Code   `json:"code"`
	Message    string       `json:"message"`
	NotRun     spool.NotRun `json:"notRun"`
	RetryAfter clock.Millis `json:"retryAfterMs"`
}

// Error describes the failure with its code.
func (f *Failure) Error() string { return string(f.Code) + ": " + f.Message }

// failureBody is the body of an error response.
type failureBody struct {
	Error Failure `json:"error"`
}

// errTransport means that no complete response arrived, so the outcome is unknown.
var errTransport = errors.New("no answer from the entry")

// do sends one request. It passes a successful response to onBody and returns an error
// response as a *Failure. The end of ctx does not interrupt the request; do checks ctx
// when a successful response has arrived.
func (c *Client) do(ctx context.Context, method, path string, body any, onBody func(*fasthttp.Response) error) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	entries := c.entries()
	if len(entries) == 0 {
		return errors.Wrap(errTransport, "no entry is listed")
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(c.scheme + entries[c.next.Add(1)%uint64(len(entries))] + path)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBody(encoded)
	}
	if err := c.http.Do(request, response); err != nil {
		return errors.Wrap(errTransport, err.Error())
	}
	defer func() { _ = response.CloseBodyStream() }()
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return readFailure(response)
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	return onBody(response)
}

// readFailure returns the error in the body of an error response as a *Failure, or
// another error if the body contains none.
func readFailure(response *fasthttp.Response) error {
	body, err := readBody(response)
	if err != nil {
		return err
	}
	var answer failureBody
	if err := json.Unmarshal(body, &answer); err != nil || answer.Error.Code == "" {
		return errors.Errorf("status %d without an error body", response.StatusCode())
	}
	return &answer.Error
}

func readBody(response *fasthttp.Response) ([]byte, error) {
	var buffer bytes.Buffer
	if err := response.BodyWriteTo(&buffer); err != nil {
		return nil, errors.Wrap(errTransport, err.Error())
	}
	return buffer.Bytes(), nil
}

// Send sends one request without retries and decodes the JSON response into answer. It
// returns an error response of the entry as a *Failure.
func (c *Client) Send(ctx context.Context, method, path string, body, answer any) error {
	return c.do(ctx, method, path, body, func(response *fasthttp.Response) error {
		content, err := readBody(response)
		if err != nil {
			return err
		}
		return errors.Wrap(json.Unmarshal(content, answer), "decode answer")
	})
}

// turnAnswer is the final event of a streamed turn.
type turnAnswer struct {
	Text         string           `json:"text"`
	PromptTokens int              `json:"promptTokens"`
	CachedTokens int              `json:"cachedTokens"`
	Endpoint     spool.EndpointID `json:"endpoint"`
	Replayed     bool             `json:"replayed"`
}

// turnEvent is a chunk of a streamed turn. Restart means that the answer begins again and
// earlier chunks are void.
type turnEvent struct {
	Text    string `json:"text"`
	Restart bool   `json:"restart"`
}

// errStreamMismatch means that the chunks of a stream do not add up to the text
// of its final event.
var errStreamMismatch = errors.New("chunks of the stream do not add up to the answer")

// stream sends one turn and reads its server-sent events. It calls onText for every text
// chunk. It fails with errStreamMismatch when the chunks since the last restart event
// do not add up to the text of the final event.
func (c *Client) stream(ctx context.Context, path string, body any, onText func()) (answer turnAnswer, err error) {
	err = c.do(ctx, fasthttp.MethodPost, path, body, func(response *fasthttp.Response) error {
		answer, err = readTurn(response, onText)
		return err
	})
	return answer, err
}

// readTurn reads the server-sent events of a turn until its last event.
func readTurn(response *fasthttp.Response, onText func()) (answer turnAnswer, err error) {
	source := response.BodyStream()
	if source == nil {
		source = bytes.NewReader(response.Body())
	}
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, 1<<20)
	name, text := "", strings.Builder{}
	for scanner.Scan() {
		line := scanner.Text()
		if event, found := strings.CutPrefix(line, "event: "); found {
			name = event
			continue
		}
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		if name == "text" {
			onText()
		}
		done, err := readEvent(name, []byte(data), &text, &answer)
		if done {
			// fasthttp reuses the connection only if the body has been read to its end.
			_, _ = io.Copy(io.Discard, source)
		}
		if done || err != nil {
			return answer, err
		}
	}
	return answer, errors.Wrap(errTransport, "stream ended early")
}

// readEvent applies one event to text and answer. done reports that it was the last one.
func readEvent(name string, data []byte, text *strings.Builder, answer *turnAnswer) (done bool, err error) {
	switch name {
	case "text", "restart":
		var event turnEvent
		if err := json.Unmarshal(data, &event); err != nil {
			return false, err
		}
		if event.Restart {
			text.Reset()
		}
		text.WriteString(event.Text)
		return false, nil
	case "error":
		var body failureBody
		if err := json.Unmarshal(data, &body); err != nil {
			return false, err
		}
		return true, &body.Error
	case "done":
		if err := json.Unmarshal(data, answer); err != nil {
			return false, err
		}
		if text.String() != answer.Text {
			return true, errStreamMismatch
		}
		return true, nil
	}
	return false, nil
}
