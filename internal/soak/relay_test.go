package soak_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/standin"
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
// never arrive, so that their connection carries nothing more and ends with a reset.
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
	forwarded := &link{relay: r, client: client, server: server}
	var copies sync.WaitGroup
	copies.Go(func() { forwarded.copy(server, client, false) })
	copies.Go(func() { forwarded.copy(client, server, true) })
	copies.Wait()
	r.mu.Lock()
	delete(r.conns, client)
	delete(r.conns, server)
	r.mu.Unlock()
}

// link is a connection of a client with the connection to the server that it is forwarded to.
type link struct {
	relay          *relay
	client, server net.Conn
	// failed is set once a piece was dropped or a side was reset. An orderly end would then
	// make a part of an answer look whole.
	failed atomic.Bool
}

// copy forwards what from sends until a side ends, and then closes both. answers tells that
// from is the server.
func (l *link) copy(to, from net.Conn, answers bool) {
	defer l.close()
	buffer := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if err != io.EOF && !errors.Is(err, net.ErrClosed) {
				l.failed.Store(true)
			}
			return
		}
		mode := l.relay.currentMode()
		if mode == slow {
			time.Sleep(slowDelay)
		}
		dropped = dropped || mode == silent || mode == oneWay && answers
		if dropped {
			l.failed.Store(true)
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			l.failed.Store(true)
			return
		}
	}
}

// close ends both connections, with a reset if the link has failed.
func (l *link) close() {
	for _, conn := range []net.Conn{l.client, l.server} {
		if l.failed.Load() {
			standin.Reset(conn.(*net.TCPConn))
			continue
		}
		_ = conn.Close()
	}
}

func (r *relay) currentMode() relayMode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

func (r *relay) setMode(mode relayMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
}

// reset closes all connections with a reset.
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
