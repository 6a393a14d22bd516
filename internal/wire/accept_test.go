package wire_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/wire"
)

// exhaustedListener fails to accept the first connections, as in a process without free
// file descriptors.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

var _ = ginkgo.Describe("A server that cannot accept a connection", func() {
	// Guards against a process that other processes do not reach any more, because it once
	// had no free file descriptors.
	ginkgo.It("tries again", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		exhausted := &exhaustedListener{Listener: listener}
		exhausted.failures.Store(3)
		var seen atomic.Int64
		server := wire.Serve(exhausted, wire.Mux{"test.echo": wire.Handle(func(_ context.Context, text string, _ wire.Send) (any, error) {
			return text, nil
		})}, wire.WithAcceptError(func(error) { seen.Add(1) }))
		ginkgo.DeferCleanup(server.Close)
		clients := wire.NewClients("test")
		ginkgo.DeferCleanup(clients.Close)
		var reply string
		gomega.Expect(clients.Call(context.Background(), server.Address(), "test.echo", "hello", &reply, nil)).To(gomega.Succeed())
		gomega.Expect(reply).To(gomega.Equal("hello"))
		gomega.Expect(seen.Load()).To(gomega.Equal(int64(3)))
	})
})
