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
	// lingerTimeout and maxLingerBytes limit the time and the amount of data
	// that is read from a caller after a refusal. Closing a connection with
	// unread data resets it, and the caller may then lose the refusal; this
	// happened in 2 of 6 runs of the input tests.
	lingerTimeout  = 300 * clock.Millis(1)
	maxLingerBytes = 8 << 20
)

// lingerListener accepts connections that support a lingering close.
type lingerListener struct{ net.Listener }

// Accept returns the next connection.
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

// Close closes the connection. If enableLinger was called, it first shuts down
// the write side and discards the rest of the request.
func (c *lingerConn) Close() error {
	tcpConn, ok := c.Conn.(*net.TCPConn)
	if ok && c.lingerOnClose.CompareAndSwap(true, false) && tcpConn.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout.Duration()))
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	}
	return c.Conn.Close()
}

// enableLinger enables the lingering close for the connection of a request that
// was not read to its end.
func enableLinger(ctx *fasthttp.RequestCtx) {
	conn := ctx.Conn()
	if tlsConn, ok := conn.(*tls.Conn); ok {
		conn = tlsConn.NetConn()
	}
	if lingering, ok := conn.(*lingerConn); ok {
		lingering.lingerOnClose.Store(true)
	}
}
