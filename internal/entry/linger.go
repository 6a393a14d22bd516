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
	// lingerFor and lingerBytes bound what is read from a caller after a
	// refusal. Closing a connection with unread data resets it, and the caller
	// then loses the refusal: 2 of 6 runs of the input tests saw that.
	lingerTimeout  = 300 * clock.Millis(1)
	maxLingerBytes = 8 << 20
)

// lingerListener accepts connections that can linger.
type lingerListener struct{ net.Listener }

// Accept returns the next connection.
func (l lingerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingerConn{Conn: conn}, nil
}

// lingerConn reads the rest of a refused request before it closes.
type lingerConn struct {
	net.Conn
	lingerOnClose atomic.Bool
}

// Close closes the connection, after the rest of a refused request.
func (c *lingerConn) Close() error {
	tcpConn, ok := c.Conn.(*net.TCPConn)
	if ok && c.lingerOnClose.CompareAndSwap(true, false) && tcpConn.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout.Duration()))
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	}
	return c.Conn.Close()
}

// linger lets the connection of a request that was not read to its end linger.
func enableLinger(ctx *fasthttp.RequestCtx) {
	conn := ctx.Conn()
	if tlsConn, ok := conn.(*tls.Conn); ok {
		conn = tlsConn.NetConn()
	}
	if lingering, ok := conn.(*lingerConn); ok {
		lingering.lingerOnClose.Store(true)
	}
}
