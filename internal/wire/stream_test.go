package wire_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/baobabspool/baobabspool/internal/wire"
)

// plainEnvelope has the fields of an envelope, but is encoded by encoding/json, as other
// JSON-RPC implementations might do.
type plainEnvelope struct {
	Correlation string          `json:"correlation"`
	Body        json.RawMessage `json:"body"`
}

// newPlainPeer returns a jsonrpc2 connection that uses the codec of the library instead
// of frameStream.
func newPlainPeer(conn net.Conn, handle func(*jsonrpc2.Conn, *jsonrpc2.Request)) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VSCodeObjectCodec{})
	return jsonrpc2.NewConn(context.Background(), stream, peerHandler(handle))
}

type peerHandler func(*jsonrpc2.Conn, *jsonrpc2.Request)

func (h peerHandler) Handle(_ context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	h(conn, request)
}

var _ = ginkgo.Describe("Frames", func() {
	var server *wire.Server

	ginkgo.BeforeEach(func() {
		var err error
		server, err = wire.Listen("127.0.0.1:0", wire.Mux{
			"test.spell": wire.Handle(func(_ context.Context, request text, send wire.Send) (any, error) {
				for _, letter := range request.Value {
					if err := send(text{string(letter)}); err != nil {
						return nil, err
					}
				}
				return request, nil
			}),
		}, nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(server.Close)
	})

	dial := func() net.Conn {
		conn, err := net.Dial("tcp", server.Address())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(func() { _ = conn.Close() })
		return conn
	}

	ginkgo.It("give each of many calls on one connection its own answer", func() {
		clients := wire.NewClients(`node "ä"`)
		defer clients.Close()
		var calls sync.WaitGroup
		failures := make(chan string, 64)
		for i := range 64 {
			calls.Go(func() {
				for round := range 20 {
					want := fmt.Sprint(i, "/", round, ` <"\ü `)
					got, pieces := text{}, ""
					onChunk := func(raw json.RawMessage) error {
						piece := text{}
						err := json.Unmarshal(raw, &piece)
						pieces += piece.Value
						return err
					}
					err := clients.Call(context.Background(), server.Address(), "test.spell", text{want}, &got, onChunk)
					if err != nil || got.Value != want || pieces != want {
						failures <- fmt.Sprint(err, got, pieces)
						return
					}
				}
			})
		}
		calls.Wait()
		gomega.Expect(failures).To(gomega.BeEmpty())
		gomega.Expect(clients.MismatchedReplies()).To(gomega.BeZero())
	})

	ginkgo.It("carry bodies beyond the size that is allocated at once", func() {
		clients := wire.NewClients("client")
		defer clients.Close()
		want, got := text{strings.Repeat("ü", 100_000)}, text{}
		discard := func(json.RawMessage) error { return nil }
		gomega.Expect(clients.Call(context.Background(), server.Address(), "test.spell", want, &got, discard)).To(gomega.Succeed())
		gomega.Expect(got).To(gomega.Equal(want))
	})

	ginkgo.It("are JSON-RPC 2.0 to a client with the library's codec", func() {
		pieces := make(chan string, 8)
		peer := newPlainPeer(dial(), func(_ *jsonrpc2.Conn, request *jsonrpc2.Request) {
			var frame plainEnvelope
			gomega.Expect(json.Unmarshal(*request.Params, &frame)).To(gomega.Succeed())
			pieces <- request.Method + " " + frame.Correlation + " " + string(frame.Body)
		})
		defer func() { _ = peer.Close() }()
		var reply plainEnvelope
		request := plainEnvelope{Correlation: "c1", Body: json.RawMessage(`{"value":"ab"}`)}
		gomega.Expect(peer.Call(context.Background(), "test.spell", request, &reply)).To(gomega.Succeed())
		gomega.Expect(reply.Correlation).To(gomega.Equal("c1"))
		gomega.Expect(string(reply.Body)).To(gomega.MatchJSON(`{"value":"ab"}`))
		gomega.Expect(pieces).To(gomega.Receive(gomega.Equal(`wire.chunk c1 {"value":"a"}`)))
		gomega.Expect(pieces).To(gomega.Receive(gomega.Equal(`wire.chunk c1 {"value":"b"}`)))
	})

	ginkgo.It("are read from a server with the library's codec, as during a rolling update", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = listener.Close() }()
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			newPlainPeer(conn, func(conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
				var frame plainEnvelope
				_ = json.Unmarshal(*request.Params, &frame)
				_ = conn.Notify(context.Background(), "wire.chunk", plainEnvelope{frame.Correlation, json.RawMessage(`{"value":"a"}`)})
				_ = conn.Reply(context.Background(), request.ID, plainEnvelope{frame.Correlation, frame.Body})
			})
		}()
		clients := wire.NewClients("client")
		defer clients.Close()
		got, chunk := text{}, ""
		err = clients.Call(context.Background(), listener.Addr().String(), "test.spell", text{"abc"}, &got, func(raw json.RawMessage) error {
			chunk = string(raw)
			return nil
		})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(got.Value).To(gomega.Equal("abc"))
		gomega.Expect(chunk).To(gomega.MatchJSON(`{"value":"a"}`))
	})

	ginkgo.It("end only their own connection when they are malformed", func() {
		for _, forged := range []string{
			"Content-Length: 4000000000\r\n\r\n", "Content-Length: -1\r\n\r\n", "Content-Length: x\r\n\r\n", "\r\n\r\n",
			"Content-Length: 3\r\n\r\n{]}", "Content-Length: 2\r\n\r\n[]", "Content-Length: 4\r\n\r\nnull",
			strings.Repeat("y", 8192),
		} {
			conn := dial()
			_, err := conn.Write([]byte(forged))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(conn.SetReadDeadline(time.Now().Add(2 * time.Second))).To(gomega.Succeed())
			count, err := conn.Read(make([]byte, 1))
			gomega.Expect(count).To(gomega.BeZero(), forged)
			gomega.Expect(err).NotTo(gomega.MatchError(gomega.ContainSubstring("timeout")), forged)
		}
		clients := wire.NewClients("client")
		defer clients.Close()
		gomega.Expect(clients.Call(context.Background(), server.Address(), "test.spell", text{"a"}, nil, nil)).To(gomega.Succeed())
	})
})
