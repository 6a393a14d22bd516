package entry

import (
	"crypto/tls"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabspool/baobabspool/pkg/clock"
)

const (
	// lingerTimeout and maxLingerBytes limit the time and the amount of data for
	// which a connection is still read after a refusal, before it is closed. If a
	// TCP connection is closed with unread data, it is reset, and the caller may
	// lose the refusal. Without this reading, that happened in 2 of 6 runs of the
	// input tests.
	lingerTimeout  = 300 * clock.Millis(1)
	maxLingerBytes = 8 << 20
)

// lingerListener wraps the accepted connections in lingerConn.
type lingerListener struct{ net.Listener }

// Accept returns the next connection, a *lingerConn.
func (l lingerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingerConn{Conn: conn}, nil
}

// lingerConn is a connection that can read and discard the rest of a refused
// request before it is closed.
type lingerConn struct {
	net.Conn
	lingerOnClose atomic.Bool
}

// Close closes the connection. If enableLinger was called, Close first shuts down
// the write side, then reads and discards the rest of the request, for at most
// lingerTimeout and maxLingerBytes.
func (c *lingerConn) Close() error {
	tcpConn, ok := c.Conn.(*net.TCPConn)
	if ok && c.lingerOnClose.CompareAndSwap(true, false) && tcpConn.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout.Duration()))
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	}
	return c.Conn.Close()
}

// enableLinger makes the next Close of the connection read the rest of the request
// first. It is called if a request is refused before it was read to its end.
func enableLinger(ctx *fasthttp.RequestCtx) {
	conn := ctx.Conn()
	if tlsConn, ok := conn.(*tls.Conn); ok {
		conn = tlsConn.NetConn()
	}
	if lingering, ok := conn.(*lingerConn); ok {
		lingering.lingerOnClose.Store(true)
	}
}
