package soak_test

import (
	"net"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// relayMode is what a relay does with the bytes that it receives.
type relayMode int

const (
	forward relayMode = iota
	// slow delays each piece by slowDelay.
	slow
	// oneWay drops what the server sends.
	oneWay
	// silent drops everything. Open connections stay open.
	silent
)

const slowDelay = 40 * time.Millisecond

// relay forwards connections to a server and can misbehave. Pieces that it has dropped
// never arrive, so that their connection must not be used again.
type relay struct {
	listener net.Listener
	server   string

	mu    sync.Mutex
	mode  relayMode
	conns map[net.Conn]bool
}

func newRelay(server string) *relay {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	r := &relay{listener: listener, server: server, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	ginkgo.DeferCleanup(func() {
		_ = listener.Close()
		r.reset()
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) serve(client net.Conn) {
	server, err := net.Dial("tcp4", r.server)
	if err != nil {
		_ = client.Close()
		return
	}
	r.mu.Lock()
	r.conns[client], r.conns[server] = true, true
	r.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { r.copy(server, client, false) })
	copies.Go(func() { r.copy(client, server, true) })
	copies.Wait()
	r.mu.Lock()
	delete(r.conns, client)
	delete(r.conns, server)
	r.mu.Unlock()
}

// copy forwards what from sends until a side ends or something was dropped, and then
// closes both. answers tells that from is the server.
func (r *relay) copy(to, from net.Conn, answers bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		mode := r.mode
		r.mu.Unlock()
		if mode == slow {
			time.Sleep(slowDelay)
		}
		dropped = dropped || mode == silent || mode == oneWay && answers
		if dropped {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *relay) setMode(mode relayMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
}

// reset closes all connections with a reset. Once one side of a connection is closed, copy
// closes the other one.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	for conn := range r.conns {
		_ = conn.Close()
	}
}
