package wire_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/baobabspool/baobabspool/internal/wire"
)

// FuzzServer guards against input on one connection that crashes the process,
// blocks the server or breaks calls on other connections.
func FuzzServer(f *testing.F) {
	for _, seed := range []string{
		"",
		"Content-Length: 2\r\n\r\n{}",
		"Content-Length: -1\r\n\r\n{}",
		"Content-Length: 99999999999999999999\r\n\r\n{}",
		"Content-Length: 2147483647\r\n\r\n{}",
		"Content-Length: 4\r\nContent-Length: 2\r\n\r\n{}",
		"\r\n\r\n{}",
		"Content-Length: 1\r\n\r\n\xff",
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		frame(`{"method":"test.echo","params":{"correlation":"a"`),
		frame(`{"method":"test.echo","params":{"correlation":"a","body":1},"id":1,"jsonrpc":"2.0"}`),
		frame(`{"method":"test.echo","params":{"correlation":"a","body":},"id":1,"jsonrpc":"2.0"}`),
		frame(`{"method":"test.echo","params":[[[[[[]]]]]],"id":"x","jsonrpc":"2.0"}`),
		frame(`{"method":"wire.chunk","params":{"correlation":"a","body":"}"},"jsonrpc":"2.0"}`),
		frame(`{"result":{"correlation":"a"},"id":18446744073709551615,"jsonrpc":"2.0"}`),
		frame(`{"id":null,"error":{"code":0},"result":1}`),
		frame(`null`), frame(`[]`), frame(`{"method":null}`), frame(`{"method":"rpc.cancel","params":null,"id":1}`),
	} {
		f.Add([]byte(seed))
	}
	server, err := wire.Listen("127.0.0.1:0", wire.Mux{
		"test.echo": wire.Handle(func(_ context.Context, request text, _ wire.Send) (any, error) { return request, nil }),
	}, nil)
	if err != nil {
		f.Fatal(err)
	}
	clients := wire.NewClients("fuzz")
	f.Cleanup(func() {
		clients.Close()
		_ = server.Close()
	})
	f.Fuzz(func(t *testing.T, input []byte) {
		conn, err := net.Dial("tcp", server.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write(input)
		_ = conn.(*net.TCPConn).CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.Copy(io.Discard, conn); isTimeout(err) {
			t.Fatal("server keeps a connection whose client has ended")
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		reply := text{}
		if err := clients.Call(ctx, server.Address(), "test.echo", text{"still there"}, &reply, nil); err != nil || reply.Value != "still there" {
			t.Fatalf("another connection got %q, %v", reply.Value, err)
		}
	})
}

func isTimeout(err error) bool {
	failed, ok := err.(net.Error)
	return ok && failed.Timeout()
}

func frame(body string) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}
