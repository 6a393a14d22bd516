package deployment_test

import (
	"net"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// direction is one way through a relay.
type direction int

const (
	// up leads from the client to the server, down back.
	toServer direction = iota
	toClient
)

// relay passes connections on to a process. It stands for the network between
// two processes: what it holds back arrives late, as packets do that are sent
// again once a path works again.
type relay struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	cond *sync.Cond
	// held stops the bytes of a direction on every connection.
	held [2]bool
	// opened counts the connections; those up to silenced pass nothing for good.
	opened   int
	silenced int
	closed   bool
	conns    []net.Conn
}

func newRelay(target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	r := &relay{listener: listener, target: target}
	r.cond = sync.NewCond(&r.mu)
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { r.connect(client) }()
		}
	}()
	ginkgo.DeferCleanup(r.close)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) connect(client net.Conn) {
	r.mu.Lock()
	r.opened++
	number := r.opened
	r.mu.Unlock()
	if !r.waitUntilPassing(number, toServer) {
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	r.mu.Lock()
	r.conns = append(r.conns, client, server)
	r.mu.Unlock()
	go func() { r.copy(client, server, number, toClient) }()
	r.copy(server, client, number, toServer)
}

func (r *relay) copy(to, from net.Conn, number int, way direction) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !r.waitUntilPassing(number, way) {
			return
		}
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_, _ = to.Close(), from.Close()
			return
		}
	}
}

// pass waits until bytes of a connection may go on. It reports false when the
// relay has been closed.
func (r *relay) waitUntilPassing(number int, way direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.closed && (r.held[way] || number <= r.silenced) {
		r.cond.Wait()
	}
	return !r.closed
}

// hold stops or releases the bytes of one direction.
func (r *relay) hold(way direction, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[way] = on
	r.cond.Broadcast()
}

// silence makes every open connection pass nothing any more; new ones work.
func (r *relay) silenceConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silenced = r.opened
}

func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.cond.Broadcast()
	_ = r.listener.Close()
	for _, conn := range r.conns {
		_ = conn.Close()
	}
}
