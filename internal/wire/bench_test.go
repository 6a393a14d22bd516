package wire_test

import (
	"context"
	"testing"

	"github.com/baobabspool/baobabspool/internal/wire"
)

// BenchmarkCall measures the time for a small request and its reply on a connection
// without other calls. This time is part of the time to the first token of an answer.
func BenchmarkCall(b *testing.B) {
	server, err := wire.Listen("127.0.0.1:0", wire.Mux{
		"test.echo": wire.Handle(func(_ context.Context, request text, _ wire.Send) (any, error) { return request, nil }),
	}, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	clients := wire.NewClients("client")
	defer clients.Close()
	for b.Loop() {
		if err := clients.Call(context.Background(), server.Address(), "test.echo", text{"x"}, &text{}, nil); err != nil {
			b.Fatal(err)
		}
	}
}
