package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// BenchmarkCall measures a model call through the entry (sub-benchmarks entry/N)
// and the same call sent directly to the agent; the difference is the cost of the
// entry. N is the number of turns that the program has had before.
func BenchmarkCall(b *testing.B) {
	for _, turns := range []int{0, 100} {
		b.Run(fmt.Sprint("entry/", turns), func(b *testing.B) {
			target := newFuzzTarget(b)
			model := &fakeAgent{id: "model-1"}
			listenAgent(b, target, model)
			for i := range turns {
				target.runTurn(b, fmt.Sprint("before-", i))
			}
			b.ResetTimer()
			for i := range b.N {
				target.runTurn(b, fmt.Sprint(i))
			}
		})
	}
	b.Run("agent", func(b *testing.B) {
		target := newFuzzTarget(b)
		model := &fakeAgent{id: "model-1"}
		listenAgent(b, target, model)
		clients := wire.NewClients("bench")
		b.Cleanup(clients.Close)
		request := wire.RunRequest{Kind: wire.RunModel, Correlation: "c", Messages: []spool.Message{{Role: "user", Content: benchMessage}}}
		for b.Loop() {
			var reply wire.RunReply
			if err := clients.Call(context.Background(), model.server.Address(), wire.MethodRun, request, &reply, nil); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// benchMessage is the message of each benchmark call, 400 bytes long. It
// contains no space, so that the fake agent echoes it in two chunks.
var benchMessage = strings.Repeat("fog.", 100)

// listenAgent starts a fake agent that does not record its requests, so that the
// benchmark does not use more and more memory, and adds it to the model service.
func listenAgent(b *testing.B, t *fuzzTarget, model *fakeAgent) {
	var err error
	model.server, err = wire.Listen("127.0.0.1:0", wire.Mux{
		wire.MethodRun: wire.Handle(model.echo),
		wire.MethodEndpointStatus: wire.Handle(func(context.Context, struct{}, wire.Send) (any, error) {
			return model.status(), nil
		}),
	}, nil)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = model.server.Close() })
	t.addAgents("mist-models", model)
}

// runTurn runs one turn of the target's program over HTTP, with call as the callId.
func (t *fuzzTarget) runTurn(b *testing.B, call string) {
	body, _ := json.Marshal(callBody(call, benchMessage))
	httpRequest, _ := http.NewRequest("POST", "http://"+t.entry.HTTPAddress()+programPath(t.program, "/calls"), bytes.NewReader(body))
	httpRequest.Header.Set("Authorization", "Bearer bsk_fog_secret")
	response, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		b.Fatal(err)
	}
	raw, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if response.StatusCode != 200 {
		b.Fatalf("%d: %s", response.StatusCode, raw)
	}
}
