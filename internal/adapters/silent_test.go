package adapters_test

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/adapters"
	"github.com/baobabspool/baobabspool/internal/standin"
)

// startMutingProxy starts a proxy that forwards connections to target. It drops the
// responses on the first n connections that it has accepted, where n is the value of
// muted, initially 0.
func startMutingProxy(target string) (address string, muted *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(listener.Close)
	muted = &atomic.Int64{}
	go func() {
		for connection := int64(1); ; connection++ {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				return
			}
			toClient := writerFunc(func(piece []byte) (int, error) {
				if connection <= muted.Load() {
					return len(piece), nil
				}
				return client.Write(piece)
			})
			go func() { _, _ = io.Copy(server, client) }()
			go func() { _, _ = io.Copy(toClient, server) }()
		}
	}()
	return listener.Addr().String(), muted
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(piece []byte) (int, error) { return f(piece) }

var _ = ginkgo.Describe("Client of the log whose idle connections stop answering", func() {
	// Guards against a client that uses one idle connection after another although
	// none of them answers, and waits for a timeout on each.
	ginkgo.It("times out on one of them only and then uses new connections", func() {
		const connections = 8
		server := serverAddress(standin.ServeLog(standin.NewLog(1), "127.0.0.1:0", ""))
		address, muted := startMutingProxy(server)
		client := adapters.NewLog(address)
		var reads sync.WaitGroup
		for range connections {
			reads.Go(func() { _, _ = client.Read(context.Background(), "s", 0, 200) })
		}
		reads.Wait()
		muted.Store(connections)
		failures := 0
		for ; failures < connections; failures++ {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			_, err := client.Read(ctx, "s", 0, 0)
			cancel()
			if err == nil {
				break
			}
		}
		gomega.Expect(failures).To(gomega.Equal(1))
	})
})
