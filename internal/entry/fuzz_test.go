package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/baobabspool/baobabspool/internal/entry"
	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/program"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// fuzzTarget is an entry without endpoints that receives fuzzed input.
type fuzzTarget struct {
	*fakeStreams
	telemetry *telemetry.Telemetry
	program   spool.ProgramID
}

// newFuzzTarget starts an entry that owns all streams, and a program on it.
func newFuzzTarget(tb testing.TB) *fuzzTarget {
	counters, err := telemetry.New("fuzz", nopLogger)
	if err != nil {
		tb.Fatal(err)
	}
	config := entry.DefaultConfig
	config.Node, config.FailureDomain, config.Streams = "fuzz", "swakop-a", testStreamCount
	config.ReadTimeout, config.ForwardFor = 200, 100
	control := newFakeControl()
	control.settings.Budget = program.Budget{}
	created, err := entry.New(config, control, control, entry.WithTelemetry(counters))
	if err != nil {
		tb.Fatal(err)
	}
	target := &fuzzTarget{fakeStreams: &fakeStreams{fakeCluster: newFakeCluster(), entry: created, node: "fuzz"}, telemetry: counters}
	if err := created.Start(target.fakeStreams); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = created.Shutdown(ctx)
	})
	target.assignStreams(target.fakeStreams, allStreams...)
	answer := target.exchange(tb, rawRequest("POST", "/v1/programs", []byte(`{"model":"mist"}`)))
	var reply entry.StartReply
	if err := json.Unmarshal(answer, &reply); err != nil || reply.Program == "" {
		tb.Fatalf("program was not started: %s", answer)
	}
	target.program = reply.Program
	return target
}

// rawRequest returns an HTTP request in its wire format.
func rawRequest(method, path string, body []byte) []byte {
	var raw bytes.Buffer
	httpRequest, _ := http.NewRequest(method, "http://entry"+path, bytes.NewReader(body))
	httpRequest.Header.Set("Authorization", "Bearer bsk_fog_secret")
	_ = httpRequest.Write(&raw)
	return raw.Bytes()
}

// exchange sends raw bytes to the HTTP server and returns the body of the
// response, or nil if there is no valid response.
func (t *fuzzTarget) exchange(tb testing.TB, raw []byte) []byte {
	conn, err := net.Dial("tcp", t.entry.HTTPAddress())
	if err != nil {
		tb.Fatalf("entry does not accept connections: %v", err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = conn.Write(raw)
	_ = conn.(*net.TCPConn).CloseWrite()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil
	}
	var body bytes.Buffer
	_, _ = body.ReadFrom(response.Body)
	return body.Bytes()
}

// checkAnswer fails the test if an answer contains an API key or an internal error,
// or if the entry has counted a violation of an invariant.
func (t *fuzzTarget) checkAnswer(tb testing.TB, answer []byte) {
	if bytes.Contains(answer, []byte("bsk_")) || bytes.Contains(answer, []byte(`"code":"internal"`)) {
		tb.Fatalf("answer holds an API key or an internal error: %s", answer)
	}
	for series, count := range t.telemetry.Totals() {
		if series.Kind == telemetry.KindViolation && count > 0 {
			tb.Fatalf("invariant %s was violated", series.Label)
		}
	}
}

// FuzzBody sends fuzzed bodies to every route with a body. It guards against panics
// and against bodies that cause an internal error instead of a refusal.
func FuzzBody(f *testing.F) {
	target := newFuzzTarget(f)
	routes := []string{
		"/v1/programs", programPath(target.program, "/calls"), programPath(target.program, "/agents"),
		programPath(target.program, "/services/harvest-app"), "/v1/chat/completions",
	}
	f.Add(uint8(1), []byte(`{"callId":"1","messages":[{"role":"user","content":"x"}],"stream":true}`))
	f.Fuzz(func(tb *testing.T, route uint8, body []byte) {
		target.checkAnswer(tb, target.exchange(tb, rawRequest("POST", routes[int(route)%len(routes)], body)))
	})
}

// FuzzRaw sends fuzzed bytes, which need not be valid HTTP, to the HTTP server. It
// guards against panics and against API keys in the answer.
func FuzzRaw(f *testing.F) {
	target := newFuzzTarget(f)
	f.Add([]byte("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"))
	f.Fuzz(func(tb *testing.T, raw []byte) { target.checkAnswer(tb, target.exchange(tb, raw)) })
}

// FuzzForward sends fuzzed operations as another entry would forward them. It
// guards against panics and violated invariants, because these operations have not
// passed the checks of the HTTP server.
func FuzzForward(f *testing.F) {
	target := newFuzzTarget(f)
	clients := wire.NewClients("fuzz")
	f.Cleanup(clients.Close)
	f.Add("call", "", []byte(`{"callId":"1","messages":[{"role":"user","content":"x"}]}`))
	f.Fuzz(func(tb *testing.T, operation, id string, body []byte) {
		if id == "" {
			id = string(target.program)
		}
		if !json.Valid(body) {
			body = []byte("null")
		}
		forward := wire.ForwardRequest{Operation: operation, Correlation: "c", Account: "fog", Program: spool.ProgramID(id), Body: body}
		var reply wire.ForwardReply
		_ = clients.Call(context.Background(), target.entry.WireAddress(), wire.MethodForward, forward, &reply, nil)
		target.checkAnswer(tb, reply.Body)
	})
}
