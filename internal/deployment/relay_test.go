package deployment_test

import (
	"net"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// direction is the direction of bytes through a relay.
type direction int

const (
	// toServer is the direction from the client to the server.
	toServer direction = iota
	toClient
)

// relay forwards connections to the process at target and simulates the network in
// between. Bytes that it holds back arrive later, like packets that are retransmitted
// after a network failure.
type relay struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	cond *sync.Cond
	// held is true for each direction in which the relay holds back the bytes of all
	// connections.
	held [2]bool
	// opened is the number of accepted connections, which are numbered from 1.
	// Connections with a number up to silenced pass no bytes any more.
	opened   int
	silenced int
	closed   bool
	conns    []net.Conn
}

// newRelay starts a relay to target that is closed at the end of the test case.
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

// connect connects to the target for a client and copies bytes in both directions.
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

// copy copies the bytes of connection number in one direction until the connection or the
// relay is closed.
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

// waitUntilPassing waits until the connection may pass bytes in a direction. It
// reports false when the relay is closed.
func (r *relay) waitUntilPassing(number int, way direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.closed && (r.held[way] || number <= r.silenced) {
		r.cond.Wait()
	}
	return !r.closed
}

// hold holds back the bytes of all connections in one direction. If on is false, it lets
// them pass again.
func (r *relay) hold(way direction, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[way] = on
	r.cond.Broadcast()
}

// silenceConnections makes all open connections pass no bytes any more, without closing
// them. New connections work.
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
