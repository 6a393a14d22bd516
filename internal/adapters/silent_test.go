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

// silencer passes connections on to target; those opened before it is set to
// silent pass nothing any more.
func silencer(target string) (address string, silent *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(listener.Close)
	silent = &atomic.Int64{}
	go func() {
		for opened := int64(1); ; opened++ {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", target)
			if err != nil {
				_ = from.Close()
				return
			}
			mute := writerFunc(func(piece []byte) (int, error) {
				if opened <= silent.Load() {
					return len(piece), nil
				}
				return from.Write(piece)
			})
			go func() { _, _ = io.Copy(to, from) }()
			go func() { _, _ = io.Copy(mute, to) }()
		}
	}()
	return listener.Addr().String(), silent
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(piece []byte) (int, error) { return f(piece) }

var _ = ginkgo.Describe("Client of the log whose connections go silent", func() {
	// Guards against a client that tries every idle connection in turn and waits
	// for each of them.
	ginkgo.It("waits for one of them and uses new ones then", func() {
		const connections = 8
		server := started(standin.ServeLog(standin.NewLog(1), "127.0.0.1:0", ""))
		address, silent := silencer(server)
		client := adapters.NewLog(address)
		var reads sync.WaitGroup
		for range connections {
			reads.Go(func() { _, _ = client.Read(context.Background(), "s", 0, 200) })
		}
		reads.Wait()
		silent.Store(connections)
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
