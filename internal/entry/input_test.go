package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/entry"
	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/clock"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

var _ = ginkgo.Describe("Input", func() {
	var (
		env    *testEnv
		owner  *fakeStreams
		client testClient
		id     spool.ProgramID
	)

	ginkgo.BeforeEach(func() {
		env = newTestEnv()
		owner = env.newEntry("entry-1", func(c *entry.Config) {
			c.MaxBodyBytes, c.MaxHeaderBytes, c.IdleTimeout, c.ReadTimeout = 1<<16, 4096, 200, 200
		})
		env.assignStreams(owner, allStreams...)
		client = testClient{server: owner, account: "fog"}
		id = client.startProgram(startBody)
	})

	ginkgo.It("refuses malformed and malicious requests with the right status and keeps serving", func() {
		calls := programPath(id, "/calls")
		chat := "/v1/chat/completions"
		unknownProgram := spool.ProgramID(strings.Repeat("a", 26))
		for name, test := range map[string]struct {
			path, body string
			status     int
		}{
			"invalid JSON":             {calls, "{", 400},
			"array, no object":         {calls, `[]`, 400},
			"unknown field":            {calls, `{"callId":"1","messages":[{"role":"user","content":"x"}],"x":1}`, 400},
			"internal field whole":     {calls, `{"callId":"1","messages":[],"whole":true}`, 400},
			"internal field paid":      {calls, `{"callId":"1","messages":[{"role":"user","content":"x"}],"paid":true}`, 400},
			"trailing data":            {calls, `{"callId":"1","messages":[{"role":"user","content":"x"}]}{}`, 400},
			"invalid UTF-8":            {calls, "{\"callId\":\"\xff\"}", 400},
			"no callId":                {calls, `{"messages":[{"role":"user","content":"x"}]}`, 400},
			"control characters":       {calls, `{"callId":"a\u0000","messages":[{"role":"user","content":"x"}]}`, 400},
			"unknown role":             {calls, `{"callId":"1","messages":[{"role":"root","content":"x"}]}`, 400},
			"negative tokens":          {calls, `{"callId":"1","maxTokens":-1,"messages":[{"role":"user","content":"x"}]}`, 400},
			"overflowing number":       {calls, `{"callId":"1","maxTokens":1e400,"messages":[]}`, 400},
			"deep nesting":             {calls, strings.Repeat("[", 20_000), 400},
			"too large":                {calls, `{"callId":"` + strings.Repeat("x", 1<<17), 413},
			"unknown model":            {calls, `{"callId":"1","model":"x","messages":[{"role":"user","content":"x"}]}`, 404},
			"unknown service":          {programPath(id, "/services/x"), `{"callId":"1","path":"/"}`, 404},
			"path injection":           {programPath(id, "/services/harvest-app"), `{"callId":"1","path":"http://x/"}`, 400},
			"header injection":         {programPath(id, "/services/harvest-app"), `{"callId":"1","path":"/ HTTP/1.1\r\nX: y"}`, 400},
			"unknown program":          {programPath(unknownProgram, "/calls"), `{"callId":"1","messages":[{"role":"user","content":"x"}]}`, 404},
			"malformed program":        {"/v1/programs/..%2f..%2fetc/calls", `{}`, 404},
			"unknown sub-agent":        {programPath(id+".1", "/calls"), `{"callId":"1","messages":[{"role":"user","content":"x"}]}`, 404},
			"unknown route":            {"/v1/other", `{}`, 404},
			"chat without model":       {chat, `{"messages":[{"role":"user","content":"x"}]}`, 400},
			"chat with two choices":    {chat, `{"model":"mist","n":2,"messages":[{"role":"user","content":"x"}]}`, 400},
			"chat with an image":       {chat, `{"model":"mist","messages":[{"role":"user","content":[{"type":"image"}]}]}`, 400},
			"chat with negative limit": {chat, `{"model":"mist","max_tokens":-5,"messages":[{"role":"user","content":"x"}]}`, 400},
		} {
			status, body := client.send("POST", test.path, test.body)
			gomega.Expect(status).To(gomega.Equal(test.status), "%s: %s", name, body)
			gomega.Expect(body).To(gomega.ContainSubstring(`"notRun":"true"`), name)
		}
		gomega.Expect(env.modelAgent.receivedRuns()).To(gomega.BeEmpty())
		status, _ := client.send("POST", calls, callBody("1", "fog?"))
		gomega.Expect(status).To(gomega.Equal(200))
	})

	ginkgo.It("answers for a program of another account as for one that does not exist", func() {
		other := testClient{server: owner, account: "other"}
		for _, operation := range []struct{ method, rest string }{{"GET", ""}, {"DELETE", ""}, {"POST", "/cancel"}, {"POST", "/calls"}} {
			foreign, foreignBody := other.send(operation.method, programPath(id, operation.rest), callBody("1", "x"))
			missing, missingBody := other.send(operation.method, programPath("abcdefghijklmnopqrstuvwxyz", operation.rest), callBody("1", "x"))
			gomega.Expect(foreign).To(gomega.Equal(404))
			gomega.Expect([]any{foreign, foreignBody}).To(gomega.Equal([]any{missing, missingBody}))
		}
	})

	ginkgo.It("requires an API key on every route except the public ones", func() {
		anonymous := testClient{server: owner}
		for route, want := range map[string]int{
			"/healthz": 200, "/readyz": 200, "/metrics": 200, "/v1/models": 200, programPath(id, ""): 401, "/v1/programs": 401, "/": 401,
		} {
			status, body := anonymous.send("GET", route, nil)
			gomega.Expect(status).To(gomega.Equal(want), "%s: %s", route, body)
			gomega.Expect(body).NotTo(gomega.ContainSubstring("bsk_"))
		}
	})

	ginkgo.It("refuses an oversized header without quoting the API key and closes slow connections", func() {
		conn, err := net.Dial("tcp", owner.entry.HTTPAddress())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(conn.Close)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nAuthorization: Bearer bsk_fog_secret"+strings.Repeat("x", 8192)+"\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		body, _ := io.ReadAll(response.Body)
		gomega.Expect(response.StatusCode).To(gomega.Equal(413))
		gomega.Expect(string(body)).NotTo(gomega.ContainSubstring("bsk_"))
		slow, err := net.Dial("tcp", owner.entry.HTTPAddress())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(slow.Close)
		_, _ = io.WriteString(slow, "POST /v1/programs HTTP/1.1\r\nContent-Le")
		gomega.Expect(slow.SetReadDeadline(time.Now().Add(3 * time.Second))).To(gomega.Succeed())
		_, err = io.ReadAll(slow)
		gomega.Expect(err).NotTo(gomega.HaveOccurred(), "the connection of an incomplete request is closed")
	})

	ginkgo.It("cancels the call of a caller that does not read its stream", func() {
		cancelled := make(chan struct{})
		env.modelAgent.setHandler(func(ctx context.Context, request wire.RunRequest, send wire.Send) (any, error) {
			defer close(cancelled)
			piece := strings.Repeat("fog ", 1<<14)
			for i := 0; ctx.Err() == nil; i++ {
				if err := send(spool.Chunk{Correlation: request.Correlation, Index: i, Text: piece}); err != nil {
					return nil, err
				}
				time.Sleep(time.Millisecond)
			}
			return nil, ctx.Err()
		})
		conn, err := net.Dial("tcp", owner.entry.HTTPAddress())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(conn.Close)
		body, _ := json.Marshal(streamedCallBody("1", "fog?"))
		_, _ = conn.Write(rawRequest("POST", programPath(id, "/calls"), body))
		gomega.Eventually(cancelled, "5s").Should(gomega.BeClosed())
	})

	ginkgo.It("serves the chat completions API with and without a program", func() {
		request := func(stream bool, contents ...string) map[string]any {
			var messages []spool.Message
			for i, content := range contents {
				messages = append(messages, spool.Message{Role: []string{"user", "assistant"}[i%2], Content: content})
			}
			return map[string]any{"model": "mist", "messages": messages, "stream": stream}
		}
		withProgram := client
		withProgram.header = map[string]string{"X-Program-Id": string(id)}
		status, body := withProgram.send("POST", "/v1/chat/completions", request(false, "fog?"))
		gomega.Expect(status).To(gomega.Equal(200), body)
		gomega.Expect(body).To(gomega.ContainSubstring(`"message":{"role":"assistant","content":"re: fog?"},"finish_reason":"stop"`))
		_, body = withProgram.send("POST", "/v1/chat/completions", request(true, "fog?", "re: fog?", "now?"))
		gomega.Expect(body).To(gomega.HaveSuffix("data: [DONE]\n\n"))
		runs := env.modelAgent.receivedRuns()
		gomega.Expect(runs[1].BaseCount).To(gomega.Equal(2))
		gomega.Expect(runs[1].Messages).To(gomega.HaveLen(1), "the history is recognized as a prefix")
		status, _ = withProgram.send("POST", "/v1/chat/completions", request(false, "something else"))
		gomega.Expect(status).To(gomega.Equal(409))
		withIdempotencyKey := client
		withIdempotencyKey.header = map[string]string{"Idempotency-Key": "k1"}
		before := env.admitted["fog"]
		_, firstBody := withIdempotencyKey.send("POST", "/v1/chat/completions", request(false, "alone"))
		gomega.Expect(env.admitted["fog"]-before).To(gomega.Equal(1), "a one-call program is charged as one request")
		_, repeatedBody := withIdempotencyKey.send("POST", "/v1/chat/completions", request(false, "alone"))
		gomega.Expect(repeatedBody).To(gomega.ContainSubstring("re: alone"), firstBody)
		gomega.Expect(env.modelAgent.receivedRuns()).To(gomega.HaveLen(3))
	})
})

var _ = ginkgo.Describe("An answer that belongs to another call", func() {
	ginkgo.It("is dropped, counted as a violation and not sent to the caller", func() {
		env := newTestEnv()
		owner := env.newEntry("entry-1")
		env.assignStreams(owner, allStreams...)
		client := testClient{server: owner, account: "fog"}
		id := client.startProgram(startBody)
		counters := env.telemetry
		env.telemetry, _ = telemetry.New("unused", nopLogger)
		env.modelAgent.setHandler(func(_ context.Context, _ wire.RunRequest, _ wire.Send) (any, error) {
			return wire.RunReply{Correlation: "another", Engine: &spool.EngineResult{Text: "not yours"}}, nil
		})
		body := callBody("1", "fog?")
		body["deadlineMs"] = 300
		_, answer := client.send("POST", programPath(id, "/calls"), body)
		gomega.Expect(answer).NotTo(gomega.ContainSubstring("not yours"))
		violations := counters.Totals()[telemetry.Series{Kind: telemetry.KindViolation, Label: "answerBelongsToCall"}]
		gomega.Expect(violations).To(gomega.BeNumerically(">", 0))
	})
})

var _ = ginkgo.Describe("Config", func() {
	ginkgo.It("reports all errors at once", func() {
		config := entry.DefaultConfig
		config.Streams, config.ReadTimeout = 0, -clock.Second
		_, err := entry.New(config, newFakeControl(), newFakeControl())
		gomega.Expect(errors.Is(err, entry.ErrConfig)).To(gomega.BeTrue())
		for _, part := range []string{"node", "failureDomain", "streams", "readTimeout"} {
			gomega.Expect(err.Error()).To(gomega.ContainSubstring(part))
		}
	})
})
