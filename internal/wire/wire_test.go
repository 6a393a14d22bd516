package wire_test

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/wire"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestWire(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "wire")
}

type text struct {
	Value string `json:"value"`
}

var _ = ginkgo.Describe("Clients", func() {
	var (
		server    *wire.Server
		clients   *wire.Clients
		cancelled chan struct{}
	)

	ginkgo.BeforeEach(func() {
		// A handler may end only after the next test has replaced cancelled. The local
		// variable makes the handler send to the channel of its own test.
		ended := make(chan struct{}, 1)
		cancelled = ended
		mux := wire.Mux{
			"test.stream": wire.Handle(func(_ context.Context, request text, send wire.Send) (any, error) {
				for _, letter := range request.Value {
					if err := send(text{string(letter)}); err != nil {
						return nil, err
					}
				}
				return request, nil
			}),
			"test.refuse": wire.Handle(func(context.Context, text, wire.Send) (any, error) {
				return nil, errors.Wrap(spool.Refuse(spool.CodeDraining, "draining").WithRetryAfter(70), "annotated")
			}),
			"test.hang": wire.Handle(func(ctx context.Context, _ text, _ wire.Send) (any, error) {
				<-ctx.Done()
				ended <- struct{}{}
				return nil, ctx.Err()
			}),
		}
		var err error
		server, err = wire.Listen("127.0.0.1:0", mux, nil, wire.WithServerIdleTimeout(200))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		clients = wire.NewClients("client", wire.WithHeartbeat(200, 50))
		ginkgo.DeferCleanup(func() {
			clients.Close()
			_ = server.Close()
		})
	})

	ginkgo.It("delivers every chunk in order before the reply", func() {
		got := ""
		reply := text{}
		err := clients.Call(context.Background(), server.Address(), "test.stream", text{"abcdefghij"}, &reply, func(chunk json.RawMessage) error {
			piece := text{}
			got += func() string { _ = json.Unmarshal(chunk, &piece); return piece.Value }()
			return nil
		})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(got).To(gomega.Equal("abcdefghij"))
		gomega.Expect(reply.Value).To(gomega.Equal("abcdefghij"))
	})

	// Guards against a chunk of a call whose connection was lost that reaches the
	// caller among the chunks of the call's retry.
	ginkgo.It("does not return from a lost call while a chunk of it is being received", func() {
		entered, release, returned := make(chan struct{}), make(chan struct{}), make(chan error, 1)
		go func() {
			returned <- clients.Call(context.Background(), server.Address(), "test.stream", text{"a"}, nil, func(json.RawMessage) error {
				close(entered)
				<-release
				return nil
			})
		}()
		gomega.Eventually(entered).Should(gomega.BeClosed())
		gomega.Expect(server.Close()).To(gomega.Succeed())
		gomega.Consistently(returned, "500ms").ShouldNot(gomega.Receive())
		close(release)
		gomega.Eventually(returned).Should(gomega.Receive())
	})

	// Guards against a caller that does not process its chunks and thereby blocks all
	// calls on the same connection. The heartbeat would then time out, and all these
	// calls would fail.
	ginkgo.It("serves other calls while the chunks of one are not taken", func() {
		release, returned := make(chan struct{}), make(chan error, 1)
		got := ""
		go func() {
			returned <- clients.Call(context.Background(), server.Address(), "test.stream", text{"abcdef"}, nil, func(chunk json.RawMessage) error {
				<-release
				piece := text{}
				_ = json.Unmarshal(chunk, &piece)
				got += piece.Value
				return nil
			})
		}()
		// Continue for 1 s, which is longer than the heartbeat timeout of 200 ms.
		for started := time.Now(); time.Since(started) < time.Second; {
			gomega.Expect(clients.Call(context.Background(), server.Address(), "test.stream", text{"a"}, nil, nil)).To(gomega.Succeed())
		}
		close(release)
		gomega.Eventually(returned).Should(gomega.Receive(gomega.BeNil()))
		gomega.Expect(got).To(gomega.Equal("abcdef"))
	})

	ginkgo.It("passes a refusal on with all its fields", func() {
		err := clients.Call(context.Background(), server.Address(), "test.refuse", text{}, nil, nil)
		refusal := &spool.Refusal{}
		gomega.Expect(errors.As(err, &refusal)).To(gomega.BeTrue())
		gomega.Expect(*refusal).To(gomega.Equal(*spool.Refuse(spool.CodeDraining, "draining").WithRetryAfter(70)))
	})

	ginkgo.It("cancels the request at the server when the caller goes away", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		err := clients.Call(ctx, server.Address(), "test.hang", text{}, nil, nil)
		gomega.Expect(errors.Is(err, context.DeadlineExceeded)).To(gomega.BeTrue())
		gomega.Eventually(cancelled).Should(gomega.Receive())
	})

	ginkgo.It("proves that a call was not sent when nobody listens", func() {
		address := server.Address()
		gomega.Expect(server.Close()).To(gomega.Succeed())
		err := clients.Call(context.Background(), address, "test.stream", text{}, nil, nil)
		gomega.Expect(errors.Is(err, spool.ErrNotSent)).To(gomega.BeTrue())
	})

	ginkgo.It("closes a connection that is not used, but not one with a call under way", func() {
		idle := wire.NewClients("idle", wire.WithHeartbeat(2000, 10), wire.WithClientIdleTimeout(100))
		ginkgo.DeferCleanup(idle.Close)
		open := server.Connections
		ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
		defer cancel()
		ended := make(chan error, 1)
		go func() { ended <- idle.Call(ctx, server.Address(), "test.hang", text{}, nil, nil) }()
		gomega.Eventually(open).Should(gomega.Equal(1))
		gomega.Consistently(open, "250ms").Should(gomega.Equal(1))
		gomega.Eventually(ended).Should(gomega.Receive(gomega.MatchError(context.DeadlineExceeded)))
		gomega.Eventually(open).Should(gomega.Equal(0))
		gomega.Expect(idle.Call(context.Background(), server.Address(), "test.stream", text{"a"}, nil, nil)).To(gomega.Succeed())
	})

	ginkgo.It("reports a call as lost when the server dies", func() {
		time.AfterFunc(50*time.Millisecond, func() { _ = server.Close() })
		err := clients.Call(context.Background(), server.Address(), "test.hang", text{}, nil, nil)
		gomega.Expect(errors.Is(err, spool.ErrNotSent)).To(gomega.BeFalse())
		gomega.Expect(err).To(gomega.HaveOccurred())
	})

	ginkgo.It("closes a connection that accepts but never answers", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(listener.Close)
		started := time.Now()
		err = clients.Call(context.Background(), listener.Addr().String(), "test.stream", text{}, nil, nil)
		gomega.Expect(errors.Is(err, wire.ErrHeartbeatTimeout)).To(gomega.BeTrue())
		gomega.Expect(time.Since(started)).To(gomega.BeNumerically("<", 2*time.Second))
	})

	ginkgo.It("cancels the requests of a client that goes silent without closing", func() {
		client := wire.NewClients("mute", wire.WithHeartbeat(60_000, 60_000))
		ginkgo.DeferCleanup(client.Close)
		go func() { _ = client.Call(context.Background(), server.Address(), "test.hang", text{}, nil, nil) }()
		gomega.Eventually(cancelled, "2s").Should(gomega.Receive())
	})
})
